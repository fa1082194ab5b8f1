package withdrawal

import (
	"cmp"
	"maps"
	"slices"
)

// Searcher is a searcher that takes new work, as the remaining capacity counts it.
type Searcher struct {
	Service       string // or the group that it belongs to
	FailureDomain string
	Slots         int
}

// Capacity is the capacity of one service.
type Capacity struct {
	Service        string
	Searchers      int // in use
	Slots          int
	SearchersAfter int // in use after the order
	SlotsAfter     int
}

// Lost reports whether the service has searchers and would have none.
func (c Capacity) Lost() bool { return c.Searchers > 0 && c.SearchersAfter == 0 }

// Preview returns the capacity of each service before and after an order, sorted by
// service. services are those that must be listed although they have no searcher.
func Preview(s *Set, o Order, services []string, searchers []Searcher) []Capacity {
	after := s.with(o.FailureDomain, o.Withdraw)
	byService := make(map[string]*Capacity, len(services))
	of := func(name string) *Capacity {
		c := byService[name]
		if c == nil {
			c = &Capacity{Service: name}
			byService[name] = c
		}
		return c
	}
	for _, name := range services {
		of(name)
	}
	for _, x := range searchers {
		c := of(x.Service)
		if !s.Withdrawn(x.FailureDomain) {
			c.Searchers++
			c.Slots += x.Slots
		}
		if !after.Withdrawn(x.FailureDomain) {
			c.SearchersAfter++
			c.SlotsAfter += x.Slots
		}
	}
	out := make([]Capacity, 0, len(byService))
	for c := range maps.Values(byService) {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Capacity) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
