package forwardrun

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// KindEstimates compares the estimates of the attempts of one kind of requests with their
// outcome. Totals count successful attempts since the start of the engine.
type KindEstimates struct {
	Kind     string        // name of the route, or otherKinds
	Work     time.Duration // estimate at the last request
	Attempts int64
	Expected time.Duration // sum
	Took     time.Duration // sum
	// Missed counts the attempts that took more than twice or less than half of what was
	// expected.
	Missed int64
}

const (
	// maxKindEstimates bounds the kinds, and so the labels of metrics.
	maxKindEstimates = 32
	// otherKinds collects what is beyond maxKindEstimates.
	otherKinds = "other"
)

// estimatesOf returns the estimates of a route. The caller holds routesMu.
func (e *Engine) estimatesOf(route string) *KindEstimates {
	if k := e.kinds[route]; k != nil {
		return k
	}
	if len(e.kinds) >= maxKindEstimates-1 {
		route = otherKinds
	}
	k := e.kinds[route]
	if k == nil {
		k = &KindEstimates{Kind: route}
		e.kinds[route] = k
	}
	return k
}

func (k *KindEstimates) record(o workload.Observation) {
	if o.Expected <= 0 {
		return
	}
	k.Attempts++
	k.Expected += o.Expected
	k.Took += o.Took
	if o.Took > 2*o.Expected || 2*o.Took < o.Expected {
		k.Missed++
	}
}

// Estimates returns the estimates of all kinds, sorted by name.
func (e *Engine) Estimates() []KindEstimates {
	e.routesMu.Lock()
	defer e.routesMu.Unlock()
	now := time.Now()
	out := make([]KindEstimates, 0, len(e.kinds))
	for name, k := range e.kinds {
		item := *k
		if name != otherKinds {
			item.Work = e.costs.Estimate(now, workload.Features{Route: name}).Work
		}
		out = append(out, item)
	}
	slices.SortFunc(out, func(a, b KindEstimates) int { return strings.Compare(a.Kind, b.Kind) })
	return out
}
