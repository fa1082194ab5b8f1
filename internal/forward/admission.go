package forward

import "time"

// Admission decides which share of a gathered route's requests is taken when
// the searchers can't answer all of them in time.
//
// It answers shards that lost searchers to crashes, or whose searchers are slow,
// at a load that they can no longer carry: with every request taken, all wait in
// the searchers' queues and all answers are late. The share falls with each late
// answer and rises with each one in time, so that the searchers work near what
// they can, and the others are told at once when to come back.
type Admission struct {
	share     float64 // of requests that are taken, 0 if nothing is known yet
	late      float64 // recent share of answers that were late
	raisedAt  time.Time
	loweredAt time.Time
}

// Steps of the share.
const (
	admissionRise = 0.015 // added by an answer in time
	admissionFall = 0.85  // factor of a late answer
	// leastShare is taken in any case. Some late answers have another cause than
	// the load, such as a shard whose only searcher is slow, and fewer requests
	// would not bring them in time.
	leastShare = 0.5
	// toleratedLate is the share of late answers that has other causes than the
	// load: searchers that pause, and searchers that are slow by themselves. With
	// ninety shards many queries meet one, and refusing others does not help.
	toleratedLate = 0.3
	lateGain      = 0.1
	// stepInterval is the time between two steps in the same direction, since
	// requests that are in progress together end alike.
	stepInterval = 60 * time.Millisecond
)

// Share returns the share of requests that is taken.
func (a *Admission) Share() float64 {
	if a.share == 0 {
		return 1
	}
	return a.share
}

// InTime notes an answer within the objective.
func (a *Admission) InTime(now time.Time) {
	a.late -= lateGain * a.late
	if now.Sub(a.raisedAt) < stepInterval {
		return
	}
	a.raisedAt = now
	a.share = min(a.Share()+admissionRise, 1)
}

// Late notes a request that was not answered within the objective.
func (a *Admission) Late(now time.Time) {
	a.late += lateGain * (1 - a.late)
	if a.late < toleratedLate || now.Sub(a.loweredAt) < stepInterval {
		return
	}
	a.loweredAt = now
	a.share = max(a.Share()*admissionFall, leastShare)
}
