// Package quotarun runs the quotas of a host: it admits the requests of accounts that have
// a limit, asks the owners of the accounts for tokens, and answers the other hosts for the
// accounts that this host owns.
package quotarun

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/quota"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Error codes of this package.
const (
	CodeOverLimit verdict.Code = "over_quota"
	CodeNoOwner   verdict.Code = "quota_unknown"
)

const (
	// AnswerTimeout is how long a host waits for an owner.
	AnswerTimeout = 40 * time.Millisecond
	// maxAsking bounds the requests to owners that are under way for one account.
	// Requests that arrive meanwhile share the next one.
	maxAsking = 4
)

// View is what a host knows from its control state.
type View struct {
	Epoch   uint64 // of the agreed member list
	Members []string
	// ConfirmedAt is when the leader last stated that neither a newer list nor a newer
	// route plan was accepted. It is zero if it has not done so.
	ConfirmedAt time.Time
	Plan        uint64 // version of the route plan
	Accounts    *accounts.Directory
}

// Config configures the quotas of a host.
type Config struct {
	Host   string
	Policy quota.Policy
	Seed   uint64 // differs from that of earlier processes of the host
	// Now is a clock that never goes back and counts suspensions. View's times are of it.
	Now  func() time.Time
	View func() View
	// Ask sends a request to another host. It returns when ctx ends.
	Ask func(ctx context.Context, host string, r quota.Request) (quota.Reply, error)
	Log *eventlog.Logger
}

// Stats counts since the start of the process.
type Stats struct {
	Admitted  atomic.Int64 // requests that got a token
	OverLimit atomic.Int64 // requests rejected because the account was over its limit
	NoOwner   atomic.Int64 // requests rejected because no owner granted or denied a token
	Returned  atomic.Int64 // tokens of requests that did not run
	Asked     atomic.Int64 // messages to owners
	Leased    atomic.Int64 // tokens granted to hosts, by this host as an owner
}

// Quotas holds the quotas of a host. It is safe for concurrent use.
type Quotas struct {
	config  Config
	stats   Stats
	ended   context.Context
	end     context.CancelFunc
	working sync.WaitGroup

	mu        sync.Mutex
	authority *quota.Authority
	owner     *quota.Owner
	accounts  map[string]*account
	silent    quota.Avoided // owners that did not answer lately
	directory *accounts.Directory

	logMu              sync.Mutex
	overLimit, noOwner throttle
}

// account is the state of an account at this host.
type account struct {
	name    string
	holder  *quota.Holder
	waiting []*waiter // for the next request to an owner
	asking  int
}

// waiter is a request that waits for a token.
type waiter struct {
	limit  quota.Limit
	result chan result // of capacity 1
	gone   bool        // nobody waits for the result any more
}

type result struct {
	token quota.Token
	err   *verdict.Error
}

// New returns the quotas of a host that has just started.
func New(c Config) *Quotas {
	q := &Quotas{config: c, authority: quota.NewAuthority(c.Host), accounts: make(map[string]*account), silent: make(quota.Avoided)}
	q.owner = quota.NewOwner(c.Policy, q.authority, c.Seed)
	q.ended, q.end = context.WithCancel(context.Background())
	return q
}

// Stats returns the counters.
func (q *Quotas) Stats() *Stats { return &q.stats }

// Close ends the requests to owners that are under way and waits for them.
func (q *Quotas) Close() {
	q.mu.Lock()
	q.end()
	q.mu.Unlock()
	q.working.Wait()
}

// Observe takes note of a changed view. A host that takes over an account counts its wait
// from the first call with the list, so it should be called soon after each change.
func (q *Quotas) Observe() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe()
}

// observe returns the present view and time after taking note of them.
func (q *Quotas) observe() (View, time.Time) {
	v, now := q.config.View(), q.config.Now()
	q.authority.Observe(now, v.Epoch, v.Members, v.ConfirmedAt)
	if v.Accounts != q.directory {
		q.directory = v.Accounts
		for name, a := range q.accounts {
			if _, listed := v.Accounts.Named(name); !listed && a.asking == 0 && len(a.waiting) == 0 {
				delete(q.accounts, name)
			}
		}
	}
	return v, now
}

// Permit is a token that a request has spent. A nil permit is that of a request without a
// limit.
type Permit struct {
	quotas  *Quotas
	account string
	token   quota.Token
}

// Return gives the token back if the request did not run and never will.
func (p *Permit) Return() {
	if p == nil {
		return
	}
	q := p.quotas
	q.stats.Returned.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if a := q.accounts[p.account]; a != nil {
		a.holder.Return(q.config.Now(), p.token)
	}
}

// Acquire takes a token for a request of an account. Usually it waits for at most one
// message to an owner. It fails with CodeOverLimit if the account is over its limit, and
// with CodeNoOwner if no owner could tell; the request must not run then.
func (q *Quotas) Acquire(ctx context.Context, of *accounts.Account) (*Permit, *verdict.Error) {
	if of == nil || of.Rate <= 0 {
		return nil, nil
	}
	limit := quota.Limit{Rate: of.Rate, Burst: of.Burst}
	q.mu.Lock()
	a := q.accounts[of.Name]
	if a == nil {
		a = &account{name: of.Name, holder: quota.NewHolder()}
		q.accounts[of.Name] = a
	}
	decision, token, after := a.holder.Arrive(q.config.Now(), limit)
	var w *waiter
	if decision == quota.Ask {
		w = &waiter{limit: limit, result: make(chan result, 1)}
		q.enqueue(a, w)
	}
	q.mu.Unlock()
	switch decision {
	case quota.Spend:
		return q.permit(of.Name, token), nil
	case quota.Deny:
		return nil, q.denied(of.Name, after)
	}
	select {
	case r := <-w.result:
		if r.err != nil {
			return nil, r.err
		}
		return q.permit(of.Name, r.token), nil
	case <-ctx.Done():
		q.abandon(a, w)
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, CodeNoOwner, "wait for a token of account "+of.Name)
	}
}

func (q *Quotas) permit(name string, t quota.Token) *Permit {
	q.stats.Admitted.Add(1)
	return &Permit{quotas: q, account: name, token: t}
}

// enqueue makes a request wait for a token.
func (q *Quotas) enqueue(a *account, w *waiter) {
	if q.ended.Err() != nil {
		w.result <- result{err: q.unknown(a.name, 0)}
		return
	}
	a.waiting = append(a.waiting, w)
	if a.asking < maxAsking {
		a.asking++
		q.working.Add(1)
		go q.work(a)
	}
}

// abandon gives up waiting. A token that arrived in the meantime is kept for others.
func (q *Quotas) abandon(a *account, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.gone = true
	select {
	case r := <-w.result:
		if r.err == nil {
			a.holder.Return(q.config.Now(), r.token)
		}
	default:
	}
}

// work asks owners for the tokens of the waiting requests until none is left.
func (q *Quotas) work(a *account) {
	defer q.working.Done()
	for {
		q.mu.Lock()
		batch := a.waiting
		a.waiting = nil
		if len(batch) == 0 {
			a.asking--
			q.mu.Unlock()
			return
		}
		view, now := q.observe()
		var owners quota.Owners
		if list := q.authority.List(); list != nil {
			owners = list.Owners(a.name)
		}
		ask, wait := a.holder.Candidates(now, owners, q.silent)
		q.mu.Unlock()
		for _, host := range ask {
			if batch = q.ask(a, host, host != owners[0], view.Plan, batch); len(batch) == 0 {
				break
			}
			wait = retryAfterUnknown
		}
		for _, w := range batch {
			w.result <- result{err: q.unknown(a.name, max(wait, retryAfterUnknown), owners[:]...)}
		}
	}
}

// retryAfterUnknown is the least retry hint to a caller whose request got no token because
// no owner could tell. A host that lost contact is confirmed again within a poll of its
// feed, and other hosts may reach the owners.
const retryAfterUnknown = 100 * time.Millisecond

// ask asks one owner for the tokens of a batch and returns the requests that still need
// another owner.
func (q *Quotas) ask(a *account, host string, standby bool, plan uint64, batch []*waiter) []*waiter {
	limit := batch[0].limit
	q.mu.Lock()
	sentAt := q.config.Now()
	r := quota.Request{
		Account: a.name, Plan: plan, Needed: len(batch), Extra: a.holder.Extra(len(batch)),
		Denied: a.holder.TakeDenied(), Reports: a.holder.Reports(sentAt, host),
	}
	q.mu.Unlock()
	e := &exchange{account: a, host: host, standby: standby, limit: limit, sentAt: sentAt, request: r}
	reply, err := q.send(e)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Now()
	if err != nil {
		q.silent.Add(host, now.Add(quota.UnresponsiveFor))
		return batch
	}
	granted, token := q.receive(e, reply, len(batch))
	for _, w := range batch[:granted] {
		if w.gone {
			a.holder.Return(now, token)
			continue
		}
		w.result <- result{token: token}
	}
	batch = batch[granted:]
	if reply.Outcome != quota.OverLimit {
		return batch
	}
	for i, w := range batch {
		w.result <- result{err: q.denied(a.name, reply.RetryAfter+time.Duration(i)*limit.Interval())}
	}
	return nil
}

// exchange is a request to an owner that is under way.
type exchange struct {
	account *account
	host    string
	standby bool
	limit   quota.Limit
	sentAt  time.Time
	request quota.Request
}

type answer struct {
	reply quota.Reply
	err   error
}

var errNoAnswer = errors.New("the owner has not answered in time")

// send sends a request to a host, perhaps this one, and waits for the answer. The tokens
// of an answer that comes too late are kept for other requests until their lease ends.
func (q *Quotas) send(e *exchange) (quota.Reply, error) {
	if e.host == q.config.Host {
		return q.Serve(e.request), nil
	}
	q.stats.Asked.Add(1)
	answered := make(chan answer, 1)
	q.working.Add(1)
	go func() {
		defer q.working.Done()
		ctx, cancel := context.WithTimeout(q.ended, quota.LeasePeriod)
		defer cancel()
		reply, err := q.config.Ask(ctx, e.host, e.request)
		answered <- answer{reply, err}
	}()
	timer := time.NewTimer(AnswerTimeout)
	defer timer.Stop()
	select {
	case a := <-answered:
		return a.reply, a.err
	case <-timer.C:
		q.working.Add(1)
		go q.receiveLate(e, answered)
		return quota.Reply{}, errNoAnswer
	}
}

func (q *Quotas) receiveLate(e *exchange, answered <-chan answer) {
	defer q.working.Done()
	a := <-answered
	if a.err != nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.silent, e.host)
	q.receive(e, a.reply, 0)
}

// receive records the answer of an owner for requests that still wait for a token.
func (q *Quotas) receive(e *exchange, reply quota.Reply, needed int) (granted int, token quota.Token) {
	if reply.Lease != 0 {
		time.AfterFunc(quota.ReportAfter, func() { q.report(e.account, e.request.Plan) })
	}
	return e.account.holder.Receive(q.config.Now(), e.sentAt, e.host, e.standby, reply, e.limit, needed)
}

// report sends the reports on ended leases that no request for tokens has carried.
func (q *Quotas) report(a *account, plan uint64) {
	q.mu.Lock()
	now := q.config.Now()
	due := make(map[string][]quota.Report)
	for _, host := range a.holder.Due(now) {
		due[host] = a.holder.Reports(now, host)
	}
	if len(due) == 0 || q.ended.Err() != nil {
		q.mu.Unlock()
		return
	}
	q.working.Add(1)
	q.mu.Unlock()
	defer q.working.Done()
	for host, reports := range due {
		// A lost report costs the account its unused tokens.
		_, _ = q.send(&exchange{account: a, host: host, sentAt: now, request: quota.Request{Account: a.name, Plan: plan, Reports: reports}})
	}
}

// Serve answers a request for tokens of an account that this host may own.
func (q *Quotas) Serve(r quota.Request) quota.Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	view, now := q.observe()
	known := quota.Known{Plan: view.Plan}
	if a, ok := view.Accounts.Named(r.Account); ok {
		known.Listed, known.Limit = true, quota.Limit{Rate: a.Rate, Burst: a.Burst}
	}
	reply := q.owner.Acquire(now, r, known)
	q.stats.Leased.Add(int64(reply.Tokens))
	return reply
}

// count counts an occurrence of an event, see throttle.
func (q *Quotas) count(t *throttle) int {
	q.logMu.Lock()
	defer q.logMu.Unlock()
	return t.due(q.config.Now())
}

// denied returns the error of a request over the limit.
func (q *Quotas) denied(name string, after time.Duration) *verdict.Error {
	q.stats.OverLimit.Add(1)
	if n := q.count(&q.overLimit); n > 0 {
		q.config.Log.Log(eventOverLimit).Str("account", name).Int("requests", n).Send()
	}
	return verdict.New(verdict.NotRun, CodeOverLimit, "account %q is over its limit", name).WithRetryAfter(after)
}

// unknown returns the error of a request for which no owner granted or denied a token.
func (q *Quotas) unknown(name string, after time.Duration, owners ...string) *verdict.Error {
	q.stats.NoOwner.Add(1)
	if n := q.count(&q.noOwner); n > 0 {
		q.config.Log.Log(eventNoOwner).Str("account", name).Str("owners", strings.Join(owners, " ")).Int("requests", n).Send()
	}
	return verdict.New(verdict.NotRun, CodeNoOwner, "no owner of account %q could tell whether it is over its limit", name).WithRetryAfter(after)
}
