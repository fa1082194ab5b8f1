package connections

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// memberList is one agreed list of hosts. It is immutable.
type memberList struct {
	epoch  uint64
	hosts  []string // sorted
	hashes []uint64 // of hosts
	self   int      // index of this host, or -1
}

func newMemberList(epoch uint64, hosts []string, self string) *memberList {
	l := &memberList{epoch: epoch, hosts: slices.Clone(hosts)}
	slices.Sort(l.hosts)
	l.hosts = slices.Compact(l.hosts)
	l.hashes = make([]uint64, len(l.hosts))
	for i, h := range l.hosts {
		l.hashes[i] = xxhash.Sum64String(h)
	}
	l.self = slices.Index(l.hosts, self)
	return l
}

func (l *memberList) has(host string) bool {
	_, ok := slices.BinarySearch(l.hosts, host)
	return ok
}

// split returns this host's part of n connections to a target. All hosts get
// the same number, and the remainder goes to the hosts with the highest
// rendezvous weights for the target (Thaler and Ravishankar, 1998), so that
// different targets favor different hosts.
func (l *memberList) split(target uint64, n int) int {
	if l.self < 0 {
		return 0
	}
	part := n / len(l.hosts)
	if rest := n % len(l.hosts); l.amongFirst(target, rest) {
		part++
	}
	return part
}

// amongFirst reports whether this host is among the n hosts with the highest
// weights for a target. It stops at the n-th host with a higher weight; at
// 8,100 hosts and small limits that is after a few dozen hosts.
func (l *memberList) amongFirst(target uint64, n int) bool {
	own := weight(target, l.hashes[l.self])
	for i, h := range l.hashes {
		if n == 0 {
			return false
		}
		w := weight(target, h)
		if w > own || w == own && i < l.self {
			n--
		}
	}
	return n > 0
}

// holder returns the other host with the highest weight for a target.
func (l *memberList) holder(target uint64) string {
	best := -1
	for i, h := range l.hashes {
		if i != l.self && (best < 0 || weight(target, h) > weight(target, l.hashes[best])) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return l.hosts[best]
}

// weight mixes two hashes with the finalizer of splitmix64 (Steele, Lea and
// Flood, 2014).
func weight(target, host uint64) uint64 {
	x := target ^ host
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
