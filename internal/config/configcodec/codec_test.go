package configcodec

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

var allOps = []config.Op{
	config.PutGroup{Group: routing.Group{
		Name: "g", Team: "red", Match: routing.Labels{"a": "1"}, Priority: routing.PriorityLow,
		Limits: routing.Limits{QueueLength: 1, TeamConcurrency: 2, CallerConcurrency: 3, HedgePermille: 4, MaxEjectedPercent: 5, DefaultTimeoutMSec: 6},
	}},
	config.DeleteGroup{Name: "g"},
	config.PutSelector{Selector: routing.Selector{Name: "s", Owner: "red", Team: "blue", Match: routing.Labels{"b": "2"}, Group: "g"}},
	config.DeleteSelector{Name: "s"},
	config.ForgetHost{Host: "h1"},
	config.SetMembers{Epoch: 2, Members: []string{"h1", "h2"}, Base: 3},
	config.AddLayout{Group: "g", IndexSnapshot: "i1", Generation: 3, Layout: []string{"x", "y"}},
	config.RemoveLayout{Group: "g", IndexSnapshot: "i1"},
}

// Guards against an encoding that loses an operation, a result or a part of the
// state.
func TestRoundTrip(t *testing.T) {
	at := time.Date(2026, 12, 4, 1, 2, 3, 4, time.UTC)
	c := config.Change{ID: "c1", Author: "an", Team: "red", Note: "why", Base: 9, Ops: allOps}
	b, err := EncodeChange(c)
	require.NoError(t, err)
	got, err := DecodeChange(b)
	require.NoError(t, err)
	require.Equal(t, c, got)
	require.Equal(t, c.ContentHash(), got.ContentHash())

	s := config.NewStore()
	for i, c := range []config.Change{
		{ID: "c1", Author: "an", Team: "red", Ops: allOps[:1]},
		{ID: "c2", Author: "an", Team: "red", Base: 1, Ops: allOps[2:3]},
		{ID: "c3", Author: "an", Team: "red", Base: 0, Ops: allOps[1:2]},
		{ID: "c4", Author: "system", Team: config.SystemTeam, Ops: []config.Op{allOps[5], allOps[6]}},
	} {
		res := s.Apply(uint64(i+1), at, c)
		b, err := EncodeResult(res)
		require.NoError(t, err)
		back, err := DecodeResult(b)
		require.NoError(t, err)
		require.Equal(t, res, back)
	}
	b, err = EncodeState(s.State())
	require.NoError(t, err)
	state, err := DecodeState(b)
	require.NoError(t, err)
	require.Equal(t, s.State(), state)
	require.Equal(t, s.State(), config.Restore(state).State())
}

// Guards against decoding an unknown version, an empty encoding or an unknown
// operation without an error.
func TestNewerVersionIsRefused(t *testing.T) {
	_, err := DecodeState([]byte{Version + 1})
	require.ErrorIs(t, err, ErrNewerVersion)
	_, err = DecodeChange(nil)
	require.ErrorIs(t, err, ErrMalformed)
	_, err = EncodeChange(config.Change{Ops: []config.Op{nil}})
	require.Error(t, err)
}

// Guards against bytes from a damaged log that crash the process, or that
// decode to a change whose content differs after encoding it again.
func FuzzDecode(f *testing.F) {
	b, err := EncodeChange(config.Change{ID: "c1", Ops: allOps})
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte{Version, 0x4a, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := DecodeState(b); err == nil {
			config.Restore(s)
		}
		_, _ = DecodeResult(b)
		c, err := DecodeChange(b)
		if err != nil {
			return
		}
		again, err := EncodeChange(c)
		require.NoError(t, err)
		back, err := DecodeChange(again)
		require.NoError(t, err)
		require.Equal(t, c.ContentHash(), back.ContentHash())
	})
}
