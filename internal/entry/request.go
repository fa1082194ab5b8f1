// Package entry defines and validates callers' requests, and decides whether a
// host may accept new work.
package entry

import (
	"math"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Limits of one request.
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

// Origin identifies the sender of a request and holds the attributes that
// selectors match.
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

// Timeouts holds the default and the maximum timeout of requests.
type Timeouts struct {
	Default time.Duration // if neither the request nor its group sets a timeout
	Max     time.Duration
}

// Of returns the timeout of a request: the requested one, else the default of
// the group, capped at t.Max, else t.Default.
func (t Timeouts) Of(requested time.Duration, l routing.Limits) time.Duration {
	if requested > 0 {
		return requested
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

func checkTimeout(requested time.Duration, t Timeouts) error {
	if requested != 0 && (requested < minTimeout || requested > t.Max) {
		return verdict.New(verdict.NotRun, CodeImpossibleTimeout, "timeout %s is outside %s..%s", requested, minTimeout, t.Max)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, format, args...)
}
