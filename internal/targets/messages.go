package targets

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Event is an input of the registry.
type Event interface{ isTargetsEvent() }

// Tick lets time pass. It is due about every 100 ms.
type Tick struct{}

// RecordReceived brings a record that another host disseminated. ExpiredFor
// is how long ago its lease ended, if it is expired.
type RecordReceived struct {
	From       string
	Record     *Record
	ExpiredFor time.Duration
}

// LayoutReceived brings a layout that another host disseminated. Committed is
// set if that host has it from the replicated log.
type LayoutReceived struct {
	From      string
	Layout    *Layout
	Committed bool
}

// RenewalsReceived brings renewals that another host forwarded to this owner.
type RenewalsReceived struct {
	From     string
	Renewals []Renewal
}

// RenewalsFailed says that forwarded renewals did not reach an owner.
type RenewalsFailed struct {
	To       string
	Renewals []Renewal
}

// DrainObserved says that a target's reply announced its drain.
type DrainObserved struct {
	Target      string
	Incarnation uint64
}

// MembersChanged names the live hosts. Quorate is whether this host hears
// from a majority of the agreed member list; a host in a minority expires no
// lease, because renewals reach the hosts on the other side.
type MembersChanged struct {
	Live    []string
	Quorate bool
}

// LayoutCommitted brings a layout that is committed in the replicated log. The
// log keeps the first accepted layout of an index snapshot.
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

// Renewal extends the lease of one target. Content is the hash of what the
// target announced, so that an owner never revives other content.
type Renewal struct {
	Target      string
	Incarnation uint64
	Seq         uint64
	Content     uint64
}

// ForwardRenewals sends renewals to an owner of their leases.
type ForwardRenewals struct {
	To       string
	Renewals []Renewal
}

// Disseminate says that the record of a target changed. From names the host
// that it came from and is empty for a change made here.
type Disseminate struct {
	Target string
	From   string
	Urgent bool
}

// DisseminateLayout says that a layout became known or was replaced.
type DisseminateLayout struct {
	IndexSnapshot string
	From          string
}

// ProposeLayout asks for a layout to be written to the replicated log.
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
