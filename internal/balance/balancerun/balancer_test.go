package balancerun

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func replica(target string) balance.Replica {
	return balance.Replica{Key: balance.Key{Target: target, Searcher: "s0"}, FailureDomain: target, Slots: 1}
}

func newBalancer(log *eventlog.Logger) *Balancer {
	return New(balance.Config{}, rand.New(rand.NewPCG(1, 2)), log)
}

func ok(latency time.Duration) balance.Outcome {
	return balance.Outcome{Kind: balance.OK, Latency: latency}
}

// Guards against a free slot that goes to a later deadline first, to no
// sub-request, or to two.
func TestFreeSlotGoesToEarliestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(eventlog.Nop())
		rs := []balance.Replica{replica("t0"), replica("t1")}
		for range rs {
			_, err := b.Acquire(t.Context(), rs, balance.PickOptions{})
			require.NoError(t, err)
		}
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for _, seconds := range []int{30, 10, 20, 40} {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds)*time.Second)
				defer cancel()
				r, err := b.Acquire(ctx, rs, balance.PickOptions{})
				require.NoError(t, err)
				mu.Lock()
				order = append(order, seconds)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				b.Release(r, ok(time.Millisecond))
			})
		}
		synctest.Wait()
		_, waiting := b.Snapshot()
		require.Equal(t, 4, waiting[rs[0].Key])
		b.Release(rs[0], ok(time.Millisecond))
		wg.Wait()
		require.Equal(t, []int{10, 20, 30, 40}, order)
		_, waiting = b.Snapshot()
		require.Empty(t, waiting)
	})
}

// Guards against sub-requests that wait past their deadline or although they
// can no longer finish in time, and against queue entries that they leave
// behind.
func TestWaitEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(eventlog.Nop())
		rs := []balance.Replica{replica("t0")}
		_, err := b.Acquire(t.Context(), rs, balance.PickOptions{})
		require.NoError(t, err)
		b.Release(rs[0], ok(100*time.Millisecond))
		_, err = b.Acquire(t.Context(), rs, balance.PickOptions{})
		require.NoError(t, err)

		acquire := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := b.Acquire(ctx, rs, balance.PickOptions{})
			return err
		}
		start := time.Now()
		err = acquire(50 * time.Millisecond)
		require.Zero(t, time.Since(start), "refused without a wait")
		require.Equal(t, CodeTooLate, verdict.CodeOf(err))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		err = acquire(200 * time.Millisecond)
		require.Equal(t, 200*time.Millisecond, time.Since(start))
		require.Equal(t, CodeTooLate, verdict.CodeOf(err))
		_, waiting := b.Snapshot()
		require.Empty(t, waiting)

		done := make(chan error)
		go func() { done <- acquire(200 * time.Millisecond) }()
		time.Sleep(150 * time.Millisecond)
		b.Release(rs[0], ok(100*time.Millisecond))
		require.Equal(t, CodeTooLate, verdict.CodeOf(<-done), "50 ms are left, 100 ms are needed")
	})
}

// Guards against sub-requests that wait for, or are sent to, a target that was
// removed, and against an unbounded queue.
func TestRetainRefusesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(eventlog.Nop())
		b.maxWaiting = 1
		rs := []balance.Replica{replica("t0"), replica("t1")}
		for range rs {
			_, err := b.Acquire(t.Context(), rs, balance.PickOptions{})
			require.NoError(t, err)
		}
		only := make(chan error)
		both := make(chan balance.Replica)
		go func() {
			_, err := b.Acquire(t.Context(), rs[:1], balance.PickOptions{})
			only <- err
		}()
		synctest.Wait()
		_, err := b.Acquire(t.Context(), rs[:1], balance.PickOptions{})
		require.Equal(t, CodeBusy, verdict.CodeOf(err))
		go func() {
			r, _ := b.Acquire(t.Context(), rs, balance.PickOptions{})
			both <- r
		}()
		synctest.Wait()
		b.Retain(func(k balance.Key) bool { return k.Target != "t0" })
		require.Equal(t, CodeNoReplica, verdict.CodeOf(<-only))
		b.Release(rs[1], ok(0))
		require.Equal(t, rs[1], <-both)
	})
}

// Guards against an ejection that isn't logged.
func TestEjectionIsLogged(t *testing.T) {
	var out bytes.Buffer
	b := newBalancer(eventlog.New(&out, zerolog.InfoLevel, "h"))
	rs := []balance.Replica{replica("t0")}
	for range balance.DefaultConsecutiveFailures {
		r, result := b.TryAcquire(rs, balance.PickOptions{})
		require.Equal(t, balance.Picked, result)
		b.Release(r, balance.Outcome{Kind: balance.Failed})
	}
	require.Contains(t, out.String(), `"event":6100`)
}

// Guards against data races and lost slots under concurrent use.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(eventlog.Nop())
		rs := []balance.Replica{replica("t0"), replica("t1"), replica("t2")}
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Millisecond)
				defer cancel()
				r, err := b.Acquire(ctx, rs, balance.PickOptions{})
				if err != nil {
					return
				}
				time.Sleep(time.Millisecond)
				b.Release(r, ok(time.Millisecond))
			})
		}
		wg.Wait()
		stats, waiting := b.Snapshot()
		require.Empty(t, waiting)
		for _, st := range stats {
			require.Zero(t, st.InFlight)
		}
	})
}
