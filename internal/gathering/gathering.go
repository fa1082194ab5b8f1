// Package gathering decides which hosts gather answers of many shards on
// behalf of the others.
//
// A searcher accepts fewer connections than there are hosts once a deployment
// has grown, and a gather opens one to every shard. A few hosts therefore hold
// the connections, and the others hand whole requests to them: one message
// there and one merged answer back, in place of a message for every shard.
package gathering

import (
	"cmp"
	"slices"
	"time"
)

// Host is a host that can gather.
type Host struct {
	Name          string
	FailureDomain string
	Capacity      uint32
}

// Bounds of the choice.
const (
	// minConnections is how many connections to each searcher a gatherer has at
	// least: one in use and one to go on with while a searcher pauses.
	minConnections = 2
	// capacityShare is the least capacity of a gatherer relative to the
	// greatest. Gathers of a hundred shards keep a small link busy for longer
	// than the objective allows.
	capacityShare = 0.5
	// minPooled is the least number of hosts that gather for a fleet in which
	// every host could. With fewer, the loss of one takes too many gathers along.
	minPooled = 4
	// minNear is how many near gatherers there must be before others are left
	// out. One alone would carry all gathers and leave none when it is lost.
	minNear = 2
)

// Fleet is what a host knows of all hosts when it chooses gatherers.
type Fleet struct {
	Hosts []Host          // that are live, as far as is known
	Size  int             // number of hosts, also of those that are not known yet
	Near  map[string]bool // failure domains with a searcher of most shards
}

// Decided reports whether hosts that are not known yet would leave the choice
// as it is, as far as it concerns each host: with connections for all, with most
// of them known, or with both strong and weak hosts among those that are known.
// A strong host then gathers and a weak one does not, however many more there
// are.
func (f Fleet) Decided(connections int) bool {
	if f.Size <= connections || 2*len(f.Hosts) >= f.Size {
		return true
	}
	strong := f.strong()
	return len(strong) > 0 && len(strong) < len(f.Hosts)
}

// strong returns the hosts of the greatest capacity, near ones first.
func (f Fleet) strong() []Host {
	sorted := slices.Clone(f.Hosts)
	slices.SortFunc(sorted, func(a, b Host) int { return cmp.Compare(b.Capacity, a.Capacity) })
	n := 0
	for n < len(sorted) && float64(sorted[n].Capacity) >= capacityShare*float64(sorted[0].Capacity) {
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

// Choose returns the hosts that gather from services of which a searcher grants
// connections to all hosts together. It returns nil if every host has a
// connection of its own. All hosts with the same view make the same choice.
//
// It answers fleets of more hosts than a searcher has connections, with hosts
// of unequal links and processors, and shards whose searchers are in some of
// the failure domains: a gather from another one moves every shard's answer
// between failure domains.
func (f Fleet) Choose(connections int) []Host {
	if size := max(f.Size, len(f.Hosts)); size <= max(connections, 1) {
		return f.pooled(connections, size)
	}
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
// connections to a searcher than every host would have.
//
// It answers searchers that pause: with a single connection, a host has no way
// to the searchers of a shard while both hold one of its requests.
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

// avoidFor is how long a gatherer that did not answer is asked last. It covers
// the time until the membership knows of a lost host.
const avoidFor = 3 * time.Second

// Chooser orders gatherers for one host after another's requests.
type Chooser struct {
	failedAt map[string]time.Time
	turn     int
}

// NewChooser returns a chooser that trusts every gatherer.
func NewChooser() *Chooser { return &Chooser{failedAt: make(map[string]time.Time)} }

// Failed notes that a gatherer did not answer.
func (c *Chooser) Failed(now time.Time, name string) { c.failedAt[name] = now }

// Answered notes that a gatherer answered.
func (c *Chooser) Answered(name string) { delete(c.failedAt, name) }

// Order returns the gatherers in the order in which a request tries them: those
// that answered lately before others, then those of the host's own failure
// domain, which take turns.
func (c *Chooser) Order(now time.Time, gatherers []Host, failureDomain string) []Host {
	out := slices.Clone(gatherers)
	if len(out) > 1 {
		c.turn++
		k := c.turn % len(out)
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
