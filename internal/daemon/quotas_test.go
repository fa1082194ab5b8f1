package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/daemon"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/platform"
)

// startPlanHosts runs hosts of one system, of which the first one is the only voter.
func startPlanHosts(t *testing.T, n int) (hosts []*daemon.Daemon) {
	t.Helper()
	var voter settings.VoterAddress
	for i := range n {
		s := settings.Defaults()
		s.Host, s.FailureDomain, s.Region = fmt.Sprint("h", i), "a", "r"
		s.Roles = []settings.Role{settings.Entry}
		s.ServePlan, s.LeasePeriod, s.Seed, s.BalancerLag = true, time.Hour, uint64(i+1), 0
		free := netip.MustParseAddrPort("127.0.0.1:0")
		s.CallerListen, s.TargetListen, s.AdminListen, s.PeerListen = free, free, free, free
		listeners, err := daemon.Listen(s)
		require.NoError(t, err)
		if i == 0 {
			s.Roles, s.DataDir = append(s.Roles, settings.Voter), t.TempDir()
			voter = settings.VoterAddress{Host: s.Host, Peer: listeners.Address("peer")}
		}
		s.Voters = []settings.VoterAddress{voter}
		d, err := daemon.New(s, listeners, eventlog.New(io.Discard, zerolog.ErrorLevel, s.Host), platform.Adapter())
		require.NoError(t, err)
		start(t, d)
		hosts = append(hosts, d)
	}
	return hosts
}

const quotaPlan = `{"version":%d,"routes":[
{"name":"r","hostname":"x.example","path_prefix":"/p/","route_type":"safe","timeout_ms":9000,"target_latency_ms":8000,"priority":1,"max_attempts":2,"service":"s1"}],
"services":[{"name":"s1","health_check_path":"/health","max_connections":60}],"limits":{"idle_timeout_ms":15000},
"tenants":[{"name":"limited","api_keys":["key-1"],"priority":1,"rate_per_s":%v,"burst_size":10},{"name":"free","api_keys":["key-2"]}]}`

// askWithKey sends a request with a key and returns the status and the retry hint.
func askWithKey(t *testing.T, d *daemon.Daemon, key string) (status int, retryAfter string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+d.Address("caller").String()+"/p/q", nil)
	require.NoError(t, err)
	r.Host = "x.example"
	r.Header.Set("X-Request-Id", "q-1")
	r.Header.Set("X-Credential", key)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// counted returns the value of a counter without labels.
func counted(t *testing.T, d *daemon.Daemon, name string) float64 {
	t.Helper()
	resp, err := http.Get("http://" + d.Address("admin").String() + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "hawthornlock_"+name+" "); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			require.NoError(t, err)
			return n
		}
	}
	require.Fail(t, "no counter "+name)
	return 0
}

// Guards against hosts that admit an account's requests each by themselves, so that the sum
// exceeds its limit, against a rejection that may have run or that names no time, and
// against accounts without a limit that are rejected.
func TestQuotaHoldsOverAllHosts(t *testing.T) {
	hosts := startPlanHosts(t, 3)
	require.Eventually(t, func() bool {
		_, err := hosts[0].SubmitPlan(t.Context(), fmt.Appendf(nil, quotaPlan, 1, 10))
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		status, _ := askWithKey(t, hosts[0], "key-1")
		return status == http.StatusServiceUnavailable && counted(t, hosts[0], "quota_returned_total") > 0
	}, waitTimeout, 20*time.Millisecond, "without a searcher no request runs, and its token is returned")
	var ran atomic.Int64
	startSearcherWith(t, hosts[0], "s1", func(w http.ResponseWriter) {
		ran.Add(1)
		_, _ = io.WriteString(w, recordOf("s1"))
	})
	for _, d := range hosts {
		require.Eventually(t, func() bool {
			status, _ := askWithKey(t, d, "key-2")
			return status == http.StatusOK
		}, waitTimeout, 20*time.Millisecond)
		require.Eventually(t, func() bool {
			status, _ := askWithKey(t, d, "key-1")
			return status == http.StatusOK
		}, waitTimeout, 100*time.Millisecond)
	}

	// Until the bucket of the new owner has filled once, requests that find it empty get 503.
	require.Eventually(t, func() bool {
		for range 40 {
			if status, _ := askWithKey(t, hosts[0], "key-1"); status == http.StatusTooManyRequests {
				return true
			}
		}
		return false
	}, waitTimeout, 100*time.Millisecond)
	time.Sleep(time.Second) // until the bucket is full again

	const requests = 300
	before, begin := ran.Load(), time.Now()
	var all sync.WaitGroup
	var admitted, denied atomic.Int64
	for i := range requests {
		d := hosts[i*i%7%3] // unevenly
		all.Go(func() {
			switch status, hint := askWithKey(t, d, "key-1"); status {
			case http.StatusOK:
				admitted.Add(1)
			case http.StatusTooManyRequests:
				seconds, err := strconv.ParseFloat(hint, 64)
				require.NoError(t, err)
				require.Positive(t, seconds)
				denied.Add(1)
			case http.StatusServiceUnavailable:
				require.NotEmpty(t, hint)
			default:
				require.Fail(t, "unexpected status", status)
			}
		})
		time.Sleep(time.Millisecond)
	}
	all.Wait()
	bound := (10*max(5, time.Since(begin).Seconds())+10)*1.1 + 20
	require.LessOrEqual(t, float64(admitted.Load()), bound)
	require.Positive(t, admitted.Load())
	require.Positive(t, denied.Load())
	require.Equal(t, admitted.Load(), ran.Load()-before, "no rejected request ran")
	leased := 0.0
	for _, d := range hosts {
		leased += counted(t, d, "quota_leased_total")
	}
	require.GreaterOrEqual(t, leased, float64(admitted.Load()))
	for _, d := range hosts {
		status, _ := askWithKey(t, d, "key-2")
		require.Equal(t, http.StatusOK, status)
	}

	// A version without the limit admits everything.
	require.Eventually(t, func() bool {
		_, err := hosts[0].SubmitPlan(t.Context(), fmt.Appendf(nil, quotaPlan, 2, 0))
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	for _, d := range hosts {
		require.Eventually(t, func() bool { return d.Plan().Version == 2 }, waitTimeout, 10*time.Millisecond)
	}
	for i := range 90 {
		status, _ := askWithKey(t, hosts[i%3], "key-1")
		require.Equal(t, http.StatusOK, status)
	}
}
