package quotarun

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/quota"
)

// network connects the quotas of some hosts on virtual time.
type network struct {
	hosts     map[string]*Quotas
	owners    quota.Owners // of account "a"
	directory *accounts.Directory
	log       bytes.Buffer

	mu     sync.Mutex
	silent map[string]bool // hosts that don't answer
	asked  map[string]int  // requests that arrived, by host
	slow   time.Duration   // added to the time of all answers
}

const oneWay = 2 * time.Millisecond

func newNetwork(t *testing.T, size int, list ...accounts.Account) *network {
	t.Helper()
	n := &network{hosts: map[string]*Quotas{}, directory: accounts.NewDirectory(list), silent: map[string]bool{}, asked: map[string]int{}}
	var names []string
	for i := range size {
		names = append(names, fmt.Sprint("h", i))
	}
	n.owners = quota.NewList(1, names).Owners("a")
	log := eventlog.New(&n.log, zerolog.InfoLevel, "h")
	for _, name := range names {
		n.hosts[name] = New(Config{
			Host: name, Seed: 1, Now: time.Now, Log: log, Ask: n.ask,
			Policy: quota.Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20, Drift: 0.05},
			View: func() View {
				return View{Epoch: 1, Members: names, ConfirmedAt: time.Now(), Plan: 1, Accounts: n.directory}
			},
		})
		n.hosts[name].Observe()
		t.Cleanup(n.hosts[name].Close)
	}
	time.Sleep(time.Minute) // until all buckets are full
	return n
}

func (n *network) ask(ctx context.Context, host string, r quota.Request) (quota.Reply, error) {
	n.mu.Lock()
	silent, slow := n.silent[host], n.slow
	n.asked[host]++
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return quota.Reply{}, ctx.Err()
	}
	time.Sleep(oneWay)
	reply := n.hosts[host].Serve(r)
	time.Sleep(oneWay + slow)
	return reply, nil
}

func (n *network) silence(host string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[host] = silent
}

func (n *network) delay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow = d
}

// messages returns the number of requests that all hosts received.
func (n *network) messages() (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.asked {
		sum += m
	}
	return sum
}

// other returns a host that does not own the account.
func (n *network) other() *Quotas {
	for name, q := range n.hosts {
		if name != n.owners[0] && name != n.owners[1] && name != n.owners[2] {
			return q
		}
	}
	return nil
}

var limited = accounts.Account{Name: "a", Rate: 100, Burst: 100}

// Guards against a request that waits for more than one message, and against an account
// without a limit that costs one.
func TestRequestCostsAtMostOneMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 8, limited)
		begin := time.Now()
		p, err := n.other().Acquire(t.Context(), &limited)
		require.Nil(t, err)
		require.NotNil(t, p)
		require.Equal(t, 2*oneWay, time.Since(begin))
		require.Equal(t, 1, n.messages())
		p, err = n.other().Acquire(t.Context(), &accounts.Account{Name: "free"})
		require.Nil(t, err)
		p.Return()
		p, err = n.other().Acquire(t.Context(), nil)
		require.Nil(t, err)
		p.Return()
		require.Equal(t, 1, n.messages())
		_, err = n.hosts[n.owners[0]].Acquire(t.Context(), &limited)
		require.Nil(t, err)
		require.Equal(t, 1, n.messages(), "the owner asks itself without a message")
	})
}

// Guards against a message for each of many requests that arrive at once, and against
// more requests than the bucket holds.
func TestWaitingRequestsShareMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 8, limited)
		q := n.other()
		var granted, denied atomic.Int64
		var hints sync.Map
		var all sync.WaitGroup
		for range 300 {
			all.Go(func() {
				_, err := q.Acquire(context.Background(), &limited)
				if err == nil {
					granted.Add(1)
					return
				}
				require.Equal(t, CodeOverLimit, err.Code)
				require.Positive(t, err.RetryAfter)
				hints.Store(err.RetryAfter, true)
				denied.Add(1)
			})
		}
		all.Wait()
		require.LessOrEqual(t, n.messages(), 2*maxAsking)
		require.InDelta(t, 106, granted.Load(), 6)
		require.EqualValues(t, 300, granted.Load()+denied.Load())
		distinct := 0
		hints.Range(func(any, any) bool { distinct++; return true })
		require.Greater(t, distinct, 100, "the callers are spread")
	})
}

// Guards against requests that fail or wait for long while the first owner of their account
// is lost, and against tokens that outlive it.
func TestStandbyGrantsWhileTheOwnerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 8, limited)
		q := n.other()
		n.silence(n.owners[0], true)
		begin := time.Now()
		_, err := q.Acquire(t.Context(), &limited)
		require.Nil(t, err)
		require.Equal(t, AnswerTimeout+2*oneWay, time.Since(begin))
		begin = time.Now()
		_, err = q.Acquire(t.Context(), &limited)
		require.Nil(t, err)
		require.Equal(t, 2*oneWay, time.Since(begin), "the lost owner is avoided")
		n.silence(n.owners[0], false)
		time.Sleep(quota.UnresponsiveFor)
		before := n.asked[n.owners[0]]
		_, err = q.Acquire(t.Context(), &limited)
		require.Nil(t, err)
		require.Equal(t, before+1, n.asked[n.owners[0]], "it is asked again")
	})
}

// Guards against owners on busy machines whose tokens are all lost because their answers come
// a little late.
func TestTokensOfALateAnswerAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 8, limited)
		q := n.other()
		n.delay(60 * time.Millisecond)
		_, err := q.Acquire(t.Context(), &limited)
		require.Equal(t, CodeNoOwner, err.Code)
		n.delay(0)
		messages := n.messages()
		time.Sleep(60 * time.Millisecond)
		for range quota.Ranks {
			_, err = q.Acquire(t.Context(), &limited)
			require.Nil(t, err)
		}
		require.Equal(t, messages, n.messages())
		_, err = q.Acquire(t.Context(), &limited)
		require.Nil(t, err, "the owners have answered and are asked again")
		time.Sleep(quota.LeasePeriod)
	})
}

// Guards against a request that runs although nobody could tell whether it is over the
// limit, that waits for long, or that is reported as over the limit.
func TestRequestWithoutAnOwnerIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 8, limited)
		q := n.other()
		for _, o := range n.owners {
			n.silence(o, true)
		}
		begin := time.Now()
		_, err := q.Acquire(t.Context(), &limited)
		require.Equal(t, CodeNoOwner, err.Code)
		require.Positive(t, err.RetryAfter)
		require.Equal(t, quota.Ranks*AnswerTimeout, time.Since(begin))
		messages := n.messages()
		for range 50 {
			_, err = q.Acquire(t.Context(), &limited)
			require.Equal(t, CodeNoOwner, err.Code)
			require.Positive(t, err.RetryAfter)
		}
		require.Equal(t, messages, n.messages(), "owners that don't answer are not asked for a second")
		require.Equal(t, 1, bytes.Count(n.log.Bytes(), []byte("\n")), "records are bounded")
		require.EqualValues(t, 51, q.Stats().NoOwner.Load())
	})
}

// Guards against tokens that are lost with a request that did not run, or whose caller
// left.
func TestTokensOfRequestsThatDidNotRunAreSpentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 8, limited)
		q := n.other()
		p, err := q.Acquire(t.Context(), &limited)
		require.Nil(t, err)
		p.Return()
		_, err = q.Acquire(t.Context(), &limited)
		require.Nil(t, err)
		require.Equal(t, 1, n.messages())

		gone, cancel := context.WithCancel(context.Background())
		time.AfterFunc(oneWay, cancel)
		_, err = q.Acquire(gone, &limited)
		require.ErrorIs(t, err, context.Canceled)
		time.Sleep(2 * oneWay)
		_, err = q.Acquire(t.Context(), &limited)
		require.Nil(t, err)
		require.Equal(t, 2, n.messages())
	})
}

// Guards against an account over its limit that costs a message for each rejected request,
// and against one line of log for each.
func TestDeniedAccountCostsFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := accounts.Account{Name: "a", Rate: 10, Burst: 10}
		n := newNetwork(t, 8, slow)
		q := n.other()
		ran, rejected := 0, 0
		for range 700 {
			if _, err := q.Acquire(t.Context(), &slow); err == nil {
				ran++
			} else {
				require.Equal(t, CodeOverLimit, err.Code)
				rejected++
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.InDelta(t, 10+10*7, ran, 8)
		require.LessOrEqual(t, n.messages(), ran+rejected/5)
		require.LessOrEqual(t, bytes.Count(n.log.Bytes(), []byte("\n")), 2)
	})
}

// Guards against state of accounts that the plan has dropped.
func TestDroppedAccountsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 8, limited, accounts.Account{Name: "b", Rate: 1})
		q := n.other()
		_, err := q.Acquire(t.Context(), &limited)
		require.Nil(t, err)
		require.Len(t, q.accounts, 1)
		n.directory = accounts.NewDirectory([]accounts.Account{{Name: "b", Rate: 1}})
		q.Observe()
		require.Empty(t, q.accounts)
	})
}

// Guards against requests that hang or run while the host ends.
func TestClosedQuotasGrantNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 8, limited)
		q := n.other()
		n.silence(n.owners[0], true)
		ended := make(chan error, 1)
		go func() {
			_, err := q.Acquire(context.Background(), &limited)
			if err == nil {
				ended <- errors.New("it got a token")
				return
			}
			ended <- nil
		}()
		synctest.Wait()
		for _, o := range n.owners {
			n.silence(o, true)
		}
		q.Close()
		require.NoError(t, <-ended)
		_, err := q.Acquire(t.Context(), &limited)
		require.Equal(t, CodeNoOwner, err.Code)
	})
}
