package control

import (
	"fmt"
	"strconv"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// consensus steps the replicated log and handles its effects.
func (c *Core) consensus(now time.Time, ev consensus.Event) []Effect {
	if c.node == nil {
		return nil
	}
	var out []Effect
	for _, e := range c.node.Step(now, ev) {
		out = append(out, c.consensusEffect(now, e)...)
	}
	return out
}

func (c *Core) consensusEffect(now time.Time, e consensus.Effect) []Effect {
	switch e := e.(type) {
	case consensus.Send:
		return []Effect{SendConsensus{Send: e}}
	case consensus.Persist:
		return []Effect{Persist{Change: e}}
	case consensus.ProposalAppended:
		if token, ok := parseToken(e.ID); ok {
			c.tracker.Appended(token, e.Index, e.Term)
		}
		return nil
	case consensus.ProposalRefused:
		return c.proposalRefused(e)
	case consensus.ReadReady:
		return c.readReady(e)
	case consensus.ReadRefused:
		return c.readRefused(e)
	case consensus.Apply:
		return c.apply(now, e.Entries)
	case consensus.RestoreSnapshot:
		return c.restore(now, e.Snapshot)
	case consensus.RoleChanged:
		return append(c.leaderChanged(now, e), LogConsensus{Effect: e})
	}
	return []Effect{LogConsensus{Effect: e}}
}

func (c *Core) leaderChanged(now time.Time, e consensus.RoleChanged) []Effect {
	c.leader = e.Leader
	c.dirty.snapshot = true
	out := c.membership(now, membership.LeadershipChanged{Leading: e.Role == consensus.Leader})
	return append(out, c.follow(now, follow.FeedsChanged{Feeds: c.feeds()})...)
}

func parseToken(id string) (uint64, bool) {
	token, err := strconv.ParseUint(id, 10, 64)
	return token, err == nil
}

// changeVoters asks the log for a change of its voter set. The proposer is
// answered when the entry that carries the set is committed.
func (c *Core) changeVoters(now time.Time, ev ChangeVoters) []Effect {
	if c.node == nil {
		return []Effect{Resolve{Token: ev.Token, Err: notVoter()}}
	}
	c.tracker.Add(ev.Token, ev.Deadline)
	return c.consensus(now, consensus.ChangeVoters{
		ID: strconv.FormatUint(ev.Token, 10), Op: ev.Op, Member: consensus.Member{Identity: ev.Identity},
	})
}

// forgetHosts removes the hosts that a change forgets from the earlier lists and
// the membership.
func (c *Core) forgetHosts(now time.Time, change *config.Change) []Effect {
	var out []Effect
	for _, op := range change.Ops {
		if f, ok := op.(config.ForgetHost); ok {
			c.forgetInLists(f.Host)
			out = append(out, c.membership(now, membership.HostForgotten{Host: f.Host})...)
		}
	}
	return out
}

func (c *Core) proposalRefused(e consensus.ProposalRefused) []Effect {
	token, ok := parseToken(e.ID)
	if !ok {
		return nil
	}
	return resolveAll(c.tracker.Refused(token, e.Err))
}

// apply applies committed entries to the replicated state machines.
//
// Invariant: the result of an entry depends only on the entry and the state
// before it, so all hosts with a log reach the same state.
func (c *Core) apply(now time.Time, entries []consensus.Entry) []Effect {
	var out []Effect
	changed := false
	for _, e := range entries {
		result, effects, err := c.applyEntry(now, e)
		if err != nil {
			return append(out, Fail{Err: err})
		}
		c.logBytes += len(e.Data)
		changed = changed || len(effects) > 0
		out = append(out, effects...)
		resolved := c.tracker.Applied(e.Index, e.Term, result)
		if r, ok := result.(config.Result); ok && r.Outcome == config.Accepted {
			c.holdUntilSeen(now, e.Term, resolved)
			continue
		}
		out = append(out, resolveAll(resolved)...)
	}
	if changed {
		out = append(out, c.configChanged(now)...)
	}
	out = append(out, c.releaseSeen(now)...)
	return append(out, c.maybeCompact()...)
}

func (c *Core) applyEntry(now time.Time, e consensus.Entry) (any, []Effect, error) {
	if e.Kind != consensus.EntryNormal {
		return nil, nil, nil
	}
	cmd, err := c.opts.Codec.DecodeCommand(e.Data)
	if err != nil {
		// Skipping the entry would make this host's state diverge from the others'.
		return nil, nil, verdict.Wrap(err, verdict.Ran, verdict.CodeInternal, "decode a committed log entry")
	}
	switch cmd.Kind {
	case proposals.KindChange:
		old := c.store.Members()
		result := c.store.Apply(e.Index, cmd.At, *cmd.Change)
		c.listReplaced(old, e.Term)
		if result.Outcome != config.Accepted || result.Resend {
			return result, nil, nil
		}
		return result, append(c.forgetHosts(now, cmd.Change), c.publishChange(now, cmd, result)...), nil
	case proposals.KindOrder:
		return c.ledger.Apply(e.Index, cmd.Order), nil, nil
	case proposals.KindPlan:
		result, effects := c.applyPlan(now, cmd.Plan)
		return result, effects, nil
	case proposals.KindWithdrawal:
		result, effects := c.applyWithdrawalOrder(now, cmd.Withdrawal)
		return result, effects, nil
	}
	return nil, nil, verdict.New(verdict.Ran, verdict.CodeInternal, "log entry %d has the unknown kind %d", e.Index, cmd.Kind)
}

// read keeps a query until this host's leadership is confirmed.
func (c *Core) read(now time.Time, ev Read) []Effect {
	if c.node == nil {
		return []Effect{Resolve{Token: ev.Token, Err: notVoter()}}
	}
	id := strconv.FormatUint(ev.Token, 10)
	c.reads[id] = ev
	return c.consensus(now, consensus.ReadIndex{ID: id})
}

func (c *Core) readReady(e consensus.ReadReady) []Effect {
	ev, ok := c.reads[e.ID]
	if !ok {
		return nil
	}
	delete(c.reads, e.ID)
	out := []Effect{Resolve{Token: ev.Token, Result: c.answer(ev.Query)}}
	if _, ok := ev.Query.(OrderQuery); ok {
		return out // as frequent as callers' requests
	}
	return append(out, Log{Event: EventReadAnswered, Fields: []Field{
		{"query", fmt.Sprintf("%T", ev.Query)},
		{"term", c.node.Status().Term},
		{"index", e.Index},
		{"plan", c.plans.Version()},
		{"revision", c.store.Revision()},
	}})
}

func (c *Core) answer(q Query) any {
	switch q := q.(type) {
	case OrderQuery:
		return c.ledger.Lookup(q.RequestID)
	case ChangeQuery:
		result, found := c.store.Lookup(q.ChangeID)
		return ChangeResult{Found: found, Result: result}
	case HistoryQuery:
		return c.store.History(q.From, q.Limit)
	case PlanQuery:
		return c.plans.Document()
	}
	return nil
}

func (c *Core) readRefused(e consensus.ReadRefused) []Effect {
	ev, ok := c.reads[e.ID]
	if !ok {
		return nil
	}
	delete(c.reads, e.ID)
	return []Effect{Resolve{Token: ev.Token, Err: e.Err}}
}

func notVoter() error {
	return verdict.New(verdict.NotRun, consensus.CodeNotLeader, "this host holds no replicated log")
}

func (c *Core) publishChange(now time.Time, cmd Command, r config.Result) []Effect {
	out := []Effect{Log{Event: EventChangeAccepted, Fields: []Field{
		{"change", cmd.Change.ID}, {"author", cmd.Change.Author}, {"revision", r.Revision},
	}}}
	return append(out, c.publishAccepted(now, follow.Accepted{Revision: r.Revision, At: cmd.At, Change: *cmd.Change})...)
}

func (c *Core) restore(now time.Time, s consensus.Snapshot) []Effect {
	var out []Effect
	if len(s.Data) > 0 {
		state, err := c.opts.Codec.DecodeState(s.Data)
		if err != nil {
			return []Effect{Fail{Err: verdict.Wrap(err, verdict.Ran, verdict.CodeInternal, "decode the snapshot of the replicated state")}}
		}
		c.store = config.Restore(state.Config)
		c.ledger = orders.Restore(state.Orders)
		c.earlierLists = copyLists(state.EarlierLists)
		c.feed.Reset()
		_, planEffects := c.applyPlan(now, state.Plan)
		out = append(out, planEffects...)
		c.withdrawals.store = withdrawal.NewStore(state.Withdrawals)
		out = append(out, c.applyWithdrawals(now, state.Withdrawals)...)
	}
	out = append(out, resolveAll(c.tracker.Restored(s.Index))...)
	return append(out, c.configChanged(now)...)
}

// maybeCompact asks for a snapshot once the log exceeds its bounds. The state is
// copied here and encoded off the control goroutine.
func (c *Core) maybeCompact() []Effect {
	s := c.node.Status()
	if c.encoding || s.Applied < s.Snapshot+compactAfterEntries && c.logBytes < compactAfterBytes {
		return nil
	}
	c.encoding = true
	c.logBytes = 0
	return []Effect{EncodeState{Index: s.Applied, State: ReplicatedState{
		Config: c.store.State(), Orders: c.ledger.State(), EarlierLists: copyLists(c.earlierLists), Plan: c.plans.Document(),
		Withdrawals: c.withdrawals.store.Set(),
	}}}
}
