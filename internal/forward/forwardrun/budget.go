package forwardrun

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/forward"
)

// BudgetShare is this host's part of the fixed part of each budget of extra attempts.
type BudgetShare struct {
	Hosts int // that divide the fixed part; 0 if this host has no part
	// From and Until limit the time in which this host may use its part, by the clock of
	// package bootclock. A host that is suspended or paused notices when it goes on.
	From, Until time.Time
}

// HostsAt returns the number of hosts that divide the fixed part, 0 if this host may not
// use its own now.
func (s *BudgetShare) HostsAt(now time.Time) int {
	switch {
	case s == nil:
		return 1
	case now.Before(s.From) || now.After(s.Until):
		return 0
	}
	return s.Hosts
}

// SetBudgetShare replaces this host's part of the fixed part of each budget. Before the
// first call it has the whole of it.
func (e *Engine) SetBudgetShare(share BudgetShare) { e.share.Store(&share) }

// FixedExtra returns how many extra attempts at each service this host may make or grant in
// a window now, whatever the number of requests.
func (e *Engine) FixedExtra() float64 {
	b := forward.NewBudget(e.config.Budget)
	b.SetHosts(e.share.Load().HostsAt(bootclock.Now()))
	return b.Fixed()
}

// budget returns the budget, with this host's part of now. The caller holds the lock.
func (s *service) budget() *forward.Budget {
	b := s.group.Budget()
	b.SetHosts(s.engine.share.Load().HostsAt(bootclock.Now()))
	return b
}

// Grant is a number of extra attempts at each service of a call that another host carries
// out. The host that received the call from its caller has taken them from its own budget.
type Grant struct {
	Attempts int       // at each service
	Until    time.Time // when it expires
}

// Grant takes one extra attempt at each service of a call from this host's budget, for the
// host that will carry the call out. It grants none unless all services have one left.
func (e *Engine) Grant(call *Call) (attempts int) {
	now, hosts := time.Now(), e.share.Load().HostsAt(bootclock.Now())
	names := call.services()
	for i, name := range names {
		if e.service(name).grant(now, hosts) {
			continue
		}
		for _, granted := range names[:i] {
			e.service(granted).ungrant(now)
		}
		return 0
	}
	return 1
}

// GrantLifetime returns how long a grant may be used.
func (e *Engine) GrantLifetime() time.Duration { return e.config.Budget.GrantLifetime() }

func (s *service) grant(now time.Time, hosts int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.group.Budget()
	b.SetHosts(hosts)
	return b.Grant(now)
}

func (s *service) ungrant(grantedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Budget().Ungrant(grantedAt)
}

// recordRequest records a caller's request for the service.
func (s *service) recordRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Budget().RecordRequest(now)
}

// budgetLeft returns how many extra attempts the budget has left per request.
func (s *service) budgetLeft(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget().LeftPerRequest(now)
}

// granted reports whether the call's grant covers an extra attempt at a service.
func (r *runner) granted(now time.Time, name string) bool {
	g := r.call.Grant
	return r.grantsUsed[name] < g.Attempts && now.Before(g.Until)
}

func (r *runner) useGrant(name string) {
	if r.grantsUsed == nil {
		r.grantsUsed = make(map[string]int)
	}
	r.grantsUsed[name]++
}
