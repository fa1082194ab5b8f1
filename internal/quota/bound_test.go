package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ready is the time after which the owners of a new fleet have authority and full buckets.
const ready = 15 * time.Second

var simLimits = map[string]Limit{
	"small": {Rate: 4, Burst: 4},
	"usual": {Rate: 18, Burst: 18},
	"burst": {Rate: 10, Burst: 80},
	"large": {Rate: 160, Burst: 160},
	"tight": {Rate: 60},
}

// ownerOf returns an owner of one of the accounts, as far as the first host knows.
func (f *fleet) ownerOf(accounts []string) *simHost {
	list := f.hosts[0].authority.List()
	if list == nil {
		return f.hosts[0]
	}
	return f.byName[list.Owners(accounts[f.rng.IntN(len(accounts))])[f.rng.IntN(2)]]
}

func without(members []string, left func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(members), left)
}

// disturb lets hosts fail, restart, be suspended and lose contact, and the leader change
// its list, until a time. Two of three victims own an account.
func (f *fleet) disturb(until time.Duration, accounts []string) {
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		if f.rng.IntN(3) > 0 {
			h = f.ownerOf(accounts)
		}
		span := time.Duration(500+f.rng.IntN(8500)) * time.Millisecond
		switch f.rng.IntN(7) {
		case 0: // the process is killed and started again later
			h.up = false
			h.process++
			f.at(f.now+span, func() { f.start(h) })
		case 1: // it restarts at once
			f.start(h)
		case 2:
			h.resumesAt = max(h.resumesAt, f.now+span)
		case 3:
			f.cutOff(h, span)
		case 4: // the list loses a host, which soon comes back
			f.setMembers(without(f.members, func(n string) bool { return n == h.name }))
			f.at(f.now+span/2, func() { f.addMember(h) })
		case 5: // the same while the host is suspended, so that it sees neither list in between
			h.resumesAt = max(h.resumesAt, f.now+span)
			f.at(f.now+span/4, func() { f.setMembers(without(f.members, func(n string) bool { return n == h.name })) })
			f.at(f.now+span*9/10, func() { f.addMember(h) })
		case 6: // part of the hosts is cut off, and the list goes on without them
			f.cutOff(h, span)
			f.at(f.now+span/8, func() {
				left := without(f.members, func(n string) bool { return f.byName[n].side != 0 })
				if len(left) >= Ranks {
					f.setMembers(left)
				}
			})
			f.at(f.now+span+span/8, func() {
				for _, other := range f.hosts {
					f.addMember(other)
				}
			})
		}
		f.at(f.now+time.Duration(500+f.rng.IntN(5000))*time.Millisecond, next)
	}
	f.at(f.now, next)
}

// cutOff cuts a host and half of the others off from the leader and the rest for a time.
func (f *fleet) cutOff(h *simHost, span time.Duration) {
	for _, other := range f.hosts {
		if other == h || f.rng.IntN(2) == 0 {
			other.side = 1
		}
	}
	f.at(f.now+span, func() {
		for _, other := range f.hosts {
			other.side = 0
		}
	})
}

func (f *fleet) addMember(h *simHost) {
	if !slices.Contains(f.members, h.name) {
		f.setMembers(append(slices.Clone(f.members), h.name))
	}
}

// Guards against more requests of an account than its bound in any window, summed over all
// hosts, while owners fail, restart, are suspended, are cut off or see another member list,
// and while hosts spend tokens late or return them.
func TestBoundHoldsUnderFaults(t *testing.T) {
	seeds := 40
	if testing.Short() {
		seeds = 4
	}
	names := slices.Sorted(maps.Keys(simLimits))
	closest := 0.0
	for seed := range seeds {
		f := newFleet(uint64(seed), 20, simLimits)
		f.loss, f.slow, f.notRun = 0.01, []float64{0, 0.05}[seed/2%2], 0.1
		// With little slack, two owners that act at once exceed the bound at once.
		f.policy.Slack = []float64{20, 2}[seed%2]
		for _, h := range f.hosts {
			h.rate = 1 + (f.rng.Float64()-0.5)*simPolicy.Drift
			f.start(h)
		}
		const end = ready + 80*time.Second
		for _, name := range names {
			l, phase, skew := simLimits[name], f.rng.Float64(), float64(1+f.rng.IntN(4))
			period := 7 + 12*f.rng.Float64() // seconds
			f.demand(name, end, skew, func(now time.Duration) float64 {
				// Silence, in which the bucket fills, and far more than it holds.
				if math.Mod(phase+now.Seconds()/period, 1) < 0.4 {
					return 0
				}
				return 2*l.Rate + l.Burst/2
			})
		}
		f.run(ready)
		f.disturb(end, names)
		f.run(end)
		for _, name := range names {
			worst := f.worst(name, simLimits[name], 0)
			require.LessOrEqual(t, worst, 1.0, "seed %d, account %s", seed, name)
			closest = max(closest, worst)
			require.NotEmpty(t, f.runs[name], "seed %d, account %s", seed, name)
		}
	}
	require.Greater(t, closest, 0.85, "the demand must come near the bound, or the test shows nothing")
}

// reference is the token bucket that defines what an account is entitled to.
type reference struct {
	b Bucket
}

func (r *reference) admits(at time.Duration) bool {
	return r.b.Take(time.Unix(1000, 0).Add(at), 1, 0) == 1
}

// Guards against an even or otherwise rigid split of the limit, which rejects requests that
// the account is entitled to: whatever a token bucket admits in a calm fleet is admitted,
// wherever it arrives and however it moves.
func TestNothingWithinTheLimitIsRefusedInACalmFleet(t *testing.T) {
	for seed := range uint64(12) {
		f := newFleet(seed, 20, simLimits)
		const end = ready + 40*time.Second
		offered := map[string]int{}
		for name, l := range simLimits {
			ref := reference{NewBucket(l, time.Unix(1000, 0), 0)}
			skew := float64(1 + f.rng.IntN(6))
			f.at(ready, func() {
				// The callers send what the reference admits, with bursts up to its size.
				var next func()
				hosts := f.rng.Perm(len(f.hosts))
				next = func() {
					if f.now >= end {
						return
					}
					x := f.rng.Float64()
					for i := 1.0; i < skew; i++ {
						x *= f.rng.Float64()
					}
					if ref.admits(f.now) {
						offered[name]++
						f.request(f.hosts[hosts[int(x*float64(len(hosts)))]], name)
					}
					if f.rng.IntN(500) == 0 {
						hosts = f.rng.Perm(len(f.hosts)) // the demand moves
					}
					rate := l.Rate * []float64{0.3, 0.6, 0.9, 4}[int(f.now/(3*time.Second))%4]
					f.at(f.now+time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
				}
				next()
			})
		}
		f.run(end + time.Second)
		for name := range simLimits {
			require.Empty(t, f.denied[name], "seed %d, account %s", seed, name)
			require.Zero(t, f.unknown[name], "seed %d, account %s", seed, name)
			require.Len(t, f.runs[name], offered[name], "seed %d, account %s", seed, name)
		}
	}
}

// Guards against an account whose tokens are lost while hosts remember that it is over its
// limit: at several times the limit the whole rate is still used.
func TestWholeRateIsUsedOverTheLimit(t *testing.T) {
	for seed := range uint64(6) {
		for _, skew := range []float64{1, 4, 12} {
			limits := map[string]Limit{"a": {Rate: 18, Burst: 18}}
			f := newFleet(seed, 20, limits)
			const span = 30 * time.Second
			f.run(ready)
			f.demand("a", ready+span, skew, func(time.Duration) float64 { return 7 * 18 / 1.6 })
			f.run(ready + span)
			entitled := 18*span.Seconds() + 18
			require.GreaterOrEqual(t, float64(len(f.runs["a"])), 0.97*entitled, "seed %d, skew %v", seed, skew)
			require.LessOrEqual(t, float64(len(f.runs["a"])), entitled+1+simPolicy.divide(limits["a"]).debt, "seed %d, skew %v", seed, skew)
		}
	}
}

// Guards against an account at seven times its usual rate that costs a message for every
// request, or that takes tokens from other accounts.
func TestAccountFarOverItsLimitCostsFewMessages(t *testing.T) {
	limits := map[string]Limit{"noisy": {Rate: 160, Burst: 160}}
	for i := range 20 {
		limits[fmt.Sprint("quiet", i)] = Limit{Rate: 5, Burst: 5}
	}
	f := newFleet(3, 20, limits)
	f.run(ready)
	const end = ready + 20*time.Second
	f.demand("noisy", end, 2, func(time.Duration) float64 { return 700 })
	for name := range limits {
		if name != "noisy" {
			f.demand(name, end, 2, func(time.Duration) float64 { return 1 })
		}
	}
	f.run(end)
	offered := len(f.runs["noisy"]) + len(f.denied["noisy"])
	require.Greater(t, offered, 13_000)
	require.LessOrEqual(t, f.messages["noisy"], len(f.runs["noisy"])+offered/10, "no more than a tenth of the denials may cost a message")
	for name := range limits {
		if name != "noisy" {
			require.Empty(t, f.denied[name])
			require.Zero(t, f.unknown[name])
		}
	}
}

// Guards against callers that are told to come back at the same moment, or when there is no
// token for them.
func TestHintsSpreadCallersOverTheTimeOfTokens(t *testing.T) {
	limits := map[string]Limit{"a": {Rate: 20, Burst: 20}}
	f := newFleet(5, 20, limits)
	f.run(ready)
	for range 60 {
		f.request(f.hosts[f.rng.IntN(20)], "a")
	}
	f.run(ready + 100*time.Millisecond)
	require.InDelta(t, 20, len(f.runs["a"]), 2)
	perSlot := map[time.Duration]int{}
	for _, d := range f.denied["a"] {
		require.Positive(t, d.after)
		require.LessOrEqual(t, d.after, MaxRetryAfter+100*time.Millisecond)
		perSlot[(d.at+d.after)/(250*time.Millisecond)]++
	}
	for slot, n := range perSlot {
		require.LessOrEqual(t, n, 10, "slot %d: five tokens become available in it", slot)
	}
	require.GreaterOrEqual(t, len(perSlot), 6)
}

// Guards against a limit that was lowered but still lets the requests of the higher one
// through, from tokens that the bucket or hosts hold.
func TestLoweredLimitBindsWithinAWindow(t *testing.T) {
	before, after := Limit{Rate: 160, Burst: 400}, Limit{Rate: 10, Burst: 5}
	for seed := range uint64(6) {
		f := newFleet(seed, 20, map[string]Limit{"a": before})
		f.run(ready)
		// The bucket is full again when the limit is lowered, and then nothing is sent
		// until the lower limit binds.
		const lowered = ready + 9*time.Second
		f.demand("a", lowered+20*time.Second, 4, func(now time.Duration) float64 {
			if now > ready+6*time.Second && now < lowered+4*time.Second+f.policy.Window {
				return 0
			}
			return 300
		})
		f.run(lowered)
		for _, h := range f.hosts {
			f.at(lowered+time.Duration(f.rng.IntN(4000))*time.Millisecond, func() {
				h.known["a"] = Known{Plan: 2, Listed: true, Limit: after}
			})
		}
		f.run(lowered + 25*time.Second)
		require.LessOrEqual(t, f.worst("a", after, lowered+4*time.Second+f.policy.Window), 1.0, "seed %d", seed)
		require.Greater(t, f.worst("a", before, 0), 0.8)
	}
}

// Guards against a host that goes on denying requests after the limit was raised.
func TestRaisedLimitEndsDenials(t *testing.T) {
	h, l := NewHolder(), Limit{Rate: 0.01, Burst: 1}
	h.Receive(start, start, "o", false, Reply{Outcome: OverLimit, RetryAfter: 100 * time.Second}, l, 1)
	decision, _, after := h.Arrive(start.Add(time.Second), l)
	require.Equal(t, Deny, decision)
	require.Equal(t, 99*time.Second, after)
	decision, _, _ = h.Arrive(start.Add(time.Second), Limit{Rate: 10, Burst: 1})
	require.Equal(t, Ask, decision)
}

// Guards against a retry hint of 0 to a request that is denied just before the denial ends.
func TestHintIsNeverZero(t *testing.T) {
	h, l := NewHolder(), Limit{Rate: 10, Burst: 10}
	h.Receive(start, start, "o", false, Reply{Outcome: OverLimit, RetryAfter: 100 * time.Millisecond}, l, 1)
	for range 100 {
		decision, _, after := h.Arrive(start.Add(100*time.Millisecond-time.Microsecond), l)
		require.Equal(t, Deny, decision)
		require.GreaterOrEqual(t, after, MinRetryAfter)
	}
}

// Guards against tokens that outlive their owner or their holder: what a lost owner granted
// ends with the lease, and a restarted holder has none.
func TestTokensEndWithTheirLease(t *testing.T) {
	now := time.Unix(1000, 0)
	l := Limit{Rate: 100, Burst: 100}
	h := NewHolder()
	decision, _, _ := h.Arrive(now, l)
	require.Equal(t, Ask, decision)
	sentAt, now := now, now.Add(10*time.Millisecond)
	granted, token := h.Receive(now, sentAt, "o", false, Reply{Outcome: Granted, Tokens: 3, Lease: 7}, l, 1)
	require.Equal(t, 1, granted)
	decision, _, _ = h.Arrive(now, l)
	require.Equal(t, Spend, decision)
	h.Return(now, token)
	decision, _, _ = NewHolder().Arrive(now, l)
	require.Equal(t, Ask, decision, "a restarted host has no tokens")

	end := sentAt.Add(LeasePeriod)
	decision, _, _ = h.Arrive(end, l)
	require.Equal(t, Ask, decision, "the lease counts from when the request for it was sent")
	h.Return(end, token)
	decision, _, _ = h.Arrive(end, l)
	require.Equal(t, Ask, decision, "a token that is returned after the lease is lost")
	require.Equal(t, []Report{{Lease: 7, Unused: 1}}, h.Reports(end, "o"))

	granted, _ = h.Receive(end, end.Add(-LeasePeriod), "o", false, Reply{Outcome: Granted, Tokens: 1}, l, 1)
	require.Zero(t, granted, "the host was suspended between the request and the answer")
}
