package targets

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Event is an input of the registry.
type Event interface{ isTargetsEvent() }

// Tick drives the timeouts. It is due about every 100 ms.
type Tick struct{}

// RecordReceived carries a record that another host disseminated. ExpiredFor is
// the time since its expiry, if it is expired.
type RecordReceived struct {
	From       string
	Record     *Record
	ExpiredFor time.Duration
}

// LayoutReceived carries a layout that another host disseminated. Committed is
// set if that host has it from the replicated log.
type LayoutReceived struct {
	From      string
	Layout    *Layout
	Committed bool
}

// RenewalsReceived carries renewals that another host forwarded to this owner.
type RenewalsReceived struct {
	From     string
	Renewals []Renewal
}

// RenewalsFailed reports that forwarded renewals did not reach an owner.
type RenewalsFailed struct {
	To       string
	Renewals []Renewal
}

// DrainObserved reports that a target takes no new work. Leaving is set if a
// reply of the target itself said so, or the target said that it is gone, which holds for the rest of its
// incarnation. Otherwise a later announcement ends the drain.
type DrainObserved struct {
	Target      string
	Incarnation uint64
	Leaving     bool
}

// MembersChanged lists the live hosts. Quorate is set if this host hears from a
// majority of the agreed member list. A host in a minority expires no lease,
// because the renewals may reach only the hosts of the majority.
type MembersChanged struct {
	Live    []string
	Quorate bool
}

// LayoutCommitted carries a layout that is committed in the replicated log,
// which keeps the first accepted layout of an index snapshot.
type LayoutCommitted struct {
	Layout *Layout
}

func (Tick) isTargetsEvent()             {}
func (RecordReceived) isTargetsEvent()   {}
func (LayoutReceived) isTargetsEvent()   {}
func (RenewalsReceived) isTargetsEvent() {}
func (RenewalsFailed) isTargetsEvent()   {}
func (DrainObserved) isTargetsEvent()    {}
func (MembersChanged) isTargetsEvent()   {}
func (LayoutCommitted) isTargetsEvent()  {}

// Effect is an output of the registry.
type Effect interface{ isTargetsEffect() }

// Renewal extends the lease of one target. ContentHash is the hash of the
// announced content, so that an owner never revives a record of other content.
type Renewal struct {
	Target      string
	Incarnation uint64
	Seq         uint64
	ContentHash uint64
}

// ForwardRenewals sends renewals to an owner of their leases.
type ForwardRenewals struct {
	To       string
	Renewals []Renewal
}

// Disseminate sends the changed record of a target to the other hosts. From is
// the host that the change came from, and empty for a change made at this host.
// Urgent is set for a target that is draining, expired or revived.
type Disseminate struct {
	Target string
	From   string
	Urgent bool
}

// DisseminateLayout sends a new, replaced or newly committed layout to the other
// hosts. From is used as in Disseminate.
type DisseminateLayout struct {
	IndexSnapshot string
	From          string
}

// ProposeLayout proposes a layout to the replicated log.
type ProposeLayout struct {
	Layout *Layout
}

// Log writes a numbered event.
type Log struct {
	Event  eventlog.Event
	Target string
	Detail string
}

func (ForwardRenewals) isTargetsEffect()   {}
func (Disseminate) isTargetsEffect()       {}
func (DisseminateLayout) isTargetsEffect() {}
func (ProposeLayout) isTargetsEffect()     {}
func (Log) isTargetsEffect()               {}
