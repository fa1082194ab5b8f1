package control

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// lifecycle steps the host's lifecycle and handles its effects.
func (c *Core) lifecycle(now time.Time, ev lifecycle.Event) []Effect {
	var out []Effect
	ready := c.life.Ready()
	effects := c.life.Step(now, ev)
	if c.life.Ready() != ready {
		out = append(out, c.membership(now, membership.ReadinessChanged{Ready: !ready})...)
	}
	for _, e := range effects {
		c.dirty.snapshot = true
		switch e := e.(type) {
		case lifecycle.EndRequests:
			out = append(out, EndRequests{By: e.By})
		case lifecycle.TransferLeadership:
			out = append(out, c.consensus(now, consensus.TransferLeadership{ID: "stop"})...)
		case lifecycle.BeginHandover:
			out = append(out, CloseTraffic{})
			out = append(out, c.membership(now, membership.Leave{})...)
			out = append(out, c.consensus(now, consensus.TransferLeadership{ID: "stop"})...)
		case lifecycle.SyncJournal:
			out = append(out, SyncJournal{})
		case lifecycle.Exit:
			out = append(out, Exit{Interrupted: e.Interrupted})
		case lifecycle.Log:
			out = append(out, Log{Event: e.Event, Fields: []Field{{"phase", e.Phase.String()}, {"in_flight", e.InFlight}}})
		}
	}
	return out
}

// endHandover continues the stop once the host's traffic is closed and, if there
// is another voter, this host no longer leads.
func (c *Core) endHandover(now time.Time) []Effect {
	if c.life.Phase() != lifecycle.Handover || !c.trafficClosed || c.mustHandOver() {
		return nil
	}
	return c.lifecycle(now, lifecycle.HandedOver{})
}

func (c *Core) mustHandOver() bool {
	if c.node == nil {
		return false
	}
	s := c.node.Status()
	return s.Role == consensus.Leader && len(s.Voters) > 1
}
