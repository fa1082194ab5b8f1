package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// newHealthySim returns a cluster without faults that has a leader.
func newHealthySim(t *testing.T, voters int) *sim {
	s := newSim(t.Fatalf, 1, voters)
	s.recover()
	return s
}

// Guards against a cluster that does not start, and against a restart of all
// hosts that loses the committed log or bootstraps another cluster.
func TestBootstrap(t *testing.T) {
	for _, voters := range []int{1, 3, 5} {
		s := newHealthySim(t, voters)
		require.Len(t, s.leader().node.voters().Voters, voters)
		s.propose(s.leader())
		s.run(time.Second)
		cluster, committed := s.leader().node.hard.Cluster, s.lastCommit
		for _, h := range s.hosts {
			s.crash(h)
		}
		s.recover()
		require.Equal(t, cluster, s.leader().node.hard.Cluster)
		require.Greater(t, s.lastCommit, committed)
	}
}

// Guards against a founder that bootstraps before all initial voters replied,
// which could create a second cluster.
func TestBootstrapNeedsAllInitialVoters(t *testing.T) {
	s := newSim(t.Fatalf, 1, 3)
	s.crash(s.hosts[2])
	s.run(10 * time.Second)
	for _, h := range s.hosts[:2] {
		require.True(t, h.node.empty())
	}
	s.recover()
}

// Guards against a host that keeps its vote after it lost its disk, a wiped
// founder that bootstraps a second cluster, and a replacement of the lost voter
// that does not complete.
func TestLostDiskRejoinsAsLearner(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		s := newHealthySim(t, 3)
		cluster := s.leader().node.hard.Cluster
		h := s.hosts[lost]
		old := h.self.Identity
		s.loseDisk(h)
		s.recover()
		s.run(5 * time.Second)
		set := s.leader().node.voters()
		require.True(t, set.IsVoter(old))
		require.True(t, set.IsLearner(h.self.Identity))
		require.Equal(t, cluster, h.node.hard.Cluster)
		for range 3 {
			s.replaceLostVoter()
			s.run(time.Second)
		}
		set = s.leader().node.voters()
		require.False(t, set.IsVoter(old))
		require.True(t, set.IsVoter(h.self.Identity))
	}
}

// Guards against a lagging follower that a snapshot in chunks never catches up.
func TestSnapshotReachesLaggard(t *testing.T) {
	s := newHealthySim(t, 3)
	laggard := s.hosts[2]
	if laggard == s.leader() {
		laggard = s.hosts[1]
	}
	s.crash(laggard)
	for range 20 {
		s.propose(s.leader())
	}
	s.run(time.Second)
	s.compact(s.leader())
	s.run(time.Second)
	s.start(laggard)
	s.run(3 * time.Second)
	require.Equal(t, s.lastCommit, laggard.applied)
	require.Equal(t, s.leader().node.snapshot.Index, laggard.node.snapshot.Index)
}

// Guards against a partitioned leader that keeps its lease or still serves
// reads.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	s := newHealthySim(t, 3)
	s.run(time.Second)
	old := s.leader()
	require.True(t, old.node.leaseHeld())
	for _, h := range s.hosts {
		s.blocked[[2]string{old.self.Name, h.self.Name}] = true
		s.blocked[[2]string{h.self.Name, old.self.Name}] = true
	}
	s.read(old)
	s.run(simElectionTimeout)
	require.NotEqual(t, Leader, old.node.role)
	s.run(5 * time.Second)
	require.NotNil(t, s.leader())
	require.NotEqual(t, old, s.leader())
	require.Zero(t, s.reads)
}

// Guards against a leader that still serves reads in its first step after a
// pause that outlasted its lease.
func TestPausedLeaderStepsDownBeforeItActs(t *testing.T) {
	s := newHealthySim(t, 3)
	s.run(time.Second)
	l := s.leader()
	s.now += 2 * simElectionTimeout
	refused := false
	for _, e := range l.node.Step(l.clock(s.now), ReadIndex{ID: "r"}) {
		_, answered := e.(ReadReady)
		require.False(t, answered)
		_, ok := e.(ReadRefused)
		refused = refused || ok
	}
	require.True(t, refused)
	require.Equal(t, Follower, l.node.role)
}

// Guards against a lease after TimeoutNow was sent, when the next leader may be
// elected at any time.
func TestTransferEndsLease(t *testing.T) {
	s := newHealthySim(t, 3)
	s.run(time.Second)
	l := s.leader()
	s.step(l, TransferLeadership{ID: "t"})
	require.False(t, l.node.leaseHeld())
	s.run(time.Second)
	require.NotEqual(t, l, s.leader())
	require.Equal(t, l.node.leader.Identity, s.leader().self.Identity)
}

// Guards against reads that are never served, and against a read that the lease alone
// confirms.
func TestReadsByQuorum(t *testing.T) {
	for _, voters := range []int{1, 3} {
		s := newHealthySim(t, voters)
		s.run(time.Second)
		for range 5 {
			s.read(s.leader())
			s.read(s.leader())
		}
		if voters > 1 {
			require.True(t, s.leader().node.leaseHeld())
			require.Zero(t, s.reads)
		}
		s.run(time.Second)
		require.Equal(t, 10, s.reads)
	}
}

// Guards against a read that is confirmed by a heartbeat sent before it: another
// leader may have committed entries in between.
func TestReadNeedsALaterHeartbeat(t *testing.T) {
	s := newHealthySim(t, 3)
	s.run(time.Second)
	l := s.leader()
	now := l.clock(s.now)
	l.node.broadcastHeartbeat()
	round := l.node.leading.round
	l.node.Step(now, ReadIndex{ID: "r"})
	answered := func(round uint64) bool {
		from := l.node.otherVoters()[0]
		effects := l.node.Step(now, MessageReceived{Message: Message{
			From: from, To: l.self.Identity, Cluster: l.node.hard.Cluster, Term: l.node.hard.Term,
			Body: HeartbeatReply{Round: round},
		}})
		for _, e := range effects {
			if _, ok := e.(ReadReady); ok {
				return true
			}
		}
		return false
	}
	require.False(t, answered(round))
	require.True(t, answered(round+1))
}

// Guards against a restarted voter that helps to elect another leader while the
// leader still holds the lease that the voter confirmed before its restart.
func TestRestartedVoterGrantsNoVoteDuringLease(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t.Fatalf, seed, 3)
		s.recover()
		s.run(time.Second)
		l := s.leader()
		var others []*simHost
		for _, h := range s.hosts {
			if h != l {
				others = append(others, h)
			}
		}
		s.blocked[[2]string{l.self.Name, others[0].self.Name}] = true
		s.run(3 * simElectionTimeout) // others[0] campaigns, others[1] refuses its vote
		require.Equal(t, l, s.leader())
		s.crash(others[1])
		s.start(others[1])
		s.blocked[[2]string{l.self.Name, others[1].self.Name}] = true
		s.run(3 * simElectionTimeout) // checkLeases examines the election
		require.NotEqual(t, l, s.leader())
	}
}

// Guards against a lease that is not shortened by the clock drift: a leader with
// a slow clock would hold it after voters with faster clocks have elected
// another one.
func TestLeaseAllowsForClockDrift(t *testing.T) {
	for seed := range uint64(200) {
		s := newSim(t.Fatalf, seed, 3)
		s.maxDelay, s.maxSync = 1, 1
		s.recover()
		l := s.leader()
		for _, h := range s.hosts {
			h.rate = 1 + 0.45*float64(simClockDrift)/float64(simElectionTimeout)
		}
		l.rate = 1 - 0.45*float64(simClockDrift)/float64(simElectionTimeout)
		s.run(time.Second)
		for _, h := range s.hosts {
			s.blocked[[2]string{l.self.Name, h.self.Name}] = true
		}
		s.run(3 * simElectionTimeout) // checkLeases examines the election
		require.NotEqual(t, l, s.leader())
	}
}

// Guards against an unbounded number of proposals in flight, and against refusals
// without the verdict NotRun.
func TestProposalsInFlightAreBounded(t *testing.T) {
	s := newHealthySim(t, 3)
	l := s.leader()
	for _, h := range s.hosts {
		h.disk.full = h != l // prevents entries from being committed
	}
	s.propose(l)
	s.run(500 * time.Millisecond)
	var refused *verdict.Error
	for i := 0; refused == nil; i++ {
		require.Less(t, i, 100)
		for _, e := range l.node.Step(l.clock(s.now), Propose{ID: "p", Data: []byte("x")}) {
			if r, ok := e.(ProposalRefused); ok {
				refused = r.Err
			}
		}
	}
	require.Equal(t, CodeTooManyProposals, refused.Code)
	require.Equal(t, verdict.NotRun, refused.Verdict)
}

// Guards against a leader with a full disk that keeps leadership although
// another voter can accept proposals.
func TestLeaderWithFullDiskHandsOver(t *testing.T) {
	s := newHealthySim(t, 3)
	s.run(time.Second)
	old := s.leader()
	old.disk.full = true
	s.propose(old)
	s.run(2 * time.Second)
	require.NotEqual(t, old, s.leader())
	before := s.lastCommit
	s.propose(s.leader())
	s.run(time.Second)
	require.Greater(t, s.lastCommit, before)
	old.disk.full = false
	s.run(3 * time.Second)
	require.False(t, old.node.storage.full)
	require.Equal(t, s.lastCommit, old.applied)
}

// Guards against invalid options, such as a clock drift under which two leaders
// could hold a lease.
func TestOptionsAreValidated(t *testing.T) {
	valid := Options{Self: Member{Identity: "i", Name: "a"}, Rand: rand.New(rand.NewPCG(1, 1))}
	require.NoError(t, valid.Validate())
	for name, change := range map[string]func(*Options){
		"identity": func(o *Options) { o.Self.Identity = "" },
		"drift":    func(o *Options) { o.MaxClockDrift = o.ElectionTimeout },
		"even":     func(o *Options) { o.Initial = []Member{{Name: "a"}, {Name: "b"}} },
		"twice":    func(o *Options) { o.Initial = []Member{{Name: "a"}, {Name: "a"}, {Name: "b"}} },
		"rand":     func(o *Options) { o.Rand = nil },
	} {
		o := valid.withDefaults()
		change(&o)
		require.Error(t, o.Validate(), name)
	}
}

// Guards against too much or too little jitter before the first election when
// all voters restart within 0.3 election timeouts: the election could wait for
// up to a second timeout, while nothing is served, or candidates could split the
// vote because they campaign too close together.
func TestLeaderElectedSoonAfterAllVotersStart(t *testing.T) {
	for _, voters := range []int{3, 5} {
		late := 0
		const runs = 40
		for seed := range runs {
			s := newSim(t.Fatalf, uint64(seed+1), voters)
			s.recover()
			for _, h := range s.hosts {
				s.crash(h)
			}
			for i, h := range s.hosts {
				if i > 0 {
					s.run(3 * simElectionTimeout / 10 / time.Duration(voters-1))
				}
				s.start(h)
			}
			s.run(3 * simElectionTimeout / 2)
			if s.leader() == nil {
				late++
			}
		}
		require.LessOrEqual(t, late, runs/10, "%d voters", voters)
	}
}

// Guards against members that are gone for good and keep others from joining.
func TestLearnersThatAreGoneMakeRoom(t *testing.T) {
	s := newHealthySim(t, 3)
	for i := range 300 {
		m := Member{Name: fmt.Sprint("x", i), Address: fmt.Sprint("x", i)}
		s.addHost(m)
		h := s.hosts[3]
		s.run(2 * time.Second)
		set := s.leader().node.voters()
		require.True(t, set.IsLearner(h.self.Identity), "host %d", i)
		require.LessOrEqual(t, len(set.Learners), DefaultMaxLearners)
		s.crash(h)
		s.hosts = s.hosts[:3]
		s.network = slices.DeleteFunc(s.network, func(m simMessage) bool { return m.to == h.self.Name })
		if i%50 == 0 {
			s.compact(s.leader())
		}
	}
}

// Guards against a learner that is alive and loses its place to one that joins.
func TestLearnersThatAreAliveKeepTheirPlace(t *testing.T) {
	s := newHealthySim(t, 3)
	for i := range DefaultMaxLearners + 1 {
		s.addHost(Member{Name: fmt.Sprint("x", i), Address: fmt.Sprint("x", i)})
		s.run(2 * time.Second)
	}
	set := s.leader().node.voters()
	require.Len(t, set.Learners, DefaultMaxLearners)
	for _, h := range s.hosts[3 : 3+DefaultMaxLearners] {
		require.True(t, set.IsLearner(h.self.Identity))
	}
}
