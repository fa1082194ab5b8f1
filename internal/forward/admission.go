package forward

import "time"

// Admission adapts the share of a gathered route's requests that is admitted to
// what the searchers can answer in time.
//
// It sheds load when shards have lost searchers to crashes or when searchers
// are slow. If every request were admitted, all would wait in the searchers'
// queues and every answer would be late. Late answers lower the share and
// answers in time raise it, which keeps the searchers near their capacity.
// Requests that are not admitted are rejected at once with a retry hint.
type Admission struct {
	share     float64 // of requests that are admitted; 0 before the first step
	lateShare float64 // EWMA of late answers
	raisedAt  time.Time
	loweredAt time.Time
}

// Steps and limits of the admitted share.
const (
	admissionIncrease = 0.015 // added to the share by an answer in time
	admissionDecrease = 0.85  // multiplies the share on a late answer
	// minShare is admitted in any case. Some answers are late for other reasons
	// than load, such as a shard whose only searcher is slow, and fewer
	// requests would not speed them up.
	minShare = 0.5
	// toleratedLateShare is the share of late answers that is attributed to
	// other causes than load: searchers that pause or are slow at any load.
	// With ninety shards many queries meet one, and rejecting other queries
	// does not help.
	toleratedLateShare = 0.3
	lateGain           = 0.1 // weight of an answer in the EWMA
	// stepInterval is the minimum time between two steps in the same direction,
	// since requests that are in flight together tend to end the same way.
	stepInterval = 60 * time.Millisecond
)

// Share returns the share of requests that is admitted.
func (a *Admission) Share() float64 {
	if a.share == 0 {
		return 1
	}
	return a.share
}

// RecordInTime records an answer within the objective.
func (a *Admission) RecordInTime(now time.Time) {
	a.lateShare -= lateGain * a.lateShare
	if now.Sub(a.raisedAt) < stepInterval {
		return
	}
	a.raisedAt = now
	a.share = min(a.Share()+admissionIncrease, 1)
}

// RecordLate records a request that was not answered within the objective.
func (a *Admission) RecordLate(now time.Time) {
	a.lateShare += lateGain * (1 - a.lateShare)
	if a.lateShare < toleratedLateShare || now.Sub(a.loweredAt) < stepInterval {
		return
	}
	a.loweredAt = now
	a.share = max(a.Share()*admissionDecrease, minShare)
}
