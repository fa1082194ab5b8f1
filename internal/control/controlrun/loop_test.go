package controlrun

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/connections"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// memoryDisk reports every change of the log as durable at once.
type memoryDisk struct{ loop *Loop }

func (d memoryDisk) Execute(e control.Effect) {
	if p, ok := e.(control.Persist); ok {
		d.loop.TryPost(control.ConsensusEvent{Event: consensus.Persisted{Seq: p.Change.Seq}})
	}
}

// Guards against work that a host accepts on evidence that expired while its machine was suspended.
func TestGateIsStaleRightAfterASuspension(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := consensus.Member{Identity: "i", Name: "h"}
	node, err := consensus.New(consensus.Options{Self: self, Initial: []consensus.Member{self}, Rand: rand.New(rand.NewPCG(1, 1))}, consensus.DurableState{})
	require.NoError(t, err)
	core := control.NewCore(control.Options{
		Self: "h", Staleness: 3 * time.Second, Node: node, Codec: controlcodec.Codec{}, Shares: connections.Config{},
		Member: membership.Member{Host: "h", Incarnation: 1, PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Roles: membership.RoleVoter | membership.RoleEntry},
	}, now)
	loop := New(core, func() int { return 0 }, eventlog.Nop(), func() time.Time { return now })
	loop.executor = memoryDisk{loop}
	fresh := func() bool { return loop.Snapshot().Gate.Evidence.Freshness(loop.Now()) != membership.Stale }
	for range 400 {
		now = now.Add(control.TickInterval)
		loop.step(control.Tick{})
		loop.drain()
		loop.publish()
	}
	require.True(t, fresh())
	now = now.Add(5 * time.Second)
	require.False(t, fresh())
}
