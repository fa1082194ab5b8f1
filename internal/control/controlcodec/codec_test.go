package controlcodec

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/configcodec"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/orders/orderscodec"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/plancodec"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
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

// Guards against a program that can't read the snapshots of its predecessor, which ended
// after the member lists or the route plan, and against withdrawals that are lost.
func TestSnapshotKeepsWithdrawals(t *testing.T) {
	set, err := withdrawal.NewSet(3, []withdrawal.Domain{{Name: "a", Withdrawn: true, Revision: 3}})
	require.NoError(t, err)
	codec := Codec{Plans: func([]byte) (*routeplan.Plan, error) { return &routeplan.Plan{Version: 5}, nil }}
	plan, err := plancodec.NewDocument([]byte("{}"), codec.Plans)
	require.NoError(t, err)
	cfg, err := configcodec.EncodeState(testState().Config)
	require.NoError(t, err)
	ledger, err := orderscodec.EncodeState(testState().Orders)
	require.NoError(t, err)
	old := appendPart(appendPart(appendPart([]byte{1}, cfg), ledger), encodeLists(testState().EarlierLists))
	withPlan := appendPart(slices.Clone(old), plan.Encoded)
	for name, c := range map[string]struct {
		plan        *routeplan.Document
		withdrawals *withdrawal.Set
		old         []byte // the encoding before there were withdrawals
	}{"neither": {old: old}, "plan": {plan: plan, old: withPlan}, "withdrawals": {withdrawals: set}, "both": {plan: plan, withdrawals: set}} {
		state := testState()
		state.Plan, state.Withdrawals = c.plan, c.withdrawals
		data, err := EncodeState(state)
		require.NoError(t, err, name)
		if c.old != nil {
			require.Equal(t, c.old, data, name)
		}
		decoded, err := codec.DecodeState(data)
		require.NoError(t, err, name)
		require.Equal(t, c.withdrawals, decoded.Withdrawals, name)
		require.Equal(t, c.plan == nil, decoded.Plan == nil, name)
		for n := range data {
			decoded, err := codec.DecodeState(data[:n])
			if err == nil {
				require.Nil(t, decoded.Withdrawals)
				require.Contains(t, []int{len(old), len(withPlan)}, n, "%s, %d bytes: only the ends of old snapshots", name, n)
			}
		}
	}
}

// Guards against a log entry of an order that can't be read.
func TestWithdrawalEntry(t *testing.T) {
	o := withdrawal.Order{FailureDomain: "a", Withdraw: true, Base: 9}
	cmd, err := Codec{}.DecodeCommand(EncodeWithdrawal(time.Unix(1, 0), o))
	require.NoError(t, err)
	require.Equal(t, o, cmd.Withdrawal)
	_, err = Codec{}.DecodeCommand(EncodeWithdrawal(time.Unix(1, 0), o)[:commandHeaderLen+1])
	require.Error(t, err)
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
