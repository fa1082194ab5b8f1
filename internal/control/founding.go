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
	searchedAt time.Time
	initial    []consensus.Member
}

// lookForCluster tells the node, while it knows no leader, which hosts it can
// ask to join and, at the first start of the system, the initial voters.
//
// Every host derives the initial voters from its own member list. The lists
// may differ briefly; a founder starts a cluster only once all initial voters
// have named the same ones, see package consensus.
func (c *Core) lookForCluster(now time.Time) []Effect {
	if !c.opts.FindVoters || now.Sub(c.founding.searchedAt) < searchInterval || c.leader.Name != "" {
		return nil
	}
	c.founding.searchedAt = now
	holders := logHolders(c.members.Live())
	age := now.Sub(c.startedAt)
	if c.opts.FoundLog && age >= foundAfter {
		c.founding.initial = initialVoters(holders, c.wantedVoters(), age >= foundWithFewerAfter)
	}
	return c.consensus(now, consensus.MembersFound{Contacts: holders, Initial: c.founding.initial})
}

// logHolders returns the live hosts with a log, sorted by name.
func logHolders(live []membership.Member) []consensus.Member {
	var out []consensus.Member
	for _, m := range live {
		if m.Roles.Has(membership.RoleVoter) {
			out = append(out, consensus.Member{Name: m.Host, Address: m.PeerAddress.String()})
		}
	}
	return out
}

// initialVoters returns the first holders by name, an odd number of at most
// wanted. If there are fewer holders, it returns nil unless allowFewer is set.
func initialVoters(holders []consensus.Member, wanted int, allowFewer bool) []consensus.Member {
	n := min(wanted, len(holders))
	if n < wanted && !allowFewer {
		return nil
	}
	if n%2 == 0 {
		n--
	}
	if n < 1 {
		return nil
	}
	return slices.Clone(holders[:n])
}

// maxVoters bounds the voters, since every change waits for a majority of them.
const maxVoters = 5

// wantedVoters returns the number of voters that tolerates the loss of
// LossTolerance hosts, at most maxVoters.
func (c *Core) wantedVoters() int {
	return min(2*max(c.opts.LossTolerance, 1)+1, maxVoters)
}
