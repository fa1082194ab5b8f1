package control

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// withdrawals holds the withdrawn failure domains. The set in force may be newer than
// that of the replicated store of a host whose log lags behind, but orders are decided by
// the store alone, so that all hosts with a log decide them alike.
type withdrawals struct {
	store   *withdrawal.Store // used only on a host with a log
	inForce *withdrawal.Set
}

// applyWithdrawalOrder decides an order from the replicated log.
func (c *Core) applyWithdrawalOrder(now time.Time, o withdrawal.Order) (withdrawal.Result, []Effect) {
	result := c.withdrawals.store.Apply(o)
	return result, c.applyWithdrawals(now, c.withdrawals.store.Set())
}

// applyWithdrawals puts a set in force if it is newer, and passes it on to the hosts that
// follow this one. Sets come from the log, from feeds and from snapshots; all of them are
// committed.
func (c *Core) applyWithdrawals(now time.Time, set *withdrawal.Set) []Effect {
	if set.Revision() <= c.withdrawals.inForce.Revision() {
		return nil
	}
	c.withdrawals.inForce = set
	c.dirty.snapshot, c.dirty.table = true, true
	c.follower.SetWithdrawals(set.Revision())
	out := []Effect{Log{Event: EventWithdrawals, Fields: []Field{{"revision", set.Revision()}, {"withdrawn", set.Names()}}}}
	for _, p := range c.feed.WithdrawalsApplied(now, c.confirmed.Term, set) {
		out = append(out, SendUpdate{To: p.To, Update: p.Update})
	}
	return out
}
