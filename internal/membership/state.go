package membership

import (
	"cmp"
	"iter"
	"net/netip"
	"slices"
	"time"
)

// Periods of the failure detector.
const (
	HeartbeatInterval = 500 * time.Millisecond
	SilentAfter       = 800 * time.Millisecond  // other hosts are asked about a neighbour not heard for this long
	SuspectAfter      = 1500 * time.Millisecond // a neighbour that no host heard for this long is suspected
	ConfirmAfter      = 1500 * time.Millisecond // a suspected neighbour is declared dead after this long
	ConfirmFarAfter   = 4 * time.Second         // any other suspected host is declared dead after this long
	SeedInterval      = 200 * time.Millisecond  // between messages to the seeds while there are no neighbours
	ProbeInterval     = 2 * time.Second         // between probes of lost hosts and seeds
	PauseBound        = 1 * time.Second         // a longer gap between ticks counts as a pause
	LostRetention     = 1 * time.Hour           // a dead or left host is remembered this long
	cleanupInterval   = 10 * time.Second
	resyncAfter       = 3 * time.Second
	resyncInterval    = 10 * time.Second
	replacedAfter     = 10 * time.Second
)

// Settings configure a host.
type Settings struct {
	Self      Member // with the incarnation of this process
	Seeds     []netip.AddrPort
	Staleness time.Duration // how long a confirmation of the configuration holds
}

// memberRecord is a member with this host's own data about it.
type memberRecord struct {
	Member
	since  time.Time // of State
	flaps  uint8     // recent returns of the lost host
	digest uint64
}

// contact is the state of direct exchanges with another host.
type contact struct {
	incarnation  uint64
	since        time.Time
	heardAt      time.Time // last message
	indirectAt   time.Time // last heard by another host, as reported here
	sentAt       time.Time // last request to it
	echoAt       time.Time // its content is at least as new as this
	token        int64
	introduce    bool // it lacks this host's record
	applied      Position
	seen         Position
	memberEpoch  uint64
	shareEpoch   uint64
	ready        bool
	aheadSince   time.Time
	aheadLogged  time.Time
	differsSince time.Time
	resyncAt     time.Time
	askedAbout   []string
}

// State is the membership state of one host. It belongs to the control
// goroutine; traffic goroutines read its Evidence.
type State struct {
	settings   Settings
	self       Member
	startedAt  time.Time
	members    map[string]*memberRecord
	live       []*Member // in members, sorted by host
	suspected  map[string]bool
	contacts   map[string]*contact
	neighbours []string
	topology   *topology // nil in a full mesh
	digest     uint64
	replaced   bool

	agreed    AgreedList
	isAgreed  map[string]bool
	forgotten map[string]bool
	leading   bool
	leadSince time.Time
	proposeAt time.Time

	applied       Position
	seen          Position
	confirmed     LeaderConfirmed
	everConfirmed bool // see markConfirmed
	shareEpoch    uint64
	shareDone     uint64
	ready         bool
	reports       map[string][]RegionReport // by region
	report        RegionReport              // of this host's region, if it is a relay
	reportAt      time.Time
	evidence      Evidence
	evidenceSeen  Position // seen at the last update of evidence
	quorate       bool

	liveDirty   bool
	lastTick    time.Time
	lastCleanup time.Time
	seedsAt     time.Time
	probeAt     time.Time
	probeNext   int
}

// NewState returns the state of a host that knows no other host yet.
func NewState(now time.Time, settings Settings) *State {
	self := settings.Self
	self.State = Alive
	s := &State{
		settings:  settings,
		self:      self,
		startedAt: now,
		members:   map[string]*memberRecord{},
		suspected: map[string]bool{},
		contacts:  map[string]*contact{},
		isAgreed:  map[string]bool{},
		forgotten: map[string]bool{},
		reports:   map[string][]RegionReport{},
		liveDirty: true,
	}
	s.put(now, self)
	return s
}

// Step applies an event and returns its effects.
func (s *State) Step(now time.Time, ev Event) []Effect {
	var effects []Effect
	switch ev := ev.(type) {
	case Tick:
		effects = s.tick(now)
	case HeartbeatReceived:
		effects = s.heartbeatReceived(now, ev)
	case HeartbeatAnswered:
		effects = s.process(now, &ev.Heartbeat)
	case MemberReceived:
		effects = s.memberReceived(now, ev)
	case AgreedListApplied:
		s.agreedListApplied(ev.List)
	case HostForgotten:
		effects = s.hostForgotten(now, ev.Host)
	case ConfigApplied:
		s.configApplied(ev.Position)
	case LeaderConfirmed:
		s.leaderConfirmed(ev)
	case LeadershipChanged:
		s.leading, s.leadSince = ev.Leading, now
	case SharesInUse:
		s.shareEpoch = max(s.shareEpoch, ev.Epoch)
		s.shareDone = max(s.shareDone, ev.Completed)
	case ReadinessChanged:
		s.ready = ev.Ready
	case SeedsChanged:
		s.settings.Seeds = ev.Seeds
	case Leave:
		s.self.State = Left
		effects = s.changeSelf(now)
	}
	if changesEvidence(ev) || s.seen != s.evidenceSeen {
		s.evidenceSeen = s.seen
		s.updateEvidence(now)
	}
	return append(effects, s.updateLive(now, ev)...)
}

func changesEvidence(ev Event) bool {
	switch ev.(type) {
	case HeartbeatReceived, HeartbeatAnswered, MemberReceived:
		return false
	default:
		return true
	}
}

// Self returns the record of this host.
func (s *State) Self() Member { return s.self }

// Member returns the record of a host and how long it has had its state.
func (s *State) Member(now time.Time, host string) (m Member, stateAge time.Duration, ok bool) {
	rec := s.members[host]
	if rec == nil {
		return Member{}, 0, false
	}
	return rec.Member, now.Sub(rec.since), true
}

// Members returns all known hosts in no particular order. It omits lost hosts
// near the end of their retention, since hosts remove them at different times
// and would otherwise send them to each other again.
func (s *State) Members(now time.Time) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, rec := range s.members {
			if !rec.Live() && now.Sub(rec.since) > LostRetention*4/5 {
				continue
			}
			if !yield(rec.Member) {
				return
			}
		}
	}
}

// Live returns the live members, sorted by host.
func (s *State) Live() []Member {
	live := make([]Member, len(s.live))
	for i, m := range s.live {
		live[i] = *m
	}
	return live
}

// InTouch reports whether this host exchanges messages with a live host: with it itself
// or, if it is not a neighbour, with a majority of the neighbours, which would know
// that it is gone.
func (s *State) InTouch(now time.Time, host string) bool {
	rec := s.members[host]
	if rec == nil || rec.State != Alive {
		return false
	}
	if host == s.self.Host {
		return true
	}
	answers := func(host string) bool {
		c := s.contacts[host]
		return c != nil && !c.echoAt.IsZero() && now.Sub(c.echoAt) <= MajorityWindow
	}
	if slices.Contains(s.neighbours, host) {
		return answers(host)
	}
	answering := 0
	for _, n := range s.neighbours {
		if answers(n) {
			answering++
		}
	}
	return answering > len(s.neighbours)/2
}

// Ready reports whether a neighbour announced that it accepts new requests.
func (s *State) Ready(host string) bool {
	c := s.contacts[host]
	return c != nil && c.ready
}

// put adds or replaces the record of a host.
func (s *State) put(now time.Time, m Member) {
	rec := s.members[m.Host]
	if rec == nil {
		rec = &memberRecord{since: now}
		s.members[m.Host] = rec
		s.liveDirty = true
	}
	if rec.Live() != m.Live() || rec.State != m.State {
		rec.countFlap(now, m.Live())
		rec.since = now
	}
	s.updateLiveList(rec, m)
	s.liveDirty = s.liveDirty || rec.Live() != m.Live() || rec.Member.hash() != m.hash()
	s.digest ^= rec.digest
	rec.Member = m
	rec.digest = m.digest()
	s.digest ^= rec.digest
	delete(s.suspected, m.Host)
	if m.State == Suspect && m.Host != s.self.Host {
		s.suspected[m.Host] = true
	}
}

// updateLiveList adds a member to the sorted list of live ones or removes it,
// before m replaces its record.
func (s *State) updateLiveList(rec *memberRecord, m Member) {
	i, listed := slices.BinarySearchFunc(s.live, m.Host, func(o *Member, host string) int { return cmp.Compare(o.Host, host) })
	switch {
	case m.Live() && !listed:
		rec.Host = m.Host
		s.live = slices.Insert(s.live, i, &rec.Member)
	case !m.Live() && listed:
		s.live = slices.Delete(s.live, i, i+1)
	}
}

// merge applies a record of another host if it is newer, and reports whether
// it was.
func (s *State) merge(now time.Time, m Member) bool {
	rec := s.members[m.Host]
	if rec != nil && m.Compare(&rec.Member) <= 0 {
		return false
	}
	s.put(now, m)
	if c := s.contacts[m.Host]; c != nil && m.Live() && c.incarnation < m.Incarnation {
		c.indirectAt = now
	}
	return true
}

func (s *State) memberReceived(now time.Time, ev MemberReceived) []Effect {
	m := ev.Member
	if m.Validate() != nil {
		return nil
	}
	if m.Host == s.self.Host {
		return s.selfReceived(now, m)
	}
	if s.members[m.Host] == nil && !m.Live() && ev.StateAge >= LostRetention {
		return nil
	}
	if !s.merge(now, m) {
		return nil
	}
	if !m.Live() {
		s.members[m.Host].since = now.Add(-ev.StateAge)
	}
	return []Effect{Disseminate{Host: m.Host, From: ev.From, Urgent: m.State != Alive}}
}

// selfReceived refutes a wrong record of this host with a higher incarnation.
// If a process at another address took this host's name after this one had run
// for replacedAfter, this one has been replaced and stops serving instead of
// competing.
func (s *State) selfReceived(now time.Time, m Member) []Effect {
	if m.Compare(&s.self) <= 0 {
		return nil
	}
	if m.State == Alive && m.PeerAddress != s.self.PeerAddress && now.Sub(s.startedAt) > replacedAfter {
		if s.replaced {
			return nil
		}
		s.replaced = true
		return []Effect{Log{Event: eventReplaced, Host: m.Host, Detail: m.PeerAddress.String()}}
	}
	if s.replaced || s.self.State == Left && m.State == Left {
		return nil
	}
	s.self.Incarnation = m.Incarnation + 1
	effects := s.changeSelf(now)
	return append(effects, Log{Event: eventRefuted, Host: m.Host, Detail: m.State.String()})
}

func (s *State) changeSelf(now time.Time) []Effect {
	s.put(now, s.self)
	return []Effect{Disseminate{Host: s.self.Host, Urgent: true}}
}

// updateLive reports changes of the live members and of the neighbours. Above
// MeshLimit hosts it does so on ticks only, since each report takes time in
// proportion to the number of hosts.
func (s *State) updateLive(now time.Time, ev Event) []Effect {
	quorate := s.evidence.HearsMajority(now)
	if _, tick := ev.(Tick); !tick && len(s.live) > MeshLimit || !s.liveDirty && quorate == s.quorate {
		return nil
	}
	var effects []Effect
	if quorate != s.quorate {
		effects = append(effects, Log{Event: majorityEvent(quorate), Host: s.self.Host})
	}
	s.quorate = quorate
	names := make([]string, len(s.live))
	for i, m := range s.live {
		names[i] = m.Host
	}
	effects = append(effects, LiveChanged{Live: names, Quorate: quorate})
	if s.liveDirty {
		effects = append(effects, s.updateNeighbours(now))
	}
	s.liveDirty = false
	return effects
}

func (s *State) updateNeighbours(now time.Time) NeighboursChanged {
	s.topology = nil
	if len(s.live) > MeshLimit {
		s.topology = newTopology(s.live)
		s.neighbours = s.topology.neighbours(s.self.Host)
	} else {
		s.neighbours = namesExcept(s.self.Host, s.live)
	}
	neighbours := make([]Neighbour, len(s.neighbours))
	for i, host := range s.neighbours {
		leaf := s.relaying() && !s.topology.isRelay(host)
		neighbours[i] = Neighbour{Member: s.members[host].Member, Leaf: leaf}
		s.contactOf(now, host)
	}
	return NeighboursChanged{Neighbours: neighbours}
}

// cleanup removes lost hosts past their retention that are not in the agreed
// list, and contacts that are neither neighbours nor heard from lately.
func (s *State) cleanup(now time.Time) {
	if now.Sub(s.lastCleanup) < cleanupInterval {
		return
	}
	s.lastCleanup = now
	for host, rec := range s.members {
		if !rec.Live() && now.Sub(rec.since) > LostRetention && !s.isAgreed[host] {
			delete(s.members, host)
		}
	}
	for host, c := range s.contacts {
		_, neighbour := slices.BinarySearch(s.neighbours, host)
		if !neighbour && now.Sub(c.heardAt) > cleanupInterval {
			delete(s.contacts, host)
		}
	}
}
