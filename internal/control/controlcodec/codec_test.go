package controlcodec

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders"
)

func testState() control.ReplicatedState {
	return control.ReplicatedState{
		Config: config.NewStore().State(), Orders: orders.NewLedger(orders.DefaultLimits()).State(),
		EarlierLists: []control.EarlierList{
			{Hosts: []string{"a", "b", "c"}, ReplacedBy: membership.Position{Term: 3, Revision: 300}},
			{Hosts: []string{"a"}, ReplacedBy: membership.Position{Term: 4, Revision: 7}},
		},
	}
}

// Guards against a snapshot that loses the earlier member lists, after which a
// new leader would report a change as accepted too early.
func TestSnapshotKeepsEarlierLists(t *testing.T) {
	state := testState()
	data, err := EncodeState(state)
	require.NoError(t, err)
	decoded, err := Codec{}.DecodeState(data)
	require.NoError(t, err)
	require.Equal(t, state.EarlierLists, decoded.EarlierLists)
}

// Guards against decoders that accept truncated data, a newer version or an
// unknown kind.
func TestDecodersRejectInvalidData(t *testing.T) {
	data, err := EncodeState(testState())
	require.NoError(t, err)
	for n := range data {
		_, err := Codec{}.DecodeState(data[:n])
		require.Error(t, err, "%d bytes", n)
	}
	data[0] = Version + 1
	_, err = Codec{}.DecodeState(data)
	require.ErrorIs(t, err, ErrNewerVersion)

	entry, err := EncodeChange(time.Unix(1, 0), config.Change{ID: "x", Author: "a", Team: "t"})
	require.NoError(t, err)
	cmd, err := Codec{}.DecodeCommand(entry)
	require.NoError(t, err)
	require.Equal(t, "x", cmd.Change.ID)
	entry[1] = 99
	_, err = Codec{}.DecodeCommand(entry)
	require.ErrorIs(t, err, ErrMalformed)
	entry[0] = Version + 1
	_, err = Codec{}.DecodeCommand(entry)
	require.ErrorIs(t, err, ErrNewerVersion)
}

// FuzzDecodeState guards against a snapshot that makes the decoder crash or hang
// instead of returning an error.
func FuzzDecodeState(f *testing.F) {
	data, err := EncodeState(testState())
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = Codec{}.DecodeState(b)
	})
}
