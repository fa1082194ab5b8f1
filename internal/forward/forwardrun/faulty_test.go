package forwardrun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// endless writes a prefix and then the same text until the connection is closed.
// It returns the bytes written.
func endless(c net.Conn, prefix, text string) (written int64) {
	block := []byte(prefix)
	for {
		n, err := c.Write(block)
		written += int64(n)
		if err != nil {
			return written
		}
		block = []byte(strings.Repeat(text, 1+4096/len(text)))
	}
}

const okHead = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: %s\r\n"

// endlessReplies are replies that never end, each with a prefix in which %s stands
// for the request ID, and a text that repeats.
var endlessReplies = map[string][2]string{
	"status line":         {"HTTP/1.1 200 ", "x"},
	"one header":          {okHead + "A: ", "x"},
	"headers":             {okHead, "A: x\r\n"},
	"interim responses":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"no HTTP at all":      {"", "rubbish "},
	"body without length": {okHead + "\r\n", "x"},
	"body beyond limit":   {okHead + "Content-Length: 99999999999\r\n\r\n", "x"},
	"chunks":              {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	"tiny chunks":         {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk extension":     {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	"chunk size":          {okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	"trailer":             {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
}

// Guards against a searcher that sends bytes without end, in a head or a body: the
// exchange must end long before the deadline, the caller must get the answer of
// the shard's other searcher, and no memory for replies may stay in use.
func TestEndlessRepliesAreCutOff(t *testing.T) {
	for name, text := range endlessReplies {
		t.Run(name, func(t *testing.T) {
			var asked, written atomic.Int64
			faulty := startSearcher(t, func(_ int, id string, c net.Conn) bool {
				asked.Add(1)
				written.Add(endless(c, strings.ReplaceAll(text[0], "%s", id), text[1]))
				return false
			})
			good := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, record("a"))) })
			e := newEngine(t, map[string][]forward.SearcherSpec{"a": {faulty.spec("faulty"), good.spec("good")}})
			for i := 0; asked.Load() == 0; i++ {
				c := gatherCall(fmt.Sprint(i), "a")
				a, err := e.Do(context.Background(), c)
				require.Nil(t, err)
				require.Equal(t, record("a"), string(a.Body))
			}
			require.Eventually(t, func() bool { return e.memory.used.Load() == 0 }, testTimeout, time.Millisecond)
			require.Less(t, written.Load(), int64(32<<20), "socket buffers included")
		})
	}
}

// Guards against a part of a gathered answer that comes from a response whose status is none.
func TestResponseWithoutAStatusIsNoPart(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			var asked atomic.Int64
			faulty := startSearcher(t, func(_ int, id string, c net.Conn) bool {
				asked.Add(1)
				return invalidStatus(status).script(id, c)
			})
			good := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, record("a"))) })
			e := newEngine(t, map[string][]forward.SearcherSpec{"a": {faulty.spec("faulty"), good.spec("good")}})
			for i := 0; asked.Load() == 0; i++ {
				a, err := e.Do(context.Background(), gatherCall(fmt.Sprint(i), "a"))
				require.Nil(t, err)
				require.Equal(t, record("a"), string(a.Body))
			}
		})
	}
}

func gatherCall(id string, services ...string) *Call {
	c := call(id, true)
	c.Route = &routeplan.Route{
		Name: "g", Idempotent: true, MaxAttempts: 2, Timeout: testTimeout, Objective: testTimeout,
		Gather: &routeplan.Gather{Services: services, TopK: 1, MinRatio: 1},
	}
	return c
}

// Guards against the memory that many searchers take together when all of them send
// bytes without end at once, and against good searchers whose replies find no memory
// left: every answer must be whole. Each searcher has one connection, which is open
// before the faulty ones begin, so that nothing depends on how fast a new one opens.
func TestManyEndlessRepliesAtOnce(t *testing.T) {
	const shards, limit = 60, 1 << 20
	names := make([]string, shards)
	all := map[string][]forward.SearcherSpec{}
	kinds := []string{"headers", "body without length", "chunks", "one header"}
	one := func(s forward.SearcherSpec) forward.SearcherSpec {
		s.Capacity = 1
		return s
	}
	for i := range names {
		names[i] = fmt.Sprintf("s%02d", i)
		kind := endlessReplies[kinds[i%len(kinds)]]
		faulty := startSearcher(t, func(_ int, id string, c net.Conn) bool {
			endless(c, strings.ReplaceAll(kind[0], "%s", id), kind[1])
			return false
		})
		good := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, record(names[i]))) })
		all[names[i]] = []forward.SearcherSpec{one(good.spec("good" + names[i])), one(faulty.spec("faulty" + names[i]))}
	}
	e := New(Config{Wire: testWire{}, Budget: forward.BudgetLimits{Ratio: 0.2, Extra: 10_000, Window: 10 * time.Second}, ReplyMemory: limit})
	t.Cleanup(e.Close)
	onlyGood := map[string][]forward.SearcherSpec{}
	for name, specs := range all {
		onlyGood[name] = specs[:1]
	}
	e.SetSearchers(onlyGood)
	a, err := e.Do(context.Background(), gatherCall("warm", names...))
	require.Nil(t, err)
	require.Zero(t, a.Missing)
	e.SetSearchers(all)
	var most atomic.Int64
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Add(1)
	go func() {
		defer sampler.Done()
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				most.Store(max(most.Load(), e.memory.used.Load()))
			}
		}
	}()
	var calls sync.WaitGroup
	for i := range 8 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			a, err := e.Do(context.Background(), gatherCall(fmt.Sprint("q", i), names...))
			if err == nil && a.Missing == 0 {
				return
			}
			t.Errorf("query %d: missing %d, %v", i, a.Missing, err)
		}()
	}
	calls.Wait()
	close(done)
	sampler.Wait()
	require.LessOrEqual(t, most.Load(), int64(limit))
	require.Eventually(t, func() bool { return e.memory.used.Load() == 0 }, testTimeout, time.Millisecond)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	require.Less(t, m.HeapAlloc, uint64(64<<20))
}

// awaitConnection waits for the connection that the engine opens in advance.
func awaitConnection(t *testing.T, e *Engine) {
	t.Helper()
	svc := e.service("a")
	require.Eventually(t, func() bool {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		for _, p := range svc.pools {
			if len(p.idle) > 0 {
				return true
			}
		}
		return false
	}, testTimeout, time.Millisecond)
}

// Guards against a searcher that stays unused after one failed dial for as long as an
// earlier connection to it is open.
func TestFailedDialBesideAnOpenConnection(t *testing.T) {
	s := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, "body")) })
	spec := s.spec("t")
	spec.Capacity = 2
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {spec}})
	awaitConnection(t, e)
	svc := e.service("a")
	svc.mu.Lock()
	svc.group.RecordDial(spec.Identity, false)
	svc.mu.Unlock()
	svc.warm()
	require.Eventually(t, func() bool {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		return !svc.poolOf(spec.Identity).probing
	}, testTimeout, time.Millisecond)
	_, failure := e.Do(context.Background(), call("q", true))
	require.Nil(t, failure)
}

// Guards against a run that waits for a searcher although none is busy any more: the
// only attempt ended after the run had found it busy and before the run waited.
func TestEndBetweenBusyAndWaitingIsNotMissed(t *testing.T) {
	s := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, "body")) })
	spec := s.spec("t")
	spec.Capacity = 1
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {spec}})
	svc, rng := e.service("a"), rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	searcher, _, _ := svc.begin(now, forward.Criteria{}, forward.AttemptOptions{}, rng)
	_, busy, ends := svc.begin(now, forward.Criteria{}, forward.AttemptOptions{}, rng)
	require.True(t, busy)
	svc.ended(&exchange{Attempt: &forward.Attempt{Service: "a", Searcher: searcher, Began: now}}, time.Millisecond, forward.Good)
	r := &runner{engine: e, call: call("q", true), events: make(chan event, 1)}
	svc.await(r, 0, ends)
	require.Len(t, r.events, 1)
	<-r.events
	_, _, ends = svc.begin(now, forward.Criteria{}, forward.AttemptOptions{}, rng)
	svc.await(r, 0, ends)
	require.Empty(t, r.events, "nothing has ended since")
}

// Guards against a reply that is taken for another's: a delayed second copy, whole
// or cut, with and without a request ID or a length, in the same packet or later,
// where the next reply is expected. The next request must get its own reply, or
// fail as one that may have run.
func TestSecondCopiesAnswerNoOtherRequest(t *testing.T) {
	refused := "HTTP/1.1 503 Busy\r\nNot-Run: full\r\n%sContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		first, copies string // the copy arrives right after the next request was read
		v             verdict.Verdict
	}{
		"copy":                          {"", reply("first", "stale"), verdict.Ran},
		"cut copy":                      {"", reply("first", "stale")[:60], verdict.MayHaveRun},
		"cut body":                      {"", "HTTP/1.1 200 OK\r\nId: first\r\nSignature: s\r\nContent-Length: 900\r\n\r\nstale", verdict.MayHaveRun},
		"copy without a length":         {"", "HTTP/1.1 200 OK\r\nId: first\r\nSignature: s\r\n\r\nstale", verdict.MayHaveRun},
		"refusal":                       {"", fmt.Sprintf(refused, "Id: first\r\n"), verdict.Ran},
		"refusal without a request ID":  {"", fmt.Sprintf(refused, ""), verdict.MayHaveRun},
		"misdirected without an ID":     {"", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", verdict.MayHaveRun},
		"success without a request ID":  {"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", verdict.MayHaveRun},
		"signed without a request ID":   {"", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nstale", verdict.Ran},
		"pipelined behind the own one":  {reply("first", "body") + reply("first", "body"), "", verdict.Ran},
		"cut, pipelined behind the own": {reply("first", "body") + reply("first", "body")[:30], "", verdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSearcher(t, func(_ int, id string, conn net.Conn) bool {
				switch {
				case id == "first" && c.first != "":
					return write(conn, c.first)
				case id == "first":
					return write(conn, reply(id, "body"))
				}
				return write(conn, c.copies+reply(id, "own")) && c.copies == ""
			})
			e := newEngine(t, map[string][]forward.SearcherSpec{"a": {s.spec("t")}})
			awaitConnection(t, e) // both requests use it
			_, err := e.Do(context.Background(), call("first", false))
			require.Nil(t, err)
			a, err := e.Do(context.Background(), call("second", false))
			if c.v == verdict.Ran {
				require.Nil(t, err)
				require.Equal(t, "own", string(a.Reply.Body))
				return
			}
			require.NotNil(t, err)
			require.Equal(t, c.v, err.Verdict)
		})
	}
}

// Guards against a request that may run only once and runs twice: after a refusal
// it is sent again to the same searcher, and a delayed second copy of the refusal,
// which has the same request ID, must not be taken for the second refusal.
func TestSecondCopyOfARefusalDoesNotRepeatARequest(t *testing.T) {
	var runs atomic.Int64
	refusal := func(id string) string {
		return "HTTP/1.1 503 Busy\r\nNot-Run: full\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	var mu sync.Mutex
	refused := map[net.Conn]bool{}
	first := true
	s := startSearcher(t, func(_ int, id string, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case id == "warm":
			return write(c, reply(id, "body"))
		case first:
			first = false
			refused[c] = true
			return write(c, refusal(id))
		case refused[c]:
			runs.Add(1)
			return write(c, refusal(id)+reply(id, "ran"))
		}
		runs.Add(1)
		return write(c, reply(id, "ran"))
	})
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {s.spec("t")}})
	awaitConnection(t, e)
	_, err := e.Do(context.Background(), call("warm", false))
	require.Nil(t, err)
	a, err := e.Do(context.Background(), call("order", false))
	require.Nil(t, err)
	require.Equal(t, "ran", string(a.Reply.Body))
	require.EqualValues(t, 1, runs.Load())
}

// Guards against requests to a searcher that said in a reply that it leaves,
// whatever the reply was, even if it was a delayed copy or not used.
func TestReplyThatSaysLeavingEndsRequests(t *testing.T) {
	for name, text := range map[string]string{
		"success": "HTTP/1.1 200 OK\r\nLeaving: 1\r\nId: first\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"refusal": "HTTP/1.1 503 Busy\r\nLeaving: 1\r\nNot-Run: full\r\nId: first\r\nContent-Length: 0\r\n\r\n",
		"failure": "HTTP/1.1 500 Failed\r\nLeaving: 1\r\nId: first\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"copy":    "HTTP/1.1 200 OK\r\nLeaving: 1\r\nId: older\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"cut":     "HTTP/1.1 200 OK\r\nLeaving: 1\r\nId: first\r\nSignature: s\r\nContent-Length: 9\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var after atomic.Int64
			leaving := startSearcher(t, func(n int, id string, c net.Conn) bool {
				if n > 0 {
					after.Add(1)
				}
				write(c, text)
				return false
			})
			stays := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, "body")) })
			reported := make(chan string, 64)
			e := New(Config{
				Wire: testWire{}, Budget: forward.BudgetLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second},
				OnLeaving: func(target string, _ uint64) {
					select {
					case reported <- target:
					default:
					}
				},
			})
			t.Cleanup(e.Close)
			only := map[string][]forward.SearcherSpec{"a": {leaving.spec("leaving")}}
			e.SetSearchers(only)
			answer, _ := e.Do(context.Background(), call("first", false))
			require.Equal(t, "leaving", <-reported)
			require.Len(t, answer.Leaving, 1)
			both := map[string][]forward.SearcherSpec{"a": {leaving.spec("leaving"), stays.spec("stays")}}
			e.SetSearchers(nil) // and a delayed announcement lists it again
			e.SetSearchers(both)
			for i := range 20 {
				_, err := e.Do(context.Background(), call(fmt.Sprint(i), true))
				require.Nil(t, err)
			}
			require.Zero(t, after.Load())
			e.SetSearchers(only)
			_, err := e.Do(context.Background(), call("last", false))
			require.Equal(t, verdict.NotRun, err.Verdict)
		})
	}
}

// Guards against a request that is sent to a searcher in the pause that it asked
// for, when the pause began while the request waited for its connection.
func TestPauseHoldsForARequestThatWaitsForAConnection(t *testing.T) {
	s := startSearcher(t, func(_ int, id string, c net.Conn) bool { return write(c, reply(id, "body")) })
	e := newEngine(t, map[string][]forward.SearcherSpec{"a": {s.spec("t")}})
	svc := e.service("a")
	searcher, _, _ := svc.begin(time.Now(), forward.Criteria{}, forward.AttemptOptions{}, rand.New(rand.NewPCG(1, 2)))
	svc.mu.Lock()
	svc.group.Note(time.Now(), searcher.Identity, forward.Notice{Pause: 5 * time.Minute})
	svc.poolOf(searcher.Identity).open++
	svc.mu.Unlock()
	results := make(chan forward.Result, 1)
	x := &exchange{
		Attempt: &forward.Attempt{Service: "a", Searcher: searcher, Began: time.Now(), Open: true}, call: call("q", true),
		done: func(_ *exchange, result forward.Result) { results <- result },
	}
	svc.dial(searcher.Identity, x)
	require.Equal(t, forward.Unsent, <-results)
	require.Zero(t, s.count())
	_, err := e.Do(context.Background(), call("next", true))
	require.Equal(t, forward.CodePaused, err.Code)
	require.InDelta(t, 5*time.Minute, err.RetryAfter, float64(time.Minute))
}
