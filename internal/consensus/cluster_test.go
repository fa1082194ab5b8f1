package consensus

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against violations of the invariants in invariants_test.go under random
// message loss, delay, duplication, reordering, partitions, crashes, full and
// lost disks, voter replacement and clock drift.
func TestClusterKeepsInvariantsUnderFaults(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkCluster(t, voters) })
		})
	}
}

func checkCluster(t *rapid.T, voters int) {
	s := newSim(t.Fatalf, rapid.Uint64().Draw(t, "seed"), voters)
	s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
	pick := func() *simHost { return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")] }
	advance := func() {
		s.run(time.Duration(rapid.SampledFrom([]int{10, 50, 300, 2000}).Draw(t, "ms")) * time.Millisecond)
	}
	advance()
	t.Repeat(map[string]func(*rapid.T){
		"advance":  func(*rapid.T) { advance() },
		"advance2": func(*rapid.T) { advance() },
		"propose": func(*rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "count") {
				s.propose(pick())
			}
		},
		"read": func(*rapid.T) {
			for _, h := range s.hosts {
				s.read(h)
			}
		},
		"crash": func(*rapid.T) { s.crash(pick()) },
		"restart": func(*rapid.T) {
			for _, h := range s.hosts {
				s.start(h)
			}
		},
		"lose disk": func(*rapid.T) {
			if h := pick(); s.mayLoseDisk(h) {
				s.loseDisk(h)
			}
		},
		"replace lost voter": func(*rapid.T) { s.replaceLostVoter() },
		"change voters": func(*rapid.T) {
			if l := s.leader(); l != nil {
				op := VoterOp(rapid.IntRange(0, 2).Draw(t, "op"))
				if h := pick(); op != Remove || s.mayRemove(l, h.self.Identity) {
					s.step(l, ChangeVoters{ID: "change", Op: op, Member: h.self})
				}
			}
		},
		"partition": func(*rapid.T) { s.partition() },
		"heal":      func(*rapid.T) { clear(s.blocked) },
		"compact":   func(*rapid.T) { s.compact(pick()) },
		"transfer": func(*rapid.T) {
			if l := s.leader(); l != nil {
				s.step(l, TransferLeadership{ID: "transfer", To: pick().self.Identity})
			}
		},
		"fill disk": func(*rapid.T) { pick().disk.full = true },
		"free disk": func(*rapid.T) {
			for _, h := range s.hosts {
				h.disk.full = false
			}
		},
	})
	s.recover()
	s.checkProgress()
}

// checkProgress guards against a cluster that elects a leader but commits no
// proposal, and against members that never catch up. Some proposals may be
// refused, for example until a write refused by a full disk is retried.
func (s *sim) checkProgress() {
	before := s.lastCommit
	for range 20 {
		if l := s.leader(); l != nil {
			s.propose(l)
		}
		s.run(time.Second)
	}
	if s.lastCommit == before {
		s.fatalf("no progress after all faults ended%s", s.states())
	}
	set := s.leader().node.voters()
	for _, h := range s.hosts {
		if _, member := set.member(h.self.Identity); member && h.applied < s.lastCommit {
			s.fatalf("%s has applied %d of %d%s", h.self.Identity, h.applied, s.lastCommit, s.states())
		}
	}
}

// recover ends all faults and waits for a leader, which must be elected because
// every voter set in use has a majority of intact disks.
func (s *sim) recover() {
	s.loss = 0
	clear(s.blocked)
	for _, h := range s.hosts {
		h.disk.full = false
		s.start(h)
	}
	for range 60 {
		s.run(time.Second)
		if l := s.leader(); l != nil && l.node.hard.Commit >= l.node.leading.termStart && l.node.leading.transfer == nil {
			return
		}
	}
	s.fatalf("no leader 60 s after all faults ended%s", s.states())
}

func (s *sim) states() string {
	states := ""
	for _, h := range s.hosts {
		states += fmt.Sprintf("\n%+v", h.node.Status())
	}
	return states
}

// Guards against reads that miss a committed entry because a host's clock does not count the time for which it was suspended.
func TestReadsAreCurrentAfterSuspensions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t.Fatalf, rapid.Uint64().Draw(t, "seed"), 3)
		s.clocksStop = true
		s.recover()
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(*rapid.T) {
				s.run(time.Duration(rapid.SampledFrom([]int{10, 100, 1000, 5000}).Draw(t, "ms")) * time.Millisecond)
			},
			"suspend": func(*rapid.T) { s.hosts[rapid.IntRange(0, 2).Draw(t, "host")].asleep = true },
			"wake": func(*rapid.T) {
				for _, h := range s.hosts {
					h.asleep = false
					s.read(h)
				}
			},
			"propose": func(*rapid.T) {
				for _, h := range s.hosts {
					if !h.asleep {
						s.propose(h)
					}
				}
			},
		})
		for _, h := range s.hosts {
			h.asleep = false
		}
		s.recover()
		s.checkProgress()
	})
}
