package quotarun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/quota"
)

// AnswerTimeout is how long a host waits for an owner.
const AnswerTimeout = 40 * time.Millisecond

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
		select {
		case a := <-answered: // both were ready
			return a.reply, a.err
		default:
		}
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
