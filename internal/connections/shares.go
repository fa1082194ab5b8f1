// Package connections splits each target's connection limit between the
// hosts, such that the sum over all hosts that may hold connections never
// passes the limit, whatever the hosts know of each other.
//
// The rules. A host uses at most its share of every member list since the
// last one it completed. It acknowledges a list when its connections fit its
// share of it. It completes a list, and uses its whole share of it, when all
// members have acknowledged it and every host that left has either
// acknowledged it too or been without contact for SilenceTimeout, after which
// it holds no connections. A host that can't confirm its list for FenceAfter
// gives up all connections; afterwards, like a host that restarted, it knows
// no earlier list and uses none until the present list is complete.
//
// A process that is paused keeps its connections open. For a pause longer
// than FenceAfter the limit relies on the target to close idle connections
// within SilenceTimeout.
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
// take the defaults, but for ClockDrift.
type Config struct {
	// ReservePercent is the part of each limit that is kept for hosts that
	// restart while the target still counts their earlier connections. A
	// negative number means none.
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
	// ClockDrift is how far two hosts' clocks diverge in one SilenceTimeout.
	ClockDrift time.Duration
}

// WithDefaults returns c with the defaults in place of zero fields.
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

// Validate reports settings that can't work.
func (c Config) Validate() error {
	if c.ReservePercent > 90 {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "a reserve of %d %% leaves too few connections, at most 90 %% is allowed", c.ReservePercent)
	}
	return nil
}

// SilenceTimeout is how long after its last contact a host that left may
// still hold connections: until it is fenced, its requests end, and its idle
// connections and those of a process that ended are closed.
func (c Config) SilenceTimeout() time.Duration {
	return c.FenceAfter + max(c.DrainTimeout, c.IdleTimeout, c.LeftoverTimeout) + c.ClockDrift
}

// Event is an input of Shares.Step.
type Event interface{ event() }

// Members is an agreed list of hosts. Epochs start at 1 and grow.
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
// acknowledged by all of its members. At is not later than when the evidence
// was asked for.
type Confirmed struct {
	Epoch uint64
	At    time.Time
}

// WithinShares tells that the pools hold no more connections than the shares
// of the view that ApplyShares announced for Epoch.
type WithinShares struct{ Epoch uint64 }

// Tick lets time pass.
type Tick struct{}

func (Members) event()      {}
func (Heartbeat) event()    {}
func (Confirmed) event()    {}
func (WithinShares) event() {}
func (Tick) event()         {}

// Effect is an output of Shares.Step.
type Effect interface{ effect() }

// ApplyShares asks to set every pool's share from View, and to report
// WithinShares when no pool holds more.
type ApplyShares struct{ View View }

// Acknowledge asks to report, in heartbeats from now on, that this host
// acknowledged and completed these lists.
type Acknowledge struct {
	Acknowledged uint64
	Completed    uint64
}

func (ApplyShares) effect() {}
func (Acknowledge) effect() {}

// Shares is the state machine of one host. The control goroutine owns it.
type Shares struct {
	cfg     Config
	self    string
	started time.Time

	list         *memberList
	earlier      []*memberList // lists since the completed one, which bound the share too
	knowsEarlier bool          // false after a start and a fence
	within       uint64        // last list that the pools fit
	acknowledged uint64
	completed    uint64 // last list that this host completed
	known        uint64 // last list that another host reported as completed
	acks         map[string]uint64
	allAckedAt   time.Time            // zero unless all members acknowledged list
	left         map[string]time.Time // hosts outside list that may hold connections, last contact
	confirmedAt  time.Time
	fenced       bool
	applied      View
}

// NewShares returns the machine of a host that starts at now.
func NewShares(cfg Config, self string, now time.Time) *Shares {
	return &Shares{
		cfg: cfg.WithDefaults(), self: self, started: now, fenced: true,
		acks: map[string]uint64{}, left: map[string]time.Time{},
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
			s.within = ev.Epoch
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
			if _, ok := s.left[h]; !ok {
				s.left[h] = now
			}
		}
	}
	delete(s.left, s.self)
	for _, h := range s.list.hosts {
		delete(s.left, h)
	}
	for h, epoch := range s.acks {
		if epoch == ev.Epoch {
			delete(s.left, h)
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
	s.known = max(s.known, ev.Completed)
	if s.list == nil {
		return
	}
	// Only an acknowledgment of exactly this list counts: one of a later list
	// says nothing about this one.
	if ev.Acknowledged > s.acks[ev.Host] && s.acks[ev.Host] != s.list.epoch {
		s.acks[ev.Host] = ev.Acknowledged
	}
	if s.list.has(ev.Host) {
		return
	}
	if s.acks[ev.Host] == s.list.epoch {
		delete(s.left, ev.Host)
		return
	}
	s.left[ev.Host] = now
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

// acknowledge accepts the present list once the connections of this process
// and of its predecessor fit the share.
func (s *Shares) acknowledge(now time.Time) {
	if s.list != nil && s.within == s.list.epoch && now.Sub(s.started) >= s.cfg.LeftoverTimeout {
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
	clear(s.left)
}

func (s *Shares) mayComplete(now time.Time) bool {
	if s.known == s.list.epoch {
		return true // another host has seen what is checked below
	}
	if s.acknowledged != s.list.epoch || !s.allAcked() {
		return false
	}
	if s.allAckedAt.IsZero() {
		s.allAckedAt = now
	}
	// The first list has no predecessor that a host could have left.
	allLeftKnown := s.knowsEarlier || s.list.epoch == 1
	if allLeftKnown && len(s.left) == 0 {
		return true
	}
	silence := s.cfg.SilenceTimeout()
	for _, last := range s.left {
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
