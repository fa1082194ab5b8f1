package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
)

func voterSpecs(*App) []spec {
	return []spec{
		{
			name: "list", short: "List the hosts that hold the replicated log",
			long:     "A learner receives the log and has no vote. The leader gives a host that lost its\ndisk its vote back once its new data directory holds the log.",
			examples: []string{"hawthornlock voter list"},
			run:      func(ctx context.Context, c *common, _ []string) error { return c.listVoters(ctx) },
		},
		{
			name: "remove", args: "IDENTITY", short: "Permanently remove the vote of a data directory",
			long:     "For a voter whose host will not return under its name. Remove the name from\n-voters on all hosts first, or the host joins again.",
			examples: []string{"hawthornlock voter remove b4e5246e13fd9f35ac2ac6f3611b4924"}, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error { return c.removeVoter(ctx, args[0]) },
		},
	}
}

func (c *common) listVoters(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	voters, err := client.Voters(ctx)
	if err != nil {
		return readError{err}
	}
	return c.print(voters, func(w io.Writer) {
		t := newTable(w, "HOST", "IDENTITY", "ADDRESS", "VOTE", "LOG")
		for _, v := range voters.Voters {
			t.row(v.Host, v.Identity, v.Address, yesNo(!v.Learner), strconv.FormatUint(v.Match, 10))
		}
		_ = t.w.Flush()
	})
}

func (c *common) removeVoter(ctx context.Context, identity string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.RemoveVoter(ctx, identity); err != nil {
		return err
	}
	return c.print(confighttp.Name{Name: identity}, func(w io.Writer) {
		fmt.Fprintf(w, "Identity %s has no vote any more. Check it with: hawthornlock voter list\n", identity)
	})
}
