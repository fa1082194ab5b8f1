// Package routeplan holds the route plan: a whole configuration that says, by
// host name and path prefix, which services may run a caller's request. The
// plan of the highest version is in force; an operator replaces it as a whole.
package routeplan

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of refused plans.
const (
	CodeInvalidPlan verdict.Code = "invalid_plan"
)

// Document is a plan with the operator's own text of it, which is returned
// unchanged when the plan is read back. A Document is immutable.
type Document struct {
	Version uint64
	Source  []byte
	Encoded []byte // as the replicated log and other hosts hold it
	Plan    *Plan
}

// Plan is a decoded route plan.
type Plan struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   CallerLimits
}

// Route says what becomes of the requests to a host name and path prefix.
// Exactly one of Splits and Gather is set.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Idempotent bool   // a request may run more than once
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective   time.Duration
	MaxAttempts int // searchers on which one caller's request may run, for each service
	Priority    int // 0 is the most urgent
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
	TopK     int     // records in an answer
	MinRatio float64 // least share of the shards in a success
}

// MinShards returns the least number of shards in a success, at least one.
func (g *Gather) MinShards() int {
	n := len(g.Services)
	for k := 1; k <= n; k++ {
		if float64(k)/float64(n) >= g.MinRatio-ratioTolerance {
			return k
		}
	}
	return n
}

// ratioTolerance absorbs the rounding of a ratio that was written in decimal.
const ratioTolerance = 1e-9

// Service is a set of searchers that announce the same service name.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // per searcher, over all hosts
}

// CallerLimits bound what a caller may send. Zero means no bound.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
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

// Validate returns the first reason why the plan can't be put in force.
func (p *Plan) Validate() error {
	services := make(map[string]bool, len(p.Services))
	for _, s := range p.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service name %q is empty or repeated", s.Name)
		}
		services[s.Name] = true
	}
	places := make(map[[2]string]bool, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		place := [2]string{r.Host, r.PathPrefix}
		if places[place] {
			return invalid("route %q repeats host %q and prefix %q", r.Name, r.Host, r.PathPrefix)
		}
		places[place] = true
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
		return invalid("route %q gathers %d records", r.Name, g.TopK)
	case g.MinRatio < 0 || g.MinRatio > 1:
		return invalid("route %q has the least share %v of shards, outside 0..1", r.Name, g.MinRatio)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, CodeInvalidPlan, format, args...)
}
