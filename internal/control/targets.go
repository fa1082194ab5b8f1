package control

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// targetEffects converts the registry's effects to the core's.
func (c *Core) targetEffects(now time.Time, effects []targets.Effect) []Effect {
	var out []Effect
	for _, e := range effects {
		switch e := e.(type) {
		case targets.Log:
			out = append(out, Log{Event: e.Event, Fields: []Field{{"target", e.Target}, {"detail", e.Detail}}})
		case targets.Disseminate:
			c.changed[e.Target] = true
			out = append(out, c.spreadStep(now, spread.Updated{Key: spread.Key{Kind: spread.KindTarget, Name: e.Target}, From: e.From, Urgent: e.Urgent})...)
		case targets.DisseminateLayout:
			out = append(out, c.spreadStep(now, spread.Updated{Key: spread.Key{Kind: spread.KindLayout, Name: e.IndexSnapshot}, From: e.From})...)
		case targets.ForwardRenewals:
			out = append(out, ForwardRenewals(e))
		case targets.ProposeLayout:
			out = append(out, c.proposeLayout(now, e.Layout)...)
		}
	}
	return out
}

// proposeLayout proposes a layout to the replicated log, for every group whose
// targets list the index snapshot. If the log already has a layout of that index
// snapshot, the registry receives that layout instead, as it may have dropped it.
func (c *Core) proposeLayout(now time.Time, l *targets.Layout) []Effect {
	for _, known := range c.store.Layouts() {
		if known.IndexSnapshot == l.IndexSnapshot {
			layout := targets.NewLayout(known.IndexSnapshot, known.Generation, known.Shards)
			return c.targetEffects(now, c.registry.Step(now, targets.LayoutCommitted{Layout: layout}))
		}
	}
	var out []Effect
	for _, group := range c.groupsWithSnapshot(l.IndexSnapshot) {
		change := config.Change{
			Author: c.opts.Self, Team: config.SystemTeam, Base: c.store.Revision(),
			Ops: []config.Op{config.AddLayout{Group: group, IndexSnapshot: l.IndexSnapshot, Generation: l.Generation, Layout: l.Shards}},
		}
		change.ID = change.DerivedID()
		if r := c.store.Check(change); r.Outcome == config.Accepted && !r.Resend {
			out = append(out, ProposeChange{Change: change})
		}
	}
	return out
}

func (c *Core) groupsWithSnapshot(indexSnapshot string) []string {
	var out []string
	table := c.store.Table()
	for rec := range c.registry.View().Targets() {
		lists := slices.ContainsFunc(rec.IndexSnapshots, func(s targets.IndexSnapshot) bool { return s.Name == indexSnapshot })
		if !lists {
			continue
		}
		for _, g := range table.GroupsOf(rec.Labels) {
			if !slices.Contains(out, g) {
				out = append(out, g)
			}
		}
	}
	slices.Sort(out)
	return out
}
