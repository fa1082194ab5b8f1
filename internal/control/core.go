package control

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/entry"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// Options are the fixed inputs of a core.
type Options struct {
	Self      string
	Member    membership.Member // this host with the incarnation of this process
	Seeds     []netip.AddrPort  // peer addresses at which other hosts may be found
	Staleness time.Duration     // how long an unconfirmed configuration is served
	Voters    []follow.FeedHost
	Shares    connections.Config
	Node      *consensus.Node // nil on a host without a log
	Codec     Codec
	Lifecycle lifecycle.Options
	// ServePlan makes the host serve callers by the route plan. The host is
	// ready once it has a plan, and serves it also while it is unconfirmed:
	// hosts that are cut off from the voters must still serve their callers.
	ServePlan bool
	// FindVoters is set if the settings name no voters. The hosts with a log
	// then find each other through the membership.
	FindVoters bool
	// FoundLog lets this host take part in founding the replicated log. It is
	// set only if its disk has been there since the first start of the whole system,
	// and goes with membership.RoleFounder.
	FoundLog bool
	// FirstSeeds are the peer addresses, perhaps with this host's own, that all hosts
	// were given at the first start. The log is founded only while a majority of them
	// is live, so that no host that is cut off founds one of its own.
	FirstSeeds []netip.AddrPort
	// LossTolerance is the number of hosts with a log that may be lost at once.
	LossTolerance int
	LeasePeriod   time.Duration // of targets; zero takes the registry's default
}

// Codec decodes the entries and the snapshots of the replicated log, so that the
// core does not depend on their encoding.
type Codec interface {
	DecodeCommand(data []byte) (Command, error)
	DecodeState(data []byte) (ReplicatedState, error)
}

// Command is a decoded entry of the replicated log.
type Command struct {
	Kind       proposals.Kind
	At         time.Time
	Change     *config.Change      // with proposals.KindChange
	Order      orders.Command      // with proposals.KindOrder
	Plan       *routeplan.Document // with proposals.KindPlan
	Withdrawal withdrawal.Order    // with proposals.KindWithdrawal
}

// ReplicatedState is the state of all replicated state machines.
type ReplicatedState struct {
	Config       config.State
	Orders       orders.State
	EarlierLists []EarlierList       // earlier member lists whose hosts may not know the successor
	Plan         *routeplan.Document // nil before the first plan
	Withdrawals  *withdrawal.Set     // nil before the first order
}

// Bounds of the log, above which it is compacted into a snapshot. The bound in
// bytes keeps large route plans from filling a disk of 64 MB.
const (
	compactAfterEntries = 10_000
	compactAfterBytes   = 4 << 20
)

// Core owns the control state of a host.
type Core struct {
	opts          Options
	registry      *targets.Registry
	store         *config.Store
	node          *consensus.Node
	ledger        *orders.Ledger // used only on a host with a log
	reads         map[string]Read
	tracker       *proposals.Tracker
	follower      *follow.Follower
	feed          *follow.Feed
	members       *membership.State
	spread        *spread.State
	shares        *connections.Shares
	revisions     map[string]uint64    // in force at other hosts
	heardAt       map[string]time.Time // when another host was last heard from
	knownHosts    []Host               // for the snapshot
	knownHostsAt  time.Time            // when knownHosts was built
	life          *lifecycle.State
	plans         *routeplan.Store
	withdrawals   withdrawals
	startedAt     time.Time
	founding      founding
	logBytes      int  // of entries applied since the last snapshot
	trafficClosed bool // no order is open and no connection to a target is left
	confirmed     follow.Confirmation
	planConfirmed accounts.Confirmations
	agreed        agreedConfirmation
	leader        consensus.Member
	encoding      bool // a snapshot is being encoded

	unseen   []unseenChange
	catalogs *catalogs
	changed  map[string]bool // targets that changed since the last snapshot

	earlierLists []EarlierList
	repairedAt   time.Time // last step of a voter repair

	dirty    dirty
	snapshot *Snapshot // last published
}

// NewCore returns the core of a host that has just started.
func NewCore(opts Options, now time.Time) *Core {
	c := &Core{
		opts:        opts,
		registry:    targets.NewRegistry(opts.Self),
		store:       config.NewStore(),
		node:        opts.Node,
		ledger:      orders.NewLedger(orders.DefaultLimits()),
		reads:       make(map[string]Read),
		tracker:     proposals.NewTracker(),
		follower:    follow.NewFollower(opts.Self, opts.Node != nil),
		feed:        follow.NewFeed(opts.Self),
		life:        lifecycle.New(opts.Lifecycle, now),
		plans:       routeplan.NewStore(),
		withdrawals: withdrawals{store: withdrawal.NewStore(nil)},

		startedAt: now,
	}
	if opts.LeasePeriod > 0 {
		c.registry.SetLeasePeriod(opts.LeasePeriod)
	}
	c.members = membership.NewState(now, membership.Settings{Self: opts.Member, Seeds: opts.Seeds, Staleness: opts.Staleness})
	c.spread = spread.NewState(opts.Self, opts.Member.Incarnation, spread.Records{Targets: c.registry, Members: c.members})
	c.shares = connections.NewShares(opts.Shares, opts.Self, now)
	c.revisions = make(map[string]uint64)
	c.heardAt = make(map[string]time.Time)
	c.catalogs = newCatalogs()
	c.changed = make(map[string]bool)
	c.dirty.table = true
	return c
}

// Start sets the configured feeds, runs the first tick and returns the effects.
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
	case Departed:
		effects, err := c.registry.Depart(now, ev.Target)
		out := c.targetEffects(now, effects)
		return append(out, Resolve{Token: ev.Token, Err: err})
	case SeedsChanged:
		return c.membership(now, membership.SeedsChanged{Seeds: ev.Seeds})
	case HeartbeatReceived:
		c.recordHeartbeat(now, ev.Heartbeat)
		out := c.membership(now, membership.HeartbeatReceived{Call: ev.Token, Heartbeat: ev.Heartbeat})
		return append(out, c.passShares(now, ev.Heartbeat)...)
	case HeartbeatAnswered:
		c.recordHeartbeat(now, ev.Heartbeat)
		out := c.membership(now, membership.HeartbeatAnswered{Heartbeat: ev.Heartbeat})
		out = append(out, c.passShares(now, ev.Heartbeat)...)
		return append(out, c.releaseSeen(now)...)
	case ExchangeReceived:
		return c.spreadStep(now, spread.RequestReceived{Call: ev.Token, Request: ev.Request})
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
	case DryRun:
		return []Effect{Resolve{Token: ev.Token, Result: c.store.Plan(ev.Change)}}
	case LifecycleEvent:
		return c.lifecycle(now, ev.Event)
	case TrafficClosed:
		c.trafficClosed = true
		return c.endHandover(now)
	case SnapshotEncoded:
		c.encoding = false
		return c.consensus(now, consensus.Compact{Index: ev.Index, Data: ev.Data})
	case Inspect:
		return []Effect{Resolve{Token: ev.Token, Result: c.dump(now)}}
	}
	return nil
}

// recordHeartbeat records the revision of another host and when it was heard
// from, for the snapshot.
func (c *Core) recordHeartbeat(now time.Time, hb membership.Heartbeat) {
	c.revisions[hb.Host] = hb.Applied.Revision
	c.heardAt[hb.Host] = now
}

func (c *Core) tick(now time.Time, inFlight int) []Effect {
	out := c.targetEffects(now, c.registry.Step(now, targets.Tick{}))
	if c.node != nil {
		out = append(out, c.consensus(now, consensus.Tick{})...)
		out = append(out, c.confirmAsLeader(now)...)
		out = append(out, c.lookForCluster(now)...)
		out = append(out, c.repairVoters(now)...)
	}
	out = append(out, c.membership(now, membership.Tick{})...)
	out = append(out, c.spreadStep(now, spread.Tick{})...)
	out = append(out, c.follow(now, follow.Tick{})...)
	out = append(out, c.confirmShares(now)...)
	out = append(out, c.sharesStep(now, connections.Tick{})...)
	if c.hostsDue(now) {
		c.knownHostsAt = now
		c.knownHosts = c.hosts(now)
		c.dirty.snapshot = true
		out = append(out, c.giveUpClaims(now)...)
	}
	out = append(out, resolveAll(c.tracker.Expire(now))...)
	out = append(out, c.releaseSeen(now)...)
	if c.canServe(now) {
		out = append(out, c.lifecycle(now, lifecycle.CanServe{})...)
	}
	out = append(out, c.lifecycle(now, lifecycle.Tick{InFlight: inFlight})...)
	return append(out, c.endHandover(now)...)
}

// canServe reports whether a starting host may become ready. Unless it serves
// the route plan, its configuration must not be stale, and it must be allowed to
// hold connections to targets.
func (c *Core) canServe(now time.Time) bool {
	if c.opts.ServePlan {
		return c.canServePlan(now)
	}
	return c.members.Freshness(now) != membership.Stale && c.shares.View(now).Phase() >= connections.Restarted
}

func (c *Core) gate(now time.Time) entry.Gate {
	if !c.life.Accepting() {
		return entry.Gate{Reason: "it is " + c.life.Phase().String() + c.startObstacle(now), Evidence: c.members.Evidence()}
	}
	return entry.Gate{Accepting: true, ServesUnconfirmed: c.opts.ServePlan, Evidence: c.members.Evidence()}
}

// startObstacle returns what a starting host waits for, as the end of the gate's
// reason.
func (c *Core) startObstacle(now time.Time) string {
	switch {
	case c.life.Phase() != lifecycle.Starting:
		return ""
	case c.canServe(now):
		return ": it will be ready in a moment"
	case c.opts.ServePlan:
		return ": it has no confirmed route plan yet"
	case c.members.Freshness(now) == membership.Stale:
		return ": its configuration is not confirmed yet"
	case c.shares.View(now).Phase() == connections.NotMember:
		return ": it is not in the agreed member list yet"
	default:
		return ": connections of earlier processes to targets may still be open"
	}
}
