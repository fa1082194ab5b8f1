package workload

import (
	"math"
	"time"
)

// Tracker holds what a host knows about the work at one searcher. The zero value is
// a searcher without observations. It is not safe for concurrent use.
//
// The wait for this host's unfinished attempts is estimated from their kinds. The pace
// covers the rest: how fast the searcher works, and how long its queue usually is.
type Tracker struct {
	open     Outstanding
	meanWork float64 // EWMA of the work of attempts begun, in seconds
	pace     float64 // geometric EWMA; 1 if attempts take as long as their kind does elsewhere
	paceTime time.Time
	report   reported
}

// Weights and limits of the estimates.
const (
	// paceGain is the weight of an attempt in the pace. The estimate is a geometric
	// mean because one pause or one large request says little about the next.
	paceGain = 0.2
	// PaceHalfLife is the time in which the pace loses half of its difference from the
	// baseline, so that a searcher that was slow is tried again.
	PaceHalfLife = 2 * time.Second
	// maxPace bounds the pace, so that one pause does not keep a searcher out of use
	// for longer than a few half-lives.
	maxPace = 12
	minPace = 0.1
	// meanWorkGain is the weight of an attempt in the mean work.
	meanWorkGain = 0.1
	// leastNetShare is the least share of a response time that counts as work, since
	// the estimated wait may exceed the true one.
	leastNetShare = 0.25
	// stallFactor is how many times the estimate an attempt may remain unanswered
	// before its searcher counts as stalled. In the simulations of slow and pausing
	// searchers, 2 gave more answers in time than 3; 1 % of the requests take five
	// times as long, so that a smaller factor would often be wrong.
	stallFactor = 2
)

// Estimate is what an attempt at a searcher is expected to take, and why.
type Estimate struct {
	Total time.Duration
	Work  time.Duration // of the request, at the searcher's pace
	Own   time.Duration // wait for this host's unfinished attempts
	Stall time.Duration // for how long an overdue attempt has been unanswered
	Pace  float64
	Trust float64 // weight of the searcher's report in Total, 0 to 1
}

// decayFactor returns 2 to the power of -(age/halfLife), with an error below 0.3 %: it
// is exact at integers and interpolates with a parabola.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(halfLife)
	if x >= 60 {
		return 0
	}
	n := int(x)
	f := x - float64(n)
	return (1 - f*(0.6565-0.1565*f)) / float64(uint64(1)<<n)
}

// InFlight returns the number of this host's unfinished attempts.
func (t *Tracker) InFlight() int { return t.open.Len() }

// LastResponse returns the time of the last response, or zero.
func (t *Tracker) LastResponse() time.Time { return t.paceTime }

// Expected returns how long an attempt of the given work at pace 1 is expected to take at
// a searcher with the given slots. baseline is the assumed pace of a searcher without
// observations.
func (t *Tracker) Expected(now time.Time, work time.Duration, slots int, baseline float64) time.Duration {
	w := workSeconds(work)
	p := t.PaceAt(now, baseline)
	total := p * w
	if t.open.Len() > 0 {
		total += t.ownWait(now, w, p, slots)
	}
	if !t.report.at.IsZero() {
		stated, weight := t.statedTime(now, w, total-p*w, p, slots)
		total += weight * (stated - total)
	}
	return seconds(total + t.stall(now))
}

// Explain returns the estimate of Expected with its parts.
func (t *Tracker) Explain(now time.Time, work time.Duration, slots int, baseline float64) Estimate {
	w := workSeconds(work)
	p := t.PaceAt(now, baseline)
	own := t.ownWait(now, w, p, slots)
	_, trust := t.statedTime(now, w, own, p, slots)
	return Estimate{
		Total: t.Expected(now, work, slots, baseline), Work: seconds(p * w), Own: seconds(own), Stall: seconds(t.stall(now)), Pace: p, Trust: trust,
	}
}

// Begin records the start of an attempt. It takes the arguments of Expected.
func (t *Tracker) Begin(now time.Time, work time.Duration, slots int, baseline float64) {
	w := workSeconds(work)
	p := t.PaceAt(now, baseline)
	a := openAttempt{began: now, id: work, work: w, wait: t.ownWait(now, w, p, slots)}
	a.alike = p * w * float64(t.open.Len()) / float64(max(slots, 1))
	a.observed = p*w + a.wait
	if stated, weight := t.statedTime(now, w, a.wait, p, slots); weight > 0 {
		a.stated = stated
	}
	if t.meanWork == 0 {
		t.meanWork = w
	}
	t.meanWork += meanWorkGain * (w - t.meanWork)
	t.open.open = append(t.open.open, a)
}

// Drop removes an attempt of the given work that began at the given time and says
// nothing about the searcher's speed.
func (t *Tracker) Drop(began time.Time, work time.Duration) { t.open.remove(began, work) }

// Observation is what the response time of an attempt says. It is zero if the attempt says
// nothing.
type Observation struct {
	// Net is the time that the attempt would have taken if this host's earlier attempts
	// had been of the same work. The cost of its kind is estimated from it.
	Net      time.Duration
	Took     time.Duration
	Expected time.Duration // when it began, without the searcher's reports; 0 if its work was not known
}

// Observe removes an attempt of the given work that began at the given time, and records
// its response time. An attempt of unknown work, 0, says nothing about the searcher.
//
// Only the effect of the other kinds is taken out. The rest of the wait stays in the
// pace: a searcher with a queue gets fewer requests, whoever filled the queue. Without
// that, hosts that prefer near searchers fill them up at a utilization of 0.6.
func (t *Tracker) Observe(now, began time.Time, work time.Duration, baseline float64) Observation {
	a, ok := t.open.remove(began, work)
	if !ok {
		return Observation{}
	}
	took := max(now.Sub(began).Seconds(), 1e-6)
	// What stands in for the wait for requests of the same kind comes from the estimate
	// itself, so that without a bound by the response time the two would raise each other.
	net := min(max(took-a.wait, leastNetShare*took)+a.alike, took)
	if work <= 0 {
		return Observation{Net: seconds(net), Took: now.Sub(began)}
	}
	t.recordTrust(now, &a, took)
	ratio := min(max(net/a.work, minPace), maxPace)
	t.pace, t.paceTime = math.Exp((1-paceGain)*math.Log(t.PaceAt(now, baseline))+paceGain*math.Log(ratio)), now
	return Observation{Net: seconds(net), Took: now.Sub(began), Expected: seconds(a.observed)}
}

// PaceAt returns how many times longer than elsewhere an attempt of any kind is expected
// to take. baseline is the pace without observations.
func (t *Tracker) PaceAt(now time.Time, baseline float64) float64 {
	if t.paceTime.IsZero() {
		return baseline
	}
	return baseline + (t.pace-baseline)*decayFactor(now.Sub(t.paceTime), PaceHalfLife)
}

// ownWait returns the wait of a request of the given work for this host's unfinished
// attempts, in seconds.
func (t *Tracker) ownWait(now time.Time, work, pace float64, slots int) float64 {
	if t.open.Len() == 0 {
		return 0
	}
	return t.open.ahead(now, work, pace) / float64(max(slots, 1))
}

// stall returns for how long the oldest attempt has been unanswered if that is far
// longer than estimated, and otherwise 0. Each attempt is compared with the estimate
// for its own kind: a searcher is not stalled because it works on an expensive one.
func (t *Tracker) stall(now time.Time) float64 {
	if t.open.Len() == 0 {
		return 0
	}
	if waited := now.Sub(t.open.open[0].began).Seconds(); waited > stallFactor*t.open.open[0].observed {
		return waited
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
