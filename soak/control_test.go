package berylsoak

import (
	"bufio"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkControl measures the bytes per second that a daemon sends to its peers, by
// message, in fleets of several sizes while callers are served.
func BenchmarkControl(b *testing.B) {
	for _, vms := range []int{9, 15, 30, 60} {
		b.Run(strconv.Itoa(vms), func(b *testing.B) { benchmarkControl(b, vms) })
	}
}

func benchmarkControl(b *testing.B, vms int) {
	const settleTime, measureTime = 5 * time.Second, 10 * time.Second
	const requestsPerVM = 4
	world, err := NewWorld(program, b.TempDir(), Size{VMs: vms, Engines: vms, Desks: 6, MemoryMB: 134, RequestsPerSecond: requestsPerVM * float64(vms)})
	if world != nil {
		defer world.Close()
	}
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	generator := &generator{world: world, random: rand.New(rand.NewPCG(1, 1))}
	var sending sync.WaitGroup
	sending.Go(func() { generator.run(ctx, 1) })
	time.Sleep(settleTime)
	before := world.metrics(b)
	started := time.Now()
	time.Sleep(measureTime)
	after := world.metrics(b)
	seconds := time.Since(started).Seconds()
	cancel()
	sending.Wait()
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if perDaemon := (after[name] - before[name]) / seconds / float64(vms); strings.HasPrefix(name, "berylspoke_peer_") && perDaemon > 0 {
			b.Logf("%2d daemons  %-60s %6.0f B/s a daemon", vms, name, perDaemon)
		}
	}
}

// metrics returns the metrics summed over all processes.
func (world *World) metrics(b *testing.B) map[string]float64 {
	b.Helper()
	sums := make(map[string]float64)
	for _, process := range world.processes {
		response, err := http.Get("http://" + process.vm.OperatorsAddress() + "/metrics")
		require.NoError(b, err)
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			name, text, _ := strings.Cut(lines.Text(), " ")
			if value, err := strconv.ParseFloat(text, 64); err == nil {
				sums[name] += value
			}
		}
		require.NoError(b, response.Body.Close())
	}
	return sums
}
