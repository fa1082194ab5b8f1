package daemon

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
)

// memberCount is a number of hosts that divide a budget. A decrease takes effect only
// after a time, since a host that left may have spent its part just before.
type memberCount struct {
	hosts       int
	confirmedAt time.Time
}

func (c *memberCount) update(now time.Time, hosts int, retention time.Duration) {
	if hosts >= c.hosts || now.Sub(c.confirmedAt) > retention {
		*c = memberCount{hosts: hosts, confirmedAt: now}
	}
}

// budgetShare decides which part of the fixed budget of extra attempts is this host's: one
// part for each agreed member, whichever of them send requests to searchers.
//
// The parts in use in any window add up to the whole at most, since
//   - a host uses its part only while the leader has confirmed its list within shareLapse,
//     so that a list that has been replaced is soon out of use everywhere,
//   - a host that was not a member before, or can't know that it was, waits until the
//     others divide by a list with it and a whole window has passed since,
//   - a process waits for a window after its start, since its predecessor may have used the
//     part, and
//   - a smaller number of members takes effect after the same time.
type budgetShare struct {
	at          time.Time // of the last update
	epoch       uint64    // of the agreed list
	member      bool      // of that list
	confirmedAt time.Time // when a leader last confirmed it or the list before
	from        time.Time // when this host may use its part
	members     memberCount
}

// sharePeriod is the time between two updates without a new list.
const sharePeriod = time.Second

// shareLapse returns the age of a confirmation of the agreed list at which a host no longer
// uses its part.
func shareLapse(window time.Duration) time.Duration { return window / 2 }

// due reports whether an update is due.
func (b *budgetShare) due(now time.Time, s *control.Snapshot) bool {
	return b.epoch != s.AgreedMembers.Epoch || now.Sub(b.at) >= sharePeriod
}

// firstEpoch is the epoch of the first agreed list of a fleet.
const firstEpoch = 1

// update takes over what a snapshot shows. now and started, when this process started, are
// times of the control state's clock.
func (b *budgetShare) update(now, started time.Time, window time.Duration, s *control.Snapshot, self string) forwardrun.BudgetShare {
	lapse := shareLapse(window)
	wait := window + lapse
	list := s.AgreedMembers
	if b.epoch != list.Epoch {
		// A host may have been left out by a list that it has missed.
		missed := now.Sub(b.confirmedAt) > lapse
		switch {
		case list.Epoch == firstEpoch:
			b.from = started.Add(window) // nobody can divide by an earlier list
		case !b.member || missed:
			b.from = now.Add(wait)
		}
		b.epoch, b.member = list.Epoch, slices.Contains(list.Hosts, self)
	}
	b.at = now
	if s.MembersConfirmedAt.After(b.confirmedAt) {
		b.confirmedAt = s.MembersConfirmedAt
	}
	if !b.member {
		return forwardrun.BudgetShare{}
	}
	b.members.update(now, fleetSize(s), wait)
	return forwardrun.BudgetShare{Hosts: b.members.hosts, From: b.from, Until: b.confirmedAt.Add(lapse)}
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
