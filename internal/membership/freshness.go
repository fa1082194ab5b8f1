package membership

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Windows within which a host counts as heard from. Reports of relays reach a
// host up to 2.2 s after the messages that they count, so the window is longer
// where they take the place of heartbeats.
const (
	MajorityWindow = 2 * time.Second
	RelayedWindow  = 3 * time.Second
	reportWindow   = 1500 * time.Millisecond
)

// Freshness states whether this host's configuration is confirmed as current,
// and by whom.
type Freshness uint8

// Freshness verdicts. Stale is the zero value.
const (
	Stale               Freshness = iota // new requests must be rejected
	ConfirmedByLeader                    // the leader confirmed the configuration recently
	ConfirmedByMajority                  // a majority of member hosts knows nothing newer
)

// String returns the verdict as the state dump shows it.
func (f Freshness) String() string {
	return [...]string{"stale", "confirmed by leader", "confirmed by majority"}[min(f, ConfirmedByMajority)]
}

// Evidence is an immutable summary of what confirms this host's
// configuration. Traffic goroutines evaluate it with the current time.
type Evidence struct {
	heardAt        time.Time // a majority was heard from at or after this time
	confirmedUntil time.Time // end of the confirmation by the leader
	majorityUntil  time.Time // end of the confirmation by a majority that knows nothing newer
	tickAt         time.Time
	window         time.Duration
	bootstrap      bool // there is no agreed list yet
}

// Freshness returns the verdict at a time. It is Stale if the control loop has
// not run within PauseBound, since it can't have noticed a partition.
func (e Evidence) Freshness(now time.Time) Freshness {
	switch {
	case now.Sub(e.tickAt) > PauseBound:
		return Stale
	case now.Before(e.confirmedUntil):
		return ConfirmedByLeader
	case now.Before(e.majorityUntil):
		return ConfirmedByMajority
	default:
		return Stale
	}
}

// MajorityConfirmedAt returns the latest time at which a majority of the agreed
// list knew neither a newer configuration nor a newer list, or the zero time if
// the configuration is not confirmed by a majority.
func (s *State) MajorityConfirmedAt(now time.Time) time.Time {
	e := s.evidence
	if now.Sub(e.tickAt) > PauseBound || !now.Before(e.majorityUntil) {
		return time.Time{}
	}
	return e.majorityUntil.Add(-s.settings.Staleness)
}

// HearsMajority reports whether the host hears from a majority of the agreed
// member list. A leader must accept changes only while it does. The result is
// true before the first agreed list, so that this list can be accepted.
func (e Evidence) HearsMajority(now time.Time) bool {
	return e.bootstrap || now.Sub(e.tickAt) <= PauseBound && now.Sub(e.heardAt) <= e.window
}

// Evidence returns the current summary.
func (s *State) Evidence() Evidence { return s.evidence }

// Freshness returns the verdict on this host's configuration.
func (s *State) Freshness(now time.Time) Freshness { return s.evidence.Freshness(now) }

// Applied returns the configuration in force here.
func (s *State) Applied() Position { return s.applied }

// Seen returns the newest configuration that any peer knows of.
func (s *State) Seen() Position { return s.seen }

func (s *State) configApplied(p Position) {
	s.applied = later(s.applied, p)
	s.seen = later(s.seen, s.applied)
	s.markConfirmed()
}

// markConfirmed records that this process has had a configuration that the
// leader confirmed. Until then it doesn't know what was accepted before, and
// must neither serve nor help others to confirm an old configuration.
func (s *State) markConfirmed() {
	if !s.confirmed.At.IsZero() && s.applied.Compare(s.confirmed.Position) >= 0 {
		s.everConfirmed = true
	}
}

// advertised returns the configuration that this host confirms to others, zero
// if the leader has never confirmed one.
func (s *State) advertised() Position {
	if !s.everConfirmed {
		return Position{}
	}
	return s.applied
}

// leaderConfirmed records the newest confirmation. A confirmation of the same
// revision in a newer term also moves the configuration in force to that term.
func (s *State) leaderConfirmed(ev LeaderConfirmed) {
	s.seen = later(s.seen, ev.Position)
	if ev.Position.Revision == s.applied.Revision && !s.applied.IsZero() {
		s.applied = later(s.applied, ev.Position)
	}
	if ev.At.After(s.confirmed.At) {
		s.confirmed = ev
	}
	s.markConfirmed()
}

// hostCount is a number of member hosts heard from at or after a time.
type hostCount struct {
	at        time.Time
	heard     int
	confirmed int
}

// updateEvidence recomputes the evidence. Heartbeats take effect at the next
// tick, since a relay of many hosts receives about one per millisecond; a
// newer configuration takes effect at once.
func (s *State) updateEvidence(now time.Time) {
	e := Evidence{tickAt: s.lastTick, window: MajorityWindow, bootstrap: s.agreed.Epoch == 0}
	if s.topology != nil {
		e.window = RelayedWindow
	}
	if s.replaced {
		s.evidence = Evidence{tickAt: s.lastTick}
		return
	}
	if !s.confirmed.At.IsZero() && s.applied.Compare(s.confirmed.Position) >= 0 {
		e.confirmedUntil = s.confirmed.At.Add(s.settings.Staleness)
	}
	counts, newer := s.hostCounts(now)
	e.heardAt = s.majorityAt(counts, func(n hostCount) int { return n.heard })
	current := s.everConfirmed && s.applied.Compare(s.seen) >= 0 && !newer
	if at := s.majorityAt(counts, func(n hostCount) int { return n.confirmed }); current && !at.IsZero() {
		e.majorityUntil = at.Add(s.settings.Staleness)
	}
	s.evidence = e
}

// majorityAt returns the latest time since which a majority of the agreed list
// was counted, or the zero time.
func (s *State) majorityAt(counts []hostCount, count func(hostCount) int) time.Time {
	missing := len(s.agreed.Hosts)/2 + 1
	if len(s.agreed.Hosts) == 0 {
		return time.Time{}
	}
	for _, n := range counts {
		missing -= count(n)
		if missing <= 0 {
			return n.at
		}
	}
	return time.Time{}
}

// hostCounts returns the counts of hosts heard, newest first. Newer is set if
// a host that was heard has a newer agreed list, whose majorities this host
// can't determine.
func (s *State) hostCounts(now time.Time) (counts []hostCount, newer bool) {
	if s.isAgreed[s.self.Host] && s.topology == nil {
		counts = append(counts, hostCount{at: now, heard: 1, confirmed: confirmedCount(s.advertised())})
	}
	for host, c := range s.contacts {
		newer = newer || c.memberEpoch > s.agreed.Epoch
		if s.topology == nil && s.isAgreed[host] && !c.echoAt.IsZero() {
			counts = append(counts, hostCount{at: c.echoAt, heard: 1, confirmed: confirmedCount(c.applied)})
		}
	}
	for _, r := range s.bestReports(now) {
		newer = newer || r.Epoch > s.agreed.Epoch
		if r.Epoch == s.agreed.Epoch {
			counts = append(counts, hostCount{at: now.Add(-r.Age), heard: int(r.Heard), confirmed: int(r.Confirmed)})
		}
	}
	slices.SortFunc(counts, func(a, b hostCount) int { return b.at.Compare(a.at) })
	return counts, newer
}

func confirmedCount(p Position) int {
	if p.IsZero() {
		return 0
	}
	return 1
}

// SeenByMajority reports whether a majority of the agreed list is known to have
// seen a configuration. Every other majority then includes a host that knows of
// it, so none can confirm an older one as current.
func (s *State) SeenByMajority(p Position) bool {
	saw := 0
	if s.topology != nil {
		for _, r := range s.bestReports(s.lastTick) {
			if r.Epoch == s.agreed.Epoch && r.Seen.Compare(p) >= 0 {
				saw += int(r.SawNewest)
			}
		}
		return saw > len(s.agreed.Hosts)/2
	}
	for _, host := range s.agreed.Hosts {
		if s.seenBy(host).Compare(p) >= 0 {
			saw++
		}
	}
	return saw > len(s.agreed.Hosts)/2
}

// SeenByMajorityOf reports whether a majority of a sorted list other than the
// agreed one is known to have seen a configuration. Reports of relays count
// members of the agreed list without naming them, so agreed members outside the
// other list are subtracted as if all of them had seen it.
func (s *State) SeenByMajorityOf(hosts []string, p Position) bool {
	saw := 0
	if s.topology != nil {
		for _, r := range s.bestReports(s.lastTick) {
			if r.Epoch == s.agreed.Epoch && r.Seen.Compare(p) >= 0 {
				saw += int(r.SawNewest)
			}
		}
		for _, h := range s.agreed.Hosts {
			if _, ok := slices.BinarySearch(hosts, h); !ok {
				saw--
			}
		}
		return saw > len(hosts)/2
	}
	for _, h := range hosts {
		if s.seenBy(h).Compare(p) >= 0 {
			saw++
		}
	}
	return saw > len(hosts)/2
}

func (s *State) seenBy(host string) Position {
	if host == s.self.Host {
		return s.seen
	}
	if c := s.contacts[host]; c != nil {
		return c.seen
	}
	return Position{}
}

// SharesInUseEverywhere reports whether every member of the agreed list uses
// the connection shares of its epoch.
func (s *State) SharesInUseEverywhere() bool {
	inUse := 0
	if s.topology != nil {
		for _, r := range s.bestReports(s.lastTick) {
			if r.Epoch == s.agreed.Epoch {
				inUse += int(r.SharesInUse)
			}
		}
		return inUse == len(s.agreed.Hosts)
	}
	for _, host := range s.agreed.Hosts {
		if s.shareEpochOf(host) >= s.agreed.Epoch {
			inUse++
		}
	}
	return inUse == len(s.agreed.Hosts)
}

func (s *State) shareEpochOf(host string) uint64 {
	if host == s.self.Host {
		return s.shareEpoch
	}
	if c := s.contacts[host]; c != nil {
		return c.shareEpoch
	}
	return 0
}

func majorityEvent(quorate bool) eventlog.Event {
	if quorate {
		return eventMajority
	}
	return eventMinority
}
