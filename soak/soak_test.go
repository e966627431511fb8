package berylsoak

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seeds    = flag.Int("seeds", 0, "number of fresh seeds to run in TestFreshSoak")
	from     = flag.Uint64("from", 0, "first fresh seed; derived from the clock if zero")
	vms      = flag.Int("vms", 9, "number of processes with a fresh seed")
	seconds  = flag.Int("seconds", 25, "seconds of faults with a fresh seed")
	rate     = flag.Float64("rate", 40, "requests per second with a fresh seed")
	advice   = flag.Bool("advice", true, "whether targets of a fresh seed ask to be left alone")
	versions = flag.Bool("versions", true, "whether engines of a fresh seed have several versions and callers take up streams")
	built    = flag.String("program", "", "program to soak, built from this repository if empty")
	returns  = flag.Bool("returns", true, "whether the store returns from older copies with a fresh seed")
	parts    = flag.Bool("parts", true, "whether parts of prompts crash engines with a fresh seed")
	scenes   = flag.Bool("scenes", false, "whether a fresh seed plays scenes: faults in a set order that meet each other")
	stops    = flag.Bool("stops", false, "whether a fresh seed has planned operations only, with stops in series")
	memoryMB = flag.Int("memoryMB", 134, "memory limit in the settings of each process")
)

var program string

func TestMain(tests *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "berylsoak")
	if err != nil {
		panic(err)
	}
	program = *built
	if program == "" {
		program = filepath.Join(folder, "berylspoke")
		build := exec.Command("go", "build", "-o", program, "../cmd/berylspoke")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			panic(err)
		}
	}
	go reportSignals()
	code := tests.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// reportSignals names the signal that ends the soak, which would otherwise end without a
// line while its processes go on.
func reportSignals() {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	_, _ = fmt.Fprintf(os.Stderr, "soak is ended by the signal %q\n", <-received)
	os.Exit(1)
}

// soak runs one seed and fails the test for each violated guarantee.
func soak(t *testing.T, seed uint64, size Size) {
	t.Helper()
	size.Seed = seed
	folder, err := os.MkdirTemp("", "soak")
	require.NoError(t, err)
	world, err := NewWorld(program, folder, size)
	if world != nil {
		defer world.Close()
	}
	require.NoError(t, err)
	var steps strings.Builder
	result := Run(world, seed, &steps)
	t.Logf("seed %d: %d requests, %d served, %v", seed, result.Requests, result.Served, result.AnswerCounts)
	for _, line := range slices.Concat(result.Parts, result.Summary) {
		t.Logf("seed %d: %s", seed, line)
	}
	if size.Versions {
		t.Logf("seed %d: streams at processes in touch: %+v", seed, result.Streams)
	}
	if size.Stops {
		t.Logf("seed %d: requests that met a planned stop: %+v", seed, result.Stops)
	}
	for _, violation := range result.Violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
	checkPanics(t, folder)
	if t.Failed() {
		t.Logf("logs are kept in %s; faults:\n%s", folder, steps.String())
		return
	}
	_ = os.RemoveAll(folder)
}

// checkPanics fails the test for each process whose log tells of a panic that it has survived.
func checkPanics(t *testing.T, folder string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	require.NoError(t, err)
	for _, log := range logs {
		text, err := os.ReadFile(log)
		require.NoError(t, err)
		if at := bytes.Index(text, []byte(`"msg":"message of the core failed"`)); at >= 0 {
			t.Errorf("%s: %.2000s", log, text[at:])
		}
	}
}

// shortSize is the size of the soak that every test run includes.
var shortSize = Size{VMs: 6, Engines: 6, Desks: 3, MemoryMB: 134, RequestsPerSecond: 25, Seconds: 12}

// Processes are stopped, suspended and killed, connections are delayed, reset,
// cut in one direction and black-holed, targets join, hang, crash and drain, and
// configurations change, with faults that repeat and overlap. Guards against violated
// guarantees at callers and targets and against a fleet that does not recover.
func TestShortSoak(t *testing.T) {
	soak(t, 1, shortSize)
}

// Targets say in answers that they leave, or ask for rest, beside the faults of the other
// soaks. Guards against requests that reach them all the same.
func TestAdviceSoak(t *testing.T) {
	size := shortSize
	size.Advice = true
	soak(t, 2, size)
}

// The store returns from older copies while targets leave, start and end, configurations
// change, and processes restart or are cut off. Guards against targets that are missed or come
// back, and against a configuration that goes back.
func TestReturnSoak(t *testing.T) {
	size := shortSize
	size.Returns = true
	soak(t, 3, size)
}

// Engines of several versions serve side by side and are replaced, restart under their ids, and
// callers take up streams, beside the faults of the other soaks. Guards against streams that hold
// events of two versions, lack events, or do not go on.
func TestVersionSoak(t *testing.T) {
	size := shortSize
	size.Versions = true
	soak(t, 4, size)
}

// Requests with parts of prompts that crash engines come at all processes, beside sound ones that
// share their key, their first part or a companion, and beside the faults of the other soaks; engines
// end in all ways and answer with and without framing. Guards against requests with such a part that
// reach engines once five have crashed, and against sound ones that do not begin.
func TestPartsSoak(t *testing.T) {
	size := shortSize
	size.Parts = true
	size.Seconds, size.RequestsPerSecond = 18, 50
	soak(t, 5, size)
}

// Processes are stopped in series, with signals in between, while callers keep their addresses and send
// short and long requests with slow bodies, and timeouts change. Guards against requests that a stop
// cuts, and against those that it rejects though they would end in time.
func TestStopSoak(t *testing.T) {
	size := shortSize
	size.Stops = true
	size.Seconds, size.RequestsPerSecond = 16, 50
	soak(t, 6, size)
}

// Engines become doubtful all at once and one crashes; an engine crashes beside a part that crashes
// engines; large configurations come while the store is slow; all processes but one restart in turn and that
// one is killed; targets answer without end; all processes are killed. Engines of several versions serve,
// and callers take up streams. Guards against streams of two versions, an organisation that is locked out, a
// configuration that is not followed, streams that do not go on, and processes beyond their memory.
func TestSceneSoak(t *testing.T) {
	size := shortSize
	size.Versions, size.Scenes = true, true
	size.Seconds, size.RequestsPerSecond = 24, 40
	soak(t, 7, size)
}

// Runs the seeds that failed before; each entry names the cause of its failure.
func TestRegressionSeeds(t *testing.T) {
	regressions := []struct {
		seed  uint64
		size  Size
		cause string
	}{
		{2210, Size{VMs: 9, Engines: 9, Desks: 3, MemoryMB: 134, RequestsPerSecond: 40, Seconds: 25},
			"two drafts reached their callers' own deadline while no process ran for seconds; the judge mistook this for a cut"},
	}
	for _, regression := range regressions {
		t.Run(strconv.FormatUint(regression.seed, 10), func(t *testing.T) { soak(t, regression.seed, regression.size) })
	}
}

// TestFreshSoak runs fresh seeds; see -seeds.
func TestFreshSoak(t *testing.T) {
	size := Size{VMs: *vms, Engines: *vms, Desks: 3, MemoryMB: *memoryMB, RequestsPerSecond: *rate, Seconds: *seconds, Advice: *advice, Returns: *returns, Versions: *versions, Parts: *parts, Odd: *odd}
	if *stops {
		size.Stops, size.Advice, size.Returns, size.Versions, size.Parts = true, false, false, false, false
	}
	if *scenes {
		size.Scenes, size.Versions, size.Advice, size.Returns, size.Parts, size.Stops = true, true, false, false, false, false
	}
	first := *from
	if first == 0 {
		first = uint64(time.Now().UnixNano() / 1e6 % 1e9)
	}
	for i := range uint64(*seeds) {
		t.Run(strconv.FormatUint(first+i, 10), func(t *testing.T) { soak(t, first+i, size) })
	}
}
