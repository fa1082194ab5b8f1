package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
)

// setFlags returns the names of the flags that are set on the command line.
func setFlags(fs *flag.FlagSet) map[string]bool {
	set := map[string]bool{}
	fs.Visit(func(f *flag.Flag) { set[f.Name] = true })
	return set
}

// groupFlags holds the fields of a group that are given as flags.
type groupFlags struct {
	fs              *flag.FlagSet
	owner, match    string
	priority        string
	queue, team     int
	caller, hedge   int
	ejected, millis int
}

func (g *groupFlags) register(fs *flag.FlagSet) {
	g.fs = fs
	fs.StringVar(&g.owner, "owner", "", "`team` that owns the group")
	fs.StringVar(&g.match, "match", "", "`labels` that a target must have, as key=value,key=value")
	fs.StringVar(&g.priority, "priority", "", "normal, high or low")
	fs.IntVar(&g.queue, "queue-length", 0, "queries that may wait at one host")
	fs.IntVar(&g.team, "team-concurrency", 0, "queries of one team in progress at one host")
	fs.IntVar(&g.caller, "caller-concurrency", 0, "queries of one caller in progress at one host")
	fs.IntVar(&g.hedge, "hedge-permille", 0, "extra sub-requests by hedging, per thousand")
	fs.IntVar(&g.ejected, "max-ejected-percent", 0, "share of a shard's replicas that may be ejected at once")
	fs.IntVar(&g.millis, "default-timeout-ms", 0, "timeout of a query that sets none, in milliseconds")
}

// apply sets the given fields and leaves the others as they are.
func (g *groupFlags) apply(to *confighttp.Group) error {
	set := setFlags(g.fs)
	if set["owner"] {
		to.Team = g.owner
	}
	if set["match"] {
		labels, err := parseLabels(g.match)
		if err != nil {
			return err
		}
		to.Match = labels
	}
	if set["priority"] {
		to.Priority = g.priority
	}
	for name, f := range map[string]struct {
		from int
		to   *int
	}{
		"queue-length":        {g.queue, &to.Limits.QueueLength},
		"team-concurrency":    {g.team, &to.Limits.TeamConcurrency},
		"caller-concurrency":  {g.caller, &to.Limits.CallerConcurrency},
		"hedge-permille":      {g.hedge, &to.Limits.HedgePermille},
		"max-ejected-percent": {g.ejected, &to.Limits.MaxEjectedPercent},
		"default-timeout-ms":  {g.millis, &to.Limits.DefaultTimeoutMS},
	} {
		if set[name] {
			*f.to = f.from
		}
	}
	return nil
}

func groupSpecs(a *App) []spec {
	put, del, fields := &pushFlags{}, &pushFlags{}, &groupFlags{}
	return []spec{
		{
			name: "list", short: "List the groups in force", examples: []string{"hawthornlock group list", "hawthornlock group list -o json"},
			run: func(ctx context.Context, c *common, _ []string) error { return c.listGroups(ctx) },
		},
		{
			name: "put", args: "NAME", short: "Create a group or change some of its fields",
			examples: []string{"hawthornlock group put showroom-app -owner showroom -match app=showroom -priority high", "hawthornlock group put showroom-app -queue-length 50 -dry-run"},
			flags:    func(fs *flag.FlagSet) { put.register(a, fs); fields.register(fs) }, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				return c.putGroup(ctx, put, fields, args[0])
			},
		},
		{
			name: "delete", args: "NAME", short: "Delete a group that no selector uses", examples: []string{"hawthornlock group delete showroom-app -dry-run"},
			flags: func(fs *flag.FlagSet) { del.register(a, fs) }, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				return c.push(ctx, del, confighttp.Change{Ops: []confighttp.Op{{DeleteGroup: &confighttp.Name{Name: args[0]}}}})
			},
		},
	}
}

func (c *common) listGroups(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	groups, err := client.Groups(ctx)
	if err != nil {
		return readError{err}
	}
	return c.print(groups, func(w io.Writer) {
		fmt.Fprintf(w, "Revision %d\n", groups.Revision)
		t := newTable(w, "GROUP", "TEAM", "MATCH", "PRIORITY", "QUEUE", "TEAM LIMIT", "CALLER LIMIT", "HEDGE ‰", "EJECTED %", "TIMEOUT MS")
		for _, g := range groups.Groups {
			l := g.Limits
			t.row(g.Name, g.Team, labelText(g.Match), g.Priority, orDefault(l.QueueLength), orDefault(l.TeamConcurrency),
				orDefault(l.CallerConcurrency), orDefault(l.HedgePermille), orDefault(l.MaxEjectedPercent), orDefault(l.DefaultTimeoutMS))
		}
		_ = t.w.Flush()
	})
}

func orDefault(v int) string {
	if v == 0 {
		return "default"
	}
	return strconv.Itoa(v)
}

func (c *common) putGroup(ctx context.Context, p *pushFlags, fields *groupFlags, name string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	groups, err := client.Groups(ctx)
	if err != nil {
		return readError{err}
	}
	g := confighttp.Group{Name: name}
	if i := slices.IndexFunc(groups.Groups, func(g confighttp.Group) bool { return g.Name == name }); i >= 0 {
		g = groups.Groups[i]
	}
	if err := fields.apply(&g); err != nil {
		return err
	}
	p.readRevision = &groups.Revision
	return c.push(ctx, p, confighttp.Change{Ops: []confighttp.Op{{PutGroup: &g}}})
}

func selectorSpecs(a *App) []spec {
	put, del, fields := &pushFlags{}, &pushFlags{}, &selectorFlags{}
	return []spec{
		{
			name: "list", short: "List the selectors in force in order of precedence", examples: []string{"hawthornlock selector list"},
			run: func(ctx context.Context, c *common, _ []string) error { return c.listSelectors(ctx) },
		},
		{
			name: "put", args: "NAME", short: "Create a selector or change some of its fields",
			examples: []string{"hawthornlock selector put showroom -owner showroom -for-team showroom -match app=showroom -group showroom-app"},
			flags:    func(fs *flag.FlagSet) { put.register(a, fs); fields.register(fs) }, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				return c.putSelector(ctx, put, fields, args[0])
			},
		},
		{
			name: "delete", args: "NAME", short: "Delete a selector", examples: []string{"hawthornlock selector delete showroom -dry-run"},
			flags: func(fs *flag.FlagSet) { del.register(a, fs) }, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				return c.push(ctx, del, confighttp.Change{Ops: []confighttp.Op{{DeleteSelector: &confighttp.Name{Name: args[0]}}}})
			},
		},
	}
}

// selectorFlags holds the fields of a selector that are given as flags.
type selectorFlags struct {
	fs                        *flag.FlagSet
	owner, team, match, group string
}

func (s *selectorFlags) register(fs *flag.FlagSet) {
	s.fs = fs
	fs.StringVar(&s.owner, "owner", "", "`team` that owns the selector")
	fs.StringVar(&s.team, "for-team", "", "`team` whose requests match; every team if empty")
	fs.StringVar(&s.match, "match", "", "`labels` that a request must have, as key=value,key=value")
	fs.StringVar(&s.group, "group", "", "`group` that the requests may reach")
}

// apply sets the given fields and leaves the others as they are.
func (s *selectorFlags) apply(to *confighttp.Selector) error {
	set := setFlags(s.fs)
	if set["match"] {
		labels, err := parseLabels(s.match)
		if err != nil {
			return err
		}
		to.Match = labels
	}
	for _, f := range []struct {
		name, from string
		to         *string
	}{{"owner", s.owner, &to.Owner}, {"for-team", s.team, &to.Team}, {"group", s.group, &to.Group}} {
		if set[f.name] {
			*f.to = f.from
		}
	}
	return nil
}

func (c *common) putSelector(ctx context.Context, p *pushFlags, fields *selectorFlags, name string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	selectors, err := client.Selectors(ctx)
	if err != nil {
		return readError{err}
	}
	sel := confighttp.Selector{Name: name}
	if i := slices.IndexFunc(selectors.Selectors, func(s confighttp.Selector) bool { return s.Name == name }); i >= 0 {
		sel = selectors.Selectors[i]
	}
	if err := fields.apply(&sel); err != nil {
		return err
	}
	p.readRevision = &selectors.Revision
	return c.push(ctx, p, confighttp.Change{Ops: []confighttp.Op{{PutSelector: &sel}}})
}

func (c *common) listSelectors(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	selectors, err := client.Selectors(ctx)
	if err != nil {
		return readError{err}
	}
	return c.print(selectors, func(w io.Writer) {
		fmt.Fprintf(w, "Revision %d\n", selectors.Revision)
		t := newTable(w, "SELECTOR", "OWNER", "FOR TEAM", "MATCH", "GROUP")
		for _, s := range selectors.Selectors {
			t.row(s.Name, s.Owner, s.Team, labelText(s.Match), s.Group)
		}
		_ = t.w.Flush()
	})
}
