package follow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// host has a follower and a feed, as every host does.
type host struct {
	name      string
	follower  *Follower
	feed      *Feed
	revision  uint64
	confirmed Confirmation
}

// network runs one source of changes, a second feed and some hosts on virtual
// time, with delayed, lost and repeated messages.
type network struct {
	t        *rapid.T
	now      time.Time
	hosts    map[string]*host
	accepted uint64
	term     uint64
	// acceptedAt is the time at which the source accepted each revision.
	acceptedAt map[uint64]time.Time
	cut        map[string]bool
	queue      []delivery
}

type delivery struct {
	at   time.Time
	to   string
	poll *Poll
	upd  *Update
}

func newNetwork(t *rapid.T) *network {
	n := &network{t: t, now: time.Unix(1000, 0), hosts: map[string]*host{}, term: 1, acceptedAt: map[uint64]time.Time{}, cut: map[string]bool{}}
	for _, name := range []string{"source", "relay", "h1", "h2"} {
		n.hosts[name] = &host{name: name, follower: NewFollower(name, name == "source"), feed: NewFeed(name)}
	}
	n.step("relay", FeedsChanged{Feeds: []FeedHost{{"source", "a"}}})
	for _, name := range []string{"h1", "h2"} {
		n.step(name, FeedsChanged{Feeds: []FeedHost{{"source", "a"}, {"relay", "b"}}})
	}
	return n
}

func (n *network) step(name string, ev Event) {
	h := n.hosts[name]
	for _, e := range h.follower.Step(n.now, ev) {
		switch e := e.(type) {
		case SendPoll:
			n.send(delivery{to: e.To, poll: &e.Poll})
		case Apply:
			for _, a := range e.Changes {
				require.Equal(n.t, h.revision+1, a.Revision, "changes apply in order")
				h.revision = a.Revision
				n.push(h, a)
			}
		case Restore:
			require.Greater(n.t, e.State.Revision, h.revision)
			h.revision = e.State.Revision
			h.feed.Reset()
		case Confirmed:
			n.checkConfirmation(h, e)
		}
	}
}

// checkConfirmation requires that the source had no newer revision at the time
// of the confirmation.
func (n *network) checkConfirmation(h *host, e Confirmed) {
	require.LessOrEqual(n.t, e.Revision, h.revision)
	if newer, ok := n.acceptedAt[e.Revision+1]; ok {
		require.False(n.t, newer.Before(e.At), "%s confirmed revision %d for a time after the next one was accepted", h.name, e.Revision)
	}
	if e.At.After(h.confirmed.At) {
		h.confirmed = Confirmation(e)
	}
}

func (n *network) push(h *host, a Accepted) {
	for _, p := range h.feed.Accepted(n.now, n.term, a) {
		n.send(delivery{to: p.To, upd: &p.Update})
	}
}

func (n *network) send(d delivery) {
	copies := rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(n.t, "copies")
	for range copies {
		d.at = n.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(n.t, "delay")) * time.Millisecond)
		n.queue = append(n.queue, d)
	}
}

func (n *network) accept() {
	n.accepted++
	n.acceptedAt[n.accepted] = n.now
	s := n.hosts["source"]
	s.revision = n.accepted
	n.push(s, Accepted{Revision: n.accepted, At: n.now, Change: config.Change{ID: fmt.Sprint(n.accepted)}})
}

func (n *network) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(100 * time.Millisecond)
		for _, name := range []string{"relay", "h1", "h2"} {
			n.step(name, Tick{})
		}
		n.deliver()
	}
}

func (n *network) deliver() {
	due := n.queue
	n.queue = nil
	for _, d := range due {
		if d.at.After(n.now) {
			n.queue = append(n.queue, d)
			continue
		}
		if n.cut[d.to] {
			continue
		}
		if d.upd != nil {
			n.step(d.to, UpdateReceived{Update: *d.upd})
			continue
		}
		h := n.hosts[d.to]
		c := h.confirmed
		if d.to == "source" {
			c = Confirmation{Term: n.term, Revision: n.accepted, At: n.now}
		}
		u := h.feed.Answer(n.now, *d.poll, c, h.revision, func() config.State { return config.State{Revision: h.revision} })
		n.send(delivery{to: d.poll.From, upd: &u})
	}
}

// Guards against changes that are skipped, repeated or reverted, and against a
// confirmation that covers a time at which a newer revision was in force.
func TestFollowersNeverRevertNorConfirmOldRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { n.accept() },
			"time": func(t *rapid.T) {
				n.advance(time.Duration(rapid.IntRange(1, 15).Draw(t, "ticks")) * 100 * time.Millisecond)
			},
			"cut":  func(t *rapid.T) { n.cut[rapid.SampledFrom([]string{"source", "relay", "h1"}).Draw(t, "cut")] = true },
			"heal": func(*rapid.T) { clear(n.cut) },
		})
	})
}

// Guards against a change that is not in force on every host within 4 s while
// one of the two feeds is cut off.
func TestChangeIsInForceWithinFourSecondsWithOneFeedCut(t *testing.T) {
	for _, cut := range []string{"", "relay"} {
		rapid.Check(t, func(t *rapid.T) {
			n := newNetwork(t)
			n.advance(5 * time.Second)
			n.cut[cut] = true
			n.accept()
			n.advance(4 * time.Second)
			for _, name := range []string{"h1", "h2"} {
				require.Equal(t, n.accepted, n.hosts[name].revision, name)
			}
		})
	}
}

// Guards against a host that stays behind although a peer has a newer revision,
// because its feeds are dead, or still answer but are cut off from the leader.
func TestPeerAheadReplacesAFeed(t *testing.T) {
	f := NewFollower("h", false)
	now := time.Unix(1000, 0)
	f.Step(now, FeedsChanged{Feeds: []FeedHost{{"v1", "a"}, {"v2", "b"}, {"v3", "c"}}})
	require.Equal(t, []string{"v1", "v2"}, f.Feeds())
	require.Empty(t, f.Step(now, PeerAhead{Host: "h2", Revision: 0}))
	effects := f.Step(now, PeerAhead{Host: "h2", Revision: 7})
	require.Contains(t, effects, Effect(FeedReplaced{Old: "v1", New: "h2"}))
	require.Equal(t, []string{"h2", "v2"}, f.Feeds())
	require.Contains(t, effects, Effect(SendPoll{To: "h2", Poll: Poll{From: "h", Seq: 3}}))
}

// Guards against a host that keeps polling feeds that answer but are cut off from
// the leader, and so keeps an old configuration for as long as the partition
// lasts.
func TestFeedCutOffFromTheLeaderIsReplaced(t *testing.T) {
	now := time.Unix(1000, 0)
	confirmed := now
	f := NewFollower("h", false)
	f.Step(now, FeedsChanged{Feeds: []FeedHost{{"cut1", "a"}, {"cut2", "b"}, {"good", "c"}}})
	var polls []Effect
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range append(polls, f.Step(now, Tick{})...) {
			p, ok := e.(SendPoll)
			if !ok {
				continue
			}
			age := now.Sub(confirmed)
			if p.To == "good" {
				age = 0
			}
			polls = f.Step(now, UpdateReceived{Update{From: p.To, Seq: p.Poll.Seq, Term: 1, Confirmed: true, ConfirmedAge: age}})
		}
	}
	require.Contains(t, f.Feeds(), "good")
}

// Guards against a host that follows an older plan for seconds although a peer has
// shown it a newer one, and against hosts that all poll the same peer for a plan which
// their feeds are about to send.
func TestHostBehindAPeersPlanCatchesUp(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFollower("h", false)
	f.SetPlanVersion(7)
	f.Step(now, FeedsChanged{Feeds: []FeedHost{{"feed", "a"}}})
	f.confirmed = true // a host that has just started polls more often
	polls := func() (to []string) {
		t.Helper()
		for _, e := range f.Step(now, Tick{}) {
			if p, ok := e.(SendPoll); ok {
				require.Equal(t, f.plan, p.Poll.Plan)
				to = append(to, p.To)
			}
		}
		return to
	}
	for _, ev := range []PlanAhead{{Host: "g", Version: 7}, {Host: "g", Version: 6}, {Host: "h", Version: 8}} {
		f.Step(now, ev)
		now = now.Add(planPeerPatience + PollInterval)
		require.Equal(t, []string{"feed"}, polls(), "the regular poll")
		now = now.Add(planPollInterval)
		require.Empty(t, polls(), ev)
	}
	f.Step(now, PlanAhead{Host: "g", Version: 8})
	since := now
	require.Empty(t, polls(), "the feed may be about to send the plan")
	var peerPolls []time.Duration
	for now.Sub(since) < planPeerPatience+time.Second {
		now = now.Add(100 * time.Millisecond)
		f.Step(now, PlanAhead{Host: "g", Version: 8})
		switch to := polls(); {
		case slices.Contains(to, "g"):
			peerPolls = append(peerPolls, now.Sub(since))
		case now.Sub(since) == planPatience:
			require.Equal(t, []string{"feed"}, to)
		}
	}
	require.Equal(t, planPeerPatience, peerPolls[0])
	require.LessOrEqual(t, len(peerPolls), int(time.Second/planPollInterval)+1)

	document := &routeplan.Document{Version: 8}
	require.Equal(t, []Effect{ApplyPlan{Document: document}}, f.Step(now, UpdateReceived{Update: Update{From: "g", Seq: f.seq, Plan: document}}), "the peer is no feed")
	now = now.Add(planPollInterval)
	require.NotContains(t, polls(), "g")
	f.Step(now, PlanAhead{Host: "g", Version: 9})
	require.NotContains(t, polls(), "g", "the wait begins anew")
}
