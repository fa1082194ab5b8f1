package spread_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// cluster runs several hosts in one goroutine on virtual time. Its network can
// lose, duplicate, delay and reorder messages.
type cluster struct {
	rng       *rand.Rand
	now       time.Time
	queue     schedule
	seq       int
	hosts     []*host
	byAddress map[netip.AddrPort]*host
	targets   []*simTarget
	layouts   map[string]*targets.Layout // committed in the replicated log
	loss, dup float64
	delay     time.Duration               // one way, at most
	cut       func(a, b *host) bool       // reports whether a link drops all messages
	sent      func(from, to *host, m any) // sees every message, if set
	agreed    membership.AgreedList       // the replicated list
	behind    []membership.FeedBehind     // as reported by any host
	proposed  []membership.ProposeMemberList
	sticky    bool // targets announce to the first host that is up
}

type scheduled struct {
	at  time.Time
	seq int
	run func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// host connects targets, membership and spread as the control loop does.
type host struct {
	c        *cluster
	member   membership.Member
	up       bool
	process  int
	registry *targets.Registry
	members  *membership.State
	spread   *spread.State
	records  spread.Records
	replies  map[uint64]func(any)
	lastCall uint64
	side     int           // of a partition
	spent    time.Duration // real time in decisions
}

// simTarget announces itself every second.
type simTarget struct {
	targets.Announcement
	running bool
	starts  uint64
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       time.Unix(1_700_000_000, 0),
		byAddress: map[netip.AddrPort]*host{},
		layouts:   map[string]*targets.Layout{},
		delay:     5 * time.Millisecond,
		cut:       func(a, b *host) bool { return a.side != b.side },
	}
}

func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, scheduled{at: c.now.Add(d), seq: c.seq, run: run})
}

func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(scheduled)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// addHost starts a host. Its seeds are the first and the middle host so far.
func (c *cluster) addHost(name, region, domain string, roles membership.Roles) *host {
	h := &host{c: c, member: membership.Member{Host: name, Region: region, FailureDomain: domain, Roles: roles}}
	n := len(c.hosts)
	h.member.PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7000)
	c.hosts = append(c.hosts, h)
	c.byAddress[h.member.PeerAddress] = h
	h.start()
	return h
}

func (c *cluster) addHosts(n int) {
	for i := range n {
		c.addHost(fmt.Sprintf("host-%03d", i), "south", fmt.Sprintf("domain-%d", i%4), membership.RoleEntry)
	}
}

func (h *host) start() {
	h.process++
	h.up = true
	h.member.Incarnation = uint64(h.c.now.UnixNano())
	h.registry = targets.NewRegistry(h.member.Host)
	seeds := []netip.AddrPort{h.c.hosts[0].member.PeerAddress, h.c.hosts[len(h.c.hosts)/2].member.PeerAddress}
	h.members = membership.NewState(h.c.now, membership.Settings{Self: h.member, Seeds: seeds, Staleness: 3 * time.Second})
	h.records = spread.Records{Targets: h.registry, Members: h.members}
	h.spread = spread.NewState(h.member.Host, h.member.Incarnation, h.records)
	h.replies = map[uint64]func(any){}
	for _, l := range h.c.layouts {
		h.stepTargets(targets.LayoutCommitted{Layout: l})
	}
	if h.c.agreed.Epoch > 0 {
		h.stepMembers(membership.AgreedListApplied{List: h.c.agreed})
	}
	h.c.after(time.Duration(h.c.rng.Int64N(int64(100*time.Millisecond))), func() { h.tick(h.process) })
}

func (h *host) crash() { h.up = false }

// timed adds the real time of a decision to spent.
func (h *host) timed(decide func()) {
	begin := time.Now()
	decide()
	h.spent += time.Since(begin)
}

func (h *host) tick(process int) {
	if !h.up || h.process != process {
		return
	}
	h.stepMembers(membership.Tick{})
	h.stepTargets(targets.Tick{})
	h.stepSpread(spread.Tick{})
	h.timed(func() { h.registry.View() })
	h.c.after(100*time.Millisecond, func() { h.tick(process) })
}

// send delivers a message to another process unless the network drops it.
func (h *host) send(to *host, m any, deliver func()) {
	if h.c.sent != nil {
		h.c.sent(h, to, m)
	}
	copies := 1
	if h.c.rng.Float64() < h.c.dup {
		copies = 2
	}
	process := 0
	if to != nil {
		process = to.process
	}
	for range copies {
		if to == nil || h.c.rng.Float64() < h.c.loss {
			continue
		}
		h.c.after(time.Duration(h.c.rng.Int64N(int64(h.c.delay))), func() {
			if to.up && to.process == process && !h.c.cut(h, to) {
				deliver()
			}
		})
	}
}

// call registers the handler of the reply to a request and returns its number.
func (h *host) call(from *host, reply func(m any)) uint64 {
	h.lastCall++
	h.replies[h.lastCall] = func(m any) { h.send(from, m, func() { reply(m) }) }
	return h.lastCall
}

func (h *host) reply(call uint64, m any) {
	f := h.replies[call]
	delete(h.replies, call)
	f(m)
}

func (h *host) stepMembers(ev membership.Event) {
	var effects []membership.Effect
	h.timed(func() { effects = h.members.Step(h.c.now, ev) })
	for _, e := range effects {
		switch e := e.(type) {
		case membership.SendHeartbeat:
			to := h.c.byAddress[e.Address]
			h.send(to, &e.Heartbeat, func() {
				call := to.call(h, func(m any) {
					h.stepMembers(membership.HeartbeatAnswered{Heartbeat: *m.(*membership.Heartbeat)})
				})
				to.stepMembers(membership.HeartbeatReceived{Call: call, Heartbeat: e.Heartbeat})
			})
		case membership.ReplyHeartbeat:
			h.reply(e.Call, &e.Heartbeat)
		case membership.Disseminate:
			h.stepSpread(spread.Updated{Key: spread.Key{Kind: spread.KindMember, Name: e.Host}, From: e.From, Urgent: e.Urgent})
		case membership.LiveChanged:
			h.stepTargets(targets.MembersChanged{Live: e.Live, Quorate: e.Quorate})
		case membership.NeighboursChanged:
			var peers []spread.Peer
			for _, n := range e.Neighbours {
				peers = append(peers, spread.Peer{Name: n.Member.Host, Leaf: n.Leaf})
			}
			h.stepSpread(spread.NeighboursChanged{Peers: peers})
		case membership.Resync:
			h.stepSpread(spread.Resync{Peer: e.Peer})
		case membership.FeedBehind:
			h.c.behind = append(h.c.behind, e)
			h.followPeer(e)
		case membership.ProposeMemberList:
			h.c.proposed = append(h.c.proposed, e)
		}
	}
}

// followPeer fetches the configuration of a peer that has a newer one, as a
// follower does when its feeds are dead or cut off.
func (h *host) followPeer(e membership.FeedBehind) {
	i := slices.IndexFunc(h.c.hosts, func(o *host) bool { return o.member.Host == e.Peer })
	peer := h.c.hosts[i]
	h.send(peer, &e, func() {
		peer.send(h, &e, func() { h.stepMembers(membership.ConfigApplied{Position: peer.members.Applied()}) })
	})
}

func (h *host) stepTargets(ev targets.Event) {
	var effects []targets.Effect
	h.timed(func() { effects = h.registry.Step(h.c.now, ev) })
	h.targetEffects(effects)
}

func (h *host) targetEffects(effects []targets.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case targets.ForwardRenewals:
			h.forward(e)
		case targets.Disseminate:
			h.stepSpread(spread.Updated{Key: spread.Key{Kind: spread.KindTarget, Name: e.Target}, From: e.From, Urgent: e.Urgent})
		case targets.DisseminateLayout:
			h.stepSpread(spread.Updated{Key: spread.Key{Kind: spread.KindLayout, Name: e.IndexSnapshot}, From: e.From})
		case targets.ProposeLayout:
			h.c.proposeLayout(e.Layout)
		}
	}
}

func (h *host) forward(e targets.ForwardRenewals) {
	i := slices.IndexFunc(h.c.hosts, func(o *host) bool { return o.member.Host == e.To })
	to, process, arrived := h.c.hosts[i], h.process, false
	h.send(to, &e, func() {
		arrived = true
		to.stepTargets(targets.RenewalsReceived{From: h.member.Host, Renewals: e.Renewals})
	})
	h.c.after(300*time.Millisecond, func() {
		if !arrived && h.up && h.process == process {
			h.stepTargets(targets.RenewalsFailed(e))
		}
	})
}

// proposeLayout commits a layout to the replicated log unless the log already has
// one for the index snapshot.
func (c *cluster) proposeLayout(l *targets.Layout) {
	c.after(50*time.Millisecond, func() {
		if c.layouts[l.IndexSnapshot] == nil {
			c.layouts[l.IndexSnapshot] = l
		}
		for _, h := range c.hosts {
			if h.up {
				h.stepTargets(targets.LayoutCommitted{Layout: c.layouts[l.IndexSnapshot]})
			}
		}
	})
}

func (h *host) stepSpread(ev spread.Event) {
	var effects []spread.Effect
	h.timed(func() { effects = h.spread.Step(h.c.now, ev) })
	for _, e := range effects {
		switch e := e.(type) {
		case spread.Send:
			i := slices.IndexFunc(h.c.hosts, func(o *host) bool { return o.member.Host == e.To })
			to := h.c.hosts[i]
			h.send(to, &e.Request, func() {
				call := to.call(h, func(m any) { h.stepSpread(spread.ResponseReceived{Response: *m.(*spread.Response)}) })
				to.stepSpread(spread.RequestReceived{Call: call, Request: e.Request})
			})
		case spread.Reply:
			h.reply(e.Call, &e.Response)
		case spread.Deliver:
			h.deliver(e)
		}
	}
}

func (h *host) deliver(e spread.Deliver) {
	for _, item := range e.Items {
		switch {
		case item.Member != nil:
			h.stepMembers(membership.MemberReceived{From: e.From, Member: *item.Member, StateAge: item.Age})
		case item.Target != nil:
			h.stepTargets(targets.RecordReceived{From: e.From, Record: item.Target, ExpiredFor: item.Age})
		case item.Layout != nil:
			h.stepTargets(targets.LayoutReceived{From: e.From, Layout: item.Layout, Committed: item.Committed()})
		}
	}
}

// agree applies an agreed list of all hosts.
func (c *cluster) agree() {
	c.agreed.Epoch++
	c.agreed.Hosts = nil
	for _, h := range c.hosts {
		c.agreed.Hosts = append(c.agreed.Hosts, h.member.Host)
	}
	c.agreed.Base = len(c.agreed.Hosts)
	for _, h := range c.hosts {
		h.stepMembers(membership.AgreedListApplied{List: c.agreed})
	}
}

func (c *cluster) addTarget(shards int) *simTarget {
	n := len(c.targets)
	t := &simTarget{Announcement: targets.Announcement{
		Target: fmt.Sprintf("target-%05d", n), FailureDomain: "domain-0", ConnectionLimit: 30, Phase: targets.Ready,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 9000),
		Labels:  map[string]string{"group": "showroom-app"},
	}}
	layout := make([]string, shards)
	for i := range layout {
		layout[i] = fmt.Sprintf("s%04d", i)
	}
	t.IndexSnapshots = []targets.IndexSnapshot{{Name: "tiles-1", Generation: 1, Layout: layout}}
	for i := range 2 {
		holds := []targets.Holding{{IndexSnapshot: "tiles-1", Shards: []string{layout[(2*n+i)%shards]}}}
		t.Searchers = append(t.Searchers, targets.Searcher{Name: fmt.Sprint(i), Slots: 2, Holds: holds})
	}
	c.targets = append(c.targets, t)
	t.start(c)
	return t
}

func (t *simTarget) start(c *cluster) {
	t.running, t.Phase = true, targets.Ready
	t.Incarnation++
	t.starts++
	starts := t.starts
	c.after(time.Duration(c.rng.Int64N(int64(time.Second))), func() { t.announce(c, starts) })
}

// announce announces the target every second, to a random host that is up, as
// through a load balancer.
func (t *simTarget) announce(c *cluster, starts uint64) {
	if !t.running || t.starts != starts {
		return
	}
	t.announceNow(c)
	c.after(time.Second, func() { t.announce(c, starts) })
}

func (t *simTarget) announceNow(c *cluster) {
	t.Seq++
	a := t.Announcement
	order := c.rng.Perm(len(c.hosts))
	if c.sticky {
		slices.Sort(order)
	}
	for _, i := range order {
		if h := c.hosts[i]; h.up {
			var effects []targets.Effect
			h.timed(func() { effects, _ = h.registry.Announce(c.now, a) })
			h.targetEffects(effects)
			return
		}
	}
}
