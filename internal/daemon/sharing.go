package daemon

import (
	"maps"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
)

// retryLimits returns the bounds on extra attempts. A predecessor of this process may
// have spent its part of the budget until this process started.
func (d *Daemon) retryLimits() forward.BudgetLimits {
	window := d.settings.RetryWindow
	return forward.BudgetLimits{
		Ratio: float64(d.settings.RetryPermille) / 1000, Extra: float64(d.settings.RetryExtra), Window: window,
		WholeFrom: d.startedAt.Add(window),
	}
}

// sharerCount is a number of hosts that share a budget. A decrease takes effect only
// after a time, since a host that left may have spent its part just before, and one that
// is out of reach goes on.
type sharerCount struct {
	hosts       int
	confirmedAt time.Time
}

func (c *sharerCount) update(now time.Time, hosts int, retention time.Duration) {
	if hosts >= c.hosts || now.Sub(c.confirmedAt) > retention {
		*c = sharerCount{hosts: hosts, confirmedAt: now}
	}
}

// sharers is what a host knows of those with which it shares budgets.
type sharers struct {
	epoch   uint64                 // of the agreed member list
	at      time.Time              // of the last update
	all     sharerCount            // of services that every host reaches by itself
	choices map[choice]sharerCount // of the others
}

// sharersPeriod is the time between two updates that only look for a decrease.
const sharersPeriod = time.Second

// due reports whether the counts may change although the placement did not.
func (c *sharers) due(now time.Time, s *control.Snapshot) bool {
	return c.epoch != s.AgreedMembers.Epoch || now.Sub(c.at) >= sharersPeriod
}

// update takes over what a snapshot shows. The result has no counts before the agreed
// member list is known: each host that starts knows only a few others, and their parts
// together would exceed the budget.
func (c *sharers) update(now time.Time, window time.Duration, s *control.Snapshot, p *placement) forwardrun.Sharers {
	c.epoch, c.at = s.AgreedMembers.Epoch, now
	if c.epoch == 0 {
		return forwardrun.Sharers{}
	}
	retention := window + window/2 // the time until every host knows of a change is within half a window
	c.all.update(now, fleetSize(s), retention)
	if c.choices == nil {
		c.choices = make(map[choice]sharerCount)
	}
	for key, hosts := range p.sharers {
		count := c.choices[key]
		count.update(now, hosts, retention)
		c.choices[key] = count
	}
	maps.DeleteFunc(c.choices, func(key choice, count sharerCount) bool {
		_, current := p.sharers[key]
		return !current && now.Sub(count.confirmedAt) > retention
	})
	out := forwardrun.Sharers{Hosts: c.all.hosts, Services: make(map[string]int, len(p.gatherers))}
	for name := range p.gatherers {
		svc, _ := s.Plan.Service(name)
		out.Services[name] = c.choices[choiceOf(s.Plan, svc)].hosts
	}
	return out
}

// fleetSize returns the number of hosts that may be running.
func fleetSize(s *control.Snapshot) int {
	return max(liveHosts(s), len(s.AgreedMembers.Hosts))
}

func liveHosts(s *control.Snapshot) (n int) {
	for _, h := range s.Hosts {
		if h.Live {
			n++
		}
	}
	return n
}
