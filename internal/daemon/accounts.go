package daemon

import (
	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Access is what a request may do: on behalf of which client account it runs, and whether
// it still may.
type Access struct {
	account *accounts.Account
	key     accounts.Key // zero if the caller sent none
	permit  func() *verdict.Error
}

// Apply sets the account of a call and has its attempts checked against the route plan in
// force when they are made.
func (a Access) Apply(c *forwardrun.Call) {
	c.Account, c.Key, c.Permit = a.account, a.key, a.permit
}

// Permit returns why the request may no longer run, or nil.
func (a Access) Permit() *verdict.Error {
	if a.permit == nil {
		return nil
	}
	return a.permit()
}

// Authorize returns the access of a caller's request on a route of a plan, or why it is
// refused. keys holds the digest of every key that the request carries.
//
// If another plan has come into force since the caller of Authorize read its plan, the
// confirmation may be one of that plan, so the key must be in both.
func (d *Daemon) Authorize(plan *routeplan.Table, route *routeplan.Route, keys []accounts.Key) (Access, *verdict.Error) {
	s := d.loop.Snapshot()
	account, err := d.revocation().Authorize(d.loop.Now(), s.PlanConfirmedAt, plan.Accounts, route.Public, keys)
	if err != nil {
		return Access{}, err
	}
	a := d.access(plan, account, keys)
	if inPlan := a.permit; inPlan != nil {
		a.permit = func() *verdict.Error {
			err := inPlan()
			if err == nil && !d.keysConfirmed(d.loop.Snapshot()) {
				err = d.revocation().Refusal()
			}
			return err
		}
	}
	return a, a.Permit()
}

// identify returns the access of a request that another host received. Only that host
// checks how recently the keys were confirmed: the bound counts from when the caller sent
// the request, and a gatherer's plan is not older than that of the host.
func (d *Daemon) identify(plan *routeplan.Table, route *routeplan.Route, keys []accounts.Key) (Access, *verdict.Error) {
	account, err := plan.Accounts.Identify(route.Public, keys)
	if err != nil {
		return Access{}, err
	}
	return d.access(plan, account, keys), nil
}

// access returns the access of a request that a plan gives to an account, or to none. The
// key is passed on also if this plan asks for none: that of a gatherer may.
func (d *Daemon) access(plan *routeplan.Table, account *accounts.Account, keys []accounts.Key) Access {
	var a Access
	if len(keys) == 1 {
		a.key = keys[0]
	}
	if account == nil {
		return a
	}
	a.account = account
	a.permit = func() *verdict.Error {
		current := d.loop.Snapshot().Plan
		if current == plan {
			return nil
		}
		_, err := current.Accounts.Identify(false, keys)
		return err
	}
	return a
}

func (d *Daemon) revocation() accounts.Revocation {
	return accounts.Revocation{Bound: d.settings.RevocationBound, Drift: d.settings.MaxClockDrift}
}

// keysConfirmed reports whether a leader has confirmed lately that no newer plan revokes
// a key.
func (d *Daemon) keysConfirmed(s *control.Snapshot) bool {
	return d.revocation().Confirmed(d.loop.Now(), s.PlanConfirmedAt)
}
