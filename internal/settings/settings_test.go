package settings

import (
	"flag"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func voterArgs(extra ...string) []string {
	return append([]string{"-host", "a", "-failure-domain", "fd1", "-roles", "entry,voter", "-data-dir", "d", "-voters", "a=127.0.0.1:7404"}, extra...)
}

// Guards against a start that reports only the first of several problems.
func TestParseReportsEveryProblem(t *testing.T) {
	_, err := Parse([]string{"-roles", "cook", "-voters", "a=1.2.3.4:5,b=1.2.3.4:6", "-caller-listen", "localhost:1", "-hedge-permille", "2000", "-log-level", "loud"}, io.Discard)
	var p Problems
	require.True(t, errors.As(err, &p))
	text := err.Error()
	for _, want := range []string{"-host is missing", "-failure-domain is missing", `"cook"`, "-voters names 2", "localhost:1", "permille", "loud"} {
		require.Contains(t, text, want)
	}
	require.GreaterOrEqual(t, len(p), 7)
}

// Guards against contradictory settings that would start a host in an unintended
// state.
func TestParseRefusesContradictions(t *testing.T) {
	for name, extra := range map[string][]string{
		"needs -data-dir":              {"-data-dir", ""},
		"does not have the role voter": {"-roles", "entry"},
		"-peer-listen uses port":       {"-peer-listen", "127.0.0.1:9"},
		"use the same address":         {"-caller-listen", "127.0.0.1:7403"},
		"needs -admin-token-file":      {"-admin-listen", "10.0.0.1:7403"},
		"above -max-timeout":           {"-max-timeout", "1s"},
		"-config-staleness 10s":        {"-config-staleness", "10s"},
		"-max-clock-drift NaN":         {"-max-clock-drift", "NaN"},
		"-quota-window 2m0s":           {"-quota-window", "2m"},
		"-quota-overage NaN":           {"-quota-overage", "NaN"},
		"-quota-slack -1":              {"-quota-slack", "-1"},
		"unexpected argument":          {"stray"},
		"must name the IP address":     {"-peer-listen", "0.0.0.0:7404"},
		"-intake-memory 5":             {"-intake-memory", "5"},
		"-caller-connections 7":        {"-caller-connections", "7"},
		"-control-connections -1":      {"-control-connections", "-1"},
		"-address-memory-permille":     {"-address-memory-permille", "1001"},
		"-address-connections-permi":   {"-address-connections-permille", "99"},
		"-head-timeout 0s":             {"-head-timeout", "0"},
		"-body-stall 1h0m0s":           {"-body-stall", "1h"},
	} {
		_, err := Parse(voterArgs(extra...), io.Discard)
		require.ErrorContains(t, err, name)
	}
}

// Guards against environment variables that are read under another name than
// the reference gives.
func TestEnvironmentNamesMatchTheReference(t *testing.T) {
	for _, f := range Reference() {
		if f.Name == "queue-length" {
			t.Setenv(f.Env, "77")
		}
	}
	s, err := Parse(voterArgs(), io.Discard)
	require.NoError(t, err)
	require.Equal(t, 77, s.QueueLength)
	require.True(t, s.HasRole(Voter))
}

// Guards against help text without an example of how to start a host.
func TestHelpShowsAnExample(t *testing.T) {
	var out strings.Builder
	_, err := Parse([]string{"-h"}, &out)
	require.ErrorIs(t, err, flag.ErrHelp)
	require.Contains(t, out.String(), "hawthornlockd -host a")
}
