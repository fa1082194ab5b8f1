package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"

	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
)

func domainSpecs(*App) []spec {
	var dryWithdraw, dryRestore bool
	return []spec{
		{
			name: "list", short: "List the failure domains and which are withdrawn", examples: []string{"hawthornlock domain list"},
			run: func(ctx context.Context, c *common, _ []string) error { return c.listDomains(ctx) },
		},
		{
			name: "withdraw", args: "DOMAIN", short: "Send nothing more to the targets of a failure domain",
			long:     "The order is in force on all connected hosts within seconds. Requests that are at a\ntarget already are not aborted, and the hosts of the failure domain go on serving\ncallers. The order may be sent again.",
			examples: []string{"hawthornlock domain withdraw -dry-run long-an", "hawthornlock domain withdraw long-an"}, minArgs: 1, maxArgs: 1,
			flags: func(fs *flag.FlagSet) {
				fs.BoolVar(&dryWithdraw, "dry-run", false, "only show the capacity that would be left")
			},
			run: func(ctx context.Context, c *common, args []string) error {
				return c.orderDomain(ctx, args[0], true, dryWithdraw)
			},
		},
		{
			name: "restore", args: "DOMAIN", short: "Use the targets of a withdrawn failure domain again",
			examples: []string{"hawthornlock domain restore long-an"}, minArgs: 1, maxArgs: 1,
			flags: func(fs *flag.FlagSet) {
				fs.BoolVar(&dryRestore, "dry-run", false, "only show the capacity that there would be")
			},
			run: func(ctx context.Context, c *common, args []string) error {
				return c.orderDomain(ctx, args[0], false, dryRestore)
			},
		},
	}
}

func (c *common) listDomains(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	domains, err := client.Domains(ctx)
	if err != nil {
		return readError{err}
	}
	return c.print(domains, func(w io.Writer) {
		t := newTable(w, "FAILURE DOMAIN", "REGION", "WITHDRAWN", "HOSTS", "TARGETS")
		for _, d := range domains.Domains {
			t.row(d.Domain, d.Region, yesNo(d.Withdrawn), strconv.Itoa(d.Hosts), strconv.Itoa(d.Targets))
		}
		_ = t.w.Flush()
	})
}

func (c *common) orderDomain(ctx context.Context, domain string, withdraw, dryRun bool) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	order, err := client.OrderDomain(ctx, domain, withdraw, dryRun)
	if err != nil {
		return err
	}
	return c.print(order, func(w io.Writer) { printDomainOrder(w, order) })
}

func printDomainOrder(w io.Writer, o confighttp.DomainOrder) {
	state := "in use"
	if o.Withdrawn {
		state = "withdrawn"
	}
	if o.DryRun {
		fmt.Fprintf(w, "Nothing was changed. With failure domain %s %s there would be:\n", o.Domain, state)
	} else {
		fmt.Fprintf(w, "Failure domain %s is %s, revision %d of the withdrawals. There is left:\n", o.Domain, state, o.Revision)
	}
	t := newTable(w, "SERVICE", "SEARCHERS", "SLOTS", "BEFORE", "SLOTS BEFORE", "NOTE")
	for _, s := range o.Capacity {
		note := ""
		if s.Lost {
			note = "no searcher left"
		}
		t.row(s.Service, strconv.Itoa(s.SearchersAfter), strconv.Itoa(s.SlotsAfter), strconv.Itoa(s.Searchers), strconv.Itoa(s.Slots), note)
	}
	_ = t.w.Flush()
}
