// Package follow distributes the accepted configuration from the hosts that hold
// the replicated log to all others, and tells each host at which time the leader
// last confirmed its configuration as the latest.
//
// A host polls two feeds in different failure domains. A feed answers with
// the changes that the host lacks and with the age of the leader's last
// confirmation; it also pushes new changes at once to the hosts that poll it.
// Every host can be a feed, so relays can be placed between voters and hosts.
package follow

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// Intervals and timeouts of the protocol. Two polls must fit into FeedTimeout,
// within which a feed that is cut off has to be detected.
const (
	PollInterval      = 400 * time.Millisecond
	FirstPollInterval = 100 * time.Millisecond // until the first confirmation
	FeedTimeout       = time.Second
	// StaleFeedTimeout is the maximum age of the leader's confirmation at a feed.
	// A feed that is cut off from the leader still answers, and would keep its
	// followers on an old configuration.
	StaleFeedTimeout = 1500 * time.Millisecond
	// FollowerTimeout is how long a feed pushes changes to a host that no
	// longer polls.
	FollowerTimeout = 5 * time.Second
)

// Bounds of one update and of the recent changes that a feed keeps.
const (
	MaxChangesPerUpdate = 128
	MaxRecentChanges    = 4096
)

// Accepted is an accepted change at its revision.
type Accepted struct {
	Revision uint64
	At       time.Time
	Change   config.Change
}

// Poll asks a feed for the changes after Revision.
type Poll struct {
	From        string // host that asks
	Seq         uint64 // echoed by the update
	Revision    uint64
	Plan        uint64 // version of the route plan that the host has
	Withdrawals uint64 // revision of the withdrawals that the host has
}

// Update answers a poll, or pushes changes when Seq is zero.
type Update struct {
	From string // feed that answers
	Seq  uint64
	Term uint64 // highest term that the feed knows
	// Confirmed means that the leader of Term confirmed ConfirmedRevision as its
	// latest revision, ConfirmedAge before the feed answered.
	Confirmed            bool
	ConfirmedRevision    uint64
	ConfirmedPlan        uint64 // version of the leader's route plan then
	ConfirmedWithdrawals uint64 // revision of the leader's withdrawals then
	ConfirmedAge         time.Duration
	Changes              []Accepted          // consecutive revisions
	State                *config.State       // in place of Changes when these are no longer kept
	Plan                 *routeplan.Document // if the feed has a newer one
	Withdrawals          *withdrawal.Set     // if the feed has a newer one
}

// Event is an input of a Follower.
type Event interface{ isFollowEvent() }

// Tick advances time. It is due every 100 ms.
type Tick struct{}

// UpdateReceived carries an update from a feed.
type UpdateReceived struct{ Update Update }

// FeedsChanged lists the hosts that can be feeds, best first.
type FeedsChanged struct{ Feeds []FeedHost }

// PeerAhead reports that a peer has had a newer revision for a while, so the
// current feeds may be cut off or dead. The peer itself becomes a feed, because
// it may be the only host with that revision when all voters are dead.
type PeerAhead struct {
	Host     string
	Revision uint64
}

// PlanAhead reports that a peer handled a request by a newer route plan.
type PlanAhead struct {
	Host    string
	Version uint64
}

// FeedHost is a host that can be a feed.
type FeedHost struct {
	Host          string
	FailureDomain string
}

// PlanApplied reports which route plan is in force at this host.
type PlanApplied struct{ Version uint64 }

func (PlanApplied) isFollowEvent()    {}
func (Tick) isFollowEvent()           {}
func (UpdateReceived) isFollowEvent() {}
func (FeedsChanged) isFollowEvent()   {}
func (PeerAhead) isFollowEvent()      {}
func (PlanAhead) isFollowEvent()      {}

// Effect is an output of a Follower.
type Effect interface{ isFollowEffect() }

// SendPoll sends a poll to a feed.
type SendPoll struct {
	To   string
	Poll Poll
}

// Apply applies changes in order.
type Apply struct{ Changes []Accepted }

// Restore replaces the whole configuration.
type Restore struct{ State config.State }

// ApplyPlan applies a route plan that a feed sent.
type ApplyPlan struct{ Document *routeplan.Document }

// ApplyWithdrawals applies withdrawals that a feed sent.
type ApplyWithdrawals struct{ Set *withdrawal.Set }

func (ApplyPlan) isFollowEffect()        {}
func (ApplyWithdrawals) isFollowEffect() {}

// Confirmed reports that Revision was the latest revision, Plan the version of the route
// plan and Withdrawals the revision of the withdrawals of the leader of Term at the time At, by this host's clock. This host may
// not have that plan or these withdrawals yet.
type Confirmed struct {
	Term        uint64
	Revision    uint64
	Plan        uint64
	Withdrawals uint64
	At          time.Time
}

// FeedReplaced reports that the feed Old was replaced by New, because Old did not
// answer or lagged.
type FeedReplaced struct{ Old, New string }

func (SendPoll) isFollowEffect()     {}
func (Apply) isFollowEffect()        {}
func (Restore) isFollowEffect()      {}
func (Confirmed) isFollowEffect()    {}
func (FeedReplaced) isFollowEffect() {}
