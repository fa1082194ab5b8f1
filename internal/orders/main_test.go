package orders

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets defaults for the flags of the property tests: a fixed seed, so
// that every run tests the same cases, and enough checks to reach rare
// interleavings of events.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "100"}
	for name, value := range defaults {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
