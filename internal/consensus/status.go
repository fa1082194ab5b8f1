package consensus

import "time"

// Status is a copy of a node's state for state dumps.
type Status struct {
	Self        Member
	Cluster     Identity
	Role        Role
	Term        uint64
	Leader      Member
	Commit      uint64
	Applied     uint64
	LastIndex   uint64
	Stable      uint64
	Snapshot    uint64 // index of the latest snapshot
	LeaseExpiry time.Time
	LeaseHeld   bool
	// TermApplied reports whether this leader has applied an entry of its term.
	// Until then its applied state may lack entries committed by earlier leaders.
	TermApplied bool
	StorageFull bool
	Voters      []Member
	Learners    []Member
	Followers   []FollowerStatus // only at the leader
}

// FollowerStatus is the leader's view of another member.
type FollowerStatus struct {
	Member     Member
	Match      uint64
	LastActive time.Time // last message from it in this term, zero if there was none
	// SilentSince is the last time at which the member may have been alive as far as
	// this leader knows: LastActive or, before the first message, the start of the term
	// or the last message of an earlier leader.
	SilentSince time.Time
	Snapshot    bool // a snapshot is being sent
}

// Status returns the state of the node as of the last step.
func (n *Node) Status() Status {
	set := n.voters().Clone()
	s := Status{
		Self:        n.opts.Self,
		Cluster:     n.hard.Cluster,
		Role:        n.role,
		Term:        n.hard.Term,
		Leader:      n.leader,
		Commit:      n.hard.Commit,
		Applied:     n.applied,
		LastIndex:   n.log.lastIndex(),
		Stable:      n.log.stable,
		StorageFull: n.storage.full,
		Voters:      set.Voters,
		Learners:    set.Learners,
	}
	if n.snapshot != nil {
		s.Snapshot = n.snapshot.Index
	}
	if n.role != Leader {
		return s
	}
	s.LeaseExpiry = n.leaseExpiry()
	s.LeaseHeld = n.leaseHeld()
	s.TermApplied = n.applied >= n.leading.termStart
	for _, p := range n.followers() {
		s.Followers = append(s.Followers, FollowerStatus{
			Member: p.member, Match: p.match, LastActive: p.active, SilentSince: p.silentSince(), Snapshot: p.state == snapshotting,
		})
	}
	return s
}
