// Package proposalsrpc is the twirp interface through which hosts send
// proposals to the leader of the replicated log.
package proposalsrpc

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// EncodeFailure converts an error to its message. leaderHost is the host to
// try instead, if known.
func EncodeFailure(err error, leaderHost string) *Failure {
	f := &Failure{
		Code: string(verdict.CodeOf(err)), Message: strings.ToValidUTF8(err.Error(), "?"), Verdict: verdict.Of(err).String(), LeaderHost: leaderHost,
	}
	var e *verdict.Error
	if errors.As(err, &e) {
		f.RetryAfterMs = e.RetryAfter.Milliseconds()
	}
	return f
}

// DecodeFailure converts a message to an error.
func DecodeFailure(f *Failure) error {
	var v verdict.Verdict
	// Unknown text decodes to MayHaveRun, so there is never an error.
	_ = v.UnmarshalText([]byte(f.GetVerdict()))
	e := verdict.New(v, verdict.Code(f.GetCode()), "%s", f.GetMessage())
	return e.WithRetryAfter(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
}
