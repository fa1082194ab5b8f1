package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/bootclock"
	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/follow/followrpc"
)

// systemSubmitTimeout is the timeout of proposals that a host makes itself.
const systemSubmitTimeout = 5 * time.Second

// Execute carries out an effect of the control core. It runs on the control
// goroutine and leaves work that can block to other goroutines.
func (d *Daemon) Execute(e control.Effect) {
	switch e := e.(type) {
	case control.Persist:
		d.persist(e)
	case control.SendConsensus:
		d.sendConsensus(e.Send)
	case control.SendPoll:
		d.sendPoll(e)
	case control.SendHeartbeat:
		d.sendHeartbeat(e)
	case control.SendExchange:
		d.sendExchange(e)
	case control.ForwardRenewals:
		d.forwardRenewals(e)
	case control.ProposeOrder:
		go d.proposeOrder(e.Command)
	case control.SendUpdate:
		d.sendUpdate(e)
	case control.EncodeState:
		go d.encodeState(e)
	case control.ProposeChange:
		go d.proposeChange(e.Change)
	case control.EndRequests:
		d.endRequests(bootclock.ToRuntime(e.By))
	case control.CloseTraffic:
		go d.closeTraffic()
	case control.SyncJournal:
		go d.syncJournal()
	case control.Exit:
		d.exit(e)
	case control.Log:
		d.logEvent(e)
	case control.LogConsensus:
		consensus.LogEffect(d.log, e.Effect)
	case control.Fail:
		d.fail(e.Err)
	}
}

func (d *Daemon) logEvent(e control.Log) {
	line := d.log.Log(e.Event)
	for _, f := range e.Fields {
		line = line.Interface(f.Name, f.Value)
	}
	line.Send()
}

func (d *Daemon) sendPoll(e control.SendPoll) {
	address, ok := d.directory.lookup(e.To)
	if !ok {
		return
	}
	d.links.Send(address, func(ctx context.Context, client *http.Client, baseURL string) {
		reply, err := followrpc.NewFollowProtobufClient(baseURL, client).GetUpdate(ctx, followrpc.EncodePoll(e.Poll))
		if err != nil {
			return
		}
		d.postUpdate(ctx, reply)
	})
}

func (d *Daemon) postUpdate(ctx context.Context, m *followrpc.Update) {
	u, err := followrpc.DecodeUpdate(m, d.adapter.Plans)
	if err != nil {
		d.log.Log(eventBadPeerMessage).Err(err).Str("peer", m.GetFrom()).Send()
		return
	}
	_ = d.loop.Post(ctx, control.FollowEvent{Event: follow.UpdateReceived{Update: u}})
}

func (d *Daemon) sendUpdate(e control.SendUpdate) {
	address, ok := d.directory.lookup(e.To)
	if !ok {
		return
	}
	d.links.Send(address, func(ctx context.Context, client *http.Client, baseURL string) {
		m, err := followrpc.EncodeUpdate(e.Update)
		if err != nil {
			d.fail(err)
			return
		}
		// The follower's next poll makes up for a lost push.
		_, _ = followrpc.NewFollowProtobufClient(baseURL, client).Push(ctx, m)
	})
}

func (d *Daemon) encodeState(e control.EncodeState) {
	data, err := controlcodec.EncodeState(e.State)
	if err != nil {
		d.fail(err)
		return
	}
	_ = d.loop.Post(d.ctx, control.SnapshotEncoded{Index: e.Index, Data: data})
}

// proposeChange submits a change that this host makes itself. If it fails, the
// control core proposes the change again.
func (d *Daemon) proposeChange(c config.Change) {
	ctx, cancel := context.WithTimeout(d.ctx, systemSubmitTimeout)
	defer cancel()
	_, _ = d.Propose(ctx, c)
}
