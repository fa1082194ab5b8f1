// Package gathering decides which hosts gather the replies of many shards on
// behalf of the others.
//
// In a large deployment, a searcher accepts fewer connections than there are
// hosts, and a gather needs a connection to every shard. A few hosts, the
// gatherers, therefore hold the connections, and the others forward whole
// requests to them. This takes one request and one merged reply instead of a
// message to every shard.
package gathering

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is a host that can gather.
type Host struct {
	Name          string
	FailureDomain string
	Capacity      uint32
}

// Limits for the choice of gatherers.
const (
	// minConnections is the minimum number of connections that a gatherer has to
	// each searcher: one in use and a spare one for when the searcher pauses.
	minConnections = 2
	// minCapacityRatio is the minimum capacity of a gatherer relative to the
	// greatest capacity of a host. Gathers of a hundred shards keep a small link
	// busy for longer than the latency objective allows.
	minCapacityRatio = 0.5
	// minPooled is the minimum number of gatherers in a fleet in which every host
	// could gather for itself. With fewer, the loss of one fails too many gathers.
	minPooled = 4
	// minNear is the minimum number of near gatherers for which the others are
	// left out. A single one would carry all gathers, and its loss would leave no
	// gatherer.
	minNear = 2
	// reservePercent is the part of the connections that a searcher grants which is
	// kept for hosts that start again while it still counts their earlier ones.
	reservePercent = 10
	// hostsForOne is the number of hosts that carry out the requests to one service.
	// With a tenth of the hosts down, no service is left without several of them.
	hostsForOne = 12
	// maxOwnShards is the maximum number of shards for which every host gathers for
	// itself. With more, a weak host's processor takes longer than the latency
	// objective allows.
	maxOwnShards = 60
)

// Fleet is a host's view of all hosts when it chooses gatherers.
type Fleet struct {
	Hosts []Host          // hosts known to be live
	Size  int             // number of hosts, including unknown ones
	Near  map[string]bool // failure domains with searchers of most shards

	Shards int // of the largest gather

	Agreed []string // names of the agreed members, seen or not
}

// Decided reports whether enough hosts are known to choose gatherers: there are
// connections for every host, at least half of the hosts are known, or both
// strong and weak hosts are known. In the last case a strong host gathers and a
// weak one doesn't, however many more hosts there are.
func (f Fleet) Decided(connections int) bool {
	if f.Size <= connections && f.Shards <= maxOwnShards || 2*len(f.Hosts) >= f.Size {
		return true
	}
	strong := f.strong()
	return len(strong) > 0 && len(strong) < len(f.Hosts)
}

// strong returns the hosts with at least minCapacityRatio of the greatest
// capacity, near ones first.
func (f Fleet) strong() []Host {
	sorted := slices.Clone(f.Hosts)
	slices.SortFunc(sorted, func(a, b Host) int { return cmp.Compare(b.Capacity, a.Capacity) })
	n := 0
	for n < len(sorted) && float64(sorted[n].Capacity) >= minCapacityRatio*float64(sorted[0].Capacity) {
		n++
	}
	sorted = sorted[:n]
	slices.SortFunc(sorted, func(a, b Host) int {
		return cmp.Or(f.distance(a)-f.distance(b), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

func (f Fleet) distance(h Host) int {
	if f.Near[h.FailureDomain] {
		return 0
	}
	return 1
}

// Choose returns the gatherers for services whose searchers each grant the given
// number of connections to all hosts together. It returns nil if every host
// gathers for itself. All hosts with the same view make the same choice.
//
// The choice accounts for fleets with more hosts than a searcher grants
// connections, for hosts with unequal links and processors, and for searchers in
// only some of the failure domains: a gather from another failure domain moves
// every shard's reply between failure domains.
func (f Fleet) Choose(connections int) []Host {
	if size := max(f.Size, len(f.Hosts)); size <= max(connections, 1) && f.Shards <= maxOwnShards {
		return f.pooled(connections, size)
	}
	return f.strongest(connections)
}

// GrantedToAll reports whether a searcher that grants so many connections has one for
// every host, and some to spare for those that start again.
func (f Fleet) GrantedToAll(granted int) bool {
	return max(f.Size, len(f.Hosts)) <= granted-granted*reservePercent/100
}

// ChooseForOne returns the hosts that carry out the requests to a service from which no
// route gathers, and those that have connections to it: the gatherers too, since a route
// may divide its requests between such a service and one that is gathered. It returns nil
// if its searchers grant a connection to every host, which then sends its requests itself,
// or if none of the carriers is known. granted is the number of connections that each
// searcher grants to all hosts together, and connections how many of them are used.
//
// It accounts for shards of an index that is no longer gathered, to which some routes
// may still lead. Such requests are small, so any host can carry them out, and the
// gatherers, which have the most work, are spared.
func (f Fleet) ChooseForOne(granted, connections int) (carriers, connected []Host) {
	if f.GrantedToAll(granted) {
		return nil, nil
	}
	names := draw(f.Agreed, min(hostsForOne, granted))
	for _, h := range f.Hosts {
		if slices.Contains(names, h.Name) {
			carriers = append(carriers, h)
		}
	}
	if carriers == nil {
		return nil, nil
	}
	return carriers, union(carriers, f.strongest(connections))
}

// union returns the hosts of two lists, each once.
func union(a, b []Host) []Host {
	out := slices.Clone(a)
	for _, h := range b {
		if !Contains(a, h.Name) {
			out = append(out, h)
		}
	}
	return out
}

// Intersection returns the hosts that are in both lists.
func Intersection(a, b []Host) []Host {
	return slices.DeleteFunc(slices.Clone(a), func(h Host) bool { return !Contains(b, h.Name) })
}

// draw returns n names that depend on the list alone. Hosts with the same agreed list
// draw the same names, whichever of the others they see.
func draw(names []string, n int) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b, drawKey), weight(a, drawKey)), cmp.Compare(a, b))
	})
	return out[:min(n, len(out))]
}

const drawKey = "single services"

func weight(name, key string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }

// strongest returns as many strong hosts as have enough connections each, only near ones
// if there are a few of them.
func (f Fleet) strongest(connections int) []Host {
	strong := f.strong()
	near := 0
	for near < len(strong) && f.distance(strong[near]) == 0 {
		near++
	}
	if near >= minNear {
		strong = strong[:near]
	}
	return strong[:min(max(connections/minConnections, 1), len(strong))]
}

// pooled returns the near hosts of a small fleet if each of them then has more
// connections to a searcher than if every host gathered for itself.
//
// More connections help while searchers pause: a host with a single connection
// to each searcher can't reach a shard while both of its searchers hold one of
// the host's requests.
func (f Fleet) pooled(connections, size int) []Host {
	var near []Host
	for _, h := range f.Hosts {
		if f.Near[h.FailureDomain] {
			near = append(near, h)
		}
	}
	if len(near) < minPooled || connections/len(near) <= connections/size {
		return nil
	}
	slices.SortFunc(near, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return near
}

// Connections returns how many connections to each searcher one of the
// gatherers may hold.
func Connections(gatherers []Host, connections int) int {
	return max(connections/max(len(gatherers), 1), 1)
}

// Contains reports whether a host is among the gatherers.
func Contains(gatherers []Host, name string) bool {
	return slices.ContainsFunc(gatherers, func(h Host) bool { return h.Name == name })
}

// Heaviest returns the host with the greatest rendezvous weight for a key. It is not ok
// without hosts. Few keys move when a host joins or leaves.
func Heaviest(hosts []Host, key string) (chosen Host, ok bool) {
	var most uint64
	for _, h := range hosts {
		if w := weight(h.Name, key); !ok || w > most {
			chosen, most, ok = h, w, true
		}
	}
	return chosen, ok
}

// avoidFor is how long a gatherer that did not answer is ordered last. It covers
// the time until the membership detects a lost host.
const avoidFor = 3 * time.Second

// Chooser orders the gatherers for the requests of one host.
type Chooser struct {
	failedAt map[string]time.Time
	rotation int
}

// NewChooser returns a chooser without failed gatherers.
func NewChooser() *Chooser { return &Chooser{failedAt: make(map[string]time.Time)} }

// Failed records that a gatherer did not answer.
func (c *Chooser) Failed(now time.Time, name string) { c.failedAt[name] = now }

// Answered records that a gatherer answered.
func (c *Chooser) Answered(name string) { delete(c.failedAt, name) }

// Order returns the gatherers in the order in which a request tries them: those
// without a recent failure first, and among these the ones in the given failure
// domain. Gatherers that rank the same take turns.
func (c *Chooser) Order(now time.Time, gatherers []Host, failureDomain string) []Host {
	out := slices.Clone(gatherers)
	if len(out) > 1 {
		c.rotation++
		k := c.rotation % len(out)
		out = append(out[k:], out[:k]...)
	}
	rank := func(h Host) int {
		r := 0
		if at, ok := c.failedAt[h.Name]; ok && now.Sub(at) < avoidFor {
			r += 2
		}
		if h.FailureDomain != failureDomain {
			r++
		}
		return r
	}
	slices.SortStableFunc(out, func(a, b Host) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}
