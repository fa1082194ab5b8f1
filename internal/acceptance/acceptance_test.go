package acceptance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/standin"
)

const deployDir = "../../deploy/"

// Runs the tasks of operators one after another in one system of three hosts.
// Guards against parts that pass their own tests and don't work together.
func TestOperatorWorkflow(t *testing.T) {
	s := startSystem(t)
	an, binh := s.operator(t, "an"), s.operator(t, "binh")
	for _, h := range s {
		awaitReady(t, h)
		an.eventually("3 (epoch", "host state -addr %s", h.admin())
	}
	targets := startTargets(t, s, "showroom-app", 3)
	steps := []struct {
		name string
		run  func(t *testing.T)
	}{
		{"push the deployments", func(t *testing.T) { pushDeployments(t, an) }},
		{"race of two pushes", func(t *testing.T) { racePushes(t, s, an, binh) }},
		{"look at the configuration", func(t *testing.T) { inspectConfiguration(t, an) }},
		{"query and order", func(t *testing.T) { queryAndOrder(t, targets, an) }},
		{"bad input to the tool", func(t *testing.T) { badCommands(t, an) }},
		{"bad input to the interfaces", func(t *testing.T) { badRequests(t, s) }},
		{"drain and resume", func(t *testing.T) { drainAndResume(t, s, an) }},
		{"kill the leader", func(t *testing.T) { killLeader(t, s, an) }},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			an.t, binh.t = t, t
			step.run(t)
		})
	}
}

// awaitReady waits until a host is ready. Guards against a starting host whose
// readiness check does not say what it waits for.
func awaitReady(t *testing.T, h *host) {
	t.Helper()
	var unexplained []string
	require.Eventually(t, func() bool {
		code, text := httpRequest(t, http.MethodGet, h.url("/readyz"), "", "")
		if code != http.StatusOK && !strings.Contains(text, "it is starting: ") {
			unexplained = append(unexplained, text)
		}
		return code == http.StatusOK
	}, waitTimeout, pollInterval)
	require.Empty(t, unexplained)
}

// Guards against example files in the deployments folder that can't be pushed.
func pushDeployments(t *testing.T, o *operator) {
	for i, deployment := range []string{"hoa-sen", "tenjin"} {
		groups := deployDir + deployment + "/changes/01-groups.json"
		require.Contains(t, o.ok("change push -dry-run %s", groups), "Nothing was changed")
		require.Equal(t, 4*i, strings.Count(o.ok("group list -o json"), `"priority"`))
		require.Contains(t, o.ok("change push -wait %s", groups), "in force on all 3 hosts")
		require.Contains(t, o.ok("change push -wait %s/changes/02-selectors.json", deployDir+deployment), "in force on all 3 hosts")
	}
	require.Contains(t, o.ok("group list"), "round-planner")
	require.Contains(t, o.ok("selector list"), "showroom-design-archive")
	id := lastChange(t, o).Change.ID
	require.Contains(t, o.ok("change status %s", id), "accepted")
	require.Contains(t, o.ok("change wait %s", id), "in force on all 3 hosts")
}

type historyEntry struct {
	Revision uint64 `json:"revision"`
	Change   struct {
		ID     string `json:"id"`
		Author string `json:"author"`
	} `json:"change"`
}

func lastChange(t *testing.T, o *operator) historyEntry {
	t.Helper()
	var h struct {
		Entries []historyEntry `json:"entries"`
	}
	require.NoError(t, json.Unmarshal([]byte(o.ok("change history -limit 1 -o json")), &h))
	require.Len(t, h.Entries, 1)
	return h.Entries[0]
}

// Two operators push conflicting changes from the same base revision. Guards
// against two accepted or two refused changes, a conflict that does not name the
// accepted change and its author, and a resend that is applied twice.
func racePushes(t *testing.T, s system, an, binh *operator) {
	base := lastChange(t, an).Revision
	operators := []*operator{an, binh}
	lines := make([]string, 2)
	for i, limit := range []int{50, 60} {
		change := fmt.Sprintf(`{"team":"admin","note":"limit %d","ops":[{"put_group":{"name":"showroom-app","team":"showroom","match":{"app":"showroom-app"},"limits":{"queue_length":%d}}}]}`, limit, limit)
		lines[i] = fmt.Sprintf("change push -base %d -addr %s %s", base, s[i].admin(), operators[i].writeFile("limit.json", change))
	}
	results := make([]result, 2)
	var wg sync.WaitGroup
	for i, o := range operators {
		wg.Go(func() { results[i] = o.run("%s", lines[i]) })
	}
	wg.Wait()
	winner := 0
	if results[1].code == exitOK {
		winner = 1
	}
	loser := 1 - winner
	require.Equal(t, exitOK, results[winner].code, "%+v", results)
	require.Equal(t, exitNotRun, results[loser].code, "%+v", results)
	won := lastChange(t, an)
	for _, want := range []string{operators[winner].name, won.Change.ID, fmt.Sprintf("change diff %d", won.Revision), "not_run", "change_conflict"} {
		require.Contains(t, results[loser].err, want)
	}
	again := operators[winner].ok("%s", lines[winner])
	require.Contains(t, again, fmt.Sprintf("accepted in revision %d", won.Revision))
	require.Contains(t, again, "changed nothing")
	require.Equal(t, won, lastChange(t, an))
	operators[loser].fails(exitNotRun, "change_conflict", "%s", lines[loser])
	an.ok("change wait %d", won.Revision)
}

// Guards against read-only commands and dry runs that fail, leave out
// information or change the configuration.
func inspectConfiguration(t *testing.T, o *operator) {
	last := lastChange(t, o)
	diff := o.ok("change diff %d", last.Revision)
	require.Contains(t, diff, "queue_length")
	require.Contains(t, diff, last.Change.Author)
	require.Contains(t, o.ok("change history"), "put group showroom-app")
	explained := o.ok("explain -team showroom -labels app=design-archive")
	require.Contains(t, explained, "reaches group design-archive through selector showroom-design-archive")
	require.Contains(t, o.ok("explain -team strangers -labels app=x"), "the request is refused")
	members := o.ok("host members")
	for _, h := range []string{"h0", "h1", "h2"} {
		require.Contains(t, members, h)
	}
	state := o.ok("host state")
	require.Contains(t, state, "serving")
	require.Contains(t, state, fmt.Sprintf("revision in force        %d", last.Revision))
	require.Contains(t, o.ok("group put showroom-app -queue-length 70 -dry-run"), "Nothing was changed")
	require.Equal(t, last, lastChange(t, o))
}

// Guards against queries and orders that do not reach the announced targets, an
// order that runs twice, and a request ID that is reused for another order.
func queryAndOrder(t *testing.T, started []*standin.Target, o *operator) {
	const query = "query -team showroom -labels app=showroom-app -min-coverage 1 latin letter"
	o.eventually("3 of 3 shards", query)
	require.Contains(t, o.ok("target list -group showroom-app"), "showroom-app-2")
	why := o.ok("target why showroom-app-0")
	require.Contains(t, why, "is ready.\n")
	require.Contains(t, why, "has app=showroom-app")
	require.Contains(t, why, "the group requires app=pack-stock")
	o.fails(exitNotRun, "has not announced itself", "target why nobody")
	require.Contains(t, o.ok("group put showroom-app -match app=elsewhere -dry-run"), "3 targets leave")

	body := o.writeFile("order.txt", "roll 7")
	place := "order place -team showroom -labels app=showroom-app "
	r := o.run("%s", place+body)
	require.Equal(t, exitOK, r.code, r.err)
	id := strings.TrimPrefix(strings.TrimSpace(r.err), "Request ID ")
	require.Contains(t, r.out, `"ran"`)
	require.Equal(t, r.out, o.ok("%s -request-id %s %s", place, id, body))
	require.Equal(t, r.out, o.ok("order status %s", id))
	require.Equal(t, 1, orderArrivals(started, id))
	o.fails(exitNotRun, "request_id_reused", "%s -request-id %s %s", place, id, o.writeFile("other.txt", "roll 8"))

	for _, target := range started {
		target.DropOrders(true)
	}
	r = o.run("%s", place+body)
	require.Equal(t, exitMayHaveRun, r.code, r.err)
	require.Contains(t, r.err, "repeat the command with -request-id")
	for _, target := range started {
		target.DropOrders(false)
	}
}

func orderArrivals(targets []*standin.Target, id string) int {
	n := 0
	for _, target := range targets {
		n += target.OrderArrivals(id)
	}
	return n
}

// Guards against a drained host that stops, accepts queries or can't be resumed,
// and against other hosts that stop serving meanwhile.
func drainAndResume(t *testing.T, s system, o *operator) {
	h := s[1]
	const query = "query -caller-addr %s -team showroom -labels app=showroom-app -min-coverage 1 latin"
	o.ok("host drain %s -addr %s", h.settings.Host, s[0].admin())
	o.eventually("drained", "host state -addr %s", h.admin())
	require.Contains(t, o.ok("host state -addr %s", h.admin()), "configuration confirmed  yes")
	o.fails(exitNotRun, "not_ready", query, h.settings.CallerListen)
	require.Eventually(t, func() bool { return readyColumn(o, h) == "no" }, waitTimeout, pollInterval)
	code, text := httpRequest(t, http.MethodGet, h.url("/readyz"), "", "")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, text, "drained")
	code, _ = httpRequest(t, http.MethodGet, h.url("/healthz"), "", "")
	require.Equal(t, http.StatusOK, code)
	o.ok(query, s[0].settings.CallerListen)
	o.ok("host drain %s", h.settings.Host) // a repeated drain has no effect
	o.ok("host resume %s -addr %s", h.settings.Host, s[2].admin())
	o.eventually("serving", "host state -addr %s", h.admin())
	require.Eventually(t, func() bool { return readyColumn(o, h) == "yes" }, waitTimeout, pollInterval)
	o.eventually("3 of 3 shards", query, h.settings.CallerListen)
	o.fails(exitNotRun, "unknown_host", "host drain nobody")
	o.fails(exitNotRun, "unknown_host", "host resume nobody")
}

// readyColumn returns the column READY of a host in the output of "host
// members".
func readyColumn(o *operator, h *host) string {
	for line := range strings.Lines(o.ok("host members")) {
		if cells := strings.Fields(line); cells[0] == h.settings.Host {
			return cells[5]
		}
	}
	return ""
}

// Guards against an accepted change that is lost with the leader, a system that
// does not recover from the leader's failure, and a "change wait" that does not
// name the lagging host.
func killLeader(t *testing.T, s system, o *operator) {
	before := lastChange(t, o)
	var leader *host
	for _, h := range s {
		if strings.Contains(o.ok("host state -o json"), fmt.Sprintf(`"leader": %q`, h.settings.Host)) {
			leader = h
		}
	}
	require.NotNil(t, leader)
	leader.kill()
	for _, h := range s {
		if h != leader {
			o.eventually(fmt.Sprintf("revision in force        %d", before.Revision), "host state -addr %s", h.admin())
		}
	}
	o.eventually("3 of 3 shards", "query -team showroom -labels app=showroom-app -min-coverage 1 latin")
	require.Equal(t, before, lastChange(t, o))
	o.eventually("accepted", "group put showroom-app -queue-length 80 -note again")
	last := lastChange(t, o)
	require.Greater(t, last.Revision, before.Revision)
	o.fails(exitNotRun, "unavailable", "host drain %s", leader.settings.Host)
	o.fails(exitOther, leader.settings.Host, "change wait -timeout 2s %d", last.Revision)
	leader.restart()
	o.eventually("in force on all 3 hosts", "change wait %d", last.Revision)
	o.eventually("3 of 3 shards", "query -caller-addr %s -team showroom -labels app=showroom-app -min-coverage 1 latin", leader.settings.CallerListen)
}
