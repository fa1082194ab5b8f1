package daemon_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// Guards against a restore that is refused when it is sent again, because the settings no
// longer list the failure domain, and against one that is withdrawn anew.
func TestRestoreOfAnUnlistedDomainIsAcknowledgedAgain(t *testing.T) {
	dir := t.TempDir()
	listing := func(domains ...string) func(*settings.Settings) {
		return func(s *settings.Settings) {
			s.DataDir, s.FailureDomains = dir, make(map[string]string)
			for _, domain := range domains {
				s.FailureDomains[domain] = "r"
			}
		}
	}
	first := newPlanHost(t, "g", listing("a", "gone"))
	stop := start(t, first)
	submitRoute(t, first, 1, `"service":"s1"`)
	_, err := first.OrderDomain(t.Context(), "gone", true)
	require.NoError(t, err)
	stop()

	second := newPlanHost(t, "g", listing("a"))
	start(t, second)
	require.Eventually(t, second.Ready, waitTimeout, 10*time.Millisecond)
	for range 2 {
		_, err = second.OrderDomain(t.Context(), "gone", false)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return !second.Withdrawn("gone") }, waitTimeout, time.Millisecond)
	}
	_, err = second.OrderDomain(t.Context(), "gone", true)
	require.Equal(t, withdrawal.CodeUnknownDomain, verdict.CodeOf(err))
	_, err = second.OrderDomain(t.Context(), "never", false)
	require.Equal(t, withdrawal.CodeUnknownDomain, verdict.CodeOf(err))
}

// Guards against a gatherer that restarts while a failure domain is withdrawn and sends
// requests there because its targets announce themselves first.
func TestGathererRestartsInAWithdrawnDomain(t *testing.T) {
	dir := t.TempDir()
	onDisk := func(s *settings.Settings) { s.DataDir = dir }
	var requests atomic.Int64
	serve := func(w http.ResponseWriter) {
		requests.Add(1)
		_, _ = w.Write([]byte(recordOf("s1")))
	}
	first := newPlanHost(t, "g", onDisk)
	stop := start(t, first)
	submitRoute(t, first, 1, `"service":"s1"`)
	_, err := first.OrderDomain(t.Context(), "elsewhere", true)
	require.Equal(t, withdrawal.CodeUnknownDomain, verdict.CodeOf(err))
	_, err = first.OrderDomain(t.Context(), "a", true)
	require.NoError(t, err)
	stop()

	second := newPlanHost(t, "g", onDisk)
	start(t, second)
	startSearcherWith(t, second, "s1", serve)
	require.Eventually(t, second.Ready, waitTimeout, 10*time.Millisecond)
	for range 50 {
		resp, _ := ask(t, second)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	require.Zero(t, requests.Load())
	_, err = second.OrderDomain(t.Context(), "a", false)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		resp, _ := ask(t, second)
		return resp.StatusCode == http.StatusOK
	}, waitTimeout, 10*time.Millisecond)
}
