// Package forwardrun carries callers' requests to searchers: it drives the
// decisions of package forward over pooled HTTP/1.1 connections.
package forwardrun

import (
	"net/http"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// Call is a caller's request, read in full.
type Call struct {
	ID       string
	Method   string
	URI      string // path and query as the caller sent them
	Host     string
	Header   http.Header // to be passed on; without those of one connection
	Body     []byte
	Route    *routeplan.Route
	Arrived  time.Time
	Deadline time.Time
}

// Reply is a searcher's whole answer.
type Reply struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string // the searcher's proof that it made the answer
}

// ReplyMeta holds what the headers of a reply state about it.
type ReplyMeta struct {
	RequestID string // echoed by the searcher
	Signature string
	NotRun    bool // the searcher states that the request did not run
}

// Wire encodes requests for searchers and reads their answers' headers. It
// holds the names that the searchers' protocol uses.
type Wire interface {
	// AppendRequest appends the request for the searcher of a target name,
	// which is to stop work when timeLeft has passed.
	AppendRequest(buf []byte, c *Call, target string, timeLeft time.Duration) []byte
	// ParseHeader reads the headers of a reply.
	ParseHeader(h http.Header) ReplyMeta
}

// Answer is the outcome of a call.
type Answer struct {
	Reply *Reply // of a single service, if one answered

	// Of a gathered route:
	Signatures []string // of the shards in the answer
	Body       []byte   // their greatest records
	Missing    int      // shards without a reply

	Attempts []AttemptRecord // made by this host
	Gatherer string          // host that gathered, if another one
}

// AttemptRecord is an attempt for the log.
type AttemptRecord struct {
	Service string
	Target  string
	Result  string
	Took    time.Duration
}

func records(run *forward.Run, now time.Time) []AttemptRecord {
	attempts := run.Attempts()
	out := make([]AttemptRecord, 0, len(attempts))
	for _, a := range attempts {
		r := AttemptRecord{Service: a.Service, Target: a.Searcher.Target, Result: a.Result.String(), Took: now.Sub(a.Began)}
		if a.Open {
			r.Result = "open"
		}
		out = append(out, r)
	}
	return out
}
