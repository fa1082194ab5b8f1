package daemon

import (
	"fmt"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// planWarningAge is the age of a confirmation from which the explanation says that the
// host may be cut off. A leader confirms several times a second.
const planWarningAge = 3 * time.Second

// ExplainRoute implements confighttp.Routes.
func (b backend) ExplainRoute(q confighttp.RouteQuery) (confighttp.RouteExplanation, error) {
	d := b.d
	s := d.loop.Snapshot()
	plan := s.Plan
	out := confighttp.RouteExplanation{Request: q, Host: d.settings.Host, FailureDomain: d.settings.FailureDomain, Phase: s.Phase.String()}
	switch {
	case d.engine == nil:
		return out, verdict.New(verdict.NotRun, confighttp.CodeNoPlan, "this host serves no route plan")
	case s.Phase == lifecycle.Starting:
		return out, verdict.New(verdict.NotRun, codeHostStarting, "this host is starting: it takes no requests until it knows which route plan is in force")
	case plan == nil:
		return out, verdict.New(verdict.NotRun, confighttp.CodeNoPlan, "this host has no route plan yet")
	}
	out.PlanVersion = plan.Version
	path, _, _ := strings.Cut(q.Path, "?")
	route := plan.Route(q.Host, path)
	switch {
	case route == nil && !plan.HasHost(q.Host):
		return out, verdict.New(verdict.NotRun, confighttp.CodeUnknownRouteHost, "route plan %d has no route for the host name %q", plan.Version, q.Host)
	case route == nil:
		return out, verdict.New(verdict.NotRun, confighttp.CodeUnknownPath, "route plan %d has routes for the host name %q, and none whose prefix matches the path %q", plan.Version, q.Host, path)
	}
	account, err := d.explainAccount(&out, s, route, q.Account)
	if err != nil {
		return out, err
	}
	out.Route = confighttp.RouteMatch{
		Name: route.Name, Host: route.Host, PathPrefix: route.PathPrefix, Gather: route.Gather != nil, Idempotent: route.Idempotent, Public: route.Public,
		Priority: account.PriorityOr(route.Priority), ObjectiveMS: milliseconds(route.Objective), TimeoutMS: milliseconds(route.Timeout),
	}
	explainControl(&out, d.loop.Now(), s)
	p := d.gather.placement.Load()
	gatherers := p.gatherersOf(route)
	out.Here = gatherers == nil || gathering.Contains(gatherers, d.settings.Host)
	for _, g := range gatherers {
		out.Gatherers = append(out.Gatherers, g.Name)
	}
	if !out.Here {
		out.Warnings = append(out.Warnings, "this host hands the request to one of the gatherers; ask one of them for its candidates")
	}
	call := &forwardrun.Call{Method: q.Method, Route: route, Account: account}
	encodeExplanation(&out, d.engine.Explain(call, q.BodyBytes))
	return out, nil
}

// codeHostStarting is the code of an explanation by a host that does not serve yet.
const codeHostStarting verdict.Code = "host_starting"

// explainAccount finds the account by its name and says whether its requests are refused.
func (d *Daemon) explainAccount(out *confighttp.RouteExplanation, s *control.Snapshot, route *routeplan.Route, name string) (*accounts.Account, error) {
	directory := s.Plan.Accounts
	if name == "" {
		if directory != nil && !route.Public {
			out.Refused = &confighttp.RouteRefusal{Code: accounts.CodeUnknownKey, Message: "the route needs the key of an account; name one with -account"}
		}
		return nil, nil
	}
	account, ok := directory.Named(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, confighttp.CodeUnknownAccount, "route plan %d has no account %q", s.Plan.Version, name)
	}
	confirmed := d.keysConfirmed(s)
	out.Account = &confighttp.RouteAccount{Name: account.Name, RatePerS: account.Rate, Burst: account.Burst, HasOwnRank: account.Priority != accounts.NoPriority, KeysAccepted: confirmed}
	if !confirmed {
		refusal := d.revocation().Refusal()
		out.Refused = &confighttp.RouteRefusal{Code: refusal.Code, Message: refusal.Error()}
	}
	return account, nil
}

// explainControl adds the age of the plan, and whether the host may be cut off. now is on
// the clock of the control state.
func explainControl(out *confighttp.RouteExplanation, now time.Time, s *control.Snapshot) {
	if s.Phase > lifecycle.LameDuck {
		out.Refused = &confighttp.RouteRefusal{Code: verdict.CodeHostStops, Message: "this host is " + s.Phase.String() + " and refuses new requests"}
	}
	if s.PlanConfirmedAt.IsZero() {
		out.Warnings = append(out.Warnings, "no leader has confirmed the route plan since this host started; it may be cut off, and a newer plan may be in force elsewhere")
		return
	}
	age := now.Sub(s.PlanConfirmedAt)
	out.PlanAgeMS = optionalAge(age)
	if age > planWarningAge {
		out.Warnings = append(out.Warnings, fmt.Sprintf("no leader has confirmed the route plan for %s; this host may be cut off, and a newer plan may be in force elsewhere", age.Round(100*time.Millisecond)))
	}
}

func encodeExplanation(out *confighttp.RouteExplanation, e forwardrun.Explanation) {
	out.AdmittedShare, out.WorkMS, out.HedgeDelayMS, out.WorkAgeMS = e.Admitted, milliseconds(e.Work), milliseconds(e.HedgeDelay), optionalAge(e.WorkAge)
	for _, s := range e.Services {
		service := confighttp.RouteService{Service: s.Service, Share: s.Share, ExtraLeft: max(s.ExtraLeft, 0)}
		if s.Usable {
			service.ExpectedMS = new(float64)
			*service.ExpectedMS = milliseconds(s.Expected)
		}
		for i := range s.Candidates {
			service.Candidates = append(service.Candidates, encodeCandidate(s.Candidates, i, s.Best))
		}
		if s.Best >= 0 {
			service.Chosen = s.Candidates[s.Best].Target
		}
		out.Services = append(out.Services, service)
	}
}

func encodeCandidate(all []forward.Candidate, i, best int) confighttp.RouteCandidate {
	x := &all[i]
	out := confighttp.RouteCandidate{
		Target: x.Target, FailureDomain: x.FailureDomain, ExpectedMS: milliseconds(x.Expected), WorkMS: milliseconds(x.Estimate.Work),
		WaitMS: milliseconds(x.Estimate.Own), StallMS: milliseconds(x.Estimate.Stall), CrossingMS: milliseconds(x.Crossing), FailuresMS: milliseconds(x.Failures),
		Pace: x.Estimate.Pace, InFlight: x.InFlight, Capacity: x.Capacity, Slots: x.Slots, Cold: x.Cold,
		ReportWeight: x.Estimate.Trust, ReportAgeMS: optionalAge(x.ReportAge), ResponseAgeMS: optionalAge(x.ResponseAge),
	}
	if r := x.Report; r.Stated {
		out.Reported = fmt.Sprintf("%d running, %d waiting, %d slots", r.Running, r.Waiting, r.Slots)
		if r.Pace > 0 {
			out.Reported += fmt.Sprintf(", pace %.2f", r.Pace)
		}
	}
	switch {
	case len(x.Against) > 0:
		out.Why = strings.Join(x.Against, "; ")
	case i == best:
		out.Why = "least expected time"
	default:
		out.Why = fmt.Sprintf("expected %.1f ms later", milliseconds(x.Expected-all[best].Expected))
	}
	return out
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// optionalAge returns an age in milliseconds, or nil for zero.
func optionalAge(d time.Duration) *float64 {
	if d <= 0 {
		return nil
	}
	ms := milliseconds(d)
	return &ms
}
