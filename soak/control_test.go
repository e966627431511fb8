package berylsoak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkControl measures the bytes a second that a daemon of a fleet of thirty
// sends to the others, by message, while callers are served.
func BenchmarkControl(b *testing.B) {
	const settle, measured = 5 * time.Second, 10 * time.Second
	world, err := NewWorld(program, b.TempDir(), Size{VMs: 30, Engines: 30, Desks: 6, MemoryMB: 134, Rate: 200})
	if world != nil {
		defer world.Close()
	}
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	load := &load{world: world, random: rand.New(rand.NewPCG(1, 1))}
	var sending sync.WaitGroup
	sending.Go(func() { load.run(ctx, 1) })
	time.Sleep(settle)
	before := world.metrics(b)
	began := time.Now()
	time.Sleep(measured)
	after := world.metrics(b)
	seconds := time.Since(began).Seconds()
	cancel()
	sending.Wait()
	for name, value := range after {
		if strings.HasPrefix(name, "berylspoke_peer_") {
			each := (value - before[name]) / seconds / float64(len(world.processes))
			b.Logf("%-60s %8.0f B/s a daemon", name, each)
		}
	}
}

// metrics returns the sums of all processes' metrics.
func (world *World) metrics(b *testing.B) map[string]float64 {
	b.Helper()
	sums := make(map[string]float64)
	for _, process := range world.processes {
		response, err := http.Get("http://" + process.vm.Operators() + "/metrics")
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
