// Package proposals tracks the commands that this host has proposed to the
// replicated log until their outcome is known. The outcome of a failed proposal
// carries a verdict that says whether the command may have been applied.
package proposals

import (
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of the errors of this package.
const (
	CodeUnknownOutcome verdict.Code = "unknown_outcome"
	CodeLostLeadership verdict.Code = "lost_leadership"
)

// Kind identifies the replicated state machine that a command is for.
type Kind uint8

// Kinds of commands.
const (
	KindChange     Kind = iota + 1 // internal/config
	KindOrder                      // internal/orders
	KindPlan                       // internal/routeplan
	KindWithdrawal                 // internal/withdrawal
)

// Command is one entry of the replicated log. At is the time by the proposer's
// clock, so that every host applies the command with the same time.
type Command struct {
	Kind Kind
	At   time.Time
	Data []byte
}

// Outcome reports how a proposal ended. Exactly one of Err and Result is set;
// Result is what the state machine returned when it applied the command.
type Outcome struct {
	Result any
	Err    error
}

// Resolution is the outcome of the proposal that was added under Token.
type Resolution struct {
	Token   uint64
	Outcome Outcome
}

type pending struct {
	deadline time.Time
	index    uint64 // zero until the leader has appended the command
	term     uint64
}

// Tracker holds the proposals in progress. The control goroutine owns it.
//
// Invariant: a proposal is resolved exactly once. It is resolved with NotRun
// only if the log refused it or an entry of another term was committed at its
// index, after which it can't be committed.
type Tracker struct {
	pending map[uint64]*pending
	byIndex map[uint64][]uint64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{pending: make(map[uint64]*pending), byIndex: make(map[uint64][]uint64)}
}

// Len returns the number of proposals in progress.
func (t *Tracker) Len() int { return len(t.pending) }

// Add starts tracking a proposal until its deadline.
func (t *Tracker) Add(token uint64, deadline time.Time) {
	t.pending[token] = &pending{deadline: deadline}
}

// Appended records the index and term of a proposal in the leader's log.
func (t *Tracker) Appended(token, index, term uint64) {
	p := t.pending[token]
	if p == nil {
		return
	}
	p.index, p.term = index, term
	t.byIndex[index] = append(t.byIndex[index], token)
}

// Refused resolves a proposal that the log refused.
func (t *Tracker) Refused(token uint64, err error) []Resolution {
	if t.pending[token] == nil {
		return nil
	}
	return []Resolution{t.resolve(token, Outcome{Err: err})}
}

// Applied resolves the proposals that wait for the entry at index.
func (t *Tracker) Applied(index, term uint64, result any) []Resolution {
	tokens := t.byIndex[index]
	if len(tokens) == 0 {
		return nil
	}
	var out []Resolution
	for _, token := range slices.Clone(tokens) {
		p := t.pending[token]
		if p == nil {
			continue
		}
		o := Outcome{Result: result}
		if p.term != term {
			o = Outcome{Err: verdict.New(verdict.NotRun, CodeLostLeadership, "another leader's entry was committed at the index of the proposal")}
		}
		out = append(out, t.resolve(token, o))
	}
	return out
}

// Restored resolves the proposals whose index a snapshot covers. It is unknown
// whether the snapshot includes them.
func (t *Tracker) Restored(index uint64) []Resolution {
	return t.resolveWhere(func(p *pending) bool { return p.index != 0 && p.index <= index }, "a snapshot replaced the log before the outcome was known")
}

// Expire resolves the proposals whose deadline has passed. They may still be
// committed.
func (t *Tracker) Expire(now time.Time) []Resolution {
	return t.resolveWhere(func(p *pending) bool { return !now.Before(p.deadline) }, "the log did not commit the proposal in time")
}

func (t *Tracker) resolveWhere(match func(*pending) bool, reason string) []Resolution {
	var tokens []uint64
	for token, p := range t.pending {
		if match(p) {
			tokens = append(tokens, token)
		}
	}
	slices.Sort(tokens)
	out := make([]Resolution, 0, len(tokens))
	for _, token := range tokens {
		out = append(out, t.resolve(token, Outcome{Err: verdict.New(verdict.MayHaveRun, CodeUnknownOutcome, "%s", reason)}))
	}
	return out
}

func (t *Tracker) resolve(token uint64, o Outcome) Resolution {
	p := t.pending[token]
	delete(t.pending, token)
	if p.index != 0 {
		rest := slices.DeleteFunc(t.byIndex[p.index], func(x uint64) bool { return x == token })
		if len(rest) == 0 {
			delete(t.byIndex, p.index)
		} else {
			t.byIndex[p.index] = rest
		}
	}
	return Resolution{Token: token, Outcome: o}
}
