// Package quota decides which requests of a client account fit its quota, which holds
// over all hosts together. Three hosts own each account: the first grants tokens from the
// account's token bucket, the other two stand in for it with parts of the tolerance. A
// request spends one token at the host that received it from the caller.
//
// The package reads no clock and no socket, and its types are not safe for concurrent use;
// quotarun adds locks and messages. docs/design/quotas.md gives the reasons.
package quota

import "time"

const (
	// LeasePeriod is how long a host may spend the tokens of a lease, from when it sent
	// the request for it.
	LeasePeriod = 250 * time.Millisecond
	// ConfirmationAge is the age up to which a confirmation of the agreed member list
	// lets an owner grant.
	ConfirmationAge = 3 * time.Second
	// TakeoverWait is how long a host waits after it first saw a list before it uses a new
	// rank. The predecessor's confirmation was issued before the list was accepted and
	// ends within ConfirmationAge; the rest covers clocks of different rates.
	TakeoverWait = 3300 * time.Millisecond
	// MaxRetryAfter bounds the time over which denied callers are spread, unless the next
	// token takes longer. Callers wait for a third of their remaining time at most, which
	// is up to 6 s.
	MaxRetryAfter = 2 * time.Second
	// MinRetryAfter is the least retry hint. Front ends write hints in milliseconds, and one
	// that is rounded to 0 tells a caller nothing.
	MinRetryAfter = time.Millisecond
)

// Limit is the limit of an account over all hosts.
type Limit struct {
	Rate  float64 // requests per second; 0 for no limit
	Burst float64 // requests beyond Rate that may come at once
}

// capacity returns the size of the token bucket. A bucket below one token would never
// grant any.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }

// Interval returns the time between two tokens.
func (l Limit) Interval() time.Duration { return seconds(1 / l.Rate) }

// refillTime returns how long an empty bucket takes to become full.
func (l Limit) refillTime() time.Duration { return seconds(l.capacity() / l.Rate) }

// Policy is the bound on the requests of an account: in any Window at most
// (rate x Window + burst) x (1 + Overage) + Slack.
type Policy struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // requests
	// Drift is the largest relative difference between the clock rates of two hosts.
	Drift float64
}

// Parts of the tolerance that each kind of grant may use up in any window.
const (
	firstStandbyPart  = 0.5
	secondStandbyPart = 0.3
	// parkedPart is for prefetched tokens that may be returned to the bucket in a later
	// window than they were granted in.
	parkedPart = 0.08
	// debtPart is for the debt of the bucket, which makes up for the prefetched tokens at
	// other hosts, and for the time that requests take to the owner: two requests that a
	// token bucket admits one after the other may arrive there closer together.
	debtPart = 0.12
	// messageTime is how much later a request may arrive at the owner than at its host.
	messageTime = 50 * time.Millisecond
)

// division says how the bound of an account is divided among the kinds of grants.
type division struct {
	bucket  Limit      // of rank 0
	standby [2]float64 // tokens that ranks 1 and 2 may grant in any window
	parked  float64    // prefetched tokens that may be at hosts, unspent or not reported yet
	debt    float64    // by which the bucket may be overdrawn
}

// divide divides the bound of an account. The bucket's own grants may exceed
// rate x window + burst because tokens that were returned are spent up to a lease period
// later, because clocks differ in rate, and because a bucket holds at least one token. What
// the tolerance doesn't cover of that lowers the rate of the bucket.
func (p Policy) divide(l Limit) division {
	window := p.Window.Seconds()
	tolerance := p.Overage*(l.Rate*window+l.Burst) + p.Slack
	needed := l.Rate*(LeasePeriod.Seconds()*(1+p.Drift)+window*p.Drift) + l.capacity() - l.Burst
	spare := tolerance - needed
	d := division{bucket: l}
	if spare < 0 {
		d.bucket.Rate = max(l.Rate+spare/window, l.Rate/2)
		return d
	}
	d.standby = [2]float64{firstStandbyPart * spare, secondStandbyPart * spare}
	d.parked = min(parkedPart*spare, l.Rate*LeasePeriod.Seconds())
	d.debt = min(debtPart*spare, l.Rate*(LeasePeriod+messageTime).Seconds())
	return d
}

// refillTime returns how long the bucket takes to become full when it is overdrawn.
func (d division) refillTime() time.Duration {
	return seconds((d.bucket.capacity() + d.debt) / d.bucket.Rate)
}

func seconds(s float64) time.Duration {
	const most = 1000 * time.Hour // beyond any use; the conversion of a larger number overflows
	return time.Duration(min(s*float64(time.Second), float64(most)))
}
