package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/standin"
)

// waitTimeout bounds how long a test waits for an expected state. It is no
// requirement on speed.
const waitTimeout = 30 * time.Second

type testWriter struct{ t testing.TB }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", bytes.TrimSpace(p))
	return len(p), nil
}

// startTargets serves each shard of the dataset from one searcher.
func startTargets(t testing.TB, d *Daemon, data *standin.Dataset, n int, change ...func(*standin.Config)) []*standin.Target {
	t.Helper()
	holds := make([][]string, n)
	for i, shard := range data.Layout() {
		holds[i%n] = append(holds[i%n], shard)
	}
	var out []*standin.Target
	for i := range n {
		cfg := standin.Config{
			Name: fmt.Sprintf("target-%d", i), FailureDomain: fmt.Sprintf("fd%d", i%3), Labels: map[string]string{"app": "names"},
			ConnectionLimit: 30, QueueLength: 1000,
			Searchers: []standin.Searcher{{Name: "s0", Slots: 2, Holds: map[string][]string{"v1": holds[i]}}},
			Snapshots: []standin.Snapshot{{Name: "v1", Generation: 1, Data: data}},
			Seed:      uint64(i),
		}
		for _, f := range change {
			f(&cfg)
		}
		target, err := standin.Start(cfg)
		require.NoError(t, err)
		t.Cleanup(func() { _ = target.Close() })
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go standin.NewAnnouncer(target, []string{d.Address("target").String()}).Run(ctx)
		out = append(out, target)
	}
	return out
}

func pushGroup(t testing.TB, d *Daemon) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := config.Change{ID: "first", Author: "an", Team: "names", Ops: []config.Op{
		config.PutGroup{Group: routing.Group{Name: "names", Team: "names", Match: routing.Labels{"app": "names"}}},
		config.PutSelector{Selector: routing.Selector{Name: "all", Owner: "names", Team: "names", Group: "names"}},
	}}
	result, err := d.Propose(ctx, c)
	require.NoError(t, err)
	require.NoError(t, result.Err())
}

type answerBody struct {
	IndexSnapshot string `json:"index_snapshot"`
	Verdict       string `json:"verdict"`
	Coverage      struct {
		Total    int      `json:"total"`
		Answered []string `json:"answered"`
		Missing  []struct {
			Shard, Reason string
		} `json:"missing"`
	} `json:"coverage"`
	Hits []struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
		Text  string  `json:"text"`
	} `json:"hits"`
	Error struct{ Code, Message, Verdict string } `json:"error"`
}

func post(t testing.TB, d *Daemon, body string) (int, answerBody) {
	t.Helper()
	status, a, err := tryPost(d, body)
	require.NoError(t, err)
	return status, a
}

func tryPost(d *Daemon, body string) (int, answerBody, error) {
	resp, err := http.Post("http://"+d.Address("caller").String()+"/v1/query", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0, answerBody{}, err
	}
	defer resp.Body.Close()
	var a answerBody
	err = json.NewDecoder(resp.Body).Decode(&a)
	return resp.StatusCode, a, err
}

func requireScan(t *testing.T, want []standin.Match, a answerBody) {
	t.Helper()
	require.Len(t, a.Hits, len(want))
	for i, m := range want {
		require.Equal(t, m.ID, a.Hits[i].ID)
		require.Equal(t, m.Text, a.Hits[i].Text)
	}
}

const letterQuery = `{"team":"names","terms":"latin letter","k":50,"timeout_ms":5000}`

// Guards against an answer over the whole path that differs from a full scan
// or hides the shard whose only replica is gone.
func TestWholePathAnswersWithTrueCoverage(t *testing.T) {
	d := startHost(t)
	data := standin.NewDataset("v1-", 12)
	started := startTargets(t, d, data, 12)
	pushGroup(t, d)
	require.Eventually(t, func() bool {
		status, a := post(t, d, letterQuery)
		return status == http.StatusOK && len(a.Coverage.Missing) == 0
	}, waitTimeout, 50*time.Millisecond)
	_, a := post(t, d, letterQuery)
	require.Equal(t, "ran", a.Verdict)
	require.Equal(t, 12, a.Coverage.Total)
	requireScan(t, data.FullScan("latin letter", 50), a)

	require.NoError(t, started[3].Close())
	_, a = post(t, d, letterQuery)
	require.Len(t, a.Coverage.Answered, 11)
	require.Len(t, a.Coverage.Missing, 1)
	require.Equal(t, "v1-003", a.Coverage.Missing[0].Shard)
	requireScan(t, data.FullScan("latin letter", 50, "v1-003"), a)

	status, a := post(t, d, `{"team":"names","terms":"latin letter","k":50,"timeout_ms":5000,"min_coverage":1}`)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "coverage_below_minimum", a.Error.Code)
	require.Empty(t, a.Hits)

	// A query without a deadline of its own gets the group's. Within 1 ms no
	// sub-request can answer.
	pushGroupLimits(t, d, routing.Limits{DefaultTimeoutMSec: 1})
	require.Eventually(t, func() bool {
		_, a := post(t, d, `{"team":"names","terms":"latin letter","k":50}`)
		return a.Error.Code == "deadline_exceeded" && a.Error.Verdict == "not_run"
	}, waitTimeout, 50*time.Millisecond)
}

func pushGroupLimits(t testing.TB, d *Daemon, l routing.Limits) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	result, err := d.Propose(ctx, config.Change{
		ID: "limits", Author: "an", Team: "names", Base: d.loop.Snapshot().Revision,
		Ops: []config.Op{config.PutGroup{Group: routing.Group{Name: "names", Team: "names", Match: routing.Labels{"app": "names"}, Limits: l}}},
	})
	require.NoError(t, err)
	require.NoError(t, result.Err())
}

// Guards against invalid input that is answered with anything but a typed error
// with the verdict "not run".
func TestBadInputIsRefusedOverHTTP(t *testing.T) {
	d := startHost(t)
	pushGroup(t, d)
	awaitTargets(t, d, 0)
	for body, want := range map[string]int{
		`{"team":"names"`: http.StatusBadRequest,
		`{"team":"names","terms":"a","k":1,"colour":"red"}`:     http.StatusBadRequest,
		`{"team":"names","terms":"a","k":1} {}`:                 http.StatusBadRequest,
		`{"team":"names","terms":"a","k":1,"group":"nowhere"}`:  http.StatusNotFound,
		`{"team":"strangers","terms":"a","k":1}`:                http.StatusForbidden,
		`{"team":"names","terms":"a","k":1,"timeout_ms":-5}`:    http.StatusBadRequest,
		`{"terms":"` + string(bytes.Repeat([]byte("a"), 1<<20)): http.StatusRequestEntityTooLarge,
	} {
		status, a := post(t, d, body)
		require.Equal(t, want, status, body[:min(60, len(body))])
		require.Equal(t, "not_run", a.Error.Verdict)
		require.NotEmpty(t, a.Error.Message)
	}
}

// Guards against a graceful stop that cuts off a query in progress or part of
// its answer.
func TestStopEndsQueriesInProgress(t *testing.T) {
	n := startCluster(t, 1, 1)[0]
	data := standin.NewDataset("v1-", 4)
	startTargets(t, n.Daemon, data, 4, func(c *standin.Config) { c.ServiceTime = 500 * time.Millisecond })
	pushGroup(t, n.Daemon)
	awaitTargets(t, n.Daemon, 4)
	type result struct {
		answer answerBody
		err    error
	}
	answers := make(chan result, 8)
	for range cap(answers) {
		go func() {
			_, a, err := tryPost(n.Daemon, letterQuery)
			answers <- result{a, err}
		}()
	}
	require.Eventually(t, func() bool { return n.inFlight.Count() == cap(answers) }, waitTimeout, time.Millisecond)
	n.Stop()
	require.NoError(t, <-n.ended)
	n.ended = nil
	for range cap(answers) {
		r := <-answers
		require.NoError(t, r.err)
		require.Empty(t, r.answer.Error.Code)
		require.Empty(t, r.answer.Coverage.Missing)
		requireScan(t, data.FullScan("latin letter", 50), r.answer)
	}
}
