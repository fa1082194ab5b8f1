package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/quota"
	"github.com/hawthornlock/hawthornlock/internal/quota/quotarpc"
	"github.com/hawthornlock/hawthornlock/internal/quota/quotarun"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// newQuotas returns the quotas of the accounts, or nil unless the host serves a route plan.
func (d *Daemon) newQuotas() *quotarun.Quotas {
	if !d.settings.ServePlan {
		return nil
	}
	return quotarun.New(quotarun.Config{
		Host: d.settings.Host, Seed: d.incarnation, Now: d.loop.Now, View: d.quotaView, Ask: d.askOwner, Log: d.log,
		Policy: quota.Policy{
			Window: d.settings.QuotaWindow, Overage: d.settings.QuotaOverage, Slack: d.settings.QuotaSlack, Drift: d.settings.MaxClockDrift,
		},
	})
}

// quotaView returns what the control state says about quotas. The owner of an account
// needs a confirmation that covers both the member list and the route plan, so that an
// owner that has lost the leader does not grant by an outdated limit.
func (d *Daemon) quotaView() quotarun.View {
	s := d.loop.Snapshot()
	v := quotarun.View{Epoch: s.AgreedMembers.Epoch, Members: s.AgreedMembers.Hosts}
	if s.Plan == nil {
		return v
	}
	v.Plan, v.Accounts = s.Plan.Version, s.Plan.Accounts
	v.ConfirmedAt = earlier(s.MembersConfirmedAt, s.PlanConfirmedAt)
	return v
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// askOwner asks another host for tokens.
func (d *Daemon) askOwner(ctx context.Context, host string, r quota.Request) (quota.Reply, error) {
	address, ok := d.directory.lookup(host)
	if !ok {
		return quota.Reply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the address of host %q is unknown", host)
	}
	return quotarpc.Ask(ctx, d.links.Client(), peerlink.BaseURL(address), r)
}

// TakeToken takes a token for a caller's request from the quota of its account, or returns
// why the request is rejected. The permit is to be returned if the request did not run.
func (d *Daemon) TakeToken(ctx context.Context, a Access) (*quotarun.Permit, *verdict.Error) {
	permit, err := d.quotas.Acquire(ctx, a.account)
	if err != nil && ctx.Err() != nil {
		return nil, verdict.New(verdict.NotRun, forwardrun.CodeCallerGone, "the caller closed its connection")
	}
	return permit, err
}

type quotaService struct{ d *Daemon }

// Acquire answers a request for tokens of an account that this host may own.
func (s *quotaService) Acquire(_ context.Context, m *quotarpc.AcquireRequest) (*quotarpc.AcquireReply, error) {
	if s.d.quotas == nil {
		return &quotarpc.AcquireReply{}, nil
	}
	return quotarpc.EncodeReply(s.d.quotas.Serve(quotarpc.DecodeRequest(m))), nil
}

// quotaStats returns collectors of the totals of the quotas.
func quotaStats(d *Daemon) []prometheus.Collector {
	if d.quotas == nil {
		return nil
	}
	st := d.quotas.Stats()
	total := func(name, help string, labels prometheus.Labels, value *atomic.Int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels},
			func() float64 { return float64(value.Load()) })
	}
	const denied, deniedHelp, reason = "quota_denied_total", "Requests rejected by quotas, by reason: over_limit (429), or no_owner (503) if no owner of the account could tell.", "reason"
	return []prometheus.Collector{
		total("quota_granted_total", "Requests of accounts with a limit that got a token.", nil, &st.Admitted),
		total(denied, deniedHelp, prometheus.Labels{reason: "over_limit"}, &st.OverLimit),
		total(denied, deniedHelp, prometheus.Labels{reason: "no_owner"}, &st.NoOwner),
		total("quota_returned_total", "Tokens of requests that did not run.", nil, &st.Returned),
		total("quota_messages_total", "Messages to owners of accounts.", nil, &st.Asked),
		total("quota_leased_total", "Tokens that this host, as an owner of accounts, granted to hosts.", nil, &st.Leased),
	}
}
