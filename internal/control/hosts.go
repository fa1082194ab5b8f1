package control

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// claimantTimeout is how long a host must be lost before its open claims are
// ended as "may have run". It exceeds the longest time that it takes to refute
// a suspicion.
const claimantTimeout = 30 * time.Second

// hostsInterval is the time between two rebuilds of the snapshot's hosts. It is
// extended by itself for each hundred hosts, which bounds the cost per second.
// A host that joins or leaves causes a rebuild with the next tick.
const hostsInterval = time.Second

func (c *Core) hostsDue(now time.Time) bool {
	return now.Sub(c.knownHostsAt) >= hostsInterval*time.Duration(1+len(c.knownHosts)/100)
}

// membership steps the membership and handles its effects.
func (c *Core) membership(now time.Time, ev membership.Event) []Effect {
	var out []Effect
	for _, e := range c.members.Step(now, ev) {
		out = append(out, c.membershipEffect(now, e)...)
	}
	return out
}

func (c *Core) membershipEffect(now time.Time, e membership.Effect) []Effect {
	switch e := e.(type) {
	case membership.SendHeartbeat:
		return []Effect{SendHeartbeat(e)}
	case membership.ReplyHeartbeat:
		return []Effect{Resolve{Token: e.Call, Result: e.Heartbeat}}
	case membership.Disseminate:
		return c.spreadStep(now, spread.Updated{Key: spread.Key{Kind: spread.KindMember, Name: e.Host}, From: e.From, Urgent: e.Urgent})
	case membership.LiveChanged:
		c.knownHostsAt = time.Time{}
		out := c.follow(now, follow.FeedsChanged{Feeds: c.feeds()})
		return append(out, c.targetEffects(now, c.registry.Step(now, targets.MembersChanged{Live: e.Live, Quorate: e.Quorate}))...)
	case membership.NeighboursChanged:
		return c.spreadStep(now, spread.NeighboursChanged{Peers: peersOf(e.Neighbours)})
	case membership.FeedBehind:
		return c.follow(now, follow.PeerAhead{Host: e.Peer, Revision: e.Position.Revision})
	case membership.Resync:
		return c.spreadStep(now, spread.Resync{Peer: e.Peer})
	case membership.ProposeMemberList:
		return c.proposeMembers(e)
	case membership.Log:
		return []Effect{Log{Event: e.Event, Fields: []Field{{"peer", e.Host}, {"detail", e.Detail}}}}
	}
	return nil
}

func peersOf(neighbours []membership.Neighbour) []spread.Peer {
	out := make([]spread.Peer, 0, len(neighbours))
	for _, n := range neighbours {
		out = append(out, spread.Peer{Name: n.Member.Host, Leaf: n.Leaf})
	}
	return out
}

// feeds returns the hosts that this host may follow, best first.
//
// A host with a log follows only the leader, since two voters that followed each
// other would pass on ever older confirmations. If it knows no other leader, it
// follows no host, or, if it serves the route plan, the same hosts as one
// without a log: plans are ordered by their version alone, and a voter that was
// removed while it was down learns of newer plans in no other way.
//
// Other hosts follow the live relays of their region, then the live voters, the near
// ones first, or, if there is neither, the voters in the settings. A relay follows
// voters only.
func (c *Core) feeds() []follow.FeedHost {
	if c.node != nil {
		switch follows := c.leader.Name != "" && c.leader.Name != c.opts.Self; {
		case follows:
			return []follow.FeedHost{{Host: c.leader.Name}}
		case !c.opts.ServePlan:
			return nil
		}
	}
	var relays, voters []follow.FeedHost
	for _, m := range c.members.Live() {
		f := follow.FeedHost{Host: m.Host, FailureDomain: m.FailureDomain}
		switch {
		case m.Roles.Has(membership.RoleRelay) && m.Region == c.opts.Member.Region && !c.opts.Member.Roles.Has(membership.RoleRelay):
			relays = append(relays, f)
		case m.Roles.Has(membership.RoleVoter):
			voters = append(voters, f)
		}
	}
	if len(relays)+len(voters) == 0 {
		return c.opts.Voters
	}
	return append(c.nearestFirst(relays), c.nearestFirst(voters)...)
}

// nearestFirst returns feeds in the order in which this host uses them: those in its
// own failure domain first, and otherwise in an order that differs between hosts, so
// that the feeds share the load.
func (c *Core) nearestFirst(feeds []follow.FeedHost) []follow.FeedHost {
	weight := func(f follow.FeedHost) uint64 { return xxhash.Sum64String(c.opts.Self + "\x00" + f.Host) }
	far := func(f follow.FeedHost) int {
		if f.FailureDomain == c.opts.Member.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortFunc(feeds, func(a, b follow.FeedHost) int {
		return cmp.Or(far(a)-far(b), cmp.Compare(weight(a), weight(b)), cmp.Compare(a.Host, b.Host))
	})
	return feeds
}

func (c *Core) proposeMembers(e membership.ProposeMemberList) []Effect {
	if e.After != c.store.Members().Epoch {
		return nil
	}
	change := config.Change{
		Author: c.opts.Self, Team: config.SystemTeam, Base: c.store.Revision(),
		Ops: []config.Op{config.SetMembers{Epoch: e.After + 1, Members: e.Hosts, Base: e.Base}},
	}
	change.ID = change.DerivedID()
	return []Effect{ProposeChange{Change: change}}
}

// spreadStep steps the dissemination and handles its effects.
func (c *Core) spreadStep(now time.Time, ev spread.Event) []Effect {
	var out []Effect
	for _, e := range c.spread.Step(now, ev) {
		switch e := e.(type) {
		case spread.Send:
			out = append(out, SendExchange(e))
		case spread.Reply:
			out = append(out, Resolve{Token: e.Call, Result: e.Response})
		case spread.Deliver:
			out = append(out, c.delivered(now, e)...)
		case spread.Log:
			fields := []Field{{"peer", e.Peer}}
			if e.Detail != "" {
				fields = append(fields, Field{"detail", e.Detail})
			}
			out = append(out, Log{Event: e.Event, Fields: fields})
		}
	}
	return out
}

func (c *Core) delivered(now time.Time, e spread.Deliver) []Effect {
	var out []Effect
	for _, item := range e.Items {
		switch {
		case item.Member != nil:
			out = append(out, c.membership(now, membership.MemberReceived{From: e.From, Member: *item.Member, StateAge: item.Age})...)
		case item.Target != nil:
			out = append(out, c.targetEffects(now, c.registry.Step(now, targets.RecordReceived{From: e.From, Record: item.Target, ExpiredFor: item.Age}))...)
		case item.Layout != nil:
			out = append(out, c.targetEffects(now, c.registry.Step(now, targets.LayoutReceived{From: e.From, Layout: item.Layout, Committed: item.Committed()}))...)
		}
	}
	return out
}

// passShares passes the share epochs in a heartbeat to the connection shares.
func (c *Core) passShares(now time.Time, hb membership.Heartbeat) []Effect {
	return c.sharesStep(now, connections.Heartbeat{Host: hb.Host, Acknowledged: hb.ShareEpoch, Completed: hb.ShareDone})
}

// sharesStep steps the connection shares and handles their effects.
func (c *Core) sharesStep(now time.Time, ev connections.Event) []Effect {
	var out []Effect
	for _, e := range c.shares.Step(now, ev) {
		switch e := e.(type) {
		case connections.ApplyShares:
			c.dirty.snapshot = true
		case connections.Acknowledge:
			out = append(out, c.membership(now, membership.SharesInUse{Epoch: e.Acknowledged, Completed: e.Completed})...)
		}
	}
	return out
}

// confirmShares tells the connection shares when the member list was last known
// to be the agreed one: when the leader confirmed the configuration that holds
// it, or when a majority of its members knew no newer one.
func (c *Core) confirmShares(now time.Time) []Effect {
	epoch := c.store.Members().Epoch
	at := latest(c.confirmed.At, c.members.MajorityConfirmedAt(now))
	if at.IsZero() {
		return nil
	}
	return c.sharesStep(now, connections.Confirmed{Epoch: epoch, At: at})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// giveUpClaims proposes to end the open claims of hosts that have been lost for
// claimantTimeout. The claimed orders may have run.
func (c *Core) giveUpClaims(now time.Time) []Effect {
	if c.node == nil || c.node.Status().Role != consensus.Leader {
		return nil
	}
	var out []Effect
	for claimant := range c.ledger.OpenClaims() {
		m, lostFor, ok := c.members.Member(now, claimant.Host)
		if ok && !m.Live() && lostFor > claimantTimeout {
			out = append(out, ProposeOrder{Command: orders.ClaimantDied{Claimant: claimant}})
		}
	}
	return out
}

// hosts returns the known hosts as the snapshot shows them, sorted by name.
func (c *Core) hosts(now time.Time) []Host {
	var out []Host
	for m := range c.members.Members(now) {
		out = append(out, Host{
			Host: m.Host, Region: m.Region, FailureDomain: m.FailureDomain, Roles: strings.Split(m.Roles.String(), ","),
			Incarnation: m.Incarnation, Capacity: m.Capacity, Peer: m.PeerAddress, Live: m.Live(), Draining: m.Live() && !c.isReady(m.Host),
			Revision: c.revisionOf(m.Host), LastHeard: c.heardAt[m.Host],
		})
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Host, b.Host) })
	c.forgetUnknown(out)
	return out
}

// forgetUnknown deletes the records of hosts that the membership no longer
// knows. Replacement hosts have new names, so the maps would otherwise grow
// without bound.
func (c *Core) forgetUnknown(known []Host) {
	names := make(map[string]bool, len(known))
	for _, h := range known {
		names[h.Host] = true
	}
	maps.DeleteFunc(c.revisions, func(host string, _ uint64) bool { return !names[host] })
	maps.DeleteFunc(c.heardAt, func(host string, _ time.Time) bool { return !names[host] })
}

func (c *Core) isReady(host string) bool {
	if host == c.opts.Self {
		return c.life.Ready()
	}
	return c.members.Ready(host)
}

func (c *Core) revisionOf(host string) uint64 {
	if host == c.opts.Self {
		return c.store.Revision()
	}
	return c.revisions[host]
}
