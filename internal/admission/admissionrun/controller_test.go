package admissionrun

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/admission"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func newController(log *eventlog.Logger, concurrency int) *Controller {
	c := New(admission.Config{Concurrency: concurrency}, log)
	c.SetGroups([]routing.Group{{Name: "g"}})
	return c
}

func admit(t *testing.T, c *Controller, timeout time.Duration) (func(admission.Result), error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return c.Admit(ctx, Query{Group: "g", Team: "t", Caller: "c"})
}

// Guards against a waiting query that misses a free slot, waits past its
// deadline, or still counts after its context was canceled.
func TestAdmitBlocksUntilDecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		c := newController(eventlog.New(&log, zerolog.InfoLevel, "h"), 1)
		release, err := admit(t, c, time.Minute)
		require.NoError(t, err)
		start := time.Now()
		_, err = admit(t, c, 100*time.Millisecond)
		require.Equal(t, 100*time.Millisecond-admission.DefaultMinRunTime, time.Since(start))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, verdict.CodeDeadlineExceeded, verdict.CodeOf(err))
		require.Contains(t, log.String(), `"event":6200`)

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		ctx, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		_, err = c.Admit(ctx, Query{Group: "g"})
		require.Equal(t, CodeCanceled, verdict.CodeOf(err))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		st, _ := c.Snapshot()
		require.Zero(t, st.Waiting)

		time.AfterFunc(time.Second, func() { release(admission.Completed) })
		release2, err := admit(t, c, time.Minute)
		require.NoError(t, err)
		release2(admission.Completed)
		release2(admission.Completed) // a second call must not free another slot
		st, totals := c.Snapshot()
		require.Zero(t, st.Running)
		require.Equal(t, Totals{Admitted: 2, Refused: 1}, totals)

		_, err = c.Admit(t.Context(), Query{Group: "g"})
		require.Equal(t, verdict.CodeInvalidRequest, verdict.CodeOf(err))
	})
}

// Guards against data races, lost slots and queries without a decision.
func TestConcurrentAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newController(eventlog.Nop(), 4)
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i%17) * time.Millisecond)
				release, err := admit(t, c, time.Duration(5+i%50)*time.Millisecond)
				if err != nil {
					require.Equal(t, verdict.NotRun, verdict.Of(err))
					return
				}
				time.Sleep(time.Duration(i%5) * time.Millisecond)
				release(admission.Completed)
			})
		}
		wg.Wait()
		st, totals := c.Snapshot()
		require.Zero(t, st.Running)
		require.Zero(t, st.Waiting)
		require.Positive(t, totals.Admitted)
		require.Empty(t, c.waiting)
	})
}

// Guards against an alarm for overload when queries are refused for another reason.
func TestUnknownGroupsAreNotLoggedAsOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		c := newController(eventlog.New(&log, zerolog.InfoLevel, "h"), 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := c.Admit(ctx, Query{Group: "none"})
		require.Equal(t, routing.CodeUnknownGroup, verdict.CodeOf(err))
		require.NotContains(t, log.String(), `"event":6200`)
	})
}
