package querybench

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// Result is what one case measured.
type Result struct {
	Case       Case
	P50        time.Duration // latency of answered queries, from arrival
	P99        time.Duration
	P999       time.Duration
	Coverage   float64 // mean share of shards over answered queries
	InTime     float64 // share of all queries answered completely before the deadline
	HedgeLoad  float64 // hedges as a share of first sub-requests
	RetryLoad  float64 // retries as a share of first sub-requests
	Refused    float64 // share of all queries refused as not run
	Goodput    float64 // complete answers as a share of what the slots can do
	Busy       float64 // share of the slots' time that was in use
	Hedges     int
	HedgeWins  int
	Overstated int // shards listed as answered that no searcher answered
	Past       int // answers past their deadline
	AfterDrain int // sub-requests that reached a target after its drain time

	latencies  []time.Duration
	coverage   float64
	answered   int
	whole      int
	refused    int
	failed     int
	first      int
	retries    int
	afterDrain int
	lastEnd    time.Duration
}

// add records the end of one query.
func (r *Result) add(b *bench, a *active, f query.Finish) {
	c := a.run.Counters()
	r.first += c.Sent - c.Hedges - c.Retries
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
	r.coverage += f.Answer.Coverage.Ratio()
	r.answered++
	r.lastEnd = b.now
	if latency >= deadline {
		r.Past++
	}
	cov := f.Answer.Coverage
	if len(cov.Missing) == 0 && latency < deadline {
		r.whole++
	}
	missing := 0
	for i, name := range b.catalog.Snapshots[0].Layout {
		if missing < len(cov.Missing) && cov.Missing[missing].Shard == name {
			missing++
		} else if !a.reallyAnswered[i] {
			r.Overstated++
		}
	}
}

// complete computes the figures from the records.
func (r *Result) complete(b *bench) {
	slices.Sort(r.latencies)
	r.P50 = quantile(r.latencies, 0.5)
	r.P99 = quantile(r.latencies, 0.99)
	r.P999 = quantile(r.latencies, 0.999)
	if r.answered > 0 {
		r.Coverage = r.coverage / float64(r.answered)
	}
	r.InTime = float64(r.whole) / float64(b.c.Queries)
	r.Refused = float64(r.refused) / float64(b.c.Queries)
	if r.first > 0 {
		r.HedgeLoad = float64(r.Hedges) / float64(r.first)
		r.RetryLoad = float64(r.retries) / float64(r.first)
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
	rate := float64(r.whole) / r.lastEnd.Seconds()
	return rate / (b.rate / b.c.Load)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
