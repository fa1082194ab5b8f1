package routing

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed unless the command line names
// one, so that every run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
