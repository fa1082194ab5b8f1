package verdict

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a joined verdict of NotRun although one attempt may have run.
func TestJoinNeverHidesAnAttemptThatMayHaveRun(t *testing.T) {
	all := []Verdict{NotRun, MayHaveRun, Ran}
	for _, a := range all {
		for _, b := range all {
			got := Join(a, b)
			require.Equal(t, got, Join(b, a))
			require.Equal(t, a == NotRun && b == NotRun, got == NotRun, "%v %v", a, b)
		}
	}
}

// Guards against an error without a verdict that counts as NotRun.
func TestUnknownErrorsMayHaveRun(t *testing.T) {
	require.Equal(t, MayHaveRun, Of(errors.New("plain")))
	require.Equal(t, CodeInternal, CodeOf(errors.New("plain")))
	err := errors.Wrap(New(NotRun, CodeUnavailable, "no target"), "query")
	require.Equal(t, NotRun, Of(err))
	require.Equal(t, CodeUnavailable, CodeOf(err))
	var v Verdict
	require.NoError(t, v.UnmarshalText([]byte("nonsense")))
	require.Equal(t, MayHaveRun, v)
}
