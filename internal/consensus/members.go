package consensus

import "slices"

// Identity is the random identifier of a data directory.
type Identity string

// Member is one voter or learner.
type Member struct {
	Identity Identity
	Name     string // host name from the settings
	Address  string // peer address, IP and port
}

// VoterSet is the membership of the cluster. Learners receive the log but
// have no vote.
type VoterSet struct {
	Voters   []Member
	Learners []Member
}

func indexOf(members []Member, id Identity) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.Identity == id })
}

// IsVoter reports whether id is a voter.
func (s VoterSet) IsVoter(id Identity) bool { return indexOf(s.Voters, id) >= 0 }

// IsLearner reports whether id is a learner.
func (s VoterSet) IsLearner(id Identity) bool { return indexOf(s.Learners, id) >= 0 }

// Quorum returns the size of a majority of the voters.
func (s VoterSet) Quorum() int { return len(s.Voters)/2 + 1 }

// Members returns voters and learners in one slice.
func (s VoterSet) Members() []Member {
	return append(slices.Clone(s.Voters), s.Learners...)
}

// Clone returns a deep copy.
func (s VoterSet) Clone() VoterSet {
	return VoterSet{Voters: slices.Clone(s.Voters), Learners: slices.Clone(s.Learners)}
}

func (s VoterSet) member(id Identity) (Member, bool) {
	if i := indexOf(s.Voters, id); i >= 0 {
		return s.Voters[i], true
	}
	if i := indexOf(s.Learners, id); i >= 0 {
		return s.Learners[i], true
	}
	return Member{}, false
}

func (s VoterSet) without(id Identity) VoterSet {
	is := func(m Member) bool { return m.Identity == id }
	c := s.Clone()
	c.Voters = slices.DeleteFunc(c.Voters, is)
	c.Learners = slices.DeleteFunc(c.Learners, is)
	return c
}

// withLearner adds m as a learner and replaces an earlier one of the same name,
// so that a host that repeatedly loses its disk leaves no stale learners.
func (s VoterSet) withLearner(m Member) VoterSet {
	c := s.Clone()
	c.Learners = slices.DeleteFunc(c.Learners, func(o Member) bool { return o.Name == m.Name })
	c.Learners = append(c.Learners, m)
	return c
}

func (s VoterSet) promoted(m Member) VoterSet {
	c := s.without(m.Identity)
	c.Voters = append(c.Voters, m)
	return c
}
