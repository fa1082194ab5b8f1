package daemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
)

const (
	sharedService = "new0"
	discovered    = 3 * time.Second // from the start of a host until it knows all others
	viewStep      = 250 * time.Millisecond
	simulated     = 60 * time.Second
	strongHosts   = 6
)

// spender is a host that spends all that its part of the budget lets it.
type spender struct {
	name    string
	index   int
	started time.Time
	seen    *control.Snapshot
	place   *placement
	share   budgetShare
	part    forwardrun.BudgetShare
	budget  forward.Budget
}

// start begins a new process, which knows nothing of what its predecessor spent.
func (h *spender) start(limits forward.BudgetLimits) {
	*h = spender{name: h.name, index: h.index, started: time.Now(), budget: forward.NewBudget(limits)}
}

// look applies what the host knows of the fleet: more of it with each step after its start.
func (h *spender) look(s *control.Snapshot, confirmed time.Time, window time.Duration) {
	age := time.Since(h.started)
	seen := *s
	if known := int(float64(len(s.Hosts)) * float64(age) / float64(discovered)); known < len(s.Hosts) {
		seen.Hosts = nil
		for i, host := range s.Hosts {
			if host.Host == h.name || i%len(s.Hosts) < known {
				seen.Hosts = append(seen.Hosts, host)
			}
		}
	}
	if age < viewStep {
		seen.AgreedMembers = config.Members{}
	} else {
		seen.MembersConfirmedAt = confirmed
	}
	starting := age <= discovered && (h.index < strongHosts || age == discovered || age == 0)
	if h.seen != s || starting {
		h.seen, h.place = s, newPlacement(&seen, age, h.place)
	}
	if h.share.due(time.Now(), &seen) {
		h.part = h.share.update(time.Now(), h.started, window, &seen, h.name)
	}
}

// gathers reports whether the host carries out gathers, by its own view.
func (h *spender) gathers() bool {
	return h.place != nil && !h.place.unknown && gathering.Contains(h.place.gatherers[sharedService], h.name)
}

// budgetCase is a fleet whose hosts start, stop and see different things. The functions may
// be nil.
type budgetCase struct {
	startAt func(host int) time.Duration
	restart func(host int, at time.Duration) bool
	down    func(host int, at time.Duration) bool // it does nothing, and goes on afterwards
	cutOff  func(host int, at time.Duration) bool // from the leader: nothing new, but it sends requests
	// view returns what hosts that are not cut off see.
	view func(host int, at time.Duration) *control.Snapshot
}

// leftOut returns a snapshot whose list and hosts lack some hosts, with a later epoch.
func leftOut(s *control.Snapshot, epoch uint64, gone func(host int) bool) *control.Snapshot {
	out := *s
	out.AgreedMembers, out.Hosts = config.Members{Epoch: epoch}, nil
	for i, name := range s.AgreedMembers.Hosts {
		if !gone(i) {
			out.AgreedMembers.Hosts = append(out.AgreedMembers.Hosts, name)
			out.Hosts = append(out.Hosts, s.Hosts[i])
		}
	}
	return &out
}

// lost returns a snapshot in which some hosts are not live, but still agreed members.
func lost(s *control.Snapshot, gone func(host int) bool) *control.Snapshot {
	out := *s
	out.Hosts = slices.Clone(s.Hosts)
	for i := range out.Hosts {
		out.Hosts[i].Live = !gone(i)
	}
	return &out
}

// Guards against more repeats at a service than the plan's budget allows to all hosts
// together, while hosts restart, freeze, are cut off, replaced or added, and change their
// minds about which of them gather.
func TestBudgetOfAllHostsHoldsWhileTheirViewsDiffer(t *testing.T) {
	full := fleetSnapshot(t, 300)
	far := fleetSnapshot(t, 300, "fd1", "fd2") // searchers are left in one failure domain
	weakOnly := lost(full, func(h int) bool { return h < strongHosts })
	third := func(h int) bool { return h%3 == 1 }
	withoutThird := leftOut(full, 2, third)
	half := leftOut(full, 1, func(h int) bool { return h%2 == 1 })
	doubled := leftOut(full, 2, func(int) bool { return false })
	otherHalf := leftOut(full, 2, func(h int) bool { return h%2 == 0 })
	halfLeft := leftOut(full, 2, func(h int) bool { return h%2 == 1 })
	again := leftOut(full, 3, func(int) bool { return false })
	between := func(at, from, to time.Duration) bool { return at >= from && at < to }

	for name, c := range map[string]budgetCase{
		"all hosts restart": {restart: func(_ int, at time.Duration) bool { return at == 20*time.Second }},
		"hosts restart in turn": {restart: func(host int, at time.Duration) bool {
			return at == 15*time.Second+time.Duration(host)*1250*time.Millisecond
		}},
		"all hosts restart again and again": {restart: func(_ int, at time.Duration) bool {
			return at >= 20*time.Second && at < 40*time.Second && at%(2*time.Second) == 0
		}},
		"a failure domain loses its searchers": {view: func(host int, at time.Duration) *control.Snapshot {
			if at >= 17*time.Second+time.Duration(host)*viewStep {
				return far
			}
			return full
		}},
		"the strong hosts are lost, and weak ones gather": {
			down: func(host int, at time.Duration) bool { return host < strongHosts && at >= 20*time.Second },
			view: func(_ int, at time.Duration) *control.Snapshot {
				if at >= 23*time.Second {
					return weakOnly
				}
				return full
			},
		},
		"hosts that are cut off go on, and the list goes on without them": {
			cutOff: func(host int, at time.Duration) bool { return third(host) && at >= 20*time.Second },
			view: func(_ int, at time.Duration) *control.Snapshot {
				if at >= 30*time.Second {
					return withoutThird
				}
				return full
			},
		},
		"hosts that were left out by a list that they have missed are members again": {
			cutOff: func(host int, at time.Duration) bool {
				return third(host) && between(at, 20*time.Second, 47*time.Second)
			},
			view: func(_ int, at time.Duration) *control.Snapshot {
				switch {
				case at >= 47*time.Second:
					return again
				case at >= 30*time.Second:
					return withoutThird
				}
				return full
			},
		},
		"half of the hosts leave": {
			down: func(host int, at time.Duration) bool { return host%2 == 1 && at >= 20*time.Second },
			view: func(_ int, at time.Duration) *control.Snapshot {
				if at >= 20*time.Second {
					return halfLeft
				}
				return full
			},
		},
		"frozen hosts go on with an old list": {
			down: func(host int, at time.Duration) bool {
				return third(host) && between(at, 20*time.Second, 46*time.Second)
			},
			view: func(_ int, at time.Duration) *control.Snapshot {
				if at >= 30*time.Second {
					return withoutThird
				}
				return full
			},
		},
		"as many hosts join as there were": {
			startAt: func(host int) time.Duration { return time.Duration(host%2) * 18 * time.Second },
			view: func(_ int, at time.Duration) *control.Snapshot {
				if at >= 20*time.Second {
					return doubled
				}
				return half
			},
		},
		"hosts are replaced by as many others": {
			startAt: func(host int) time.Duration { return time.Duration(host%2) * 18 * time.Second },
			cutOff:  func(host int, at time.Duration) bool { return host%2 == 0 && at >= 20*time.Second },
			view: func(_ int, at time.Duration) *control.Snapshot {
				if at >= 21*time.Second {
					return otherHalf
				}
				return half
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// With the greater one, rounding down hides nothing.
				for _, extra := range []float64{640, 6400} {
					c.requireWithin(t, full, forward.BudgetLimits{Ratio: 0.2, Extra: extra, Window: 10 * time.Second})
				}
			})
		})
	}
}

// requireWithin checks the bound in every window.
func (c budgetCase) requireWithin(t *testing.T, full *control.Snapshot, limits forward.BudgetLimits) {
	t.Helper()
	requests, extras := c.run(full, limits)
	require.NotEmpty(t, extras)
	within := func(times []time.Duration, from time.Duration) (n int) {
		for _, x := range times {
			if x >= from && x < from+limits.Window {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from < simulated; from += viewStep {
		counted := max(within(requests, from), within(requests, from-limits.Window), within(requests, from-limits.Window/2))
		require.LessOrEqual(t, float64(within(extras, from)), limits.Ratio*float64(counted)+limits.Extra, "from %v", from)
	}
}

// run simulates the fleet at 48 requests a second. Each host makes all extra attempts that
// it may make, and grants the others, which arrive until the grants expire.
func (c budgetCase) run(full *control.Snapshot, limits forward.BudgetLimits) (requests, extras []time.Duration) {
	rng := rand.New(rand.NewPCG(45, 1))
	hosts := make([]*spender, len(full.Hosts))
	for i := range hosts {
		hosts[i] = &spender{name: fmt.Sprintf("h%03d", i), index: i}
	}
	is := func(f func(int, time.Duration) bool, host int, at time.Duration) bool { return f != nil && f(host, at) }
	lastView := make([]*control.Snapshot, len(hosts))
	lastConfirmed := make([]time.Time, len(hosts))
	for at := time.Duration(0); at < simulated; at += viewStep {
		now := time.Now()
		gathered := 0
		for i, h := range hosts {
			startAt := time.Duration(0)
			if c.startAt != nil {
				startAt = c.startAt(i)
			}
			if at < startAt || is(c.down, i, at) {
				continue
			}
			if at == startAt || is(c.restart, i, at) {
				h.start(limits)
			}
			if !is(c.cutOff, i, at) {
				lastView[i], lastConfirmed[i] = full, now
				if c.view != nil {
					lastView[i] = c.view(i, at)
				}
			}
			h.look(lastView[i], lastConfirmed[i], limits.Window)
			h.budget.SetHosts(h.part.HostsAt(now))
			if h.gathers() {
				if gathered++; gathered <= 12 {
					h.budget.RecordRequest(now)
					requests = append(requests, at)
				}
				for h.budget.Spend(now) {
					extras = append(extras, at)
				}
			}
			for h.budget.Grant(now) {
				extras = append(extras, at+time.Duration(rng.Int64N(int64(limits.GrantLifetime()))))
			}
		}
		time.Sleep(viewStep)
	}
	return requests, extras
}
