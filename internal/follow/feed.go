package follow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// Confirmation is the last confirmation that a feed knows: the leader of Term
// confirmed Revision as its latest revision and Plan as the version of its route plan.
type Confirmation struct {
	Term        uint64
	Revision    uint64
	Plan        uint64
	Withdrawals uint64    // revision of the leader's withdrawals
	At          time.Time // zero if there is none
}

// Push is an update that a feed sends without a poll.
type Push struct {
	To     string
	Update Update
}

type followerState struct {
	lastSeen    time.Time
	revision    uint64
	plan        uint64
	withdrawals uint64
}

// Feed serves the configuration of its host to followers.
type Feed struct {
	self        string
	recent      []Accepted // consecutive revisions, oldest first
	followers   map[string]*followerState
	plan        *routeplan.Document // in force at this host
	withdrawals *withdrawal.Set     // in force at this host
}

// NewFeed returns the feed of the host self.
func NewFeed(self string) *Feed {
	return &Feed{self: self, followers: make(map[string]*followerState)}
}

// Followers returns the number of hosts that poll this feed.
func (f *Feed) Followers() int { return len(f.followers) }

// Answer returns the update for a poll. It calls state, which returns the whole
// configuration, only if the recent changes don't reach back to p.Revision.
func (f *Feed) Answer(now time.Time, p Poll, c Confirmation, revision uint64, state func() config.State) Update {
	f.prune(now)
	s := f.followers[p.From]
	if s == nil {
		s = &followerState{}
		f.followers[p.From] = s
	}
	s.lastSeen = now
	s.revision = p.Revision
	u := Update{From: f.self, Seq: p.Seq, Term: c.Term}
	s.plan = max(s.plan, p.Plan)
	if f.plan != nil && f.plan.Version > p.Plan {
		u.Plan = f.plan
		s.plan = f.plan.Version
	}
	s.withdrawals = max(s.withdrawals, p.Withdrawals)
	if f.withdrawals.Revision() > p.Withdrawals {
		u.Withdrawals = f.withdrawals
		s.withdrawals = f.withdrawals.Revision()
	}
	if !c.At.IsZero() {
		u.Confirmed = true
		u.ConfirmedWithdrawals = c.Withdrawals
		u.ConfirmedRevision = c.Revision
		u.ConfirmedPlan = c.Plan
		u.ConfirmedAge = max(0, now.Sub(c.At))
	}
	if p.Revision >= revision {
		return u
	}
	if changes, ok := f.since(p.Revision); ok {
		u.Changes = changes
		s.revision = changes[len(changes)-1].Revision
		return u
	}
	st := state()
	u.State = &st
	s.revision = st.Revision
	return u
}

func (f *Feed) since(revision uint64) ([]Accepted, bool) {
	if len(f.recent) == 0 || f.recent[0].Revision > revision+1 {
		return nil, false
	}
	i, ok := slices.BinarySearchFunc(f.recent, revision+1, func(a Accepted, r uint64) int { return cmp.Compare(a.Revision, r) })
	if !ok {
		return nil, false
	}
	return f.recent[i:min(len(f.recent), i+MaxChangesPerUpdate)], true
}

// Accepted records a change that is now in force at this host and returns the
// pushes for the followers that lack only this change.
func (f *Feed) Accepted(now time.Time, term uint64, a Accepted) []Push {
	if n := len(f.recent); n > 0 && f.recent[n-1].Revision+1 != a.Revision {
		f.recent = nil
	}
	if len(f.recent) >= MaxRecentChanges {
		f.recent = slices.Clone(f.recent[MaxRecentChanges/4:])
	}
	f.recent = append(f.recent, a)
	f.prune(now)
	var out []Push
	for _, host := range slices.Sorted(maps.Keys(f.followers)) {
		s := f.followers[host]
		if s.revision+1 != a.Revision {
			continue
		}
		s.revision = a.Revision
		out = append(out, Push{To: host, Update: Update{From: f.self, Term: term, Changes: []Accepted{a}}})
	}
	return out
}

// PlanApplied records the route plan in force and returns the pushes for the
// followers that lack it.
func (f *Feed) PlanApplied(now time.Time, term uint64, d *routeplan.Document) []Push {
	f.plan = d
	f.prune(now)
	var out []Push
	for _, host := range slices.Sorted(maps.Keys(f.followers)) {
		s := f.followers[host]
		if s.plan >= d.Version {
			continue
		}
		s.plan = d.Version
		out = append(out, Push{To: host, Update: Update{From: f.self, Term: term, Plan: d}})
	}
	return out
}

// WithdrawalsApplied records the withdrawals in force and returns the pushes for the
// followers that lack them.
func (f *Feed) WithdrawalsApplied(now time.Time, term uint64, set *withdrawal.Set) []Push {
	f.withdrawals = set
	f.prune(now)
	var out []Push
	for _, host := range slices.Sorted(maps.Keys(f.followers)) {
		s := f.followers[host]
		if s.withdrawals >= set.Revision() {
			continue
		}
		s.withdrawals = set.Revision()
		out = append(out, Push{To: host, Update: Update{From: f.self, Term: term, Withdrawals: set}})
	}
	return out
}

// Reset drops the recent changes after the configuration was replaced.
func (f *Feed) Reset() { f.recent = nil }

func (f *Feed) prune(now time.Time) {
	maps.DeleteFunc(f.followers, func(_ string, s *followerState) bool { return now.Sub(s.lastSeen) > FollowerTimeout })
}
