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
)

// Choose returns the hosts that gather from services of which a searcher grants
// connections to all hosts together. It returns nil if every host has a
// connection of its own. All hosts with the same view make the same choice.
//
// It answers fleets of more hosts than a searcher has connections, with hosts
// of unequal links and processors.
func Choose(hosts []Host, connections int) []Host {
	if len(hosts) <= max(connections, 1) {
		return nil
	}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	most := max(connections/minConnections, 1)
	n := 1
	for n < min(most, len(sorted)) && float64(sorted[n].Capacity) >= capacityShare*float64(sorted[0].Capacity) {
		n++
	}
	return sorted[:n]
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
