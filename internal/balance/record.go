package balance

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// decayed holds sums over outcomes that decay exponentially with age.
type decayed struct {
	at      instant // time to which the sums are decayed
	latency float64 // seconds
	timed   float64 // outcomes that count in latency
	work    float64 // their estimated work, in seconds
	total   float64 // all outcomes but Canceled
	failed  float64
	shed    float64
}

// factor returns the decay factor of the sums from d.at to now.
func (d *decayed) factor(now instant, halfLife time.Duration) float64 {
	if now <= d.at {
		return 1
	}
	return exp2Neg(float64(now-d.at) / float64(halfLife))
}

// exp2Neg returns 2 to the power of -x for x >= 0 with an error below 0.3 %. It
// is exact at integers and interpolates with a parabola. It takes a fraction of
// the time of math.Exp2, which dominated Pick.
func exp2Neg(x float64) float64 {
	if x >= 64 {
		return 0
	}
	n := int(x)
	f := x - float64(n)
	return (1 - f*(0.6565-0.1565*f)) / float64(uint64(1)<<n)
}

func (d *decayed) observe(now instant, halfLife time.Duration, out Outcome) {
	f := d.factor(now, halfLife)
	d.latency *= f
	d.timed *= f
	d.work *= f
	d.total *= f
	d.failed *= f
	d.shed *= f
	d.at = max(d.at, now)
	seconds := out.Latency.Seconds()
	switch out.Kind {
	case OK:
		d.addLatency(seconds, out.Cost)
		d.total++
	case Shed:
		d.total++
		d.shed++
	case Failed:
		// A fast failure must not make a searcher look fast.
		d.total++
		d.failed++
	case Timeout:
		d.addLatency(seconds, out.Cost)
		d.total++
		d.failed++
	case Canceled:
		// A lower bound below the mean carries no information.
		if seconds > d.pace()*workSeconds(out.Cost) {
			d.addLatency(seconds, out.Cost)
		}
	}
}

func (d *decayed) addLatency(seconds float64, cost workload.Cost) {
	d.latency += seconds
	d.work += workSeconds(cost)
	d.timed++
}

// pace returns the latency in relation to the estimated work, or 0 if none was observed.
func (d *decayed) pace() float64 {
	if d.timed == 0 {
		return 0
	}
	return d.latency / d.work
}

func workSeconds(c workload.Cost) float64 { return max(c.Work, time.Millisecond).Seconds() }

func (d *decayed) mean() float64 {
	if d.timed == 0 {
		return 0
	}
	return d.latency / d.timed
}

// health decides when a searcher or a target is ejected.
type health struct {
	consecutive  int     // failures since the last success
	ejections    int     // ejections since the last recovery
	until        instant // end of the last ejection
	lastDuration time.Duration
	probation    bool // no success since the last ejection
}

func (h *health) ejected(now instant) bool { return now < h.until }

func (h *health) succeeded(now instant) {
	h.consecutive = 0
	if h.ejected(now) {
		return
	}
	h.probation = false
	if h.ejections > 0 && now-h.until > instant(h.lastDuration) {
		h.ejections = 0
	}
}

// failed records a failure and reports whether it causes an ejection. The first
// failure after an ejection causes the next one, which lasts twice as long. If
// load is nil, only consecutive failures count.
func (h *health) failed(now instant, cfg *Config, load *decayed) bool {
	if h.ejected(now) {
		return false
	}
	h.consecutive++
	bad := h.consecutive >= cfg.ConsecutiveFailures || h.probation
	if load != nil && load.total >= cfg.ErrorSamples && load.failed >= cfg.ErrorRate*load.total {
		bad = true
	}
	if !bad {
		return false
	}
	h.lastDuration = cfg.EjectMax
	if h.ejections < 32 {
		h.lastDuration = min(cfg.EjectMax, cfg.EjectBase<<h.ejections)
	}
	h.until = now + instant(h.lastDuration)
	h.ejections++
	h.consecutive = 0
	h.probation = true
	if load != nil {
		load.failed = 0 // the next ejection by error rate needs new failures
	}
	return true
}

// Stats describes a searcher's record in a state dump.
type Stats struct {
	Key
	InFlight     int
	Limit        int
	Latency      time.Duration
	ErrorRate    float64
	ShedRate     float64
	EjectedUntil time.Time // of the searcher or its whole target; zero if neither is ejected
	Ejections    int
	Share        float64 // below 1 during a slow start
}

// Snapshot returns the records of all searchers, sorted by key.
func (s *State) Snapshot(now time.Time) []Stats {
	at := s.instant(now)
	out := make([]Stats, 0, len(s.records))
	for _, rec := range s.records {
		st := Stats{
			Key: rec.key, InFlight: rec.inFlight, Limit: rec.limit.Value(),
			Latency:   time.Duration(rec.load.mean() * float64(time.Second)),
			Ejections: rec.health.ejections, Share: s.share(at, rec, rec.cold),
		}
		if until := rec.ejectedUntil(); until > at {
			st.EjectedUntil = s.time(until)
			st.Ejections = max(rec.health.ejections, rec.target.health.ejections)
		}
		if rec.load.total > 0 {
			st.ErrorRate = rec.load.failed / rec.load.total
			st.ShedRate = rec.load.shed / rec.load.total
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b Stats) int {
		if c := strings.Compare(a.Target, b.Target); c != 0 {
			return c
		}
		return strings.Compare(a.Searcher, b.Searcher)
	})
	return out
}
