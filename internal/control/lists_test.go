package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders"
)

// stateCodec decodes every snapshot to one state.
type stateCodec struct {
	Codec
	state ReplicatedState
}

func (c stateCodec) DecodeState([]byte) (ReplicatedState, error) { return c.state, nil }

// Guards against a voter that starts from a snapshot and, as a leader, reports
// a change as accepted before an earlier member list knows its successor.
func TestSnapshotRestoresEarlierLists(t *testing.T) {
	c, now := benchCore(0)
	lists := []EarlierList{{Hosts: []string{"a", "b", "c"}, ReplacedBy: membership.Position{Term: 2, Revision: 9}}}
	c.opts.Codec = stateCodec{state: ReplicatedState{
		Config: config.NewStore().State(), Orders: orders.NewLedger(orders.DefaultLimits()).State(), EarlierLists: lists,
	}}
	c.restore(now.Add(time.Second), consensus.Snapshot{Index: 5, Data: []byte{1}})
	require.Equal(t, lists, c.earlierLists)
	require.False(t, c.listsSettled())
	lists[0].Hosts[0] = "changed"
	require.Equal(t, "a", c.earlierLists[0].Hosts[0], "the snapshot's list is not shared")
}
