package orders

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed, and enough runs to meet rare orders of events, unless the command line names
// one, so that every run tests the same cases.
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
