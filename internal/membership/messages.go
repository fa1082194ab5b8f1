package membership

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Maximum lengths of the lists of a heartbeat.
const (
	MaxSilent  = 32
	MaxUpdates = 8
	MaxReports = 64
)

// Heartbeat is exchanged between neighbours, as a request and as its reply.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Self        *Member // record of the sender, until the receiver has it
	Introduce   bool    // asks for Self, since the sender lacks the receiver's record
	// Token is the sender's clock when it composed the message, in Unix
	// nanoseconds, and Echo the newest token received from the receiver. The
	// content is at least as new as that token, and the sender has processed
	// the message that carried it.
	Token, Echo int64
	Applied     Position // configuration in force at the sender, if ever confirmed
	Seen        Position // newest configuration the sender knows of
	MemberEpoch uint64   // of the agreed member list
	ShareEpoch  uint64   // epoch whose connection shares the sender uses
	ShareDone   uint64   // newest epoch whose connection shares all members use
	Ready       bool
	Digest      uint64      // of the live members
	Silent      []string    // neighbours that the sender has not heard lately
	Heard       []LastHeard // reply to Silent
	Updates     []Member    // record of the receiver that it may have to refute
	Reports     []RegionReport
}

// LastHeard states how long ago the sender heard from a host that the receiver
// listed in Silent.
type LastHeard struct {
	Host string
	Age  time.Duration
}

// RegionReport is a relay's summary of the agreed members of a region. Above
// MeshLimit hosts it takes the place of heartbeats between all hosts.
type RegionReport struct {
	Region      string
	Epoch       uint64 // of the agreed list that the numbers refer to
	Heard       uint32 // members heard from
	Confirmed   uint32 // of these, members with a confirmed configuration
	SawNewest   uint32 // of these, members that have seen Seen
	SharesInUse uint32 // members that use the shares of Epoch
	Seen        Position
	Age         time.Duration // of the oldest message counted
	reporter    string
}

// AgreedList is the replicated list of member hosts, which defines majorities.
// It never shrinks below a majority of Base hosts unless an operator forgets
// hosts.
type AgreedList struct {
	Epoch uint64
	Hosts []string
	Base  int
}

// Event is an input of the state.
type Event interface{ isMembershipEvent() }

// Tick reports that time has passed. It is due about every 100 ms.
type Tick struct{}

// HeartbeatReceived carries a request. Call identifies it in ReplyHeartbeat.
type HeartbeatReceived struct {
	Call      uint64
	Heartbeat Heartbeat
}

// HeartbeatAnswered carries the reply to a SendHeartbeat.
type HeartbeatAnswered struct {
	Heartbeat Heartbeat
}

// MemberReceived carries the record of a host from another host. StateAge is
// how long the member has had its state.
type MemberReceived struct {
	From     string
	Member   Member
	StateAge time.Duration
}

// AgreedListApplied carries a new agreed list from the replicated log.
type AgreedListApplied struct {
	List AgreedList
}

// HostForgotten reports that an operator removed a host permanently.
type HostForgotten struct {
	Host string
}

// ConfigApplied reports the configuration in force here. It is advertised to
// other hosts once this process has received a LeaderConfirmed, which needs a
// read confirmed by a quorum, for the same or an older one.
type ConfigApplied struct {
	Position Position
}

// LeaderConfirmed reports that the leader confirmed Position as the newest
// configuration, in reply to a request sent at At.
type LeaderConfirmed struct {
	Position Position
	At       time.Time
}

// LeadershipChanged reports whether this host leads the consensus group.
type LeadershipChanged struct {
	Leading bool
}

// SharesInUse reports that this host uses the connection shares of an epoch.
type SharesInUse struct {
	Epoch     uint64
	Completed uint64 // newest epoch whose shares all members use
}

// ReadinessChanged reports whether this host accepts new requests.
type ReadinessChanged struct {
	Ready bool
}

// SeedsChanged replaces the seed addresses used to discover other hosts.
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
// is not known yet. A lost request need not be reported.
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

// Disseminate reports that the record of a host changed. From is the host that
// sent the new record, empty if it was made here.
type Disseminate struct {
	Host   string
	From   string
	Urgent bool
}

// LiveChanged lists the live hosts, sorted, and reports whether this host
// hears from a majority of the agreed list.
type LiveChanged struct {
	Live    []string
	Quorate bool
}

// NeighboursChanged lists the hosts to exchange messages with, sorted.
type NeighboursChanged struct {
	Neighbours []Neighbour
}

// Neighbour is a host to exchange messages with. A leaf is a host that this
// host is a relay of.
type Neighbour struct {
	Member Member
	Leaf   bool
}

// Resync asks for an exchange of digests with a neighbour whose member digest
// has differed for too long.
type Resync struct {
	Peer string
}

// FeedBehind reports that a peer has had a newer configuration for over a
// second.
type FeedBehind struct {
	Peer     string
	Position Position
}

// ProposeMemberList asks the consensus group, led by this host, to replace
// the agreed list of epoch After. ByOperator is set if the change removes
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
