package spread

import (
	"fmt"
	"slices"
	"time"
)

// Periods and bounds of dissemination.
const (
	CoalesceDelay    = 100 * time.Millisecond // items with their value wait this long for more, unless urgent
	MinOfferDelay    = 250 * time.Millisecond // shortest delay of offers, which announce items from other hosts
	RequestTimeout   = 300 * time.Millisecond
	RetryInterval    = 200 * time.Millisecond
	MaxRetryInterval = 2 * time.Second
	MaxBatchBytes    = 32 << 10 // a single larger item is still sent
	MaxBatchItems    = 512
	MaxPending       = 16_384 // items pending for one neighbour
	resyncBuckets    = 32     // buckets sent between two digests
	digestInterval   = 50 * time.Millisecond
	idleInterval     = 10 * time.Second // between digests that show no progress
)

// State is the dissemination state of one host. It belongs to the control
// goroutine.
type State struct {
	self    string
	session uint64
	source  Source
	peers   map[string]*peer
	order   []string // names of the peers, in the order given
	lastID  uint64
}

// NewState returns the state of a host without neighbours. Session must
// differ between processes of the host.
func NewState(self string, session uint64, source Source) *State {
	return &State{self: self, session: session, source: source, peers: map[string]*peer{}}
}

// Step applies an event.
func (s *State) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return s.tick(now)
	case NeighboursChanged:
		return s.neighboursChanged(now, ev)
	case Updated:
		return s.updated(now, ev)
	case RequestReceived:
		return s.requestReceived(now, ev)
	case ResponseReceived:
		return s.responseReceived(now, &ev.Response)
	case RequestFailed:
		return s.requestFailed(now, ev)
	case Resync:
		if p := s.peers[ev.Peer]; p != nil {
			p.requestDigest()
			return s.flush(now, p)
		}
	}
	return nil
}

// Pending returns the number of items that a neighbour has not acknowledged.
func (s *State) Pending(name string) int {
	p := s.peers[name]
	if p == nil {
		return 0
	}
	if p.inFlight != nil {
		return len(p.pending) + len(p.inFlight.keys)
	}
	return len(p.pending)
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	for _, name := range s.order {
		p := s.peers[name]
		if p.inFlight != nil && now.Sub(p.inFlight.sentAt) >= RequestTimeout {
			p.fail(now)
		}
		effects = append(effects, s.flush(now, p)...)
	}
	return effects
}

func (s *State) neighboursChanged(now time.Time, ev NeighboursChanged) []Effect {
	peers := make(map[string]*peer, len(ev.Peers))
	s.order = s.order[:0]
	var effects []Effect
	for _, given := range ev.Peers {
		if given.Name == s.self || peers[given.Name] != nil {
			continue
		}
		p := s.peers[given.Name]
		if p == nil {
			p = newPeer(s.self, given)
		}
		p.leaf = given.Leaf
		peers[given.Name] = p
		s.order = append(s.order, given.Name)
	}
	s.peers = peers
	for _, name := range s.order {
		effects = append(effects, s.flush(now, s.peers[name])...)
	}
	return effects
}

// updated enqueues a newer item for the neighbours. A version that originates at
// this host or at a leaf is sent with its value. One from another neighbour has
// probably reached the others already, so it is only offered to them, except to
// leaves.
func (s *State) updated(now time.Time, ev Updated) []Effect {
	from := s.peers[ev.From]
	origin := ev.From == "" || from != nil && from.leaf
	var effects []Effect
	for _, name := range s.order {
		p := s.peers[name]
		if p == from {
			continue
		}
		full := origin || p.leaf
		p.enqueue(now, ev.Key, sendMode{full: full, urgent: ev.Urgent && full})
		if len(p.pending) > MaxPending {
			p.reset()
			effects = append(effects, Log{Event: eventOverflow, Peer: name})
		}
		effects = append(effects, s.flush(now, p)...)
	}
	return effects
}

// flush sends the next request to a neighbour if one is due. One request is in
// flight at a time.
func (s *State) flush(now time.Time, p *peer) []Effect {
	if p.inFlight != nil || now.Before(p.retryAt) {
		return nil
	}
	if p.digestDue(now) {
		p.needDigest = false
		d := s.digest(now)
		return s.send(now, p, Request{Digest: &d}, &inFlightRequest{digest: true})
	}
	if !p.due(now) {
		return nil
	}
	items, f := s.batch(now, p)
	if len(items) == 0 {
		return nil
	}
	return s.send(now, p, Request{Items: items}, f)
}

func (s *State) batch(now time.Time, p *peer) ([]Item, *inFlightRequest) {
	f := &inFlightRequest{}
	p.fullSince = time.Time{}
	var items []Item
	size := 0
	for len(items) < MaxBatchItems && size < MaxBatchBytes {
		key, m, ok := p.next()
		if !ok {
			break
		}
		item, ok := s.source.Item(now, key)
		if !ok {
			continue
		}
		if !m.full {
			item = item.offer()
		}
		if len(items) > 0 && size+item.Bytes > MaxBatchBytes {
			p.enqueue(now, key, m)
			break
		}
		items = append(items, item)
		size += item.Bytes
		f.keys = append(f.keys, key)
		f.modes = append(f.modes, m)
	}
	return items, f
}

func (s *State) send(now time.Time, p *peer, req Request, f *inFlightRequest) []Effect {
	s.lastID++
	req.From, req.Session, req.ID = s.self, s.session, s.lastID
	f.id, f.sentAt = s.lastID, now
	p.inFlight = f
	return []Effect{Send{To: p.name, Request: req}}
}

func (s *State) digest(now time.Time) Digest {
	var d Digest
	for item := range s.source.Items(now) {
		d.add(&item)
	}
	return d
}

// requestReceived compares the items of a neighbour with the current versions,
// delivers the newer ones and replies.
func (s *State) requestReceived(now time.Time, ev RequestReceived) []Effect {
	req := &ev.Request
	p := s.peers[req.From]
	effects := s.checkSession(p, req.Session)
	resp := Response{From: s.self, Session: s.session, ID: req.ID}
	if req.Malformed > 0 {
		effects = append(effects, Log{Event: eventMalformed, Peer: req.From, Detail: fmt.Sprintf("%d items, first: %s", req.Malformed, req.MalformedReason)})
	}
	var newer []Item
	for i := range req.Items {
		item := &req.Items[i]
		order := s.compare(now, item)
		switch {
		case order > 0 && item.IsOffer():
			resp.Wanted = append(resp.Wanted, item.Key)
		case order > 0:
			newer = append(newer, *item)
			if p != nil {
				p.removePending(item.Key)
			}
		case p != nil && order == 0:
			p.removePending(item.Key)
		case p != nil:
			p.enqueue(now, item.Key, sendMode{full: true})
		}
	}
	if len(newer) > 0 {
		effects = append(effects, Deliver{From: req.From, Items: newer})
	}
	if req.Digest != nil {
		d := s.digest(now)
		resp.Digest = &d
		if p != nil {
			p.needDigest = false
			s.reconcile(now, p, &d, req.Digest)
		}
	}
	effects = append(effects, Reply{Call: ev.Call, Response: resp})
	if p != nil {
		effects = append(effects, s.flush(now, p)...)
	}
	return effects
}

// compare compares the version of a received item with the current one.
func (s *State) compare(now time.Time, item *Item) int {
	local, ok := s.source.Item(now, item.Key)
	if !ok {
		return 1
	}
	return item.Version.Compare(local.Version)
}

func (s *State) responseReceived(now time.Time, resp *Response) []Effect {
	p := s.peers[resp.From]
	if p == nil || p.inFlight == nil || p.inFlight.id != resp.ID {
		return nil
	}
	f := p.inFlight
	p.inFlight = nil
	p.failures = 0
	effects := s.checkSession(p, resp.Session)
	for _, key := range resp.Wanted {
		p.enqueue(now, key, sendMode{full: true, urgent: true})
	}
	if f.digest && resp.Digest != nil {
		d := s.digest(now)
		s.reconcile(now, p, &d, resp.Digest)
	}
	return append(effects, s.flush(now, p)...)
}

func (s *State) requestFailed(now time.Time, ev RequestFailed) []Effect {
	p := s.peers[ev.To]
	if p == nil || p.inFlight == nil || p.inFlight.id != ev.ID {
		return nil
	}
	p.fail(now)
	return s.flush(now, p)
}

// checkSession resets the state of a neighbour that has restarted.
func (s *State) checkSession(p *peer, session uint64) []Effect {
	if p == nil || p.session == session {
		return nil
	}
	restarted := p.session != 0
	p.session = session
	if !restarted {
		return nil
	}
	p.reset()
	return []Effect{Log{Event: eventRestarted, Peer: p.name}}
}

// reconcile enqueues the items of differing buckets for a neighbour. It takes at
// most resyncBuckets of them and requests another digest afterwards, because the
// neighbour receives items from other hosts meanwhile and the number of pending
// items must stay bounded. Without progress the next digest waits longer.
func (s *State) reconcile(now time.Time, p *peer, own, theirs *Digest) {
	var chosen [Buckets]bool
	differing, taken := 0, 0
	for i := range Buckets {
		b := (p.startBucket + i) % Buckets
		if own[b] == theirs[b] {
			continue
		}
		differing++
		if taken < resyncBuckets {
			chosen[b] = true
			taken++
		}
	}
	if differing > taken {
		p.needDigest = true
		p.digestAt = now.Add(digestInterval)
		if differing >= p.differing {
			p.digestAt = now.Add(idleInterval)
		}
	}
	p.differing = differing
	if taken == 0 {
		return
	}
	var keys []Key
	for item := range s.source.Items(now) {
		if chosen[item.Key.bucket()] {
			keys = append(keys, item.Key)
		}
	}
	slices.SortFunc(keys, Key.Compare) // the source is unordered, and replays need a fixed order
	for _, key := range keys {
		p.enqueue(now, key, sendMode{full: true})
	}
}
