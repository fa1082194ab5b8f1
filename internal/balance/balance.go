// Package balance chooses the replica of a shard that a sub-request goes to,
// and bounds how many sub-requests a searcher gets at once. It judges
// searchers by what this host has itself observed; what targets report about
// their health and load only matters as long as nothing has been observed.
package balance

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/concurrency"
)

// Key names a searcher of a target.
type Key struct {
	Target   string
	Searcher string
}

// Hint is what a target reports about itself.
type Hint struct {
	Unhealthy bool
	Load      float64 // 0 idle, 1 full
}

// Replica is a searcher that holds the wanted shard.
type Replica struct {
	Key
	FailureDomain string
	Slots         int
	Cold          bool // the target announced itself as cold
	Hint          Hint
}

// Kind says how a sub-request ended.
type Kind uint8

// Kinds of outcomes.
const (
	OK       Kind = iota
	Shed          // the target refused because it has too much work
	Failed        // the target or the connection to it failed
	Timeout       // no answer in time
	Canceled      // given up by this host, for example because a hedge answered first
)

// Outcome is the end of a sub-request. Latency is the time since Begin; for
// Timeout and Canceled it is a lower bound of the latency.
type Outcome struct {
	Kind    Kind
	Latency time.Duration
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
	HalfLife            time.Duration // of the weight of latencies and errors
	ConsecutiveFailures int           // that eject a searcher, or a target across its searchers
	ErrorRate           float64       // that ejects a searcher
	ErrorSamples        float64       // decayed number of outcomes needed to judge the error rate
	EjectBase           time.Duration // first ejection; each further one lasts twice as long
	EjectMax            time.Duration
	SlowStart           time.Duration // until a cold searcher gets its full share
	SlowStartShare      float64       // share of a cold searcher at first
	RecordTTL           time.Duration // after which an unused record is removed
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

// State holds the records of all searchers that this host sent work to. It is
// not safe for concurrent use.
type State struct {
	cfg     Config
	start   time.Time // of the instants
	records map[Key]*record
	targets map[string]*target
	scratch []choice // reused by Pick
}

// instant is a time in nanoseconds since State.start. It is cheaper to compare
// than time.Time in the path of every sub-request. The zero value is before
// all times.
type instant int64

func (s *State) instant(now time.Time) instant {
	if s.start.IsZero() {
		s.start = now.Add(-1)
	}
	return instant(now.Sub(s.start))
}

func (s *State) time(t instant) time.Time { return s.start.Add(time.Duration(t)) }

// target is the record of a whole target.
type target struct {
	inFlight  int
	searchers int
	health    health
}

// record is what this host observed of one searcher.
type record struct {
	key       Key
	target    *target
	inFlight  int
	slots     int
	cold      bool
	warmSince instant // start of the slow start; zero if there was none
	lastUse   instant
	load      decayed
	health    health
	limit     concurrency.Limit
}

// New returns a state without records.
func New(cfg Config) *State {
	return &State{cfg: cfg.withDefaults(), records: map[Key]*record{}, targets: map[string]*target{}}
}

// SetHosts changes how many hosts share each searcher's slots. It affects the
// first limit of searchers seen later.
func (s *State) SetHosts(n int) { s.cfg.Hosts = max(n, 1) }

// Begin counts a sub-request that is about to be sent, whatever the limit.
func (s *State) Begin(now time.Time, r Replica) {
	at := s.instant(now)
	rec := s.records[r.Key]
	if rec == nil {
		rec = s.add(at, r)
	}
	s.refresh(at, rec, r)
	rec.inFlight++
	rec.target.inFlight++
	rec.lastUse = at
}

// TryBegin counts a sub-request unless the searcher's limit is reached.
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
		rec.warmSince = now
	}
	s.records[r.Key] = rec
	return rec
}

// firstLimit is this host's equal part of the slots, rounded up.
func (s *State) firstLimit(slots int) int {
	return max(1, (slots+s.cfg.Hosts-1)/s.cfg.Hosts)
}

// refresh takes over changes of what the target announces. A target that
// becomes cold has restarted, so its slow start begins anew.
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
		rec.warmSince = now
	}
}

// EndResult tells what an outcome changed.
type EndResult struct {
	Ejected  Ejection // what was ejected, if anything
	Until    time.Time
	Ejection int // consecutive ejections so far, including this one
}

// Ejection says whether an outcome led to an ejection.
type Ejection uint8

// Kinds of ejection.
const (
	NotEjected Ejection = iota
	SearcherEjected
	TargetEjected
)

// End counts the outcome of a sub-request for which Begin was called. It does
// nothing if the record has been removed since.
func (s *State) End(now time.Time, k Key, out Outcome) EndResult {
	rec := s.records[k]
	if rec == nil || rec.inFlight == 0 {
		return EndResult{}
	}
	at := s.instant(now)
	inFlight := rec.inFlight
	rec.inFlight--
	rec.target.inFlight--
	rec.lastUse = at
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

// Latency returns the expected latency of a searcher, or 0 if nothing is
// known.
func (s *State) Latency(k Key) time.Duration {
	rec := s.records[k]
	if rec == nil {
		return 0
	}
	return time.Duration(rec.load.mean() * float64(time.Second))
}

// Free returns how many sub-requests the searcher's limit still admits. An
// unknown searcher admits one.
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

// Forget removes what is known of a target, for example because it vanished
// or restarted.
func (s *State) Forget(name string) {
	s.removeIf(func(rec *record) bool { return rec.key.Target == name })
}

// Retain removes the records of all searchers that keep doesn't want.
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
	clear(s.scratch[:cap(s.scratch)]) // it may point to removed records
}
