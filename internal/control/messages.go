// Package control holds the logic of a host's control goroutine, without I/O.
// Its Core owns the control state of all slices, steps them in one sequence of
// events, and publishes a snapshot for traffic goroutines. The controlrun
// subpackage drives it.
package control

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// TickInterval is the time between two ticks. It is half of the shortest
// interval of any slice, which is 50 ms between two digests to a neighbour, and
// a quarter of the leader's heartbeat interval.
const TickInterval = 25 * time.Millisecond

// Event is an input of the core.
type Event interface{ isControlEvent() }

// Tick advances the timers of all slices. InFlight is the number of callers'
// requests in progress.
type Tick struct{ InFlight int }

// Announced carries an announcement from a target.
type Announced struct {
	Token        uint64
	Announcement targets.Announcement
}

// Departed reports that a target has said that it is gone.
type Departed struct {
	Token  uint64
	Target string
}

// TargetsEvent is an event for the target registry.
type TargetsEvent struct{ Event targets.Event }

// ConsensusEvent is an event for the replicated log.
type ConsensusEvent struct{ Event consensus.Event }

// FollowEvent is an event for the follower.
type FollowEvent struct{ Event follow.Event }

// PollReceived carries a follower's poll of this host's feed. The result is the
// follow.Update that answers it.
type PollReceived struct {
	Token uint64
	Poll  follow.Poll
}

// Submit asks for a command to be appended to the replicated log. Data is the
// encoded command.
type Submit struct {
	Token    uint64
	Kind     proposals.Kind
	Data     []byte
	Deadline time.Time // by the clock of the control loop
}

// ChangeVoters asks the leader for one change of the voter set.
type ChangeVoters struct {
	Token    uint64
	Op       consensus.VoterOp
	Identity consensus.Identity
	Deadline time.Time // by the clock of the control loop
}

func (ChangeVoters) isControlEvent() {}

// SnapshotEncoded carries the encoded state that EncodeState asked for.
type SnapshotEncoded struct {
	Index uint64
	Data  []byte
}

// Read asks for a linearizable read of the replicated state. It is answered once
// a quorum or the leader's lease confirms that this host still leads, so that a
// leader that was cut off can't deny what another leader has accepted.
type Read struct {
	Token uint64
	Query Query
}

// Query is a query of the replicated state.
type Query interface{ isControlQuery() }

// OrderQuery asks for the ledger's record of an order. The result is an
// orders.Reply.
type OrderQuery struct{ RequestID string }

// ChangeQuery asks for the result of a past change. The result is a
// ChangeResult.
type ChangeQuery struct{ ChangeID string }

// HistoryQuery asks for accepted changes. The result is a []config.Entry.
type HistoryQuery struct {
	From  uint64
	Limit int
}

// PlanQuery asks for the route plan in force. The result is a
// *routeplan.Document, nil before the first plan.
type PlanQuery struct{}

func (PlanQuery) isControlQuery() {}

// ChangeResult is the answer to a ChangeQuery.
type ChangeResult struct {
	Found  bool
	Result config.Result
}

func (OrderQuery) isControlQuery()   {}
func (ChangeQuery) isControlQuery()  {}
func (HistoryQuery) isControlQuery() {}

// LifecycleEvent is an event for the host's lifecycle.
type LifecycleEvent struct{ Event lifecycle.Event }

// TrafficClosed reports that no order of this host is open any more and that its
// connections to targets are closed.
type TrafficClosed struct{}

func (LifecycleEvent) isControlEvent() {}
func (TrafficClosed) isControlEvent()  {}

// EndRequests asks for an answer to every caller's request in progress by a time of
// the control loop's clock.
type EndRequests struct{ By time.Time }

// CloseTraffic asks for open orders to be settled and connections to targets
// to be closed.
type CloseTraffic struct{}

// SyncJournal asks for the journal to be synced and closed.
type SyncJournal struct{}

// Exit ends the process. Interrupted is the number of requests that it cuts
// off.
type Exit struct{ Interrupted int }

func (EndRequests) isControlEffect()  {}
func (CloseTraffic) isControlEffect() {}
func (SyncJournal) isControlEffect()  {}
func (Exit) isControlEffect()         {}

// SeedsChanged carries new addresses at which other hosts may be found.
type SeedsChanged struct{ Seeds []netip.AddrPort }

func (SeedsChanged) isControlEvent() {}

// HeartbeatReceived carries a heartbeat from another host. The result is the
// membership.Heartbeat that answers it.
type HeartbeatReceived struct {
	Token     uint64
	Heartbeat membership.Heartbeat
}

// HeartbeatAnswered carries the answer to a SendHeartbeat.
type HeartbeatAnswered struct{ Heartbeat membership.Heartbeat }

// ExchangeReceived carries a request from a neighbour. The result is the
// spread.Response that answers it.
type ExchangeReceived struct {
	Token   uint64
	Request spread.Request
}

// SpreadEvent is an event for the dissemination of records.
type SpreadEvent struct{ Event spread.Event }

// WithinShares reports that the connection pools hold no more connections than
// the shares of an epoch allow.
type WithinShares struct{ Epoch uint64 }

func (HeartbeatReceived) isControlEvent() {}
func (HeartbeatAnswered) isControlEvent() {}
func (ExchangeReceived) isControlEvent()  {}
func (SpreadEvent) isControlEvent()       {}
func (WithinShares) isControlEvent()      {}

// SendHeartbeat sends a heartbeat to another host.
type SendHeartbeat membership.SendHeartbeat

// SendExchange sends a request to a neighbour.
type SendExchange spread.Send

// ForwardRenewals sends lease renewals to the host that owns the leases.
type ForwardRenewals targets.ForwardRenewals

// ProposeOrder asks for a command to be submitted to the ledger of orders.
type ProposeOrder struct{ Command orders.Command }

func (SendHeartbeat) isControlEffect()   {}
func (SendExchange) isControlEffect()    {}
func (ForwardRenewals) isControlEffect() {}
func (ProposeOrder) isControlEffect()    {}

// DryRun asks what a change would do at this host. The result is a
// config.Plan.
type DryRun struct {
	Token  uint64
	Change config.Change
}

func (Read) isControlEvent()   {}
func (DryRun) isControlEvent() {}

// Inspect asks for a copy of the control state. The result is a Dump.
type Inspect struct{ Token uint64 }

func (Tick) isControlEvent()            {}
func (Announced) isControlEvent()       {}
func (Departed) isControlEvent()        {}
func (TargetsEvent) isControlEvent()    {}
func (ConsensusEvent) isControlEvent()  {}
func (FollowEvent) isControlEvent()     {}
func (PollReceived) isControlEvent()    {}
func (Submit) isControlEvent()          {}
func (SnapshotEncoded) isControlEvent() {}
func (Inspect) isControlEvent()         {}

// Effect is an output of the core.
type Effect interface{ isControlEffect() }

// Resolve passes a result to the goroutine that waits for Token.
type Resolve struct {
	Token  uint64
	Result any
	Err    error
}

// Persist asks the journal to make a change of the replicated log durable.
type Persist struct{ Change consensus.Persist }

// SendConsensus sends a message of the replicated log to another host with a
// log.
type SendConsensus struct{ Send consensus.Send }

// SendPoll sends a poll to a feed.
type SendPoll struct {
	To   string
	Poll follow.Poll
}

// SendUpdate pushes an update to a follower.
type SendUpdate struct {
	To     string
	Update follow.Update
}

// EncodeState asks for the replicated state at Index to be encoded as a
// snapshot, away from the control goroutine.
type EncodeState struct {
	Index uint64
	State ReplicatedState
}

// Log writes a numbered event.
type Log struct {
	Event  eventlog.Event
	Fields []Field
}

// Field is a named value of a log event.
type Field struct {
	Name  string
	Value any
}

// LogConsensus writes the numbered event for an effect of the replicated log.
type LogConsensus struct{ Effect consensus.Effect }

// Fail ends the process because its state can no longer be trusted.
type Fail struct{ Err error }

func (Resolve) isControlEffect()       {}
func (Persist) isControlEffect()       {}
func (SendConsensus) isControlEffect() {}
func (SendPoll) isControlEffect()      {}
func (SendUpdate) isControlEffect()    {}
func (EncodeState) isControlEffect()   {}
func (Log) isControlEffect()           {}
func (LogConsensus) isControlEffect()  {}
func (Fail) isControlEffect()          {}

// ProposeChange asks for a change by this host itself to be encoded and
// submitted to the replicated log. Its result is not awaited; the slice that
// wants the change proposes it again.
type ProposeChange struct{ Change config.Change }

func (ProposeChange) isControlEffect() {}
