package berylticket

import (
	"flag"
	"os"
	"testing"
)

// TestMain draws enough sequences to reach rare ones, from a fixed seed, so that every
// run gives the same result; flags on the command line take precedence.
func TestMain(tests *testing.M) {
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(tests.Run())
}
