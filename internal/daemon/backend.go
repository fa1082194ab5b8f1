package daemon

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle/lifecyclerpc"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// backend serves the administration API from the control snapshot, and from the
// leader for state that only hosts with a replicated log have.
type backend struct{ d *Daemon }

// Propose submits a change and returns its result.
func (b backend) Propose(ctx context.Context, c config.Change) (config.Result, error) {
	return b.d.Propose(ctx, c)
}

// DryRun evaluates a change against this host's configuration and targets
// without making it.
func (b backend) DryRun(ctx context.Context, c config.Change) (config.Preview, error) {
	result, err := b.d.loop.Call(ctx, func(token uint64) control.Event { return control.DryRun{Token: token, Change: c} })
	if err != nil {
		return config.Preview{}, err
	}
	var labels []config.TargetLabels
	for r := range b.d.loop.Snapshot().Targets.Targets() {
		labels = append(labels, config.TargetLabels{Target: r.Target, Labels: r.Labels})
	}
	return result.(config.Plan).Preview(labels), nil
}

// Lookup returns the result of a past change.
func (b backend) Lookup(ctx context.Context, changeID string) (config.Result, bool, error) {
	r, err := b.d.lookUpChange(ctx, changeID)
	return r.Result, r.Found, err
}

// History returns accepted changes.
func (b backend) History(ctx context.Context, from uint64, limit int) ([]config.Entry, error) {
	return b.d.history(ctx, from, limit)
}

// Table returns the groups and selectors in force at this host.
func (b backend) Table() *routing.Table { return b.d.loop.Snapshot().Table }

// Targets returns the targets that are alive or draining, sorted by name.
func (b backend) Targets() []confighttp.Target {
	s := b.d.loop.Snapshot()
	ejected := b.ejected()
	var out []confighttp.Target
	for r := range s.Targets.Targets() {
		out = append(out, describeTarget(r, s.Table, ejected))
	}
	slices.SortFunc(out, func(a, b confighttp.Target) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// ejected describes the searchers that this host has ejected, by target.
func (b backend) ejected() map[string][]string {
	now := time.Now()
	out := make(map[string][]string)
	for _, g := range b.d.groups.Stats() {
		for _, s := range g.Searchers {
			if s.EjectedUntil.After(now) {
				out[s.Target] = append(out[s.Target], ejectedText(g.Group, s))
			}
		}
	}
	return out
}

func ejectedText(group string, s balance.Stats) string {
	return "this host has ejected searcher " + s.Searcher + " of group " + group + " until " + s.EjectedUntil.UTC().Format(time.RFC3339) + " after errors"
}

func describeTarget(r *targets.Record, table *routing.Table, ejected map[string][]string) confighttp.Target {
	t := confighttp.Target{
		Target: r.Target, Address: r.Address.String(), FailureDomain: r.FailureDomain, Labels: r.Labels,
		State: string(r.Phase), Incarnation: r.Incarnation, Searchers: len(r.Searchers),
		Groups: table.GroupsOf(r.Labels), NoWork: slices.Clone(ejected[r.Target]),
	}
	for _, s := range r.Searchers {
		t.Slots += s.Slots
	}
	for _, s := range r.IndexSnapshots {
		t.Snapshots = append(t.Snapshots, s.Name)
	}
	if r.Status == targets.StatusDraining {
		t.NoWork = append(t.NoWork, "it is draining")
	}
	if len(t.Groups) == 0 {
		t.NoWork = append(t.NoWork, "its labels match no group")
	}
	return t
}

// State returns this host's state and its view of the cluster.
func (b backend) State() confighttp.State {
	s := b.d.loop.Snapshot()
	st := confighttp.State{
		Host: b.d.settings.Host, Region: b.d.settings.Region, FailureDomain: b.d.settings.FailureDomain,
		Ready: s.Ready, Revision: s.Revision, Term: s.Term, Leader: s.Leader.Name, Phase: s.Phase.String(),
		Fresh: s.Gate.Evidence.Freshness(b.d.loop.Now()) != membership.Stale, ConfirmedAt: timeOfDay(s.ConfirmedAt),
		MemberEpoch: s.AgreedMembers.Epoch, Members: s.AgreedMembers.Hosts, Targets: s.Targets.Len(),
	}
	for _, r := range b.d.settings.Roles {
		st.Roles = append(st.Roles, string(r))
	}
	return st
}

// timeOfDay returns the time of day at a time of the control state, or zero for zero.
func timeOfDay(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return bootclock.ToRuntime(t)
}

// Hosts returns the known hosts.
func (b backend) Hosts() []confighttp.Host {
	s := b.d.loop.Snapshot()
	var out []confighttp.Host
	for _, h := range s.Hosts {
		out = append(out, confighttp.Host{
			Host: h.Host, Region: h.Region, FailureDomain: h.FailureDomain, Roles: h.Roles, Incarnation: h.Incarnation,
			Member: slices.Contains(s.AgreedMembers.Hosts, h.Host), Live: h.Live, Draining: h.Draining,
			Leader: h.Host == s.Leader.Name, Revision: h.Revision, LastHeard: timeOfDay(h.LastHeard),
		})
	}
	return out
}

// DrainHost makes a host refuse new work until it is resumed or stopped. The
// process keeps running.
func (b backend) DrainHost(ctx context.Context, host string) error {
	if host == b.d.settings.Host {
		return b.d.loop.Post(ctx, control.LifecycleEvent{Event: lifecycle.DrainRequested{}})
	}
	client, err := b.lifecycleClient(host)
	if err != nil {
		return err
	}
	_, err = client.Drain(ctx, &lifecyclerpc.DrainRequest{})
	return callError(err, host)
}

// ResumeHost ends the drain of a host.
func (b backend) ResumeHost(ctx context.Context, host string) error {
	if host == b.d.settings.Host {
		return b.d.loop.Post(ctx, control.LifecycleEvent{Event: lifecycle.ResumeRequested{}})
	}
	client, err := b.lifecycleClient(host)
	if err != nil {
		return err
	}
	_, err = client.Resume(ctx, &lifecyclerpc.ResumeRequest{})
	return callError(err, host)
}

// Voters returns the hosts that hold the replicated log.
func (b backend) Voters() ([]confighttp.Voter, error) {
	if b.d.journal == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host holds no replicated log; %s", b.d.whomToAsk())
	}
	var out []confighttp.Voter
	for _, v := range b.d.loop.Snapshot().Voters {
		out = append(out, confighttp.Voter{Host: v.Host, Identity: string(v.Identity), Address: v.Address, Learner: v.Learner, Match: v.Match})
	}
	return out, nil
}

// RemoveVoter permanently removes an identity from the voter set.
func (b backend) RemoveVoter(ctx context.Context, identity string) error {
	return b.d.ChangeVoters(ctx, consensus.Remove, consensus.Identity(identity))
}

// whomToAsk names the hosts that hold the replicated log.
func (d *Daemon) whomToAsk() string {
	names := d.voterHosts()
	if len(names) == 0 {
		return "no host that holds it is known yet"
	}
	return "ask one of " + strings.Join(names, ", ")
}

func (b backend) lifecycleClient(host string) (lifecyclerpc.Lifecycle, error) {
	address, ok := b.d.directory.lookup(host)
	if !ok {
		return nil, verdict.New(verdict.NotRun, confighttp.CodeUnknownHost, "host %q is not known", host)
	}
	return lifecyclerpc.NewLifecycleProtobufClient(peerlink.BaseURL(address), b.d.links.Client()), nil
}

// callError adds a verdict to the error of a call to a host.
func callError(err error, host string) error {
	switch {
	case err == nil:
		return nil
	case peerlink.NotSent(err):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect to host "+host)
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "call host "+host)
	}
}
