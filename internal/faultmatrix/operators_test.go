package faultmatrix

import (
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/configcodec"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

const (
	submitRetryDelay = 200 * time.Millisecond
	submitTimeout    = 5 * time.Second
	maxResends       = 20
)

// push is a change that an operator sends again until its outcome is known.
type push struct {
	change     config.Change
	result     *config.Result
	err        error // of the last try
	revision   uint64
	acceptedAt time.Time
	sent       int
	contested  bool // another change may replace the object
}

func (p *push) accepted() bool { return p.result != nil && p.result.Outcome == config.Accepted }
func (p *push) refused() bool  { return p.result != nil && p.result.Outcome == config.Refused }

// push submits a change at a host. The operator turns to other hosts when one
// doesn't answer, and sends a refused change of an older base no more.
func (w *world) push(via *host, c config.Change) *push {
	p := &push{change: c}
	w.pushes = append(w.pushes, p)
	p.send(w, via)
	return p
}

func (p *push) send(w *world, via *host) {
	p.sent++
	again := func() {
		if p.sent < maxResends {
			w.after(submitRetryDelay, func() { p.send(w, w.hosts[w.rng.IntN(len(w.hosts))]) })
		}
	}
	if !via.running() {
		again()
		return
	}
	data, err := controlcodec.EncodeChange(w.now, p.change)
	require.NoError(w.t, err)
	answered := false
	answer := func(result any, err error) {
		if answered {
			return
		}
		answered = true
		p.take(w, result, err)
		if p.result == nil {
			again()
		}
	}
	via.submit(proposals.KindChange, data, submitTimeout, answer)
	w.after(submitTimeout+time.Second, func() { answer(nil, verdict.New(verdict.MayHaveRun, "timeout", "no answer")) })
}

func (p *push) take(w *world, result any, err error) {
	p.err = err
	if err != nil {
		w.note("change %s: %v", p.change.ID, err)
		return
	}
	data, err := configcodec.EncodeResult(result.(config.Result))
	require.NoError(w.t, err)
	r, err := configcodec.DecodeResult(data)
	require.NoError(w.t, err)
	if p.result == nil {
		p.result, p.revision, p.acceptedAt = &r, r.Revision, w.now
	}
	w.note("change %s: %v, revision %d %s", p.change.ID, r.Outcome, r.Revision, r.Message)
}

// submit does what the daemon does with a command: it looks for the leader
// while the command certainly has not been taken.
func (h *host) submit(kind proposals.Kind, data []byte, timeout time.Duration, done callback) {
	h.submitTry(kind, data, h.w.now.Add(timeout), 0, done)
}

func (h *host) submitTry(kind proposals.Kind, data []byte, deadline time.Time, try int, done callback) {
	w := h.w
	if !w.now.Before(deadline) {
		done(nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no leader was found"))
		return
	}
	to := h.candidate(try)
	answered := false
	answer := func(result any, err error) {
		if answered {
			return
		}
		answered = true
		if err != nil && verdict.Of(err) == verdict.NotRun && retryElsewhere(err) {
			h.later(submitRetryDelay, func() { h.submitTry(kind, data, deadline, try+1, done) })
			return
		}
		done(result, err)
	}
	build := func(token uint64) control.Event {
		return control.Submit{Token: token, Kind: kind, Data: data, Deadline: deadline}
	}
	if to == h {
		h.call(build, answer)
		return
	}
	if !to.up || w.net.cut[[2]string{h.name, to.name}] {
		h.later(500*time.Millisecond, func() {
			answer(nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no connection to %s", to.name))
		})
		return
	}
	h.later(deadline.Sub(w.now), func() {
		answer(nil, verdict.New(verdict.MayHaveRun, proposals.CodeUnknownOutcome, "no answer of %s", to.name))
	})
	incarnation := h.incarnation
	w.send(h, to, func() {
		to.call(build, func(result any, err error) {
			w.send(to, h, func() {
				if h.incarnation == incarnation {
					answer(result, err)
				}
			})
		})
	})
}

func (h *host) candidate(try int) *host {
	if l := h.snapshot.Leader.Name; l != "" && try%2 == 0 {
		return h.w.byName[l]
	}
	return h.w.voters()[try%3]
}

func retryElsewhere(err error) bool {
	switch verdict.CodeOf(err) {
	case consensus.CodeNotLeader, proposals.CodeLostLeadership, verdict.CodeUnavailable, consensus.CodeTransferring:
		return true
	}
	return false
}
