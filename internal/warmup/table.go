package warmup

import (
	"maps"
	"time"
)

// Target is a target of a service with a bound, as the latest records show it.
type Target struct {
	Name          string
	FailureDomain string
	Incarnation   uint64
	Seq           uint64 // of its latest announcement that changed something
	Cold          bool   // by that announcement
	Limit         Limit
	// Warmup is the longest time for which a target of the service is cold.
	Warmup time.Duration
}

// View is what a host knows at a time.
type View struct {
	Epoch    uint64   // of the agreed member list; 0 if it is not known
	Hosts    []string // of that list
	Targets  []Target // without those that have expired
	Restored []string // failure domains that were withdrawn and have been restored since the last view
}

// spreadTime is the time within which an announcement reaches all connected hosts.
const spreadTime = 2 * time.Second

// Table decides which targets count as cold at this host, and how many requests it may send
// to them. It is not safe for concurrent use.
//
// A target whose state is not known counts as cold: after a restore, after a lost
// connection or failed dial, after its record expired, and after this host was suspended. Two things end that. One is a
// record of a later announcement. Hosts pass on only announcements that change something,
// so the other is time without one: a target that still has a lease when a lease period and
// the time for a message to spread have passed has announced itself since, and anything
// other than its latest record would have arrived. By then, warm-up from before is over too.
type Table struct {
	self     string
	started  time.Time
	lease    time.Duration
	epoch    uint64
	hosts    []string
	targets  map[string]*state
	departed map[string]time.Time // targets whose records expired
	// restored tells when a failure domain was restored, as this host learned, for targets
	// whose first record arrives later. It has as many entries as there are orders for
	// different failure domains, at most.
	restored map[string]time.Time
}

type state struct {
	Target
	unknownSince time.Time // zero if the state is known
	allowance    allowance
	share        int
	shareKnown   bool // share was computed for the current list
}

// NewTable returns the table of a host whose process started at the given time. lease is the
// lease period of targets.
func NewTable(self string, started time.Time, lease time.Duration) *Table {
	return &Table{self: self, started: started, lease: lease, targets: make(map[string]*state), departed: make(map[string]time.Time), restored: make(map[string]time.Time)}
}

// maxDeparted bounds the targets that are remembered after their records expired.
const maxDeparted = 4096

// departedRetention is how long they are remembered. Records of targets that are gone for
// longer are those of a target that has started again.
const departedRetention = time.Hour

// Update takes over a view.
func (t *Table) Update(now time.Time, v View) {
	if v.Epoch != t.epoch {
		for _, s := range t.targets {
			s.shareKnown = false
		}
	}
	t.epoch, t.hosts = v.Epoch, v.Hosts
	for _, domain := range v.Restored {
		t.restored[domain] = now
	}
	present := make(map[string]bool, len(v.Targets))
	for _, x := range v.Targets {
		present[x.Name] = true
		t.observe(now, x)
	}
	for name := range t.targets {
		if !present[name] {
			delete(t.targets, name)
			t.departed[name] = now
		}
	}
	for _, domain := range v.Restored {
		for _, s := range t.targets {
			if s.FailureDomain == domain {
				s.unknownSince = now
			}
		}
	}
	t.forgetDeparted(now)
}

func (t *Table) observe(now time.Time, x Target) {
	s := t.targets[x.Name]
	if s == nil {
		s = &state{Target: x, unknownSince: t.restored[x.FailureDomain]}
		if _, expired := t.departed[x.Name]; expired {
			s.unknownSince = now
			delete(t.departed, x.Name)
		}
		t.targets[x.Name] = s
		return
	}
	later := x.Incarnation > s.Incarnation || x.Incarnation == s.Incarnation && x.Seq > s.Seq
	if later && !s.unknownSince.IsZero() && (x.Incarnation > s.Incarnation || now.Sub(s.unknownSince) >= spreadTime) {
		s.unknownSince = time.Time{}
	}
	s.shareKnown = s.shareKnown && s.Limit == x.Limit
	s.Target = x
}

func (t *Table) forgetDeparted(now time.Time) {
	maps.DeleteFunc(t.departed, func(_ string, at time.Time) bool { return now.Sub(at) > departedRetention })
	for name := range t.departed {
		if len(t.departed) <= maxDeparted {
			return
		}
		delete(t.departed, name)
	}
}

// Lost records that a connection to an incarnation of a target was lost or could not be
// opened. Those of an earlier incarnation say nothing about the present one.
func (t *Table) Lost(now time.Time, target string, incarnation uint64) {
	if s := t.targets[target]; s != nil && incarnation >= s.Incarnation {
		s.unknownSince = now
	}
}

// Forget records that this host may have missed announcements, because its machine was
// suspended: no target's state is known any more.
func (t *Table) Forget(now time.Time) {
	for _, s := range t.targets {
		s.unknownSince = now
	}
}

// Cold reports whether a target counts as cold.
func (t *Table) Cold(now time.Time, target string) bool {
	s := t.targets[target]
	return s != nil && t.cold(now, s)
}

func (t *Table) cold(now time.Time, s *state) bool {
	if !s.Limit.Bounded() {
		return false
	}
	if !s.unknownSince.IsZero() && now.Sub(s.unknownSince) >= max(s.Warmup, t.lease+spreadTime) {
		s.unknownSince = time.Time{}
	}
	return s.Target.Cold || !s.unknownSince.IsZero()
}

// Admits reports whether an attempt may begin at a target.
func (t *Table) Admits(now time.Time, target string) bool {
	s, share := t.share(now, target)
	return s == nil || s.allowance.admits(now, share)
}

// Begin records that an attempt begins, and reports whether it may.
func (t *Table) Begin(now time.Time, target string) bool {
	s, share := t.share(now, target)
	return s == nil || s.allowance.begin(now, share)
}

// Send records that the request of an attempt that has begun is sent, and reports whether
// it may be. It may not if the target has become cold since the attempt began, or the
// attempt waited for too long.
func (t *Table) Send(now time.Time, target string) bool {
	s, share := t.share(now, target)
	return s == nil || s.allowance.send(now, share)
}

// share returns the state of a target that counts as cold and this host's share of the
// requests to it, or nil for any other target. A host that does not know the agreed list,
// or whose predecessor may have used the share within the last window, has none.
func (t *Table) share(now time.Time, target string) (*state, int) {
	s := t.targets[target]
	if s == nil || !t.cold(now, s) {
		return nil, 0
	}
	if t.epoch == 0 || now.Sub(t.started) < window {
		return s, 0
	}
	if !s.shareKnown {
		s.share, s.shareKnown = ShareOf(s.Limit, s.Name, t.self, t.hosts), true
	}
	return s, s.share
}
