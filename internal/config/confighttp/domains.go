package confighttp

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// DomainBackend is the part of the Backend that withdraws failure domains.
type DomainBackend interface {
	Domains() Domains
	// PreviewDomain returns what would be left after a failure domain is withdrawn or
	// restored, as the answering host sees it.
	PreviewDomain(domain string, withdraw bool) (DomainOrder, error)
	// OrderDomain withdraws or restores a failure domain. It returns the revision of the
	// withdrawals once a majority of the voters holds the order.
	OrderDomain(ctx context.Context, domain string, withdraw bool) (uint64, error)
}

// Domain is a failure domain as the answering host sees it.
type Domain struct {
	Domain    string `json:"failure_domain"`
	Region    string `json:"region,omitempty"`
	Withdrawn bool   `json:"withdrawn"`
	Hosts     int    `json:"hosts"`   // live
	Targets   int    `json:"targets"` // that take new work unless the failure domain is withdrawn
}

// Domains lists the known failure domains.
type Domains struct {
	Revision uint64   `json:"revision"` // of the withdrawals
	Domains  []Domain `json:"failure_domains"`
}

// ServiceCapacity is the capacity of one service, or group, before and after an order.
type ServiceCapacity struct {
	Service        string `json:"service"`
	Searchers      int    `json:"searchers"`
	Slots          int    `json:"slots"`
	SearchersAfter int    `json:"searchers_after"`
	SlotsAfter     int    `json:"slots_after"`
	Lost           bool   `json:"lost"` // the service has searchers and would have none
}

// DomainOrder is the answer to an order for a failure domain, or to its dry run.
type DomainOrder struct {
	Domain    string            `json:"failure_domain"`
	Withdrawn bool              `json:"withdrawn"`
	DryRun    bool              `json:"dry_run,omitempty"`
	Revision  uint64            `json:"revision"` // of the withdrawals
	Capacity  []ServiceCapacity `json:"capacity,omitempty"`
}

func (s *server) domains(c call) {
	d := s.Backend.Domains()
	d.Domains = append([]Domain{}, d.Domains...)
	writeJSON(c.w, http.StatusOK, d)
}

func (s *server) withdrawDomain(c call) { s.orderDomain(c, true) }
func (s *server) restoreDomain(c call)  { s.orderDomain(c, false) }

// orderDomain withdraws or restores a failure domain, or shows what that would leave. Only
// the admin team may do it, because a failure domain serves all teams.
func (s *server) orderDomain(c call, withdraw bool) {
	domain := pathVar(c.r, "domain")
	dryRun, err := boolParam(c.r, "dry_run")
	if err != nil {
		writeError(c.w, http.StatusBadRequest, ErrorDetail{Code: verdict.CodeInvalidRequest, Verdict: verdict.NotRun, Message: err.Error()})
		return
	}
	if !s.decode(c, &struct{}{}) {
		return
	}
	if c.team != config.AdminTeam {
		s.Log.Log(eventUnauthorized).Str("remote", c.r.RemoteAddr).Str("path", c.r.URL.Path).Str("team", c.team).Send()
		writeError(c.w, http.StatusForbidden, ErrorDetail{
			Code: codeForbidden, Verdict: verdict.NotRun, Message: fmt.Sprintf("only team %q may withdraw or restore a failure domain", config.AdminTeam),
		})
		return
	}
	order, err := s.Backend.PreviewDomain(domain, withdraw)
	if err != nil || dryRun {
		order.DryRun = true
		s.answerDomain(c, order, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), s.ProposeTimeout)
	defer cancel()
	order.Revision, err = s.Backend.OrderDomain(ctx, domain, withdraw)
	s.Log.Log(eventDomain).Str("failure_domain", domain).Bool("withdraw", withdraw).Str("team", c.team).Str("verdict", outcomeText(err)).Err(err).Send()
	s.answerDomain(c, order, err)
}

func outcomeText(err error) string {
	if err == nil {
		return "accepted"
	}
	return verdict.Of(err).String()
}

func (s *server) answerDomain(c call, o DomainOrder, err error) {
	if err != nil {
		writeFailure(c.w, err, "")
		return
	}
	writeJSON(c.w, http.StatusOK, o)
}

// Domains returns the known failure domains.
func (c *Client) Domains(ctx context.Context) (Domains, error) {
	var out Domains
	return out, c.do(ctx, http.MethodGet, "/domains", nil, &out)
}

// OrderDomain withdraws or restores a failure domain. With dryRun it only returns what
// would be left. Sending an order again is safe.
func (c *Client) OrderDomain(ctx context.Context, domain string, withdraw, dryRun bool) (DomainOrder, error) {
	verb := "restore"
	if withdraw {
		verb = "withdraw"
	}
	var out DomainOrder
	return out, c.do(ctx, http.MethodPost, fmt.Sprintf("/domains/%s/%s?dry_run=%t", url.PathEscape(domain), verb, dryRun), struct{}{}, &out)
}
