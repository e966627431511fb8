package beryladmission

import (
	"flag"
	"os"
	"testing"
)

// TestMain draws from a fixed seed, so that the verdict is the same on every
// run; flags on the command line win.
func TestMain(tests *testing.M) {
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(tests.Run())
}
