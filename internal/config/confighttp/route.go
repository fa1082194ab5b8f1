package confighttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Routes explains how requests of the route plan are routed.
type Routes interface {
	// ExplainRoute says where a request would go now. It sends and changes nothing.
	ExplainRoute(q RouteQuery) (RouteExplanation, error)
}

// Codes of a request that can't be explained.
const (
	CodeUnknownRouteHost verdict.Code = "unknown_host_name"
	CodeUnknownPath      verdict.Code = "unknown_path"
	CodeUnknownAccount   verdict.Code = "unknown_account"
	CodeNoPlan           verdict.Code = "no_route_plan"
)

// RouteQuery describes a request. It has no key of an account, so that none gets into a
// log or a shell history; the account is given by its name.
type RouteQuery struct {
	Method    string `json:"method"`
	Host      string `json:"host"`
	Path      string `json:"path"`
	Account   string `json:"account,omitempty"`
	BodyBytes int    `json:"body_bytes"`
}

// RouteExplanation says where a request would go. Times are in milliseconds; an age is
// absent if nothing was observed.
type RouteExplanation struct {
	Request       RouteQuery     `json:"request"`
	Host          string         `json:"host"` // that answers
	FailureDomain string         `json:"failure_domain"`
	Phase         string         `json:"phase"`
	Route         RouteMatch     `json:"route"`
	Account       *RouteAccount  `json:"account,omitempty"`
	Refused       *RouteRefusal  `json:"refused,omitempty"`
	Warnings      []string       `json:"warnings,omitempty"`
	PlanVersion   uint64         `json:"plan_version"`
	PlanAgeMS     *float64       `json:"plan_confirmed_age_ms,omitempty"` // since a leader confirmed the plan
	Gatherers     []string       `json:"gatherers,omitempty"`             // hosts that carry the request out, if not all do
	Here          bool           `json:"carried_out_here"`                // the estimates below apply
	Parts         int            `json:"parts,omitempty"`                 // of a divided gather
	AdmittedShare float64        `json:"admitted_share"`
	WorkMS        float64        `json:"estimated_work_ms"`
	WorkAgeMS     *float64       `json:"estimated_work_age_ms,omitempty"`
	HedgeDelayMS  float64        `json:"hedge_delay_ms"`
	Services      []RouteService `json:"services"`
}

// RouteMatch is the route that matches a request.
type RouteMatch struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"prefix"`
	Gather      bool    `json:"gather"`
	Idempotent  bool    `json:"idempotent"`
	Public      bool    `json:"public"`
	Priority    int     `json:"priority"` // that applies to the request
	ObjectiveMS float64 `json:"objective_ms"`
	TimeoutMS   float64 `json:"timeout_ms"`
}

// RouteAccount is the account of a request.
type RouteAccount struct {
	Name         string  `json:"name"`
	RatePerS     float64 `json:"rate_per_s"` // 0 for no limit
	Burst        float64 `json:"burst"`
	HasOwnRank   bool    `json:"has_own_priority"`
	KeysAccepted bool    `json:"keys_accepted"` // the host has the confirmation that keyed requests need
}

// RouteRefusal says why the host would refuse a request.
type RouteRefusal struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
}

// RouteService says where the sub-request for a service would go.
type RouteService struct {
	Service    string           `json:"service"`
	Share      float64          `json:"share"` // of the route's requests
	Chosen     string           `json:"chosen,omitempty"`
	ExpectedMS *float64         `json:"expected_ms,omitempty"` // absent if no searcher can be used
	ExtraLeft  float64          `json:"extra_attempts_left"`
	Candidates []RouteCandidate `json:"candidates"`
}

// RouteCandidate is a searcher as the choice sees it.
type RouteCandidate struct {
	Target        string   `json:"target"`
	FailureDomain string   `json:"failure_domain"`
	ExpectedMS    float64  `json:"expected_ms"`
	WorkMS        float64  `json:"work_ms"` // of the request, at the searcher's pace
	WaitMS        float64  `json:"wait_ms"` // for this host's unfinished attempts
	StallMS       float64  `json:"stall_ms,omitempty"`
	CrossingMS    float64  `json:"crossing_ms,omitempty"`
	FailuresMS    float64  `json:"failures_ms,omitempty"`
	Pace          float64  `json:"pace"`
	InFlight      int      `json:"in_flight"` // of this host
	Capacity      int      `json:"capacity"`  // most that this host may have in flight
	Slots         int      `json:"slots"`
	Cold          bool     `json:"cold,omitempty"`
	Reported      string   `json:"reported,omitempty"`
	ReportWeight  float64  `json:"report_weight,omitempty"`
	ReportAgeMS   *float64 `json:"report_age_ms,omitempty"`
	ResponseAgeMS *float64 `json:"response_age_ms,omitempty"`
	Why           string   `json:"why"`
}

func (s *server) explainRoute(c call) {
	params := c.r.URL.Query()
	q := RouteQuery{Method: params.Get("method"), Host: params.Get("host"), Path: params.Get("path"), Account: params.Get("account")}
	bytes, err := uintParam(c.r, "body_bytes", 0)
	if err != nil || q.Host == "" || q.Path == "" {
		message := "the parameters host and path are needed"
		if err != nil {
			message = err.Error()
		}
		writeError(c.w, http.StatusBadRequest, ErrorDetail{Code: verdict.CodeInvalidRequest, Verdict: verdict.NotRun, Message: message})
		return
	}
	q.BodyBytes = int(min(bytes, 1<<30))
	if s.Routes == nil {
		writeError(c.w, http.StatusNotFound, ErrorDetail{Code: CodeNoPlan, Verdict: verdict.NotRun, Message: "this host serves no route plan"})
		return
	}
	out, err := s.Routes.ExplainRoute(q)
	if err == nil {
		writeJSON(c.w, http.StatusOK, out)
		return
	}
	d := ErrorDetail{Code: verdict.CodeOf(err), Verdict: verdict.Of(err), Message: err.Error()}
	status := http.StatusServiceUnavailable
	switch d.Code {
	case CodeUnknownRouteHost, CodeUnknownPath, CodeUnknownAccount:
		status = http.StatusNotFound
	}
	writeError(c.w, status, d)
}

// ExplainRoute says where a request would go now.
func (c *Client) ExplainRoute(ctx context.Context, q RouteQuery) (RouteExplanation, error) {
	params := url.Values{"method": {q.Method}, "host": {q.Host}, "path": {q.Path}, "body_bytes": {strconv.Itoa(q.BodyBytes)}}
	if q.Account != "" {
		params.Set("account", q.Account)
	}
	var out RouteExplanation
	return out, c.do(ctx, http.MethodGet, "/routes/explain?"+params.Encode(), nil, &out)
}
