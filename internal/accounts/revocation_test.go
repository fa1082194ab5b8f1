package accounts_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/accounts"
)

// Guards against a revoked key that some host accepts for longer than the bound, with any
// delays, lost and repeated messages, partitions, suspensions, restarts and elections.
func TestRevokedKeyIsAcceptedNowhereAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, false)
		host := rapid.SampledFrom(f.order)
		f.advance(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * 50 * time.Millisecond)
			},
			"past the bound": func(*rapid.T) { f.advance(rule.Bound + 200*time.Millisecond) },
			"change": func(t *rapid.T) {
				f.change(time.Duration(rapid.IntRange(0, 500).Draw(t, "ack")) * time.Millisecond)
			},
			"cut":      func(t *rapid.T) { f.cut[[2]string{host.Draw(t, "one"), host.Draw(t, "other")}] = true },
			"isolate":  func(t *rapid.T) { f.isolate(host.Draw(t, "isolated")) },
			"heal":     func(*rapid.T) { clear(f.cut) },
			"suspend":  func(t *rapid.T) { f.nodes[host.Draw(t, "suspended")].suspended = true },
			"resume":   func(t *rapid.T) { f.nodes[host.Draw(t, "resumed")].suspended = false },
			"election": func(*rapid.T) { f.leader = "" },
			"elect": func(t *rapid.T) {
				if v := rapid.SampledFrom(voters).Draw(t, "elected"); !f.nodes[v].suspended {
					f.elect(v)
				}
			},
			"restart": func(t *rapid.T) {
				name := host.Draw(t, "restarted")
				if name != f.leader {
					f.start(name, f.nodes[name].plan)
				}
			},
		})
	})
}

func (f *fleet) isolate(name string) {
	for _, other := range f.order {
		f.cut[[2]string{name, other}] = true
	}
}

// Guards against hosts that refuse keyed requests although a leader confirms their plan,
// or while a leader is replaced in two seconds, and against keys that connected hosts
// still don't know 4 s after the acknowledgement.
func TestCalmFleetAcceptsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, true)
		f.advance(time.Second)
		check := func() {
			for _, name := range f.order {
				n := f.nodes[name]
				age := n.clock.at(f.now).Sub(n.covered.Since())
				require.Less(t, age, 6*rule.Bound/10, "host %s", name)
				require.True(t, f.accepted(n, n.plan), "host %s refuses a key with a confirmation of %v", name, age)
			}
		}
		for range 3 {
			f.change(100 * time.Millisecond)
			for range 20 {
				f.advance(200 * time.Millisecond)
				check()
			}
			for _, name := range f.order {
				require.True(t, f.accepted(f.nodes[name], f.newest+1), "host %s refuses the added key", name)
			}
			f.leader = ""
			for range 10 {
				f.advance(200 * time.Millisecond)
				check()
			}
			f.elect(rapid.SampledFrom(voters).Draw(t, "elected"))
		}
	})
}

// Guards against a bound that a host or its clock stretches, one fault at a time: each
// must accept keys until 0.6 of the bound, and the dropped key never after the bound.
func TestOneHostWithAnOldPlan(t *testing.T) {
	for name, fault := range map[string]func(f *fleet, h *node){
		"partitioned": func(f *fleet, _ *node) { f.isolate("h1") },
		"suspended":   func(_ *fleet, h *node) { h.suspended = true },
		"its feeds are cut off and pass on an old confirmation": func(f *fleet, _ *node) {
			for _, v := range voters {
				f.cut[[2]string{v, "r1"}], f.cut[[2]string{v, "r2"}] = true, true
			}
		},
		"restarted with the old plan, then partitioned": func(f *fleet, h *node) {
			f.start("h1", h.plan)
			f.isolate("h1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(t, true)
				f.advance(2 * time.Second)
				h := f.nodes["h1"]
				old := h.plan
				require.True(t, f.accepted(h, old))
				restarted := h.clock.at(f.now)
				fault(f, h)
				f.change(0)
				since := h.covered.Since()
				for f.now < f.acked[f.newest]+rule.Bound {
					if !since.IsZero() && h.clock.at(f.now).Sub(since) < 6*rule.Bound/10 {
						require.True(t, f.accepted(h, old))
					}
					f.advance(50 * time.Millisecond)
				}
				h.suspended = false // requests come before any message
				require.Equal(t, old, h.plan)
				require.False(t, f.accepted(h, old))
				f.advance(50 * time.Millisecond)
				clear(f.cut)
				f.advance(4 * time.Second)
				require.Equal(t, f.newest, h.plan)
				require.False(t, f.accepted(h, old))
				require.True(t, f.accepted(h, f.newest), "a key that stays is accepted again")
				require.True(t, h.covered.Since().After(restarted))
			})
		})
	}
}

// Guards against a clock that stands still during a suspension: by it, the check would
// accept a key for longer than the bound. The control loop uses bootclock.Now.
func TestSuspensionCounts(t *testing.T) {
	confirmed := time.Unix(1000, 0)
	const suspended = time.Minute
	monotonic, boot := confirmed.Add(time.Second), confirmed.Add(time.Second+suspended)
	require.True(t, rule.Confirmed(monotonic, confirmed), "a clock without the suspension shows no age")
	require.False(t, rule.Confirmed(boot, confirmed))
}

// Guards against a confirmation that counts for a plan which the host does not have, one
// that an older build sends without a version, and one that replaces a later one.
func TestConfirmationCoversOnlyThePlanInForce(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	var c accounts.Confirmations
	require.True(t, c.Since().IsZero())
	require.False(t, c.Confirmed(8, at(1), 7), "the host lacks plan 8")
	require.True(t, c.Since().IsZero())
	require.True(t, c.InForce(8))
	require.Equal(t, at(1), c.Since(), "it counts from when the leader issued it")
	require.True(t, c.Confirmed(8, at(3), 9), "the host is ahead of the confirmation")
	require.False(t, c.Confirmed(8, at(2), 9))
	require.Equal(t, at(3), c.Since())
	require.False(t, c.Confirmed(10, at(4), 9))
	require.False(t, c.InForce(9))
	require.Equal(t, at(3), c.Since())
	require.False(t, c.Confirmed(0, at(5), 9), "a leader without a plan, or a build that names none")
	require.Equal(t, at(3), c.Since())
	var first accounts.Confirmations
	require.True(t, first.Confirmed(0, at(1), 0), "the plan of version 0")
}

// Guards against a 401 for a key that a newer plan may have added: the caller would give
// it up, although other hosts know it.
func TestUnknownKeyWhileUnconfirmed(t *testing.T) {
	now, d := time.Unix(1000, 0), accountsOf(1)
	known, unknown := []accounts.Key{keyOf(1)}, []accounts.Key{keyOf(9)}
	for _, keys := range [][]accounts.Key{known, unknown} {
		_, err := rule.Authorize(now, now.Add(-rule.Bound), d, false, keys)
		require.Equal(t, accounts.CodeUnconfirmed, err.Code)
		require.Positive(t, err.RetryAfter)
	}
	_, err := rule.Authorize(now, now, d, false, unknown)
	require.Equal(t, accounts.CodeUnknownKey, err.Code)
	_, err = rule.Authorize(now, time.Time{}, d, false, nil)
	require.Equal(t, accounts.CodeUnknownKey, err.Code, "a request without a key is refused by any plan with accounts")
	_, err = rule.Authorize(now, time.Time{}, d, true, append(known, unknown...))
	require.Equal(t, accounts.CodeRepeatedKey, err.Code)
	a, err := rule.Authorize(now, time.Time{}, d, true, known)
	require.Nil(t, err)
	require.Nil(t, a, "a public route needs no confirmation")
	_, err = rule.Authorize(now, time.Time{}, nil, false, known)
	require.Nil(t, err, "a plan without accounts needs no confirmation")
}
