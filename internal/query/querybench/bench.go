package querybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// bench is one case in progress.
type bench struct {
	clock
	c         Case
	rng       *rand.Rand // arrivals and network times
	targets   []*target
	searchers []*searcher
	catalog   *query.Catalog
	hosts     []*host
	current   *activeQuery // query that is choosing a replica
	result    *Result
	rate      float64 // queries a second
	arrivals  int
	termDist  *termSource // nil unless the case models caching targets
}

// host is one entry host.
type host struct {
	group    *query.Group
	balancer Balancer
	gate     Gate
	catalog  *query.Catalog
	shedAt   time.Duration // last time a target shed a sub-request of this host
	active   []*activeQuery
}

// activeQuery is one query, from its arrival on.
type activeQuery struct {
	id         int
	host       *host
	run        *query.Run
	arrived    time.Duration
	started    time.Duration // when the gate admitted it
	jobs       []*job        // by attempt number - 1
	wakeAt     time.Time
	answered   []bool // shards for which a searcher served a sub-request
	done       bool
	overloaded bool // see the function overloaded
}

// Run runs one case.
func Run(c Case) Result {
	if c.Hosts == 0 {
		c.Hosts = defaultHosts
	}
	b := &bench{c: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), result: &Result{Case: c}}
	b.build()
	b.after(0, queryArrived{})
	for {
		act, ok := b.next()
		if !ok {
			break
		}
		act.execute(b)
	}
	b.result.summarize(b)
	return *b.result
}

// build creates the targets, searchers, catalog and hosts.
func (b *bench) build() {
	s := b.c.Shape
	snapshot := query.Snapshot{Name: "s1", Generation: 1}
	for i := range s.Shards() {
		snapshot.Layout = append(snapshot.Layout, fmt.Sprintf("shard-%03d", i))
	}
	snapshot.Replicas = make([][]query.Replica, s.Shards())
	for i := range s.Targets {
		t := &target{name: fmt.Sprintf("t%03d", i), failureDomain: fmt.Sprintf("zone-%d", s.failureDomain(i)), slow: 1}
		b.targets = append(b.targets, t)
		for range s.Searchers {
			b.addSearcher(t, &snapshot)
		}
	}
	b.catalog = &query.Catalog{Group: "g", Snapshots: []query.Snapshot{snapshot}}
	slots := float64(s.Targets * s.Searchers * s.Slots)
	b.rate = b.c.Load * slots / (meanService(b.c.Stragglers) / float64(time.Second)) / float64(s.Shards())
	b.setFaults()
	for i := range b.c.Hosts {
		b.hosts = append(b.hosts, b.newHost(uint64(i)))
	}
}

// addSearcher adds a searcher that holds the next shard.
func (b *bench) addSearcher(t *target, snapshot *query.Snapshot) {
	k := len(b.searchers)
	s := &searcher{target: t, index: k, shard: k % b.c.Shape.Shards(), slots: b.c.Shape.Slots}
	if b.c.Policy.Caching {
		s.cache = newCache()
	}
	b.searchers = append(b.searchers, s)
	snapshot.Replicas[s.shard] = append(snapshot.Replicas[s.shard], replicaOf(s))
}

func (b *bench) newHost(n uint64) *host {
	p := &b.c.Policy
	h := &host{catalog: b.catalog, gate: p.gate(b)}
	h.balancer = p.balancer(b, rand.New(rand.NewPCG(b.c.Seed, 100+n)))
	h.group = query.NewGroup(p.base(), p.Limits)
	if !p.SmallBurst {
		h.group.SetShards(b.c.Shape.Shards())
	}
	return h
}

// network returns a random one-way time between a host and a target.
func (b *bench) network() time.Duration {
	return networkMin + time.Duration(b.rng.Int64N(int64(networkMax-networkMin)))
}

// queryArrived is the arrival of a query at one of the hosts.
type queryArrived struct{}

func (queryArrived) execute(b *bench) {
	a := &activeQuery{id: b.arrivals, host: b.hosts[b.rng.IntN(len(b.hosts))], arrived: b.now}
	b.arrivals++
	if b.arrivals < b.c.Queries {
		gap := -math.Log(1-b.rng.Float64()) / b.rate
		b.after(time.Duration(gap*float64(time.Second)), queryArrived{})
	}
	switch a.host.gate.Arrive(b.now, a) {
	case Start:
		b.start(a)
	case Refuse:
		b.result.refused++
	}
}

func (b *bench) start(a *activeQuery) {
	h := a.host
	h.group.SetSaturated(b.saturated(h))
	a.started = b.now
	a.answered = make([]bool, b.c.Shape.Shards())
	q := query.Query{RequestID: "q", Group: "g", K: hitsWanted, Deadline: epoch.Add(a.arrived + deadline)}
	policy := h.group.Policy(b.time())
	b.c.Policy.adjust(&policy)
	b.current = a
	a.run = query.NewRun(policy, q, h.catalog, b.c.Policy.chooser(b, a), h.group, b.time())
	h.active = append(h.active, a)
	b.apply(a, a.run.Start(b.time()))
}

// saturated reports whether hedging is disabled at a host for lack of capacity.
func (b *bench) saturated(h *host) bool {
	if b.c.Policy.GateSignal {
		return h.gate.Saturated(b.now)
	}
	return h.shedAt > 0 && b.now-h.shedAt < saturatedAfterShed
}

// step passes an event to a query.
func (b *bench) step(a *activeQuery, ev query.Event) {
	b.current = a
	b.apply(a, a.run.Step(b.time(), ev))
}

func (b *bench) apply(a *activeQuery, effects []query.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case query.Send:
			b.send(a, e.Request)
		case query.Cancel:
			b.cancel(a.jobs[e.Attempt-1])
		case query.WakeAt:
			a.wakeAt = e.At
			b.after(e.At.Sub(b.time()), tick{a, e.At})
		case query.DrainObserved:
			b.after(drainDelay, targetRemoved{a.host, e.Target})
		case query.Finish:
			b.finish(a, e)
		}
	}
}

// drainDelay is the time from the first reply that marks a target as draining
// until the host's catalog no longer lists the target.
const drainDelay = 5 * time.Millisecond

func (b *bench) send(a *activeQuery, req query.SubRequest) {
	j := &job{query: a, request: req, searcher: b.searchers[searcherIndex(&req.Replica)], sentAt: b.now}
	a.jobs = append(a.jobs, j)
	j.searcher.inbound = append(j.searcher.inbound, j)
	a.host.balancer.Sent(b.time(), req.Replica)
	b.after(b.network(), requestArrived{j})
}

func (b *bench) cancel(j *job) {
	end := Cancelled
	if j.request.Hedge {
		end = CancelledHedge
	}
	j.query.host.balancer.Done(b.time(), j.request.Replica, b.now-j.sentAt, end)
	b.after(b.network(), cancelArrived{j})
	j.cancelled = true
}

// replyArrived is the arrival of a reply at its host.
type replyArrived struct {
	job   *job
	reply query.Reply
}

func (e replyArrived) execute(b *bench) {
	a := e.job.query
	if e.reply.Err != nil && verdict.CodeOf(e.reply.Err) == query.CodeShed {
		a.host.shedAt = b.now
	}
	if !e.job.cancelled {
		end := Answered
		if e.reply.Err != nil {
			end = Failed
		}
		a.host.balancer.Done(b.time(), e.job.request.Replica, b.now-e.job.sentAt, end)
	}
	b.step(a, query.ReplyArrived{Reply: e.reply})
}

// tick is the expiry of a query's timer.
type tick struct {
	query *activeQuery
	at    time.Time
}

func (e tick) execute(b *bench) {
	if !e.query.done && e.query.wakeAt.Equal(e.at) {
		b.step(e.query, query.Tick{})
	}
}

func (b *bench) finish(a *activeQuery, f query.Finish) {
	a.done = true
	a.overloaded = overloaded(f)
	h := a.host
	for i := range h.active {
		if h.active[i] == a {
			h.active = append(h.active[:i], h.active[i+1:]...)
			break
		}
	}
	b.result.add(b, a, f)
	start, refuse := h.gate.Leave(b.now, a)
	for _, next := range refuse {
		next.done = true
		b.result.refused++
	}
	for _, next := range start {
		b.start(next)
	}
}

// overloaded reports whether the query missed its deadline or lacks shards that
// were shed or timed out. A host reports such queries to admission control.
func overloaded(f query.Finish) bool {
	if f.Err != nil {
		return verdict.CodeOf(f.Err) == verdict.CodeDeadlineExceeded
	}
	return slices.ContainsFunc(f.Answer.Coverage.Missing, func(m query.MissingShard) bool {
		return m.Reason == query.ReasonShed || m.Reason == query.ReasonTimeout
	})
}

// hash returns a pseudorandom number that depends only on the seed of the case,
// the query, n and salt.
func (b *bench) hash(queryID, n, salt int) uint64 {
	x := b.c.Seed*0x9e3779b97f4a7c15 + uint64(queryID)<<24 + uint64(n)<<4 + uint64(salt)
	// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }

func notRun(err error) bool { return verdict.Of(err) == verdict.NotRun }
