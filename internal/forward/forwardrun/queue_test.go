package forwardrun

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// busyService is a service with one searcher that takes one request at a time and answers
// when it is told to.
type busyService struct {
	*Engine
	working chan string
	finish  chan struct{}
	ended   chan *verdict.Error
}

func startBusyService(t *testing.T) *busyService {
	t.Helper()
	b := &busyService{working: make(chan string, 64), finish: make(chan struct{}, 64), ended: make(chan *verdict.Error, 64)}
	s := startSearcher(t, func(_ int, id string, c net.Conn) bool {
		b.working <- id
		<-b.finish
		return write(c, reply(id, "body"))
	})
	spec := s.spec("t")
	spec.Capacity = 1
	b.Engine = newEngine(t, map[string][]forward.SearcherSpec{"a": {spec}})
	return b
}

// do begins a call and waits until it is at work or waits.
func (b *busyService) do(t *testing.T, c *Call, waits int) {
	t.Helper()
	go func() {
		_, err := b.Do(context.Background(), c)
		b.ended <- err
	}()
	require.Eventually(t, func() bool { return waiting(b.Engine, "a") == waits }, testTimeout, time.Millisecond)
}

// Guards against an account that takes the turns of the others by sending more, and
// against a turn that is given by deadline alone.
func TestAccountsTakeTurns(t *testing.T) {
	b := startBusyService(t)
	b.do(t, call("first", true), 0)
	require.Equal(t, "first", <-b.working)
	large, small := &accounts.Account{Name: "large", Priority: accounts.NoPriority, Rate: 10}, &accounts.Account{Name: "small", Priority: accounts.NoPriority, Rate: 10}
	for i := range 6 {
		c := call(fmt.Sprint("large ", i), true)
		c.Account = large
		b.do(t, c, i+1)
	}
	for i := range 2 {
		c := call(fmt.Sprint("small ", i), true)
		c.Account = small
		b.do(t, c, i+7)
	}
	var order []string
	for range 8 {
		b.finish <- struct{}{}
		order = append(order, <-b.working)
	}
	b.finish <- struct{}{}
	for range 9 {
		require.Nil(t, <-b.ended)
	}
	require.Equal(t, []string{"large 0", "small 0", "large 1", "small 1", "large 2", "large 3", "large 4", "large 5"}, order)
}

// Guards against a request that waits until its deadline although no turn will come before,
// and against a refusal of one that was sent.
func TestRequestWithoutATurnIsRefusedAtOnce(t *testing.T) {
	b := startBusyService(t)
	first := call("first", true)
	for range 40 { // requests of the route take 100 ms
		b.costs.Estimate(time.Now(), first.features()).Kind.Observe(time.Now(), 100*time.Millisecond, 1)
	}
	b.do(t, first, 0)
	require.Equal(t, "first", <-b.working)
	b.do(t, call("patient", true), 1)
	short := call("short", true)
	short.Account = &accounts.Account{Name: "a", Priority: 1} // behind the patient one
	short.Deadline = short.Arrived.Add(150 * time.Millisecond)
	_, err := b.Do(context.Background(), short)
	require.NotNil(t, err)
	require.Equal(t, forward.CodeOverloaded, err.Code)
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.LessOrEqual(t, err.RetryAfter, 50*time.Millisecond)
	b.finish <- struct{}{}
	require.Equal(t, "patient", <-b.working)
	b.finish <- struct{}{}
	require.Nil(t, <-b.ended)
	require.Nil(t, <-b.ended)
	require.Empty(t, b.working, "the refused request is not sent later")
}

// Guards against shedding that falls on all accounts alike, and a hint that is not within
// a third of the time left.
func TestSheddingByAccount(t *testing.T) {
	e := newEngine(t, nil)
	route := &routeplan.Route{Name: "g", Gather: &routeplan.Gather{Services: []string{"a"}}}
	large, small := &accounts.Account{Name: "large", Rate: 10}, &accounts.Account{Name: "small", Rate: 10}
	refused := map[string]int{}
	for i := range 700 {
		c := call(fmt.Sprint(i), true)
		c.Route, c.Account = route, large
		if i%7 == 0 {
			c.Account = small
		}
		if err := e.Admit(c, 0.5); err != nil && i > 70 {
			refused[c.Account.Name]++
			require.Equal(t, verdict.NotRun, err.Verdict)
			require.LessOrEqual(t, err.RetryAfter, testTimeout/3)
			require.Positive(t, err.RetryAfter)
		}
	}
	require.Zero(t, refused["small"])
	require.Greater(t, refused["large"], 200)
}
