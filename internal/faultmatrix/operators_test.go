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

// push is a change that an operator resends until its outcome is known.
type push struct {
	change     config.Change
	result     *config.Result
	err        error // of the last attempt
	revision   uint64
	acceptedAt time.Time
	sent       int
	noGroup    bool // the change creates no group that checkChanges could look for
}

func (p *push) accepted() bool { return p.result != nil && p.result.Outcome == config.Accepted }
func (p *push) refused() bool  { return p.result != nil && p.result.Outcome == config.Refused }

// push submits a change at a host and resends it at random hosts, up to
// maxResends times, until it has a result. A refusal is a result too.
func (sim *simulation) push(via *host, c config.Change) *push {
	p := &push{change: c}
	sim.pushes = append(sim.pushes, p)
	p.send(sim, via)
	return p
}

func (p *push) send(sim *simulation, via *host) {
	p.sent++
	retry := func() {
		if p.sent < maxResends {
			sim.after(submitRetryDelay, func() { p.send(sim, sim.hosts[sim.rng.IntN(len(sim.hosts))]) })
		}
	}
	if !via.running() {
		retry()
		return
	}
	data, err := controlcodec.EncodeChange(sim.now, p.change)
	require.NoError(sim.t, err)
	answered := false
	answer := func(result any, err error) {
		if answered {
			return
		}
		answered = true
		p.recordResult(sim, result, err)
		if p.result == nil {
			retry()
		}
	}
	via.submit(proposals.KindChange, data, submitTimeout, answer)
	sim.after(submitTimeout+time.Second, func() { answer(nil, verdict.New(verdict.MayHaveRun, "timeout", "no answer")) })
}

func (p *push) recordResult(sim *simulation, result any, err error) {
	p.err = err
	if err != nil {
		sim.logf("change %s: %v", p.change.ID, err)
		return
	}
	data, err := configcodec.EncodeResult(result.(config.Result))
	require.NoError(sim.t, err)
	r, err := configcodec.DecodeResult(data)
	require.NoError(sim.t, err)
	if p.result == nil {
		p.result, p.revision, p.acceptedAt = &r, r.Revision, sim.now
	}
	sim.logf("change %s: %v, revision %d %s", p.change.ID, r.Outcome, r.Revision, r.Message)
}

// submit sends a command to the leader as the daemon does: it tries another
// host only while the command has certainly not been accepted.
func (h *host) submit(kind proposals.Kind, data []byte, timeout time.Duration, done callback) {
	h.trySubmit(kind, data, h.sim.now.Add(timeout), 0, done)
}

func (h *host) trySubmit(kind proposals.Kind, data []byte, deadline time.Time, try int, done callback) {
	sim := h.sim
	if !sim.now.Before(deadline) {
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
			h.later(submitRetryDelay, func() { h.trySubmit(kind, data, deadline, try+1, done) })
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
	if !to.up || sim.net.cut[[2]string{h.name, to.name}] {
		h.later(500*time.Millisecond, func() {
			answer(nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no connection to %s", to.name))
		})
		return
	}
	h.later(deadline.Sub(sim.now), func() {
		answer(nil, verdict.New(verdict.MayHaveRun, proposals.CodeUnknownOutcome, "no answer from %s", to.name))
	})
	incarnation := h.incarnation
	sim.send(h, to, func() {
		to.call(build, func(result any, err error) {
			sim.send(to, h, func() {
				if h.incarnation == incarnation {
					answer(result, err)
				}
			})
		})
	})
}

func (h *host) candidate(try int) *host {
	if l := h.snapshot.Leader.Name; l != "" && try%2 == 0 {
		return h.sim.byName[l]
	}
	return h.sim.voters()[try%3]
}

func retryElsewhere(err error) bool {
	switch verdict.CodeOf(err) {
	case consensus.CodeNotLeader, proposals.CodeLostLeadership, verdict.CodeUnavailable, consensus.CodeTransferring:
		return true
	}
	return false
}
