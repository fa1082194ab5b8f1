package forward

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// This file simulates gatherers that share the searchers of shards, on virtual time.
// Requests are driven by Run; the choice of searchers and its estimates are either those
// of package workload or the previous ones, whose copy is in previous_test.go.

// simKind is a kind of requests of a simulation.
type simKind struct {
	name      string
	rate      float64 // per second, all hosts together
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	minRatio  float64
	body      int
	// mixed is the share of the route's requests that cost mixedFactor times as much
	// and have a body of 8 KB.
	mixed, mixedFactor float64
}

// simScenario is what a simulation simulates.
type simScenario struct {
	hosts, shards, replicas, slots, queue int
	kinds                                 []simKind
	heavyShare, heavyFactor               float64
	farLatency                            time.Duration // one way to another failure domain
	seconds                               float64
	// countFrom is when requests begin to count; 0 means warmUp.
	countFrom time.Duration
	// pace returns how many times longer than usual a searcher takes at a time.
	pace func(searcher int, at time.Duration) float64
	// pauseEvery and pause are the period and the length of pauses of each searcher.
	pauseEvery, pause time.Duration
	// rate returns the factor of the arrival rate at a time.
	rate func(at time.Duration) float64
	// report returns what a searcher reports; nil for nothing.
	report func(s *simSearcher, at time.Duration) workload.Report
}

// simResult is what callers got.
type simResult struct {
	requests, inTime, failed, shed int
	value                          float64
	took                           []time.Duration
	attempts, extra, far           int
	bySearcher                     map[Identity]int
}

func (r *simResult) share() float64 { return float64(r.inTime) / float64(max(r.requests, 1)) }

func (r *simResult) worth() float64 { return r.value / float64(max(r.requests, 1)) }

func (r *simResult) percentile(q float64) time.Duration {
	if len(r.took) == 0 {
		return 0
	}
	slices.Sort(r.took)
	return r.took[min(int(q*float64(len(r.took))), len(r.took)-1)]
}

func (r *simResult) String() string {
	return fmt.Sprintf("in time %.4f value %.4f p50 %v p95 %v p99 %v failed %d shed %d attempts %d extra %.2f%% far %.2f%%", r.share(), r.worth(),
		r.percentile(.5).Round(100*time.Microsecond), r.percentile(.95).Round(100*time.Microsecond), r.percentile(.99).Round(100*time.Microsecond), r.failed, r.shed, r.attempts,
		100*float64(r.extra)/float64(max(r.attempts, 1)), 100*float64(r.far)/float64(max(r.attempts, 1)))
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}
func (q simQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simSearcher is a searcher with slots and a queue.
type simSearcher struct {
	sim     *loadSim
	index   int
	domain  string
	phase   time.Duration // of its pauses
	running int
	waiting []simJob
}

type simJob struct {
	work time.Duration
	done func(ok bool)
}

func (s *simSearcher) arrive(j simJob) {
	switch {
	case s.running < s.sim.slots:
		s.start(j)
	case len(s.waiting) < s.sim.queue:
		s.waiting = append(s.waiting, j)
	default:
		j.done(false)
	}
}

func (s *simSearcher) start(j simJob) {
	s.running++
	s.sim.after(s.serviceTime(j.work), func() {
		s.running--
		j.done(true)
		if len(s.waiting) > 0 && s.running < s.sim.slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
	})
}

// serviceTime returns how long work that starts now takes, with the pace at its start and
// the pauses in it.
func (s *simSearcher) serviceTime(work time.Duration) time.Duration {
	sim := s.sim
	left := time.Duration(float64(work) * s.pace())
	if sim.pause == 0 {
		return left
	}
	at := sim.now
	for {
		in := (at + s.phase) % sim.pauseEvery // time since the start of the last pause
		if in < sim.pause {
			at += sim.pause - in
			continue
		}
		if free := sim.pauseEvery - in; left > free {
			left -= free
			at += free
			continue
		}
		return at + left - sim.now
	}
}

func (s *simSearcher) pace() float64 {
	if s.sim.scenario.pace == nil {
		return 1
	}
	return s.sim.scenario.pace(s.index, s.sim.now)
}

// estimator is the part of a host that differs between the previous choice and the
// present one.
type estimator interface {
	choose(now time.Time, g *Group, work time.Duration, opts AttemptOptions, c Criteria, rng *rand.Rand) (*Searcher, bool)
	expected(now time.Time, g *Group, work time.Duration, c Criteria) time.Duration
	ended(now time.Time, g *Group, a *Attempt, work time.Duration, r Result) (net time.Duration)
	cost(now time.Time, k simKind, body int) workload.Cost
	observe(now time.Time, k simKind, cost workload.Cost, took, net time.Duration, shards int)
	report(now time.Time, g *Group, s *Searcher, r workload.Report)
}

type simHost struct {
	sim       *loadSim
	domain    string
	groups    map[string]*Group
	timings   []*Timing
	admission []Admission
	est       estimator
	rng       *rand.Rand
	waiters   map[string][]func()
}

type loadSim struct {
	simScenario
	scenario  *simScenario
	now       time.Duration
	seq       int
	events    simQueue
	hosts     []*simHost
	searchers map[Identity]*simSearcher
	services  []string
	routes    []*routeplan.Route
	results   []simResult
	recent    map[string]map[Identity]int
	rng       *rand.Rand // of the work
	arriving  *rand.Rand // of the arrivals, which do not depend on the choice
}

func (s *loadSim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *loadSim) at(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at, s.seq, do})
}

func (s *loadSim) time() time.Time { return start.Add(s.now) }

// simulate runs a scenario with the given estimators and seed, and returns the result of
// each kind.
func simulate(sc simScenario, seed uint64, newEstimator func() estimator) []simResult {
	s := &loadSim{simScenario: sc, scenario: &sc, searchers: map[Identity]*simSearcher{}, rng: rand.New(rand.NewPCG(seed, 1)), arriving: rand.New(rand.NewPCG(seed, 1000)), results: make([]simResult, len(sc.kinds)), recent: map[string]map[Identity]int{}}
	specs := map[string][]SearcherSpec{}
	for i := range sc.shards {
		name := fmt.Sprintf("s%d", i)
		s.services = append(s.services, name)
		for k := range sc.replicas {
			id := identity(name, i, k)
			specs[name] = append(specs[name], SearcherSpec{Identity: id, Slots: sc.slots, Capacity: 8})
			s.searchers[id] = &simSearcher{sim: s, index: i*sc.replicas + k, domain: id.FailureDomain, phase: time.Duration(s.rng.Float64() * float64(sc.pauseEvery))}
		}
	}
	for i := range sc.kinds {
		k := &sc.kinds[i]
		s.routes = append(s.routes, &routeplan.Route{Name: k.name, Idempotent: true, MaxAttempts: 2, Timeout: k.deadline, Objective: k.objective, Gather: &routeplan.Gather{Services: s.services, TopK: 5, MinRatio: k.minRatio}})
		s.results[i].bySearcher = map[Identity]int{}
	}
	for h := range sc.hosts {
		host := &simHost{sim: s, domain: fmt.Sprintf("fd%d", h%sc.replicas), groups: map[string]*Group{}, est: newEstimator(), rng: rand.New(rand.NewPCG(seed, uint64(h)+2)), waiters: map[string][]func(){}}
		host.admission = make([]Admission, len(sc.kinds))
		for range sc.kinds {
			host.timings = append(host.timings, NewTiming())
		}
		for _, name := range s.services {
			g := NewGroup(name, BudgetLimits{Ratio: 0.2, Extra: 64, Window: 10 * time.Second})
			g.Budget().SetHosts(sc.hosts)
			g.Replace(start, specs[name])
			host.groups[name] = g
		}
		s.hosts = append(s.hosts, host)
	}
	for i := range sc.kinds {
		s.arrivals(i)
	}
	end := time.Duration(sc.seconds * float64(time.Second))
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > end+2*time.Second {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.results
}

// arrivals generates the requests of a kind until the end.
func (s *loadSim) arrivals(kind int) {
	rate := s.kinds[kind].rate
	if s.rate != nil {
		rate *= s.rate(s.now)
	}
	s.after(time.Duration(s.arriving.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.Seconds() > s.seconds {
			return
		}
		s.request(s.hosts[s.arriving.IntN(len(s.hosts))], kind)
		s.arrivals(kind)
	})
}

// warmUp is the least part of a simulation that does not count.
const warmUp = 2 * time.Second

// simRun is a request in progress. It implements Environment.
type simRun struct {
	host   *simHost
	kind   int
	body   int
	factor float64 // of the work
	cost   workload.Cost
	hedge  time.Duration
	run    *Run
	began  time.Duration
	done   bool
	counts bool
	ticks  int
}

func (s *loadSim) request(h *simHost, kind int) {
	k := s.kinds[kind]
	now := s.time()
	r := &simRun{host: h, kind: kind, began: s.now, counts: s.now >= max(s.countFrom, warmUp), factor: 1, body: k.body}
	if k.mixed > 0 && s.arriving.Float64() < k.mixed {
		r.factor, r.body = k.mixedFactor, 8<<10
	}
	if r.counts {
		s.results[kind].requests++
	}
	if s.rng.Float64() >= h.admission[kind].Share() {
		if r.counts {
			s.results[kind].shed++
		}
		return
	}
	for _, name := range s.services {
		h.groups[name].Budget().RecordRequest(now)
	}
	r.cost = h.est.cost(now, k, r.body)
	r.hedge = h.timings[kind].HedgeDelay(k.objective, h.groups[s.services[0]].Budget().LeftPerRequest(now), r.cost.Relation)
	r.run = NewRun(r, s.routes[kind], s.services, now, now.Add(k.deadline))
	r.handle(r.run.Start(now))
}

func (r *simRun) handle(effects []Effect) {
	s := r.host.sim
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			r.send(e.Attempt)
		case AwaitCapacity:
			r.host.waiters[e.Service] = append(r.host.waiters[e.Service], func() { r.handle(r.run.CapacityFreed(s.time(), e.SubRequest)) })
		case Finish:
			r.finish(e.Outcome)
		}
	}
	if r.done {
		return
	}
	r.ticks++
	tick := r.ticks
	s.at(max(r.run.Next(s.time()).Sub(start), s.now), func() {
		if !r.done && tick == r.ticks {
			r.handle(r.run.Tick(s.time()))
		}
	})
}

func (r *simRun) finish(o Outcome) {
	s := r.host.sim
	r.done = true
	res, k := &s.results[r.kind], &s.kinds[r.kind]
	took := s.now - r.began
	inTime := o.Err == nil && took <= k.objective
	if inTime {
		r.host.admission[r.kind].RecordInTime(s.time())
	} else {
		r.host.admission[r.kind].RecordLate(s.time())
	}
	if !r.counts {
		return
	}
	share := float64(len(s.services)-o.Missing) / float64(len(s.services))
	switch {
	case o.Err != nil:
		res.failed++
		res.took = append(res.took, k.deadline)
	case inTime:
		res.inTime++
		res.value += share * share
		res.took = append(res.took, took)
	default:
		res.value += 0.1 * share * share
		res.took = append(res.took, took)
	}
}

func (r *simRun) send(a *Attempt) {
	s, h := r.host.sim, r.host
	target := s.searchers[a.Searcher.Identity]
	way := 150 * time.Microsecond
	if target.domain != h.domain {
		way += s.farLatency
	}
	if r.counts {
		res := &s.results[r.kind]
		res.attempts++
		res.bySearcher[a.Searcher.Identity]++
		if a.Number > 0 {
			res.extra++
		}
		if target.domain != h.domain {
			res.far++
		}
	}
	// The work varies by a third around the kind's and has a heavy tail.
	work := time.Duration(float64(s.kinds[r.kind].work) * r.factor * (0.8 + 0.4*s.rng.Float64()))
	if s.rng.Float64() < s.heavyShare {
		work = time.Duration(float64(work) * s.heavyFactor)
	}
	s.after(way, func() {
		target.arrive(simJob{work, func(ok bool) {
			var report workload.Report
			if s.scenario.report != nil {
				report = s.scenario.report(target, s.now)
			}
			s.after(way, func() { r.ended(a, ok, report) })
		}})
	})
}

func (r *simRun) ended(a *Attempt, ok bool, report workload.Report) {
	s, h := r.host.sim, r.host
	now := s.time()
	result := Good
	if !ok {
		result = Rejected
	}
	g := h.groups[a.Service]
	net := h.est.ended(now, g, a, r.cost.Work, result)
	if report.Stated {
		h.est.report(now, g, a.Searcher, report)
	}
	if w := h.waiters[a.Service]; len(w) > 0 {
		h.waiters[a.Service] = w[1:]
		s.after(0, w[0])
	}
	if ok && !r.done {
		took := now.Sub(a.Began)
		h.timings[r.kind].Observe(took, len(s.services))
		h.est.observe(now, s.kinds[r.kind], r.cost, took, net, len(s.services))
	}
	if !r.done {
		r.handle(r.run.Ended(now, a, result))
	}
}

func (r *simRun) criteria() Criteria {
	return Criteria{FailureDomain: r.host.domain, MedianTime: r.cost.Work, Objective: r.host.sim.kinds[r.kind].objective}
}

func (r *simRun) Begin(now time.Time, service string, opts AttemptOptions) (*Searcher, bool) {
	return r.host.est.choose(now, r.host.groups[service], r.cost.Work, opts, r.criteria(), r.host.rng)
}

func (r *simRun) Expected(now time.Time, service string) (time.Duration, bool) {
	return r.host.est.expected(now, r.host.groups[service], r.cost.Work, r.criteria()), true
}

func (r *simRun) HedgeDelay() time.Duration { return r.hedge }
func (r *simRun) IntN(n int) int            { return r.host.rng.IntN(n) }
func (r *simRun) Resume(now time.Time, service string, opts AttemptOptions) time.Time {
	return r.host.groups[service].Resume(now, opts)
}

// presentEstimator estimates as package forwardrun does.
type presentEstimator struct{ costs *workload.Costs }

func newPresent() estimator { return &presentEstimator{workload.NewCosts()} }

func (e *presentEstimator) choose(now time.Time, g *Group, _ time.Duration, opts AttemptOptions, c Criteria, rng *rand.Rand) (*Searcher, bool) {
	return g.Begin(now, c, opts, rng)
}

func (e *presentEstimator) expected(now time.Time, g *Group, _ time.Duration, c Criteria) time.Duration {
	t, _ := g.Expected(now, c)
	return t
}

func (e *presentEstimator) ended(now time.Time, g *Group, a *Attempt, work time.Duration, r Result) time.Duration {
	return g.End(now, a.Began, a.Searcher, work, r).Net
}

func (e *presentEstimator) cost(now time.Time, k simKind, body int) workload.Cost {
	return e.costs.Estimate(now, workload.Features{Route: k.name, Body: body})
}

func (e *presentEstimator) observe(now time.Time, _ simKind, cost workload.Cost, _, net time.Duration, shards int) {
	cost.Kind.Observe(now, net, shards)
}

func (e *presentEstimator) report(now time.Time, g *Group, s *Searcher, r workload.Report) {
	g.Report(now, s, r)
}

// unevenPace returns a pace that is slow for 15 % of the periods of 600 ms.
func unevenPace(seed uint64) func(int, time.Duration) float64 {
	return func(searcher int, at time.Duration) float64 {
		period := uint64((at + time.Duration(searcher)*37*time.Millisecond) / (600 * time.Millisecond))
		x := rand.New(rand.NewPCG(seed^uint64(searcher)*0x9e3779b97f4a7c15, period)).Float64()
		if x < 0.15 {
			return 2.5
		}
		return 1
	}
}

func honestReport(s *simSearcher, _ time.Duration) workload.Report {
	return workload.Report{Stated: true, Running: s.running, Waiting: len(s.waiting), Slots: s.sim.slots, Pace: math.Round(100*s.pace()) / 100}
}
