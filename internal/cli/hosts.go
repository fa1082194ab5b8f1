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

func targetSpecs(_ *App) []spec {
	group := ""
	return []spec{
		{
			name: "list", short: "List the targets that have announced themselves",
			examples: []string{"hawthornlock target list", "hawthornlock target list -group showroom-app -o json"},
			flags:    func(fs *flag.FlagSet) { fs.StringVar(&group, "group", "", "only targets of this `group`") },
			run:      func(ctx context.Context, c *common, _ []string) error { return c.listTargets(ctx, group) },
		},
		{
			name: "why", args: "TARGET", short: "Show why a target is in its groups and not in others",
			examples: []string{"hawthornlock target why showroom-app-07"}, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error { return c.targetWhy(ctx, args[0]) },
		},
	}
}

func (c *common) listTargets(ctx context.Context, group string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	targets, err := client.Targets(ctx, group)
	if err != nil {
		return readError{err}
	}
	return c.print(targets, func(w io.Writer) {
		t := newTable(w, "TARGET", "ADDRESS", "FAILURE DOMAIN", "STATE", "GROUPS", "SEARCHERS", "SLOTS", "NO WORK BECAUSE")
		for _, x := range targets.Targets {
			t.row(x.Target, x.Address, x.FailureDomain, x.State, strings.Join(x.Groups, ","), strconv.Itoa(x.Searchers),
				strconv.Itoa(x.Slots), strings.Join(x.NoWork, ", "))
		}
		_ = t.w.Flush()
		if len(targets.Targets) == 0 {
			fmt.Fprintln(w, "No target. Targets announce themselves; check that they reach a host's -target-listen address.")
		}
	})
}

func (c *common) targetWhy(ctx context.Context, target string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	why, err := client.ExplainTarget(ctx, target)
	if err != nil {
		return readError{err}
	}
	return c.print(why, func(w io.Writer) {
		x := why.Target
		fmt.Fprintf(w, "Target %s at %s in %s is %s", x.Target, x.Address, x.FailureDomain, x.State)
		fmt.Fprintln(w, ".")
		fmt.Fprintf(w, "Labels: %s\n", labelText(x.Labels))
		for _, r := range x.NoWork {
			fmt.Fprintf(w, "Receives no new work: %s\n", r)
		}
		t := newTable(w, "GROUP", "MEMBER", "WHY")
		for _, g := range why.Groups {
			t.row(g.Group, yesNo(g.Member), g.Reason)
		}
		_ = t.w.Flush()
	})
}

func hostSpecs(a *App) []spec {
	forget := &pushFlags{}
	return []spec{
		{
			name: "state", short: "Show the state as seen by the host that answers", examples: []string{"hawthornlock host state -addr 10.1.0.11:7403"},
			run: func(ctx context.Context, c *common, _ []string) error { return c.hostState(ctx) },
		},
		{
			name: "members", short: "List the hosts and the revision each has in force", examples: []string{"hawthornlock host members"},
			run: func(ctx context.Context, c *common, _ []string) error { return c.hostMembers(ctx) },
		},
		{
			name: "drain", args: "HOST", short: "Make a host refuse new work and stay up",
			long:     "Readiness turns false at once. After the load balancer's lag the host refuses\nnew work, ends what is in progress, and stays up until it is resumed or stopped.\nIt keeps its vote. To stop a host, send SIGTERM to its process.",
			examples: []string{"hawthornlock host drain binh-duong-2"}, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error { return c.drainHost(ctx, args[0]) },
		},
		{
			name: "resume", args: "HOST", short: "End the drain of a host",
			long:     "The host takes new work again. A host that is stopping or not drained stays as it is.",
			examples: []string{"hawthornlock host resume binh-duong-2"}, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error { return c.resumeHost(ctx, args[0]) },
		},
		{
			name: "forget", args: "HOST", short: "Remove a host that will not return from the member list",
			long:     "Needed if so many hosts are lost for good that the remaining hosts are not a\nmajority. A host that is only unreachable must not be forgotten.",
			examples: []string{"hawthornlock host forget -note 'disk and board replaced' binh-duong-2"},
			flags:    func(fs *flag.FlagSet) { forget.register(a, fs) }, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				return c.push(ctx, forget, confighttp.Change{Ops: []confighttp.Op{{ForgetHost: &confighttp.Name{Name: args[0]}}}})
			},
		},
	}
}

func (c *common) hostState(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	s, err := client.State(ctx)
	if err != nil {
		return readError{err}
	}
	return c.print(s, func(w io.Writer) {
		t := newTable(w)
		t.row("host", s.Host)
		t.row("region", s.Region)
		t.row("failure domain", s.FailureDomain)
		t.row("roles", strings.Join(s.Roles, ","))
		t.row("phase", s.Phase)
		t.row("ready", yesNo(s.Ready))
		t.row("revision in force", strconv.FormatUint(s.Revision, 10))
		t.row("configuration confirmed", yesNo(s.Fresh)+" "+timeText(s.ConfirmedAt))
		t.row("leader", s.Leader)
		t.row("term", strconv.FormatUint(s.Term, 10))
		t.row("members", fmt.Sprintf("%d (epoch %d): %s", len(s.Members), s.MemberEpoch, strings.Join(s.Members, " ")))
		t.row("targets", strconv.Itoa(s.Targets))
		_ = t.w.Flush()
	})
}

func (c *common) hostMembers(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	hosts, err := client.Hosts(ctx)
	if err != nil {
		return readError{err}
	}
	return c.print(hosts, func(w io.Writer) {
		t := newTable(w, "HOST", "FAILURE DOMAIN", "ROLES", "MEMBER", "LIVE", "READY", "LEADER", "REVISION", "LAST HEARD")
		for _, h := range hosts.Hosts {
			t.row(h.Host, h.FailureDomain, strings.Join(h.Roles, ","), yesNo(h.Member), yesNo(h.Live), yesNo(h.Live && !h.Draining),
				yesNo(h.Leader), strconv.FormatUint(h.Revision, 10), timeText(h.LastHeard))
		}
		_ = t.w.Flush()
	})
}

func (c *common) drainHost(ctx context.Context, host string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.DrainHost(ctx, host); err != nil {
		return err
	}
	return c.print(confighttp.Name{Name: host}, func(w io.Writer) {
		fmt.Fprintf(w, "Host %s drains and stays up. Follow it with: hawthornlock host members\nEnd the drain with: hawthornlock host resume %s\n", host, host)
	})
}

func (c *common) resumeHost(ctx context.Context, host string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.ResumeHost(ctx, host); err != nil {
		return err
	}
	return c.print(confighttp.Name{Name: host}, func(w io.Writer) {
		fmt.Fprintf(w, "Host %s takes new work again. Check it with: hawthornlock host members\n", host)
	})
}
