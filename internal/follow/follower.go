package follow

import (
	"slices"
	"time"
)

// maxPollsInFlight is the maximum number of polls in flight per feed. At the
// limit their send times are dropped, and their answers confirm nothing.
const maxPollsInFlight = 16

// activeFeeds is the number of feeds that a host polls.
const activeFeeds = 2

type feedState struct {
	host     FeedHost
	lastSeen time.Time
	// confirmedAt is the time of the leader's last confirmation that the feed has
	// reported, or the time at which the follower began to use the feed.
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
	self        string
	hasLog      bool // the host's own replicated log supplies the changes
	revision    uint64
	plan        uint64 // version of the route plan in force here
	withdrawals uint64 // revision of the withdrawals in force here
	confirmed   bool   // an update has confirmed the configuration
	term        uint64
	seq         uint64
	feeds       []*feedState
	known       []FeedHost
	next        int // index in known at which the search for a feed starts
	ahead       aheadPeer
}

// NewFollower returns the follower of the host self. With hasLog it only
// collects confirmations, because the host's own log supplies the changes.
func NewFollower(self string, hasLog bool) *Follower {
	return &Follower{self: self, hasLog: hasLog}
}

// Revision returns the latest revision, including changes in effects that were
// already returned.
func (f *Follower) Revision() uint64 { return f.revision }

// SetRevision records the revision of the host's configuration, which the log
// advances on a host with hasLog.
func (f *Follower) SetRevision(r uint64) { f.revision = max(f.revision, r) }

// SetPlanVersion records the version of the route plan in force at this host.
func (f *Follower) SetPlanVersion(v uint64) { f.plan = max(f.plan, v) }

// SetWithdrawals records the revision of the withdrawals in force at this host.
func (f *Follower) SetWithdrawals(revision uint64) { f.withdrawals = max(f.withdrawals, revision) }

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
		return slices.Concat(f.replaceFailedFeeds(now), f.poll(now), f.catchUp(now))
	case UpdateReceived:
		return f.updateReceived(now, ev.Update)
	case FeedsChanged:
		return f.feedsChanged(now, ev.Feeds)
	case PeerAhead:
		return f.peerAhead(now, ev)
	case PlanAhead:
		f.planAhead(now, ev)
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

// pollInterval returns the interval between polls. It is shorter until the first
// confirmation, because a host that has just started waits for that.
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
	return SendPoll{To: s.host.Host, Poll: Poll{From: f.self, Seq: f.seq, Revision: f.revision, Plan: f.plan, Withdrawals: f.withdrawals}}
}

func (f *Follower) updateReceived(now time.Time, u Update) []Effect {
	// Route plans are ordered by version and withdrawals by revision, so an update of
	// an older term may carry newer ones.
	out := append(f.applyWithdrawals(u), f.applyPlan(u)...)
	if u.Term < f.term {
		return out
	}
	f.term = u.Term
	out = append(out, f.applyConfig(u)...)
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
	// The feed stated the age after the poll was sent, so network delay can make
	// the confirmation look older but never newer.
	if u.Confirmed && u.ConfirmedRevision <= f.revision {
		f.confirmed = true
		out = append(out, Confirmed{Term: u.Term, Revision: u.ConfirmedRevision, Plan: u.ConfirmedPlan, Withdrawals: u.ConfirmedWithdrawals, At: sent.Add(-u.ConfirmedAge)})
	}
	if u.Confirmed && u.ConfirmedRevision > f.revision {
		out = append(out, f.pollFeed(now, s))
	}
	return out
}

func (f *Follower) applyPlan(u Update) []Effect {
	if u.Plan == nil || u.Plan.Version <= f.plan {
		return nil
	}
	f.plan = u.Plan.Version
	return []Effect{ApplyPlan{Document: u.Plan}}
}

func (f *Follower) applyWithdrawals(u Update) []Effect {
	if u.Withdrawals.Revision() <= f.withdrawals {
		return nil
	}
	f.withdrawals = u.Withdrawals.Revision()
	return []Effect{ApplyWithdrawals{Set: u.Withdrawals}}
}

// applyConfig returns the effects that apply the state or changes of an update.
func (f *Follower) applyConfig(u Update) []Effect {
	if f.hasLog {
		return nil
	}
	if u.State != nil && u.State.Revision > f.revision {
		f.revision = u.State.Revision
		return []Effect{Restore{State: *u.State}}
	}
	var newer []Accepted
	for _, a := range u.Changes {
		if a.Revision == f.revision+1 {
			f.revision++
			newer = append(newer, a)
		}
	}
	if len(newer) == 0 {
		return nil
	}
	return []Effect{Apply{Changes: newer}}
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

// candidate returns the next known host that is not in use as a feed, preferring
// one in a failure domain without a feed in use.
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

// replaceFailedFeeds replaces the feeds that do not answer or that have no recent
// confirmation.
func (f *Follower) replaceFailedFeeds(now time.Time) []Effect {
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

// peerAhead adds a peer with a newer revision as a feed. It replaces the feed
// that answered least recently if there are already enough feeds.
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

// How long a host that is behind a peer's route plan waits for its feeds. Plans reach
// the hosts through their feeds within a fraction of a second; if each host asked the
// peers that it meets, the few hosts that gather would send the plan to all others.
const (
	// planPatience is the time after which it polls its feeds, whose updates it may
	// have missed while it stood still.
	planPatience = 200 * time.Millisecond
	// planPeerPatience is the time after which it also polls the peer.
	planPeerPatience = time.Second
	// planPollInterval is the time between two such polls.
	planPollInterval = 200 * time.Millisecond
)

// aheadPeer is a peer that had a newer route plan than this host.
type aheadPeer struct {
	host     string
	version  uint64
	since    time.Time // when this host was first found behind
	polledAt time.Time
}

func (f *Follower) planAhead(now time.Time, ev PlanAhead) {
	if ev.Version <= f.plan || ev.Host == f.self {
		return
	}
	if f.ahead.version <= f.plan {
		f.ahead.since = now
	}
	if ev.Version > f.ahead.version {
		f.ahead.host, f.ahead.version = ev.Host, ev.Version
	}
}

// catchUp polls for a route plan that a peer has had for a while. Until this host has
// it, requests that it hands over and requests that it handles itself follow different
// plans.
func (f *Follower) catchUp(now time.Time) []Effect {
	a := &f.ahead
	if a.version <= f.plan || now.Sub(a.since) < planPatience || now.Sub(a.polledAt) < planPollInterval {
		return nil
	}
	a.polledAt = now
	var out []Effect
	for _, s := range f.feeds {
		if now.Sub(s.sent) >= planPollInterval {
			out = append(out, f.pollFeed(now, s))
		}
	}
	if now.Sub(a.since) >= planPeerPatience && !slices.Contains(f.Feeds(), a.host) {
		f.seq++
		out = append(out, SendPoll{To: a.host, Poll: Poll{From: f.self, Seq: f.seq, Revision: f.revision, Plan: f.plan, Withdrawals: f.withdrawals}})
	}
	return out
}
