package daemon

import (
	"context"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// splitGathers returns, by the set of shards, the ways to divide the gathers of a plan
// that other hosts carry out. holders lists the gathered services that have a live
// searcher, by failure domain.
func splitGathers(plan *routeplan.Table, gatherers map[string][]gathering.Host, holders map[string]map[string]bool) map[uint64][][]gathering.Part {
	out := make(map[uint64][][]gathering.Part)
	for id, g := range plan.Gathers() {
		hosts := gatherers[g.Services[0]]
		if hosts == nil {
			continue
		}
		domains := gathering.DomainsOf(hosts)
		sets := make([]gathering.Domains, len(g.Services))
		for k, domain := range domains {
			for i, service := range g.Services {
				if holders[domain][service] {
					sets[i] |= 1 << k
				}
			}
		}
		if parts := gathering.Splits(sets, domains); parts != nil {
			out[id] = parts
		}
	}
	return out
}

// nextSplit returns the parts into which the next request of a route is divided, or nil
// if it is not divided. The ways take turns.
func (d *Daemon) nextSplit(p *placement, r *routeplan.Route) []gathering.Part {
	if p == nil || r.Gather == nil || len(p.splits) == 0 {
		return nil
	}
	ways := p.splits[r.Gather.SetID()]
	if ways == nil {
		return nil
	}
	return ways[d.gather.splitTurn.Add(1)%uint64(len(ways))]
}

// gatherParts divides a gather among gatherers and merges their answers.
//
// A part that fails ends the request as soon as too few shards are left. The other
// parts then go on in the background: their searchers are at work, and breaking them
// off would only waste what they have done. If nothing is known to have run, the other
// parts get refusalWait to be refused too: while the gatherers start, all of them refuse,
// and only a request of which nothing has run can be refused with a time to come back.
func (d *Daemon) gatherParts(ctx context.Context, call *forwardrun.Call, h handOver, parts []gathering.Part) (*forwardrun.Answer, *verdict.Error) {
	if err := d.engine.Admit(call, d.leastShare(call.Route)); err != nil {
		return &forwardrun.Answer{}, err
	}
	// The handler's context ends with the response, the parts' only if the caller leaves.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	ended := make(chan forwardrun.PartResult, len(parts))
	for _, p := range parts {
		go func() {
			part := *call
			part.Shards = p.Shards
			answer, err := d.gatherPart(running, &part, h, p.Domain)
			d.recordShare(call.Route, answer, p.Domain)
			ended <- forwardrun.PartResult{Shards: len(p.Shards), Answer: answer, Err: err}
		}()
	}
	var results []forwardrun.PartResult
	var refused <-chan time.Time
	for len(results) < len(parts) {
		waited := false
		select {
		case r := <-ended:
			results = append(results, r)
		case <-refused:
			waited = true
		case <-ctx.Done():
			return &forwardrun.Answer{}, callerGone()
		}
		if forwardrun.Enough(call.Route.Gather, results) {
			continue
		}
		if waited || !forwardrun.NothingRan(results) {
			break
		}
		if refused == nil {
			refused = time.After(refusalWait)
		}
	}
	stop()
	if len(results) == len(parts) {
		cancel()
	}
	return forwardrun.MergeParts(call.Route.Gather, results, len(parts)-len(results))
}

// refusalWait bounds the wait for the other parts of a request of which one was refused.
// A refusal takes a round trip between failure domains and some processor time.
const refusalWait = 40 * time.Millisecond

// gatherPart has a part of a gather carried out: the one of this host's failure domain
// by this host, if it is a gatherer, and any other by a gatherer of its domain if
// possible.
func (d *Daemon) gatherPart(ctx context.Context, call *forwardrun.Call, h handOver, domain string) (*forwardrun.Answer, *verdict.Error) {
	if domain == d.settings.FailureDomain && gathering.Contains(h.gatherers, d.settings.Host) {
		return d.engine.Do(ctx, call)
	}
	return d.handOverNear(ctx, call, h, domain)
}

// handOverNear has a request carried out by a gatherer, of a failure domain if possible.
func (d *Daemon) handOverNear(ctx context.Context, call *forwardrun.Call, h handOver, domain string) (*forwardrun.Answer, *verdict.Error) {
	d.gather.mu.Lock()
	order := d.gather.chooser.Order(h.now, h.gatherers, domain)
	d.gather.mu.Unlock()
	return d.gatherAmong(ctx, call, h, order)
}

// leastShare returns the share of a route's requests that all gatherers admit.
func (d *Daemon) leastShare(r *routeplan.Route) float64 {
	d.gather.mu.Lock()
	defer d.gather.mu.Unlock()
	return d.gather.shares.Least(time.Now(), r.Name)
}

// recordShare records the share of a route's requests that the gatherer of a part, for
// the searchers in a failure domain, admits.
func (d *Daemon) recordShare(r *routeplan.Route, a *forwardrun.Answer, domain string) {
	if a == nil || a.Admitted == 0 {
		return
	}
	d.gather.mu.Lock()
	defer d.gather.mu.Unlock()
	d.gather.shares.Record(time.Now(), r.Name, domain, a.Admitted)
}
