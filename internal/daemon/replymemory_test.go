package daemon_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/settings"
)

// Guards against large replies that pass a gatherer and are not counted as memory in use
// at either host, and against memory that stays in use after the caller has the reply.
func TestLargeRepliesThroughAGathererAreCounted(t *testing.T) {
	const limit, body = 64 << 20, 2 << 20 // of which an eighth is for replies
	small := func(s *settings.Settings) { s.MemoryLimit = limit }
	g := newPlanHost(t, "g", small)
	start(t, g)
	submitRoute(t, g, 7, single)
	release := make(chan struct{})
	startSearcherWith(t, g, "s3", func(w http.ResponseWriter) {
		_, _ = w.Write([]byte(strings.Repeat("x", body)))
		<-release
	})
	h := newPlanHost(t, "h", small)
	t.Cleanup(h.RunHandingOver("g", g.Address("peer"), "s3"))
	submitRoute(t, h, 7, single)
	require.Eventually(t, func() bool { return h.Ready() && g.Gathers() }, waitTimeout, 10*time.Millisecond)
	answered := make(chan string, 1)
	go func() {
		resp, text := ask(t, h)
		if resp.StatusCode != http.StatusOK {
			text = resp.Status
		}
		answered <- text
	}()
	require.Eventually(t, func() bool { return !g.ReplyMemoryLeft(limit/8 - body + 1) }, waitTimeout, time.Millisecond, "the gatherer holds the reply")
	close(release)
	require.Len(t, <-answered, body)
	for range 8 { // more than the memory for replies holds at once
		_, text := ask(t, h)
		require.Len(t, text, body)
	}
	require.Eventually(t, func() bool { return g.ReplyMemoryLeft(limit/8) && h.ReplyMemoryLeft(limit/8) }, waitTimeout, time.Millisecond)
}
