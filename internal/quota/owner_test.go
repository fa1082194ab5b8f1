package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// ownerOfRank returns an owner whose host has a rank for the account "a" by a list that it
// saw at the start.
func ownerOfRank(t *testing.T, rank int) (o *Owner, a *Authority, hosts []string) {
	t.Helper()
	for i := range 8 {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	a = NewAuthority(NewList(1, hosts).Owners("a")[rank])
	a.Observe(start, 2, hosts, start)
	return NewOwner(simPolicy, a, 0), a, hosts
}

func known(l Limit) Known { return Known{Plan: 4, Listed: true, Limit: l} }

// Guards against an owner that acts before its predecessor must have stopped, or after the
// leader may have accepted another list, and against one that denies requests although its
// predecessor may have granted less than it assumes.
func TestOwnerActsOnlyWithAuthority(t *testing.T) {
	o, a, hosts := ownerOfRank(t, 0)
	r, k := Request{Account: "a", Plan: 4, Needed: 1}, known(Limit{Rate: 10, Burst: 20})
	confirm := func(at time.Time) { a.Observe(at, 2, hosts, at) }
	require.Equal(t, NoAuthority, o.Acquire(start.Add(time.Second), r, k).Outcome)
	now := start.Add(TakeoverWait)
	confirm(now)
	require.Equal(t, Unsure, o.Acquire(now, r, k).Outcome, "the bucket starts empty")
	now = now.Add(150 * time.Millisecond)
	require.Equal(t, Reply{Outcome: Granted, Tokens: 1}, o.Acquire(now, r, k))
	r.Needed = 100
	full := simPolicy.divide(k.Limit).refillTime()
	require.Greater(t, full, 2*time.Second)
	now = start.Add(TakeoverWait + full)
	require.Equal(t, Unsure, o.Acquire(now.Add(-time.Millisecond), r, k).Outcome)
	require.Equal(t, OverLimit, o.Acquire(now, r, k).Outcome, "an empty bucket would be full by now")

	now = start.Add(TakeoverWait + ConfirmationAge)
	r.Needed = 1
	require.Equal(t, Granted, o.Acquire(now, r, k).Outcome)
	require.Equal(t, NoAuthority, o.Acquire(now.Add(time.Millisecond), r, k).Outcome, "the confirmation is too old")
	confirm(now.Add(time.Second))
	require.Equal(t, Granted, o.Acquire(now.Add(time.Second), r, k).Outcome, "the list is confirmed again")
}

// Guards against an owner that decides by an older route plan than the asking host's.
func TestOwnerWithoutTheLimitGrantsNothing(t *testing.T) {
	o, a, hosts := ownerOfRank(t, 0)
	now := start.Add(time.Minute)
	a.Observe(now, 2, hosts, now)
	r := Request{Account: "a", Plan: 5, Needed: 2}
	require.Equal(t, NoAuthority, o.Acquire(now, r, Known{Plan: 4}).Outcome)
	require.Equal(t, NoAuthority, o.Acquire(now, r, known(Limit{})).Outcome)
	r.Plan = 4
	require.Equal(t, Reply{Outcome: Unlimited, Tokens: 2}, o.Acquire(now, r, known(Limit{})), "its plan is as new and has no limit")
}

// Guards against standbys that grant more than their part in a window, together with what a
// predecessor granted, or that prefetch.
func TestStandbyGrantsItsPartOfTheTolerance(t *testing.T) {
	l := Limit{Rate: 10, Burst: 10}
	for rank := 1; rank < Ranks; rank++ {
		o, a, hosts := ownerOfRank(t, rank)
		part := int(simPolicy.divide(l).standby[rank-1])
		require.Positive(t, part)
		acquire := func(now time.Time, n int) Reply {
			a.Observe(now, 2, hosts, now)
			return o.Acquire(now, Request{Account: "a", Needed: n, Extra: 9}, known(l))
		}
		from := start.Add(TakeoverWait + simPolicy.Window + LeasePeriod)
		require.Equal(t, Reply{Outcome: Unsure}, acquire(from.Add(-time.Millisecond), 1), "a predecessor may have used the part in this window")
		require.Equal(t, Reply{Outcome: Granted, Tokens: 1}, acquire(from, 1))
		require.Equal(t, Reply{Outcome: Unsure, Tokens: part - 1}, acquire(from.Add(time.Second), 1000))
		require.Zero(t, acquire(from.Add(simPolicy.Window), 1).Tokens)
		require.Equal(t, 1, acquire(from.Add(simPolicy.Window+time.Second), 1).Tokens)
	}
}

// Guards against reports that return more tokens than a lease held, or return them twice.
func TestReportsReturnTheTokensOfALeaseOnce(t *testing.T) {
	o, a, hosts := ownerOfRank(t, 0)
	now := start.Add(time.Minute)
	a.Observe(now, 2, hosts, now)
	l := Limit{Rate: 20, Burst: 40}
	k := known(l)
	first := o.Acquire(now, Request{Account: "a", Needed: 1, Extra: 9}, k)
	parked := int(simPolicy.divide(l).parked)
	require.Equal(t, 1+parked, first.Tokens, "no more than the tolerance covers")
	require.Equal(t, 1, o.Acquire(now, Request{Account: "a", Needed: 1, Extra: 9}, k).Tokens, "its report is awaited")
	reports := []Report{{Lease: first.Lease, Unused: 1000}, {Lease: 999, Unused: 1000}}
	level := func() float64 { return o.accounts["a"].bucket.level }
	require.InDelta(t, 38-parked, level(), 1e-9)
	o.Acquire(now, Request{Account: "a", Reports: reports}, k)
	require.InDelta(t, 38, level(), 1e-9)
	o.Acquire(now, Request{Account: "a", Reports: reports}, k)
	require.InDelta(t, 38, level(), 1e-9)
}

// Guards against a rank that is used by two hosts at once around a change of the list, and
// against owners that lose their authority with each change although they stay.
func TestRanksUnderSuccessiveLists(t *testing.T) {
	full := []string{"h0", "h1", "h2", "h3", "h4", "h5"}
	owners := NewList(1, full).Owners("a")
	first := owners[0]
	rest := without(full, func(n string) bool { return n == first })
	successor := NewList(2, rest).Owners("a")[0]
	require.Equal(t, owners[1], successor)
	long := start.Add(time.Hour)

	role := func(a *Authority, now time.Time) (int, bool) {
		r, ok := a.roleOf(now, "a", role{})
		return r.rank, ok
	}
	old, next := NewAuthority(first), NewAuthority(successor)
	for _, a := range []*Authority{old, next} {
		a.Observe(start, 5, full, start)
		a.Observe(long, 5, full, long)
	}
	// The leader accepts the second list just after long; the old owner doesn't learn of it.
	next.Observe(long, 6, rest, long.Add(time.Millisecond))
	rank, ok := role(next, long.Add(2*time.Second))
	require.True(t, ok)
	require.Equal(t, 1, rank, "the successor keeps its rank until then")
	rank, ok = role(old, long.Add(ConfirmationAge))
	require.True(t, ok)
	require.Equal(t, 0, rank)
	_, ok = role(old, long.Add(ConfirmationAge+time.Millisecond))
	require.False(t, ok)
	next.Observe(long, 6, rest, long.Add(3*time.Second))
	_, ok = role(next, long.Add(TakeoverWait-time.Millisecond))
	require.False(t, ok, "neither rank may be used")
	rank, ok = role(next, long.Add(TakeoverWait))
	require.True(t, ok)
	require.Equal(t, 0, rank)

	// A third list brings the first owner back, which has not seen the second one.
	old.Observe(long.Add(10*time.Second), 7, full, long.Add(10*time.Second))
	_, ok = role(old, long.Add(11*time.Second))
	require.False(t, ok, "its successor may still act by the second list")
	old.Observe(long.Add(13*time.Second), 7, full, long.Add(13*time.Second))
	_, ok = role(old, long.Add(10*time.Second+TakeoverWait))
	require.True(t, ok)

	// A list that leaves the owner in place interrupts nothing, even before it is confirmed.
	other := without(full, func(n string) bool { return n != first && n != full[5] && n != full[4] })
	old.Observe(long.Add(15*time.Second), 7, full, long.Add(15*time.Second))
	old.Observe(long.Add(15*time.Second), 8, other, time.Time{})
	rank, ok = role(old, long.Add(16*time.Second))
	require.True(t, ok)
	require.Equal(t, 0, rank)
	_, ok = role(old, long.Add(19*time.Second))
	require.False(t, ok)
}

// Guards against accounts that are refused for seconds at the first start of all hosts, when
// no host can have acted by an earlier list.
func TestFirstListNeedsNoWait(t *testing.T) {
	hosts := []string{"h0", "h1", "h2"}
	a := NewAuthority(NewList(1, hosts).Owners("a")[0])
	a.Observe(start, 1, hosts, start)
	r, ok := a.roleOf(start, "a", role{})
	require.True(t, ok)
	require.Equal(t, start, r.since, "its bucket is empty now")
}

// Guards against hosts that disagree on the owners of an account, or owners that are spread
// unevenly over the hosts.
func TestOwnersAreSpreadEvenly(t *testing.T) {
	var hosts, reversed []string
	for i := range 60 {
		hosts = append(hosts, fmt.Sprint("host", i))
		reversed = append([]string{fmt.Sprint("host", i)}, reversed...)
	}
	a, b := NewList(1, hosts), NewList(1, reversed)
	count := map[string]int{}
	for i := range 6000 {
		account := fmt.Sprint("account", i)
		o := a.Owners(account)
		require.Equal(t, o, b.Owners(account))
		require.NotEqual(t, o[0], o[1])
		require.NotEqual(t, o[1], o[2])
		count[o[0]]++
	}
	for _, h := range hosts {
		require.InDelta(t, 100, count[h], 50, h)
	}
	require.Equal(t, Owners{"x"}, NewList(1, []string{"x"}).Owners("account"))
}

// Guards against owners that are carried over to a list under which they are others.
func TestOwnersCarriedOverAreThoseOfTheNewList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		var hosts []string
		list := NewList(1, nil)
		for epoch := uint64(2); epoch < 30; epoch++ {
			hosts = without(hosts, func(string) bool { return rng.IntN(8) == 0 })
			for range rng.IntN(5) {
				hosts = append(hosts, fmt.Sprint("host", rng.IntN(1_000_000)))
			}
			if epoch == 20 {
				for i := range 2 * maxCarriedChanges {
					hosts = append(hosts, fmt.Sprint("many", i))
				}
			}
			list = list.Successor(epoch, hosts)
			fresh := NewList(epoch, hosts)
			for i := range 40 {
				account := fmt.Sprint("account", i)
				require.Equal(t, fresh.Owners(account), list.Owners(account))
			}
		}
	}
}

// Guards against a state of owners that grows with every account that ever was.
func TestOwnerForgetsIdleAccounts(t *testing.T) {
	o, a, hosts := ownerOfRank(t, 0)
	now := start.Add(time.Minute)
	for i := range 200 {
		a.Observe(now, 2, hosts, now)
		o.Acquire(now, Request{Account: fmt.Sprint("account", i), Needed: 1}, known(Limit{Rate: 1, Burst: 1}))
	}
	require.Positive(t, o.Accounts())
	now = now.Add(3 * time.Minute)
	a.Observe(now, 2, hosts, now)
	o.Acquire(now, Request{Account: "a", Needed: 1}, known(Limit{Rate: 1, Burst: 1}))
	require.LessOrEqual(t, o.Accounts(), 1)
}

// Guards against a division of the bound whose parts sum to more than it.
func TestPartsStayWithinTheTolerance(t *testing.T) {
	for _, p := range []Policy{simPolicy, {Window: time.Second, Slack: 1}, {Window: time.Minute, Overage: 1, Slack: 500, Drift: 0.2}} {
		for _, l := range []Limit{{Rate: 0.01}, {Rate: 1, Burst: 1}, {Rate: 18, Burst: 18}, {Rate: 5000}, {Rate: 1e9, Burst: 1e9}} {
			d, w := p.divide(l), p.Window.Seconds()
			bound := (l.Rate*w+l.Burst)*(1+p.Overage) + p.Slack
			bucket := d.bucket.Rate*(w*(1+p.Drift)+LeasePeriod.Seconds()*(1+p.Drift)) + d.bucket.capacity()
			require.LessOrEqual(t, bucket+d.standby[0]+d.standby[1]+d.parked+d.debt, bound*(1+1e-9), "%v %v", p, l)
			require.Positive(t, d.bucket.Rate)
		}
	}
}

// Guards against an account that loses its bucket because two lists were agreed while
// nothing was asked about it: the host owned it all the time.
func TestQuietAccountKeepsItsBucketUnderNewLists(t *testing.T) {
	o, a, hosts := ownerOfRank(t, 0)
	k := known(Limit{Rate: 10, Burst: 100})
	now := start.Add(time.Minute)
	a.Observe(now, 2, hosts, now)
	require.Equal(t, Granted, o.Acquire(now, Request{Account: "a", Plan: 4, Needed: 1}, k).Outcome)
	owners := NewList(1, hosts).Owners("a")
	other := slices.IndexFunc(hosts, func(h string) bool { return owners.rank(h) == Ranks })
	rest := slices.Delete(slices.Clone(hosts), other, other+1)
	now = now.Add(time.Minute)
	for epoch, list := range [][]string{rest, hosts} {
		now = now.Add(5 * time.Second)
		a.Observe(now, uint64(3+epoch), list, now)
		o.ListChanged(now)
	}
	require.Equal(t, Reply{Outcome: Granted, Tokens: 60}, o.Acquire(now, Request{Account: "a", Plan: 4, Needed: 60}, k))
}
