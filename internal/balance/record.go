package balance

import (
	"slices"
	"strings"
	"time"
)

// decayed holds sums over outcomes, each weighted by how long ago it was.
type decayed struct {
	at      instant // to which the sums are decayed
	latency float64 // seconds
	timed   float64 // outcomes that carry a latency
	total   float64 // outcomes that tell success from failure
	failed  float64
	shed    float64
}

// factor returns the weight at now of what was observed at d.at.
func (d *decayed) factor(now instant, halfLife time.Duration) float64 {
	if now <= d.at {
		return 1
	}
	return halved(float64(now-d.at) / float64(halfLife))
}

// halved returns 2 to the power of -x for x >= 0, with an error below 0.3 %:
// exact at whole x, a parabola between. It takes a fraction of the time of
// math.Exp2, which dominated Pick.
func halved(x float64) float64 {
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
	d.total *= f
	d.failed *= f
	d.shed *= f
	d.at = max(d.at, now)
	seconds := out.Latency.Seconds()
	switch out.Kind {
	case OK:
		d.addLatency(seconds)
		d.total++
	case Shed:
		d.total++
		d.shed++
	case Failed:
		// A fast failure must not make a searcher look fast.
		d.total++
		d.failed++
	case Timeout:
		d.addLatency(seconds)
		d.total++
		d.failed++
	case Canceled:
		// The lower bound only says something if it is above the estimate.
		if seconds > d.mean() {
			d.addLatency(seconds)
		}
	}
}

func (d *decayed) addLatency(seconds float64) {
	d.latency += seconds
	d.timed++
}

func (d *decayed) mean() float64 {
	if d.timed == 0 {
		return 0
	}
	return d.latency / d.timed
}

// health decides on ejection.
type health struct {
	consecutive int     // failures since the last success
	ejections   int     // without a lasting recovery between them
	until       instant // end of the last ejection
	lasted      time.Duration
	probation   bool // no success since the last ejection
}

func (h *health) ejected(now instant) bool { return now < h.until }

func (h *health) succeeded(now instant) {
	h.consecutive = 0
	if h.ejected(now) {
		return
	}
	h.probation = false
	if h.ejections > 0 && now-h.until > instant(h.lasted) {
		h.ejections = 0
	}
}

// failed reports whether the failure ejects. After an ejection the first
// failure ejects again, for twice as long. Without load only consecutive
// failures count.
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
	h.lasted = cfg.EjectMax
	if h.ejections < 32 {
		h.lasted = min(cfg.EjectMax, cfg.EjectBase<<h.ejections)
	}
	h.until = now + instant(h.lasted)
	h.ejections++
	h.consecutive = 0
	h.probation = true
	if load != nil {
		load.failed = 0 // judged; the next decision needs new evidence
	}
	return true
}

// Stats is the part of a searcher's record that a state dump shows.
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

// Snapshot returns what is known of every searcher, in order of the keys.
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
