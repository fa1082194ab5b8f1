package accounts

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Revocation bounds how long after its revocation a key is still accepted. The zero
// value sets no bound.
type Revocation struct {
	// Bound is the longest time between the acknowledgement of a plan without a key and
	// the last request with the key that may run, on any host.
	Bound time.Duration
	// Drift is the largest relative difference between the clock rates of two hosts.
	Drift float64
}

// revocationMargin is the part of the bound that covers the resolution of clocks and the
// time between the arrival of a request and the check.
const revocationMargin = 100 * time.Millisecond

// retryAfterUnconfirmed is the retry hint of a host that has lost the leader. Another host
// may have a newer confirmation, and an election takes one to two seconds.
const retryAfterUnconfirmed = 200 * time.Millisecond

// MaxAge returns the age up to which a confirmation of the plan is trusted.
func (r Revocation) MaxAge() time.Duration {
	return time.Duration(float64(r.Bound)*(1-r.Drift)) - revocationMargin
}

// Confirmed reports whether requests with a key may be accepted at a time. confirmedAt is
// when the leader stated that no plan newer than the host's was accepted, by a clock that
// counts the time for which the machine is suspended; it is zero if the leader never did.
//
// A plan that revokes a key and is acknowledged at t was accepted after every confirmation
// that does not cover it. A host that trusts only confirmations younger than the bound
// therefore accepts no request that is sent later than the bound after t.
func (r Revocation) Confirmed(now, confirmedAt time.Time) bool {
	return r.Bound <= 0 || !confirmedAt.IsZero() && now.Sub(confirmedAt) < r.MaxAge()
}

// Refusal returns the error of a request with a key at a host without a sufficiently
// recent confirmation.
func (r Revocation) Refusal() *verdict.Error {
	return verdict.New(verdict.NotRun, CodeUnconfirmed, "no leader has confirmed the keys within %v", r.MaxAge()).
		WithRetryAfter(retryAfterUnconfirmed)
}

// Authorize returns the account of a request that arrives at a host whose plan has the
// accounts of d, or why the request is refused. confirmedAt is as for Confirmed.
//
// While nothing confirms the plan, an unknown key is refused in the same way as a known
// one: a newer plan may have added it, and the caller may try another host.
func (r Revocation) Authorize(now, confirmedAt time.Time, d *Directory, public bool, keys []Key) (*Account, *verdict.Error) {
	a, err := d.Identify(public, keys)
	switch {
	case err == nil && a == nil, err != nil && len(keys) != 1:
		return nil, err
	case !r.Confirmed(now, confirmedAt):
		return nil, r.Refusal()
	}
	return a, err
}
