package forwardrun

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/forward"
)

// Guards against logs that don't tell which service resets connections and which one
// gets requests more than once.
func TestUsageNamesTheServices(t *testing.T) {
	resets := startSearcher(t, func(int, string, net.Conn) bool { return false })
	answers := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, "body")) })
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {resets.spec("t"), answers.spec("u")}, "b": {answers.spec("v")}})
	for range 4 {
		_, err := e.Do(context.Background(), call("first", true))
		require.Nil(t, err)
	}
	require.Eventually(t, func() bool { return resets.count() > 0 }, testTimeout, time.Millisecond)
	u := e.TakeUsage()
	require.Equal(t, "a", u.MostWasted.Service)
	require.Equal(t, resets.count(), u.MostWasted.Connections.Unanswered)
	require.Equal(t, "a", u.MostExtra.Service)
	require.Equal(t, forward.ExtraCount{Requests: 4, Made: resets.count()}, u.MostExtra.Extra)
	var out strings.Builder
	u.Log(eventlog.New(&out, zerolog.InfoLevel, "h"))
	require.Contains(t, out.String(), `"unanswered":`)
	require.Contains(t, out.String(), `"sharers":1`)
	require.Equal(t, Usage{}, e.TakeUsage())
}

// Guards against logs from which the repeats of all hosts at a service can't be added up.
func TestUsageSaysWhereAndWhyExtraAttemptsWereMade(t *testing.T) {
	var u Usage
	for i := range topExtraServices + 3 {
		u.addTopExtra(ServiceUsage{Service: "s" + string(rune('a'+i)), Reasons: forward.ExtraReasonCounts{forward.ExtraHedge: i}})
	}
	u.Extra.Made = 4
	u.Reasons[forward.ExtraHedge], u.Reasons[forward.ExtraAfterRejection] = 3, 1
	require.Len(t, u.TopExtra, topExtraServices)
	var out strings.Builder
	u.Log(eventlog.New(&out, zerolog.InfoLevel, "h"))
	require.Contains(t, out.String(), `"reasons":["hedge 3","rejected 1"]`)
	require.Contains(t, out.String(), `"made_by_service":["so 14","sn 13",`)
}

// Guards against a host that is logged as one without a part of the budget because it makes
// no extra attempts itself, but grants them to others.
func TestUsageNamesTheSharersOfAHostThatOnlyGrants(t *testing.T) {
	e := newEngine(t, nil)
	require.Equal(t, 1, e.Grant(call("first", true)))
	u := e.TakeUsage()
	require.Equal(t, 1, u.Sharers)
	require.Equal(t, 1, u.Extra.Granted)
	require.Equal(t, Usage{}, e.TakeUsage())
}
