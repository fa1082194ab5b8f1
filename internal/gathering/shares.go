package gathering

import "time"

// Bounds on what a host remembers of the shares that gatherers admit.
const (
	// shareRetention is how long a report counts. A gatherer changes its share by a
	// small step in that time.
	shareRetention = 3 * time.Second
	// maxSharedRoutes bounds the routes with reports.
	maxSharedRoutes = 4096
)

// Shares remembers which share of the requests of a route the gatherers admit, as they
// report with their answers. The host that divides a gather refuses what the gatherer
// with the least share would refuse, before anything is sent: a refusal by one gatherer
// would waste the work of the others, and the request could no longer be refused as not
// run. It answers loads at which more than a third of the answers are late. It is not
// safe for concurrent use.
type Shares struct {
	routes map[string]map[string]shareReport // by route and gatherer
}

type shareReport struct {
	share float64
	at    time.Time
}

// Record records the share that a gatherer reported.
func (s *Shares) Record(now time.Time, route, gatherer string, share float64) {
	if s.routes == nil || len(s.routes) >= maxSharedRoutes && s.routes[route] == nil {
		s.routes = make(map[string]map[string]shareReport)
	}
	if s.routes[route] == nil {
		s.routes[route] = make(map[string]shareReport)
	}
	s.routes[route][gatherer] = shareReport{share: share, at: now}
}

// Least returns the least share that a gatherer reported lately, or 1.
func (s *Shares) Least(now time.Time, route string) float64 {
	least := 1.0
	for gatherer, r := range s.routes[route] {
		if now.Sub(r.at) > shareRetention {
			delete(s.routes[route], gatherer)
			continue
		}
		least = min(least, r.share)
	}
	return least
}
