package querybench

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// target models one target.
type target struct {
	name          string
	failureDomain string
	fault         Fault
	faultFrom     time.Duration
	slow          float64 // factor on service times, 1 if healthy
}

// searcher holds one shard. It serves sub-requests in the order of arrival.
type searcher struct {
	target  *target
	index   int
	shard   int
	slots   int
	running []*job
	waiting []*job
	inbound []*job // sent by a host and not arrived yet
	busy    time.Duration
	cache   *cache // nil unless the case models caching targets
}

// jobState is the progress of a sub-request at its searcher.
type jobState uint8

const (
	jobInbound jobState = iota
	jobWaiting
	jobRunning
	jobOver
)

// job is one sub-request.
type job struct {
	query    *activeQuery
	request  query.SubRequest
	searcher *searcher
	state    jobState
	service  time.Duration
	started  time.Duration
	ends     time.Duration
	sentAt   time.Duration

	cancelled bool // cancelled by its host
}

func replicaOf(s *searcher) query.Replica {
	return query.Replica{
		Target:        s.target.name,
		Searcher:      fmt.Sprintf("%d", s.index),
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(s.index+1)),
		FailureDomain: s.target.failureDomain,
		Slots:         s.slots,
	}
}

// serviceTime depends on the query, the shard and the searcher, and not on the
// policy, so that all policies meet the same stragglers and an omniscient
// chooser can know them beforehand.
func (b *bench) serviceTime(queryID int, s *searcher) time.Duration {
	base := lognormal(b.hash(queryID, s.shard, 1), b.hash(queryID, s.shard, 2))
	draw := unit(b.hash(queryID, s.index, 3))
	factor := 1.0
	if draw < b.c.Stragglers {
		factor = stragglerMin + (stragglerMax-stragglerMin)*unit(b.hash(queryID, s.index, 4))
	}
	factor *= s.target.slow * b.coldSlowdown(s.target)
	if s.cache != nil {
		factor *= s.cache.factor(b.terms(queryID))
	}
	return time.Duration(base * factor)
}

func lognormal(a, b uint64) float64 {
	normal := math.Sqrt(-2*math.Log(1-unit(a))) * math.Cos(2*math.Pi*unit(b))
	return float64(medianService) * math.Exp(serviceSigma*normal)
}

// meanService returns the mean service time with stragglers.
func meanService(stragglers float64) float64 {
	mean := float64(medianService) * math.Exp(serviceSigma*serviceSigma/2)
	return mean * (1 + stragglers*((stragglerMin+stragglerMax)/2-1))
}

// coldSlowdown returns the factor on the service times of a target that is
// warming up.
func (b *bench) coldSlowdown(t *target) float64 {
	age := b.now - t.faultFrom
	if t.fault != FaultCold || age < 0 || age >= coldTime {
		return 1
	}
	return 1 + (coldFactor-1)*(1-float64(age)/float64(coldTime))
}

// requestArrived is the arrival of a sub-request at its searcher.
type requestArrived struct{ job *job }

func (a requestArrived) execute(b *bench) {
	j := a.job
	s := j.searcher
	s.inbound = without(s.inbound, j)
	if j.state == jobOver {
		return
	}
	if refusal := b.refusal(s); refusal != nil {
		b.respond(j, query.Reply{Err: refusal})
		return
	}
	if len(s.running) < s.slots {
		b.serve(j)
		return
	}
	if len(s.waiting) >= targetQueue {
		b.respond(j, query.Reply{Err: verdict.New(verdict.NotRun, query.CodeShed, "queue is full")})
		return
	}
	j.state = jobWaiting
	s.waiting = append(s.waiting, j)
}

// refusal returns the error with which a searcher refuses a sub-request, or nil.
func (b *bench) refusal(s *searcher) error {
	t := s.target
	if b.now < t.faultFrom {
		return nil
	}
	switch t.fault {
	case FaultRefusing:
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connection refused")
	case FaultDraining:
		if b.now >= t.faultFrom+drainTime {
			b.result.afterDrain++
			return verdict.New(verdict.NotRun, query.CodeDraining, "draining")
		}
	}
	return nil
}

// serve runs a job in a free slot.
func (b *bench) serve(j *job) {
	s := j.searcher
	j.state = jobRunning
	j.started = b.now
	j.service = b.serviceTime(j.query.id, s)
	j.ends = b.now + j.service
	s.running = append(s.running, j)
	if s.target.fault == FaultSilent && b.now >= s.target.faultFrom {
		return
	}
	b.after(j.service, served{j})
}

// served is the end of the service of a job.
type served struct{ job *job }

func (e served) execute(b *bench) {
	j := e.job
	if j.state != jobRunning {
		return
	}
	b.release(j)
	if j.searcher.cache != nil {
		j.searcher.cache.add(b.terms(j.query.id))
	}
	j.query.answered[j.request.Shard] = true
	t := j.searcher.target
	draining := t.fault == FaultDraining && b.now >= t.faultFrom
	b.respond(j, query.Reply{
		IndexSnapshot: j.request.IndexSnapshot,
		Shard:         j.request.ShardName,
		Draining:      draining,
	})
}

// release frees the slot of a job and serves the next waiting jobs whose
// deadline has not passed.
func (b *bench) release(j *job) {
	s := j.searcher
	j.state = jobOver
	s.busy += b.now - j.started
	s.running = without(s.running, j)
	for len(s.waiting) > 0 && len(s.running) < s.slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if b.time().After(next.request.Deadline) {
			next.state = jobOver
			continue
		}
		b.serve(next)
	}
}

// cancelArrived is the arrival of a cancellation at its searcher.
type cancelArrived struct{ job *job }

func (e cancelArrived) execute(b *bench) {
	j := e.job
	switch j.state {
	case jobRunning:
		b.release(j)
	case jobWaiting:
		j.searcher.waiting = without(j.searcher.waiting, j)
	}
	j.state = jobOver
}

// respond sends a reply to the host.
func (b *bench) respond(j *job, rep query.Reply) {
	j.state = jobOver
	rep.Attempt = j.request.Attempt
	b.after(b.network(), replyArrived{j, rep})
}

// finishTime estimates when a searcher would finish a sub-request that is sent
// now, from its running, waiting and inbound jobs.
func (b *bench) finishTime(s *searcher, service time.Duration) time.Duration {
	var free [16]time.Duration
	slots := free[:s.slots]
	for i := range slots {
		slots[i] = b.now
	}
	for i, j := range s.running {
		slots[i] = j.ends
	}
	for _, list := range [2][]*job{s.waiting, s.inbound} {
		for _, j := range list {
			k := earliest(slots)
			slots[k] = max(slots[k], b.now) + b.serviceTime(j.query.id, s)
		}
	}
	return slots[earliest(slots)] + service
}

func earliest(slots []time.Duration) int {
	best := 0
	for i := range slots {
		if slots[i] < slots[best] {
			best = i
		}
	}
	return best
}

func without(jobs []*job, j *job) []*job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}
