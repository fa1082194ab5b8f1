package querybench

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// instance is one target.
type instance struct {
	name      string
	zone      string
	faulty    Fault
	faultFrom time.Duration
	slow      float64 // factor on service times, 1 if healthy
}

// searcher holds one shard. It serves sub-requests in the order of arrival.
type searcher struct {
	instance *instance
	index    int
	shard    int
	slots    int
	running  []*job
	waiting  []*job
	inbound  []*job // sent by a host and not arrived yet
	busy     time.Duration
	cache    *cache // nil unless the case models caching targets
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
	active  *active
	request query.SubRequest
	at      *searcher
	state   jobState
	service time.Duration
	started time.Duration
	ends    time.Duration
	sentAt  time.Duration

	abandoned bool // cancelled by its host
}

func replicaOf(s *searcher) query.Replica {
	return query.Replica{
		Target:        s.instance.name,
		Searcher:      fmt.Sprintf("%d", s.index),
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(s.index+1)),
		FailureDomain: s.instance.zone,
		Slots:         s.slots,
	}
}

// serviceTime is a function of the query, the shard and the searcher, so
// that all policies meet the same stragglers and an omniscient chooser can
// know them beforehand.
func (b *bench) serviceTime(queryID int, s *searcher) time.Duration {
	base := lognormal(b.hash(queryID, s.shard, 1), b.hash(queryID, s.shard, 2))
	draw := unit(b.hash(queryID, s.index, 3))
	factor := 1.0
	if draw < b.c.Stragglers {
		factor = stragglerMin + (stragglerMax-stragglerMin)*unit(b.hash(queryID, s.index, 4))
	}
	factor *= s.instance.slow * b.coldness(s.instance)
	if s.cache != nil {
		factor *= s.cache.factor(b.terms(queryID))
	}
	return time.Duration(base * factor)
}

func lognormal(a, b uint64) float64 {
	normal := math.Sqrt(-2*math.Log(1-unit(a))) * math.Cos(2*math.Pi*unit(b))
	return float64(medianService) * math.Exp(serviceSigma*normal)
}

// meanService is the mean service time with stragglers.
func meanService(stragglers float64) float64 {
	mean := float64(medianService) * math.Exp(serviceSigma*serviceSigma/2)
	return mean * (1 + stragglers*((stragglerMin+stragglerMax)/2-1))
}

// coldness is the factor on the service times of an instance that warms up.
func (b *bench) coldness(in *instance) float64 {
	age := b.now - in.faultFrom
	if in.faulty != FaultCold || age < 0 || age >= coldTime {
		return 1
	}
	return 1 + (coldFactor-1)*(1-float64(age)/float64(coldTime))
}

// arrive is a sub-request reaching its searcher.
type arrive struct{ job *job }

func (a arrive) happen(b *bench) {
	j := a.job
	s := j.at
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

// refusal returns the error with which a searcher refuses new work.
func (b *bench) refusal(s *searcher) error {
	in := s.instance
	if b.now < in.faultFrom {
		return nil
	}
	switch in.faulty {
	case FaultRefusing:
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connection refused")
	case FaultDraining:
		if b.now >= in.faultFrom+drainTime {
			b.result.afterDrain++
			return verdict.New(verdict.NotRun, query.CodeDraining, "draining")
		}
	}
	return nil
}

// serve occupies a slot.
func (b *bench) serve(j *job) {
	s := j.at
	j.state = jobRunning
	j.started = b.now
	j.service = b.serviceTime(j.active.id, s)
	j.ends = b.now + j.service
	s.running = append(s.running, j)
	if s.instance.faulty == FaultSilent && b.now >= s.instance.faultFrom {
		return
	}
	b.after(j.service, served{j})
}

// served is the end of a sub-request's service.
type served struct{ job *job }

func (e served) happen(b *bench) {
	j := e.job
	if j.state != jobRunning {
		return
	}
	b.release(j)
	if j.at.cache != nil {
		j.at.cache.add(b.terms(j.active.id))
	}
	j.active.reallyAnswered[j.request.Shard] = true
	in := j.at.instance
	draining := in.faulty == FaultDraining && b.now >= in.faultFrom
	b.respond(j, query.Reply{
		IndexSnapshot: j.request.IndexSnapshot,
		Shard:         j.request.ShardName,
		Draining:      draining,
	})
}

// release frees the slot of a job and serves the next ones that can still
// answer in time.
func (b *bench) release(j *job) {
	s := j.at
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

// cancelled is a cancellation reaching the searcher.
type cancelled struct{ job *job }

func (e cancelled) happen(b *bench) {
	j := e.job
	switch j.state {
	case jobRunning:
		b.release(j)
	case jobWaiting:
		j.at.waiting = without(j.at.waiting, j)
	}
	j.state = jobOver
}

// respond sends a reply to the host.
func (b *bench) respond(j *job, rep query.Reply) {
	j.state = jobOver
	rep.Attempt = j.request.Attempt
	b.after(b.network(), replied{j, rep})
}

// finishTime estimates when a job that is sent now would be answered by a
// searcher, from everything that is in progress there.
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
			slots[k] = max(slots[k], b.now) + b.serviceTime(j.active.id, s)
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
