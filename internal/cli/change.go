package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// pollInterval is the time between two reads of the hosts' revisions.
const pollInterval = 200 * time.Millisecond

func changeSpecs(a *App) []spec {
	push := &pushFlags{}
	from, limit := "", 0
	return []spec{
		{
			name: "push", args: "FILE", short: "Push the change in a file, or standard input if FILE is -",
			long:     "After a lost reply, run the same command again. It submits the same change: the\nbase and the ID are kept under $XDG_STATE_HOME/hawthornlock until the outcome is known.",
			examples: []string{"hawthornlock change push -dry-run add-showroom.json", "hawthornlock change push -wait -note 'new archive nodes' add-archive.json"},
			flags:    func(fs *flag.FlagSet) { push.register(a, fs) }, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				m, err := a.readChange(args[0])
				if err != nil {
					return err
				}
				return c.push(ctx, push, m)
			},
		},
		{
			name: "status", args: "CHANGE-ID", short: "Show the outcome of a change",
			examples: []string{"hawthornlock change status c41-9f2c6a"}, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				client, err := c.client()
				if err != nil {
					return err
				}
				res, err := client.Status(ctx, args[0])
				if err != nil {
					return err
				}
				return c.print(res, func(w io.Writer) { printResult(w, res) })
			},
		},
		{
			name: "wait", args: "REVISION|CHANGE-ID", short: "Wait until every host has a change in force",
			long:     "After -timeout it lists the hosts that lag and exits with 1.",
			examples: []string{"hawthornlock change wait 42", "hawthornlock change wait -timeout 30s c41-9f2c6a"}, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				client, err := c.client()
				if err != nil {
					return err
				}
				revision, err := revisionOf(ctx, client, args[0])
				if err != nil {
					return err
				}
				return c.waitInForce(ctx, client, revision)
			},
		},
		{
			name: "history", short: "List accepted changes, newest last",
			examples: []string{"hawthornlock change history", "hawthornlock change history -from 1 -limit 10"},
			flags: func(fs *flag.FlagSet) {
				fs.StringVar(&from, "from", "", "first `revision`; the latest changes if empty")
				fs.IntVar(&limit, "limit", 20, "`number` of changes")
			},
			run: func(ctx context.Context, c *common, _ []string) error { return c.history(ctx, from, limit) },
		},
		{
			name: "diff", args: "REVISION", short: "Show what an accepted change did to each object",
			examples: []string{"hawthornlock change diff 42"}, minArgs: 1, maxArgs: 1,
			run: func(ctx context.Context, c *common, args []string) error {
				revision, err := parseRevision(args[0])
				if err != nil {
					return err
				}
				return c.diff(ctx, revision)
			},
		},
	}
}

func parseRevision(text string) (uint64, error) {
	r, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, usagef("%q is not a revision; hawthornlock change status shows the revision of a change", text)
	}
	return r, nil
}

// revisionOf returns the revision given as a number or as the ID of a change.
func revisionOf(ctx context.Context, client *confighttp.Client, text string) (uint64, error) {
	if revision, err := parseRevision(text); err == nil {
		return revision, nil
	}
	res, err := client.Status(ctx, text)
	if err != nil {
		return 0, err
	}
	if res.Outcome != config.Accepted.String() {
		return 0, verdict.New(verdict.NotRun, res.Code, "change %s was refused: %s", text, res.Message)
	}
	return res.Revision, nil
}

func (c *common) history(ctx context.Context, from string, limit int) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if limit < 1 {
		return usagef("-limit %d is not positive", limit)
	}
	var first *uint64
	if from != "" {
		revision, err := parseRevision(from)
		if err != nil {
			return err
		}
		first = &revision
	}
	h, err := client.History(ctx, first, limit)
	if err != nil {
		return readError{err}
	}
	return c.print(h, func(w io.Writer) {
		t := newTable(w, "REVISION", "AT", "AUTHOR", "TEAM", "OPERATIONS", "NOTE", "ID")
		for _, e := range h.Entries {
			t.row(strconv.FormatUint(e.Revision, 10), timeText(e.At), e.Change.Author, e.Change.Team, opsText(e.Change.Ops), e.Change.Note, e.Change.ID)
		}
		_ = t.w.Flush()
	})
}

func opsText(ops []confighttp.Op) string {
	var parts []string
	for _, o := range ops {
		switch {
		case o.PutGroup != nil:
			parts = append(parts, "put group "+o.PutGroup.Name)
		case o.DeleteGroup != nil:
			parts = append(parts, "delete group "+o.DeleteGroup.Name)
		case o.PutSelector != nil:
			parts = append(parts, "put selector "+o.PutSelector.Name)
		case o.DeleteSelector != nil:
			parts = append(parts, "delete selector "+o.DeleteSelector.Name)
		case o.ForgetHost != nil:
			parts = append(parts, "forget host "+o.ForgetHost.Name)
		}
	}
	return strings.Join(parts, ", ")
}

func (c *common) diff(ctx context.Context, revision uint64) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	d, err := client.Diff(ctx, revision)
	if err != nil {
		return readError{err}
	}
	return c.print(d, func(w io.Writer) {
		fmt.Fprintf(w, "Revision %d by %s (team %s) at %s: %s\n", d.Entry.Revision, d.Entry.Change.Author, d.Entry.Change.Team, timeText(d.Entry.At), d.Entry.Change.Note)
		for _, o := range d.Objects {
			fmt.Fprintf(w, "%s %s\n", o.Object, o.Action)
			for _, f := range o.Fields {
				fmt.Fprintf(w, "  %s: %q -> %q\n", f.Field, f.Before, f.After)
			}
		}
	})
}

// laggingHost is a host that does not have a revision in force.
type laggingHost struct {
	Host     string `json:"host"`
	Revision uint64 `json:"revision"`
	Live     bool   `json:"live"`
	Reason   string `json:"reason"`
}

// waitReport is the outcome of change wait.
type waitReport struct {
	Revision uint64        `json:"revision"`
	InForce  int           `json:"in_force"`
	Lagging  []laggingHost `json:"lagging"`
}

// waitInForce polls until all hosts have the revision in force or ctx ends.
func (c *common) waitInForce(ctx context.Context, client *confighttp.Client, revision uint64) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last *waitReport
	var lastErr error
	for {
		select {
		case <-ctx.Done():
			return c.waitFailed(revision, last, lastErr)
		case <-timer.C:
		}
		hosts, err := client.Hosts(ctx)
		if err == nil {
			last = newWaitReport(revision, hosts.Hosts)
			if len(last.Lagging) == 0 {
				return c.print(last, func(w io.Writer) {
					fmt.Fprintf(w, "Revision %d is in force on all %d hosts.\n", revision, last.InForce)
				})
			}
		} else if ctx.Err() == nil {
			lastErr = err
		}
		timer.Reset(pollInterval)
	}
}

func newWaitReport(revision uint64, hosts []confighttp.Host) *waitReport {
	r := &waitReport{Revision: revision, Lagging: []laggingHost{}}
	for _, h := range hosts {
		switch {
		case !h.Member && !h.Live:
		case !h.Live:
			r.Lagging = append(r.Lagging, laggingHost{h.Host, h.Revision, false, "silent since " + timeText(h.LastHeard)})
		case h.Revision < revision:
			r.Lagging = append(r.Lagging, laggingHost{h.Host, h.Revision, true, fmt.Sprintf("has revision %d", h.Revision)})
		default:
			r.InForce++
		}
	}
	if r.InForce == 0 && len(r.Lagging) == 0 {
		r.Lagging = append(r.Lagging, laggingHost{Reason: "no host is known yet"})
	}
	return r
}

func (c *common) waitFailed(revision uint64, last *waitReport, lastErr error) error {
	if last == nil {
		if lastErr == nil {
			lastErr = context.DeadlineExceeded
		}
		return exitError{errors.Wrapf(lastErr, "no host reported which revisions are in force"), exitOther}
	}
	if err := c.print(last, func(w io.Writer) {
		t := newTable(w, "LAGGING HOST", "WHY")
		for _, l := range last.Lagging {
			t.row(l.Host, l.Reason)
		}
		_ = t.w.Flush()
	}); err != nil {
		return err
	}
	return exitError{errors.Newf("revision %d is in force on %d hosts, and %d lag; see \"hawthornlock host members\"", revision, last.InForce, len(last.Lagging)), exitOther}
}
