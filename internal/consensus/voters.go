package consensus

import (
	"slices"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// indexedVoters is a voter set and the index of its entry or snapshot.
type indexedVoters struct {
	index  uint64
	voters VoterSet
}

// lastVoters returns the current voter set: the last one in the log, committed or
// not.
func (n *Node) lastVoters() indexedVoters {
	if len(n.voterLog) == 0 {
		return indexedVoters{}
	}
	return n.voterLog[len(n.voterLog)-1]
}

func (n *Node) voters() VoterSet { return n.lastVoters().voters }

// votersAt returns the voter set as of index i.
func (n *Node) votersAt(i uint64) VoterSet {
	at := n.voterLog[0]
	for _, v := range n.voterLog {
		if v.index <= i {
			at = v
		}
	}
	return at.voters
}

func (n *Node) otherVoters() []Member {
	self := func(m Member) bool { return m.Identity == n.self() }
	return slices.DeleteFunc(slices.Clone(n.voters().Voters), self)
}

// recordVoters makes the voter set of an appended EntryVoters the current one.
// It ignores other entries.
func (n *Node) recordVoters(e Entry) {
	if e.Kind != EntryVoters || e.Voters == nil {
		return
	}
	n.voterLog = append(n.voterLog, indexedVoters{e.Index, *e.Voters})
	n.emit(VotersChanged{Index: e.Index, Voters: e.Voters.Clone()})
}

// truncateVotersFrom reverts to the last voter set before index i.
func (n *Node) truncateVotersFrom(i uint64) {
	before := len(n.voterLog)
	n.voterLog = slices.DeleteFunc(n.voterLog, func(v indexedVoters) bool { return v.index >= i })
	if len(n.voterLog) != before {
		last := n.lastVoters()
		n.emit(VotersChanged{Index: last.index, Voters: last.voters.Clone()})
	}
}

// dropVotersBefore drops the voter sets that were replaced at or before index i.
func (n *Node) dropVotersBefore(i uint64) {
	for len(n.voterLog) > 1 && n.voterLog[1].index <= i {
		n.voterLog = n.voterLog[1:]
	}
}

// installVoters records the voter set of a snapshot. If keepLater is set, it
// keeps the sets of later entries, as the log does.
func (n *Node) installVoters(s Snapshot, keepLater bool) {
	sets := []indexedVoters{{s.Index, s.Voters}}
	for _, v := range n.voterLog {
		if keepLater && v.index > s.Index {
			sets = append(sets, v)
		}
	}
	n.voterLog = sets
	last := n.lastVoters()
	n.emit(VotersChanged{Index: last.index, Voters: last.voters.Clone()})
}

// followers returns the progress of all other members, in the order of the voter
// set.
func (n *Node) followers() []*progress {
	members := n.voters().Members()
	out := make([]*progress, 0, len(members))
	for _, m := range members {
		if p := n.leading.progress[m.Identity]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// updateProgress adapts the leader's progress to the current voter set. New
// members are probed from the end of the log.
func (n *Node) updateProgress() {
	set := n.voters()
	for id := range n.leading.progress {
		if _, ok := set.member(id); !ok {
			delete(n.leading.progress, id)
		}
	}
	for _, m := range set.Members() {
		if m.Identity == n.self() {
			continue
		}
		p := n.leading.progress[m.Identity]
		if p == nil {
			p = &progress{next: n.log.lastIndex() + 1, since: n.now}
			n.leading.progress[m.Identity] = p
		}
		p.member = m
	}
}

// changeVoters appends a new voter set. Only one change may be uncommitted at a
// time, and none may be appended before the first commit of the leader's term.
// Voter sets used at the same time then differ by at most one voter, so their
// majorities intersect.
func (n *Node) changeVoters(c ChangeVoters) {
	if err := n.proposalError(0); err != nil {
		n.refuse(c.ID, err)
		return
	}
	if n.lastVoters().index > n.hard.Commit || n.hard.Commit < n.leading.termStart {
		n.refuse(c.ID, verdict.New(verdict.NotRun, CodeChangeInProgress, "another voter change is not committed yet"))
		return
	}
	set, err := n.changedVoters(c)
	if err != nil {
		n.refuse(c.ID, err)
		return
	}
	index := n.appendEntry(Entry{Kind: EntryVoters, Voters: &set})
	n.reportAppended(c.ID, index)
}

func (n *Node) changedVoters(c ChangeVoters) (VoterSet, *verdict.Error) {
	set := n.voters()
	switch c.Op {
	case AddLearner:
		return n.withLearner(set, c.Member)
	case Promote:
		return n.withPromoted(set, c.Member.Identity)
	case Remove:
		return n.withRemoved(set, c.Member.Identity)
	default:
		return set, invalidChange("unknown voter change operation %d", c.Op)
	}
}

func invalidChange(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, CodeInvalidVoterChange, format, args...)
}

func (n *Node) withLearner(set VoterSet, m Member) (VoterSet, *verdict.Error) {
	if m.Identity == "" || m.Name == "" {
		return set, invalidChange("a learner needs an identity and a name")
	}
	if _, ok := set.member(m.Identity); ok {
		return set, invalidChange("%s is already a member", m.Identity)
	}
	changed := set.withLearner(m)
	if len(changed.Learners) <= n.opts.MaxLearners {
		return changed, nil
	}
	gone, ok := n.silentLearner()
	if !ok {
		return set, invalidChange("there are already %d learners", len(set.Learners))
	}
	return changed.without(gone), nil
}

// silentLearner returns the learner that has been silent for longest, if that is more than
// an election timeout. It has no vote, so it can make room for another one; if it returns,
// it joins again.
func (n *Node) silentLearner() (Identity, bool) {
	var longest *progress
	for _, m := range n.voters().Learners {
		p := n.leading.progress[m.Identity]
		if p != nil && (longest == nil || p.silentSince().Before(longest.silentSince())) {
			longest = p
		}
	}
	if longest == nil || n.now.Sub(longest.silentSince()) < n.opts.ElectionTimeout {
		return "", false
	}
	return longest.member.Identity, true
}

func (n *Node) withPromoted(set VoterSet, id Identity) (VoterSet, *verdict.Error) {
	if !set.IsLearner(id) {
		return set, invalidChange("%s is not a learner", id)
	}
	p := n.leading.progress[id]
	if !n.recentlyActive(id) || p.match+uint64(n.opts.MaxAppendEntries) < n.hard.Commit {
		return set, invalidChange("learner %s is not caught up", id)
	}
	return set.promoted(p.member), nil
}

func (n *Node) withRemoved(set VoterSet, id Identity) (VoterSet, *verdict.Error) {
	if _, ok := set.member(id); !ok {
		return set, invalidChange("%s is not a member", id)
	}
	// A leader that removed itself and then lost leadership might have the
	// longest log, but could not campaign.
	if id == n.self() {
		return set, invalidChange("%s is the leader; transfer leadership first", id)
	}
	changed := set.without(id)
	if len(changed.Voters) == 0 {
		return set, invalidChange("%s is the last voter", id)
	}
	active := 0
	for _, m := range changed.Voters {
		if n.recentlyActive(m.Identity) {
			active++
		}
	}
	if active < changed.Quorum() {
		return set, invalidChange("without %s, only %d of %d voters are reachable", id, active, len(changed.Voters))
	}
	return changed, nil
}

func (n *Node) recentlyActive(id Identity) bool {
	if id == n.self() {
		return true
	}
	p := n.leading.progress[id]
	return p != nil && !p.active.IsZero() && n.now.Sub(p.active) < n.opts.ElectionTimeout
}
