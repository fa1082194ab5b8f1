package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simDisk simulates a data directory. A crash loses the pending writes.
type simDisk struct {
	durable    DurableState
	pending    []pendingWrite
	full       bool
	refusedSeq uint64 // first refused Persist; later ones are refused until it is written
	durableSeq uint64
}

type pendingWrite struct {
	persist Persist
	dueAt   time.Duration
}

func (d *simDisk) apply(p Persist) {
	d.durable.HardState = p.HardState
	if s := p.Snapshot; s != nil {
		d.durable.Entries = d.entriesAfter(s)
		d.durable.Snapshot = s
	}
	if len(p.Entries) > 0 {
		at := slices.IndexFunc(d.durable.Entries, func(e Entry) bool { return e.Index >= p.Entries[0].Index })
		if at < 0 {
			at = len(d.durable.Entries)
		}
		d.durable.Entries = append(slices.Clone(d.durable.Entries[:at]), p.Entries...)
		covered := func(e Entry) bool { return e.Index <= d.durable.Snapshot.Index }
		d.durable.Entries = slices.DeleteFunc(d.durable.Entries, covered)
	}
	d.durableSeq = p.Seq
}

func (d *simDisk) entriesAfter(s *Snapshot) []Entry {
	at := slices.IndexFunc(d.durable.Entries, func(e Entry) bool { return e.Index == s.Index && e.Term == s.Term })
	if at < 0 {
		return nil
	}
	return slices.Clone(d.durable.Entries[at+1:])
}

func (d *simDisk) holds(index, term uint64) bool {
	if s := d.durable.Snapshot; s != nil && s.Index >= index {
		return true
	}
	return slices.ContainsFunc(d.durable.Entries, func(e Entry) bool { return e.Index == index && e.Term == term })
}

// simHost is a host. It keeps its name and address when its process restarts or
// its disk is replaced.
type simHost struct {
	self    Member
	disk    *simDisk
	node    *Node // nil while down
	rate    float64
	offset  time.Duration
	asleep  bool          // the machine is suspended: it does nothing and its clock stands still
	slept   time.Duration // for which the clock stood still
	applied uint64
	checked entryID // last entry of the log at the last check
}

type simMessage struct {
	from, to string // host names
	dueAt    time.Duration
	message  Message
}

type entryID struct{ index, term uint64 }

type campaign struct {
	candidate Identity
	term      uint64
}

// sim simulates a cluster in virtual time with a faulty network, and checks the
// invariants after every step.
type sim struct {
	fatalf            func(format string, args ...any)
	rnd               *rand.Rand
	now               time.Duration
	initial           []Member
	hosts             []*simHost
	network           []simMessage
	blocked           map[[2]string]bool
	loss              float64
	clocksStop        bool // clocks do not count suspensions, so leases may outlast elections
	maxDelay, maxSync time.Duration
	disks             map[Identity]*simDisk // all disks, including lost ones

	nextID       int
	leaders      map[uint64]Identity
	campaigns    map[campaign]VoterSet // voter set of the candidate
	seen         map[entryID]string    // entry content and the term before it
	committed    map[uint64]entryID
	lastCommit   uint64
	minReadIndex map[string]uint64
	reads        int // served
	values       map[string]bool
}

const (
	simElectionTimeout = time.Second
	simClockDrift      = 100 * time.Millisecond
	simStep            = 10 * time.Millisecond
)

func newSim(fatalf func(string, ...any), seed uint64, voters int) *sim {
	s := &sim{
		fatalf: fatalf, maxDelay: 10 * time.Millisecond, maxSync: 30 * time.Millisecond, rnd: rand.New(rand.NewPCG(seed, 7)), blocked: map[[2]string]bool{},
		disks: map[Identity]*simDisk{}, leaders: map[uint64]Identity{}, campaigns: map[campaign]VoterSet{}, seen: map[entryID]string{},
		committed: map[uint64]entryID{}, minReadIndex: map[string]uint64{}, values: map[string]bool{},
	}
	for i := range voters {
		name := string(rune('a' + i))
		s.initial = append(s.initial, Member{Name: name, Address: name})
	}
	for _, m := range s.initial {
		s.addHost(m)
	}
	return s
}

func (s *sim) addHost(m Member) {
	// The difference of two clocks over one election timeout stays below
	// MaxClockDrift.
	rate := 1 + (s.rnd.Float64()-0.5)*0.95*float64(simClockDrift)/float64(simElectionTimeout)
	h := &simHost{self: m, rate: rate, offset: time.Duration(s.rnd.Int64N(int64(time.Hour)))}
	s.hosts = append(s.hosts, h)
	s.emptyDisk(h)
	s.start(h)
}

func (s *sim) emptyDisk(h *simHost) {
	s.nextID++
	h.self.Identity = Identity(fmt.Sprintf("%s%d", h.self.Name, s.nextID))
	h.disk = &simDisk{}
	s.disks[h.self.Identity] = h.disk
}

func (s *sim) start(h *simHost) {
	if h.node != nil {
		return
	}
	node, err := New(Options{
		Self: h.self, Initial: s.initial,
		ElectionTimeout: simElectionTimeout, MaxClockDrift: simClockDrift,
		MaxAppendEntries: 4, MaxAppendsInFlight: 3, MaxPersistsInFlight: 3, MaxProposalsInFlight: 64,
		SnapshotChunkBytes: 16, TrailingEntries: 3,
		Rand: rand.New(rand.NewPCG(s.rnd.Uint64(), 1)),
	}, h.disk.durable)
	if err != nil {
		s.fatalf("start of %s: %v", h.self.Name, err)
	}
	h.node = node
	h.applied = 0
	h.checked = entryID{}
	h.disk.durableSeq, h.disk.refusedSeq = 0, 0
	s.step(h, Tick{})
}

// crash stops the process. It loses the pending writes except for a random number
// of the oldest, which reached the disk but were not reported.
func (s *sim) crash(h *simHost) {
	if h.node == nil {
		return
	}
	h.node = nil
	kept := s.rnd.IntN(len(h.disk.pending) + 1)
	for _, w := range h.disk.pending[:kept] {
		if w.dueAt >= 0 {
			h.disk.apply(w.persist)
		}
	}
	h.disk.pending = nil
}

func (s *sim) loseDisk(h *simHost) {
	s.crash(h)
	s.emptyDisk(h)
	s.start(h)
}

func (h *simHost) clock(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(h.offset + time.Duration(float64(now-h.slept)*h.rate))
}

func (s *sim) step(h *simHost, ev Event) {
	if h.node == nil {
		return
	}
	vote := h.node.hard.Vote
	for _, e := range h.node.Step(h.clock(s.now), ev) {
		s.execute(h, e)
	}
	if h.node.hard.Vote != vote {
		s.checkVote(h)
	}
	s.checkLog(h)
}

func (s *sim) execute(h *simHost, e Effect) {
	switch e := e.(type) {
	case Send:
		s.transmit(h, e)
	case Persist:
		s.submit(h, e)
	case Apply:
		s.checkApply(h, e)
	case RestoreSnapshot:
		s.checkRestore(h, e.Snapshot)
	case RoleChanged:
		switch e.Role {
		case Leader:
			s.checkLeader(h, e.Term)
		case Candidate, PreCandidate:
			s.checkCandidate(h, e.Term)
		}
	case ReadReady:
		s.checkRead(h, e)
	}
}

func (s *sim) submit(h *simHost, p Persist) {
	d := h.disk
	switch {
	case p.Seq <= d.durableSeq:
		return
	case d.full || d.refusedSeq != 0 && p.Seq > d.refusedSeq:
		d.refusedSeq = max(1, min(p.Seq, d.refusedSeq))
		if d.refusedSeq == 1 {
			d.refusedSeq = p.Seq
		}
		d.pending = append(d.pending, pendingWrite{persist: Persist{Seq: p.Seq}, dueAt: -1})
		return
	}
	d.refusedSeq = 0
	d.pending = append(d.pending, pendingWrite{p, s.now + time.Duration(s.rnd.Int64N(int64(s.maxSync)))})
}

// sync completes the writes that are due, in order, and reports them to the node.
func (s *sim) sync(h *simHost) {
	d := h.disk
	for h.node != nil && len(d.pending) > 0 && d.pending[0].dueAt <= s.now {
		w := d.pending[0]
		d.pending = d.pending[1:]
		if w.dueAt < 0 {
			s.step(h, PersistFailed{Seq: w.persist.Seq})
			continue
		}
		d.apply(w.persist)
		s.step(h, Persisted{Seq: w.persist.Seq})
	}
}

func (s *sim) transmit(h *simHost, e Send) {
	if !slices.ContainsFunc(s.hosts, func(o *simHost) bool { return o.self.Name == e.To.Address }) {
		return // the host is gone for good
	}
	copies := 1
	switch r := s.rnd.Float64(); {
	case r < s.loss:
		copies = 0
	case r < 1.5*s.loss:
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.rnd.Int64N(int64(s.maxDelay)))
		if s.rnd.Float64() < s.loss {
			delay += time.Duration(s.rnd.Int64N(int64(3 * time.Second)))
		}
		s.network = append(s.network, simMessage{h.self.Name, e.To.Address, s.now + delay, e.Message})
	}
}

// run advances virtual time by d.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		s.deliver()
		for _, h := range s.hosts {
			if h.asleep {
				h.slept += simStep
				continue
			}
			s.sync(h)
			s.step(h, Tick{})
		}
	}
}

func (s *sim) deliver() {
	due := func(m simMessage) bool { return m.dueAt <= s.now && !s.host(m.to).asleep }
	var ready []simMessage
	for _, m := range s.network {
		if due(m) {
			ready = append(ready, m)
		}
	}
	s.network = slices.DeleteFunc(s.network, due)
	s.rnd.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	for _, m := range ready {
		if !s.blocked[[2]string{m.from, m.to}] {
			s.step(s.host(m.to), MessageReceived{Message: m.message})
		}
	}
}

func (s *sim) host(name string) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.self.Name == name })
	return s.hosts[i]
}

func (s *sim) leader() *simHost {
	var found *simHost
	for _, h := range s.hosts {
		if h.node != nil && h.node.role == Leader && (found == nil || h.node.hard.Term > found.node.hard.Term) {
			found = h
		}
	}
	return found
}

func (s *sim) propose(h *simHost) {
	s.nextID++
	id := fmt.Sprint(s.nextID)
	s.step(h, Propose{ID: id, Data: []byte(id)})
}

func (s *sim) read(h *simHost) {
	s.nextID++
	id := fmt.Sprint(s.nextID)
	s.minReadIndex[id] = s.lastCommit
	s.step(h, ReadIndex{ID: id})
}

func (s *sim) compact(h *simHost) {
	if h.node != nil && h.applied > 0 {
		s.step(h, Compact{Index: h.applied, Data: fmt.Appendf(nil, "state at index %d", h.applied)})
	}
}

// partition blocks random links, in one direction or both.
func (s *sim) partition() {
	oneWay := s.rnd.IntN(4) == 0
	for _, a := range s.hosts {
		side := s.rnd.IntN(2) == 0
		for _, b := range s.hosts {
			if side && a != b && s.rnd.IntN(3) > 0 {
				s.blocked[[2]string{a.self.Name, b.self.Name}] = true
				s.blocked[[2]string{b.self.Name, a.self.Name}] = !oneWay
			}
		}
	}
}

// mayLoseDisk reports whether every voter set in use keeps a majority of its
// disks when h loses its own; the protocol guarantees nothing otherwise. A set
// is also in use while a message carries it, since it may outlive its leader at
// the receiver.
func (s *sim) mayLoseDisk(h *simHost) bool {
	present := map[Identity]bool{}
	for _, o := range s.hosts {
		present[o.self.Identity] = o != h
	}
	for _, set := range s.setsInFlight() {
		if !keepsMajority(set, present) {
			return false
		}
	}
	for _, o := range s.hosts {
		sets := []VoterSet{}
		if o.disk.durable.Snapshot != nil {
			sets = append(sets, o.disk.durable.Snapshot.Voters)
		}
		for _, e := range o.disk.durable.Entries {
			if e.Voters != nil {
				sets = append(sets, *e.Voters)
			}
		}
		if o.node != nil && len(o.node.voterLog) > 0 {
			sets = append(sets, o.node.voters())
		}
		if len(sets) == 0 {
			return false
		}
		if !keepsMajority(sets[len(sets)-1], present) {
			return false
		}
	}
	return true
}

func keepsMajority(set VoterSet, present map[Identity]bool) bool {
	kept := 0
	for _, m := range set.Voters {
		if present[m.Identity] {
			kept++
		}
	}
	return kept >= set.Quorum()
}

// setsInFlight returns the uncommitted voter sets in messages in flight.
func (s *sim) setsInFlight() []VoterSet {
	var sets []VoterSet
	for _, m := range s.network {
		a, _ := m.message.Body.(Append)
		for _, e := range a.Entries {
			if e.Voters != nil && e.Index > s.lastCommit {
				sets = append(sets, *e.Voters)
			}
		}
	}
	return sets
}

// mayRemove reports whether the voters that remain after a removal keep a
// majority of their disks. An operator who removes an intact voter while others
// have lost their disks can end the cluster, which the leader cannot detect.
func (s *sim) mayRemove(leader *simHost, id Identity) bool {
	present := map[Identity]bool{}
	for _, h := range s.hosts {
		present[h.self.Identity] = true
	}
	return keepsMajority(leader.node.voters().without(id), present)
}

// replaceLostVoter takes the next step of an operator after a lost disk: remove
// the old identity, then promote the new one.
func (s *sim) replaceLostVoter() {
	l := s.leader()
	if l == nil {
		return
	}
	present := map[Identity]bool{}
	for _, h := range s.hosts {
		present[h.self.Identity] = true
	}
	set := l.node.voters()
	for _, m := range set.Voters {
		if !present[m.Identity] {
			s.step(l, ChangeVoters{ID: "remove", Op: Remove, Member: m})
			return
		}
	}
	for _, m := range set.Learners {
		// Promoting a learner that has lost its disk would add a lost voter.
		if present[m.Identity] {
			s.step(l, ChangeVoters{ID: "promote", Op: Promote, Member: m})
		}
	}
}
