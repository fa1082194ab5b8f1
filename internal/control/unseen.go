package control

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// seenTimeout is how long an accepted change waits for a majority of the
// member hosts to have seen it before its proposer is told that the outcome
// is unknown.
const seenTimeout = 3 * time.Second

// codeNotSeen is the code of an accepted change that too few hosts have seen.
const codeNotSeen verdict.Code = "not_seen_by_majority"

// unseenChange is an accepted change whose proposer has not been answered yet.
//
// Invariant: a proposer is told "accepted" only after a majority of the member
// hosts has seen the revision. Every other majority then includes a host that
// knows of it, so hosts that were cut off can't confirm an older configuration
// to each other.
type unseenChange struct {
	resolve  proposals.Resolution
	position membership.Position // the term is that of the log entry
	deadline time.Time
}

func (c *Core) holdUntilSeen(now time.Time, term uint64, resolved []proposals.Resolution) {
	for _, r := range resolved {
		if r.Outcome.Err != nil {
			// Another entry was committed in its place, which no host needs to see.
			c.unseen = append(c.unseen, unseenChange{resolve: r, deadline: now})
			continue
		}
		position := membership.Position{Term: term, Revision: c.store.Revision()}
		c.unseen = append(c.unseen, unseenChange{resolve: r, position: position, deadline: now.Add(seenTimeout)})
	}
}

// releaseSeen answers the proposers whose changes a majority has seen or whose
// deadline has passed.
func (c *Core) releaseSeen(now time.Time) []Effect {
	var out []Effect
	settled := c.listsSettled()
	rest := c.unseen[:0]
	for _, u := range c.unseen {
		seen := settled && c.members.SeenByMajority(u.position) || c.store.Members().Epoch == 0
		switch {
		case u.resolve.Outcome.Err != nil || seen:
			out = append(out, resolveAll([]proposals.Resolution{u.resolve})...)
		case !now.Before(u.deadline):
			u.resolve.Outcome = proposals.Outcome{Err: verdict.New(verdict.MayHaveRun, codeNotSeen,
				"the change is in the log as revision %d or earlier, but too few hosts are known to have seen it; send it again to learn its outcome", u.position.Revision)}
			out = append(out, resolveAll([]proposals.Resolution{u.resolve})...)
		default:
			rest = append(rest, u)
		}
	}
	c.unseen = rest
	return out
}
