package control

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Options are the fixed inputs of a core.
type Options struct {
	Self      string
	Member    membership.Member // this host with the incarnation of this process
	Seeds     []netip.AddrPort  // peer addresses to find other hosts by
	Staleness time.Duration     // how long an unconfirmed configuration is served
	Voters    []follow.FeedHost
	Shares    connections.Config
	Node      *consensus.Node // nil on a host without a log
	Codec     Codec
	Lifecycle lifecycle.Options
}

// Codec decodes what the replicated log holds. The core needs the values and
// must not know their encoding.
type Codec interface {
	DecodeCommand(data []byte) (Command, error)
	DecodeState(data []byte) (ReplicatedState, error)
}

// Command is a decoded entry of the replicated log.
type Command struct {
	Kind   proposals.Kind
	At     time.Time
	Change *config.Change // with proposals.KindChange
	Order  orders.Command // with proposals.KindOrder
}

// ReplicatedState is the state of all replicated state machines.
type ReplicatedState struct {
	Config config.State
	Orders orders.State
	Lists  []EarlierList // earlier member lists that may not know their successor
}

// compactAfter is the number of log entries after which the log is replaced by
// a snapshot.
const compactAfter = 10_000

// Core owns the control state of a host.
type Core struct {
	opts      Options
	registry  *targets.Registry
	store     *config.Store
	node      *consensus.Node
	ledger    *orders.Ledger // used only on a host with a log
	reads     map[string]Read
	tracker   *proposals.Tracker
	follower  *follow.Follower
	feed      *follow.Feed
	members   *membership.State
	spread    *spread.State
	shares    *connections.Shares
	revisions map[string]uint64    // in force at other hosts
	heardAt   map[string]time.Time // when another host was last heard from
	known     []Host               // for the snapshot
	hostsAt   time.Time            // when known was built
	life      *lifecycle.State
	quiet     bool // no order is open and no connection to a target is left
	confirmed follow.Confirmation
	leader    consensus.Member
	encoding  bool // a snapshot is being encoded

	unseen   []unseenChange
	catalogs *catalogs
	changed  map[string]bool // targets that changed since the last snapshot

	earlier    []EarlierList
	repairedAt time.Time // last step of a repair of the voters

	shared   shared
	snapshot *Snapshot // last published
}

// NewCore returns the core of a host that has just started.
func NewCore(opts Options, now time.Time) *Core {
	c := &Core{
		opts:     opts,
		registry: targets.NewRegistry(opts.Self),
		store:    config.NewStore(),
		node:     opts.Node,
		ledger:   orders.NewLedger(orders.DefaultLimits()),
		reads:    make(map[string]Read),
		tracker:  proposals.NewTracker(),
		follower: follow.NewFollower(opts.Self, opts.Node != nil),
		feed:     follow.NewFeed(opts.Self),
		life:     lifecycle.New(opts.Lifecycle, now),
	}
	c.members = membership.NewState(now, membership.Settings{Self: opts.Member, Seeds: opts.Seeds, Staleness: opts.Staleness})
	c.spread = spread.NewState(opts.Self, opts.Member.Incarnation, spread.Records{Targets: c.registry, Members: c.members})
	c.shares = connections.NewShares(opts.Shares, opts.Self, now)
	c.revisions = make(map[string]uint64)
	c.heardAt = make(map[string]time.Time)
	c.catalogs = newCatalogs()
	c.changed = make(map[string]bool)
	c.shared.tableStale = true
	return c
}

// Start returns the first effects.
func (c *Core) Start(now time.Time) []Effect {
	out := c.follow(now, follow.FeedsChanged{Feeds: c.opts.Voters})
	return append(out, c.Step(now, Tick{})...)
}

// Step advances the core by one event.
func (c *Core) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return c.tick(now, ev.InFlight)
	case Announced:
		effects, err := c.registry.Announce(now, ev.Announcement)
		out := c.targetEffects(now, effects)
		return append(out, Resolve{Token: ev.Token, Err: err})
	case HeartbeatReceived:
		c.note(now, ev.Heartbeat)
		out := c.membership(now, membership.HeartbeatReceived{Call: ev.Token, Heartbeat: ev.Heartbeat})
		return append(out, c.heard(now, ev.Heartbeat)...)
	case HeartbeatAnswered:
		c.note(now, ev.Heartbeat)
		out := c.membership(now, membership.HeartbeatAnswered{Heartbeat: ev.Heartbeat})
		out = append(out, c.heard(now, ev.Heartbeat)...)
		return append(out, c.releaseSeen(now)...)
	case ExchangeReceived:
		return c.spreadStep(now, spread.Received{Call: ev.Token, Request: ev.Request})
	case SpreadEvent:
		return c.spreadStep(now, ev.Event)
	case WithinShares:
		return c.sharesStep(now, connections.WithinShares(ev))
	case TargetsEvent:
		return c.targetEffects(now, c.registry.Step(now, ev.Event))
	case ConsensusEvent:
		return c.consensus(now, ev.Event)
	case FollowEvent:
		return c.follow(now, ev.Event)
	case PollReceived:
		return []Effect{Resolve{Token: ev.Token, Result: c.answerPoll(now, ev.Poll)}}
	case Submit:
		return c.submit(now, ev)
	case ChangeVoters:
		return c.changeVoters(now, ev)
	case Read:
		return c.read(now, ev)
	case PlanChange:
		return []Effect{Resolve{Token: ev.Token, Result: c.store.Plan(ev.Change)}}
	case LifecycleEvent:
		return c.lifecycle(now, ev.Event)
	case TrafficClosed:
		c.quiet = true
		return c.endHandover(now)
	case SnapshotEncoded:
		c.encoding = false
		return c.consensus(now, consensus.Compact{Index: ev.Index, Data: ev.Data})
	case Inspect:
		return []Effect{Resolve{Token: ev.Token, Result: c.dump(now)}}
	}
	return nil
}

// note keeps what the snapshot says of another host.
func (c *Core) note(now time.Time, hb membership.Heartbeat) {
	c.revisions[hb.Host] = hb.Applied.Revision
	c.heardAt[hb.Host] = now
}

func (c *Core) tick(now time.Time, inFlight int) []Effect {
	out := c.targetEffects(now, c.registry.Step(now, targets.Tick{}))
	if c.node != nil {
		out = append(out, c.consensus(now, consensus.Tick{})...)
		out = append(out, c.confirmAsLeader(now)...)
		out = append(out, c.repairVoters(now)...)
	}
	out = append(out, c.membership(now, membership.Tick{})...)
	out = append(out, c.spreadStep(now, spread.Tick{})...)
	out = append(out, c.follow(now, follow.Tick{})...)
	out = append(out, c.confirmShares(now)...)
	out = append(out, c.sharesStep(now, connections.Tick{})...)
	if now.Sub(c.hostsAt) >= hostsInterval {
		c.hostsAt = now
		c.known = c.hosts(now)
		c.shared.stale = true
		out = append(out, c.giveUpClaims(now)...)
	}
	out = append(out, resolveAll(c.tracker.Expire(now))...)
	out = append(out, c.releaseSeen(now)...)
	if c.canServe(now) {
		out = append(out, c.lifecycle(now, lifecycle.ConfigConfirmed{})...)
	}
	out = append(out, c.lifecycle(now, lifecycle.Tick{InFlight: inFlight})...)
	return append(out, c.endHandover(now)...)
}

// canServe reports whether a host that has just started may become ready: its
// configuration is current, and it may hold connections to targets.
func (c *Core) canServe(now time.Time) bool {
	return c.members.Freshness(now) != membership.Stale && c.shares.View(now).Phase() >= connections.Restarted
}

// confirmAsLeader takes the leader's own lease as the confirmation of the
// configuration that it has applied. A new leader has all accepted changes in
// its log, but it knows that they are committed only with its own first entry.
func (c *Core) confirmAsLeader(now time.Time) []Effect {
	s := c.node.Status()
	if s.Role != consensus.Leader || !s.LeaseHeld || !s.TermApplied || s.Applied < s.Commit {
		return nil
	}
	return c.confirm(now, follow.Confirmed{Term: s.Term, Revision: c.store.Revision(), At: now})
}

func (c *Core) confirm(now time.Time, e follow.Confirmed) []Effect {
	if e.Term < c.confirmed.Term || e.Term == c.confirmed.Term && e.At.Before(c.confirmed.At) {
		return nil
	}
	c.confirmed = follow.Confirmation(e)
	out := c.membership(now, membership.ConfigApplied{Position: c.position()})
	return append(out, c.membership(now, membership.LeaderConfirmed{
		Position: membership.Position{Term: e.Term, Revision: e.Revision}, At: e.At,
	})...)
}

// position is the configuration in force here.
func (c *Core) position() membership.Position {
	return membership.Position{Term: c.confirmed.Term, Revision: c.store.Revision()}
}

func (c *Core) answerPoll(now time.Time, p follow.Poll) follow.Update {
	return c.feed.Answer(now, p, c.confirmed, c.store.Revision(), c.followerState)
}

// followerState is the configuration without the records of past changes,
// which only hosts with a log need.
func (c *Core) followerState() config.State {
	s := c.store.State()
	s.Records = nil
	s.RecordStart = s.Revision
	s.History = nil
	s.HistoryFrom = s.Revision
	return s
}

func (c *Core) follow(now time.Time, ev follow.Event) []Effect {
	c.follower.SetRevision(c.store.Revision())
	var out []Effect
	for _, e := range c.follower.Step(now, ev) {
		switch e := e.(type) {
		case follow.SendPoll:
			out = append(out, SendPoll{To: e.To, Poll: e.Poll})
		case follow.Apply:
			out = append(out, c.applyFollowed(now, e.Changes)...)
		case follow.Restore:
			c.store = config.Restore(e.State)
			c.feed.Reset()
			out = append(out, c.configChanged(now)...)
		case follow.Confirmed:
			out = append(out, c.confirm(now, e)...)
		case follow.FeedReplaced:
			out = append(out, Log{Event: EventFeedReplaced, Fields: []Field{{"old", e.Old}, {"new", e.New}}})
		}
	}
	return out
}

// applyFollowed puts changes in force that the log has already accepted. The
// base is set to the present revision because this host keeps no history to
// compare an older base with.
func (c *Core) applyFollowed(now time.Time, changes []follow.Accepted) []Effect {
	var out []Effect
	for _, a := range changes {
		change := a.Change
		change.Base = c.store.Revision()
		r := c.store.Apply(c.store.Index()+1, a.At, change)
		if r.Outcome != config.Accepted || r.Revision != a.Revision {
			return append(out, Fail{Err: verdict.New(verdict.Ran, verdict.CodeInternal,
				"change %q was accepted as revision %d but not here: %s", change.ID, a.Revision, r.Message)})
		}
		out = append(out, c.publishAccepted(now, a)...)
	}
	return append(out, c.configChanged(now)...)
}

func (c *Core) publishAccepted(now time.Time, a follow.Accepted) []Effect {
	var out []Effect
	for _, p := range c.feed.Accepted(now, c.confirmed.Term, a) {
		out = append(out, SendUpdate{To: p.To, Update: p.Update})
	}
	return out
}

// configChanged passes what changed in the configuration to other slices.
func (c *Core) configChanged(now time.Time) []Effect {
	c.shared.tableStale = true
	var out []Effect
	if !c.confirmed.At.IsZero() {
		out = append(out, c.membership(now, membership.ConfigApplied{Position: c.position()})...)
	}
	out = append(out, c.membersAgreed(now)...)
	for _, l := range c.store.Layouts() {
		layout := targets.NewLayout(l.IndexSnapshot, l.Generation, l.Shards)
		out = append(out, c.targetEffects(now, c.registry.Step(now, targets.LayoutRestored{Layout: layout}))...)
	}
	return out
}

// membersAgreed passes the agreed member list to the slices that count on it.
func (c *Core) membersAgreed(now time.Time) []Effect {
	m := c.store.Members()
	if m.Epoch == 0 || m.Epoch == c.members.AgreedList().Epoch {
		return nil
	}
	out := c.membership(now, membership.AgreedListApplied{List: membership.AgreedList{Epoch: m.Epoch, Hosts: m.Hosts, Base: m.Base}})
	return append(out, c.sharesStep(now, connections.Members{Epoch: m.Epoch, Hosts: m.Hosts})...)
}

func (c *Core) submit(now time.Time, ev Submit) []Effect {
	if c.node == nil {
		return []Effect{Resolve{Token: ev.Token, Err: notVoter()}}
	}
	if err := c.checkMajority(now, ev); err != nil {
		return []Effect{Resolve{Token: ev.Token, Err: err}}
	}
	c.tracker.Add(ev.Token, ev.Deadline)
	return c.consensus(now, consensus.Propose{ID: strconv.FormatUint(ev.Token, 10), Data: ev.Data})
}

// CodeMinority is the code of a change that a leader refuses because it hears
// from too few hosts.
const CodeMinority verdict.Code = "minority_of_hosts"

// checkMajority refuses a change while this host does not hear from a majority
// of the member hosts. The hosts that it does not hear could otherwise be a
// majority that serves the old configuration for as long as it lasts. An
// operator's ForgetHost passes, because it is the way out when a majority of
// hosts is lost for good.
func (c *Core) checkMajority(now time.Time, ev Submit) error {
	if ev.Kind != proposals.KindChange || c.members.Evidence().HearsMajority(now) {
		return nil
	}
	cmd, err := c.opts.Codec.DecodeCommand(ev.Data)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "decode the change")
	}
	if forgetsOnly(cmd.Change) {
		return nil
	}
	return verdict.New(verdict.NotRun, CodeMinority, "the leader hears from less than a majority of the hosts; remove lost hosts with 'hawthornlock host forget' or restore the network")
}

func forgetsOnly(c *config.Change) bool {
	for _, op := range c.Ops {
		switch op.(type) {
		case config.ForgetHost, config.SetMembers:
		default:
			return false
		}
	}
	return true
}

func resolveAll(rs []proposals.Resolve) []Effect {
	out := make([]Effect, 0, len(rs))
	for _, r := range rs {
		out = append(out, Resolve{Token: r.Token, Result: r.Outcome.Result, Err: r.Outcome.Err})
	}
	return out
}

// targetEffects turns the registry's effects into the core's.
func (c *Core) targetEffects(now time.Time, effects []targets.Effect) []Effect {
	var out []Effect
	for _, e := range effects {
		switch e := e.(type) {
		case targets.Log:
			out = append(out, Log{Event: e.Event, Fields: []Field{{"target", e.Target}, {"detail", e.Detail}}})
		case targets.Disseminate:
			c.changed[e.Target] = true
			out = append(out, c.spreadStep(now, spread.Updated{Key: spread.Key{Kind: spread.KindTarget, Name: e.Target}, From: e.From, Urgent: e.Urgent})...)
		case targets.DisseminateLayout:
			out = append(out, c.spreadStep(now, spread.Updated{Key: spread.Key{Kind: spread.KindLayout, Name: e.IndexSnapshot}, From: e.From})...)
		case targets.ForwardRenewals:
			out = append(out, ForwardRenewals(e))
		case targets.RecordLayout:
			out = append(out, c.recordLayout(now, e.Layout)...)
		}
	}
	return out
}

// recordLayout writes a layout to the replicated log, for every group whose
// targets list the index snapshot.
func (c *Core) recordLayout(_ time.Time, l *targets.Layout) []Effect {
	var out []Effect
	for _, group := range c.groupsListing(l.IndexSnapshot) {
		change := config.Change{
			Author: c.opts.Self, Team: config.SystemTeam, Base: c.store.Revision(),
			Ops: []config.Op{config.AddLayout{Group: group, IndexSnapshot: l.IndexSnapshot, Generation: l.Generation, Layout: l.Shards}},
		}
		change.ID = change.DerivedID()
		if r := c.store.Check(change); r.Outcome == config.Accepted && !r.Resend {
			out = append(out, ProposeChange{Change: change})
		}
	}
	return out
}

func (c *Core) groupsListing(indexSnapshot string) []string {
	var out []string
	table := c.store.Table()
	for rec := range c.registry.View().Targets() {
		lists := slices.ContainsFunc(rec.IndexSnapshots, func(s targets.IndexSnapshot) bool { return s.Name == indexSnapshot })
		if !lists {
			continue
		}
		for _, g := range table.GroupsOf(rec.Labels) {
			if !slices.Contains(out, g) {
				out = append(out, g)
			}
		}
	}
	slices.Sort(out)
	return out
}

func (c *Core) gate(now time.Time) entry.Gate {
	if !c.life.Accepting() {
		return entry.Gate{Reason: "it is " + c.life.Phase().String() + c.startObstacle(now), Evidence: c.members.Evidence()}
	}
	return entry.Gate{Accepting: true, Evidence: c.members.Evidence()}
}

// startObstacle says what a host that has just started waits for.
func (c *Core) startObstacle(now time.Time) string {
	switch {
	case c.life.Phase() != lifecycle.Starting:
		return ""
	case c.canServe(now):
		return ": it will be ready in a moment"
	case c.members.Freshness(now) == membership.Stale:
		return ": its configuration is not confirmed yet"
	case c.shares.View(now).Phase() == connections.NotMember:
		return ": it is not in the agreed member list yet"
	default:
		return ": connections of earlier processes to targets may still be open"
	}
}
