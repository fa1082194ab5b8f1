package quota

import "time"

// Outcome is the answer of an owner.
type Outcome uint8

// Outcomes. NoAuthority is the zero value, so that an unknown answer makes the host ask
// the next owner.
const (
	NoAuthority Outcome = iota // the host may not decide for this account now
	Granted                    // all tokens that are needed now
	OverLimit                  // the tokens that are missing are over the limit
	Unsure                     // the tokens that are missing may be within the limit
	Unlimited                  // the account has no limit
)

// Report tells an owner how many tokens of a lease were not spent. The lease has ended or
// holds no token.
type Report struct {
	Lease  uint64
	Unused int
}

// Request asks an owner for tokens.
type Request struct {
	Account string
	Plan    uint64 // version of the route plan in force at the asking host
	Needed  int    // requests that wait for a token
	Extra   int    // tokens expected to be needed within the lease period
	Denied  int    // requests that the host denied on its own since it last asked
	Reports []Report
}

// Reply is the answer of an owner.
type Reply struct {
	Outcome Outcome
	Tokens  int    // that were granted
	Lease   uint64 // of tokens beyond those needed now; 0 if there are none
	// RetryAfter is, for OverLimit, when the first of the requests without a token may
	// get one; the others follow at the account's interval.
	RetryAfter time.Duration
}

// Known is what a host knows about an account by its route plan.
type Known struct {
	Plan   uint64 // version
	Listed bool
	Limit  Limit
}

const (
	// reportWait is how long an owner waits for the report of a lease. It is well beyond
	// ReportAfter. Without a report the tokens count as spent.
	reportWait = 2 * time.Second
	// idleAfter is how long the state of a full bucket is kept.
	idleAfter = time.Minute
)

// parkedLease is a lease with tokens beyond those needed at once.
type parkedLease struct {
	id     uint64
	until  time.Time // end of the wait for its report
	tokens int
}

type ownedAccount struct {
	role     role
	limit    Limit
	parts    division
	bucket   Bucket
	standby  window
	parked   []parkedLease
	promised time.Time // when the last denied request may get a token
	usedAt   time.Time
}

// Owner grants the tokens of the accounts that a host owns.
type Owner struct {
	policy    Policy
	authority *Authority
	accounts  map[string]*ownedAccount
	leases    uint64
	sweptAt   time.Time
}

// NewOwner returns an owner without state. seed makes the numbers of its leases differ
// from those of earlier processes of the host.
func NewOwner(p Policy, a *Authority, seed uint64) *Owner {
	return &Owner{policy: p, authority: a, accounts: make(map[string]*ownedAccount), leases: seed}
}

// Acquire answers a request for tokens of an account. known is what this host's route
// plan states about the account.
func (o *Owner) Acquire(now time.Time, r Request, known Known) Reply {
	o.sweep(now)
	switch {
	case !known.Listed || known.Limit.Rate <= 0 && known.Plan < r.Plan:
		return Reply{Outcome: NoAuthority} // the asking host's newer plan may state another limit
	case known.Limit.Rate <= 0:
		return Reply{Outcome: Unlimited, Tokens: r.Needed}
	}
	a := o.accounts[r.Account]
	last := role{}
	if a != nil {
		last = a.role
	}
	role, ok := o.authority.roleOf(now, r.Account, last)
	if !ok {
		return Reply{Outcome: NoAuthority}
	}
	if a == nil || a.role.rank != role.rank || !a.role.since.Equal(role.since) {
		a = o.take(role, known.Limit)
		o.accounts[r.Account] = a
	}
	a.role, a.usedAt = role, now
	if a.limit != known.Limit {
		a.limit, a.parts = known.Limit, o.policy.divide(known.Limit)
		a.bucket.SetLimit(now, a.parts.bucket)
	}
	if role.rank > 0 {
		return o.standIn(now, a, r)
	}
	a.settle(now, r.Reports)
	return o.grant(now, a, r)
}

// ListChanged carries the roles of known accounts over to a new list. An account that is
// asked about only under a later one would otherwise seem to have been owned by another
// host in between.
func (o *Owner) ListChanged(now time.Time) {
	for name, a := range o.accounts {
		r, _ := o.authority.roleOf(now, name, a.role)
		if r.rank == a.role.rank && r.since.Equal(a.role.since) {
			a.role = r
		}
	}
}

// take returns the state of an account whose role begins. The bucket is overdrawn at the
// beginning of the role because the predecessor may have granted all that it could just
// before.
func (o *Owner) take(r role, l Limit) *ownedAccount {
	a := &ownedAccount{role: r, limit: l, parts: o.policy.divide(l)}
	a.bucket = NewBucket(a.parts.bucket, r.since, -a.parts.debt)
	a.standby = window{span: o.policy.Window + LeasePeriod, start: r.since}
	return a
}

// parkedTokens returns the prefetched tokens whose report is awaited.
func (a *ownedAccount) parkedTokens() int {
	n := 0
	for _, l := range a.parked {
		n += l.tokens
	}
	return n
}

// settle takes the reports of a host into account and gives up those that are late.
func (a *ownedAccount) settle(now time.Time, reports []Report) {
	kept := a.parked[:0]
	for _, l := range a.parked {
		reported := false
		for _, r := range reports {
			if r.Lease == l.id {
				reported = true
				a.bucket.Return(now, max(min(r.Unused, l.tokens), 0))
			}
		}
		if !reported && now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	a.parked = kept
}

// grant grants tokens from the bucket.
func (o *Owner) grant(now time.Time, a *ownedAccount, r Request) Reply {
	reply := Reply{Outcome: Granted, Tokens: a.bucket.Take(now, r.Needed, a.parts.debt)}
	if missing := r.Needed - reply.Tokens; missing > 0 {
		if now.Sub(a.role.since) < a.parts.refillTime() {
			reply.Outcome = Unsure
			return reply
		}
		reply.Outcome, reply.RetryAfter = OverLimit, a.promise(now, missing, r.Denied)
		return reply
	}
	o.prefetch(now, a, r.Extra, &reply)
	return reply
}

// prefetch adds tokens for requests that are expected within the lease period, as many as
// the debt of the bucket makes up for while they lie at hosts. More would cost other hosts
// requests that the account is entitled to.
func (o *Owner) prefetch(now time.Time, a *ownedAccount, extra int, reply *Reply) {
	extra = min(extra, int(a.limit.Rate*LeasePeriod.Seconds()), int(a.parts.parked)-a.parkedTokens())
	tokens := a.bucket.Take(now, extra, 0)
	if tokens == 0 {
		return
	}
	reply.Tokens += tokens
	reply.Lease = o.nextLease()
	a.parked = append(a.parked, parkedLease{id: reply.Lease, until: now.Add(reportWait), tokens: tokens})
}

func (o *Owner) nextLease() uint64 {
	o.leases++
	return o.leases
}

// promise returns when the first of n denied requests may get a token, after those that
// were denied before. elsewhere is the number of requests that the asking host denied on
// its own. Beyond MaxRetryAfter the times start again with the next token, since callers
// don't wait longer.
func (a *ownedAccount) promise(now time.Time, n, elsewhere int) time.Duration {
	interval := a.parts.bucket.Interval()
	next := now.Add(max(a.bucket.Wait(now, a.parts.debt), MinRetryAfter))
	horizon := now.Add(max(MaxRetryAfter, next.Sub(now)))
	first := a.promised.Add(interval)
	if first.Before(next) || first.After(horizon) {
		first = next
	}
	after := first.Add(time.Duration(min(n-1+elsewhere, int(MaxRetryAfter/interval))) * interval)
	a.promised = after
	return first.Sub(now)
}

// standIn grants tokens to a host that could not get an answer from the preceding ranks.
// It begins a window after the role, when no grant of a predecessor is in the same window.
func (o *Owner) standIn(now time.Time, a *ownedAccount, r Request) Reply {
	reply := Reply{Outcome: Granted}
	if now.Sub(a.role.since) >= o.policy.Window+LeasePeriod {
		reply.Tokens = a.standby.take(now, r.Needed, a.parts.standby[a.role.rank-1])
	}
	if reply.Tokens < r.Needed {
		reply.Outcome = Unsure
	}
	return reply
}

// sweep drops accounts whose state is that of a new record, whose role would have begun
// long enough ago for a full bucket.
func (o *Owner) sweep(now time.Time) {
	if now.Sub(o.sweptAt) < idleAfter {
		return
	}
	o.sweptAt = now
	idle := max(idleAfter, 2*o.policy.Window)
	for name, a := range o.accounts {
		r, _ := o.authority.roleOf(now, name, role{})
		renewed := now.Sub(r.since) >= max(a.parts.refillTime(), o.policy.Window+LeasePeriod)
		if now.Sub(a.usedAt) >= idle && a.bucket.Full(now) && renewed {
			delete(o.accounts, name)
		}
	}
}

// Accounts returns the number of accounts with state.
func (o *Owner) Accounts() int { return len(o.accounts) }
