package routeplan

import (
	"iter"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
)

// Table looks up the routes and services of a plan. It is immutable.
type Table struct {
	Version  uint64
	Limits   CallerLimits
	Accounts *accounts.Directory // nil if requests need no key
	routes   map[routeKey]*Route
	services map[string]*Service
	gathered []string // names of the services from which some route gathers, sorted
	gathers  map[uint64]*Gather
	routed   map[string]bool // names of the services that some route names
}

// routeKey is the host name and path prefix of a route.
type routeKey struct{ host, prefix string }

// NewTable returns the table of a valid plan.
func NewTable(p *Plan) *Table {
	t := &Table{Version: p.Version, Limits: p.Limits, Accounts: accounts.NewDirectory(p.Accounts), routes: make(map[routeKey]*Route, len(p.Routes)), services: make(map[string]*Service, len(p.Services)), gathers: make(map[uint64]*Gather), routed: make(map[string]bool)}
	for i := range p.Services {
		t.services[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routes[routeKey{canonicalHost(r.Host), r.PathPrefix}] = r
		for _, name := range r.Services() {
			t.routed[name] = true
		}
		if r.Gather != nil {
			t.gathers[r.Gather.SetID()] = r.Gather
		}
	}
	for _, g := range t.gathers {
		t.gathered = append(t.gathered, g.Services...)
	}
	slices.Sort(t.gathered)
	t.gathered = slices.Compact(t.gathered)
	return t
}

// Route returns the route of a host name whose prefix is the longest that
// matches path, or nil.
func (t *Table) Route(host, path string) *Route {
	host = canonicalHost(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := t.routes[routeKey{host, path[:slash+1]}]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Service returns the service of the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services of the plan, in no particular order.
func (t *Table) Services() iter.Seq[*Service] { return maps.Values(t.services) }

// Routed reports whether some route names the service.
func (t *Table) Routed(service string) bool { return t.routed[service] }

// Gathered returns the names of all services from which some route gathers,
// sorted. The caller must not modify the result.
func (t *Table) Gathered() []string { return t.gathered }

// Gathers returns, by Gather.SetID, one gather for each set of shards. The caller must
// not modify the result.
func (t *Table) Gathers() map[uint64]*Gather { return t.gathers }

// canonicalHost returns a host name in lower case, without a port or a trailing
// dot.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		if _, err := netip.ParseAddr(host); err != nil {
			host = host[:i]
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
