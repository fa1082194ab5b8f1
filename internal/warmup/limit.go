// Package warmup bounds the requests that all hosts together send to a cold target in any
// second. It needs no messages: half of the bound is divided among hosts that rendezvous
// hashing of the target selects from the agreed member list, and the other half is kept in
// reserve for hosts that have an older list.
package warmup

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit bounds the requests to a cold target. A zero Rate states no bound.
type Limit struct {
	Rate    float64 // requests a second that the service states
	Overage float64 // factor by which the rate may be exceeded
	Slack   float64 // further requests a second
}

// Bounded reports whether there is a bound.
func (l Limit) Bounded() bool { return l.Rate > 0 }

// PerSecond returns the bound: the most requests in any second, all hosts together.
func (l Limit) PerSecond() float64 { return l.Rate*l.Overage + l.Slack }

// divided returns the part of the bound that is divided among the hosts of one list, in
// requests a second.
func (l Limit) divided() int { return int(math.Floor(min(l.PerSecond()/2, math.MaxInt32))) }

// window is the time in which a host sends no more than its share. It exceeds a second by
// what two requests may differ in the time that they take to a target, so that the bound
// also holds for the seconds of the target.
const window = time.Second + 100*time.Millisecond

// ShareOf returns how many requests a host may send to a cold target within a window,
// given the hosts of the agreed list. It is 0 for a host that is not in the list.
//
// As many hosts as the divided part allows get one request each, so that the sum holds for
// any two lists in use at the same time. A smaller list gets the part in equal shares.
func ShareOf(l Limit, target, self string, hosts []string) int {
	part := l.divided()
	if part == 0 || len(hosts) == 0 {
		return 0
	}
	own, ahead, member := weight(target, self), 0, false
	for _, h := range hosts {
		if h == self {
			member = true
			continue
		}
		if w := weight(target, h); w > own || w == own && h < self {
			ahead++
		}
	}
	switch {
	case !member || ahead >= part:
		return 0
	case len(hosts) >= part:
		return 1
	}
	return part / len(hosts)
}

func weight(target, host string) uint64 { return xxhash.Sum64String(target + "\x00" + host) }
