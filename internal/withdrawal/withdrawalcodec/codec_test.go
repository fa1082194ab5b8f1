package withdrawalcodec

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

func testSet(t testing.TB) *withdrawal.Set {
	s, err := withdrawal.NewSet(7, []withdrawal.Domain{{Name: "b", Withdrawn: true, Revision: 7, Changed: 6}, {Name: "a", Revision: 5}})
	require.NoError(t, err)
	return s
}

// Guards against an encoding that loses a field, and decoders that accept malformed data.
func TestRoundTrips(t *testing.T) {
	o := withdrawal.Order{FailureDomain: "zone-1", Withdraw: true, Base: 300}
	decoded, err := DecodeOrder(EncodeOrder(o))
	require.NoError(t, err)
	require.Equal(t, o, decoded)

	r := withdrawal.Result{Revision: 300, Outcome: withdrawal.Overtaken}
	result, err := DecodeResult(EncodeResult(r))
	require.NoError(t, err)
	require.Equal(t, r, result)

	s := testSet(t)
	set, err := DecodeSet(EncodeSet(s))
	require.NoError(t, err)
	require.Equal(t, s, set)
	set, err = DecodeSet([]byte{7, 1, 1, 1, 1, 'a'})
	require.NoError(t, err, "the form that the malformed ones below depart from")
	require.Equal(t, []withdrawal.Domain{{Name: "a", Withdrawn: true, Revision: 1, Changed: 1}}, set.Domains())
	none, err := DecodeSet(EncodeSet(nil))
	require.NoError(t, err)
	require.Nil(t, none)

	for _, b := range [][]byte{nil, {1}, {1, 2, 'a'}, {0x80}} {
		_, err = DecodeOrder(b)
		require.Error(t, err, "%v", b)
	}
	for _, b := range [][]byte{nil, {1}, {1, 0}, {1, 9}, {1, 1, 1}} {
		_, err = DecodeResult(b)
		require.Error(t, err, "%v", b)
	}
	for _, b := range [][]byte{
		{0x80},
		{7, 8, 1, 1, 1, 'a'},
		{7, 1, 2, 1, 1, 'a'},
		{7, 1, 1, 1, 9, 'a'},
		{7, 1, 1, 1, 1, 'a', 2, 1, 1, 1, 'a'},
		{7, 1, 1, 1, 0},
		{7, 1, 1},
		{7, 1, 1, 0x80},
		{7, 1, 1, 2, 1, 'a'},
	} {
		_, err = DecodeSet(b)
		require.Error(t, err, "%v", b)
	}
}

// FuzzDecodeSet guards against a set from another host that makes the decoder crash.
func FuzzDecodeSet(f *testing.F) {
	f.Add(EncodeSet(testSet(f)))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = DecodeSet(b) })
}
