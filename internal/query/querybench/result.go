package querybench

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// Result holds the figures of one case.
type Result struct {
	Case       Case
	P50        time.Duration // latency of answered queries, from arrival
	P99        time.Duration
	P999       time.Duration
	Coverage   float64 // mean coverage of answered queries
	InTime     float64 // fraction of all queries answered completely before the deadline
	HedgeLoad  float64 // hedges as a fraction of first sub-requests
	RetryLoad  float64 // retries as a fraction of first sub-requests
	Refused    float64 // fraction of all queries refused or failed without having run
	Goodput    float64 // complete answers as a fraction of the capacity of the slots
	Busy       float64 // fraction of the slots' time in use
	Hedges     int
	HedgeWins  int
	Overstated int // shards listed as answered that no searcher answered
	Late       int // answers past their deadline
	AfterDrain int // sub-requests that reached a target after its drain time

	latencies     []time.Duration
	coverageSum   float64
	answered      int
	complete      int
	refused       int
	failed        int
	firstAttempts int
	retries       int
	afterDrain    int
	lastEnd       time.Duration
}

// add records the end of one query.
func (r *Result) add(b *bench, a *activeQuery, f query.Finish) {
	c := a.run.Counters()
	r.firstAttempts += c.Sent - c.Hedges - c.Retries
	r.Hedges += c.Hedges
	r.HedgeWins += c.HedgeWins
	r.retries += c.Retries
	if f.Err != nil {
		if notRun(f.Err) {
			r.refused++
		} else {
			r.failed++
		}
		return
	}
	latency := b.now - a.arrived
	if a.id >= b.c.warmUp() {
		r.latencies = append(r.latencies, latency)
	}
	r.coverageSum += f.Answer.Coverage.Ratio()
	r.answered++
	r.lastEnd = b.now
	if latency >= deadline {
		r.Late++
	}
	cov := f.Answer.Coverage
	if len(cov.Missing) == 0 && latency < deadline {
		r.complete++
	}
	missing := 0
	for i, name := range b.catalog.Snapshots[0].Layout {
		if missing < len(cov.Missing) && cov.Missing[missing].Shard == name {
			missing++
		} else if !a.answered[i] {
			r.Overstated++
		}
	}
}

// summarize computes the figures from the records.
func (r *Result) summarize(b *bench) {
	slices.Sort(r.latencies)
	r.P50 = quantile(r.latencies, 0.5)
	r.P99 = quantile(r.latencies, 0.99)
	r.P999 = quantile(r.latencies, 0.999)
	if r.answered > 0 {
		r.Coverage = r.coverageSum / float64(r.answered)
	}
	r.InTime = float64(r.complete) / float64(b.c.Queries)
	r.Refused = float64(r.refused) / float64(b.c.Queries)
	if r.firstAttempts > 0 {
		r.HedgeLoad = float64(r.Hedges) / float64(r.firstAttempts)
		r.RetryLoad = float64(r.retries) / float64(r.firstAttempts)
	}
	r.AfterDrain = r.afterDrain
	r.Goodput = r.goodput(b)
	r.Busy = r.busy(b)
	r.latencies = nil
}

func (r *Result) busy(b *bench) float64 {
	if r.lastEnd == 0 {
		return 0
	}
	used, slots := time.Duration(0), 0
	for _, s := range b.searchers {
		used += s.busy
		slots += s.slots
	}
	return used.Seconds() / (r.lastEnd.Seconds() * float64(slots))
}

// goodput compares the rate of complete answers with the rate at which every
// slot is busy when each sub-request runs once on a random replica.
func (r *Result) goodput(b *bench) float64 {
	if r.lastEnd == 0 {
		return 0
	}
	rate := float64(r.complete) / r.lastEnd.Seconds()
	return rate / (b.rate / b.c.Load)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
