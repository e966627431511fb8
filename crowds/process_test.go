//go:build crowds

package berylcrowds

// This file defines the process that a crowd meets and what is checked of it from outside.

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// waitTimeout bounds the wait for what must happen. It is far above the usual time, so that a slow
	// machine causes no failure.
	waitTimeout = 60 * time.Second
	// sampleInterval is the time between two counts of the open descriptors.
	sampleInterval = 20 * time.Millisecond
	// smallBufferBytes is the size of the receive buffers of a crowd's callers.
	smallBufferBytes = 4 << 10
)

var program string

func TestMain(tests *testing.M) {
	folder, err := os.MkdirTemp("", "berylcrowds")
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

// process is a running process of the program.
type process struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{}
	log     string
	// maxDescriptors is the largest number of open descriptors that was seen.
	maxDescriptors atomic.Int64
}

// startProcess starts the program, which is killed as the test ends.
func startProcess(t *testing.T, arguments ...string) *process {
	t.Helper()
	started := &process{t: t, exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	log, err := os.Create(started.log)
	require.NoError(t, err)
	started.command = exec.Command(program, arguments...)
	started.command.Stdout, started.command.Stderr = log, log
	require.NoError(t, started.command.Start())
	_ = log.Close()
	go func() {
		_ = started.command.Wait()
		close(started.exited)
	}()
	go started.sample()
	t.Cleanup(started.end)
	return started
}

func (process *process) end() {
	_ = process.command.Process.Kill()
	<-process.exited
	if process.t.Failed() {
		body, _ := os.ReadFile(process.log)
		process.t.Logf("log of the process:\n%s", body[max(0, len(body)-4000):])
	}
}

// sample counts the open descriptors until the process ends.
func (process *process) sample() {
	for process.lives() {
		process.countDescriptors()
		time.Sleep(sampleInterval)
	}
}

func (process *process) countDescriptors() {
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.command.Process.Pid)); err == nil {
		process.maxDescriptors.Store(max(process.maxDescriptors.Load(), int64(len(entries))))
	}
}

func (process *process) lives() bool {
	select {
	case <-process.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory that the process had, in bytes.
func (process *process) peakMemory() int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	require.NoError(process.t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			require.NoError(process.t, err)
			return kilobytes << 10
		}
	}
	require.Fail(process.t, "the process has no peak of its memory")
	return 0
}

// check checks that the process lives within the memory and the descriptors of its VM.
func (process *process) check(name string, memoryMB, descriptors int) {
	process.t.Helper()
	require.True(process.t, process.lives(), "%s: the process has ended", name)
	process.countDescriptors()
	peak, open := process.peakMemory(), process.maxDescriptors.Load()
	process.t.Logf("%s: peak memory %d MiB of %d, descriptors %d of %d", name, peak>>20, memoryMB, open, descriptors)
	require.LessOrEqual(process.t, peak, int64(memoryMB)<<20, "%s: memory", name)
	require.LessOrEqual(process.t, open, int64(descriptors), "%s: descriptors", name)
}

func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBufferBytes)
	})
	if err != nil {
		return err
	}
	return failed
}
