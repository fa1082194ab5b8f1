package quota

import (
	"slices"
	"time"
)

const (
	// maxHeldLeases bounds the leases of an account at one host. Tokens of further ones
	// are lost.
	maxHeldLeases = 64
	// maxReports bounds the reports that wait for the next request to an owner.
	maxReports = 16
	// UnresponsiveFor is how long a host avoids an owner that has not answered.
	UnresponsiveFor = time.Second
	// noTokensFor is how long a host avoids an owner that may not decide for an account,
	// or a standby whose part of the tolerance is used up. It is short because the owner
	// may be confirmed again at any moment.
	noTokensFor = 250 * time.Millisecond
)

// Avoided holds hosts that are not asked until a time.
type Avoided map[string]time.Time

// Add avoids a host for a time.
func (a Avoided) Add(host string, until time.Time) { a[host] = until }

// Contains reports whether a host is avoided.
func (a Avoided) Contains(now time.Time, host string) bool {
	until, ok := a[host]
	if ok && !now.Before(until) {
		delete(a, host)
		return false
	}
	return ok
}

// heldLease holds tokens that the host may spend.
type heldLease struct {
	owner   string
	id      uint64 // 0 if no report is due
	tokens  int
	expires time.Time
}

type dueReport struct {
	owner  string
	report Report
}

// Token is the right to forward one request.
type Token struct {
	expires time.Time
}

// Decision says what becomes of a request.
type Decision uint8

// Decisions.
const (
	Ask   Decision = iota // the request needs a token that this host does not have
	Spend                 // the request has spent a token
	Deny                  // the account is over its limit
)

// Holder decides at one host about the requests of one account.
type Holder struct {
	leases  []heldLease
	reports []dueReport

	// Requests that arrived in the lease period that began at periodAt, and in the one
	// before it.
	periodAt        time.Time
	arrived, before int

	deniedUntil time.Time
	deniedBy    Limit // another limit ends the denial
	// retryAt is when the next caller that is denied here without a message may get a
	// token.
	retryAt time.Time
	denied  int     // requests denied without a message since the last one
	avoided Avoided // owners without authority or tokens for this account
}

// NewHolder returns a holder without tokens.
func NewHolder() *Holder { return &Holder{avoided: make(Avoided)} }

// Arrive decides about a request. For Deny it returns when a retry may succeed.
func (h *Holder) Arrive(now time.Time, l Limit) (Decision, Token, time.Duration) {
	h.count(now)
	h.expire(now)
	for i := range h.leases {
		if t := &h.leases[i]; t.tokens > 0 {
			t.tokens--
			return Spend, Token{expires: t.expires}, 0
		}
	}
	if now.Before(h.deniedUntil) && l == h.deniedBy {
		h.denied++
		return Deny, Token{}, h.spread(now, l)
	}
	return Ask, Token{}, 0
}

// count counts an arrival.
func (h *Holder) count(now time.Time) {
	switch passed := now.Sub(h.periodAt); {
	case passed >= 2*LeasePeriod:
		h.periodAt, h.before, h.arrived = now, 0, 0
	case passed >= LeasePeriod:
		h.periodAt, h.before, h.arrived = h.periodAt.Add(LeasePeriod), h.arrived, 0
	}
	h.arrived++
}

// Extra returns how many tokens to ask for beyond those needed now: the requests of the
// lease period before, if the account's requests arrive here more often than once in it.
func (h *Holder) Extra(needed int) int {
	if h.before < 2 {
		return 0
	}
	return max(h.before-needed, 0)
}

// TakeDenied returns the number of requests that were denied without a message since the
// last call. The owner spreads its hints by it.
func (h *Holder) TakeDenied() int {
	n := h.denied
	h.denied = 0
	return n
}

// expire removes ended leases, and spent ones whose owner waits for a report.
func (h *Holder) expire(now time.Time) {
	kept := h.leases[:0]
	for _, l := range h.leases {
		if now.Before(l.expires) && l.tokens > 0 {
			kept = append(kept, l)
			continue
		}
		if l.id != 0 && len(h.reports) < maxReports {
			h.reports = append(h.reports, dueReport{l.owner, Report{Lease: l.id, Unused: l.tokens}})
		}
	}
	h.leases = kept
}

// Reports returns and forgets the reports that are due to an owner. A report that is lost
// costs the account the tokens that it would have returned, since they count as spent.
func (h *Holder) Reports(now time.Time, owner string) []Report {
	h.expire(now)
	var out []Report
	kept := h.reports[:0]
	for _, r := range h.reports {
		if r.owner == owner {
			out = append(out, r.report)
			continue
		}
		kept = append(kept, r)
	}
	h.reports = kept
	return out
}

// ReportAfter is how long after a lease with extra tokens a host reports on its own, unless
// a request for tokens has carried the report before.
const ReportAfter = 2 * LeasePeriod

// Due returns the owners that wait for a report.
func (h *Holder) Due(now time.Time) []string {
	h.expire(now)
	var out []string
	for _, r := range h.reports {
		if !slices.Contains(out, r.owner) {
			out = append(out, r.owner)
		}
	}
	return out
}

// Receive records the answer of an owner to a request that was sent at a time for needed
// waiting requests. It returns how many of them have a token, and that token. standby is
// set if the owner's rank is not the first.
func (h *Holder) Receive(now, sentAt time.Time, owner string, standby bool, r Reply, l Limit, needed int) (granted int, t Token) {
	t = Token{expires: sentAt.Add(LeasePeriod)}
	if r.Outcome == NoAuthority || r.Outcome == Unsure && standby {
		h.avoided.Add(owner, now.Add(noTokensFor))
	}
	switch {
	case r.Outcome == NoAuthority:
		return 0, t
	case !now.Before(t.expires):
		return 0, t // this host was suspended, or the answer is late
	}
	granted = min(r.Tokens, needed)
	if extra := r.Tokens - granted; extra > 0 || r.Lease != 0 {
		h.hold(heldLease{owner: owner, id: r.Lease, tokens: extra, expires: t.expires})
	}
	if r.Outcome == OverLimit {
		h.deny(now, r.RetryAfter, l, needed-granted)
	}
	return granted, t
}

func (h *Holder) hold(l heldLease) {
	if len(h.leases) < maxHeldLeases {
		h.leases = append(h.leases, l)
	}
}

// deny remembers that the account is over its limit. It is asked for again when the
// denied request may get a token, but in time before the bucket overflows with tokens
// that nobody asks for.
func (h *Holder) deny(now time.Time, after time.Duration, l Limit, denied int) {
	h.deniedUntil, h.deniedBy = now.Add(min(after, max(l.refillTime()/2, l.Interval()))), l
	h.retryAt = now.Add(after + time.Duration(denied)*l.Interval())
}

// spread returns the retry hint of a request that is denied without a message, so that
// the callers of this host come back one by one.
func (h *Holder) spread(now time.Time, l Limit) time.Duration {
	if h.retryAt.Sub(now) > max(MaxRetryAfter, h.deniedUntil.Sub(now)) || h.retryAt.Before(h.deniedUntil) {
		h.retryAt = h.deniedUntil
	}
	after := max(h.retryAt.Sub(now), MinRetryAfter)
	h.retryAt = h.retryAt.Add(l.Interval())
	return after
}

// Return takes back the token of a request that did not run. It can be spent again until
// its lease ends.
func (h *Holder) Return(now time.Time, t Token) {
	if now.Before(t.expires) {
		h.hold(heldLease{tokens: 1, expires: t.expires})
	}
}

// Candidates returns the owners to ask, in this order: those that answered and had
// tokens lately. Without any it returns how long to wait for the first one.
func (h *Holder) Candidates(now time.Time, owners Owners, unresponsive Avoided) (ask []string, wait time.Duration) {
	wait = UnresponsiveFor
	for _, o := range owners {
		switch {
		case o == "":
		case unresponsive.Contains(now, o):
			wait = min(wait, unresponsive[o].Sub(now))
		case h.avoided.Contains(now, o):
			wait = min(wait, h.avoided[o].Sub(now))
		default:
			ask = append(ask, o)
		}
	}
	return ask, wait
}
