// Package entry takes callers' requests: it checks them, finds the group that
// the selectors lead to, and says when a host may not take new work.
package entry

import (
	"math"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Bounds of one request.
const (
	MaxTermsBytes     = 4096
	MaxHits           = 1000
	MaxLabels         = 32
	MaxNameBytes      = 128
	MaxOrderBodyBytes = 64 << 10
	minTimeout        = time.Millisecond
)

// Codes of the errors of this package.
const (
	CodeMissingRequestID  verdict.Code = "missing_request_id"
	CodeImpossibleTimeout verdict.Code = "impossible_timeout"
	CodeNotReady          verdict.Code = "not_ready"
	CodeConfigStale       verdict.Code = "config_stale"
)

// Origin says who asks and what the selectors match on.
type Origin struct {
	RequestID string
	Caller    string // identifies the caller for fairness, such as its address
	Team      string
	Labels    routing.Labels
	Group     string // empty to leave the choice to the selectors
}

// QueryRequest is a caller's query before it is routed.
type QueryRequest struct {
	Origin
	Terms       string
	K           int
	Timeout     time.Duration // zero for the default, see Timeouts.Of
	MinCoverage float64
}

// OrderRequest is a caller's non-idempotent request before it is routed.
type OrderRequest struct {
	Origin
	Body    []byte // JSON
	First   bool   // the caller has never sent this request ID before
	Timeout time.Duration
}

// Timeouts bound what a caller may ask for.
type Timeouts struct {
	Default time.Duration // of a request that names none, in a group that sets none
	Max     time.Duration
}

// Of returns the timeout of a request for a group, whose limits may set a
// default of its own.
func (t Timeouts) Of(asked time.Duration, l routing.Limits) time.Duration {
	if asked > 0 {
		return asked
	}
	if l.DefaultTimeoutMSec > 0 {
		return min(t.Max, time.Duration(l.DefaultTimeoutMSec)*time.Millisecond)
	}
	return t.Default
}

func (o *Origin) validate() error {
	switch {
	case len(o.RequestID) > MaxNameBytes:
		return invalid("request_id is longer than %d bytes", MaxNameBytes)
	case o.Team == "" || len(o.Team) > MaxNameBytes:
		return invalid("team is missing or longer than %d bytes", MaxNameBytes)
	case len(o.Group) > MaxNameBytes:
		return invalid("group is longer than %d bytes", MaxNameBytes)
	case len(o.Labels) > MaxLabels:
		return invalid("%d labels, at most %d are allowed", len(o.Labels), MaxLabels)
	}
	for k, v := range o.Labels {
		if k == "" || len(k) > MaxNameBytes || len(v) > MaxNameBytes {
			return invalid("label %q is empty or longer than %d bytes", k, MaxNameBytes)
		}
	}
	return nil
}

// Validate checks the query.
func (q *QueryRequest) Validate(t Timeouts) error {
	if err := q.validate(); err != nil {
		return err
	}
	switch {
	case q.Terms == "" || len(q.Terms) > MaxTermsBytes:
		return invalid("terms are missing or longer than %d bytes", MaxTermsBytes)
	case q.K < 1 || q.K > MaxHits:
		return invalid("k %d is outside 1..%d", q.K, MaxHits)
	case math.IsNaN(q.MinCoverage) || q.MinCoverage < 0 || q.MinCoverage > 1:
		return invalid("min_coverage %v is outside 0..1", q.MinCoverage)
	}
	return checkTimeout(q.Timeout, t)
}

// Validate checks the order.
func (o *OrderRequest) Validate(t Timeouts) error {
	if err := o.validate(); err != nil {
		return err
	}
	switch {
	case o.RequestID == "":
		return verdict.New(verdict.NotRun, CodeMissingRequestID, "an order needs a request_id")
	case len(o.Body) > MaxOrderBodyBytes:
		return invalid("body is longer than %d bytes", MaxOrderBodyBytes)
	}
	return checkTimeout(o.Timeout, t)
}

func checkTimeout(asked time.Duration, t Timeouts) error {
	if asked != 0 && (asked < minTimeout || asked > t.Max) {
		return verdict.New(verdict.NotRun, CodeImpossibleTimeout, "timeout %s is outside %s..%s", asked, minTimeout, t.Max)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, format, args...)
}
