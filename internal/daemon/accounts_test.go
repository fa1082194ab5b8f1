package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/daemon"
)

// submitAccounts puts a plan with one gathered route in force whose accounts are given as
// JSON, or without accounts.
func submitAccounts(t *testing.T, d *daemon.Daemon, version int, list string) {
	t.Helper()
	field := ""
	if list != "" {
		field = `,"tenants":` + list
	}
	plan := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":"x.example","path_prefix":"/p/","route_type":"safe","timeout_ms":9000,"target_latency_ms":8000,"priority":1,"max_attempts":2,%s}],
"services":[{"name":"s1","health_check_path":"/health","max_connections":28},{"name":"s2","health_check_path":"/health","max_connections":28}],"limits":{"idle_timeout_ms":15000}%s}`, version, gathered, field)
	require.Eventually(t, func() bool {
		_, err := d.SubmitPlan(t.Context(), []byte(plan))
		return err == nil && d.Plan() != nil && d.Plan().Version == uint64(version)
	}, waitTimeout, 10*time.Millisecond)
}

// Guards against a gatherer that runs a request for which its newer plan has dropped the
// key or which an older plan than the sender's would allow, and against one that refuses a
// key which the sender did not pass on because its own plan asks for none.
func TestKeysAtAGatherer(t *testing.T) {
	const with, without = `[{"name":"a","api_keys":["k1"]}]`, `[{"name":"a","api_keys":["k2"]}]`
	for name, c := range map[string]struct {
		version              int
		atSender, atGatherer string
		status               int
	}{
		"both have the key":              {8, with, with, http.StatusOK},
		"a newer plan dropped it":        {8, with, without, http.StatusUnauthorized},
		"an older plan still has it":     {6, with, with, http.StatusServiceUnavailable},
		"only a newer plan asks for one": {8, "", with, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGatherer(t, 5, gathered, http.StatusOK)
			submitAccounts(t, g, c.version, c.atGatherer)
			h := newPlanHost(t, "h")
			t.Cleanup(h.RunHandingOver("g", g.Address("peer"), "s1", "s2"))
			submitAccounts(t, h, 7, c.atSender)
			require.Eventually(t, h.Ready, waitTimeout, 10*time.Millisecond)
			status, _ := askWithKey(t, h, "k1")
			require.Equal(t, c.status, status)
		})
	}
}
