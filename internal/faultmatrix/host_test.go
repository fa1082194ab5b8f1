package faultmatrix

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/spread"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// callback receives the outcome of a call to a core.
type callback func(result any, err error)

// host simulates a host. Its process can crash and restart, and its disk can be
// lost.
type host struct {
	sim     *simulation
	name    string
	domain  string
	address netip.AddrPort
	voter   bool
	starts  int // processes so far, counted if the voters are found
	disk    *disk

	up          bool
	paused      bool
	inbox       []func()
	suspendedAt time.Time     // zero while the host's clock runs
	lostTime    time.Duration // for which the host's clock stood still
	incarnation uint64
	core        *control.Core
	node        *consensus.Node
	snapshot    *control.Snapshot
	callbacks   map[uint64]callback
	inFlight    int
	interrupted int
	stopped     bool // the process ended by a graceful stop

	servedRevision uint64    // highest revision at which the host accepted new work
	revision       uint64    // last revision of this process
	disconnectedAt time.Time // last time at which the host was not connected
	pool           pool
}

// running reports whether the process makes progress.
func (h *host) running() bool { return h.up && !h.paused }

func (h *host) start() {
	require.False(h.sim.t, h.up, h.name)
	sim := h.sim
	h.incarnation = uint64(sim.now.UnixNano())
	h.up, h.paused, h.inbox, h.stopped = true, false, nil, false
	h.callbacks = map[uint64]callback{}
	h.revision, h.inFlight = 0, 0
	h.pool.restart(sim.now)
	if h.voter {
		node, err := consensus.New(h.nodeOptions(), h.disk.state())
		require.NoError(sim.t, err)
		h.node = node
	}
	roles := membership.RoleEntry
	if h.voter {
		roles |= membership.RoleVoter
	}
	options := control.Options{
		Self: h.name, Staleness: 3 * time.Second, Voters: sim.feeds(), Seeds: sim.seeds(h),
		Member: membership.Member{
			Host: h.name, Incarnation: h.incarnation, PeerAddress: h.address,
			Region: "r", FailureDomain: h.domain, Roles: roles,
		},
		Shares: connections.Config{}, Node: h.node, Codec: controlcodec.Codec{},
		Lifecycle: lifecycle.Options{BalancerLag: balancerLag, ShutdownTimeout: 10 * time.Second, HandoverTimeout: 5 * time.Second},
	}
	if sim.findVoters {
		sim.useVoterDiscovery(h, &options)
	}
	h.core = control.NewCore(options, h.clock())
	h.execute(h.core.Start(h.clock()))
	h.publish()
	h.tick(h.incarnation)
}

func (h *host) nodeOptions() consensus.Options {
	o := consensus.Options{
		Self: consensus.Member{Identity: h.disk.identity, Name: h.name, Address: h.address.String()},
		Rand: rand.New(rand.NewPCG(h.incarnation, uint64(h.address.Port()))),
	}
	for _, v := range h.sim.initialVoters() {
		o.Initial = append(o.Initial, consensus.Member{Name: v.name, Address: v.address.String()})
	}
	return o
}

// tick steps the core and the pool periodically until the process ends.
func (h *host) tick(incarnation uint64) {
	h.sim.after(2*control.TickInterval, func() {
		if !h.up || h.incarnation != incarnation {
			return
		}
		if !h.paused {
			h.step(control.Tick{InFlight: h.inFlight})
			h.pool.step(h)
		}
		h.tick(incarnation)
	})
}

func (h *host) step(ev control.Event) {
	if !h.up {
		return
	}
	h.execute(h.core.Step(h.clock(), ev))
	if h.up {
		h.publish()
	}
}

func (h *host) publish() { h.snapshot = h.core.Snapshot(h.clock()) }

// call steps the core with an event whose outcome goes to done.
func (h *host) call(build func(token uint64) control.Event, done callback) {
	h.sim.token++
	token := h.sim.token
	h.callbacks[token] = done
	h.step(build(token))
}

func (h *host) crash() {
	h.up = false
	h.disk.crash()
	h.pool.crash(h.sim.now)
}

func (h *host) pause() { h.paused = true }

func (h *host) resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, f := range inbox {
		h.sim.after(0, func() { h.sim.arrive(h, f) })
	}
}

// suspend pauses the host and stops its clock. wake ends that and first runs f, which
// arrived meanwhile ahead of all other messages.
func (h *host) suspend() {
	h.pause()
	h.suspendedAt = h.sim.now
}

func (h *host) wake(f func()) {
	h.lostTime += h.sim.now.Sub(h.suspendedAt)
	h.suspendedAt = time.Time{}
	h.paused = false
	f()
	h.resume()
}

// clock returns the host's own time.
func (h *host) clock() time.Time { return h.sim.now.Add(-h.lostTime) }

func (h *host) stop() {
	h.step(control.LifecycleEvent{Event: lifecycle.StopRequested{InFlight: h.inFlight}})
}

// later runs f after d if the same process is still up.
func (h *host) later(d time.Duration, f func()) {
	incarnation := h.incarnation
	h.sim.after(d, func() {
		if h.incarnation == incarnation {
			h.sim.arrive(h, f)
		}
	})
}

func (h *host) execute(effects []control.Effect) {
	for _, e := range effects {
		h.executeEffect(e)
	}
}

func (h *host) executeEffect(e control.Effect) {
	sim := h.sim
	switch e := e.(type) {
	case control.Resolve:
		if done := h.callbacks[e.Token]; done != nil {
			delete(h.callbacks, e.Token)
			done(e.Result, e.Err)
		}
	case control.Persist:
		h.persist(e.Change)
	case control.SendConsensus:
		if to := sim.byAddress[e.Send.To.Address]; to != nil {
			sim.send(h, to, func() {
				to.step(control.ConsensusEvent{Event: consensus.MessageReceived{Message: e.Send.Message}})
			})
		}
	case control.SendPoll:
		h.sendRequest(sim.byName[e.To], func(token uint64) control.Event { return control.PollReceived{Token: token, Poll: e.Poll} },
			func(r any) control.Event {
				return control.FollowEvent{Event: follow.UpdateReceived{Update: r.(follow.Update)}}
			})
	case control.SendUpdate:
		to := sim.byName[e.To]
		sim.send(h, to, func() { to.step(control.FollowEvent{Event: follow.UpdateReceived{Update: e.Update}}) })
	case control.SendHeartbeat:
		h.sendRequest(sim.byAddress[e.Address.String()], func(token uint64) control.Event {
			return control.HeartbeatReceived{Token: token, Heartbeat: e.Heartbeat}
		}, func(r any) control.Event { return control.HeartbeatAnswered{Heartbeat: r.(membership.Heartbeat)} })
	case control.SendExchange:
		h.sendRequest(sim.byName[e.To], func(token uint64) control.Event { return control.ExchangeReceived{Token: token, Request: e.Request} },
			func(r any) control.Event {
				return control.SpreadEvent{Event: spread.ResponseReceived{Response: r.(spread.Response)}}
			})
	case control.ForwardRenewals:
		h.forward(e)
	case control.ProposeChange:
		data, err := controlcodec.EncodeChange(sim.now, e.Change)
		require.NoError(sim.t, err)
		h.submit(proposals.KindChange, data, 5*time.Second, func(any, error) {})
	case control.ProposeOrder:
		data, err := controlcodec.EncodeOrder(sim.now, e.Command)
		require.NoError(sim.t, err)
		h.submit(proposals.KindOrder, data, 5*time.Second, func(any, error) {})
	case control.EncodeState:
		data, err := controlcodec.EncodeState(e.State)
		require.NoError(sim.t, err)
		h.later(5*time.Millisecond, func() { h.step(control.SnapshotEncoded{Index: e.Index, Data: data}) })
	case control.CloseTraffic:
		h.later(20*time.Millisecond, func() {
			h.pool.close()
			h.step(control.TrafficClosed{})
		})
	case control.SyncJournal:
		h.later(5*time.Millisecond, func() { h.step(control.LifecycleEvent{Event: lifecycle.Synced{}}) })
	case control.Exit:
		h.up, h.stopped = false, true
		h.interrupted += e.Interrupted + h.inFlight
		h.pool.crash(sim.now)
	case control.Fail:
		require.NoError(sim.t, e.Err, "%s failed", h.name)
	}
}

// sendRequest steps the core of another host with a request, and this host's
// core with the reply.
func (h *host) sendRequest(to *host, request func(token uint64) control.Event, reply func(any) control.Event) {
	if to == nil {
		return
	}
	incarnation := h.incarnation
	h.sim.send(h, to, func() {
		to.call(request, func(result any, _ error) {
			h.sim.send(to, h, func() {
				if h.incarnation == incarnation {
					h.step(reply(result))
				}
			})
		})
	})
}

func (h *host) persist(p consensus.Persist) {
	if !h.disk.submit(p) {
		h.later(time.Millisecond, func() { h.step(control.ConsensusEvent{Event: consensus.PersistFailed{Seq: p.Seq}}) })
		return
	}
	d := h.disk
	h.later(d.slow, func() {
		d.sync(p.Seq)
		h.step(control.ConsensusEvent{Event: consensus.Persisted{Seq: p.Seq}})
	})
}

func (h *host) forward(e control.ForwardRenewals) {
	to := h.sim.byName[e.To]
	answered := false
	h.sim.send(h, to, func() {
		to.step(control.TargetsEvent{Event: targets.RenewalsReceived{From: h.name, Renewals: e.Renewals}})
		h.sim.send(to, h, func() { answered = true })
	})
	h.later(time.Second, func() {
		if !answered {
			h.step(control.TargetsEvent{Event: targets.RenewalsFailed{To: e.To, Renewals: e.Renewals}})
		}
	})
}

// group returns a change that creates a group.
func group(id, operator string, base uint64) config.Change {
	return config.Change{ID: id, Author: operator, Team: "names", Base: base, Ops: []config.Op{putGroup(id)}}
}
