package intake

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var (
	start   = time.Unix(1000, 0)
	clientA = netip.MustParseAddr("10.0.0.1")
	clientB = netip.MustParseAddr("10.0.0.2")
	many    = ListenerLimits{Connections: 1000, AddressConnections: 1000}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func open(t *testing.T, l *Ledger, listener string, address netip.Addr, limits ListenerLimits, ms int) ID {
	t.Helper()
	id, _, ok := l.Open(listener, address, limits, at(ms))
	require.True(t, ok)
	return id
}

// body opens a connection whose body has taken a charge.
func body(t *testing.T, l *Ledger, listener string, address netip.Addr, charge int64, ms int) ID {
	t.Helper()
	id := open(t, l, listener, address, many, ms)
	l.Enter(id, Body, at(ms))
	refused, ok := l.Receive(id, progressStep, FreeCharge+charge, at(ms))
	require.True(t, ok)
	for _, r := range refused {
		l.Close(r)
	}
	return id
}

// Guards against refusing requests that make progress while others have stopped.
func TestRequestWithoutProgressIsRefusedFirst(t *testing.T) {
	l := NewLedger(Limits{Memory: 300, ListenerMemory: 300, AddressMemory: 300})
	oldest := body(t, l, "caller", clientA, 100, 0)
	moving := body(t, l, "caller", clientA, 100, 0)
	later := body(t, l, "caller", clientA, 100, 5)
	refused, ok := l.Receive(moving, progressStep, 50, at(10))
	require.True(t, ok)
	require.Equal(t, []ID{oldest}, refused)
	refused, ok = l.Receive(moving, progressStep, 100, at(20))
	require.True(t, ok)
	require.Equal(t, []ID{later}, refused)
}

// Guards against taking a request that trickles byte by byte for one that makes progress.
func TestTrickleIsNoProgress(t *testing.T) {
	l := NewLedger(Limits{Memory: 250, ListenerMemory: 250, AddressMemory: 250})
	trickling := body(t, l, "caller", clientA, 100, 0)
	body(t, l, "caller", clientA, 100, 10)
	for ms := range 100 {
		_, ok := l.Receive(trickling, 1, 0, at(ms))
		require.True(t, ok)
	}
	_, ok := l.Receive(trickling, 1, 100, at(100))
	require.False(t, ok, "the trickling request goes, although it sent the latest byte")
}

// Guards against cutting off a request that was received completely.
func TestCompleteRequestTakesPrecedence(t *testing.T) {
	l := NewLedger(Limits{Memory: 200, ListenerMemory: 200, AddressMemory: 200})
	complete := body(t, l, "caller", clientA, 150, 0)
	l.Enter(complete, Complete, at(1))
	id := open(t, l, "caller", clientB, many, 2)
	l.Enter(id, Body, at(2))
	refused, ok := l.Receive(id, progressStep, FreeCharge+100, at(3))
	require.False(t, ok)
	require.Empty(t, refused)
	require.EqualValues(t, 150, l.Memory())
	for range 3 {
		_, closed, ok := l.Open("caller", clientA, ListenerLimits{Connections: 1, AddressConnections: 1}, at(4))
		require.False(t, ok, "no connection may be closed in favor of a new one")
		require.Empty(t, closed)
	}
}

// Guards against a caller that uses up the memory of all others.
func TestOneAddressCannotTakeTheWholeBudget(t *testing.T) {
	l := NewLedger(Limits{Memory: 400, ListenerMemory: 400, AddressMemory: 300})
	other := body(t, l, "caller", clientB, 100, 0)
	for i := range 10 {
		id := open(t, l, "caller", clientA, many, 10+i)
		l.Enter(id, Body, at(10+i))
		refused, ok := l.Receive(id, progressStep, FreeCharge+100, at(10+i))
		require.True(t, ok)
		require.NotContains(t, refused, other, "the oldest request belongs to another caller")
		for _, r := range refused {
			l.Close(r)
		}
	}
	require.EqualValues(t, 400, l.Memory())
}

// Guards against callers that keep targets and operators out.
func TestOneListenerCannotTakeTheWholeBudget(t *testing.T) {
	l := NewLedger(Limits{Memory: 400, ListenerMemory: 300, AddressMemory: 400})
	for i := range 10 {
		l.Enter(body(t, l, "caller", netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 100, i), Body, at(i))
	}
	require.EqualValues(t, 300, l.Memory())
	body(t, l, "target", clientB, 100, 20)
}

// Guards against refusing small requests while large ones hold all memory.
func TestSmallRequestsAreNotCharged(t *testing.T) {
	l := NewLedger(Limits{Memory: 100, ListenerMemory: 100, AddressMemory: 100})
	l.Enter(body(t, l, "caller", clientA, 100, 0), Complete, at(0))
	small := open(t, l, "caller", clientA, many, 1)
	l.Enter(small, Head, at(1))
	_, ok := l.Receive(small, 500, HeadCost(500, 12), at(1))
	require.True(t, ok)
	_, ok = l.Receive(small, 4<<10, BodyCost(4<<10), at(2))
	require.True(t, ok)
}

// Guards against limits that one request at the limits of the target deployments reaches:
// a head of 16 KB in the shortest lines and a body of 256 KB, with 64 MB of memory.
func TestSingleRequestFitsTheSmallestBudget(t *testing.T) {
	l := NewLedger(LimitsOf(Settings{MemoryLimit: 64 << 20, MemoryPermille: 750}))
	id := open(t, l, "caller", clientA, many, 0)
	l.Enter(id, Head, at(0))
	_, ok := l.Receive(id, 16<<10, HeadCost(16<<10, 16<<10/3), at(0))
	require.True(t, ok)
	l.Enter(id, Body, at(1))
	_, ok = l.Receive(id, 256<<10, BodyCost(256<<10), at(1))
	require.True(t, ok)
}

// Guards against defaults that well-behaved callers of a host with 184 MB reach.
func TestDefaultsOfASmallHost(t *testing.T) {
	s := Settings{MemoryLimit: 184 << 20, MemoryPermille: 750, AddressPermille: 875}
	require.Equal(t, ListenerLimits{Connections: 736, AddressConnections: 644}, ConnectionsOf(s, 1))
	require.Equal(t, ListenerLimits{Connections: 368, AddressConnections: 322}, ConnectionsOf(s, 2))
	limits := LimitsOf(s)
	require.EqualValues(t, 23<<20, limits.Memory)
	// A route plan of 8 MiB is received from one operator.
	require.Greater(t, limits.AddressMemory, BodyCost(8<<20))
	require.Greater(t, limits.ListenerMemory, limits.AddressMemory)
	// Without a memory limit there are limits as well.
	require.EqualValues(t, defaultMemory, LimitsOf(Settings{MemoryPermille: 750}).Memory)
	require.Equal(t, 4096, ConnectionsOf(Settings{AddressPermille: 875}, 1).Connections)
	require.Equal(t, 50, ConnectionsOf(Settings{MemoryLimit: 184 << 20, Connections: 50, AddressPermille: 875}, 2).Connections)
}

// Guards against connections without end, and against closing the wrong ones: those
// without progress for the longest time go first, and a caller's own before others'.
func TestConnectionLimits(t *testing.T) {
	limits := ListenerLimits{Connections: 3, AddressConnections: 2}
	l := NewLedger(Limits{})
	b := open(t, l, "caller", clientB, limits, 0)
	a1, a2 := open(t, l, "caller", clientA, limits, 1), open(t, l, "caller", clientA, limits, 2)
	l.Enter(a1, Waiting, at(3)) // a1 has been served since
	_, closed, ok := l.Open("caller", clientA, limits, at(4))
	require.True(t, ok)
	require.Equal(t, []ID{a2}, closed)
	_, closed, ok = l.Open("caller", netip.MustParseAddr("10.0.0.3"), limits, at(5))
	require.True(t, ok)
	require.Equal(t, []ID{b}, closed)
	require.Equal(t, 3, l.Connections("caller"))
	_, closed, ok = l.Open("target", clientA, limits, at(6))
	require.True(t, ok, "each listener has limits of its own")
	require.Empty(t, closed)
}

// Guards against clients that take no answers and keep the connections from all others, and
// against cutting off an answer that is waited for, or that is being taken.
func TestConnectionOfAnUnreadAnswerMakesRoom(t *testing.T) {
	limits := ListenerLimits{Connections: 3, AddressConnections: 3}
	l := NewLedger(Limits{})
	unread, taken, waiting := open(t, l, "caller", clientA, limits, 0), open(t, l, "caller", clientA, limits, 0), open(t, l, "caller", clientA, limits, 0)
	for _, id := range []ID{unread, taken, waiting} {
		l.Enter(id, Complete, at(1))
	}
	l.Answer(unread, false, at(10))
	l.Answer(taken, false, at(10))
	end := 10 + int(unreadGrace.Milliseconds())
	l.Answer(taken, false, at(end-1))
	_, closed, ok := l.Open("caller", clientB, limits, at(end-1))
	require.False(t, ok)
	require.Empty(t, closed)
	_, closed, ok = l.Open("caller", clientB, limits, at(end))
	require.True(t, ok)
	require.Equal(t, []ID{unread}, closed)
}

// Guards against a body that is no longer charged after an interim response.
func TestInterimResponseDoesNotEndTheBody(t *testing.T) {
	l := NewLedger(Limits{Memory: 1 << 20, ListenerMemory: 1 << 20, AddressMemory: 1 << 20})
	id := open(t, l, "caller", clientA, many, 0)
	l.Enter(id, Body, at(0))
	l.Answer(id, false, at(1))
	l.Answer(id, true, at(2))
	require.Equal(t, Body, l.PhaseOf(id))
	_, ok := l.Receive(id, progressStep, FreeCharge+100, at(3))
	require.True(t, ok)
	require.EqualValues(t, 100, l.Memory())
}

// Guards against waiting for a body without end, and against refusing one that is slow.
func TestStalledBody(t *testing.T) {
	l := NewLedger(Limits{Memory: 1 << 20, ListenerMemory: 1 << 20, AddressMemory: 1 << 20})
	slow, stalled, answered := open(t, l, "caller", clientA, many, 0), open(t, l, "caller", clientA, many, 0), open(t, l, "caller", clientA, many, 0)
	for _, id := range []ID{slow, stalled, answered} {
		l.Enter(id, Body, at(0))
	}
	l.Enter(answered, Complete, at(1))
	for period := range 5 {
		now := at(1000 * (period + 1))
		_, ok := l.Receive(slow, minProgress, 0, now)
		require.True(t, ok)
		require.False(t, l.EndPeriod(slow, at(1000*period)), "slow but progressing")
		require.False(t, l.EndPeriod(answered, at(1000*period)), "waiting for an answer")
	}
	_, _ = l.Receive(stalled, minProgress-1, 0, at(900))
	require.True(t, l.EndPeriod(stalled, at(0)))
	_, ok := l.Receive(stalled, 1, 1, at(1001))
	require.False(t, ok)
}

// Guards against more memory than twice the budget where refused requests are slow to
// return theirs.
func TestRefusedRequestsHoldTheirMemoryUntilTheyEnd(t *testing.T) {
	l := NewLedger(Limits{Memory: 200, ListenerMemory: 200, AddressMemory: 200})
	var refused []ID
	for i := range 4 {
		id := open(t, l, "caller", clientA, many, i)
		l.Enter(id, Body, at(i))
		gone, ok := l.Receive(id, progressStep, FreeCharge+100, at(i))
		require.True(t, ok)
		refused = append(refused, gone...)
	}
	require.Len(t, refused, 2)
	id := open(t, l, "caller", clientA, many, 10)
	l.Enter(id, Body, at(10))
	gone, ok := l.Receive(id, progressStep, FreeCharge+100, at(10))
	require.False(t, ok)
	require.Empty(t, gone)
	for _, r := range append(refused, id) {
		l.Close(r)
	}
	body(t, l, "caller", clientA, 100, 20)
}

// Guards against memory that is never returned, or returned twice, over random sequences.
func TestAccountsBalance(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	limits := Limits{Memory: 4000, ListenerMemory: 3500, AddressMemory: 3000}
	connections := ListenerLimits{Connections: 20, AddressConnections: 15}
	l := NewLedger(limits)
	var ids []ID
	for step := range 20000 {
		address := netip.AddrFrom4([4]byte{10, 0, 0, byte(rng.IntN(3))})
		switch {
		case len(ids) == 0 || rng.IntN(6) == 0:
			if id, _, ok := l.Open([]string{"caller", "target"}[rng.IntN(2)], address, connections, at(step)); ok {
				ids = append(ids, id)
			}
		case rng.IntN(8) == 0:
			i := rng.IntN(len(ids))
			l.Close(ids[i])
			ids = append(ids[:i], ids[i+1:]...)
		case rng.IntN(3) == 0:
			l.Enter(ids[rng.IntN(len(ids))], Phase(rng.IntN(4)), at(step))
		default:
			_, _ = l.Receive(ids[rng.IntN(len(ids))], rng.IntN(5000), int64(rng.IntN(FreeCharge)), at(step))
		}
		require.LessOrEqual(t, l.Memory(), limits.Memory)
		require.LessOrEqual(t, l.Connections("caller"), connections.Connections)
		require.GreaterOrEqual(t, l.Memory(), int64(0))
	}
	for _, id := range ids {
		l.Close(id)
	}
	require.Zero(t, l.Memory())
	require.Zero(t, l.left)
	require.Empty(t, l.connections)
	require.Empty(t, l.addresses, "addresses without connections must be forgotten")
	require.Zero(t, l.Connections("caller"))
}

// Guards against refusals that do not say that the request has not run.
func TestRefusals(t *testing.T) {
	require.Equal(t, verdict.NotRun, Refusal(CodeStalled).Verdict)
	require.Equal(t, verdict.NotRun, Refusal(CodeMemory).Verdict)
	require.Positive(t, Refusal(CodeMemory).RetryAfter)
}
