package accounts_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// rule is the rule under test, with the default bound and drift.
var rule = accounts.Revocation{Bound: 5 * time.Second, Drift: 0.05}

// clock is a host's clock that counts suspensions. Its rate differs from that of true
// time by at most the drift of the rule.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(trueTime time.Duration) time.Time {
	return time.Unix(1000, 0).Add(c.offset + time.Duration(c.rate*float64(trueTime)))
}

// node is one host: its feeds, what it passes on, and its plan.
type node struct {
	name      string
	clock     clock
	follower  *follow.Follower
	feed      *follow.Feed
	confirmed follow.Confirmation
	covered   accounts.Confirmations
	plan      uint64
	suspended bool
	process   int // number of starts
}

// fleet runs voters, relays and hosts on virtual time. One voter at a time leads, and a
// new leader has all plans. The plan of version v has the keys v and v+1, so that each
// version drops one key.
type fleet struct {
	t      *rapid.T
	now    time.Duration // true time
	nodes  map[string]*node
	order  []string
	leader string // empty during an election
	term   uint64
	newest uint64
	acked  map[uint64]time.Duration // true time of the acknowledgement, by version
	cut    map[[2]string]bool
	queue  []message
	calm   bool
}

type message struct {
	at       time.Duration
	from, to string
	poll     *follow.Poll
	update   *follow.Update
	// process is the process of the host that polls. The answer comes back on its own
	// connection, so it reaches no later process, whose polls have the same numbers.
	process int
}

var (
	voters = []string{"v1", "v2", "v3"}
	relays = []string{"r1", "r2"}
	others = []string{"h1", "h2", "h3"}
)

func newFleet(t *rapid.T, calm bool) *fleet {
	f := &fleet{t: t, nodes: make(map[string]*node), acked: make(map[uint64]time.Duration), cut: make(map[[2]string]bool), term: 1, newest: 1, leader: "v1", calm: calm}
	for _, list := range [][]string{voters, relays, others} {
		f.order = append(f.order, list...)
	}
	for i, name := range f.order {
		f.nodes[name] = &node{name: name, clock: clock{rate: rapid.Float64Range(0.95, 1.05).Draw(t, "rate"), offset: time.Duration(i) * time.Hour}}
		f.start(name, 1)
	}
	return f
}

// start starts a host with the plan that it finds on its disk.
func (f *fleet) start(name string, plan uint64) {
	n := f.nodes[name]
	*n = node{name: name, clock: n.clock, process: n.process + 1, follower: follow.NewFollower(name, false), feed: follow.NewFeed(name)}
	f.step(n, follow.FeedsChanged{Feeds: feedsOf(name)})
	f.applyPlan(n, plan)
}

func feedsOf(name string) []follow.FeedHost {
	feeds := voters
	if name[0] == 'h' {
		feeds = relays
	}
	var out []follow.FeedHost
	for i, v := range feeds {
		out = append(out, follow.FeedHost{Host: v, FailureDomain: fmt.Sprint(i)})
	}
	return out
}

func (f *fleet) step(n *node, ev follow.Event) {
	n.follower.SetPlanVersion(n.plan)
	for _, e := range n.follower.Step(n.clock.at(f.now), ev) {
		switch e := e.(type) {
		case follow.SendPoll:
			f.send(message{from: n.name, to: e.To, poll: &e.Poll, process: n.process})
		case follow.ApplyPlan:
			f.applyPlan(n, e.Document.Version)
		case follow.Confirmed:
			f.confirm(n, e)
		}
	}
}

// confirm does what control.Core does with a confirmation.
func (f *fleet) confirm(n *node, e follow.Confirmed) {
	if e.Term < n.confirmed.Term || e.Term == n.confirmed.Term && e.At.Before(n.confirmed.At) {
		return
	}
	n.confirmed = follow.Confirmation(e)
	n.covered.Confirmed(e.Plan, e.At, n.plan)
}

func (f *fleet) applyPlan(n *node, version uint64) {
	if version <= n.plan {
		return
	}
	n.plan = version
	n.covered.InForce(version)
	d := &routeplan.Document{Version: version}
	for _, p := range n.feed.PlanApplied(n.clock.at(f.now), n.confirmed.Term, d) {
		f.send(message{from: n.name, to: p.To, update: &p.Update})
	}
	f.step(n, follow.PlanApplied{Version: version})
}

func (f *fleet) send(m message) {
	copies, longest := 1, 20
	if !f.calm {
		copies, longest = rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(f.t, "copies"), 3000
	}
	for range copies {
		m.at = f.now + time.Duration(rapid.IntRange(0, longest).Draw(f.t, "delay"))*time.Millisecond
		f.queue = append(f.queue, m)
	}
}

func (f *fleet) deliver() {
	due := f.queue
	f.queue = nil
	for _, m := range due {
		n := f.nodes[m.to]
		switch {
		case f.cut[[2]string{m.from, m.to}] || f.cut[[2]string{m.to, m.from}]:
		case m.at > f.now || n.suspended:
			f.queue = append(f.queue, m) // a suspended host handles it when it resumes
		case m.update != nil && m.update.Seq != 0 && m.process != n.process:
		case m.update != nil:
			f.step(n, follow.UpdateReceived{Update: *m.update})
		default:
			u := n.feed.Answer(n.clock.at(f.now), *m.poll, n.confirmed, 0, func() config.State { return config.State{} })
			f.send(message{from: m.to, to: m.poll.From, update: &u, process: m.process})
		}
	}
}

// advance lets time pass. The leader confirms its plan with each tick.
func (f *fleet) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.now += tick
		for _, name := range f.order {
			n := f.nodes[name]
			if n.suspended {
				continue
			}
			if name == f.leader {
				f.confirm(n, follow.Confirmed{Term: f.term, Plan: n.plan, At: n.clock.at(f.now)})
			}
			f.step(n, follow.Tick{})
		}
		f.deliver()
		f.requests()
	}
}

// change has the leader accept the next plan. It is acknowledged after a delay.
func (f *fleet) change(delay time.Duration) {
	if f.leader == "" || f.nodes[f.leader].suspended {
		return
	}
	f.newest++
	f.acked[f.newest] = f.now + delay
	f.applyPlan(f.nodes[f.leader], f.newest)
}

// elect makes a voter the leader. The log gives it all plans that were accepted.
func (f *fleet) elect(name string) {
	f.term++
	f.leader = name
	f.applyPlan(f.nodes[name], f.newest)
}

func keyOf(i uint64) accounts.Key { return accounts.KeyOf(fmt.Sprint("key ", i)) }

// accountsOf returns the accounts of a version.
func accountsOf(version uint64) *accounts.Directory {
	return accounts.NewDirectory([]accounts.Account{{Name: "a", Keys: []accounts.Key{keyOf(version), keyOf(version + 1)}}})
}

// accepted reports whether a host accepts a request with a key now.
func (f *fleet) accepted(n *node, key uint64) bool {
	_, err := rule.Authorize(n.clock.at(f.now), n.covered.Since(), accountsOf(n.plan), false, []accounts.Key{keyOf(key)})
	return err == nil
}

// requests sends requests with recent keys to all hosts and checks that no key is accepted
// later than the bound after the acknowledgement of the version that dropped it.
func (f *fleet) requests() {
	for _, name := range f.order {
		n := f.nodes[name]
		for key := n.plan; key <= n.plan+1; key++ {
			dropped, ok := f.acked[key+1]
			if n.suspended || !ok || f.now <= dropped+rule.Bound {
				continue
			}
			require.False(f.t, f.accepted(n, key), "host %s with plan %d accepts key %d %v after the acknowledgement of plan %d", name, n.plan, key, f.now-dropped, key+1)
		}
	}
}
