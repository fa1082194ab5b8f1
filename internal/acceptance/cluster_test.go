// Package acceptance tests a whole system through its external interfaces: the
// command-line tool and HTTP.
package acceptance

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/cli"
	"github.com/hawthornlock/hawthornlock/internal/daemon"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/standin"
)

// waitTimeout bounds how long a test waits for an expected state. It is not a
// performance requirement.
const waitTimeout = 60 * time.Second

const pollInterval = 50 * time.Millisecond

// Exit codes of the command-line tool.
const (
	exitOK         = 0
	exitOther      = 1
	exitUsage      = 2
	exitNotRun     = 3
	exitMayHaveRun = 4
)

// host is a daemon that can be killed and restarted.
type host struct {
	*daemon.Daemon
	t        *testing.T
	settings settings.Settings
	ended    chan error
}

type system []*host

// startSystem starts three hosts with data directories on loopback addresses.
func startSystem(t *testing.T) system {
	t.Helper()
	const hosts = 3
	var out system
	var listeners []daemon.Listeners
	var voters []settings.VoterAddress
	for i := range hosts {
		s, err := settings.Parse([]string{
			"-host", fmt.Sprintf("h%d", i), "-failure-domain", fmt.Sprintf("fd%d", i), "-roles", "entry,voter", "-data-dir", t.TempDir(),
			"-voters", "unset=127.0.0.1:1", "-balancer-lag", "100ms", "-seed", fmt.Sprint(i + 1),
		}, io.Discard)
		require.NoError(t, err)
		free := netip.MustParseAddrPort("127.0.0.1:0")
		s.CallerListen, s.TargetListen, s.AdminListen, s.PeerListen = free, free, free, free
		l, err := daemon.Listen(s)
		require.NoError(t, err)
		s.CallerListen, s.TargetListen = l.Address("caller"), l.Address("target")
		s.AdminListen, s.PeerListen = l.Address("admin"), l.Address("peer")
		voters = append(voters, settings.VoterAddress{Host: s.Host, Peer: s.PeerListen})
		listeners = append(listeners, l)
		out = append(out, &host{t: t, settings: *s})
	}
	for i, h := range out {
		h.settings.Voters = voters
		h.run(listeners[i])
		t.Cleanup(h.stop)
	}
	return out
}

func (h *host) run(l daemon.Listeners) {
	h.t.Helper()
	s := h.settings
	d, err := daemon.New(&s, l, eventlog.New(io.Discard, zerolog.ErrorLevel, s.Host))
	require.NoError(h.t, err)
	h.Daemon, h.ended = d, make(chan error, 1)
	ended := h.ended
	go func() { ended <- d.Run(context.Background()) }()
}

func (h *host) stop() {
	if h.ended != nil {
		h.Stop()
		<-h.ended
		h.ended = nil
	}
}

// kill stops the host at once and without a handover, as a second signal does.
func (h *host) kill() {
	h.Stop()
	h.Stop()
	<-h.ended
	h.ended = nil
}

func (h *host) restart() {
	h.t.Helper()
	l, err := daemon.Listen(&h.settings)
	require.NoError(h.t, err)
	h.run(l)
}

func (h *host) admin() string { return h.settings.AdminListen.String() }

// url returns the URL of a path at the host's admin listener.
func (h *host) url(path string) string { return "http://" + h.admin() + path }

// operator runs the command-line tool with an environment of its own.
type operator struct {
	t    *testing.T
	name string
	home string
	env  map[string]string
}

func (s system) operator(t *testing.T, name string) *operator {
	var admin, caller []string
	for _, h := range s {
		admin = append(admin, h.admin())
		caller = append(caller, h.settings.CallerListen.String())
	}
	home := t.TempDir()
	return &operator{t: t, name: name, home: home, env: map[string]string{
		"HAWTHORNLOCK_ADDR": strings.Join(admin, ","), "HAWTHORNLOCK_CALLER_ADDR": strings.Join(caller, ","),
		"HAWTHORNLOCK_AUTHOR": name, "XDG_STATE_HOME": home,
	}}
}

// result holds the exit code, standard output and standard error of a command.
type result struct {
	code     int
	out, err string
}

// run executes a command line, whose arguments are separated by spaces.
func (o *operator) run(line string, args ...any) result {
	var out, err bytes.Buffer
	app := cli.NewApp()
	app.Stdin, app.Stdout, app.Stderr = strings.NewReader(""), &out, &err
	app.Getenv = func(k string) string { return o.env[k] }
	code := app.Run(o.t.Context(), strings.Fields(fmt.Sprintf(line, args...)))
	return result{code, out.String(), err.String()}
}

// ok runs a command that must succeed and returns its standard output.
func (o *operator) ok(line string, args ...any) string {
	o.t.Helper()
	r := o.run(line, args...)
	require.Equal(o.t, exitOK, r.code, "%s: %s", fmt.Sprintf(line, args...), r.err)
	return r.out
}

// fails runs a command that must end with an exit code and a message.
func (o *operator) fails(code int, message, line string, args ...any) {
	o.t.Helper()
	r := o.run(line, args...)
	require.Equal(o.t, code, r.code, "%s: %s%s", fmt.Sprintf(line, args...), r.out, r.err)
	require.Contains(o.t, r.out+r.err, message, line)
}

// eventually repeats a command until it succeeds and its output contains a text.
func (o *operator) eventually(text, line string, args ...any) {
	o.t.Helper()
	var last result
	require.Eventually(o.t, func() bool {
		last = o.run(line, args...)
		return last.code == exitOK && strings.Contains(last.out, text)
	}, waitTimeout, pollInterval, "%s: never succeeded with %q in its output", line, text)
}

// writeFile writes a file and returns its path.
func (o *operator) writeFile(name, text string) string {
	o.t.Helper()
	path := filepath.Join(o.home, name)
	require.NoError(o.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func startTargets(t *testing.T, s system, app string, n int) []*standin.Target {
	t.Helper()
	data := standin.NewDataset(app+"-", n)
	var hosts []string
	for _, h := range s {
		hosts = append(hosts, h.settings.TargetListen.String())
	}
	var out []*standin.Target
	for i, shard := range data.Layout() {
		target, err := standin.Start(standin.Config{
			Name: fmt.Sprintf("%s-%d", app, i), FailureDomain: fmt.Sprintf("fd%d", i%3), Labels: map[string]string{"app": app},
			ConnectionLimit: 30, QueueLength: 1000, Seed: uint64(i),
			Searchers: []standin.Searcher{{Name: "s0", Slots: 2, Holds: map[string][]string{"v1": {shard}}}},
			Snapshots: []standin.Snapshot{{Name: "v1", Generation: 1, Data: data}},
		})
		require.NoError(t, err)
		t.Cleanup(func() { _ = target.Close() })
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go standin.NewAnnouncer(target, hosts).Run(ctx)
		out = append(out, target)
	}
	return out
}

// httpRequest sends a request and returns the status code and body of the
// response.
func httpRequest(t *testing.T, method, url, contentType, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text)
}
