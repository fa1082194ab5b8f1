package orderscodec

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/orders"
)

var (
	at       = time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)
	id       = "1796346000000-a"
	token    = orders.Token{Claimant: orders.Claimant{Host: "h1", Incarnation: 2}, Fence: 3}
	commands = []orders.Command{
		orders.Release{RequestID: id, Token: orders.Token{Claimant: orders.Claimant{Host: "h0", Incarnation: 1}, Fence: 1}},
		orders.Claim{RequestID: id, Content: orders.Hash{1}, Token: token, At: at},
		orders.MarkMayHaveRun{RequestID: id, Token: token},
		orders.Record{RequestID: id, Token: token, Result: orders.Result{Status: 200, Body: []byte("done")}, At: at},
		orders.Release{RequestID: "1796346000001-b", Token: token},
		orders.ClaimantDied{Claimant: token.Claimant},
	}
)

func sorted(s orders.State) orders.State {
	for _, p := range s.Partitions {
		slices.SortFunc(p.Entries, func(a, b *orders.Entry) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	}
	return s
}

// Guards against an encoding that loses a part of a command, a reply or a
// snapshot.
func TestRoundTrip(t *testing.T) {
	limits := orders.DefaultLimits()
	limits.Partitions = 2
	l := orders.NewLedger(limits)
	for i, c := range commands {
		b, err := EncodeCommand(c)
		require.NoError(t, err)
		back, err := DecodeCommand(b)
		require.NoError(t, err)
		require.Equal(t, c, back)
		r := l.Apply(uint64(i+1), back)
		b, err = EncodeReply(r)
		require.NoError(t, err)
		reply, err := DecodeReply(b)
		require.NoError(t, err)
		require.Equal(t, r, reply)
		b, err = EncodeState(l.State())
		require.NoError(t, err)
		state, err := DecodeState(b)
		require.NoError(t, err)
		l = orders.Restore(state)
		again, err := EncodeState(sorted(l.State()))
		require.NoError(t, err)
		b, err = EncodeState(sorted(state))
		require.NoError(t, err)
		require.Equal(t, b, again)
	}
	require.Equal(t, orders.Recorded, l.Lookup(id).Outcome)
}

// Guards against decoding a newer version as if it were a known one.
func TestNewerVersionIsRefused(t *testing.T) {
	_, err := DecodeState([]byte{Version + 1})
	require.ErrorIs(t, err, ErrNewerVersion)
	_, err = DecodeCommand(nil)
	require.ErrorIs(t, err, ErrMalformed)
	_, err = EncodeCommand(nil)
	require.Error(t, err)
}

// Guards against corrupt log entries that crash the process.
func FuzzDecode(f *testing.F) {
	for _, c := range commands {
		b, err := EncodeCommand(c)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := DecodeState(b); err == nil {
			orders.Restore(s).Lookup(id)
		}
		_, _ = DecodeReply(b)
		c, err := DecodeCommand(b)
		if err != nil {
			return
		}
		again, err := EncodeCommand(c)
		require.NoError(t, err)
		back, err := DecodeCommand(again)
		require.NoError(t, err)
		require.Equal(t, c, back)
	})
}
