package control

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// Timing of the search for a cluster on a host whose settings name no voters.
const (
	searchInterval = 250 * time.Millisecond
	// foundAfter is how long a host collects other hosts before it names the
	// initial voters. The hosts start within 0.3 s of each other and need up to
	// two rounds of messages to the seeds, one second apart.
	foundAfter = 1500 * time.Millisecond
	// foundWithFewerAfter is how long after its start a host names fewer initial
	// voters than wanted.
	foundWithFewerAfter = 5 * time.Second
)

// founding is the state of the search for a cluster.
type founding struct {
	since      time.Time // from when on this host has run without a pause, zero before the first search
	searchedAt time.Time
}

// lookForCluster tells the node, while it knows no leader, which hosts it can
// ask to join and, at the first start of the system, the initial voters.
//
// Every host derives the initial voters from its own member list. The lists
// may differ briefly; a founder starts a cluster only once all initial voters
// have named the same ones, see package consensus. Two hosts that can't reach each
// other don't both found a log, since both would need a majority of the first seeds,
// and a seed that was in touch with the first one knows of a leader.
func (c *Core) lookForCluster(now time.Time) []Effect {
	if !c.opts.FindVoters || now.Sub(c.founding.searchedAt) < searchInterval || c.leader.Name != "" {
		return nil
	}
	// After a pause the member list is as old as the pause is long.
	switch {
	case c.founding.searchedAt.IsZero():
		c.founding.since = c.startedAt
	case now.Sub(c.founding.searchedAt) > membership.PauseBound:
		c.founding.since = now
	}
	c.founding.searchedAt = now
	live := c.members.Live()
	var initial []consensus.Member
	age := now.Sub(c.founding.since)
	if c.opts.FoundLog && age >= foundAfter && c.members.Seen().IsZero() && c.majorityOfSeeds(now, live) {
		initial = initialVoters(logHolders(live, membership.RoleVoter|membership.RoleFounder), c.wantedVoters(), age >= foundWithFewerAfter)
	}
	return c.consensus(now, consensus.MembersFound{Contacts: logHolders(live, membership.RoleVoter), Initial: initial})
}

// majorityOfSeeds reports whether this host is in touch with a majority of the first
// seeds.
func (c *Core) majorityOfSeeds(now time.Time, live []membership.Member) bool {
	found := 0
	for _, m := range live {
		if slices.Contains(c.opts.FirstSeeds, m.PeerAddress) && c.members.InTouch(now, m.Host) {
			found++
		}
	}
	return len(c.opts.FirstSeeds) == 0 || found > len(c.opts.FirstSeeds)/2
}

// logHolders returns the live hosts with all of the roles, sorted by name.
func logHolders(live []membership.Member, roles membership.Roles) []consensus.Member {
	var out []consensus.Member
	for _, m := range live {
		if m.Roles.Has(roles) {
			out = append(out, consensus.Member{Name: m.Host, Address: m.PeerAddress.String()})
		}
	}
	return out
}

// initialVoters returns the first holders by name, at most wanted. If there are fewer
// holders, it returns nil unless allowFewer is set, and otherwise all of them: a holder
// that is left out might join another log whose founder was silent meanwhile.
func initialVoters(holders []consensus.Member, wanted int, allowFewer bool) []consensus.Member {
	if len(holders) < wanted && !allowFewer {
		return nil
	}
	return slices.Clone(holders[:min(wanted, len(holders))])
}

// maxVoters bounds the voters, since every change waits for a majority of them.
const maxVoters = 5

// wantedVoters returns the number of voters that tolerates the loss of
// LossTolerance hosts, at most maxVoters.
func (c *Core) wantedVoters() int {
	return min(2*max(c.opts.LossTolerance, 1)+1, maxVoters)
}
