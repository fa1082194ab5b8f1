package entry

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var testTimeouts = Timeouts{Default: time.Second, Max: 10 * time.Second}

// Guards against invalid requests that reach targets, and against rejections
// whose verdict isn't NotRun.
func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	good := QueryRequest{Origin: Origin{Team: "showroom"}, Terms: "leaf", K: 10}
	for name, change := range map[string]func(*QueryRequest){
		"no team":          func(q *QueryRequest) { q.Team = "" },
		"no terms":         func(q *QueryRequest) { q.Terms = "" },
		"long terms":       func(q *QueryRequest) { q.Terms = strings.Repeat("a", MaxTermsBytes+1) },
		"k zero":           func(q *QueryRequest) { q.K = 0 },
		"k too large":      func(q *QueryRequest) { q.K = MaxHits + 1 },
		"coverage":         func(q *QueryRequest) { q.MinCoverage = 1.5 },
		"coverage NaN":     func(q *QueryRequest) { q.MinCoverage = math.NaN() },
		"negative timeout": func(q *QueryRequest) { q.Timeout = -time.Second },
		"long timeout":     func(q *QueryRequest) { q.Timeout = time.Hour },
		"empty label":      func(q *QueryRequest) { q.Labels = map[string]string{"": "x"} },
	} {
		q := good
		change(&q)
		err := q.Validate(testTimeouts)
		require.Error(t, err, name)
		require.Equal(t, verdict.NotRun, verdict.Of(err), name)
	}
	require.NoError(t, good.Validate(testTimeouts))

	order := OrderRequest{Origin: Origin{Team: "warehouse"}, Body: []byte(`"roll 7"`)}
	err := order.Validate(testTimeouts)
	require.Equal(t, CodeMissingRequestID, verdict.CodeOf(err))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

// Guards against a group's default timeout that is ignored, or that exceeds the
// host's maximum.
func TestDefaultTimeoutOfAGroup(t *testing.T) {
	for _, c := range []struct {
		requested time.Duration
		group     int
		want      time.Duration
	}{
		{0, 0, time.Second},
		{0, 130, 130 * time.Millisecond},
		{0, 60_000, 10 * time.Second},
		{2 * time.Second, 130, 2 * time.Second},
	} {
		require.Equal(t, c.want, testTimeouts.Of(c.requested, routing.Limits{DefaultTimeoutMSec: c.group}))
	}
}

// Guards against a host that serves an outdated configuration when it resumes
// after a pause.
func TestGateClosesWithoutAnEvent(t *testing.T) {
	now := time.Unix(1000, 0)
	s := membership.NewState(now, membership.Settings{
		Self: membership.Member{Host: "a", Incarnation: 1, PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "fd"}, Staleness: 3 * time.Second,
	})
	at := membership.Position{Term: 1, Revision: 1}
	s.Step(now, membership.Tick{})
	s.Step(now, membership.ConfigApplied{Position: at})
	s.Step(now, membership.LeaderConfirmed{Position: at, At: now})
	g := Gate{Accepting: true, Evidence: s.Evidence()}
	require.NoError(t, g.Check(now))
	err := g.Check(now.Add(time.Minute))
	require.Equal(t, CodeConfigStale, verdict.CodeOf(err))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, CodeNotReady, verdict.CodeOf(Gate{Reason: "starting"}.Check(now)))
}
