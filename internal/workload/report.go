package workload

import (
	"math"
	"time"
)

// Report is what a searcher states about its load in a reply. The zero value states
// nothing.
type Report struct {
	Stated  bool
	Running int // requests that it works on
	Waiting int // requests in its queue
	Slots   int // requests that it can work on at a time; 0 if not stated
	// Pace is the time that work takes now in relation to the usual time; 0 if not
	// stated.
	Pace float64
}

// reported is the last report of a searcher, and how well its reports have predicted
// its response times.
type reported struct {
	Report
	at      time.Time
	others  int        // requests of other hosts that it implies
	errors  [2]float64 // EWMA of the squared logarithmic error: of the observations, of the reports
	errTime time.Time
}

const (
	// reportHalfLife is the age at which a report counts half. Queues and the pace
	// change many times a second.
	reportHalfLife = 100 * time.Millisecond
	// reportMaxAge is the age from which a report does not count.
	reportMaxAge = 600 * time.Millisecond
	// trustGain is the weight of a response in the error of the predictions.
	trustGain = 0.15
	// trustHalfLife is the time in which a searcher that misreported regains half of
	// its trust, so that one that was repaired is believed again.
	trustHalfLife = 10 * time.Second
	// priorError is the squared error of predictions before any response.
	priorError = 0.25
	// maxError bounds the effect of one pause or one large request, and leastError that
	// of predictions that were right by chance.
	maxError   = 4.0
	leastError = 0.01
	// maxReported bounds the figures of a report. A greater one is a mistake.
	maxReported = 10_000
)

// Valid reports whether the figures of a report can be true.
func (r Report) Valid() bool {
	return r.Stated && r.Running >= 0 && r.Waiting >= 0 && r.Slots >= 0 && r.Running <= maxReported && r.Waiting <= maxReported &&
		r.Slots <= maxReported && r.Pace >= 0 && r.Pace <= 1000
}

// Report records what a searcher stated in a reply. It must be called after Observe,
// so that the attempt that was replied to is no longer in flight.
func (t *Tracker) Report(now time.Time, r Report) {
	if !r.Valid() {
		return
	}
	t.report.Report, t.report.at = r, now
	t.report.others = max(r.Running+r.Waiting-t.open.Len(), 0)
}

// LastReport returns the last report and its time, which is zero if there was none.
func (t *Tracker) LastReport() (Report, time.Time) { return t.report.Report, t.report.at }

// statedTime estimates an attempt by the searcher's last report, in seconds. weight is
// the share of the report in the estimate: less with its age, and with the error of
// earlier reports in relation to that of this host's own observations.
func (t *Tracker) statedTime(now time.Time, work, own, pace float64, slots int) (total, weight float64) {
	r := &t.report
	if r.at.IsZero() {
		return 0, 0
	}
	age := now.Sub(r.at)
	if age > reportMaxAge {
		return 0, 0
	}
	if r.Slots > 0 {
		slots = r.Slots
	}
	if r.Pace > 0 {
		pace, own = r.Pace, own*r.Pace/pace
	}
	total = pace*work + own
	// Requests of others delay this one once the slots are in use. Those of this host
	// count in own, with the requests that it does not see.
	if queue := r.others + t.open.Len() + 1 - slots; queue > 0 {
		total += pace * t.meanWork * float64(queue) / float64(max(slots, 1))
	}
	return total, decayFactor(age, reportHalfLife) * r.trust(now)
}

// trust returns the weight of fresh reports, 0 to 1: that of the two predictions of a
// response time by their errors (Bates and Granger, 1969).
func (r *reported) trust(now time.Time) float64 {
	observed, stated := r.errorsAt(now)
	return observed / (observed + stated)
}

// Contradicted reports whether the searcher's reports have hardly any weight because its
// responses contradict them.
func (t *Tracker) Contradicted(now time.Time) bool {
	return !t.report.at.IsZero() && t.report.trust(now) < contradictedTrust
}

// contradictedTrust is a fifth of the trust in reports that are as good as this host's own
// observations.
const contradictedTrust = 0.1

func (r *reported) errorsAt(now time.Time) (observed, stated float64) {
	if r.errTime.IsZero() {
		return priorError, priorError
	}
	f := decayFactor(now.Sub(r.errTime), trustHalfLife)
	return priorError + (r.errors[0]-priorError)*f, priorError + (r.errors[1]-priorError)*f
}

// recordTrust compares both predictions of an attempt with its response time.
func (t *Tracker) recordTrust(now time.Time, a *openAttempt, took float64) {
	if a.stated == 0 {
		return
	}
	r := &t.report
	observed, stated := r.errorsAt(now)
	r.errors[0] = observed + trustGain*(relativeError(a.observed, took)-observed)
	r.errors[1] = stated + trustGain*(relativeError(a.stated, took)-stated)
	r.errTime = now
}

// relativeError returns the squared logarithm of the relation of a response time to its
// prediction, so that a searcher that claims to be busy is distrusted as much as one that
// claims to be idle.
func relativeError(predicted, took float64) float64 {
	e := math.Log(took / predicted)
	return min(e*e, maxError) + leastError
}
