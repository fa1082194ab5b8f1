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
	key     accounts.Key
	permit  func() *verdict.Error
}

// Apply sets the account of a call and has its attempts checked against the route plan in
// force when they are made.
func (a Access) Apply(c *forwardrun.Call) {
	c.Account, c.Key, c.Permit = a.account, a.key, a.permit
}

// Authorize returns the access of a caller's request on a route of a plan, or why it is
// refused. keys holds the digest of every key that the request carries.
func (d *Daemon) Authorize(plan *routeplan.Table, route *routeplan.Route, keys []accounts.Key) (Access, *verdict.Error) {
	access, err := d.identify(plan, route, keys)
	if err != nil || access.account == nil {
		return access, err
	}
	if !d.keysConfirmed(d.loop.Snapshot()) {
		return Access{}, d.revocation().Refusal()
	}
	return access, nil
}

// identify returns the access of a request that this host or, for a gatherer, another one
// received. Only the host that received it from the caller checks how recently the keys
// were confirmed: the bound counts from when the caller sent the request.
func (d *Daemon) identify(plan *routeplan.Table, route *routeplan.Route, keys []accounts.Key) (Access, *verdict.Error) {
	account, err := plan.Accounts.Identify(route.Public, keys)
	if err != nil || account == nil {
		return Access{}, err
	}
	a := Access{account: account, key: keys[0]}
	a.permit = func() *verdict.Error {
		current := d.loop.Snapshot().Plan
		if current == plan {
			return nil
		}
		_, err := current.Accounts.Identify(false, keys)
		return err
	}
	return a, nil
}

func (d *Daemon) revocation() accounts.Revocation {
	return accounts.Revocation{Bound: d.settings.RevocationBound, Drift: d.settings.MaxClockDrift}
}

// keysConfirmed reports whether a leader has confirmed lately that no newer plan revokes
// a key.
func (d *Daemon) keysConfirmed(s *control.Snapshot) bool {
	return d.revocation().Confirmed(d.loop.Now(), s.PlanConfirmedAt)
}
