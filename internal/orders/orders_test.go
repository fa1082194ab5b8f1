package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var (
	orderID = fmt.Sprintf("%d-a", epoch.UnixMilli())
	content = HashContent("red", map[string]string{"k": "v"}, "g", []byte("body"))
	alice   = Token{Claimant{"alice", 1}, 1}
	bob     = Token{Claimant{"bob", 1}, 1}
)

type log struct {
	*Ledger
	n uint64
}

func (l *log) apply(c Command) Outcome {
	l.n++
	return l.Apply(l.n, c).Outcome
}

func claimBy(t Token, at time.Time) Claim {
	return Claim{RequestID: orderID, Content: content, Token: t, At: at}
}

func request(first bool) Request {
	return Request{ID: orderID, Content: content, Deadline: epoch.Add(time.Second), First: first}
}

func find[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if got, ok := e.(T); ok {
			return got, true
		}
	}
	var zero T
	return zero, false
}

// Guards against a claim that is granted after its caller was told not_run and
// is then dispatched or blocks the ID forever.
func TestLateGrantIsReleasedAndNotDispatched(t *testing.T) {
	l := &log{Ledger: NewLedger(DefaultLimits())}
	x := NewExecution(request(true), alice.Claimant, alice.Fence)
	claim, ok := find[ProposeClaim](x.Step(epoch, Start{}))
	require.True(t, ok)
	late := x.Step(epoch.Add(time.Second), Tick{})
	a, ok := find[Answer](late)
	require.True(t, ok)
	require.Equal(t, verdict.NotRun, verdict.Of(a.Err))
	settle, ok := find[ProposeSettle](late)
	require.True(t, ok)

	granted := l.Apply(1, claim.Claim)
	l.n = 1
	require.Equal(t, Granted, granted.Outcome)
	_, dispatched := find[Dispatch](x.Step(epoch.Add(time.Second), ClaimAnswered{granted}))
	require.False(t, dispatched)
	require.Equal(t, Done, l.apply(settle.Command))
	require.Equal(t, ClaimEnded, l.apply(claim.Claim), "a copy of the claim that arrives after its release")
	require.Equal(t, Granted, l.apply(claimBy(bob, epoch)))
	require.Equal(t, Done, l.apply(settle.Command))
	require.Equal(t, Granted, l.Apply(l.n, claimBy(bob, epoch)).Outcome, "a delayed copy of the release must not end another claim")
}

// Guards against dispatching a claim that is granted exactly at the deadline.
func TestGrantAtTheDeadlineIsNotDispatched(t *testing.T) {
	x := NewExecution(request(false), alice.Claimant, alice.Fence)
	x.Step(epoch, Start{})
	effects := x.Step(epoch.Add(time.Second), ClaimAnswered{Reply{Outcome: Granted, Token: alice}})
	_, dispatched := find[Dispatch](effects)
	require.False(t, dispatched)
	a, _ := find[Answer](effects)
	require.Equal(t, verdict.NotRun, verdict.Of(a.Err))
	release, _ := find[ProposeSettle](effects)
	require.Equal(t, Release{orderID, alice}, release.Command)
}

// Guards against granting a claim that arrives after its release or after its
// claimant was declared dead.
func TestEndedClaimsAreRejected(t *testing.T) {
	l := &log{Ledger: NewLedger(DefaultLimits())}
	require.Equal(t, Done, l.apply(Release{orderID, alice}))
	require.Equal(t, ClaimEnded, l.apply(claimBy(alice, epoch)))
	require.Equal(t, Granted, l.apply(claimBy(bob, epoch)))
	require.Equal(t, map[Claimant]int{bob.Claimant: 1}, l.OpenClaims())
	require.Equal(t, Done, l.apply(ClaimantDied{bob.Claimant}))
	require.Equal(t, OutcomeMayHaveRun, l.apply(claimBy(alice, epoch)))
	require.Equal(t, Stale, l.apply(Record{RequestID: orderID, Token: alice, At: epoch}))
	require.Equal(t, Recorded, l.apply(Record{RequestID: orderID, Token: bob, Result: Result{Status: 200}, At: epoch}))
	other := fmt.Sprintf("%d-b", epoch.UnixMilli())
	require.Equal(t, ClaimEnded, l.apply(Claim{RequestID: other, Content: content, Token: bob, At: epoch}))
}

// Guards against one host with a wrong clock that makes the ledger remove or
// reject everything, and against an expired ID that runs again.
func TestRetentionFollowsTheSecondLatestClock(t *testing.T) {
	l := &log{Ledger: NewLedger(Limits{Partitions: 1, Retention: time.Hour, MaxSkew: time.Minute, MaxEntries: 2, MaxBytes: 100, MaxResult: 50, MaxEndedIDs: 2})}
	id := func(at time.Time, name string) string { return fmt.Sprintf("%d-%s", at.UnixMilli(), name) }
	claim := func(host, id string, at time.Time) Outcome {
		return l.apply(Claim{RequestID: id, Content: content, Token: Token{Claimant{host, 1}, 1}, At: at})
	}
	year := epoch.AddDate(1, 0, 0)
	require.Equal(t, Granted, claim("alice", orderID, epoch))
	require.Equal(t, BadIssueTime, claim("skewed", id(epoch, "b"), year))
	require.Equal(t, InProgress, claim("bob", orderID, epoch), "one wrong clock must not expire the ID")
	require.Equal(t, BadIssueTime, claim("bob", id(epoch.Add(2*time.Minute), "c"), epoch), "issued in the future")
	require.Equal(t, Granted, claim("bob", id(epoch, "d"), epoch))
	require.Equal(t, Full, claim("bob", id(epoch, "e"), epoch))
	require.Equal(t, Granted, claim("bob", id(epoch.Add(2*time.Hour), "f"), epoch.Add(2*time.Hour)))
	require.Equal(t, 1, l.Len(), "past retention")
	require.Equal(t, Expired, claim("bob", orderID, epoch))
	require.Equal(t, Expired, l.Lookup(orderID).Outcome)
	require.Equal(t, Recorded, l.apply(Record{RequestID: id(epoch.Add(2*time.Hour), "f"), Token: Token{Claimant{"bob", 1}, 1}, Result: Result{Body: make([]byte, 51)}}))
	require.True(t, l.Lookup(id(epoch.Add(2*time.Hour), "f")).Result.Truncated)
}

// Guards against accepting an ID without a time of issue.
func TestIssuedAt(t *testing.T) {
	made := NewRequestID(epoch, [10]byte{1, 2, 3, 255, 4})
	for _, id := range []string{made, orderID, "1796346000000-x-y"} {
		got, err := IssuedAt(id)
		require.NoError(t, err, id)
		require.Equal(t, epoch, got, id)
	}
	for _, id := range []string{
		"", "order-1", "1796346000000", "1796346000000-", "0796346000000-x", "179634600000-x", "+796346000000-x", "1796346000000-a b",
		"c232ab00-9414-11ec-b3c8-9f6bdeced846", "017f22e279b07cc398c4dc0c0c07398f", made + "0",
	} {
		_, err := IssuedAt(id)
		require.Equal(t, verdict.NotRun, verdict.Of(err), id)
	}
}
