package journal

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a reader that panics on damaged input or does not report it,
// and against records that do not decode to what was encoded.
func FuzzReadSegment(f *testing.F) {
	const number, salt = 7, 99
	w := newWorkload(rand.New(rand.NewPCG(1, 1)), 6)
	b := appendSegmentHeader(nil, number, salt)
	for i, p := range w.requests {
		b = appendRecord(b, salt, record{batch: uint64(i + 1), changes: []change{changeOf(p)}})
	}
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Fuzz(func(t *testing.T, b []byte) {
		end, problem, err := readSegment(b, number, func(_ int, r record) error {
			salt, _ := readSegmentHeader(b, number)
			decoded, _, ok := readRecord(appendRecord(nil, salt, r), salt)
			require.True(t, ok)
			require.Equal(t, r, decoded)
			var p replay
			for _, c := range r.changes {
				p.applyChange(c)
			}
			p.finish()
			return nil
		})
		require.NoError(t, err)
		require.LessOrEqual(t, end, len(b))
		require.Equal(t, problem == "", end == len(b) && end >= segmentHeaderSize)

		// The checksum rejects most inputs before they are decoded, so the input
		// is also decoded as a payload.
		d := decoder{b: b}
		if c := d.change(); d.err == nil {
			again := decoder{b: appendChange(nil, c)}
			require.Equal(t, c, again.change())
			require.NoError(t, again.err)
		}
	})
}
