// Package routeplan holds the route plan, which says by host name and path
// prefix which services may run a caller's request. The plan with the highest
// version is in force; operators replace it as a whole.
package routeplan

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Error codes of this package.
const (
	CodeInvalidPlan verdict.Code = "invalid_plan"
	CodeNoRoute     verdict.Code = "no_route" // the plan has no route for a request
)

// Document is a plan and the text in which the operator wrote it, which is
// returned unchanged when the plan is read. A Document is immutable.
type Document struct {
	Version uint64
	Source  []byte
	Encoded []byte // as stored in the replicated log and sent to other hosts
	Plan    *Plan
}

// Plan is a decoded route plan.
type Plan struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   CallerLimits
	// Accounts are the client accounts. If it is nil, requests need no key.
	Accounts []accounts.Account
	// Unreadable says which part of the operator's text could not be read and is left
	// out, or is nil. A new plan must have none.
	Unreadable error
}

// Route says how requests to a host name and path prefix are handled.
// Exactly one of Splits and Gather is set.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Idempotent bool   // a request may run more than once
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Objective is the latency objective. A later answer is worth less.
	Objective   time.Duration
	MaxAttempts int  // attempts of one caller's request that may run, for each service
	Priority    int  // 0 is the most urgent
	Public      bool // requests need no key
	Splits      []Split
	Gather      *Gather
}

// Split is one of the services among which a route's requests are divided in
// proportion to their weights.
type Split struct {
	Service string
	Weight  float64
}

// Gather sends a request to one searcher of each of several services, the
// shards, and merges their answers.
type Gather struct {
	Services []string
	TopK     int     // records in a merged answer
	MinRatio float64 // smallest share of the shards in a successful answer
}

// MinShards returns the smallest number of shards in a successful answer, at
// least one.
func (g *Gather) MinShards() int {
	n := len(g.Services)
	for k := 1; k <= n; k++ {
		if float64(k)/float64(n) >= g.MinRatio-ratioTolerance {
			return k
		}
	}
	return n
}

// MaxMissing returns the greatest number of shards that a successful answer may lack.
func (g *Gather) MaxMissing() int { return len(g.Services) - g.MinShards() }

// SetID identifies the services of a gather, in their order.
func (g *Gather) SetID() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range g.Services {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// ratioTolerance absorbs the rounding of a ratio that was written in decimal.
const ratioTolerance = 1e-9

// Service is a set of searchers that announce the same service name.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // per searcher, over all hosts
	// Warmup is the longest time for which a target is cold after its start.
	Warmup time.Duration
	// WarmupRate bounds the requests a second to a cold target, over all hosts. 0 states no
	// bound.
	WarmupRate float64
}

// CallerLimits bound what a caller may send. Zero means no bound.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	IdleTimeout    time.Duration // of a connection between two requests
}

// Services returns the services that a route may use.
func (r *Route) Services() []string {
	if r.Gather != nil {
		return r.Gather.Services
	}
	out := make([]string, len(r.Splits))
	for i, s := range r.Splits {
		out[i] = s.Service
	}
	return out
}

// Validate returns an error for the first fault of the plan.
func (p *Plan) Validate() error {
	services := make(map[string]bool, len(p.Services))
	for _, s := range p.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service name %q is empty or repeated", s.Name)
		}
		services[s.Name] = true
	}
	keys := make(map[[2]string]bool, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := [2]string{r.Host, r.PathPrefix}
		if keys[key] {
			return invalid("route %q repeats host %q and prefix %q", r.Name, r.Host, r.PathPrefix)
		}
		keys[key] = true
	}
	return nil
}

// ValidateNew returns an error for the first fault that only a newly submitted plan
// must not have. Validate does not check for it, because plans that were accepted
// before the check existed must still be readable from the log.
//
// Routes whose host names differ only in case, port or a trailing dot match the same
// requests, so one of them would never be used.
func (p *Plan) ValidateNew() error {
	if p.Unreadable != nil {
		return verdict.Wrap(p.Unreadable, verdict.NotRun, CodeInvalidPlan, "read the plan")
	}
	first := make(map[routeKey]string, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		key := routeKey{canonicalHost(r.Host), r.PathPrefix}
		if name, ok := first[key]; ok {
			return invalid("routes %q and %q match the same requests: host %q, prefix %q", name, r.Name, r.Host, r.PathPrefix)
		}
		first[key] = r.Name
	}
	for _, s := range p.Services {
		if s.Warmup < 0 || !(s.WarmupRate >= 0) || math.IsInf(s.WarmupRate, 0) {
			return invalid("service %q has a negative warm-up time or rate, or one that is not a number", s.Name)
		}
	}
	if err := accounts.Validate(p.Accounts); err != nil {
		return verdict.Wrap(err, verdict.NotRun, CodeInvalidPlan, "the accounts of the plan")
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalid("route %q has no host", r.Name)
	case len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/':
		return invalid("prefix %q of route %q does not begin and end with a slash", r.PathPrefix, r.Name)
	case r.Timeout <= 0:
		return invalid("route %q has no timeout", r.Name)
	case (r.Gather == nil) == (len(r.Splits) == 0):
		return invalid("route %q must have either services to choose from or shards to gather", r.Name)
	}
	for _, s := range r.Services() {
		if !services[s] {
			return invalid("route %q names service %q, which does not exist", r.Name, s)
		}
	}
	if r.Gather != nil {
		return r.Gather.validate(r)
	}
	return r.validateWeights()
}

func (r *Route) validateWeights() error {
	total := 0.0
	for _, s := range r.Splits {
		if s.Weight < 0 {
			return invalid("route %q gives service %q a negative weight", r.Name, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (g *Gather) validate(r *Route) error {
	seen := make(map[string]bool, len(g.Services))
	for _, s := range g.Services {
		if seen[s] {
			return invalid("route %q gathers from service %q twice", r.Name, s)
		}
		seen[s] = true
	}
	switch {
	case len(g.Services) == 0:
		return invalid("route %q gathers from no service", r.Name)
	case g.TopK < 1:
		return invalid("route %q gathers %d records, less than 1", r.Name, g.TopK)
	case g.MinRatio < 0 || g.MinRatio > 1:
		return invalid("route %q requires the share %v of its shards, which is outside 0..1", r.Name, g.MinRatio)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, CodeInvalidPlan, format, args...)
}
