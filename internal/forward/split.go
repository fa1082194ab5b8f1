package forward

import "github.com/hawthornlock/hawthornlock/internal/routeplan"

// Splitter divides a route's requests among its services in proportion to their
// weights. It uses smooth weighted round robin, so that the proportions hold
// over a few requests as well.
type Splitter struct {
	credit []float64
}

// Next returns the index of the service for the next request.
func (s *Splitter) Next(splits []routeplan.Split) int {
	if len(s.credit) != len(splits) {
		s.credit = make([]float64, len(splits))
	}
	total, best := 0.0, 0
	for i, sp := range splits {
		s.credit[i] += sp.Weight
		total += sp.Weight
		if s.credit[i] > s.credit[best] || splits[best].Weight == 0 {
			best = i
		}
	}
	s.credit[best] -= total
	return best
}
