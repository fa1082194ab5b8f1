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
	// Claimed means that the holder of Token may dispatch, or has.
	Claimed
	// Uncertain means that the request may have run under Token.
	Uncertain
	// Finished means that Result is known.
	Finished
)

// Entry is what a partition keeps of one request.
type Entry struct {
	ID       Hash
	Content  Hash
	Bound    bool // Content is known
	IssuedAt time.Time
	Status   Status
	Token    Token // of the last granted claim
	Result   *Result
	Ended    []Token // released claims, oldest first
}

// answer tells a claimant where the request stands.
func (e *Entry) answer(by Token) Reply {
	switch e.Status {
	case Finished:
		return Reply{Outcome: Recorded, Result: e.Result}
	case Uncertain:
		return Reply{Outcome: OutcomeMayHaveRun, Token: e.Token}
	case Claimed:
		if e.Token == by {
			return Reply{Outcome: Granted, Token: by}
		}
		return Reply{Outcome: InProgress, Token: e.Token}
	default:
		if slices.Contains(e.Ended, by) {
			return Reply{Outcome: ClaimEnded, Token: by}
		}
		return Reply{Outcome: Open}
	}
}

func (e *Entry) end(t Token, limit int) {
	if slices.Contains(e.Ended, t) {
		return
	}
	e.Ended = append(e.Ended, t)
	if len(e.Ended) > limit {
		e.Ended = slices.Delete(e.Ended, 0, len(e.Ended)-limit)
	}
}

// HostClock is the latest time that a host has shown.
type HostClock struct {
	Host string
	At   time.Time
}

// partition is a part of the ledger that shares nothing with the others.
type partition struct {
	limits  *Limits
	entries map[Hash]*Entry
	byAge   ageHeap
	bytes   int
	dead    map[string]uint64 // highest dead incarnation by host
	// clocks are the two hosts whose clocks are furthest ahead, the first
	// ahead of the second. Time is the second one's, so that a single host
	// with a wrong clock can't make the ledger forget.
	clocks [2]HostClock
	now    time.Time
}

func newPartition(limits *Limits) *partition {
	return &partition{limits: limits, entries: map[Hash]*Entry{}, dead: map[string]uint64{}}
}

// horizon is the time before which issued IDs are forgotten and refused.
func (p *partition) horizon() time.Time {
	if p.now.IsZero() {
		return time.Time{}
	}
	return p.now.Add(-p.limits.Retention)
}

// advance takes in a host's clock and forgets what is past retention.
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
	for len(p.byAge) > 0 && p.byAge[0].IssuedAt.Before(p.horizon()) {
		p.remove(heap.Pop(&p.byAge).(*Entry))
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (p *partition) add(e *Entry) {
	p.entries[e.ID] = e
	heap.Push(&p.byAge, e)
	if e.Result != nil {
		p.bytes += len(e.Result.Body)
	}
}

func (p *partition) remove(e *Entry) {
	delete(p.entries, e.ID)
	if e.Result != nil {
		p.bytes -= len(e.Result.Body)
	}
}

func (p *partition) claim(c Claim) Reply {
	p.advance(c.Token.Claimant.Host, c.At)
	issued, err := IssuedAt(c.RequestID)
	if err != nil {
		return Reply{Outcome: BadIssueTime}
	}
	if issued.Before(p.horizon()) {
		return Reply{Outcome: Expired}
	}
	id := hashID(c.RequestID)
	e := p.entries[id]
	if e != nil && e.Bound && e.Content != c.Content {
		return Reply{Outcome: Mismatch}
	}
	if e != nil {
		if r := e.answer(c.Token); r.Outcome != Open {
			return r
		}
	}
	if r := p.refuse(c, issued, e == nil); r != Unknown {
		return Reply{Outcome: r}
	}
	if e == nil {
		e = &Entry{ID: id, IssuedAt: issued}
		p.add(e)
	}
	e.Content, e.Bound = c.Content, true
	e.Status, e.Token = Claimed, c.Token
	return Reply{Outcome: Granted, Token: c.Token}
}

// refuse returns why a claim under which nothing ran can't be granted, or
// Unknown.
func (p *partition) refuse(c Claim, issued time.Time, isNew bool) Outcome {
	who := c.Token.Claimant
	if dead, ok := p.dead[who.Host]; ok && who.Incarnation <= dead {
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

// record accepts the result from the holder of the claim, even after the
// claim was marked: the result is knowledge, and the mark was the lack of it.
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
	e.Status, e.Result, e.Ended = Finished, &r, nil
	p.bytes += len(r.Body)
	return Reply{Outcome: Recorded, Result: e.Result}
}

// release re-arms the request if the claim is the one that is open. A claim
// that is still on its way is refused when it comes.
func (p *partition) release(c Release) Reply {
	issued, err := IssuedAt(c.RequestID)
	if err != nil || issued.Before(p.horizon()) {
		return Reply{Outcome: Stale}
	}
	id := hashID(c.RequestID)
	e := p.entries[id]
	if e == nil {
		e = &Entry{ID: id, IssuedAt: issued}
		p.add(e)
	}
	switch {
	case e.Status == Finished:
		return Reply{Outcome: Stale}
	case e.Status != Released && e.Token == c.Token:
		e.Status = Released
	}
	e.end(c.Token, p.limits.MaxEndedIDs)
	return Reply{Outcome: Done}
}

func (p *partition) mark(c MarkMayHaveRun) Reply {
	e := p.entries[hashID(c.RequestID)]
	if e == nil || e.Status != Claimed || e.Token != c.Token {
		return Reply{Outcome: Stale}
	}
	e.Status = Uncertain
	return Reply{Outcome: Done}
}

func (p *partition) claimantDied(c Claimant) {
	p.dead[c.Host] = max(p.dead[c.Host], c.Incarnation)
	for _, e := range p.entries {
		t := e.Token.Claimant
		if e.Status == Claimed && t.Host == c.Host && t.Incarnation <= c.Incarnation {
			e.Status = Uncertain
		}
	}
}

// ageHeap orders entries by the time of issue.
type ageHeap []*Entry

func (h ageHeap) Len() int           { return len(h) }
func (h ageHeap) Less(i, j int) bool { return h[i].IssuedAt.Before(h[j].IssuedAt) }
func (h ageHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(*Entry)) }

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
