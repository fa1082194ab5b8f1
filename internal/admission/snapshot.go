package admission

import (
	"slices"
	"strings"
	"time"
)

// CallerStats counts a caller's queries.
type CallerStats struct {
	Team    string
	Caller  string
	Running int
	Waiting int
}

// GroupStats describes a group in a state dump.
type GroupStats struct {
	Group      string
	Guaranteed int // minimum share of the host's concurrency
	Limit      int // adaptive limit
	Running    int
	Waiting    int
	Duration   time.Duration // EWMA of the queries
	Callers    []CallerStats // sorted by team and caller
}

// Stats describes a queue in a state dump.
type Stats struct {
	Concurrency int
	Running     int
	Waiting     int
	Groups      []GroupStats // sorted by priority and name
}

// Snapshot returns the current counts.
func (q *Queue) Snapshot() Stats {
	st := Stats{Concurrency: q.cfg.Concurrency, Running: q.running, Waiting: len(q.waiting)}
	for _, g := range q.order {
		gs := GroupStats{
			Group: g.name, Guaranteed: g.guaranteed, Limit: g.limit.Value(),
			Running: g.running, Waiting: g.waiting, Duration: g.duration,
		}
		for _, c := range g.callers {
			gs.Callers = append(gs.Callers, CallerStats{Team: c.key.team, Caller: c.key.caller, Running: c.running, Waiting: len(c.queue)})
		}
		slices.SortFunc(gs.Callers, func(a, b CallerStats) int {
			if c := strings.Compare(a.Team, b.Team); c != 0 {
				return c
			}
			return strings.Compare(a.Caller, b.Caller)
		})
		st.Groups = append(st.Groups, gs)
	}
	return st
}
