package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
)

func routeSpecs(_ *App) []spec {
	q := confighttp.RouteQuery{}
	service := ""
	return []spec{{
		name: "explain", args: "HOST-NAME PATH", short: "Show where a request of the route plan would go now, and why",
		long: "Nothing is sent. The host that answers explains its own decision; another host\n" +
			"may know other loads. The account is given by its name; no key is needed or shown.",
		examples: []string{
			"hawthornlock route explain search.example /v1/items",
			"hawthornlock route explain -account acme -body-bytes 2000 -o json search.example /v1/items",
		},
		minArgs: 2, maxArgs: 2,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&q.Method, "method", "GET", "`method` of the request")
			fs.StringVar(&q.Account, "account", "", "`name` of the client account")
			fs.IntVar(&q.BodyBytes, "body-bytes", 0, "`size` of the body")
			fs.StringVar(&service, "service", "", "only the candidates of this `service`; otherwise those of the first three")
		},
		run: func(ctx context.Context, c *common, args []string) error {
			q.Host, q.Path = args[0], args[1]
			if !strings.HasPrefix(q.Path, "/") {
				return usagef("the path %q does not begin with /", q.Path)
			}
			if q.BodyBytes < 0 {
				return usagef("-body-bytes %d is negative", q.BodyBytes)
			}
			return c.explainRoute(ctx, q, service)
		},
	}}
}

func (c *common) explainRoute(ctx context.Context, q confighttp.RouteQuery, service string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	e, err := client.ExplainRoute(ctx, q)
	if err != nil {
		return readError{err}
	}
	return c.print(e, func(w io.Writer) { printRoute(w, &e, service) })
}

// maxListedServices bounds the services whose candidates are listed as text.
const maxListedServices = 3

func printRoute(w io.Writer, e *confighttp.RouteExplanation, only string) {
	r := &e.Route
	kind := "one service"
	if r.Gather {
		kind = fmt.Sprintf("a gather of %d shards", len(e.Services))
	}
	fmt.Fprintf(w, "Host %s in %s is %s. Route plan %d, %s.\n", e.Host, e.FailureDomain, e.Phase, e.PlanVersion, agoText("confirmed", e.PlanAgeMS))
	fmt.Fprintf(w, "Route %s (%s%s): %s, priority %d, objective %g ms, timeout %g ms.\n", r.Name, r.Host, r.PathPrefix, kind, r.Priority, r.ObjectiveMS, r.TimeoutMS)
	if a := e.Account; a != nil {
		limit := "no limit"
		if a.RatePerS > 0 {
			limit = fmt.Sprintf("%g requests a second, burst %g", a.RatePerS, a.Burst)
		}
		fmt.Fprintf(w, "Account %s: %s.\n", a.Name, limit)
	}
	if e.Refused != nil {
		fmt.Fprintf(w, "Refused: %s (%s).\n", e.Refused.Message, e.Refused.Code)
	}
	fmt.Fprintf(w, "Admission takes %.0f %% of the route's requests. Estimated work %.1f ms, %s. Hedge after %.1f ms.\n",
		100*e.AdmittedShare, e.WorkMS, agoText("observed", e.WorkAgeMS), e.HedgeDelayMS)
	if len(e.Gatherers) > 0 {
		fmt.Fprintf(w, "Gatherers: %s.\n", strings.Join(e.Gatherers, ", "))
	}
	for _, warning := range e.Warnings {
		fmt.Fprintf(w, "Warning: %s.\n", warning)
	}
	listed := 0
	t := newTable(w, "SERVICE", "SEARCHER", "FAILURE DOMAIN", "EXPECTED", "WORK", "WAIT", "CROSSING", "PACE", "IN FLIGHT", "LAST REPLY", "REPORT", "WHY")
	for i := range e.Services {
		s := &e.Services[i]
		if only != "" && s.Service != only || only == "" && listed == maxListedServices {
			continue
		}
		listed++
		for _, x := range s.Candidates {
			t.row(s.Service, x.Target, x.FailureDomain, msText(x.ExpectedMS), msText(x.WorkMS), msText(x.WaitMS), msText(x.CrossingMS), fmt.Sprintf("%.2f", x.Pace),
				strconv.Itoa(x.InFlight)+" of "+strconv.Itoa(x.Capacity), ageText(x.ResponseAgeMS), reportText(&x), x.Why)
		}
		if len(s.Candidates) == 0 {
			t.row(s.Service, "", "", "", "", "", "", "", "", "", "", "this host knows no searcher of the service")
		}
	}
	_ = t.w.Flush()
	if rest := len(e.Services) - listed; rest > 0 && only == "" {
		fmt.Fprintf(w, "%d more services; see -service or -o json.\n", rest)
	}
}

func msText(ms float64) string { return fmt.Sprintf("%.1f ms", ms) }

func ageText(ms *float64) string {
	if ms == nil {
		return "never"
	}
	return msText(*ms)
}

func agoText(what string, ms *float64) string {
	if ms == nil {
		return "never " + what
	}
	return what + " " + msText(*ms) + " ago"
}

func reportText(x *confighttp.RouteCandidate) string {
	if x.Reported == "" {
		return ""
	}
	return fmt.Sprintf("%s, %s ago, weight %.2f", x.Reported, ageText(x.ReportAgeMS), x.ReportWeight)
}
