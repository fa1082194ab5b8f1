package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// sendMode says how an item is to be sent to a neighbour.
type sendMode struct {
	full   bool // with its value, not only as an offer
	urgent bool
}

// inFlightRequest is a request that awaits its response.
type inFlightRequest struct {
	id     uint64
	sentAt time.Time
	keys   []Key
	modes  []sendMode
	digest bool
}

// peer is the state of a neighbour: the items that it has not acknowledged, the
// request in flight and the next digest.
type peer struct {
	name         string
	leaf         bool
	session      uint64
	needDigest   bool
	digestAt     time.Time // earliest time for the next digest
	differing    int       // buckets that differed at the last digest
	startBucket  int       // bucket where this host starts to resynchronize
	pending      map[Key]sendMode
	urgent       []Key // queues of pending keys; entries no longer pending are skipped
	normal       []Key
	pendingSince time.Time
	fullSince    time.Time // when the first pending item with its value was added
	offerDelay   time.Duration
	inFlight     *inFlightRequest
	failures     int
	retryAt      time.Time
}

// newPeer returns the state of a neighbour whose versions are unknown. The
// first bucket to resynchronize depends on both hosts, so that two relays start
// with different buckets when they bring a new host up to date.
func newPeer(self string, p Peer) *peer {
	return &peer{
		name:        p.Name,
		leaf:        p.Leaf,
		needDigest:  true,
		differing:   Buckets + 1,
		startBucket: int(xxhash.Sum64String(self+"\x00"+p.Name) % Buckets),
		pending:     map[Key]sendMode{},
		offerDelay:  offerDelay(self, p.Name),
	}
}

// offerDelay returns how long offers wait. It differs between the two sides, so
// that of two neighbours that got the same item from a third host, one receives
// the other's offer before it sends its own.
func offerDelay(self, neighbour string) time.Duration {
	if self < neighbour {
		return MinOfferDelay
	}
	return 2 * MinOfferDelay
}

// reset drops the pending items and requests a digest instead, because the
// neighbour restarted or has too many pending items.
func (p *peer) reset() {
	p.pending = map[Key]sendMode{}
	p.urgent, p.normal = nil, nil
	p.inFlight = nil
	p.requestDigest()
}

func (p *peer) requestDigest() {
	p.needDigest = true
	p.differing = Buckets + 1
	p.digestAt = time.Time{}
}

// digestDue reports whether a digest is to be sent. After the first digest, the
// next one waits until no items are pending, or for a second after digestAt.
func (p *peer) digestDue(now time.Time) bool {
	if !p.needDigest || now.Before(p.digestAt) {
		return false
	}
	return len(p.pending) == 0 || p.differing > Buckets || now.Sub(p.digestAt) > time.Second
}

// enqueue adds an item to those that the neighbour has not acknowledged.
func (p *peer) enqueue(now time.Time, key Key, m sendMode) {
	old, ok := p.pending[key]
	merged := sendMode{full: m.full || old.full, urgent: m.urgent || old.urgent}
	if ok && merged == old {
		return
	}
	if len(p.pending) == 0 {
		p.pendingSince = now
	}
	if merged.full && p.fullSince.IsZero() {
		p.fullSince = now
	}
	p.pending[key] = merged
	if merged.urgent && !old.urgent {
		p.urgent = append(p.urgent, key)
	} else if !ok {
		p.normal = append(p.normal, key)
	}
}

// removePending removes an item whose current version the neighbour has.
func (p *peer) removePending(key Key) { delete(p.pending, key) }

// hasUrgent reports whether an urgent item is pending. It drops queue entries
// that are no longer pending.
func (p *peer) hasUrgent() bool {
	for len(p.urgent) > 0 {
		if m, ok := p.pending[p.urgent[0]]; ok && m.urgent {
			return true
		}
		p.urgent = p.urgent[1:]
	}
	return false
}

// due reports whether the pending items have waited long enough to be sent.
func (p *peer) due(now time.Time) bool {
	if len(p.pending) == 0 {
		p.fullSince = time.Time{}
		return false
	}
	full := !p.fullSince.IsZero() && now.Sub(p.fullSince) >= CoalesceDelay
	return full || now.Sub(p.pendingSince) >= p.offerDelay || p.hasUrgent()
}

// next removes and returns the next item to send, urgent ones first.
func (p *peer) next() (Key, sendMode, bool) {
	for _, queue := range []*[]Key{&p.urgent, &p.normal} {
		for len(*queue) > 0 {
			key := (*queue)[0]
			*queue = (*queue)[1:]
			if m, ok := p.pending[key]; ok {
				delete(p.pending, key)
				return key, m, true
			}
		}
	}
	return Key{}, sendMode{}, false
}

// fail returns the items of the request in flight to the queues and schedules a
// retry.
func (p *peer) fail(now time.Time) {
	f := p.inFlight
	p.inFlight = nil
	for i, key := range f.keys {
		p.enqueue(now, key, f.modes[i])
	}
	p.needDigest = p.needDigest || f.digest
	p.retryAt = now.Add(backoff(p.failures))
	p.failures++
}

// backoff returns the delay before a retry after a number of earlier failures.
// The first retry is immediate, so that one lost message delays a drain by one
// timeout only.
func backoff(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(RetryInterval<<min(failures-1, 8), MaxRetryInterval)
}
