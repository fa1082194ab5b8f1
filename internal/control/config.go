package control

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// confirmAsLeader confirms the applied configuration by the leader's own lease.
// The log of a new leader holds all accepted changes, but the leader knows that
// they are committed only once the first entry of its term is.
func (c *Core) confirmAsLeader(now time.Time) []Effect {
	s := c.node.Status()
	if s.Role != consensus.Leader || !s.LeaseHeld || !s.TermApplied || s.Applied < s.Commit {
		return nil
	}
	return c.confirm(now, follow.Confirmed{Term: s.Term, Revision: c.store.Revision(), Plan: c.plans.Version(), Withdrawals: c.withdrawals.store.Set().Revision(), At: now})
}

func (c *Core) confirm(now time.Time, e follow.Confirmed) []Effect {
	if e.Term < c.confirmed.Term || e.Term == c.confirmed.Term && e.At.Before(c.confirmed.At) {
		return nil
	}
	c.confirmed = follow.Confirmation(e)
	if c.planConfirmed.Confirmed(e.Plan, e.At, c.plans.Version()) {
		c.dirty.snapshot = true
	}
	c.confirmMembers()
	out := c.membership(now, membership.ConfigApplied{Position: c.position()})
	return append(out, c.membership(now, membership.LeaderConfirmed{
		Position: membership.Position{Term: e.Term, Revision: e.Revision}, At: e.At,
	})...)
}

// position returns the term and revision of the configuration in force here.
func (c *Core) position() membership.Position {
	return membership.Position{Term: c.confirmed.Term, Revision: c.store.Revision()}
}

func (c *Core) answerPoll(now time.Time, p follow.Poll) follow.Update {
	return c.feed.Answer(now, p, c.confirmed, c.store.Revision(), c.followerState)
}

// followerState returns the configuration without the records of past changes,
// which only hosts with a log need.
func (c *Core) followerState() config.State {
	s := c.store.State()
	s.Records = nil
	s.RecordStart = s.Revision
	s.History = nil
	s.HistoryFrom = s.Revision
	return s
}

func (c *Core) follow(now time.Time, ev follow.Event) []Effect {
	c.follower.SetRevision(c.store.Revision())
	c.follower.SetPlanVersion(c.plans.Version())
	c.follower.SetWithdrawals(c.withdrawals.inForce.Revision())
	var out []Effect
	for _, e := range c.follower.Step(now, ev) {
		switch e := e.(type) {
		case follow.SendPoll:
			out = append(out, SendPoll{To: e.To, Poll: e.Poll})
		case follow.Apply:
			out = append(out, c.applyFollowed(now, e.Changes)...)
		case follow.Restore:
			c.store = config.Restore(e.State)
			c.feed.Reset()
			out = append(out, c.configChanged(now)...)
		case follow.ApplyPlan:
			_, effects := c.applyPlan(now, e.Document)
			out = append(out, effects...)
		case follow.ApplyWithdrawals:
			out = append(out, c.applyWithdrawals(now, e.Set)...)
		case follow.Confirmed:
			out = append(out, c.confirm(now, e)...)
		case follow.FeedReplaced:
			out = append(out, Log{Event: EventFeedReplaced, Fields: []Field{{"old", e.Old}, {"new", e.New}}})
		}
	}
	return out
}

// applyFollowed applies changes from a feed, which the log has already accepted.
// Their base is set to the current revision because this host keeps no history
// to compare an older base with.
func (c *Core) applyFollowed(now time.Time, changes []follow.Accepted) []Effect {
	var out []Effect
	for _, a := range changes {
		change := a.Change
		change.Base = c.store.Revision()
		r := c.store.Apply(c.store.Index()+1, a.At, change)
		if r.Outcome != config.Accepted || r.Revision != a.Revision {
			return append(out, Fail{Err: verdict.New(verdict.Ran, verdict.CodeInternal,
				"change %q was accepted as revision %d by the log but not by this host: %s", change.ID, a.Revision, r.Message)})
		}
		out = append(out, c.publishAccepted(now, a)...)
	}
	return append(out, c.configChanged(now)...)
}

func (c *Core) publishAccepted(now time.Time, a follow.Accepted) []Effect {
	var out []Effect
	for _, p := range c.feed.Accepted(now, c.confirmed.Term, a) {
		out = append(out, SendUpdate{To: p.To, Update: p.Update})
	}
	return out
}

// configChanged passes a changed configuration to routing, the membership, the
// connection shares and the target registry.
func (c *Core) configChanged(now time.Time) []Effect {
	c.dirty.table = true
	var out []Effect
	if !c.confirmed.At.IsZero() {
		out = append(out, c.membership(now, membership.ConfigApplied{Position: c.position()})...)
	}
	out = append(out, c.applyMemberList(now)...)
	for _, l := range c.store.Layouts() {
		layout := targets.NewLayout(l.IndexSnapshot, l.Generation, l.Shards)
		out = append(out, c.targetEffects(now, c.registry.Step(now, targets.LayoutCommitted{Layout: layout}))...)
	}
	return out
}

// applyMemberList passes a new agreed member list to the membership and the
// connection shares.
func (c *Core) applyMemberList(now time.Time) []Effect {
	m := c.store.Members()
	c.membersApplied(m.Epoch)
	if m.Epoch == 0 || m.Epoch == c.members.AgreedList().Epoch {
		return nil
	}
	out := c.membership(now, membership.AgreedListApplied{List: membership.AgreedList{Epoch: m.Epoch, Hosts: m.Hosts, Base: m.Base}})
	return append(out, c.sharesStep(now, connections.Members{Epoch: m.Epoch, Hosts: m.Hosts})...)
}
