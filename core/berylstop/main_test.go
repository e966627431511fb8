package berylstop

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that every run gives the same result. Flags on
// the command line take precedence.
func TestMain(tests *testing.M) {
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(tests.Run())
}
