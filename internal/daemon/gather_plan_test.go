package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/daemon"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/platform"
)

// waitTimeout bounds how long a test waits for an expected state. It is no
// requirement on speed.
const waitTimeout = 30 * time.Second

// newPlanHost returns a host that speaks the platform's protocols and is the only
// voter of a log of its own.
func newPlanHost(t *testing.T, name string, change ...func(*settings.Settings)) *daemon.Daemon {
	t.Helper()
	s := settings.Defaults()
	s.Host, s.FailureDomain, s.Region = name, "a", "r"
	s.Roles, s.DataDir = []settings.Role{settings.Entry, settings.Voter}, t.TempDir()
	s.ServePlan, s.LeasePeriod, s.Seed, s.BalancerLag = true, time.Hour, 1, 0
	for _, f := range change {
		f(s)
	}
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s.CallerListen, s.TargetListen, s.AdminListen, s.PeerListen = free, free, free, free
	listeners, err := daemon.Listen(s)
	require.NoError(t, err)
	s.Voters = []settings.VoterAddress{{Host: name, Peer: listeners.Address("peer")}}
	d, err := daemon.New(s, listeners, eventlog.New(io.Discard, zerolog.ErrorLevel, name), platform.Adapter())
	require.NoError(t, err)
	return d
}

// start runs a host until the test ends or stop is called, which waits for its end.
func start(t *testing.T, d *daemon.Daemon) (stop func()) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(context.Background()) }()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			d.Stop()
			require.NoError(t, <-ended, "no request was interrupted")
		})
	}
	t.Cleanup(stop)
	return stop
}

// submitRoute puts a plan with one route, of the given kind, in force at a host.
func submitRoute(t *testing.T, d *daemon.Daemon, version int, kind string) {
	t.Helper()
	route := `{"name":"r","hostname":"x.example","path_prefix":"/p/","route_type":"safe","timeout_ms":9000,"target_latency_ms":8000,"priority":1,"max_attempts":2,` + kind + `}`
	if kind == dropped {
		route = `{"name":"other","hostname":"x.example","path_prefix":"/other/","route_type":"safe","timeout_ms":9000,"target_latency_ms":8000,"priority":1,"max_attempts":2,"service":"s1"}`
	}
	var services []string
	for _, s := range []string{"s1", "s2", "s3"} {
		services = append(services, fmt.Sprintf(`{"name":%q,"health_check_path":"/health","max_connections":28}`, s))
	}
	plan := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"idle_timeout_ms":15000}}`, version, route, strings.Join(services, ","))
	require.Eventually(t, func() bool {
		_, err := d.SubmitPlan(t.Context(), []byte(plan))
		return err == nil && d.Plan() != nil && d.Plan().Version == uint64(version)
	}, waitTimeout, 10*time.Millisecond)
}

// Kinds of the route in a plan.
const (
	gathered = `"gather":["s1","s2"],"top_k":2,"min_shard_ratio":0.5`
	others   = `"gather":["s2","s3"],"top_k":2,"min_shard_ratio":0.5`
	single   = `"service":"s3"`
	split    = `"traffic_split":[{"service":"s2","weight":1},{"service":"s3","weight":1}]`
	dropped  = ""
)

func recordOf(service string) string { return service + strings.Repeat("-", 16-len(service)) }

// startSearcher serves one record in the name of a service, with the given status, and
// announces itself.
func startSearcher(t *testing.T, d *daemon.Daemon, service string, status int) {
	t.Helper()
	startSearcherWith(t, d, service, func(w http.ResponseWriter) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, recordOf(service))
	})
}

// startSearcherWith serves what respond writes in the name of a service, and announces
// itself.
func startSearcherWith(t *testing.T, d *daemon.Daemon, service string, respond func(http.ResponseWriter)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "sig-"+service)
		respond(w)
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	require.NoError(t, d.Announce(t.Context(), targets.Announcement{
		Target: "t-" + service, Incarnation: 1, Seq: 1, Address: ln.Addr().(*net.TCPAddr).AddrPort(), FailureDomain: "a",
		Labels: map[string]string{daemon.ServiceLabel: service}, ConnectionLimit: 1, Phase: targets.Ready, Searchers: []targets.Searcher{{Name: "s", Slots: 2}},
	}))
}

// ask sends a request whose route the two hosts' plans may define differently.
func ask(t *testing.T, d *daemon.Daemon) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+d.Address("caller").String()+"/p/q", nil)
	require.NoError(t, err)
	r.Host = "x.example"
	r.Header.Set("X-Request-Id", "q-1")
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err, "a request ended without a complete answer")
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

// startGatherer runs a host with a plan and a searcher of each service that takes
// requests from other hosts.
func startGatherer(t *testing.T, version int, kind string, status int) *daemon.Daemon {
	t.Helper()
	g := newPlanHost(t, "g")
	start(t, g)
	submitRoute(t, g, version, kind)
	startSearcher(t, g, "s1", status)
	startSearcher(t, g, "s2", http.StatusOK)
	startSearcher(t, g, "s3", http.StatusOK)
	require.Eventually(t, func() bool {
		resp, _ := ask(t, g)
		return g.Gathers() && resp.StatusCode != http.StatusServiceUnavailable && resp.Header.Get("X-Missing-Parts") != "1"
	}, waitTimeout, 10*time.Millisecond)
	return g
}

// startSender runs a host with a plan that hands its requests over to a gatherer.
func startSender(t *testing.T, g *daemon.Daemon, kind string) *daemon.Daemon {
	t.Helper()
	h := newPlanHost(t, "h")
	t.Cleanup(h.RunHandingOver("g", g.Address("peer"), "s1", "s2"))
	submitRoute(t, h, 7, kind)
	require.Eventually(t, h.Ready, waitTimeout, 10*time.Millisecond)
	return h
}

// Guards against a wrong or empty answer, and against a connection that closes without
// an answer, while a gatherer has a newer plan than the host that hands a request over
// to it and the route is of another kind there. A frozen host that wakes up is behind
// for seconds.
func TestGathererWithNewerPlan(t *testing.T) {
	for to, gatherer := range map[string]string{"gathered": gathered, "other shards": others, "single": single, "failing": `"service":"s1"`, "split": split, "dropped": dropped} {
		t.Run(to, func(t *testing.T) {
			t.Parallel()
			status := http.StatusOK
			if to == "failing" {
				status = http.StatusInternalServerError
			}
			g := startGatherer(t, 8, gatherer, status)
			for from, sender := range map[string]string{"gathered": gathered, "single": `"service":"s1"`, "split": `"traffic_split":[{"service":"s1","weight":1},{"service":"s2","weight":1}]`} {
				t.Run("from "+from, func(t *testing.T) {
					h := startSender(t, g, sender)
					resp, body := ask(t, h)
					checkNewerAnswer(t, to, resp, body)
					require.Eventually(t, func() bool { return h.Plan().Version == 8 }, waitTimeout, 10*time.Millisecond,
						"the host asks for the newer plan")
				})
			}
		})
	}
}

// checkNewerAnswer checks an answer by the plan of the gatherer.
func checkNewerAnswer(t *testing.T, kind string, resp *http.Response, body string) {
	t.Helper()
	parts, signature := resp.Header.Values("X-Part-Signatures"), resp.Header.Get("X-Response-Signature")
	switch kind {
	case "gathered", "other shards":
		want := map[string][]string{"gathered": {"s1", "s2"}, "other shards": {"s2", "s3"}}[kind]
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Len(t, parts, 1)
		require.ElementsMatch(t, []string{"sig-" + want[0], "sig-" + want[1]}, strings.Split(parts[0], ", "))
		require.Equal(t, "0", resp.Header.Get("X-Missing-Parts"))
		require.Equal(t, recordOf(want[1])+recordOf(want[0]), body)
	case "single", "split":
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Empty(t, parts)
		require.Contains(t, []string{"sig-s2", "sig-s3"}, signature)
		require.Equal(t, recordOf(strings.TrimPrefix(signature, "sig-")), body)
	case "failing":
		require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
		require.Equal(t, "sig-s1", signature)
		require.Equal(t, recordOf("s1"), body)
	case "dropped":
		require.Equal(t, http.StatusNotFound, resp.StatusCode)
		require.Empty(t, signature)
	}
}

// Guards against a gatherer that carries out a request by an older plan than that of
// the host which hands it over: callers of that host may have seen the newer one.
func TestGathererWithOlderPlan(t *testing.T) {
	for to, gatherer := range map[string]string{"gathered": gathered, "other shards": others, "single": single, "split": split, "dropped": dropped} {
		t.Run(to, func(t *testing.T) {
			t.Parallel()
			h := startSender(t, startGatherer(t, 6, gatherer, http.StatusOK), gathered)
			resp, _ := ask(t, h)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Empty(t, resp.Header.Values("X-Part-Signatures"))
		})
	}
}
