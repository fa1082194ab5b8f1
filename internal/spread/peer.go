package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// mark says how an item is owed to a neighbour.
type mark struct {
	full   bool // with its value, not only as an offer
	urgent bool
}

// flight is a request that awaits its response.
type flight struct {
	id     uint64
	sentAt time.Time
	keys   []Key
	marks  []mark
	digest bool
}

// peer is what a neighbour has not acknowledged yet.
type peer struct {
	name       string
	leaf       bool
	session    uint64
	needDigest bool
	digestAt   time.Time // earliest time for the next digest
	differing  int       // buckets that differed at the last digest
	start      int       // bucket where this host starts to resynchronize
	dirty      map[Key]mark
	urgent     []Key // queues of dirty keys; entries no longer dirty are skipped
	normal     []Key
	dirtySince time.Time
	fullSince  time.Time // when an item with its value was first owed
	offerDelay time.Duration
	flight     *flight
	failures   int
	retryAt    time.Time
}

// newPeer returns a neighbour to which everything may be news. The starting
// bucket differs between neighbours, so that two relays that bring a new host
// up to date begin with different parts.
func newPeer(self string, p Peer) *peer {
	return &peer{
		name:       p.Name,
		leaf:       p.Leaf,
		needDigest: true,
		differing:  Buckets + 1,
		start:      int(xxhash.Sum64String(self+"\x00"+p.Name) % Buckets),
		dirty:      map[Key]mark{},
		offerDelay: offerDelay(self, p.Name),
	}
}

// offerDelay is how long offers wait. Of two neighbours that got the same news
// from a third, the later one to offer it has heard from the other by then.
func offerDelay(self, neighbour string) time.Duration {
	if self < neighbour {
		return OfferTime
	}
	return 2 * OfferTime
}

// reset forgets what the neighbour acknowledged, because it restarted or
// because too much is owed to it.
func (p *peer) reset() {
	p.dirty = map[Key]mark{}
	p.urgent, p.normal = nil, nil
	p.flight = nil
	p.requestDigest()
}

func (p *peer) requestDigest() {
	p.needDigest = true
	p.differing = Buckets + 1
	p.digestAt = time.Time{}
}

// digestDue reports whether a digest is to be sent. A second one waits until
// the neighbour has what the first one showed, or for a second at most.
func (p *peer) digestDue(now time.Time) bool {
	if !p.needDigest || now.Before(p.digestAt) {
		return false
	}
	return len(p.dirty) == 0 || p.differing > Buckets || now.Sub(p.digestAt) > time.Second
}

// owe marks an item as not acknowledged.
func (p *peer) owe(now time.Time, key Key, m mark) {
	old, ok := p.dirty[key]
	merged := mark{full: m.full || old.full, urgent: m.urgent || old.urgent}
	if ok && merged == old {
		return
	}
	if len(p.dirty) == 0 {
		p.dirtySince = now
	}
	if merged.full && p.fullSince.IsZero() {
		p.fullSince = now
	}
	p.dirty[key] = merged
	if merged.urgent && !old.urgent {
		p.urgent = append(p.urgent, key)
	} else if !ok {
		p.normal = append(p.normal, key)
	}
}

// settle notes that the neighbour has the present version of an item.
func (p *peer) settle(key Key) { delete(p.dirty, key) }

// hasUrgent reports whether an urgent item is owed, and drops queue entries
// that are owed no longer.
func (p *peer) hasUrgent() bool {
	for len(p.urgent) > 0 {
		if m, ok := p.dirty[p.urgent[0]]; ok && m.urgent {
			return true
		}
		p.urgent = p.urgent[1:]
	}
	return false
}

// due reports whether what is owed has waited long enough.
func (p *peer) due(now time.Time) bool {
	if len(p.dirty) == 0 {
		p.fullSince = time.Time{}
		return false
	}
	full := !p.fullSince.IsZero() && now.Sub(p.fullSince) >= CoalesceTime
	return full || now.Sub(p.dirtySince) >= p.offerDelay || p.hasUrgent()
}

// next removes and returns the next item to send, urgent ones first.
func (p *peer) next() (Key, mark, bool) {
	for _, queue := range []*[]Key{&p.urgent, &p.normal} {
		for len(*queue) > 0 {
			key := (*queue)[0]
			*queue = (*queue)[1:]
			if m, ok := p.dirty[key]; ok {
				delete(p.dirty, key)
				return key, m, true
			}
		}
	}
	return Key{}, mark{}, false
}

// fail takes back what the request in flight carried.
func (p *peer) fail(now time.Time) {
	f := p.flight
	p.flight = nil
	for i, key := range f.keys {
		p.owe(now, key, f.marks[i])
	}
	p.needDigest = p.needDigest || f.digest
	p.retryAt = now.Add(backoff(p.failures))
	p.failures++
}

// backoff is how long to wait after a number of failures. The first retry is
// immediate, so that one lost message delays a drain by one timeout only.
func backoff(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(RetryInterval<<min(failures-1, 8), MaxRetryInterval)
}
