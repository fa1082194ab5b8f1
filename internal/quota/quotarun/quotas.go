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

// maxAsking bounds the requests to owners that are under way for one account.
// Requests that arrive meanwhile share the next one.
const maxAsking = 4

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
	previous := q.authority.List()
	q.authority.Observe(now, v.Epoch, v.Members, v.ConfirmedAt)
	if q.authority.List() != previous {
		q.owner.ListChanged(now)
	}
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
