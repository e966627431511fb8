package berylsoak

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seeds    = flag.Int("seeds", 0, "number of fresh seeds to soak, beside the short runs")
	from     = flag.Uint64("from", 0, "first fresh seed; by the clock if zero")
	vms      = flag.Int("vms", 9, "processes of a fresh seed")
	seconds  = flag.Int("seconds", 25, "seconds of faults of a fresh seed")
	rate     = flag.Float64("rate", 40, "requests a second of a fresh seed")
	memoryMB = flag.Int("memoryMB", 134, "memory that each process is told it has")
)

var program string

func TestMain(tests *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "berylsoak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "berylspoke")
	build := exec.Command("go", "build", "-o", program, "../cmd/berylspoke")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := tests.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// soak plays one seed and fails the test for each broken promise.
func soak(t *testing.T, seed uint64, size Size) {
	t.Helper()
	folder, err := os.MkdirTemp("", "soak")
	require.NoError(t, err)
	world, err := NewWorld(program, folder, size)
	if world != nil {
		defer world.Close()
	}
	require.NoError(t, err)
	var steps strings.Builder
	result := Run(world, seed, &steps)
	t.Logf("seed %d: %d requests, %d served, %v", seed, result.Requests, result.Served, result.Counts)
	for _, violation := range result.Violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
	if t.Failed() {
		t.Logf("logs are kept in %s; faults:\n%s", folder, steps.String())
		return
	}
	_ = os.RemoveAll(folder)
}

// short is the size of the runs that all checks include.
var short = Size{VMs: 6, Engines: 6, Desks: 3, MemoryMB: 134, Rate: 25, Seconds: 12}

// Processes are stopped, paused and killed, connections are delayed, reset, cut
// one way and silenced, targets come, hang, crash and leave, and configurations
// follow each other, in series that overlap. Callers and targets must see no
// promise broken, and the fleet must serve again afterwards.
func TestShortSoak(t *testing.T) {
	soak(t, 1, short)
}

// Seeds that failed once are played again, each with the cause of its failure.
func TestKeptSeeds(t *testing.T) {
	kept := []struct {
		seed  uint64
		size  Size
		cause string
	}{
		{2210, Size{VMs: 9, Engines: 9, Desks: 3, MemoryMB: 134, Rate: 40, Seconds: 25},
			"two drafts reached their callers' own time limit while no process ran for seconds; the judge took it for a cut"},
	}
	for _, one := range kept {
		t.Run(strconv.FormatUint(one.seed, 10), func(t *testing.T) { soak(t, one.seed, one.size) })
	}
}

// TestFreshSoak plays seeds that nobody played before; see -seeds.
func TestFreshSoak(t *testing.T) {
	size := Size{VMs: *vms, Engines: *vms, Desks: 3, MemoryMB: *memoryMB, Rate: *rate, Seconds: *seconds}
	first := *from
	if first == 0 {
		first = uint64(time.Now().UnixNano() / 1e6 % 1e9)
	}
	for i := range uint64(*seeds) {
		t.Run(strconv.FormatUint(first+i, 10), func(t *testing.T) { soak(t, first+i, size) })
	}
}
