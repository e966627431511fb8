package berylshare

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
// Command-line flags take precedence.
func TestMain(tests *testing.M) {
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(tests.Run())
}
