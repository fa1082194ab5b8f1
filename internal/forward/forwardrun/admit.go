package forwardrun

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// shareOf returns a number from 0 to 1 for a request ID.
func shareOf(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// Admits reports whether a request is among the given share of the requests that are
// admitted.
func Admits(id string, share float64) bool { return shareOf(id) < share }

// Admit decides whether a gathered request is admitted if the given share of the route's
// requests is, and returns why not. It counts the request towards the demand of its
// account, so it must be called once for a request.
func (e *Engine) Admit(call *Call, share float64) *verdict.Error {
	now := time.Now()
	if call.Account != nil && call.Route.Gather != nil {
		state := e.route(call.Route.Name)
		e.routesMu.Lock()
		state.fair.Record(now, call.Account.Name, call.weight())
		share = state.fair.Share(now, call.Account.Name, share)
		e.routesMu.Unlock()
	}
	if Admits(call.ID, share) {
		return nil
	}
	e.stats.Shed.Add(1)
	hint := forward.RetryHint(call.Deadline.Sub(now), forward.RecoverIn(share), rand.Float64())
	return verdict.New(verdict.NotRun, forward.CodeOverloaded, "the shards can't answer in time; %.0f %% of the requests are admitted", 100*share).
		WithRetryAfter(hint)
}

// admittedShare returns the share of the requests of a gathered route that this host
// admits. It never exceeds that of a more urgent route over the same shards.
func (e *Engine) admittedShare(call *Call, state *routeState) float64 {
	if call.Route.Gather == nil {
		return 1
	}
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	state.priority, state.firstService = call.Route.Priority, call.Route.Gather.Services[0]
	return e.admittedShareLocked(call, state)
}

// admittedShareLocked is admittedShare without recording the route. The caller holds
// routesMu.
func (e *Engine) admittedShareLocked(call *Call, state *routeState) float64 {
	share := state.admission.Share()
	for _, o := range e.routes {
		if o.firstService == call.Route.Gather.Services[0] && o.priority < call.priority() {
			share = min(share, o.admission.Share())
		}
	}
	return share
}

// recordEnd tells the admission of a gathered route whether a request was
// answered in time.
func (e *Engine) recordEnd(call *Call, state *routeState, err *verdict.Error) {
	if call.Route.Gather == nil || err != nil && (err.Code == CodeCallerGone || err.Verdict == verdict.NotRun) {
		return
	}
	now := time.Now()
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	if err == nil && now.Sub(call.began()) <= call.Route.Objective {
		state.admission.RecordInTime(now)
		return
	}
	state.admission.RecordLate(now)
}

// allowance returns how many of its shards a part of a divided gather may lack, or why
// it is refused. This host has connections to the searchers of all shards of the gather,
// so the gatherers of all parts come to the same decision.
func (e *Engine) allowance(call *Call) (forward.Allowance, *verdict.Error) {
	g := call.Route.Gather
	now := time.Now()
	a, ok := forward.PartAllowance(e.unanswerable(now, g.Services), call.Shards, g.MaxMissing())
	if !ok {
		return a, forward.RefusePart(len(g.Services), call.Deadline.Sub(now), rand.Float64())
	}
	return a, nil
}

// unanswerable returns, for each of the services, whether none of its searchers can be
// used now.
func (e *Engine) unanswerable(now time.Time, services []string) []bool {
	out := make([]bool, len(services))
	for i, name := range services {
		_, ok := e.service(name).expected(now, forward.Criteria{})
		out[i] = !ok
	}
	return out
}
