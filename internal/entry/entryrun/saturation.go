package entryrun

import (
	"sync"
	"time"
)

// A group is saturated while its targets shed more than a share of the
// sub-requests. Hedges would then only add to what they shed. Queries that
// wait for admission are no sign of it: with that signal, goodput at 130 %
// load fell from 0.91 to 0.72 in the policy bench.
const (
	saturationWindow  = 500 * time.Millisecond
	saturationMinimum = 20 // sub-requests in a window that are too few to judge
	saturationPercent = 5
)

// shedMeter judges one group's sub-requests window by window.
type shedMeter struct {
	mu    sync.Mutex
	since time.Time
	sent  int
	shed  int
	full  bool
}

// observe counts a sub-request and reports whether the group is saturated.
func (m *shedMeter) observe(now time.Time, shed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent++
	if shed {
		m.shed++
	}
	if now.Sub(m.since) >= saturationWindow {
		m.full = m.sent >= saturationMinimum && m.shed*100 >= m.sent*saturationPercent
		m.since, m.sent, m.shed = now, 0, 0
	}
	return m.full
}
