package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// cluster serves the administration API from a real store, and a caller API with
// replies that the test sets.
type cluster struct {
	mu          sync.Mutex // held while a request is served
	store       *config.Store
	hosts       []confighttp.Host
	withdrawn   bool
	dropReplies bool // carries out a POST, but closes the connection instead of replying
	reply       func(w http.ResponseWriter, body string)

	addr, caller string
	stateDir     string
	now          time.Time
	out, err     bytes.Buffer
}

func (c *cluster) Propose(_ context.Context, ch config.Change) (config.Result, error) {
	return c.store.Apply(c.store.Index()+1, c.now, ch), nil
}

func (c *cluster) DryRun(_ context.Context, ch config.Change) (config.Preview, error) {
	return c.store.DryRun(ch, nil), nil
}

func (c *cluster) Lookup(_ context.Context, id string) (config.Result, bool, error) {
	r, ok := c.store.Lookup(id)
	return r, ok, nil
}

func (c *cluster) History(_ context.Context, from uint64, limit int) ([]config.Entry, error) {
	return c.store.History(from, limit), nil
}
func (c *cluster) Table() *routing.Table { return c.store.Table() }
func (c *cluster) Targets() []confighttp.Target {
	return []confighttp.Target{{Target: "t1", Labels: map[string]string{"site": "1"}, NoWork: []string{"draining"}}}
}
func (c *cluster) Hosts() []confighttp.Host { return c.hosts }
func (c *cluster) State() confighttp.State {
	return confighttp.State{Host: "h1", Revision: c.store.Revision()}
}
func (c *cluster) DrainHost(context.Context, string) error  { return nil }
func (c *cluster) ResumeHost(context.Context, string) error { return nil }
func (c *cluster) Voters() ([]confighttp.Voter, error) {
	return []confighttp.Voter{{Host: "h1", Identity: "id1"}, {Host: "h2", Identity: "id2", Learner: true}}, nil
}

func (c *cluster) RemoveVoter(_ context.Context, id string) error {
	if id != "id1" {
		return verdict.New(verdict.NotRun, "invalid_voter_change", "identity %q is not a voter", id)
	}
	return nil
}

func (c *cluster) Domains() confighttp.Domains {
	return confighttp.Domains{Domains: []confighttp.Domain{{Domain: "fd1", Region: "r", Withdrawn: c.withdrawn, Hosts: 1, Targets: 2}}}
}

func (c *cluster) PreviewDomain(domain string, withdraw bool) (confighttp.DomainOrder, error) {
	if domain != "fd1" {
		return confighttp.DomainOrder{}, verdict.New(verdict.NotRun, "unknown_failure_domain", "failure domain %q is unknown", domain)
	}
	return confighttp.DomainOrder{Domain: domain, Withdrawn: withdraw, Capacity: []confighttp.ServiceCapacity{{Service: "desk", Searchers: 2, Slots: 4, Lost: withdraw}}}, nil
}

func (c *cluster) OrderDomain(_ context.Context, _ string, withdraw bool) (uint64, error) {
	c.withdrawn = withdraw
	return 1, nil
}

// Guards against a dry run that withdraws a failure domain, and against an output that does
// not name the services which would have no searcher.
func TestDomainCommands(t *testing.T) {
	c := newCluster(t)
	require.Equal(t, exitDone, c.run(t, "domain", "withdraw", "fd1", "-dry-run"), c.err.String())
	require.Contains(t, c.out.String(), "Nothing was changed.")
	require.Regexp(t, "desk .*no searcher left", c.out.String())
	require.False(t, c.withdrawn)
	require.Equal(t, exitDone, c.run(t, "domain", "withdraw", "fd1"), c.err.String())
	require.True(t, c.withdrawn)
	require.Equal(t, exitDone, c.run(t, "domain", "list"))
	require.Regexp(t, "fd1 +r +yes +1 +2", c.out.String())
	require.Equal(t, exitDone, c.run(t, "domain", "restore", "fd1"), c.err.String())
	require.False(t, c.withdrawn)
	require.Equal(t, exitNotRun, c.run(t, "domain", "withdraw", "fd2"))
	require.Contains(t, c.err.String(), `failure domain "fd2" is unknown`)
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{store: config.NewStore(), stateDir: t.TempDir(), now: time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)}
	api := confighttp.New(confighttp.Options{Backend: c, Log: eventlog.Nop()})
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.dropReplies || r.Method != http.MethodPost {
			api.ServeHTTP(w, r)
			return
		}
		api.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(admin.Close)
	caller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reply(w, string(body))
	}))
	t.Cleanup(caller.Close)
	c.addr, c.caller = admin.Listener.Addr().String(), caller.Listener.Addr().String()
	return c
}

// locked runs f while no request is served.
func (c *cluster) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// run runs a command line and returns its exit code.
func (c *cluster) run(t *testing.T, args ...string) int {
	c.out.Reset()
	c.err.Reset()
	env := map[string]string{
		"HAWTHORNLOCK_ADDR": c.addr, "HAWTHORNLOCK_CALLER_ADDR": c.caller,
		"HAWTHORNLOCK_AUTHOR": "an", "XDG_STATE_HOME": c.stateDir,
	}
	app := &App{
		Stdin: strings.NewReader("order body"), Stdout: &c.out, Stderr: &c.err, Getenv: func(k string) string { return env[k] },
		Now: func() time.Time { return c.now }, Random: func() [10]byte { return [10]byte{1} },
	}
	return app.Run(t.Context(), args)
}

func changeFile(t *testing.T, site string) string {
	file := filepath.Join(t.TempDir(), "change.json")
	text := fmt.Sprintf(`{"note":"n","ops":[{"put_group":{"name":"a","team":"red","match":{"site":%q}}}]}`, site)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// Guards against commands that always fail, and against wrong exit codes and
// outputs.
func TestCommands(t *testing.T) {
	c := newCluster(t)
	file := changeFile(t, "1")
	c.hosts = []confighttp.Host{{Host: "h1", Member: true, Live: true, Revision: 9}, {Host: "gone", Revision: 1}}
	steps := []struct {
		args string
		code int
		want string // in the output
	}{
		{"version", 0, "go1"},
		{"change push " + file + " -dry-run", 0, "Nothing was changed"},
		{"group list", 0, "Revision 0"},
		{"change push -wait " + file, 0, "in force on all 1 hosts"},
		{"group list -o json", 0, `"site": "1"`},
		{"group put a -priority high -note why", 0, "revision 2"},
		{"selector put s -owner red -match app=x -group a", 0, "revision 3"},
		{"selector put s -match app=x", 0, "revision 4"},
		{"selector list", 0, "red    -         app=x  a"},
		{"explain -labels app=x", 0, "through selector s"},
		{"change history", 0, "put selector s"},
		{"change diff 2", 0, `priority: "normal" -> "high"`},
		{"change status c0-nope", 4, "not in the record"},
		{"target list -group a", 0, "draining"},
		{"target why t1", 0, "Receives no new work: draining"},
		{"target why t9", 3, "has not announced itself"},
		{"host members", 0, "h1"},
		{"host state", 0, "revision in force"},
		{"host drain h1", 0, "drains"},
		{"host resume h1", 0, "takes new work again"},
		{"host resume", 2, "usage:"},
		{"voter list", 0, "id2"},
		{"voter remove id1", 0, "has no vote any more"},
		{"voter remove id9", 3, "is not a voter"},
		{"voter remove", 2, "usage:"},
		{"host forget h9", 3, "is not a member"},
		{"group delete a", 3, `used by selector "s"`},
		{"group put b -owner blue -match site=2 -base 1", 0, "revision 5"},
		{"group put b -owner blue -match site=3 -base 1", 3, "hawthornlock change diff 5"},
		{"selector delete s", 0, "revision 6"},
		{"group delete a", 0, "revision 7"},
		{"group", 2, "SUBCOMMANDS"},
		{"group lsit", 2, `unknown command "lsit"`},
		{"group list extra", 2, "usage:"},
		{"group list -o yaml", 2, "neither table nor json"},
		{"group put x -match site", 2, "not key=value"},
		{"host state -timeout 0s", 2, "-timeout"},
		{"host state -addr localhost", 2, "-addr"},
		{"query -caller-addr nonsense x", 2, "-caller-addr"},
		{"change push /nonexistent", 2, "no such file"},
		{"change push " + file + " -dryrun", 2, "not defined"},
		{"change wait no-such-change", 4, "not in the record"},
		{"change push -h", 0, "EXAMPLES"},
		{"group list -addr 127.0.0.1:0", 3, "try another host"},
	}
	for _, s := range steps {
		require.Equal(t, s.code, c.run(t, strings.Fields(s.args)...), "%s: %s", s.args, c.err.String())
		require.Contains(t, c.out.String()+c.err.String(), s.want, s.args)
	}
	g, _ := c.store.Table().Group("b")
	require.Equal(t, "2", g.Match["site"])
}

// Guards against a command that, run again after a lost reply, reverts a change
// made by another operator in between.
func TestSameCommandAfterALostReplyIsTheSameChange(t *testing.T) {
	c := newCluster(t)
	file := changeFile(t, "1")
	c.locked(func() { c.dropReplies = true })
	require.Equal(t, exitMayHaveRun, c.run(t, "change", "push", file))
	require.Contains(t, c.err.String(), "hawthornlock change status c0-")
	c.locked(func() {
		require.Equal(t, uint64(1), c.store.Revision())
		c.dropReplies = false
	})
	require.Equal(t, exitDone, c.run(t, "change", "push", changeFile(t, "2")), "the other operator's change")
	require.Equal(t, exitDone, c.run(t, "change", "push", file))
	require.Contains(t, c.out.String(), "this one changed nothing")
	g, _ := c.store.Table().Group("a")
	require.Equal(t, "2", g.Match["site"])
	require.Equal(t, exitDone, c.run(t, "change", "push", file))
	require.Contains(t, c.out.String(), "revision 3", "a later push of the same content is a new change")
}

// Guards against a wait that ends early, hides a lagging host or never ends.
func TestWaitListsTheHostsThatLag(t *testing.T) {
	c := newCluster(t)
	c.hosts = []confighttp.Host{
		{Host: "h1", Member: true, Live: true, Revision: 5},
		{Host: "h2", Member: true, Live: true, Revision: 4},
		{Host: "h3", Member: true, Revision: 5},
		{Host: "forgotten", Revision: 1},
	}
	require.Equal(t, exitOther, c.run(t, "change", "wait", "5", "-timeout", "300ms"))
	require.Contains(t, c.out.String(), "h2")
	require.Contains(t, c.out.String(), "h3")
	require.NotContains(t, c.out.String(), "h1")
	require.NotContains(t, c.out.String(), "forgotten")
}

// Guards against an order that is sent twice, and against an exit code that does
// not match the verdict of the host.
func TestQueryAndOrder(t *testing.T) {
	c := newCluster(t)
	sent := 0
	answer := func(status int, body string) {
		c.locked(func() {
			sent = 0
			c.reply = func(w http.ResponseWriter, _ string) {
				sent++
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			}
		})
	}
	answer(200, `{"group":"a","coverage":{"total":2,"answered":["s1"],"missing":[{"shard":"s2","reason":"timeout"}]},"hits":[{"id":"x","score":1,"text":"ARROW"}]}`)
	require.Equal(t, exitDone, c.run(t, "query", "-team", "red", "left", "arrow"))
	require.Contains(t, c.out.String(), "missing shard s2: timeout")
	for _, tt := range []struct {
		status int
		v      verdict.Verdict
		code   int
	}{{503, verdict.NotRun, exitNotRun}, {504, verdict.MayHaveRun, exitMayHaveRun}, {503, verdict.Ran, exitOther}} {
		answer(tt.status, `{"error":{"code":"x","message":"m","verdict":"`+tt.v.String()+`"}}`)
		require.Equal(t, tt.code, c.run(t, "order", "place", "-", "-team", "red", "-caller-addr", c.caller+","+c.caller))
		c.locked(func() { require.Equal(t, 1, sent) })
	}
	c.locked(func() { c.reply = func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) } })
	require.Equal(t, exitMayHaveRun, c.run(t, "order", "place", "-", "-team", "red"))
	require.Contains(t, c.err.String(), "-request-id "+orders.NewRequestID(c.now, [10]byte{1}))
	var got string
	c.locked(func() {
		c.reply = func(w http.ResponseWriter, body string) {
			got = body
			_, _ = io.WriteString(w, `{"verdict":"ran"}`)
		}
	})
	require.Equal(t, exitDone, c.run(t, "order", "place", "-", "-team", "red", "-request-id", "1796346000000-desk"))
	c.locked(func() {
		require.JSONEq(t, `{"request_id":"1796346000000-desk","team":"red","labels":{},"body":"order body","timeout_ms":10000}`, got)
	})
	require.Equal(t, exitUsage, c.run(t, "order", "place", "-", "-request-id", "order-1"))
	require.Equal(t, exitDone, c.run(t, "order", "status", "1796346000000-desk"))
	require.Equal(t, exitNotRun, c.run(t, "order", "place", "-", "-caller-addr", "127.0.0.1:0"))
}
