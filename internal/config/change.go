// Package config implements the replicated configuration state machine. It
// holds the groups and selectors in force, the agreed member list, the layouts
// of index snapshots, and the results of past changes.
package config

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Teams with special rights.
const (
	// AdminTeam may change the objects of every team and forget hosts.
	AdminTeam = "admin"
	// SystemTeam is the team of changes that hosts make themselves.
	SystemTeam = "system"
)

// Codes of refused changes.
const (
	CodeInvalidChange   verdict.Code = "invalid_change"
	CodeContentMismatch verdict.Code = "change_id_reused"
	CodeBaseTooNew      verdict.Code = "base_too_new"
	CodeBaseTooOld      verdict.Code = "base_too_old"
	CodeConflict        verdict.Code = "change_conflict"
	CodeNotOwner        verdict.Code = "not_owner"
	CodeUnknownObject   verdict.Code = "unknown_object"
	CodeUnknownGroup    verdict.Code = routing.CodeUnknownGroup
	CodeGroupInUse      verdict.Code = "group_in_use"
	CodeAmbiguous       verdict.Code = "ambiguous_selectors"
	CodeLayoutChanged   verdict.Code = "layout_changed"
	CodeStaleEpoch      verdict.Code = "stale_epoch"
	CodeTooMany         verdict.Code = "too_many_objects"
	CodeStaleEntry      verdict.Code = "stale_entry"
)

// Bounds of one change and of the state.
const (
	MaxOps              = 256
	MaxNameBytes        = 128
	MaxNoteBytes        = 4096
	MaxLabels           = 64
	MaxGroups           = 4096
	MaxSelectors        = 16384
	MaxMembers          = 20_000
	MaxLayoutShards     = 4096
	MaxLayoutsPerGroup  = 16
	MaxTimeoutMSec      = 3_600_000
	MaxConcurrencyLimit = 1_000_000
)

// Bounds of the results and the history kept of past changes.
const (
	// MaxRecords bounds the results kept to answer resent changes.
	MaxRecords = 200_000
	// MaxRecordAge bounds the age of these results.
	MaxRecordAge = 30 * 24 * time.Hour
	// MaxHistory bounds the full changes kept for the history and for the
	// conflict checks of changes with an older base.
	MaxHistory = 5_000
)

// Change is a set of operations that is accepted or refused as a whole.
type Change struct {
	ID     string // chosen by the author; a resend has the same ID
	Author string
	Team   string
	Note   string
	Base   uint64 // revision that the author saw
	Ops    []Op
}

// SystemChange returns a change that a host makes itself. Its ID is derived
// from base and content, so that a change that several hosts propose at the
// same base is applied once.
func SystemChange(host string, base uint64, ops ...Op) Change {
	c := Change{Author: host, Team: SystemTeam, Base: base, Ops: ops}
	c.ID = c.DerivedID()
	return c
}

// Op is one operation of a change.
type Op interface{ configOp() }

// PutGroup creates or replaces a group.
type PutGroup struct{ Group routing.Group }

// DeleteGroup removes a group that no selector uses.
type DeleteGroup struct{ Name string }

// PutSelector creates or replaces a selector.
type PutSelector struct{ Selector routing.Selector }

// DeleteSelector removes a selector.
type DeleteSelector struct{ Name string }

// ForgetHost removes from the member list a host that will not return.
type ForgetHost struct{ Host string }

// SetMembers replaces the agreed member list. Epoch must exceed the current
// epoch.
type SetMembers struct {
	Epoch   uint64
	Members []string
	Base    int // see Members
}

// AddLayout records the layout of a group's index snapshot. A group keeps the
// MaxLayoutsPerGroup layouts with the highest generations.
type AddLayout struct {
	Group         string
	IndexSnapshot string
	Generation    uint64
	Layout        []string
}

// RemoveLayout removes the layout of an index snapshot that is no longer used.
type RemoveLayout struct {
	Group         string
	IndexSnapshot string
}

func (PutGroup) configOp()       {}
func (DeleteGroup) configOp()    {}
func (PutSelector) configOp()    {}
func (DeleteSelector) configOp() {}
func (ForgetHost) configOp()     {}
func (SetMembers) configOp()     {}
func (AddLayout) configOp()      {}
func (RemoveLayout) configOp()   {}

// Object identifies an object that a change touches.
type Object struct {
	Kind ObjectKind
	Name string
}

// ObjectKind is the kind of an object.
type ObjectKind string

// Kinds of objects that operators change.
const (
	KindGroup    ObjectKind = "group"
	KindSelector ObjectKind = "selector"
	KindHost     ObjectKind = "host"
)

// String returns the kind and the quoted name.
func (o Object) String() string { return string(o.Kind) + ` "` + o.Name + `"` }

// objectOf returns the object that an operation touches. SetMembers, AddLayout
// and RemoveLayout have none: epochs and generations order them.
func objectOf(op Op) (Object, bool) {
	switch op := op.(type) {
	case PutGroup:
		return Object{KindGroup, op.Group.Name}, true
	case DeleteGroup:
		return Object{KindGroup, op.Name}, true
	case PutSelector:
		return Object{KindSelector, op.Selector.Name}, true
	case DeleteSelector:
		return Object{KindSelector, op.Name}, true
	case ForgetHost:
		return Object{KindHost, op.Host}, true
	default:
		return Object{}, false
	}
}

// Outcome tells whether a change was accepted or refused.
type Outcome uint8

// Outcomes of a change.
const (
	Refused Outcome = iota + 1
	Accepted
)

// String returns the outcome as it appears in the JSON interfaces.
func (o Outcome) String() string {
	if o == Accepted {
		return "accepted"
	}
	return "refused"
}

// Conflict identifies the earlier change that a change conflicts with.
type Conflict struct {
	Object   Object
	ChangeID string
	Author   string
	Revision uint64
	At       time.Time
}

// Result is the decision on a change. A resend gets the result of the first
// submission, with Resend set.
type Result struct {
	Outcome  Outcome
	Revision uint64 // of an accepted change
	At       time.Time
	Code     verdict.Code // of a refused change
	Message  string       // of a refused change
	Conflict *Conflict    // of a change refused with CodeConflict
	Resend   bool
	// Final is set on a refusal that no later state can turn into an
	// acceptance of the same change. A proposer may answer such a refusal
	// without a log entry. A change with any other refusal must still be
	// proposed, so that the refusal is recorded and a delayed copy of the change
	// is not accepted afterwards.
	Final bool
}

// Err returns the refusal as an error with verdict NotRun, or nil.
func (r Result) Err() error {
	if r.Outcome == Accepted {
		return nil
	}
	return verdict.New(verdict.NotRun, r.Code, "%s", r.Message)
}
