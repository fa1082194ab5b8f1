// Package balancerun wraps package balance for concurrent use and queues
// sub-requests that wait for a searcher's slot.
package balancerun

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Codes of the errors of this package. All carry the verdict not_run.
const (
	CodeNoReplica verdict.Code = "no_replica"      // no candidate is left
	CodeBusy      verdict.Code = "searchers_busy"  // the queues of all candidates are full
	CodeTooLate   verdict.Code = "no_slot_in_time" // no slot became free early enough for the deadline
)

// DefaultMaxWaiting is the queue length of a searcher.
const DefaultMaxWaiting = 256

// Balancer is a balance.State with a lock and a queue for each searcher. It is
// safe for concurrent use.
type Balancer struct {
	log        *eventlog.Logger
	maxWaiting int

	mu     sync.Mutex
	state  *balance.State
	rng    *rand.Rand
	queues map[balance.Key]*balance.Waiters[*pending]
}

// pending is a sub-request that waits in the queues of all its candidates.
// replica and err are set before ready is closed.
type pending struct {
	candidates []balance.Replica
	entries    []queueEntry
	ready      chan struct{}
	replica    balance.Replica
	err        error
}

type queueEntry struct {
	key   balance.Key
	entry *balance.Entry[*pending]
}

// New returns a balancer without records.
func New(cfg balance.Config, rng *rand.Rand, log *eventlog.Logger) *Balancer {
	return &Balancer{
		log: log, maxWaiting: DefaultMaxWaiting, state: balance.New(cfg), rng: rng,
		queues: map[balance.Key]*balance.Waiters[*pending]{},
	}
}

// Estimate returns the cost of a sub-request, for balance.Replica.Cost.
func (b *Balancer) Estimate(f workload.Features) workload.Cost {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Estimate(time.Now(), f)
}

// TryAcquire picks a replica. If the result is balance.Picked, it counts the
// sub-request as begun, and the caller must call Release.
func (b *Balancer) TryAcquire(candidates []balance.Replica, opts balance.PickOptions) (balance.Replica, balance.PickResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryLocked(time.Now(), candidates, opts)
}

func (b *Balancer) tryLocked(now time.Time, candidates []balance.Replica, opts balance.PickOptions) (balance.Replica, balance.PickResult) {
	r, result := b.state.Pick(now, candidates, opts, b.rng)
	if result == balance.Picked {
		b.state.Begin(now, r)
	}
	return r, result
}

// Acquire picks a replica and counts the sub-request as begun. While all
// candidates that are not ejected are at their limits, it waits for a slot.
// Slots go to the earliest deadline first. Acquire fails when less time is left
// until ctx's deadline than the mean latency of the searcher that it waits for.
// The caller must call Release unless Acquire returns an error.
func (b *Balancer) Acquire(ctx context.Context, candidates []balance.Replica, opts balance.PickOptions) (balance.Replica, error) {
	now := time.Now()
	b.mu.Lock()
	r, result := b.tryLocked(now, candidates, opts)
	switch result {
	case balance.Picked:
		b.mu.Unlock()
		return r, nil
	case balance.NoCandidate:
		b.mu.Unlock()
		return balance.Replica{}, verdict.New(verdict.NotRun, CodeNoReplica, "no replica is left for the sub-request")
	}
	deadline, ok := ctx.Deadline()
	if ok && now.Add(b.state.Latency(r.Key)).After(deadline) {
		b.mu.Unlock()
		return balance.Replica{}, tooLate()
	}
	if !ok {
		deadline = now.Add(time.Hour) // sorts after waiters that have a deadline
	}
	p := b.enqueueLocked(now, candidates, opts.Avoid, deadline)
	b.mu.Unlock()
	if p == nil {
		return balance.Replica{}, verdict.New(verdict.NotRun, CodeBusy, "too many sub-requests wait for the replicas")
	}
	return b.await(ctx, p)
}

// enqueueLocked adds a sub-request to the queues of all candidates that are
// neither in avoid nor ejected, or of the ejected ones if there are no others.
// It returns nil if all their queues are full.
func (b *Balancer) enqueueLocked(now time.Time, candidates, avoid []balance.Replica, deadline time.Time) *pending {
	p := &pending{ready: make(chan struct{})}
	ejected := func(r balance.Replica) bool { return b.state.Ejected(now, r.Key) }
	skipEjected := slices.ContainsFunc(candidates, func(r balance.Replica) bool { return !containsKey(avoid, r.Key) && !ejected(r) })
	for _, r := range candidates {
		if containsKey(avoid, r.Key) || skipEjected && ejected(r) {
			continue
		}
		q := b.queues[r.Key]
		if q == nil {
			q = &balance.Waiters[*pending]{}
			b.queues[r.Key] = q
		}
		if q.Len() >= b.maxWaiting {
			continue
		}
		p.candidates = append(p.candidates, r)
		p.entries = append(p.entries, queueEntry{key: r.Key, entry: q.Push(p, deadline)})
	}
	if len(p.entries) == 0 {
		return nil
	}
	return p
}

func containsKey(rs []balance.Replica, k balance.Key) bool {
	for i := range rs {
		if rs[i].Key == k {
			return true
		}
	}
	return false
}

func (b *Balancer) await(ctx context.Context, p *pending) (balance.Replica, error) {
	select {
	case <-p.ready:
		return p.replica, p.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-p.ready:
		// The slot was granted while the context ended. The caller's send fails
		// with the context's error, and the caller calls Release.
		return p.replica, p.err
	default:
	}
	b.dequeueLocked(p)
	return balance.Replica{}, verdict.Wrap(ctx.Err(), verdict.NotRun, CodeTooLate, "wait for a searcher's slot")
}

// Release records the outcome and grants free slots to waiting sub-requests.
func (b *Balancer) Release(r balance.Replica, out balance.Outcome) {
	now := time.Now()
	out.Cost = r.Cost
	b.mu.Lock()
	result := b.state.End(now, r.Key, out)
	b.grantFreeSlotsLocked(now, r.Key)
	b.mu.Unlock()

	switch result.Ejected {
	case balance.SearcherEjected:
		b.log.Log(eventSearcherEjected).Str("target", r.Target).Str("searcher", r.Searcher).
			Time("until", result.Until).Int("ejection", result.Ejection).Send()
	case balance.TargetEjected:
		b.log.Log(eventTargetEjected).Str("target", r.Target).
			Time("until", result.Until).Int("ejection", result.Ejection).Send()
	}
}

// grantFreeSlotsLocked grants a searcher's free slots to the waiting
// sub-requests with the earliest deadlines.
func (b *Balancer) grantFreeSlotsLocked(now time.Time, k balance.Key) {
	q := b.queues[k]
	if q == nil {
		return
	}
	need := b.state.Latency(k)
	for b.state.Free(k) > 0 {
		p, ok := q.Next(now, need, b.refuseLocked)
		if !ok {
			break
		}
		b.dequeueLocked(p)
		b.grantLocked(now, p, k)
	}
	if q.Len() == 0 {
		delete(b.queues, k)
	}
}

func (b *Balancer) grantLocked(now time.Time, p *pending, k balance.Key) {
	for _, r := range p.candidates {
		if r.Key == k {
			p.replica = r
		}
	}
	b.state.Begin(now, p.replica)
	close(p.ready)
}

// refuseLocked refuses the sub-request at the head of a searcher's queue
// because the searcher can't finish it in time. Another candidate would hardly
// be faster.
func (b *Balancer) refuseLocked(p *pending) {
	b.dequeueLocked(p)
	p.err = tooLate()
	close(p.ready)
}

func (b *Balancer) dequeueLocked(p *pending) {
	for _, e := range p.entries {
		q := b.queues[e.key]
		if q == nil {
			continue
		}
		q.Remove(e.entry)
		if q.Len() == 0 {
			delete(b.queues, e.key)
		}
	}
}

func tooLate() error {
	return verdict.New(verdict.NotRun, CodeTooLate, "no slot becomes free early enough to finish in time")
}

// SetHosts changes how many hosts share each searcher's slots.
func (b *Balancer) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.SetHosts(n)
}

// Retain removes the records of searchers for which keep returns false, for
// example because their target was removed or drains, and records that are past
// the record TTL. It refuses sub-requests that wait only for searchers for
// which keep returns false.
func (b *Balancer) Retain(keep func(balance.Key) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Retain(keep)
	b.state.Sweep(time.Now())
	for k, q := range b.queues {
		if keep(k) {
			continue
		}
		delete(b.queues, k)
		for p, _, ok := q.Pop(); ok; p, _, ok = q.Pop() {
			b.removeCandidateLocked(p, k)
		}
	}
}

// removeCandidateLocked removes a candidate of a waiting sub-request, and
// refuses the sub-request if it was the last one.
func (b *Balancer) removeCandidateLocked(p *pending, k balance.Key) {
	p.entries = slices.DeleteFunc(p.entries, func(e queueEntry) bool { return e.key == k })
	if len(p.entries) > 0 {
		return
	}
	p.err = verdict.New(verdict.NotRun, CodeNoReplica, "the last replica that the sub-request waited for was removed")
	close(p.ready)
}

// Snapshot returns the records of all searchers and the number of sub-requests
// that wait for each.
func (b *Balancer) Snapshot() ([]balance.Stats, map[balance.Key]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := make(map[balance.Key]int, len(b.queues))
	for k, q := range b.queues {
		waiting[k] = q.Len()
	}
	return b.state.Snapshot(time.Now()), waiting
}
