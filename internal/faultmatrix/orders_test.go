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

// order is what became of a request ID over all its submissions.
type order struct {
	id         string
	dispatched int
	ran        bool
	answers    []orders.Answer
	first      *claimant     // the submission that claimed to be the first
	targetTime time.Duration // between dispatch and reply
}

// claimant is one submission of an order at a host.
type claimant struct {
	h      *host
	o      *order
	run    *orders.Execution
	notRun bool // this submission was answered not_run
}

func (w *world) newOrder() *order {
	id := fmt.Sprintf("%d-%d", w.now.UnixMilli(), len(w.orders))
	o := &order{id: id, targetTime: 10 * time.Millisecond}
	w.orders[id] = o
	return o
}

// submitOrder runs one submission of an order at a host that takes new work.
// A caller that claims that a submission is its first gives it up before it
// sends another one, as orders.Request.First demands.
func (w *world) submitOrder(h *host, o *order, first bool) {
	if !h.serving() {
		return
	}
	if o.first != nil {
		o.first.step(orders.CallerGone{})
		o.first = nil
	}
	w.fences++
	req := orders.Request{ID: o.id, Content: orders.Hash{1}, Deadline: w.now.Add(orderDeadline), First: first}
	c := &claimant{h: h, o: o, run: orders.NewExecution(req, orders.Claimant{Host: h.name, Incarnation: h.incarnation}, w.fences)}
	if first {
		o.first = c
	}
	c.step(orders.Start{})
}

func (c *claimant) step(ev orders.Event) {
	if !c.h.up {
		return
	}
	for _, e := range c.run.Step(c.h.w.now, ev) {
		c.carryOut(e)
	}
}

func (c *claimant) carryOut(e orders.Effect) {
	w := c.h.w
	switch e := e.(type) {
	case orders.ProposeClaim:
		c.commit(e.Claim, func(r orders.Reply, err error) {
			if err != nil {
				c.step(orders.ClaimFailed{Sent: verdict.Of(err) != verdict.NotRun})
				return
			}
			c.step(orders.ClaimAnswered{Reply: r})
		})
	case orders.ProposeSettle:
		c.commit(e.Command, func(r orders.Reply, err error) {
			if err != nil {
				c.step(orders.SettleFailed{})
				return
			}
			c.step(orders.SettleAnswered{Reply: r})
		})
	case orders.Dispatch:
		c.dispatch()
	case orders.Watch:
		c.h.later(watchInterval, c.lookUp)
	case orders.WakeAt:
		c.h.later(max(0, e.At.Sub(w.now)), func() { c.step(orders.Tick{}) })
	case orders.Answer:
		c.answer(e)
	}
}

func (c *claimant) commit(cmd orders.Command, done func(orders.Reply, error)) {
	data, err := controlcodec.EncodeOrder(c.h.w.now, cmd)
	require.NoError(c.h.w.t, err)
	c.h.submit(proposals.KindOrder, data, orderDeadline, func(result any, err error) {
		r, _ := result.(orders.Reply)
		done(r, err)
	})
}

func (c *claimant) dispatch() {
	w := c.h.w
	c.o.dispatched++
	w.note("order %s is sent by %s", c.o.id, c.h.name)
	if c.o.dispatched > 1 {
		w.fail("order %s was sent %d times", c.o.id, c.o.dispatched)
	}
	if c.notRun {
		w.fail("order %s was sent after its caller was told not_run", c.o.id)
	}
	w.after(time.Millisecond, func() { c.o.ran = true })
	c.h.later(c.o.targetTime, func() {
		c.step(orders.TargetReplied{Verdict: verdict.Ran, Result: orders.Result{Status: 200, Body: []byte("done")}})
	})
}

// lookUp asks the leader until another host's claim has ended.
func (c *claimant) lookUp() {
	w := c.h.w
	to := w.leader()
	again := func() { c.h.later(watchInterval, c.lookUp) }
	if c.run.Closed() {
		return
	}
	if to == nil || w.net.cut[[2]string{c.h.name, to.name}] || w.net.cut[[2]string{to.name, c.h.name}] {
		again()
		return
	}
	to.call(func(token uint64) control.Event {
		return control.Read{Token: token, Query: control.OrderQuery{RequestID: c.o.id}}
	}, func(result any, err error) {
		r, ok := result.(orders.Reply)
		if err != nil || !ok || r.Outcome == orders.InProgress || r.Outcome == orders.Unknown {
			again()
			return
		}
		c.h.later(0, func() { c.step(orders.RequestChanged{Reply: r}) })
	})
}

func (c *claimant) answer(a orders.Answer) {
	w := c.h.w
	c.o.answers = append(c.o.answers, a)
	w.note("order %s is answered by %s: %v", c.o.id, c.h.name, a.Err)
	if a.Err == nil && !c.o.ran {
		w.fail("order %s has a result and did not run", c.o.id)
	}
	if a.Err != nil && verdict.Of(a.Err) == verdict.NotRun {
		c.notRun = true
		if c.o.dispatched > 0 {
			w.fail("order %s was answered not_run after it ran", c.o.id)
		}
	}
}
