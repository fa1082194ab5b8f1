package ordersrun

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// slowLedger is a ledger whose first claim is delayed: its outcome stays unknown
// to the claimant, and it is applied later.
type slowLedger struct {
	mu      sync.Mutex
	ledger  *orders.Ledger
	index   uint64
	delayed *orders.Claim
	second  orders.Outcome // outcome of the second claim, whatever the ledger holds
	claims  int
}

func (l *slowLedger) apply(c orders.Command) orders.Reply {
	l.index++
	return l.ledger.Apply(l.index, c)
}

func (l *slowLedger) Commit(_ context.Context, c orders.Command) (orders.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if claim, ok := c.(orders.Claim); ok {
		l.claims++
		switch l.claims {
		case 1:
			l.delayed = &claim
			return orders.Reply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer")
		case 2:
			return orders.Reply{Outcome: l.second}, nil
		}
	}
	return l.apply(c), nil
}

func (l *slowLedger) LookUp(_ context.Context, requestID string) (orders.Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Lookup(requestID), nil
}

// deliver applies the delayed claim.
func (l *slowLedger) deliver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(*l.delayed)
}

// newRequest returns a request that is issued now. It advances the virtual clock,
// which starts before the first time that an ID can carry.
func newRequest() orders.Request {
	time.Sleep(10 * 365 * 24 * time.Hour)
	now := time.Now()
	return orders.Request{ID: fmt.Sprintf("%d-a", now.UnixMilli()), Deadline: now.Add(2 * time.Second), First: true}
}

// Guards against a claim that is granted after its order was refused and then stays
// open: every later submission of the order would be told that it is in progress.
func TestClaimGrantedAfterTheEndIsReleased(t *testing.T) {
	for _, at := range []time.Duration{150 * time.Millisecond, time.Minute} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &slowLedger{ledger: orders.NewLedger(orders.DefaultLimits()), second: orders.Full}
				d := New(l, "h1", 1)
				req := newRequest()
				dispatched := 0
				dispatch := func(context.Context) orders.TargetReplied {
					dispatched++
					return orders.TargetReplied{Verdict: verdict.Ran}
				}
				time.AfterFunc(at, l.deliver)
				_, err := d.Run(t.Context(), req, dispatch)
				require.Equal(t, verdict.NotRun, verdict.Of(err))
				time.Sleep(2 * time.Minute)
				require.Zero(t, dispatched)
				require.Zero(t, d.Open())
				require.Empty(t, l.ledger.OpenClaims())
				d.Close(t.Context())
			})
		})
	}
}

// Guards against an order that waits for the end of its own claim until the
// deadline: the ledger reports the request as in progress because a delayed copy of
// this execution's claim was granted.
func TestOwnDelayedClaimIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowLedger{ledger: orders.NewLedger(orders.DefaultLimits()), second: orders.InProgress}
		d := New(l, "h1", 1)
		req := newRequest()
		time.AfterFunc(500*time.Millisecond, l.deliver)
		result, err := d.Run(t.Context(), req, func(context.Context) orders.TargetReplied {
			return orders.TargetReplied{Verdict: verdict.Ran, Result: orders.Result{Status: 201}}
		})
		require.NoError(t, err)
		require.Equal(t, 201, result.Status)
		d.Close(t.Context())
		require.Empty(t, l.ledger.OpenClaims())
	})
}
