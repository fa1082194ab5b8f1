// Package verdict says whether a request may have run, and provides errors
// that carry that verdict together with a stable code.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have run at a target, or a change may
// have been accepted.
type Verdict uint8

// MayHaveRun is the zero value, so an unset verdict never claims that a request
// did not run.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the verdict as it appears in the JSON interfaces.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MarshalText encodes the verdict as its string form.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes the string form. Unknown text decodes to MayHaveRun,
// the most cautious verdict.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not_run":
		*v = NotRun
	case "ran":
		*v = Ran
	default:
		*v = MayHaveRun
	}
	return nil
}

// Join combines the verdicts of two attempts of one request: Ran if either is
// Ran, NotRun if both are NotRun, and otherwise MayHaveRun.
func Join(a, b Verdict) Verdict {
	if a == Ran || b == Ran {
		return Ran
	}
	if a == NotRun && b == NotRun {
		return NotRun
	}
	return MayHaveRun
}

// Code is a stable, machine-readable reason for an error.
type Code string

// Codes shared by several packages. Each package declares its other codes itself.
const (
	CodeInvalidRequest   Code = "invalid_request"
	CodeUnavailable      Code = "unavailable"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeHostStops        Code = "host_stops" // the host exits before the request has ended
	CodeInternal         Code = "internal"
)

// Error is an error with a code, a verdict and an optional hint of when a retry
// may succeed.
type Error struct {
	Code       Code
	Verdict    Verdict
	RetryAfter time.Duration
	cause      error
}

// New returns an error with a formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: v, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns an error that keeps err as its cause.
func Wrap(err error, v Verdict, code Code, msg string) *Error {
	return &Error{Code: code, Verdict: v, cause: errors.WrapWithDepth(1, err, msg)}
}

// WithRetryAfter sets the retry hint and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the verdict that err carries, or MayHaveRun if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// CodeOf returns the code that err carries, or CodeInternal if it carries
// none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}
