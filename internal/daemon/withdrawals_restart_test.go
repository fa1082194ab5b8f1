package daemon_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
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

// newDisklessHost returns a host without a log that follows the log of another one.
func newDisklessHost(t *testing.T, name string, voter *daemon.Daemon) *daemon.Daemon {
	t.Helper()
	s := settings.Defaults()
	s.Host, s.FailureDomain, s.Region = name, "b", "r"
	s.ServePlan, s.LeasePeriod, s.Seed, s.BalancerLag = true, time.Minute, 2, 0
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s.CallerListen, s.TargetListen, s.AdminListen, s.PeerListen = free, free, free, free
	listeners, err := daemon.Listen(s)
	require.NoError(t, err)
	s.Voters = []settings.VoterAddress{{Host: "g", Peer: voter.Address("peer")}}
	s.Peers = []netip.AddrPort{voter.Address("peer")}
	d, err := daemon.New(s, listeners, eventlog.New(io.Discard, zerolog.ErrorLevel, name), platform.Adapter())
	require.NoError(t, err)
	return d
}

// Guards against a host without a disk that starts while a failure domain is withdrawn, gets
// the announcements of the targets there first, and sends them its callers' requests.
func TestDisklessHostStartsWhileADomainIsWithdrawn(t *testing.T) {
	voter := newPlanHost(t, "g")
	start(t, voter)
	submitRoute(t, voter, 1, `"service":"s1"`)
	_, err := voter.OrderDomain(t.Context(), "a", true)
	require.NoError(t, err)

	var requests atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "sig")
		_, _ = io.WriteString(w, recordOf("s1"))
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	announcement := targets.Announcement{
		Target: "t", Incarnation: 1, Address: ln.Addr().(*net.TCPAddr).AddrPort(), FailureDomain: "a", ConnectionLimit: 1, Phase: targets.Ready,
		Labels: map[string]string{daemon.ServiceLabel: "s1"}, Searchers: []targets.Searcher{{Name: "s", Slots: 2}},
	}
	for i := range 3 {
		t.Run("start "+strconv.Itoa(i), func(t *testing.T) {
			host := newDisklessHost(t, "e"+strconv.Itoa(i), voter)
			start(t, host)
			served := 0
			require.Eventually(t, func() bool {
				announcement.Seq++
				_ = host.Announce(t.Context(), announcement)
				_, _ = ask(t, host)
				if host.Ready() {
					served++
				}
				return served > 30
			}, waitTimeout, 5*time.Millisecond)
			require.True(t, host.Withdrawn("a"))
			require.Zero(t, requests.Load())
		})
	}
	_, err = voter.OrderDomain(t.Context(), "a", false)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		announcement.Seq++
		_ = voter.Announce(t.Context(), announcement)
		resp, _ := ask(t, voter)
		return resp.StatusCode == http.StatusOK
	}, waitTimeout, 5*time.Millisecond)
}
