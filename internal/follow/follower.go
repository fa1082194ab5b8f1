package follow

import (
	"slices"
	"time"
)

// maxPollsInFlight bounds the send times that a follower keeps per feed.
const maxPollsInFlight = 16

// activeFeeds is how many feeds a host polls.
const activeFeeds = 2

type feedState struct {
	host     FeedHost
	lastSeen time.Time
	// confirmedAt is when the leader confirmed what the feed has, as far as is
	// known, or when the feed was taken into use.
	confirmedAt time.Time
	polls       map[uint64]time.Time // send time by sequence number
	sent        time.Time
}

// Follower is the part of a host that keeps its configuration current.
//
// Invariant: the revision never goes back, and changes are applied in the
// order of consecutive revisions. A confirmation of a term lower than the
// highest seen is ignored.
type Follower struct {
	self      string
	hasLog    bool // the host's own replicated log brings the changes
	revision  uint64
	plan      uint64 // version of the route plan in force here
	confirmed bool   // some update confirmed the configuration
	term      uint64
	seq       uint64
	feeds     []*feedState
	known     []FeedHost
	next      int // position in known from which a replacement is taken
}

// NewFollower returns the follower of the host self. With hasLog it only
// gathers confirmations, because the host's own log brings the changes.
func NewFollower(self string, hasLog bool) *Follower {
	return &Follower{self: self, hasLog: hasLog}
}

// Revision returns the latest revision that was handed to Apply or Restore.
func (f *Follower) Revision() uint64 { return f.revision }

// SetRevision tells a follower with hasLog the revision that its log reached.
func (f *Follower) SetRevision(r uint64) { f.revision = max(f.revision, r) }

// SetPlanVersion tells the follower which route plan is in force here.
func (f *Follower) SetPlanVersion(v uint64) { f.plan = max(f.plan, v) }

// Feeds returns the names of the feeds in use.
func (f *Follower) Feeds() []string {
	var out []string
	for _, s := range f.feeds {
		out = append(out, s.host.Host)
	}
	return out
}

// Step advances the follower by one event.
func (f *Follower) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return append(f.replaceSilent(now), f.poll(now)...)
	case UpdateReceived:
		return f.update(now, ev.Update)
	case FeedsChanged:
		return f.feedsChanged(now, ev.Feeds)
	case PeerAhead:
		return f.peerAhead(now, ev)
	case PlanApplied:
		f.SetPlanVersion(ev.Version)
	}
	return nil
}

func (f *Follower) poll(now time.Time) []Effect {
	var out []Effect
	for _, s := range f.feeds {
		if now.Sub(s.sent) >= f.pollInterval() {
			out = append(out, f.pollFeed(now, s))
		}
	}
	return out
}

// pollInterval is shorter until the first confirmation, for which a host that
// has just started waits.
func (f *Follower) pollInterval() time.Duration {
	if f.confirmed {
		return PollInterval
	}
	return FirstPollInterval
}

func (f *Follower) pollFeed(now time.Time, s *feedState) Effect {
	f.seq++
	s.sent = now
	if len(s.polls) >= maxPollsInFlight {
		clear(s.polls)
	}
	s.polls[f.seq] = now
	return SendPoll{To: s.host.Host, Poll: Poll{From: f.self, Seq: f.seq, Revision: f.revision, Plan: f.plan}}
}

func (f *Follower) update(now time.Time, u Update) []Effect {
	// A plan's version orders it, whatever the term of the feed.
	out := f.takePlan(u)
	if u.Term < f.term {
		return out
	}
	f.term = u.Term
	out = append(out, f.take(u)...)
	i := slices.IndexFunc(f.feeds, func(s *feedState) bool { return s.host.Host == u.From })
	if i < 0 || u.Seq == 0 {
		return out
	}
	s := f.feeds[i]
	sent, ok := s.polls[u.Seq]
	if !ok {
		return out
	}
	delete(s.polls, u.Seq)
	s.lastSeen = now
	if u.Confirmed {
		s.confirmedAt = sent.Add(-u.ConfirmedAge)
	}
	// The leader's confirmation is at least as old as the poll's send time,
	// so network delay can't make it look younger.
	if u.Confirmed && u.ConfirmedRevision <= f.revision {
		f.confirmed = true
		out = append(out, Confirmed{Term: u.Term, Revision: u.ConfirmedRevision, At: sent.Add(-u.ConfirmedAge)})
	}
	if u.Confirmed && u.ConfirmedRevision > f.revision {
		out = append(out, f.pollFeed(now, s))
	}
	return out
}

func (f *Follower) takePlan(u Update) []Effect {
	if u.Plan == nil || u.Plan.Version <= f.plan {
		return nil
	}
	f.plan = u.Plan.Version
	return []Effect{ApplyPlan{Document: u.Plan}}
}

// take returns the effects that bring the configuration up to the update.
func (f *Follower) take(u Update) []Effect {
	if f.hasLog {
		return nil
	}
	if u.State != nil && u.State.Revision > f.revision {
		f.revision = u.State.Revision
		return []Effect{Restore{State: *u.State}}
	}
	var fresh []Accepted
	for _, a := range u.Changes {
		if a.Revision == f.revision+1 {
			f.revision++
			fresh = append(fresh, a)
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	return []Effect{Apply{Changes: fresh}}
}

func (f *Follower) feedsChanged(now time.Time, feeds []FeedHost) []Effect {
	f.known = slices.DeleteFunc(slices.Clone(feeds), func(h FeedHost) bool { return h.Host == f.self })
	f.feeds = slices.DeleteFunc(f.feeds, func(s *feedState) bool { return !slices.Contains(f.known, s.host) })
	f.next = 0
	f.fill(now)
	return f.poll(now)
}

func (f *Follower) fill(now time.Time) {
	for len(f.feeds) < activeFeeds {
		h, ok := f.candidate()
		if !ok {
			return
		}
		f.feeds = append(f.feeds, newFeedState(now, h))
	}
}

func newFeedState(now time.Time, h FeedHost) *feedState {
	return &feedState{host: h, lastSeen: now, confirmedAt: now, polls: make(map[uint64]time.Time)}
}

// candidate returns the next known feed that is not in use, and prefers one
// in a failure domain that no feed in use is in.
func (f *Follower) candidate() (FeedHost, bool) {
	var fallback *FeedHost
	for i := range f.known {
		h := f.known[(f.next+i)%len(f.known)]
		if slices.ContainsFunc(f.feeds, func(s *feedState) bool { return s.host.Host == h.Host }) {
			continue
		}
		if !slices.ContainsFunc(f.feeds, func(s *feedState) bool { return s.host.FailureDomain == h.FailureDomain }) {
			f.next = (f.next + i + 1) % len(f.known)
			return h, true
		}
		if fallback == nil {
			fallback = &h
		}
	}
	if fallback == nil {
		return FeedHost{}, false
	}
	f.next = (f.next + 1) % len(f.known)
	return *fallback, true
}

func (f *Follower) replaceSilent(now time.Time) []Effect {
	f.fill(now)
	var out []Effect
	for i, s := range f.feeds {
		if now.Sub(s.lastSeen) > FeedTimeout || now.Sub(s.confirmedAt) > StaleFeedTimeout {
			out = append(out, f.replace(now, i)...)
		}
	}
	return out
}

func (f *Follower) replace(now time.Time, i int) []Effect {
	old := f.feeds[i].host
	h, ok := f.candidate()
	if !ok {
		return nil
	}
	f.feeds[i] = newFeedState(now, h)
	return []Effect{FeedReplaced{Old: old.Host, New: h.Host}}
}

// peerAhead puts a peer that has a newer revision in the place of the feed
// that answered least recently.
func (f *Follower) peerAhead(now time.Time, ev PeerAhead) []Effect {
	if ev.Revision <= f.revision || f.hasLog || ev.Host == f.self {
		return nil
	}
	if slices.Contains(f.Feeds(), ev.Host) {
		return f.poll(now)
	}
	fresh := newFeedState(now, FeedHost{Host: ev.Host})
	if len(f.feeds) < activeFeeds {
		f.feeds = append(f.feeds, fresh)
		return f.poll(now)
	}
	oldest := 0
	for i, s := range f.feeds {
		if s.lastSeen.Before(f.feeds[oldest].lastSeen) {
			oldest = i
		}
	}
	out := []Effect{FeedReplaced{Old: f.feeds[oldest].host.Host, New: ev.Host}}
	f.feeds[oldest] = fresh
	return append(out, f.poll(now)...)
}
