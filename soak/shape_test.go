package berylsoak

import (
	"flag"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	shapeName = flag.String("shape", "", "shape of a fresh seed in TestFreshShape, empty for all")
	quota     = flag.Float64("quota", 0, "share of a core that each process of a fresh seed of TestFreshShape has as a quota, zero for none")
	unplanned = flag.Bool("unplanned", false, "whether a fresh seed of TestFreshShape has unplanned faults")
)

// loadShapes loads the shapes in testdata by name.
func loadShapes(t *testing.T) map[string]*Shape {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.hujson")
	require.NoError(t, err)
	shapes := make(map[string]*Shape)
	for _, path := range paths {
		shape, err := LoadShape(path)
		require.NoError(t, err)
		name := filepath.Base(path)
		shapes[name[:len(name)-len(filepath.Ext(name))]] = shape
	}
	require.NotEmpty(t, shapes)
	return shapes
}

// Processes are stopped in turn, some or all, get SIGHUP alone and in series, targets leave and are
// replaced, and configurations change, with long and short streams, plain calls that may run once, and
// callers that keep their connections. Guards against requests that end without an answer.
func TestShapes(t *testing.T) {
	const requestsPerSecond, seconds, seed = 60, 7, 51
	for name, shape := range loadShapes(t) {
		t.Run(name, func(t *testing.T) { soak(t, seed, shape.Size(requestsPerSecond, seconds, false)) })
	}
}

// TestFreshShape runs fresh seeds of worlds that files describe; see -seeds, -seconds, -rate and -shape.
func TestFreshShape(t *testing.T) {
	first := *from
	if first == 0 {
		first = uint64(time.Now().UnixNano() / 1e6 % 1e9)
	}
	for name, shape := range loadShapes(t) {
		if *shapeName != "" && *shapeName != name {
			continue
		}
		for i := range uint64(*seeds) {
			t.Run(name+"/"+strconv.FormatUint(first+i, 10), func(t *testing.T) {
				size := shape.Size(*rate, *seconds, *unplanned)
				size.Quota = *quota
				soak(t, first+i, size)
			})
		}
	}
}
