// Package confighttp implements the administration API: JSON over HTTP for
// pushing changes and for inspecting groups, selectors, targets and hosts. It
// holds the messages, the server and the client.
package confighttp

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Change is a change in a push or in a change file.
type Change struct {
	ID     string  `json:"id,omitempty"` // derived from base and content if empty
	Author string  `json:"author,omitempty"`
	Team   string  `json:"team,omitempty"`
	Note   string  `json:"note,omitempty"`
	Base   *uint64 `json:"base,omitempty"`
	Ops    []Op    `json:"ops"`
}

// Op is one operation. Exactly one field is set.
type Op struct {
	PutGroup       *Group    `json:"put_group,omitempty"`
	DeleteGroup    *Name     `json:"delete_group,omitempty"`
	PutSelector    *Selector `json:"put_selector,omitempty"`
	DeleteSelector *Name     `json:"delete_selector,omitempty"`
	ForgetHost     *Name     `json:"forget_host,omitempty"`
}

// Name identifies an object by its name.
type Name struct {
	Name string `json:"name"`
}

// Group is a group of targets.
type Group struct {
	Name     string            `json:"name"`
	Team     string            `json:"team"`
	Match    map[string]string `json:"match"`
	Priority string            `json:"priority,omitempty"` // normal, high or low
	Limits   Limits            `json:"limits,omitzero"`
}

// Limits are the limits of a group. Zero means the host's default.
type Limits struct {
	QueueLength       int `json:"queue_length,omitempty"`
	TeamConcurrency   int `json:"team_concurrency,omitempty"`
	CallerConcurrency int `json:"caller_concurrency,omitempty"`
	HedgePermille     int `json:"hedge_permille,omitempty"`
	MaxEjectedPercent int `json:"max_ejected_percent,omitempty"`
	DefaultTimeoutMS  int `json:"default_timeout_ms,omitempty"`
}

// Selector lets requests reach a group.
type Selector struct {
	Name  string            `json:"name"`
	Owner string            `json:"owner"`
	Team  string            `json:"team,omitempty"`
	Match map[string]string `json:"match,omitempty"`
	Group string            `json:"group"`
}

// Conflict identifies the earlier change that a change conflicts with.
type Conflict struct {
	Object   string    `json:"object"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// Result is the decision on a change.
type Result struct {
	ChangeID string          `json:"change_id"`
	Outcome  string          `json:"outcome"` // accepted or refused
	Verdict  verdict.Verdict `json:"verdict"`
	Revision uint64          `json:"revision,omitempty"`
	At       time.Time       `json:"at,omitzero"`
	Resend   bool            `json:"resend,omitempty"`
	Code     verdict.Code    `json:"code,omitempty"`
	Message  string          `json:"message,omitempty"`
	Conflict *Conflict       `json:"conflict,omitempty"`
}

// Preview is the result of a dry run.
type Preview struct {
	Result Result       `json:"result"`
	Groups []GroupMoves `json:"groups"`
	Routes []RouteMove  `json:"routes"`
}

// GroupMoves lists the targets that a change moves into or out of a group.
type GroupMoves struct {
	Group string   `json:"group"`
	Enter []string `json:"enter,omitempty"`
	Leave []string `json:"leave,omitempty"`
}

// Route is the destination of a request.
type Route struct {
	Selector string `json:"selector,omitempty"`
	Group    string `json:"group,omitempty"`
}

// RouteMove is a request with its routes before and after a change.
type RouteMove struct {
	Request Request `json:"request"`
	Before  Route   `json:"before"`
	After   Route   `json:"after"`
}

// Request holds the attributes of a request that routing uses.
type Request struct {
	Team   string            `json:"team"`
	Labels map[string]string `json:"labels,omitempty"`
	Group  string            `json:"group,omitempty"`
}

// Entry is an accepted change.
type Entry struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Change   Change    `json:"change"`
}

// History lists accepted changes, oldest first.
type History struct {
	Revision uint64  `json:"revision"` // current revision
	Entries  []Entry `json:"entries"`
}

// Diff shows what an accepted change did to each of its objects.
type Diff struct {
	Entry   Entry        `json:"entry"`
	Objects []ObjectDiff `json:"objects"`
}

// ObjectDiff describes what a change did to one object.
type ObjectDiff struct {
	Object string      `json:"object"`
	Action string      `json:"action"`
	Fields []FieldDiff `json:"fields,omitempty"`
}

// FieldDiff is one field that differs.
type FieldDiff struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Groups lists the groups in force.
type Groups struct {
	Revision uint64  `json:"revision"`
	Groups   []Group `json:"groups"`
}

// Selectors lists the selectors in force in order of precedence.
type Selectors struct {
	Revision  uint64     `json:"revision"`
	Selectors []Selector `json:"selectors"`
}

// Explanation shows how a request is routed.
type Explanation struct {
	Revision  uint64       `json:"revision"`
	Request   Request      `json:"request"`
	Winner    *Selector    `json:"winner,omitempty"`
	Error     string       `json:"error,omitempty"`
	Selectors []Evaluation `json:"selectors"`
}

// Evaluation tells whether a selector admits a request, and why.
type Evaluation struct {
	Selector Selector `json:"selector"`
	Matches  bool     `json:"matches"`
	Reason   string   `json:"reason"`
}

// Error is the body of an error reply.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code         verdict.Code    `json:"code"`
	Message      string          `json:"message"`
	Verdict      verdict.Verdict `json:"verdict"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	ChangeID     string          `json:"change_id,omitempty"`
	Conflict     *Conflict       `json:"conflict,omitempty"`
}

// Decode returns the change that the message describes. Base must be set.
func (m Change) Decode() (config.Change, error) {
	if m.Base == nil {
		return config.Change{}, verdict.New(verdict.NotRun, config.CodeInvalidChange,
			"the change has no base; set base to the revision that it is based on")
	}
	c := config.Change{ID: m.ID, Author: m.Author, Team: m.Team, Note: m.Note, Base: *m.Base}
	for i, op := range m.Ops {
		o, err := op.decode(i)
		if err != nil {
			return config.Change{}, err
		}
		c.Ops = append(c.Ops, o)
	}
	return c, nil
}

func (m Op) decode(i int) (config.Op, error) {
	var ops []config.Op
	if m.PutGroup != nil {
		g, ok := m.PutGroup.decode()
		if !ok {
			return nil, verdict.New(verdict.NotRun, config.CodeInvalidChange, "operation %d: priority %q is not normal, high or low", i, m.PutGroup.Priority)
		}
		ops = append(ops, config.PutGroup{Group: g})
	}
	if m.DeleteGroup != nil {
		ops = append(ops, config.DeleteGroup{Name: m.DeleteGroup.Name})
	}
	if m.PutSelector != nil {
		ops = append(ops, config.PutSelector{Selector: m.PutSelector.decode()})
	}
	if m.DeleteSelector != nil {
		ops = append(ops, config.DeleteSelector{Name: m.DeleteSelector.Name})
	}
	if m.ForgetHost != nil {
		ops = append(ops, config.ForgetHost{Host: m.ForgetHost.Name})
	}
	if len(ops) != 1 {
		return nil, verdict.New(verdict.NotRun, config.CodeInvalidChange,
			"operation %d holds %d of put_group, delete_group, put_selector, delete_selector and forget_host; it needs exactly one", i, len(ops))
	}
	return ops[0], nil
}

func (g Group) decode() (routing.Group, bool) {
	p, ok := routing.ParsePriority(g.Priority)
	return routing.Group{
		Name: g.Name, Team: g.Team, Match: g.Match, Priority: p,
		Limits: routing.Limits{
			QueueLength: g.Limits.QueueLength, TeamConcurrency: g.Limits.TeamConcurrency,
			CallerConcurrency: g.Limits.CallerConcurrency, HedgePermille: g.Limits.HedgePermille,
			MaxEjectedPercent: g.Limits.MaxEjectedPercent, DefaultTimeoutMSec: g.Limits.DefaultTimeoutMS,
		},
	}, ok
}

func (s Selector) decode() routing.Selector {
	return routing.Selector{Name: s.Name, Owner: s.Owner, Team: s.Team, Match: s.Match, Group: s.Group}
}
