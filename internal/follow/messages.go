// Package follow brings the accepted configuration from the hosts that hold
// the replicated log to all others, and tells each host until when its
// configuration is confirmed.
//
// A host polls two feeds in different failure domains. A feed answers with
// the changes that the host lacks and with the age of the leader's last
// confirmation; it also pushes new changes at once to the hosts that poll it.
// Every host can be a feed, so relays can stand between voters and hosts.
package follow

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// Times of the protocol. Two polls must fit into the second in which a feed
// that was cut off has to be noticed.
const (
	PollInterval      = 400 * time.Millisecond
	FirstPollInterval = 100 * time.Millisecond // until the first confirmation
	FeedTimeout       = time.Second
	// StaleFeedTimeout is how old the leader's confirmation at a feed may become.
	// A feed that is cut off from the leader still answers, and would keep its
	// followers on an old configuration.
	StaleFeedTimeout = 1500 * time.Millisecond
	// FollowerTimeout is how long a feed pushes changes to a host that no
	// longer polls.
	FollowerTimeout = 5 * time.Second
)

// Bounds of one update and of what a feed keeps.
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

// Poll asks a feed for what is newer than Revision.
type Poll struct {
	From     string // host that asks
	Seq      uint64 // echoed by the update
	Revision uint64
	Plan     uint64 // version of the route plan that the host has
}

// Update answers a poll, or pushes changes when Seq is zero.
type Update struct {
	From string // feed that answers
	Seq  uint64
	Term uint64 // highest term that the feed knows
	// Confirmed says that the leader of Term confirmed ConfirmedRevision as its
	// latest revision, ConfirmedAge before the feed answered.
	Confirmed         bool
	ConfirmedRevision uint64
	ConfirmedAge      time.Duration
	Changes           []Accepted          // consecutive revisions
	State             *config.State       // in place of Changes when these are no longer kept
	Plan              *routeplan.Document // if the feed has a newer one
}

// Event is an input of a Follower.
type Event interface{ isFollowEvent() }

// Tick lets time pass. It is due every 100 ms.
type Tick struct{}

// UpdateReceived brings an update of a feed.
type UpdateReceived struct{ Update Update }

// FeedsChanged names the hosts that can be feeds, best first.
type FeedsChanged struct{ Feeds []FeedHost }

// PeerAhead says that a peer has had a newer revision for a while, so that
// the present feeds may be cut off or gone. The peer becomes a feed itself:
// when all voters are dead, no other host may have the revision.
type PeerAhead struct {
	Host     string
	Revision uint64
}

// FeedHost is a host that can be a feed.
type FeedHost struct {
	Host          string
	FailureDomain string
}

// PlanApplied says which route plan is in force at this host.
type PlanApplied struct{ Version uint64 }

func (PlanApplied) isFollowEvent()    {}
func (Tick) isFollowEvent()           {}
func (UpdateReceived) isFollowEvent() {}
func (FeedsChanged) isFollowEvent()   {}
func (PeerAhead) isFollowEvent()      {}

// Effect is an output of a Follower.
type Effect interface{ isFollowEffect() }

// SendPoll sends a poll to a feed.
type SendPoll struct {
	To   string
	Poll Poll
}

// Apply puts changes in force, in order.
type Apply struct{ Changes []Accepted }

// Restore replaces the whole configuration.
type Restore struct{ State config.State }

// ApplyPlan applies a route plan that a feed sent.
type ApplyPlan struct{ Document *routeplan.Document }

func (ApplyPlan) isFollowEffect() {}

// Confirmed says that the leader of Term had Revision as its latest one at
// the time At, by this host's clock.
type Confirmed struct {
	Term     uint64
	Revision uint64
	At       time.Time
}

// FeedReplaced says that a feed did not answer or lagged, and which one takes
// its place.
type FeedReplaced struct{ Old, New string }

func (SendPoll) isFollowEffect()     {}
func (Apply) isFollowEffect()        {}
func (Restore) isFollowEffect()      {}
func (Confirmed) isFollowEffect()    {}
func (FeedReplaced) isFollowEffect() {}
