package berylsoak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

// BenchmarkDraft measures the user and system CPU time of one daemon for a draft of
// twelve events. Callers keep their connections; the targets are fakes in this process.
func BenchmarkDraft(b *testing.B) {
	benchmarkRequests(b, beryldouble.Request{
		Host: "h.example", Path: pathDraft, APIKey: callerKey(0, 0), Method: http.MethodPost, TimeRemaining: 8 * time.Second,
		BodyBytes: 3000, InputTokens: 3000, OutputTokens: 96, Segments: "a:700,b:700,c:1600",
	}, 30)
}

// BenchmarkLook measures the same for a short request without a stream.
func BenchmarkLook(b *testing.B) {
	benchmarkRequests(b, beryldouble.Request{
		Host: "h.example", Path: pathLook, APIKey: callerKey(0, 0), Method: http.MethodGet, TimeRemaining: 3 * time.Second,
	}, 10)
}

func benchmarkRequests(b *testing.B, request beryldouble.Request, parallel int) {
	world, err := NewWorld(program, b.TempDir(), Size{VMs: 1, Engines: 30, Desks: 10, MemoryMB: 184})
	if world != nil {
		defer world.Close()
	}
	require.NoError(b, err)
	process := world.processes[0]
	var failed atomic.Int64
	var sending sync.WaitGroup
	jobs := make(chan int)
	for i := range parallel {
		caller := beryldouble.NewCaller(uint64(i), "north-a", "north", nil, nil)
		defer caller.Close()
		sending.Go(func() {
			for job := range jobs {
				numbered := request
				numbered.ID = fmt.Sprintf("bench-%d", job)
				world.judge.recordSent(numbered.ID, &attempt{path: request.Path, organisation: organisationName(0)})
				if answer := caller.Send(context.Background(), process.vm.CallersAddress(), numbered); !answer.Succeeded() {
					failed.Add(1)
				}
			}
		})
	}
	user, system := cpuMillis(b, process)
	b.ResetTimer()
	for i := range b.N {
		jobs <- i
	}
	close(jobs)
	sending.Wait()
	b.StopTimer()
	userAfter, systemAfter := cpuMillis(b, process)
	b.ReportMetric(float64(userAfter-user)/float64(b.N)*1e3, "user-us/op")
	b.ReportMetric(float64(systemAfter-system)/float64(b.N)*1e3, "system-us/op")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// cpuMillis returns the user and system CPU time of a process in milliseconds.
func cpuMillis(b *testing.B, process *process) (user, system int64) {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
	require.NoError(b, err)
	// The program name, in parentheses, may contain spaces.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const userField, systemField, tickMillis = 11, 12, 10
	user, err = strconv.ParseInt(fields[userField], 10, 64)
	require.NoError(b, err)
	system, err = strconv.ParseInt(fields[systemField], 10, 64)
	require.NoError(b, err)
	return user * tickMillis, system * tickMillis
}
