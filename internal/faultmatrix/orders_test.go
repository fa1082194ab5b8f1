package faultmatrix

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

const (
	orderDeadline = 3 * time.Second
	watchInterval = 200 * time.Millisecond
)

// order tracks all submissions of one request ID.
type order struct {
	id         string
	dispatched int
	ran        bool
	answers    []orders.Answer
	first      *submission   // submission marked as the first, until it is given up
	targetTime time.Duration // from dispatch to reply
}

// submission is one submission of an order at a host.
type submission struct {
	h         *host
	o         *order
	execution *orders.Execution
	notRun    bool // this submission was answered not_run
}

func (sim *simulation) newOrder() *order {
	id := fmt.Sprintf("%d-%d", sim.now.UnixMilli(), len(sim.orders))
	o := &order{id: id, targetTime: 10 * time.Millisecond}
	sim.orders[id] = o
	return o
}

// submitOrder runs one submission of an order at a host if the host accepts new
// work. The caller gives up a submission marked as the first before it sends
// another one, as orders.Request.First requires.
func (sim *simulation) submitOrder(h *host, o *order, first bool) {
	if !h.serving() {
		return
	}
	if o.first != nil {
		o.first.step(orders.CallerGone{})
		o.first = nil
	}
	sim.lastFence++
	req := orders.Request{ID: o.id, Content: orders.Hash{1}, Deadline: sim.now.Add(orderDeadline), First: first}
	sub := &submission{h: h, o: o, execution: orders.NewExecution(req, orders.Claimant{Host: h.name, Incarnation: h.incarnation}, sim.lastFence)}
	if first {
		o.first = sub
	}
	sub.step(orders.Start{})
}

func (sub *submission) step(ev orders.Event) {
	if !sub.h.up {
		return
	}
	for _, e := range sub.execution.Step(sub.h.sim.now, ev) {
		sub.executeEffect(e)
	}
}

func (sub *submission) executeEffect(e orders.Effect) {
	sim := sub.h.sim
	switch e := e.(type) {
	case orders.ProposeClaim:
		sub.commit(e.Claim, func(r orders.Reply, err error) {
			if err != nil {
				sub.step(orders.ClaimFailed{Sent: verdict.Of(err) != verdict.NotRun})
				return
			}
			sub.step(orders.ClaimAnswered{Reply: r})
		})
	case orders.ProposeSettle:
		sub.commit(e.Command, func(r orders.Reply, err error) {
			if err != nil {
				sub.step(orders.SettleFailed{})
				return
			}
			sub.step(orders.SettleAnswered{Reply: r})
		})
	case orders.Dispatch:
		sub.dispatch()
	case orders.Watch:
		sub.h.later(watchInterval, sub.lookUp)
	case orders.WakeAt:
		sub.h.later(max(0, e.At.Sub(sim.now)), func() { sub.step(orders.Tick{}) })
	case orders.Answer:
		sub.answer(e)
	}
}

func (sub *submission) commit(cmd orders.Command, done func(orders.Reply, error)) {
	data, err := controlcodec.EncodeOrder(sub.h.sim.now, cmd)
	require.NoError(sub.h.sim.t, err)
	sub.h.submit(proposals.KindOrder, data, orderDeadline, func(result any, err error) {
		r, _ := result.(orders.Reply)
		done(r, err)
	})
}

func (sub *submission) dispatch() {
	sim := sub.h.sim
	sub.o.dispatched++
	sim.logf("order %s is dispatched by %s", sub.o.id, sub.h.name)
	if sub.o.dispatched > 1 {
		sim.failf("order %s was dispatched %d times", sub.o.id, sub.o.dispatched)
	}
	if sub.notRun {
		sim.failf("order %s was dispatched after its caller was told not_run", sub.o.id)
	}
	sim.after(time.Millisecond, func() { sub.o.ran = true })
	sub.h.later(sub.o.targetTime, func() {
		sub.step(orders.TargetReplied{Verdict: verdict.Ran, Result: orders.Result{Status: 200, Body: []byte("done")}})
	})
}

// lookUp polls the leader until the claim of another submission has ended.
func (sub *submission) lookUp() {
	sim := sub.h.sim
	to := sim.leader()
	retry := func() { sub.h.later(watchInterval, sub.lookUp) }
	if sub.execution.Closed() {
		return
	}
	if to == nil || sim.net.cut[[2]string{sub.h.name, to.name}] || sim.net.cut[[2]string{to.name, sub.h.name}] {
		retry()
		return
	}
	to.call(func(token uint64) control.Event {
		return control.Read{Token: token, Query: control.OrderQuery{RequestID: sub.o.id}}
	}, func(result any, err error) {
		r, ok := result.(orders.Reply)
		if err != nil || !ok || r.Outcome == orders.InProgress || r.Outcome == orders.Unknown {
			retry()
			return
		}
		sub.h.later(0, func() { sub.step(orders.RequestChanged{Reply: r}) })
	})
}

func (sub *submission) answer(a orders.Answer) {
	sim := sub.h.sim
	sub.o.answers = append(sub.o.answers, a)
	sim.logf("order %s is answered by %s: %v", sub.o.id, sub.h.name, a.Err)
	if a.Err == nil && !sub.o.ran {
		sim.failf("order %s has a result and did not run", sub.o.id)
	}
	if a.Err != nil && verdict.Of(a.Err) == verdict.NotRun {
		sub.notRun = true
		if sub.o.dispatched > 0 {
			sim.failf("order %s was answered not_run after it was dispatched", sub.o.id)
		}
	}
}
