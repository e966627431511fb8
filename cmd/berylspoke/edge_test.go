package main

// This file tests the daemon for the users' platform as a process.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/platform/beryldouble"
)

// Guards against a stop that ends by settings that the platform has replaced without a signal: the
// process is killed before its requests have ended.
func TestStopEndsByTheSettingsInTheFile(t *testing.T) {
	store, err := beryldouble.NewStore()
	require.NoError(t, err)
	defer store.Close()
	vm := beryldouble.VM{
		Name: "vm-1", Host: fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff), FailureDomain: "a", Region: "r", RegionOf: map[string]string{"a": "r"},
		StoreAddress: store.Address(), BasePort: 8700, Cores: 0.4, MemoryMB: 134, StopSeconds: 60,
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func() {
		settings, err := vm.Settings()
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, settings, 0o600))
	}
	write()
	command := exec.Command(program, "edge", "-settings", path)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	defer func() { _ = command.Process.Kill() }()
	lines := bufio.NewScanner(output)
	find := func(message string) map[string]any {
		for lines.Scan() {
			var line map[string]any
			if json.Unmarshal(lines.Bytes(), &line) == nil && line["msg"] == message {
				return line
			}
		}
		t.Fatalf("the process did not log %q", message)
		return nil
	}
	find("daemon started")
	vm.StopSeconds = 4
	write()
	signalled := time.Now()
	require.NoError(t, command.Process.Signal(syscall.SIGTERM))
	end, err := time.Parse("2006-01-02T15:04:05.999999999Z07:00", find("stopping")["end"].(string))
	require.NoError(t, err)
	require.WithinDuration(t, signalled.Add(4*time.Second), end, time.Second)
	require.NoError(t, command.Wait())
}
