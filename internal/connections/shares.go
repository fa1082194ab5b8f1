// Package connections splits each target's connection limit between the hosts.
// The connections of all hosts together never exceed the limit, even while
// hosts know different member lists.
//
// Rules:
//
//   - A host uses at most its smallest share in any member list since the last
//     one that it completed.
//   - It acknowledges a list when its connections fit its share in that list.
//   - It completes a list, and uses its whole share in it, when all members have
//     acknowledged it and every host that left has either acknowledged it too or
//     been silent for SilenceTimeout, after which it holds no connections.
//   - A host that can't confirm its list for FenceAfter gives up all connections.
//     Then, as after a restart, it knows no earlier list and uses no connections
//     until the current list is complete.
//
// A paused process keeps its connections open. If the pause is longer than
// FenceAfter, the limit holds only if the target closes idle connections within
// SilenceTimeout.
package connections

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Defaults of Config.
const (
	DefaultReservePercent  = 10
	DefaultFenceAfter      = 5 * time.Second
	DefaultDrainTimeout    = 10 * time.Second
	DefaultIdleTimeout     = 10 * time.Second
	DefaultLeftoverTimeout = 2 * time.Second
)

// Config holds the settings, which must be equal on all hosts. Zero fields
// except ClockDrift take the defaults.
type Config struct {
	// ReservePercent is the part of each limit that is kept for hosts that
	// restart while the target still counts their earlier connections. Negative
	// means none.
	ReservePercent int
	// FenceAfter is how long a host uses its shares without confirmation that
	// its member list is the agreed one.
	FenceAfter time.Duration
	// DrainTimeout is the longest time for which a request holds a connection.
	DrainTimeout time.Duration
	// IdleTimeout is how long unused connections stay open.
	IdleTimeout time.Duration
	// LeftoverTimeout is how long a target may count the connections of a
	// process that ended.
	LeftoverTimeout time.Duration
	// ClockDrift is how far the clocks of two hosts may diverge within
	// SilenceTimeout.
	ClockDrift time.Duration
}

// WithDefaults returns c with defaults for zero fields.
func (c Config) WithDefaults() Config {
	if c.ReservePercent == 0 {
		c.ReservePercent = DefaultReservePercent
	}
	c.ReservePercent = max(c.ReservePercent, 0)
	setDefault(&c.FenceAfter, DefaultFenceAfter)
	setDefault(&c.DrainTimeout, DefaultDrainTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.LeftoverTimeout, DefaultLeftoverTimeout)
	return c
}

func setDefault(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}

// Validate returns an error for settings that can't work.
func (c Config) Validate() error {
	if c.ReservePercent > 90 {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "a reserve of %d %% leaves too few connections, at most 90 %% is allowed", c.ReservePercent)
	}
	return nil
}

// SilenceTimeout returns how long after its last contact a host that left may
// still hold connections: until it is fenced, its requests have ended, its idle
// connections are closed, and targets no longer count those of an ended
// process.
func (c Config) SilenceTimeout() time.Duration {
	return c.FenceAfter + max(c.DrainTimeout, c.IdleTimeout, c.LeftoverTimeout) + c.ClockDrift
}

// Event is an input of Shares.Step.
type Event interface{ event() }

// Members is an agreed list of hosts. Epochs start at 1 and increase.
type Members struct {
	Epoch uint64
	Hosts []string
}

// Heartbeat comes from another host: the list it acknowledged last and
// the one it completed last, 0 for none.
type Heartbeat struct {
	Host         string
	Acknowledged uint64
	Completed    uint64
}

// Confirmed is evidence that at the time At no list newer than Epoch had been
// acknowledged by all of its members. At is no later than the request for the
// evidence.
type Confirmed struct {
	Epoch uint64
	At    time.Time
}

// WithinShares reports that the pools hold no more connections than the shares
// of the view that ApplyShares announced for Epoch.
type WithinShares struct{ Epoch uint64 }

// Tick checks the timeouts.
type Tick struct{}

func (Members) event()      {}
func (Heartbeat) event()    {}
func (Confirmed) event()    {}
func (WithinShares) event() {}
func (Tick) event()         {}

// Effect is an output of Shares.Step.
type Effect interface{ effect() }

// ApplyShares requests that every pool's share is set from View and that
// WithinShares follows once no pool holds more.
type ApplyShares struct{ View View }

// Acknowledge sets the epochs that this host's heartbeats report: of the list
// it acknowledged last and the one it completed last.
type Acknowledge struct {
	Acknowledged uint64
	Completed    uint64
}

func (ApplyShares) effect() {}
func (Acknowledge) effect() {}

// Shares is the state machine of one host. Only the control goroutine uses it.
type Shares struct {
	cfg     Config
	self    string
	started time.Time

	list           *memberList
	earlier        []*memberList // lists since the last completed one, which also limit the share
	knowsEarlier   bool          // whether earlier is known; false after a start or a fence
	withinShares   uint64        // last list whose shares the pools fit
	acknowledged   uint64
	completed      uint64 // last list that this host completed
	knownCompleted uint64 // last list that another host reported as completed
	acks           map[string]uint64
	allAckedAt     time.Time            // zero unless all members acknowledged list
	departed       map[string]time.Time // last contact with hosts outside list that may still hold connections
	confirmedAt    time.Time
	fenced         bool
	applied        View
}

// NewShares returns the state machine of a host whose process starts at now.
func NewShares(cfg Config, self string, now time.Time) *Shares {
	return &Shares{
		cfg: cfg.WithDefaults(), self: self, started: now, fenced: true,
		acks: map[string]uint64{}, departed: map[string]time.Time{},
	}
}

// Step applies an event.
func (s *Shares) Step(now time.Time, ev Event) []Effect {
	acknowledged, completed := s.acknowledged, s.completed
	apply := false
	switch ev := ev.(type) {
	case Members:
		apply = s.setMembers(now, ev)
	case Heartbeat:
		s.heartbeat(now, ev)
	case Confirmed:
		s.confirm(ev)
	case WithinShares:
		if s.list != nil && ev.Epoch == s.list.epoch {
			s.withinShares = ev.Epoch
		}
	}
	s.checkFence(now)
	s.acknowledge(now)
	s.complete(now)

	var out []Effect
	if v := s.view(now); apply || !v.Same(s.applied) {
		s.applied = v
		out = append(out, ApplyShares{View: v})
	}
	if s.acknowledged != acknowledged || s.completed != completed {
		out = append(out, Acknowledge{Acknowledged: s.acknowledged, Completed: s.completed})
	}
	return out
}

func (s *Shares) setMembers(now time.Time, ev Members) bool {
	if len(ev.Hosts) == 0 || s.list != nil && ev.Epoch <= s.list.epoch {
		return false
	}
	old := s.list
	s.list = newMemberList(ev.Epoch, ev.Hosts, s.self)
	s.allAckedAt = time.Time{}
	if old != nil {
		if s.knowsEarlier {
			s.earlier = append(s.earlier, old)
		}
		for _, h := range old.hosts {
			if _, ok := s.departed[h]; !ok {
				s.departed[h] = now
			}
		}
	}
	delete(s.departed, s.self)
	for _, h := range s.list.hosts {
		delete(s.departed, h)
	}
	for h, epoch := range s.acks {
		if epoch == ev.Epoch {
			delete(s.departed, h)
		} else if epoch < ev.Epoch {
			delete(s.acks, h)
		}
	}
	return true
}

func (s *Shares) heartbeat(now time.Time, ev Heartbeat) {
	if ev.Host == s.self {
		return
	}
	s.knownCompleted = max(s.knownCompleted, ev.Completed)
	if s.list == nil {
		return
	}
	// Only an acknowledgment of exactly this list counts, so one of a later list
	// must not replace it.
	if ev.Acknowledged > s.acks[ev.Host] && s.acks[ev.Host] != s.list.epoch {
		s.acks[ev.Host] = ev.Acknowledged
	}
	if s.list.has(ev.Host) {
		return
	}
	if s.acks[ev.Host] == s.list.epoch {
		delete(s.departed, ev.Host)
		return
	}
	s.departed[ev.Host] = now
}

func (s *Shares) confirm(ev Confirmed) {
	if s.list != nil && ev.Epoch == s.list.epoch && ev.At.After(s.confirmedAt) {
		s.confirmedAt = ev.At
	}
}

func (s *Shares) checkFence(now time.Time) {
	s.fenced = s.confirmedAt.IsZero() || now.Sub(s.confirmedAt) > s.cfg.FenceAfter
	if s.fenced {
		s.knowsEarlier = false
		s.earlier = nil
	}
}

// acknowledge acknowledges the current list once this process's connections fit
// its shares and targets no longer count those of an earlier process.
func (s *Shares) acknowledge(now time.Time) {
	if s.list != nil && s.withinShares == s.list.epoch && now.Sub(s.started) >= s.cfg.LeftoverTimeout {
		s.acknowledged = s.list.epoch
	}
}

func (s *Shares) complete(now time.Time) {
	if s.list == nil || s.fenced {
		return
	}
	if s.completed != s.list.epoch && !s.mayComplete(now) {
		return
	}
	s.completed = s.list.epoch
	s.knowsEarlier = true
	s.earlier = nil
	clear(s.departed)
}

func (s *Shares) mayComplete(now time.Time) bool {
	if s.knownCompleted == s.list.epoch {
		return true // another host has already checked the conditions below
	}
	if s.acknowledged != s.list.epoch || !s.allAcked() {
		return false
	}
	if s.allAckedAt.IsZero() {
		s.allAckedAt = now
	}
	// No host can have left before the first list.
	allLeftKnown := s.knowsEarlier || s.list.epoch == 1
	if allLeftKnown && len(s.departed) == 0 {
		return true
	}
	silence := s.cfg.SilenceTimeout()
	for _, last := range s.departed {
		if now.Sub(last) <= silence {
			return false
		}
	}
	// Until the last member acknowledged the list, a host that left could
	// still get its old list confirmed.
	return now.Sub(s.allAckedAt) > silence
}

func (s *Shares) allAcked() bool {
	for _, h := range s.list.hosts {
		if h != s.self && s.acks[h] != s.list.epoch {
			return false
		}
	}
	return true
}

func targetHash(target string) uint64 { return xxhash.Sum64String(target) }
