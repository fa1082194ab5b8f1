package membership

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MeshLimit is the number of live hosts up to which every host is a
// neighbour of every other.
const MeshLimit = 32

// relaysPerRegion is the number of hosts that relay messages for a region.
const relaysPerRegion = 2

// Neighbours returns the hosts that self exchanges messages with, sorted. It
// depends only on the set of live members, so two hosts with the same view
// agree on every link. Above MeshLimit hosts, a host has the relays of its
// region as neighbours, and the relays have each other and the hosts of their
// region.
func Neighbours(self string, live []Member) []string {
	members := make([]*Member, len(live))
	for i := range live {
		members[i] = &live[i]
	}
	if len(live) <= MeshLimit {
		return namesExcept(self, members)
	}
	return newTopology(members).neighbours(self)
}

func namesExcept(self string, members []*Member) []string {
	var names []string
	for _, m := range members {
		if m.Host != self {
			names = append(names, m.Host)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// topology assigns relays to the regions of a set of live members.
type topology struct {
	regions  map[string][]*Member
	relays   map[string][]*Member // by region
	regionOf map[string]string    // by relay
}

func newTopology(live []*Member) *topology {
	t := &topology{regions: map[string][]*Member{}, relays: map[string][]*Member{}, regionOf: map[string]string{}}
	for _, m := range live {
		t.regions[m.Region] = append(t.regions[m.Region], m)
	}
	for region, hosts := range t.regions {
		t.relays[region] = chooseRelays(hosts)
		for _, m := range t.relays[region] {
			t.regionOf[m.Host] = region
		}
	}
	return t
}

func (t *topology) isRelay(host string) bool {
	_, ok := t.regionOf[host]
	return ok
}

func (t *topology) neighbours(self string) []string {
	if region, ok := t.regionOf[self]; ok {
		all := slices.Clone(t.regions[region])
		for _, relays := range t.relays {
			all = append(all, relays...)
		}
		return namesExcept(self, all)
	}
	for region, hosts := range t.regions {
		if slices.ContainsFunc(hosts, func(m *Member) bool { return m.Host == self }) {
			return namesExcept(self, t.relays[region])
		}
	}
	return nil
}

// chooseRelays returns the relays of a region. It prefers hosts with the relay
// role, then a higher capacity, then different failure domains, then a higher
// hash of the name. Capacity counts because a relay exchanges messages with
// every host of its region, and all of them wait for a slow one after a
// restart.
func chooseRelays(hosts []*Member) []*Member {
	var chosen []*Member
	for len(chosen) < min(relaysPerRegion, len(hosts)) {
		var best *Member
		for _, m := range hosts {
			if !slices.Contains(chosen, m) && (best == nil || betterRelay(m, best, chosen)) {
				best = m
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

// capacityClass returns the same class for most capacities that differ by less
// than a factor of two, so that failure domains decide among such hosts.
func capacityClass(m *Member) int { return bits.Len32(m.Capacity) }

func betterRelay(a, b *Member, chosen []*Member) bool {
	if x, y := a.Roles.Has(RoleRelay), b.Roles.Has(RoleRelay); x != y {
		return x
	}
	if x, y := capacityClass(a), capacityClass(b); x != y {
		return x > y
	}
	if x, y := inNewDomain(a, chosen), inNewDomain(b, chosen); x != y {
		return x
	}
	if x, y := xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host); x != y {
		return x > y
	}
	return a.Host < b.Host
}

func inNewDomain(m *Member, chosen []*Member) bool {
	return !slices.ContainsFunc(chosen, func(c *Member) bool { return c.FailureDomain == m.FailureDomain })
}
