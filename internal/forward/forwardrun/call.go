// Package forwardrun forwards callers' requests to searchers. It carries out
// the decisions of package forward over pooled HTTP/1.1 connections.
package forwardrun

import (
	"net/http"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/workload"
)

// Call is a caller's request, read in full.
type Call struct {
	ID       string
	Method   string
	URI      string // path and query as the caller sent them
	Host     string
	Header   http.Header // to forward; without hop-by-hop headers
	Body     []byte
	Route    *routeplan.Route
	Arrived  time.Time
	Deadline time.Time
	// Shards are the indexes of the services of a gathered route that this call is
	// about, if it is a part of a divided gather; nil for all.
	Shards []int
	// Delay is the part of the latency that passes outside of this host: on the
	// network to the caller and, at a gatherer, on the way to the host that asked.
	Delay time.Duration
	// Account is the client account of the caller, nil if the route needs none. Key is
	// the digest of the caller's key, also on a route that needs none; zero if the caller
	// sent no key.
	Account *accounts.Account
	Key     accounts.Key
	// Grant is what the host that received the call allows this one, if it is another.
	Grant Grant
	// Permit returns why no further attempt may be made, or nil. It is called on the
	// goroutine of the run before each attempt. A nil Permit permits all.
	Permit func() *verdict.Error
}

// Permitted returns why no further attempt may be made, or nil.
func (c *Call) Permitted() *verdict.Error {
	if c.Permit == nil {
		return nil
	}
	return c.Permit()
}

// priority returns the rank of the call, 0 for the most urgent.
func (c *Call) priority() int { return c.Account.PriorityOr(c.Route.Priority) }

// shards returns the services of a gathered route that the call is about.
func (c *Call) shards() []string {
	if c.Shards == nil {
		return c.Route.Gather.Services
	}
	out := make([]string, len(c.Shards))
	for i, k := range c.Shards {
		out[i] = c.Route.Gather.Services[k]
	}
	return out
}

// services returns all services that may answer the call.
func (c *Call) services() []string {
	if c.Route.Gather != nil {
		return c.shards()
	}
	return c.Route.Services()
}

// features returns what the cost of the call is estimated by.
func (c *Call) features() workload.Features {
	f := workload.Features{Route: c.Route.Name, Body: len(c.Body)}
	if c.Account != nil {
		f.Account = c.Account.Name
	}
	return f
}

// nominalWeight is the weight of an account without a limit, and of requests of none. It
// is about the rate of a usual account.
const nominalWeight = 10

// weight returns the share of the call's account where accounts compete: its limit, which
// is in proportion to what it usually sends.
func (c *Call) weight() float64 {
	if c.Account == nil || c.Account.Rate <= 0 {
		return nominalWeight
	}
	return c.Account.Rate
}

// began returns the time from which the latency objective counts here: an answer
// that leaves this host within the objective after it reaches the caller in time.
func (c *Call) began() time.Time { return c.Arrived.Add(-c.Delay) }

// Reply is a complete HTTP response from a searcher.
type Reply struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string // proves that the searcher made the reply

	meta    ReplyMeta
	charged int64 // bytes of the memory for replies
}

// ReplyMeta holds what the headers of a reply state about it.
type ReplyMeta struct {
	RequestID string // echoed by the searcher
	Signature string
	NotRun    bool // the searcher states that the request did not run
	Notice    forward.Notice
	Load      workload.Report // of the searcher when it replied
}

// Wire encodes requests to searchers and parses the headers of their replies.
// An implementation knows the header names of the searchers' protocol.
type Wire interface {
	// AppendRequest appends the encoded request to the searcher named target,
	// which is to stop work after timeLeft.
	AppendRequest(buf []byte, c *Call, target string, timeLeft time.Duration) []byte
	// ParseHeader parses the headers of a reply with the given status.
	ParseHeader(status int, h http.Header) ReplyMeta
}

// Answer is the outcome of a call.
type Answer struct {
	Reply *Reply // of a single service, if one answered

	// Of a gathered route:
	Signatures []string // of the replies in the answer
	Body       []byte   // the greatest records of the replies
	Missing    int      // shards without a reply

	// Admitted is the share of the route's requests that the gatherer admits, 0 if it
	// is not known.
	Admitted float64

	Attempts []AttemptRecord    // made by this host
	Leaving  []forward.Identity // searchers whose replies said that they leave
	Gatherer string             // host that gathered the answer, if not this one
	Plan     uint64             // version of the gatherer's route plan

	// Charge is the memory that the searcher's reply holds, until Release.
	Charge *Charge
}

// Release returns the memory of the searcher's reply. It must be called once the reply
// has been sent or copied. The answer may be nil.
func (a *Answer) Release() {
	if a != nil {
		a.Charge.Release()
	}
}

// AttemptRecord describes an attempt for the log.
type AttemptRecord struct {
	Service string
	Target  string
	Result  string
	Took    time.Duration // until its end, or until the end of the call if it was still open then
}

func attemptRecords(run *forward.Run, now time.Time) []AttemptRecord {
	attempts := run.Attempts()
	out := make([]AttemptRecord, 0, len(attempts))
	for _, a := range attempts {
		r := AttemptRecord{Service: a.Service, Target: a.Searcher.Target, Result: a.Result.String(), Took: a.Ended.Sub(a.Began)}
		if a.Open {
			r.Result, r.Took = "open", now.Sub(a.Began)
		}
		out = append(out, r)
	}
	return out
}
