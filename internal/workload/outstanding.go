package workload

import "time"

// Outstanding holds a host's unfinished attempts at a searcher. The zero value is empty. It
// is not safe for concurrent use.
type Outstanding struct {
	open []openAttempt // in the order of their start
}

// openAttempt is an attempt in flight, with the estimates when it began, in seconds.
type openAttempt struct {
	began    time.Time
	id       time.Duration // the work as it was stated; tells attempts with one start apart
	work     float64       // at pace 1
	wait     float64       // for this host's earlier attempts
	alike    float64       // that wait if those had been of the same work
	observed float64       // whole time, without the searcher's reports
	stated   float64       // whole time by the searcher's report; 0 if there was none
}

// minWork is the least work that is distinguished, in seconds.
const minWork = 1e-3

func workSeconds(work time.Duration) float64 { return max(work.Seconds(), minWork) }

// Len returns the number of unfinished attempts.
func (o *Outstanding) Len() int { return len(o.open) }

// Add records an attempt of the given work at pace 1 that begins now.
func (o *Outstanding) Add(now time.Time, work time.Duration) {
	o.open = append(o.open, openAttempt{began: now, id: work, work: workSeconds(work)})
}

// RemoveOldest removes the oldest attempt of the given work, if there is one.
func (o *Outstanding) RemoveOldest(work time.Duration) {
	for i := range o.open {
		if o.open[i].id == work {
			o.open = append(o.open[:i], o.open[i+1:]...)
			return
		}
	}
}

// remove removes the attempt of the given work that began at the given time.
func (o *Outstanding) remove(began time.Time, work time.Duration) (openAttempt, bool) {
	for i := range o.open {
		if o.open[i].id == work && o.open[i].began.Equal(began) {
			a := o.open[i]
			o.open = append(o.open[:i], o.open[i+1:]...)
			return a, true
		}
	}
	return openAttempt{}, false
}

// Ahead returns the work that a new request of the given work finds at the searcher, in
// seconds at the given pace. Each unfinished attempt counts with what it has left, and at
// least with as much as a request of its own work that has just begun: with one kind of
// requests, the result is their number times their work. That also makes up for other
// hosts' requests, which this host does not see.
func (o *Outstanding) Ahead(now time.Time, work time.Duration, pace float64) float64 {
	return o.ahead(now, workSeconds(work), pace)
}

func (o *Outstanding) ahead(now time.Time, work, pace float64) float64 {
	sum := 0.0
	for i := range o.open {
		a := &o.open[i]
		served := max(now.Sub(a.began).Seconds()-a.wait, 0)
		sum += max(pace*a.work-served, pace*min(a.work, work))
	}
	return sum
}
