package forward

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var queueStart = time.Unix(1000, 0)

// never makes no request late.
func never[T any](T) time.Duration { return 0 }

// takeAll takes all turns of a queue.
func takeAll[T comparable](q *Queue[T]) (order []T) {
	for {
		v, ok, _ := q.Next(queueStart, never[T])
		if !ok {
			return order
		}
		order = append(order, v)
	}
}

// Guards against another order than priority, deadline and arrival where there are no
// accounts, whatever the costs and weights.
func TestWithoutAccountsTheOrderIsByPriorityAndDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var turns []Turn
		for i := range rapid.IntRange(0, 60).Draw(t, "requests") {
			turns = append(turns, Turn{
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Weight: rapid.Float64Range(0, 5).Draw(t, "weight"),
				Deadline: queueStart.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second),
				Cost:     time.Duration(rapid.IntRange(0, 300).Draw(t, "cost")) * time.Millisecond,
			})
			q.Push(turns[i], i)
		}
		want := make([]int, len(turns))
		for i := range want {
			want[i] = i
		}
		slices.SortStableFunc(want, func(a, b int) int {
			return cmp.Or(cmp.Compare(turns[a].Priority, turns[b].Priority), turns[a].Deadline.Compare(turns[b].Deadline))
		})
		require.Equal(t, want, append([]int{}, takeAll(&q)...))
		require.Empty(t, q.classes)
	})
}

// Guards against an account that gets more than its share while others wait, whatever it
// sends, against accounts that starve, and against an order that breaks priority.
func TestAccountsThatWaitShareTheTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[string]
		accounts := rapid.IntRange(2, 8).Draw(t, "accounts")
		const each = 20
		most := 0.0 // cost by weight of one request
		costs, weights := make(map[string]float64), make(map[string]float64)
		for a := range accounts {
			name := fmt.Sprint(a)
			costs[name], weights[name] = rapid.Float64Range(0.01, 0.3).Draw(t, "cost"), rapid.Float64Range(1, 20).Draw(t, "weight")
			most = max(most, costs[name]/weights[name])
			for i := range each * (1 + 6*(1-min(a, 1))) { // the first sends seven times as much
				q.Push(Turn{Priority: 1, Account: name, Weight: weights[name], Deadline: queueStart.Add(time.Duration(i) * time.Millisecond), Cost: time.Duration(costs[name] * float64(time.Second))}, name)
			}
		}
		q.Push(Turn{Priority: 0, Account: "urgent", Deadline: queueStart.Add(time.Hour)}, "urgent")
		served, left := map[string]float64{}, map[string]int{}
		for i, name := range takeAll(&q) {
			require.Equal(t, i == 0, name == "urgent")
			if i == 0 {
				continue
			}
			served[name] += costs[name] / weights[name]
			left[name]++
			for other, n := range left {
				if n < each && left[name] < each {
					require.LessOrEqual(t, served[name]-served[other], 2*most+1e-9, "%s is ahead of %s", name, other)
				}
			}
		}
	})
}

// Guards against an account that saves up turns while it sends nothing.
func TestIdleAccountHoldsNoCredit(t *testing.T) {
	var q Queue[string]
	push := func(name string, n int) {
		for range n {
			q.Push(Turn{Account: name, Deadline: queueStart.Add(time.Hour), Cost: 100 * time.Millisecond}, name)
		}
	}
	push("busy", 60)
	for range 40 {
		v, ok, _ := q.Next(queueStart, never[string])
		require.True(t, ok)
		require.Equal(t, "busy", v)
	}
	push("idle", 20)
	run := 0
	for range 20 {
		v, _, _ := q.Next(queueStart, never[string])
		if run++; v != "idle" {
			run = 0
		}
		require.LessOrEqual(t, run, 2, "the idle account takes its turns in a row")
	}
}

// Guards against state that grows with the number of account names.
func TestQueueStateIsBounded(t *testing.T) {
	var q Queue[int]
	for i := range 20 * maxQueuedAccounts {
		q.Push(Turn{Account: fmt.Sprint(i), Deadline: queueStart.Add(time.Hour)}, i)
		q.Push(Turn{Account: "always", Deadline: queueStart.Add(time.Hour)}, -i-1)
		_, _, _ = q.Next(queueStart, never[int])
		require.LessOrEqual(t, len(q.class(0).virtual), maxQueuedAccounts+q.Len())
		if q.Len() > 50 {
			q.Clear()
		}
	}
	require.LessOrEqual(t, len(q.class(0).virtual), maxQueuedAccounts+q.Len())
}

// Guards against a turn for a request that can't be answered any more while others wait,
// and against one that is dropped without an answer.
func TestLateRequestsTakeNoTurn(t *testing.T) {
	var q Queue[string]
	q.Push(Turn{Deadline: queueStart.Add(time.Second)}, "late")
	q.Push(Turn{Deadline: queueStart.Add(3 * time.Second)}, "good")
	q.Push(Turn{Deadline: queueStart.Add(4 * time.Second)}, "gone")
	require.True(t, q.Remove("gone"))
	require.False(t, q.Remove("gone"))
	now := queueStart.Add(900 * time.Millisecond)
	v, ok, refused := q.Next(now, func(string) time.Duration { return 200 * time.Millisecond })
	require.True(t, ok)
	require.Equal(t, "good", v)
	require.Equal(t, []string{"late"}, refused)
	_, ok, refused = q.Next(now, never[string])
	require.False(t, ok)
	require.Empty(t, refused)
}

// Guards against an estimate of the wait that counts requests behind the new one, or all of
// an account that sends much for one that shares with it.
func TestWorkAhead(t *testing.T) {
	var q Queue[int]
	const cost = 100 * time.Millisecond
	turn := func(priority int, account string, deadline time.Duration) Turn {
		return Turn{Priority: priority, Account: account, Deadline: queueStart.Add(deadline), Cost: cost}
	}
	for i := range 30 {
		q.Push(turn(1, "busy", time.Second), i)
	}
	q.Push(turn(0, "urgent", time.Second), 100)
	q.Push(turn(2, "less urgent", time.Second), 101)
	require.Equal(t, 31*cost, q.Ahead(turn(1, "busy", 2*time.Second)))
	require.Equal(t, cost, q.Ahead(turn(1, "busy", time.Second/2)))
	require.Equal(t, 2*cost, q.Ahead(turn(1, "other", time.Second)))
	require.Equal(t, time.Duration(0), q.Ahead(turn(0, "urgent", time.Second/2)))
	var s Stretch
	require.Equal(t, 300*time.Millisecond, s.Wait(600*time.Millisecond, 2))
	for range 100 {
		s.Observe(8*cost, cost)
	}
	require.InDelta(t, 2.4, s.Wait(600*time.Millisecond, 2).Seconds(), 0.01, "the searchers are eight times slower")
	require.True(t, Servable(queueStart, queueStart.Add(time.Second), 900*time.Millisecond, cost))
	require.False(t, Servable(queueStart, queueStart.Add(time.Second), 901*time.Millisecond, cost))
}

// Guards against callers that are refused together and come back together, and against
// hints of more than a third of the time that a caller has left.
func TestRetryHintsSpreadCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(-1000, 10_000).Draw(t, "left")) * time.Millisecond
		drain := time.Duration(rapid.IntRange(0, 5_000).Draw(t, "drain")) * time.Millisecond
		hint := RetryHint(left, drain, rapid.Float64Range(0, 1).Draw(t, "u"))
		require.GreaterOrEqual(t, hint, time.Duration(0))
		require.LessOrEqual(t, hint, max(left, 0)/3)
		if drain <= left/6 {
			require.GreaterOrEqual(t, hint, drain, "there is no room before")
		}
	})
	const callers, buckets = 1000, 10
	for _, c := range []struct{ left, drain time.Duration }{{5 * time.Second, time.Second}, {1200 * time.Millisecond, 75 * time.Millisecond}, {500 * time.Millisecond, 2 * time.Second}} {
		from, to := RetryHint(c.left, c.drain, 0), RetryHint(c.left, c.drain, 1)
		require.GreaterOrEqual(t, to-from, min(minRetrySpread, c.left/6))
		var count [buckets]int
		for i := range callers {
			h := RetryHint(c.left, c.drain, (float64(i)+0.5)/callers)
			count[int(float64(buckets)*float64(h-from)/float64(to-from+1))]++
		}
		// A constant hint, as before, puts all of them into one bucket.
		for _, n := range count {
			require.InDelta(t, callers/buckets, n, callers/buckets/2)
		}
	}
}

// Guards against a request that stays although its turn comes too late, against one that is
// refused although its turn comes in time, and against a gather that is refused.
func TestHopelessRequests(t *testing.T) {
	const cost = 100 * time.Millisecond
	wait := func(work time.Duration) time.Duration { return 2 * work } // the searchers are slow
	fill := func() *Queue[int] {
		q := &Queue[int]{}
		for i := range 10 {
			q.Push(Turn{Account: "busy", Deadline: queueStart.Add(time.Second), Cost: cost}, i)
		}
		q.Push(Turn{Account: "other", Deadline: queueStart.Add(time.Second), Cost: cost}, 100)
		return q
	}
	q := fill()
	// The turns at 0, 200, 400, 600 and 800 ms end in time; the other account has one of them.
	require.Equal(t, []int{4, 5, 6, 7, 8, 9}, q.Hopeless(queueStart, wait, func(int) bool { return true }))
	require.Equal(t, 5, q.Len())
	require.Empty(t, q.Hopeless(queueStart, wait, func(int) bool { return true }))
	require.Equal(t, []int{0, 100, 1, 2, 3}, takeAll(q))
	q = fill()
	require.Empty(t, q.Hopeless(queueStart, wait, func(int) bool { return false }))
	require.Equal(t, []int{9}, q.Hopeless(queueStart, wait, func(i int) bool { return i == 9 }))
	require.Equal(t, 10, q.Len())
}
