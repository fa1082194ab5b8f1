package cli

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// pushFlags holds the flags of every command that makes a change.
type pushFlags struct {
	id, author, team, note, base string
	dryRun, wait                 bool
	readRevision                 *uint64 // configuration revision that the command read
}

func (p *pushFlags) register(a *App, fs *flag.FlagSet) {
	fs.StringVar(&p.id, "id", "", "change `ID`; derived from base and content if empty")
	fs.StringVar(&p.author, "author", a.envOr("HAWTHORNLOCK_AUTHOR", a.Getenv("USER")), "`name` of the author (HAWTHORNLOCK_AUTHOR)")
	fs.StringVar(&p.team, "team", "", "`team` to act for; the token's team if empty")
	fs.StringVar(&p.note, "note", "", "`text` that states the reason")
	fs.StringVar(&p.base, "base", "", "`revision` that the change was made for; the current one if empty")
	fs.BoolVar(&p.dryRun, "dry-run", false, "show what the change would do, and do nothing")
	fs.BoolVar(&p.wait, "wait", false, "wait until every host has the change in force")
}

// fill sets fields of a change from the flags. Flags override the change file,
// except for the author.
func (p *pushFlags) fill(m *confighttp.Change) error {
	for _, f := range []struct {
		from string
		to   *string
	}{{p.id, &m.ID}, {p.team, &m.Team}, {p.note, &m.Note}} {
		if f.from != "" {
			*f.to = f.from
		}
	}
	if m.Author == "" {
		m.Author = p.author
	}
	if p.base != "" {
		base, err := strconv.ParseUint(p.base, 10, 64)
		if err != nil {
			return usagef("-base %q is not a revision", p.base)
		}
		m.Base = &base
	}
	return nil
}

// pending is a push whose outcome is unknown to this tool. It keeps the base, so
// that the same command, run again after a lost reply, submits the same change
// even if the current revision has advanced.
type pending struct {
	ID   string    `json:"id"`
	Base uint64    `json:"base"`
	At   time.Time `json:"at"`
}

// pendingMaxAge is how long a push is resumed. After that, the same content is
// treated as a new change.
const pendingMaxAge = time.Hour

func (a *App) pendingFile(c config.Change) string {
	dir := a.Getenv("XDG_STATE_HOME")
	if dir == "" {
		home := a.Getenv("HOME")
		if home == "" {
			return ""
		}
		dir = filepath.Join(home, ".local", "state")
	}
	content := c.ContentHash()
	return filepath.Join(dir, "hawthornlock", "pending", hex.EncodeToString(content[:])+".json")
}

func (a *App) readPending(file string) (pending, bool) {
	var p pending
	text, err := os.ReadFile(file)
	if err != nil || json.Unmarshal(text, &p) != nil {
		return pending{}, false
	}
	return p, p.ID != "" && a.Now().Sub(p.At) < pendingMaxAge
}

func writePending(file string, p pending) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return err
	}
	tmp := file + ".new"
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, file)
}

// prepare sets the base and the ID of a change and returns the path of its
// pending file.
func (c *common) prepare(ctx context.Context, client *confighttp.Client, p *pushFlags, m *confighttp.Change) (string, error) {
	zero := uint64(0)
	unbased := *m
	unbased.Base = &zero
	content, err := unbased.Decode()
	if err != nil {
		return "", usageError{err}
	}
	file := c.app.pendingFile(content)
	if old, ok := c.app.readPending(file); ok && (m.Base == nil || *m.Base == old.Base) && (m.ID == "" || m.ID == old.ID) {
		fmt.Fprintf(c.app.Stderr, "Resuming change %s, whose outcome was unknown at %s.\n", old.ID, timeText(old.At))
		m.Base, m.ID = &old.Base, old.ID
		return file, nil
	}
	if m.Base == nil {
		m.Base = p.readRevision
	}
	if m.Base == nil {
		state, err := client.State(ctx)
		if err != nil {
			return "", readError{errors.Wrap(err, "read the current revision")}
		}
		m.Base = &state.Revision
	}
	if m.ID == "" {
		content.Base = *m.Base
		m.ID = content.DerivedID()
	}
	return file, nil
}

// push submits a change, or shows what it would do.
func (c *common) push(ctx context.Context, p *pushFlags, m confighttp.Change) error {
	if err := p.fill(&m); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	file, err := c.prepare(ctx, client, p, &m)
	if err != nil {
		return err
	}
	if p.dryRun {
		preview, err := client.DryRun(ctx, m)
		if err != nil {
			return err
		}
		return c.print(preview, func(w io.Writer) { printPreview(w, preview) })
	}
	if file != "" {
		if err := writePending(file, pending{ID: m.ID, Base: *m.Base, At: c.app.Now()}); err != nil {
			fmt.Fprintf(c.app.Stderr, "Warning: this push can't be resumed if its reply is lost: %v\n", err)
		}
	}
	res, err := client.Push(ctx, m)
	if isDecided(err) && file != "" {
		_ = os.Remove(file) // a leftover file only makes the next push a resend
	}
	if err != nil {
		return c.explainPush(err, m)
	}
	if err := c.print(res, func(w io.Writer) { printResult(w, res) }); err != nil || !p.wait {
		return err
	}
	return c.waitInForce(ctx, client, res.Revision)
}

// isDecided reports whether a push was accepted or finally rejected.
func isDecided(err error) bool {
	var remote *confighttp.RemoteError
	if !errors.As(err, &remote) {
		return err == nil
	}
	switch remote.Status {
	case http.StatusBadRequest, http.StatusConflict:
		return true
	}
	return remote.Detail.Code == config.CodeNotOwner
}

func (c *common) explainPush(err error, m confighttp.Change) error {
	if confighttp.VerdictOf(err) != verdict.MayHaveRun {
		return err
	}
	return errors.Wrapf(err, "it is unknown whether the change was accepted; ask with \"hawthornlock change status %s\", or repeat the command (base %d)", m.ID, *m.Base)
}

// readChange reads a change file and rejects unknown fields.
func (a *App) readChange(file string) (confighttp.Change, error) {
	var m confighttp.Change
	in := a.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return m, usagef("change file: %v", err)
		}
		defer f.Close()
		in = f
	}
	dec := json.NewDecoder(io.LimitReader(in, confighttp.MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return m, usagef("change file %s: %v", file, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return m, usagef("change file %s: data after the change", file)
	}
	return m, nil
}

func printResult(w io.Writer, r confighttp.Result) {
	fmt.Fprintf(w, "Change %s: %s", r.ChangeID, r.Outcome)
	if r.Revision > 0 {
		fmt.Fprintf(w, " in revision %d", r.Revision)
	}
	if !r.At.IsZero() {
		fmt.Fprintf(w, " at %s", timeText(r.At))
	}
	if r.Resend {
		fmt.Fprint(w, " (first submission; this one changed nothing)")
	}
	fmt.Fprintln(w)
	if r.Message != "" {
		fmt.Fprintf(w, "%s: %s\n", r.Code, r.Message)
	}
}

func printPreview(w io.Writer, p confighttp.Preview) {
	if p.Result.Resend {
		printResult(w, p.Result)
		return
	}
	fmt.Fprintf(w, "Dry run: would be accepted in revision %d. Nothing was changed.\n", p.Result.Revision)
	for _, g := range p.Groups {
		if len(g.Enter) > 0 {
			fmt.Fprintf(w, "group %s: %d targets enter: %s\n", g.Group, len(g.Enter), strings.Join(g.Enter, " "))
		}
		if len(g.Leave) > 0 {
			fmt.Fprintf(w, "group %s: %d targets leave: %s\n", g.Group, len(g.Leave), strings.Join(g.Leave, " "))
		}
	}
	if len(p.Routes) == 0 {
		return
	}
	t := newTable(w, "REQUEST TEAM", "LABELS", "BEFORE", "AFTER")
	for _, r := range p.Routes {
		t.row(r.Request.Team, labelText(r.Request.Labels), routeText(r.Before), routeText(r.After))
	}
	_ = t.w.Flush()
}

func routeText(r confighttp.Route) string {
	if r.Group == "" {
		return "no selector"
	}
	return r.Group + " (" + r.Selector + ")"
}
