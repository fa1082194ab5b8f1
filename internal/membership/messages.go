package membership

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Bounds on the lists of a heartbeat.
const (
	MaxSilent  = 32
	MaxNews    = 8
	MaxReports = 64
)

// Heartbeat is exchanged between neighbours, as a request and as its reply.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Self        *Member // details of the sender, while the receiver lacks them
	Introduce   bool    // the sender lacks the details of the receiver
	// Token is the sender's time when it wrote the message, in Unix
	// nanoseconds, and Echo the newest token it has from the receiver. What
	// the message says is at least as new as that token, and the sender has
	// seen what the receiver wrote with it.
	Token, Echo int64
	Applied     Position // configuration in force at the sender, if ever confirmed
	Seen        Position // newest configuration the sender knows of
	MemberEpoch uint64   // of the agreed member list
	ShareEpoch  uint64   // whose connection shares the sender keeps to
	ShareDone   uint64   // whose connection shares all members keep to
	Ready       bool
	Digest      uint64 // of the live members
	Silent      []string
	Heard       []Hearing
	News        []Member
	Reports     []RegionReport
}

// Hearing says how long ago the sender heard from a host that the receiver
// misses.
type Hearing struct {
	Host string
	Age  time.Duration
}

// RegionReport is a relay's summary of the agreed members of a region. Above
// MeshLimit hosts it takes the place of heartbeats between all hosts.
type RegionReport struct {
	Region       string
	Epoch        uint64 // of the agreed list that the numbers refer to
	Heard        uint32 // members heard from
	Confirmed    uint32 // of these, members with a confirmed configuration
	SawNewest    uint32 // of these, members that have seen Seen
	SharesInUse  uint32 // members that use the shares of Epoch
	Seen         Position
	Age          time.Duration // of the oldest message counted
	observedFrom string
}

// AgreedList is the replicated list of member hosts, over which majorities
// count. Base is the size from which the list must not shrink below a
// majority unless an operator forgets hosts.
type AgreedList struct {
	Epoch uint64
	Hosts []string
	Base  int
}

// Event is an input of the state.
type Event interface{ isMembershipEvent() }

// Tick lets time pass. It is due about every 100 ms.
type Tick struct{}

// HeartbeatReceived brings a request. Call names it in ReplyHeartbeat.
type HeartbeatReceived struct {
	Call      uint64
	Heartbeat Heartbeat
}

// HeartbeatAnswered brings the reply to a SendHeartbeat.
type HeartbeatAnswered struct {
	Heartbeat Heartbeat
}

// MemberReceived brings disseminated news. StateAge is how long ago the
// member took its state.
type MemberReceived struct {
	From     string
	Member   Member
	StateAge time.Duration
}

// AgreedListApplied brings a new agreed list from the replicated log.
type AgreedListApplied struct {
	List AgreedList
}

// HostForgotten says that an operator removed a host for good.
type HostForgotten struct {
	Host string
}

// ConfigApplied says which configuration is in force here. It counts for
// others once a LeaderConfirmed, which needs a read confirmed by a quorum, has
// named the same or an older one since the start of the process.
type ConfigApplied struct {
	Position Position
}

// LeaderConfirmed says that the leader confirmed, for a question asked at At,
// that Position is the newest configuration.
type LeaderConfirmed struct {
	Position Position
	At       time.Time
}

// LeadershipChanged says whether this host leads the consensus group.
type LeadershipChanged struct {
	Leading bool
}

// SharesInUse says that this host uses the connection shares of an epoch.
type SharesInUse struct {
	Epoch     uint64
	Completed uint64 // the last list whose shares all members keep to
}

// ReadinessChanged says whether this host takes new requests.
type ReadinessChanged struct {
	Ready bool
}

// SeedsChanged replaces the addresses at which other hosts may be found.
type SeedsChanged struct{ Seeds []netip.AddrPort }

func (SeedsChanged) isMembershipEvent() {}

// Leave announces the shutdown of this host.
type Leave struct{}

func (Tick) isMembershipEvent()              {}
func (HeartbeatReceived) isMembershipEvent() {}
func (HeartbeatAnswered) isMembershipEvent() {}
func (MemberReceived) isMembershipEvent()    {}
func (AgreedListApplied) isMembershipEvent() {}
func (HostForgotten) isMembershipEvent()     {}
func (ConfigApplied) isMembershipEvent()     {}
func (LeaderConfirmed) isMembershipEvent()   {}
func (LeadershipChanged) isMembershipEvent() {}
func (SharesInUse) isMembershipEvent()       {}
func (ReadinessChanged) isMembershipEvent()  {}
func (Leave) isMembershipEvent()             {}

// Effect is an output of the state.
type Effect interface{ isMembershipEffect() }

// SendHeartbeat sends a request. To is empty for a seed address, whose host
// is not known yet. A lost request needs no report.
type SendHeartbeat struct {
	To        string
	Address   netip.AddrPort
	Heartbeat Heartbeat
}

// ReplyHeartbeat answers the request of a HeartbeatReceived.
type ReplyHeartbeat struct {
	Call      uint64
	Heartbeat Heartbeat
}

// Disseminate says that what is known of a host changed. From names the host
// the news came from and is empty for news made here.
type Disseminate struct {
	Host   string
	From   string
	Urgent bool
}

// LiveChanged names the live hosts, sorted, and says whether this host hears
// from a majority of the agreed list.
type LiveChanged struct {
	Live    []string
	Quorate bool
}

// NeighboursChanged names the hosts to exchange messages with, sorted.
type NeighboursChanged struct {
	Neighbours []Neighbour
}

// Neighbour is a host to exchange messages with. A leaf is a host that this
// host is a relay of.
type Neighbour struct {
	Member Member
	Leaf   bool
}

// Resync asks for an exchange of digests with a neighbour whose members have
// differed for long.
type Resync struct {
	Peer string
}

// FeedBehind says that a peer has had a newer configuration for over a second.
type FeedBehind struct {
	Peer     string
	Position Position
}

// ProposeMemberList asks the consensus group, led by this host, to replace
// the agreed list of epoch After. ByOperator is set when the change removes
// forgotten hosts, which needs the voters only.
type ProposeMemberList struct {
	After      uint64
	Hosts      []string
	Base       int
	ByOperator bool
}

// Log writes a numbered event.
type Log struct {
	Event  eventlog.Event
	Host   string
	Detail string
}

func (SendHeartbeat) isMembershipEffect()     {}
func (ReplyHeartbeat) isMembershipEffect()    {}
func (Disseminate) isMembershipEffect()       {}
func (LiveChanged) isMembershipEffect()       {}
func (NeighboursChanged) isMembershipEffect() {}
func (Resync) isMembershipEffect()            {}
func (FeedBehind) isMembershipEffect()        {}
func (ProposeMemberList) isMembershipEffect() {}
func (Log) isMembershipEffect()               {}
