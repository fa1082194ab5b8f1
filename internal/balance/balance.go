// Package balance chooses the replica of a shard that a sub-request goes to,
// and limits the concurrent sub-requests to each searcher. It rates searchers
// by the outcomes that this host has observed. The health and load that targets
// report count only while there are no recent outcomes.
package balance

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/concurrency"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Key identifies a searcher of a target.
type Key struct {
	Target   string
	Searcher string
}

// Hint is the health and load that a target reports.
type Hint struct {
	Unhealthy bool
	Load      float64 // 0 idle, 1 full
}

// Replica is a searcher that holds the requested shard.
type Replica struct {
	Key
	FailureDomain string
	Slots         int
	Cold          bool // the target announced itself as cold
	Hint          Hint
	// Cost is that of the sub-request. The zero value is the same cost for all.
	Cost workload.Cost
}

// Kind says how a sub-request ended.
type Kind uint8

// Kinds of outcome.
const (
	OK       Kind = iota
	Shed          // the target refused the sub-request because of overload
	Failed        // the target or the connection to it failed
	Timeout       // no answer in time
	Canceled      // canceled by this host, for example because a hedge answered first
)

// Outcome describes how a sub-request ended. Latency is the time since Begin;
// for Timeout and Canceled it is a lower bound of the latency.
type Outcome struct {
	Kind    Kind
	Latency time.Duration
	Cost    workload.Cost // as at Begin
}

// Defaults of Config.
const (
	DefaultHalfLife            = 2 * time.Second
	DefaultConsecutiveFailures = 5
	DefaultErrorRate           = 0.5
	DefaultErrorSamples        = 10
	DefaultEjectBase           = time.Second
	DefaultEjectMax            = time.Minute
	DefaultMaxEjectedPercent   = 50
	DefaultSlowStart           = 10 * time.Second
	DefaultSlowStartShare      = 0.1
	DefaultRecordTTL           = 10 * time.Minute
)

// Config holds the settings. Zero fields take the defaults.
type Config struct {
	Hosts               int           // hosts that share each searcher's slots
	HalfLife            time.Duration // after which an observation counts half
	ConsecutiveFailures int           // of a searcher, or across all searchers of a target, that cause ejection
	ErrorRate           float64       // of a searcher that causes ejection
	ErrorSamples        float64       // minimum decayed number of outcomes for ejection by error rate
	EjectBase           time.Duration // duration of the first ejection; doubles with each further one
	EjectMax            time.Duration
	SlowStart           time.Duration // time until a cold searcher gets its full share
	SlowStartShare      float64       // initial share of a cold searcher
	RecordTTL           time.Duration // time after which an unused record is removed
}

func (c Config) withDefaults() Config {
	setDefault(&c.Hosts, 1)
	setDefault(&c.HalfLife, DefaultHalfLife)
	setDefault(&c.ConsecutiveFailures, DefaultConsecutiveFailures)
	setDefault(&c.ErrorRate, DefaultErrorRate)
	setDefault(&c.ErrorSamples, DefaultErrorSamples)
	setDefault(&c.EjectBase, DefaultEjectBase)
	setDefault(&c.EjectMax, DefaultEjectMax)
	setDefault(&c.SlowStart, DefaultSlowStart)
	setDefault(&c.SlowStartShare, DefaultSlowStartShare)
	setDefault(&c.RecordTTL, DefaultRecordTTL)
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// State holds the records of all searchers to which this host has sent
// sub-requests. It is not safe for concurrent use.
type State struct {
	cfg     Config
	costs   *workload.Costs
	start   time.Time // instants count from here
	records map[Key]*record
	targets map[string]*target
	scratch []choice // reused by Pick
}

// instant is a time in nanoseconds since State.start. Every sub-request
// compares times, and instants are cheaper to compare than time.Time. The zero
// value is before all observed times.
type instant int64

func (s *State) instant(now time.Time) instant {
	if s.start.IsZero() {
		s.start = now.Add(-1)
	}
	return instant(now.Sub(s.start))
}

func (s *State) time(t instant) time.Time { return s.start.Add(time.Duration(t)) }

// target is the record of all searchers of a target together.
type target struct {
	inFlight  int
	searchers int
	health    health
}

// record holds what this host has observed of a searcher.
type record struct {
	key         Key
	target      *target
	inFlight    int
	open        workload.Outstanding
	slots       int
	cold        bool
	slowStartAt instant // when the slow start of a cold target began; zero if there was none
	lastUse     instant
	load        decayed
	health      health
	limit       concurrency.Limit
}

// New returns a state without records.
func New(cfg Config) *State {
	return &State{cfg: cfg.withDefaults(), costs: workload.NewCosts(), records: map[Key]*record{}, targets: map[string]*target{}}
}

// SetHosts changes how many hosts share each searcher's slots. It affects the
// first limit of searchers seen later.
func (s *State) SetHosts(n int) { s.cfg.Hosts = max(n, 1) }

// Estimate returns the cost of a sub-request, for Replica.Cost.
func (s *State) Estimate(now time.Time, f workload.Features) workload.Cost {
	cost := s.costs.Estimate(now, f)
	if cost.Work <= 0 {
		cost.Work = unknownWork
	}
	return cost
}

const (
	// unknownWork is assumed before the first response.
	unknownWork = 10 * time.Millisecond
	// typicalShards is the number of sub-requests of a query that are assumed to be slow
	// together. The groups of the present deployments have 20 to 30 shards.
	typicalShards = 20
)

// Begin counts a sub-request that is about to be sent, even above the limit.
func (s *State) Begin(now time.Time, r Replica) {
	at := s.instant(now)
	rec := s.records[r.Key]
	if rec == nil {
		rec = s.add(at, r)
	}
	s.refresh(at, rec, r)
	rec.inFlight++
	rec.open.Add(now, r.Cost.Work)
	rec.target.inFlight++
	rec.lastUse = at
}

// TryBegin calls Begin and returns true, unless the searcher's limit is
// reached.
func (s *State) TryBegin(now time.Time, r Replica) bool {
	if rec := s.records[r.Key]; rec != nil && rec.inFlight >= rec.limit.Value() {
		return false
	}
	s.Begin(now, r)
	return true
}

func (s *State) add(now instant, r Replica) *record {
	t := s.targets[r.Target]
	if t == nil {
		t = &target{}
		s.targets[r.Target] = t
	}
	t.searchers++
	rec := &record{key: r.Key, target: t, slots: r.Slots, cold: r.Cold}
	rec.limit = concurrency.NewLimit(s.firstLimit(r.Slots), 1, r.Slots)
	if r.Cold {
		rec.slowStartAt = now
	}
	s.records[r.Key] = rec
	return rec
}

// firstLimit returns this host's equal part of the slots, rounded up.
func (s *State) firstLimit(slots int) int {
	return max(1, (slots+s.cfg.Hosts-1)/s.cfg.Hosts)
}

// refresh applies changes that the target has announced. A target that becomes
// cold has restarted, so its slow start begins again.
func (s *State) refresh(now instant, rec *record, r Replica) {
	if rec.slots != r.Slots {
		rec.slots = r.Slots
		rec.limit.SetBounds(1, r.Slots)
	}
	if rec.cold == r.Cold {
		return
	}
	rec.cold = r.Cold
	if r.Cold {
		rec.slowStartAt = now
	}
}

// EndResult reports the ejection that an outcome caused, if any.
type EndResult struct {
	Ejected  Ejection
	Until    time.Time
	Ejection int // consecutive ejections so far, including this one
}

// Ejection says what was ejected.
type Ejection uint8

// Kinds of ejection.
const (
	NotEjected Ejection = iota
	SearcherEjected
	TargetEjected
)

// End records the outcome of a sub-request that Begin counted. It does nothing
// if the record has been removed since.
func (s *State) End(now time.Time, k Key, out Outcome) EndResult {
	rec := s.records[k]
	if rec == nil || rec.inFlight == 0 {
		return EndResult{}
	}
	at := s.instant(now)
	inFlight := rec.inFlight
	rec.inFlight--
	rec.open.RemoveOldest(out.Cost.Work)
	rec.target.inFlight--
	rec.lastUse = at
	if out.Kind == OK && out.Cost.Kind != nil {
		out.Cost.Kind.Observe(now, out.Latency, typicalShards)
	}
	rec.load.observe(at, s.cfg.HalfLife, out)
	switch out.Kind {
	case OK:
		rec.limit.Succeeded(out.Latency, inFlight)
		rec.health.succeeded(at)
		rec.target.health.succeeded(at)
	case Shed:
		rec.limit.Overloaded(now)
	case Timeout:
		rec.limit.Overloaded(now)
		return s.failed(at, rec)
	case Failed:
		return s.failed(at, rec)
	}
	return EndResult{}
}

func (s *State) failed(now instant, rec *record) EndResult {
	t := rec.target
	if t.searchers > 1 && t.health.failed(now, &s.cfg, nil) {
		return EndResult{Ejected: TargetEjected, Until: s.time(t.health.until), Ejection: t.health.ejections}
	}
	if rec.health.failed(now, &s.cfg, &rec.load) {
		return EndResult{Ejected: SearcherEjected, Until: s.time(rec.health.until), Ejection: rec.health.ejections}
	}
	return EndResult{}
}

// Latency returns the decayed mean latency of a searcher, or 0 if none has been
// observed.
func (s *State) Latency(k Key) time.Duration {
	rec := s.records[k]
	if rec == nil {
		return 0
	}
	return time.Duration(rec.load.mean() * float64(time.Second))
}

// Free returns how many more sub-requests the searcher's limit allows. It
// returns 1 for an unknown searcher.
func (s *State) Free(k Key) int {
	rec := s.records[k]
	if rec == nil {
		return 1
	}
	return max(0, rec.limit.Value()-rec.inFlight)
}

// Ejected reports whether a searcher or its target is ejected.
func (s *State) Ejected(now time.Time, k Key) bool {
	rec := s.records[k]
	return rec != nil && s.instant(now) < rec.ejectedUntil()
}

// Forget removes the records of a target, for example because it was removed or
// restarted.
func (s *State) Forget(name string) {
	s.removeIf(func(rec *record) bool { return rec.key.Target == name })
}

// Retain removes the records of all searchers for which keep returns false.
func (s *State) Retain(keep func(Key) bool) {
	s.removeIf(func(rec *record) bool { return !keep(rec.key) })
}

// Sweep removes records that have been unused for longer than the record TTL.
func (s *State) Sweep(now time.Time) {
	oldest := s.instant(now) - instant(s.cfg.RecordTTL)
	s.removeIf(func(rec *record) bool { return rec.inFlight == 0 && rec.lastUse < oldest })
}

func (s *State) removeIf(unwanted func(*record) bool) {
	for k, rec := range s.records {
		if !unwanted(rec) {
			continue
		}
		delete(s.records, k)
		rec.target.inFlight -= rec.inFlight
		rec.target.searchers--
		if rec.target.searchers == 0 {
			delete(s.targets, k.Target)
		}
	}
	clear(s.scratch[:cap(s.scratch)]) // drops pointers to removed records
}
