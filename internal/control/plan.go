package control

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// planConfirmWait is how long a host that has just started waits for a leader
// to confirm its configuration before it serves the plan that it has. It
// covers an election after all voters were killed at once.
const planConfirmWait = 1800 * time.Millisecond

// canServePlan reports whether a starting host that serves the route plan may
// become ready. It must know the withdrawals, so that it sends nothing to a failure domain
// that was withdrawn before it started.
func (c *Core) canServePlan(now time.Time) bool {
	return c.plans.Document() != nil && c.withdrawalsKnown(now)
}

// withdrawalsKnown reports whether a starting host has the withdrawals that the leader has
// confirmed, or has waited for a confirmation long enough.
func (c *Core) withdrawalsKnown(now time.Time) bool {
	if !c.confirmed.At.IsZero() && c.withdrawals.inForce.Revision() >= c.confirmed.Withdrawals {
		return true
	}
	return now.Sub(c.startedAt) >= planConfirmWait
}

// applyPlan puts a plan in force if it is newer, and passes it on to the hosts
// that follow this one. Plans come from the log, from feeds and from
// snapshots; all of them are committed.
func (c *Core) applyPlan(now time.Time, d *routeplan.Document) (routeplan.Result, []Effect) {
	previous := c.plans.Version()
	result := c.plans.Apply(d)
	if !result.Applied {
		return result, nil
	}
	c.dirty.snapshot = true
	c.planConfirmed.InForce(result.Version)
	out := []Effect{Log{Event: EventPlanInForce, Fields: []Field{{"version", result.Version}, {"replaced", previous}, {"routes", len(d.Plan.Routes)}}}}
	for _, p := range c.feed.PlanApplied(now, c.confirmed.Term, d) {
		out = append(out, SendUpdate{To: p.To, Update: p.Update})
	}
	return result, append(out, c.follow(now, follow.PlanApplied{Version: result.Version})...)
}
