package orders

import (
	"bytes"
	"container/heap"
	"slices"
	"time"
)

// Status of a request in the ledger.
type Status uint8

// Statuses of a request.
const (
	// Released means that no claim is open and nothing ran.
	Released Status = iota
	// Claimed means that the claimant of Token may dispatch, or has.
	Claimed
	// Uncertain means that the request may have run under Token.
	Uncertain
	// Finished means that Result is recorded.
	Finished
)

// Entry is the state of one request. It is immutable: a change replaces it, so
// that snapshots can share it.
type Entry struct {
	ID           Hash
	Content      Hash
	IssuedAt     int64 // Unix time in milliseconds
	ContentKnown bool  // false until a claim was granted
	Status       Status
	Token        Token // of the last granted claim
	Result       *Result
	Ended        []Token // released claims, oldest first
}

// reply returns the state of the request as seen by the claim with a token.
func (e *Entry) reply(token Token) Reply {
	switch e.Status {
	case Finished:
		return Reply{Outcome: Recorded, Result: e.Result}
	case Uncertain:
		return Reply{Outcome: OutcomeMayHaveRun, Token: e.Token}
	case Claimed:
		if e.Token == token {
			return Reply{Outcome: Granted, Token: token}
		}
		return Reply{Outcome: InProgress, Token: e.Token}
	default:
		if slices.Contains(e.Ended, token) {
			return Reply{Outcome: ClaimEnded, Token: token}
		}
		return Reply{Outcome: Claimable}
	}
}

// withEnded returns the ended claims including t, without the oldest beyond
// the limit.
func (e *Entry) withEnded(t Token, limit int) []Token {
	if slices.Contains(e.Ended, t) {
		return e.Ended
	}
	keep := e.Ended[max(0, len(e.Ended)+1-limit):]
	return append(slices.Clone(keep), t)
}

// HostClock is the latest clock reading received from a host.
type HostClock struct {
	Host string
	At   time.Time
}

// partition is an independent part of the ledger.
type partition struct {
	limits  *Limits
	entries map[Hash]*Entry
	byAge   ageHeap // one element per entry
	bytes   int
	dead    map[string]uint64 // highest dead incarnation by host
	// clocks holds the two host clocks that are furthest ahead, latest first.
	// The partition's time is the second one, so that a single host with a
	// wrong clock can't expire entries.
	clocks [2]HostClock
	now    time.Time
}

func newPartition(limits *Limits) *partition {
	return &partition{limits: limits, entries: map[Hash]*Entry{}, dead: map[string]uint64{}}
}

// horizon returns the time of issue before which IDs are removed and rejected.
func (p *partition) horizon() time.Time {
	if p.now.IsZero() {
		return time.Time{}
	}
	return p.now.Add(-p.limits.Retention)
}

// advance records a host's clock reading and removes entries past retention.
func (p *partition) advance(host string, at time.Time) {
	at = at.Round(0).UTC()
	c := &p.clocks
	switch {
	case c[0].Host == host:
		c[0].At = later(c[0].At, at)
	case c[1].Host == host:
		c[1].At = later(c[1].At, at)
	case at.After(c[1].At):
		c[1] = HostClock{host, at}
	}
	if c[1].At.After(c[0].At) {
		c[0], c[1] = c[1], c[0]
	}
	p.now = later(p.now, c[1].At)
	for len(p.byAge) > 0 && p.expired(p.byAge[0].issuedAt) {
		p.remove(heap.Pop(&p.byAge).(aged).id)
	}
}

// expired reports whether an ID issued at a Unix time in milliseconds is past
// retention.
func (p *partition) expired(issuedAt int64) bool {
	return !p.now.IsZero() && issuedAt < p.horizon().UnixMilli()
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// put adds an entry or replaces the one of the same ID.
func (p *partition) put(e Entry) *Entry {
	old := p.entries[e.ID]
	if old == nil {
		heap.Push(&p.byAge, aged{e.IssuedAt, e.ID})
	}
	p.bytes += e.resultBytes() - old.resultBytes()
	p.entries[e.ID] = &e
	return &e
}

func (p *partition) remove(id Hash) {
	p.bytes -= p.entries[id].resultBytes()
	delete(p.entries, id)
}

func (e *Entry) resultBytes() int {
	if e == nil || e.Result == nil {
		return 0
	}
	return len(e.Result.Body)
}

func (p *partition) claim(c Claim) Reply {
	p.advance(c.Token.Claimant.Host, c.At)
	issued, err := IssuedAt(c.RequestID)
	if err != nil {
		return Reply{Outcome: BadIssueTime}
	}
	if p.expired(issued.UnixMilli()) {
		return Reply{Outcome: Expired}
	}
	id := hashID(c.RequestID)
	e := p.entries[id]
	if e != nil && e.ContentKnown && e.Content != c.Content {
		return Reply{Outcome: Mismatch}
	}
	if e != nil {
		if r := e.reply(c.Token); r.Outcome != Claimable {
			return r
		}
	}
	if r := p.checkClaim(c, issued, e == nil); r != Unknown {
		return Reply{Outcome: r}
	}
	next := Entry{ID: id, IssuedAt: issued.UnixMilli()}
	if e != nil {
		next = *e
	}
	next.Content, next.ContentKnown = c.Content, true
	next.Status, next.Token = Claimed, c.Token
	p.put(next)
	return Reply{Outcome: Granted, Token: c.Token}
}

// checkClaim returns the outcome that rejects a claim for a request that has
// not run, or Unknown if the claim can be granted.
func (p *partition) checkClaim(c Claim, issued time.Time, isNew bool) Outcome {
	claimant := c.Token.Claimant
	if dead, ok := p.dead[claimant.Host]; ok && claimant.Incarnation <= dead {
		return ClaimEnded
	}
	if issued.After(c.At.Add(p.limits.MaxSkew)) || issued.Before(c.At.Add(-p.limits.Retention)) {
		return BadIssueTime
	}
	if isNew && (len(p.entries) >= p.limits.MaxEntries || p.bytes >= p.limits.MaxBytes) {
		return Full
	}
	return Unknown
}

// record stores the result that the claim's holder reports, even after the
// request was marked may_have_run: a known result replaces an unknown outcome.
func (p *partition) record(c Record) Reply {
	p.advance(c.Token.Claimant.Host, c.At)
	e := p.entries[hashID(c.RequestID)]
	if e == nil || e.Token != c.Token || e.Status == Released {
		return Reply{Outcome: Stale}
	}
	if e.Status == Finished {
		return Reply{Outcome: Recorded, Result: e.Result}
	}
	r := c.Result
	if len(r.Body) > p.limits.MaxResult {
		r.Body, r.Truncated = nil, true
	}
	r.Body = bytes.Clone(r.Body)
	next := *e
	next.Status, next.Result, next.Ended = Finished, &r, nil
	p.put(next)
	return Reply{Outcome: Recorded, Result: &r}
}

// release makes the request claimable again if the released claim is its
// current one. It also remembers the token as ended, so that a claim that
// arrives after its release is rejected.
func (p *partition) release(c Release) Reply {
	issued, err := IssuedAt(c.RequestID)
	if err != nil || p.expired(issued.UnixMilli()) {
		return Reply{Outcome: Stale}
	}
	next := Entry{ID: hashID(c.RequestID), IssuedAt: issued.UnixMilli()}
	if e := p.entries[next.ID]; e != nil {
		next = *e
	}
	switch {
	case next.Status == Finished:
		return Reply{Outcome: Stale}
	case next.Status != Released && next.Token == c.Token:
		next.Status = Released
	}
	next.Ended = next.withEnded(c.Token, p.limits.MaxEndedIDs)
	p.put(next)
	return Reply{Outcome: Done}
}

func (p *partition) mark(c MarkMayHaveRun) Reply {
	e := p.entries[hashID(c.RequestID)]
	if e == nil || e.Status != Claimed || e.Token != c.Token {
		return Reply{Outcome: Stale}
	}
	next := *e
	next.Status = Uncertain
	p.put(next)
	return Reply{Outcome: Done}
}

func (p *partition) claimantDied(c Claimant) {
	p.dead[c.Host] = max(p.dead[c.Host], c.Incarnation)
	for _, e := range p.entries {
		t := e.Token.Claimant
		if e.Status == Claimed && t.Host == c.Host && t.Incarnation <= c.Incarnation {
			next := *e
			next.Status = Uncertain
			p.put(next)
		}
	}
}

// aged is an ID with its time of issue in Unix milliseconds.
type aged struct {
	issuedAt int64
	id       Hash
}

// ageHeap is a min-heap of IDs by time of issue.
type ageHeap []aged

func (h ageHeap) Len() int           { return len(h) }
func (h ageHeap) Less(i, j int) bool { return h[i].issuedAt < h[j].issuedAt }
func (h ageHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(aged)) }

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
