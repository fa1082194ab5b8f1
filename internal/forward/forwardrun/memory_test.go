package forwardrun

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/forward"
)

// newSmallEngine returns an engine with little memory for replies, and services whose
// only searcher sends the reply that is named.
func newSmallEngine(t *testing.T, memory int64, replies map[string]func(id string) string) *Engine {
	t.Helper()
	e := New(Config{Wire: testWire{}, Budget: forward.BudgetLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, ReplyMemory: memory})
	t.Cleanup(e.Close)
	specs := make(map[string][]forward.SearcherSpec)
	for service, text := range replies {
		s := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, text(id)) })
		specs[service] = []forward.SearcherSpec{s.spec("t-" + service)}
	}
	e.SetSearchers(specs)
	return e
}

func callService(service, id string) *Call {
	c := call(id, true)
	c.Route.Name, c.Route.Splits[0].Service = service, service
	return c
}

// Guards against large replies that no longer count as memory in use while they are
// still being sent to callers, and against small replies that fail meanwhile.
func TestReplyIsMemoryInUseUntilItIsReleased(t *testing.T) {
	const size, limit = 3 << 20, 10 << 20
	e := newSmallEngine(t, limit, map[string]func(string) string{
		"large": func(id string) string { return reply(id, strings.Repeat("x", size)) },
		"small": func(id string) string { return reply(id, "body") },
	})
	var held []*Answer
	for i := range 8 {
		a, err := e.Do(context.Background(), callService("large", fmt.Sprint("q", i)))
		require.LessOrEqual(t, e.memory.used.Load(), int64(limit))
		if err == nil {
			held = append(held, a)
		}
		require.GreaterOrEqual(t, e.memory.used.Load(), int64(len(held)*size), "answers that are not sent yet")
		small, err := e.Do(context.Background(), callService("small", fmt.Sprint("s", i)))
		require.Nil(t, err)
		small.Release()
	}
	require.NotEmpty(t, held)
	require.Less(t, len(held), 4)
	for _, a := range held {
		a.Release()
		a.Release()
	}
	require.Zero(t, e.memory.used.Load())
}

// Guards against the memory that the fields of large heads take, which is many times
// their bytes, while all replies of a gather wait for the last one.
func TestLargeHeadsCountAsMemory(t *testing.T) {
	var head strings.Builder
	for i := range 9000 {
		fmt.Fprintf(&head, "%x:\r\n", 0x1000+i)
	}
	replies := make(map[string]func(string) string)
	var names []string
	for i := range 16 {
		names = append(names, fmt.Sprint("s", i))
		replies[names[i]] = func(id string) string {
			return strings.Replace(reply(id, record("a")), "\r\n\r\n", "\r\n"+head.String()+"\r\n", 1)
		}
	}
	const limit = 8 << 20
	e := newSmallEngine(t, limit, replies)
	c := gatherCall("q", names...)
	c.Route.Gather.MinRatio = 0.1
	a, err := e.Do(context.Background(), c)
	require.Nil(t, err)
	require.GreaterOrEqual(t, a.Missing, len(names)-limit/(head.Len()*headExpansion)-1)
	require.Less(t, a.Missing, len(names))
	require.Zero(t, e.memory.used.Load())
}
