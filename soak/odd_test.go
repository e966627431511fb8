package berylsoak

import (
	"flag"
	"testing"
)

var odd = flag.Bool("odd", false, "whether another writer leaves odd entries with a fresh seed")

// Another writer leaves odd entries in the list of targets, beside theirs and over them, with addresses of the
// processes, and large ones that stay, beside the faults of the other soaks; half of the processes are
// killed meanwhile. Guards against processes that end, that no longer follow the list, and against requests that are
// lost by such an entry.
func TestOddSoak(t *testing.T) {
	size := shortSize
	size.Odd = true
	soak(t, 8, size)
}
