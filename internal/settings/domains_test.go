package settings

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a list of failure domains or bounds on cold targets that is accepted
// although it is malformed.
func TestFailureDomainsAndWarmup(t *testing.T) {
	parse := func(args ...string) (*Settings, error) {
		return Parse(append([]string{"-host", "a", "-failure-domain", "x", "-voters", "b=127.0.0.1:1"}, args...), io.Discard)
	}
	s, err := parse("-failure-domains", "x=r1, y=r2", "-warmup-overage", "0", "-warmup-slack", "0.5")
	require.NoError(t, err)
	require.Equal(t, map[string]string{"x": "r1", "y": "r2"}, s.FailureDomains)
	require.InDelta(t, 0.5, s.WarmupSlack, 0)
	for _, wrong := range [][]string{
		{"-failure-domains", "x"},
		{"-failure-domains", "=r"},
		{"-failure-domains", "x="},
		{"-failure-domains", "x=r,x=s"},
		{"-warmup-overage", "-1"},
		{"-warmup-overage", "NaN"},
		{"-warmup-slack", "Inf"},
	} {
		_, err := parse(wrong...)
		require.Error(t, err, "%v", wrong)
	}
}
