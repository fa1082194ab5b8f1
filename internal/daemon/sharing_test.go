package daemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
	"github.com/hawthornlock/hawthornlock/internal/settings"
)

const (
	sharedService = "new0"
	discovered    = 3 * time.Second // from the start of a host until it knows all others
	viewStep      = 250 * time.Millisecond
)

// spender is a host that spends all that its part of the budget lets it.
type spender struct {
	name    string
	daemon  *Daemon
	applied applied
	budget  forward.Budget
	started time.Time
}

// start begins a new process, which knows nothing of what its predecessor spent.
func (h *spender) start(s *control.Snapshot, limits forward.BudgetLimits) {
	d := &Daemon{settings: &settings.Settings{Host: h.name, ServePlan: true, RetryWindow: limits.Window, RetryPermille: 200, RetryExtra: int(limits.Extra)}, startedAt: time.Now()}
	h.daemon, h.applied, h.started = d, applied{}, time.Now()
	h.budget = forward.NewBudget(d.retryLimits())
	h.look(s)
}

// look applies what the host knows of the fleet: more of it with each step.
func (h *spender) look(s *control.Snapshot) {
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
	}
	p := newPlacement(&seen, age, h.applied.placement)
	h.applied.placement = p
	sharers := h.applied.sharers.update(time.Now(), h.daemon.settings.RetryWindow, &seen, p)
	if n, ok := sharers.Services[sharedService]; ok {
		h.budget.SetHosts(n)
	} else {
		h.budget.SetHosts(sharers.Hosts)
	}
}

// gathers reports whether the host carries out gathers, by its own view.
func (h *spender) gathers() bool {
	p := h.applied.placement
	return !p.unknown && gathering.Contains(p.gatherers[sharedService], h.name)
}

// Guards against more repeats at a service than the plan's budget allows to all hosts
// together, while hosts restart, know only a part of the others, and change their minds
// about which of them gather.
func TestBudgetOfAllHostsHoldsWhileTheirViewsDiffer(t *testing.T) {
	full := fleetSnapshot(t, 300)
	far := fleetSnapshot(t, 300, "fd1", "fd2") // searchers are left in one failure domain
	for name, c := range map[string]struct {
		restart func(host int, at time.Duration) bool
		view    func(host int, at time.Duration) *control.Snapshot
	}{
		"all hosts restart": {restart: func(_ int, at time.Duration) bool { return at == 20*time.Second }},
		"hosts restart in turn": {restart: func(host int, at time.Duration) bool {
			return at == 15*time.Second+time.Duration(host)*1250*time.Millisecond
		}},
		"a failure domain loses its searchers": {view: func(host int, at time.Duration) *control.Snapshot {
			if at >= 17*time.Second+time.Duration(host)*viewStep {
				return far
			}
			return full
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := forward.BudgetLimits{Ratio: 0.2, Extra: 640, Window: 10 * time.Second}
				hosts := make([]*spender, 6)
				for i := range hosts {
					hosts[i] = &spender{name: fmt.Sprintf("h%03d", i)}
					hosts[i].start(full, limits)
				}
				var requests, extras []time.Duration
				for at := time.Duration(0); at < 40*time.Second; at += viewStep {
					for i, h := range hosts {
						s := full
						if c.view != nil {
							s = c.view(i, at)
						}
						if c.restart != nil && c.restart(i, at) {
							h.start(s, limits)
						} else {
							h.look(s)
						}
						if !h.gathers() {
							continue
						}
						for range 2 { // 48 requests a second at all hosts together
							h.budget.RecordRequest(time.Now())
							requests = append(requests, at)
						}
						for h.budget.Spend(time.Now()) {
							extras = append(extras, at)
						}
					}
					time.Sleep(viewStep)
				}
				require.NotEmpty(t, extras)
				within := func(times []time.Duration, from time.Duration) (n int) {
					for _, x := range times {
						if x >= from && x < from+limits.Window {
							n++
						}
					}
					return n
				}
				for from := time.Duration(0); from < 40*time.Second; from += viewStep {
					counted := max(within(requests, from), within(requests, from-limits.Window), within(requests, from-limits.Window/2))
					require.LessOrEqual(t, float64(within(extras, from)), limits.Ratio*float64(counted)+limits.Extra, "from %v", from)
				}
			})
		})
	}
}
