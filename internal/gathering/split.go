package gathering

import (
	"math/bits"
	"slices"
)

// Part is the share of a gather that one gatherer carries out.
type Part struct {
	Domain string // failure domain whose gatherers are preferred
	Shards []int  // indexes into the shards of the gather, ascending
}

// Limits for splitting a gather.
const (
	// shardsPerPart is the number of shards for which a gather gets another part.
	// The work for a shard's reply takes a strong host about 0.3 ms, one after the
	// other, so that a part takes a fifth of a latency objective of 100 ms.
	shardsPerPart = 60
	// maxParts bounds the parts, each of which costs the host that asked a request.
	maxParts = 6
	// MaxDomains bounds the failure domains among which a gather is divided.
	MaxDomains = 64
)

// Domains is a set of failure domains, as bits that are indexes into a list.
type Domains uint64

// Has reports whether the set has the domain at an index.
func (s Domains) Has(i int) bool { return s&(1<<i) != 0 }

// DomainsOf returns the failure domains of gatherers, sorted, at most MaxDomains.
func DomainsOf(gatherers []Host) []string {
	var out []string
	for _, h := range gatherers {
		out = append(out, h.FailureDomain)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), MaxDomains)]
}

// Splits returns the ways to divide a gather among gatherers in different failure
// domains, one for each domain that has gatherers. Requests take turns among them, so
// that the gatherers share the load. It returns nil for a gather that is not divided.
//
// domains lists the failure domains that have a gatherer, at most MaxDomains, and
// holders, for each shard, which of them have a searcher of it. A shard belongs to a
// part whose domain holds it if there is one: its reply then stays within the domain,
// and only the merged reply of the part crosses to the host that asked.
func Splits(holders []Domains, domains []string) [][]Part {
	n := min((len(holders)+shardsPerPart-1)/shardsPerPart, maxParts, len(domains))
	if n < 2 {
		return nil
	}
	out := make([][]Part, len(domains))
	for i := range domains {
		out[i] = assign(holders, domains, cover(holders, i, len(domains), n))
	}
	return out
}

// cover returns the indexes of n domains: the first one and then always the one that
// holds most of the shards that no chosen one holds, from the first one onwards.
func cover(holders []Domains, first, domains, n int) []int {
	chosen := []int{first}
	var set Domains = 1 << first
	for len(chosen) < n {
		best, most := -1, -1
		for k := 1; k < domains; k++ {
			d := (first + k) % domains
			if set.Has(d) {
				continue
			}
			gain := 0
			for _, h := range holders {
				if h&set == 0 && h.Has(d) {
					gain++
				}
			}
			if gain > most {
				best, most = d, gain
			}
		}
		chosen = append(chosen, best)
		set |= 1 << best
	}
	return chosen
}

// assign divides the shards among the chosen domains: first the shards that fewest of
// them hold, each to the domain with the fewest shards among those that hold it. A
// shard that none of them holds evens out the parts.
func assign(holders []Domains, domains []string, chosen []int) []Part {
	parts := make([]Part, len(chosen))
	var set Domains
	for k, d := range chosen {
		parts[k].Domain = domains[d]
		set |= 1 << d
	}
	byHolders := make([][]int, len(chosen)+1)
	for i, h := range holders {
		n := bits.OnesCount64(uint64(h & set))
		byHolders[n] = append(byHolders[n], i)
	}
	byHolders = append(byHolders[1:], byHolders[0])
	for _, shards := range byHolders {
		for _, i := range shards {
			best := -1
			for k, d := range chosen {
				if holders[i]&set != 0 && !holders[i].Has(d) {
					continue
				}
				if best < 0 || len(parts[k].Shards) < len(parts[best].Shards) {
					best = k
				}
			}
			parts[best].Shards = append(parts[best].Shards, i)
		}
	}
	for k := range parts {
		slices.Sort(parts[k].Shards)
	}
	return slices.DeleteFunc(parts, func(p Part) bool { return len(p.Shards) == 0 })
}
