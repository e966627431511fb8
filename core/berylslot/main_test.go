package berylslot

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs the property tests from a fixed seed, so that every run gives the same
// result; flags on the command line take precedence.
func TestMain(tests *testing.M) {
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(tests.Run())
}
