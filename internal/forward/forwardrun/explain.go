package forwardrun

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
)

// Explanation says how the engine would forward a call now.
type Explanation struct {
	Work       time.Duration // estimated
	WorkAge    time.Duration // since the last observation of such a request; 0 if there was none
	HedgeDelay time.Duration
	Admitted   float64 // share of the route's requests that is admitted
	Services   []ServiceExplanation
}

// ServiceExplanation says where the call's sub-request for a service would go now.
type ServiceExplanation struct {
	Service    string
	Share      float64 // of the route's requests that go to the service
	Candidates []forward.Candidate
	Best       int           // index of the first choice, or -1
	Expected   time.Duration // of an attempt, including the rest of a pause
	Usable     bool          // some searcher can be used, if not at once
	ExtraLeft  float64       // extra attempts that the budget has left
}

// Explain says how a call with a body of the given size would be forwarded now. It sends
// and changes nothing.
func (e *Engine) Explain(call *Call, body int) Explanation {
	now := time.Now()
	features := call.features()
	features.Body = body
	route := call.Route
	var out Explanation
	out.Admitted = 1
	left := 0.0
	if route.Gather != nil {
		left = e.leftPerRequest(now, route.Gather.Services[0])
	}
	e.routesMu.Lock()
	cost, seen := e.costs.Lookup(now, features)
	timing := forward.NewTiming()
	if state := e.routes[route.Name]; state != nil {
		timing = state.timing
		if route.Gather != nil {
			out.Admitted = e.admittedShareLocked(call, state)
		}
	}
	out.Work, out.HedgeDelay = cost.Work, timing.HedgeDelay(route.Objective, left, cost.Relation)
	e.routesMu.Unlock()
	if !seen.IsZero() {
		out.WorkAge = now.Sub(seen)
	}
	criteria := forward.Criteria{FailureDomain: e.config.FailureDomain, MedianTime: out.Work, Objective: route.Objective}
	if route.Gather != nil {
		for _, name := range route.Gather.Services {
			out.Services = append(out.Services, e.explainService(now, name, 1, criteria))
		}
		return out
	}
	total := 0.0
	for _, s := range route.Splits {
		total += s.Weight
	}
	for _, s := range route.Splits {
		out.Services = append(out.Services, e.explainService(now, s.Service, s.Weight/max(total, 1e-9), criteria))
	}
	return out
}

// existing returns a service that the engine knows, or nil.
func (e *Engine) existing(name string) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[name]
}

func (e *Engine) leftPerRequest(now time.Time, name string) float64 {
	if s := e.existing(name); s != nil {
		return s.budgetLeft(now)
	}
	return 0
}

func (e *Engine) explainService(now time.Time, name string, share float64, c forward.Criteria) ServiceExplanation {
	out := ServiceExplanation{Service: name, Share: share, Best: -1}
	s := e.existing(name)
	if s == nil {
		return out
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Candidates, out.Best = s.group.Explain(now, c)
	out.Expected, out.Usable = s.group.Expected(now, c)
	out.ExtraLeft = s.budget().Left(now)
	return out
}
