package targets

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// liveHost is a host that may own leases.
type liveHost struct {
	name   string
	hash   uint64
	update uint64 // value of hostSet.update when the host was last listed
}

// weight returns the rendezvous weight of the host for a target (Thaler and
// Ravishankar, 1998). The finalizer is that of SplitMix64.
func (h *liveHost) weight(target uint64) uint64 {
	z := h.hash ^ target
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// heavier reports whether h ranks above other for the target. Hosts of equal
// weight are ranked by name.
func (h *liveHost) heavier(other *liveHost, target uint64) bool {
	if other == nil {
		return true
	}
	a, b := h.weight(target), other.weight(target)
	if a != b {
		return a > b
	}
	return h.name < other.name
}

// owners are the primary and the standby owner of a lease. An owner is nil while
// there are too few live hosts.
type owners [2]*liveHost

// consider makes h an owner if it is heavier than one of the present owners.
func (o *owners) consider(h *liveHost, target uint64) {
	switch {
	case h.heavier(o[0], target):
		o[1] = o[0]
		o[0] = h
	case h.heavier(o[1], target):
		o[1] = h
	}
}

func (o *owners) contains(h *liveHost) bool { return h != nil && (o[0] == h || o[1] == h) }

// hostSet holds the live hosts.
type hostSet struct {
	byName map[string]*liveHost
	all    []*liveHost // in no particular order
	update uint64
}

func newHostSet(names []string) hostSet {
	s := hostSet{byName: map[string]*liveHost{}}
	s.replace(names)
	return s
}

// replace replaces the set and returns the hosts that joined and left. Hosts
// that stay keep their *liveHost, to which entries point.
func (s *hostSet) replace(names []string) (joined, left []*liveHost) {
	s.update++
	for _, n := range names {
		h := s.byName[n]
		if h == nil {
			h = &liveHost{name: n, hash: xxhash.Sum64String(n)}
			s.byName[n] = h
			s.all = append(s.all, h)
			joined = append(joined, h)
		}
		h.update = s.update
	}
	s.all = slices.DeleteFunc(s.all, func(h *liveHost) bool {
		gone := h.update != s.update
		if gone {
			delete(s.byName, h.name)
			left = append(left, h)
		}
		return gone
	})
	return joined, left
}

// owners returns the two heaviest hosts for a target.
func (s *hostSet) owners(target uint64) owners {
	var o owners
	for _, h := range s.all {
		o.consider(h, target)
	}
	return o
}
