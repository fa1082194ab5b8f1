package consensus

import "fmt"

// checkLeader guards against two leaders in one term (election safety), and
// against a leader that lacks a committed entry (leader completeness).
func (s *sim) checkLeader(h *simHost, term uint64) {
	if other, ok := s.leaders[term]; ok && other != h.self.Identity {
		s.fatalf("term %d has two leaders: %s and %s", term, other, h.self.Identity)
	}
	s.leaders[term] = h.self.Identity
	s.checkLeases(h)
	for index, id := range s.committed {
		if index > h.node.log.base && !h.node.log.matches(index, id.term) {
			s.fatalf("leader %s of term %d lacks committed entry %d of term %d", h.self.Identity, term, index, id.term)
		}
	}
}

// checkLeases guards against a leader that is elected while another one may
// still confirm its configuration by the lease.
func (s *sim) checkLeases(elected *simHost) {
	for _, h := range s.hosts {
		if s.clocksStop || h == elected || h.node == nil || h.node.role != Leader {
			continue
		}
		other := *h.node
		other.now = h.clock(s.now)
		if other.leaseHeld() && other.now.Before(other.leaseExpiry()) {
			s.fatalf("%s is elected while %s holds a lease for %v", elected.self.Identity, h.self.Identity,
				other.leaseExpiry().Sub(other.now))
		}
	}
}

// checkLog guards against entries of the same index and term that differ between
// logs, in their content or in the term of the entry before them (log matching).
func (s *sim) checkLog(h *simHost) {
	l := &h.node.log
	last := entryID{l.lastIndex(), l.lastTerm()}
	if h.checked == last {
		return
	}
	h.checked = last
	prevTerm := l.baseTerm
	for _, e := range l.entries {
		id := entryID{e.Index, e.Term}
		content := fmt.Sprintf("%d %s %v after term %d", e.Kind, e.Data, e.Voters, prevTerm)
		if e.Voters != nil {
			content = fmt.Sprintf("%d %v after term %d", e.Kind, *e.Voters, prevTerm)
		}
		if old, ok := s.seen[id]; ok && old != content {
			s.fatalf("entry %v differs: %q and %q at %s", id, old, content, h.self.Identity)
		}
		s.seen[id] = content
		prevTerm = e.Term
	}
}

// checkCandidate guards against a node that campaigns although its voter set
// does not contain its identity.
func (s *sim) checkCandidate(h *simHost, term uint64) {
	set := h.node.voters().Clone()
	if !set.IsVoter(h.self.Identity) {
		s.fatalf("%s campaigns in term %d but is not a voter of %v", h.self.Identity, term, set)
	}
	s.campaigns[campaign{h.self.Identity, term}] = set
}

// checkVote guards against a node that votes although neither its own voter set
// nor the candidate's contains its identity. The candidate's set counts because
// a promotion may reach the candidate before it reaches the learner.
func (s *sim) checkVote(h *simHost) {
	vote := h.node.hard.Vote
	if vote == "" || vote == h.self.Identity {
		return
	}
	set := s.campaigns[campaign{vote, h.node.hard.Term}]
	if !h.node.voters().IsVoter(h.self.Identity) && !set.IsVoter(h.self.Identity) {
		s.fatalf("%s votes for %s in term %d but is not a voter", h.self.Identity, vote, h.node.hard.Term)
	}
}

// checkApply guards against lost or changed committed entries, gaps, and entries
// applied before a majority has synced them.
func (s *sim) checkApply(h *simHost, a Apply) {
	for _, e := range a.Entries {
		if e.Index != h.applied+1 {
			s.fatalf("%s applies entry %d after %d", h.self.Identity, e.Index, h.applied)
		}
		h.applied = e.Index
		id := entryID{e.Index, e.Term}
		if old, ok := s.committed[e.Index]; ok {
			if old != id {
				s.fatalf("%s applies %v but %v was committed", h.self.Identity, id, old)
			}
			continue
		}
		s.committed[e.Index] = id
		s.values[string(e.Data)] = true
		s.lastCommit = max(s.lastCommit, e.Index)
		s.checkMajority(h, id)
	}
}

// checkMajority counts over the current voter set of the leader, which is the
// first to apply an entry. That set may be newer than the one at the entry:
// majorities of sets that differ by one voter intersect.
func (s *sim) checkMajority(h *simHost, id entryID) {
	set := h.node.voters()
	count := 0
	for _, m := range set.Voters {
		if s.disks[m.Identity].holds(id.index, id.term) {
			count++
		}
	}
	if count < set.Quorum() {
		s.fatalf("entry %v was committed but is synced at only %d of %d voters", id, count, len(set.Voters))
	}
}

func (s *sim) checkRestore(h *simHost, snapshot Snapshot) {
	h.applied = snapshot.Index
	if id, ok := s.committed[snapshot.Index]; ok && id.term != snapshot.Term {
		s.fatalf("%s restores snapshot %d of term %d but %v was committed", h.self.Identity, snapshot.Index, snapshot.Term, id)
	}
	want := fmt.Sprintf("state at index %d", snapshot.Index)
	if snapshot.Index != bootstrapIndex && string(snapshot.Data) != want {
		s.fatalf("%s restores %q, expected %q", h.self.Identity, snapshot.Data, want)
	}
}

// checkRead guards against a read that misses an entry committed before the read
// was requested.
func (s *sim) checkRead(h *simHost, r ReadReady) {
	if r.Index < s.minReadIndex[r.ID] || h.applied < r.Index {
		s.fatalf("read at %s returns index %d (applied %d), but %d was committed before it",
			h.self.Identity, r.Index, h.applied, s.minReadIndex[r.ID])
	}
	s.reads++
}
