package main

// This file defines the fleets of real processes that the tests run.

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylcall"
	"berylspoke/io/berylfleet"
	"berylspoke/io/berylserve"
	"berylspoke/io/berylsettings"
)

var program string

func TestMain(tests *testing.M) {
	folder, err := os.MkdirTemp("", "berylspoke")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "berylspoke")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := tests.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// waitTimeout bounds the wait for a condition. It is far above the usual time, so
// that a slow machine causes no failure.
const waitTimeout = 60 * time.Second

// processFleet is a deployment whose daemons are separate processes.
type processFleet struct {
	*berylfleet.Fakes
	t        *testing.T
	folder   string
	running  map[berylspoke.VMID]*exec.Cmd
	settings map[berylspoke.VMID]*berylsettings.Settings
}

// startProcesses starts the fakes and one process for each VM; change may alter the
// settings of each.
func startProcesses(t *testing.T, plan berylfleet.Plan, change func(*berylsettings.Settings)) *processFleet {
	t.Helper()
	network, err := berylfleet.FindLoopbackNetwork(60)
	require.NoError(t, err)
	plan.LoopbackNetwork = network
	fakes, err := berylfleet.StartFakes(plan)
	require.NoError(t, err)
	fleet := &processFleet{
		Fakes: fakes, t: t, folder: t.TempDir(),
		running:  make(map[berylspoke.VMID]*exec.Cmd),
		settings: make(map[berylspoke.VMID]*berylsettings.Settings),
	}
	t.Cleanup(fleet.close)
	for _, vm := range plan.VMs() {
		settings := plan.Settings(vm)
		if change != nil {
			change(settings)
		}
		fleet.settings[vm.ID] = settings
		fleet.start(vm.ID)
	}
	for _, vm := range plan.VMs() {
		fleet.waitState(vm.ID, func(state berylserve.Dump) bool {
			return state.Ready && state.Version >= 1 && len(state.Members) == len(plan.VMs())
		})
	}
	return fleet
}

func (fleet *processFleet) start(vm berylspoke.VMID) {
	fleet.t.Helper()
	body, err := json.Marshal(fleet.settings[vm])
	require.NoError(fleet.t, err)
	path := filepath.Join(fleet.folder, string(vm)+".json")
	require.NoError(fleet.t, os.WriteFile(path, body, 0o600))
	command := exec.Command(program, "serve", "-settings", path)
	log, err := os.OpenFile(filepath.Join(fleet.folder, string(vm)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(fleet.t, err)
	command.Stdout, command.Stderr = log, log
	require.NoError(fleet.t, command.Start())
	_ = log.Close()
	fleet.running[vm] = command
}

// kill ends a daemon without a drain, like a crash.
func (fleet *processFleet) kill(vm berylspoke.VMID) {
	_ = fleet.running[vm].Process.Kill()
	_ = fleet.running[vm].Wait()
	delete(fleet.running, vm)
}

func (fleet *processFleet) signal(vm berylspoke.VMID, signal syscall.Signal) {
	fleet.t.Helper()
	require.NoError(fleet.t, fleet.running[vm].Process.Signal(signal))
}

func (fleet *processFleet) close() {
	if fleet.t.Failed() {
		fleet.printMembers()
	}
	for vm := range fleet.running {
		fleet.kill(vm)
	}
	fleet.Fakes.Close()
	if fleet.t.Failed() {
		fleet.printLogs()
	}
}

// printMembers logs the members that each daemon knows, with their statuses.
func (fleet *processFleet) printMembers() {
	for vm := range fleet.running {
		dump, err := fleet.state(vm)
		fleet.t.Logf("%s: ready %v, version %d, %v", vm, dump.Ready, dump.Version, err)
		for _, member := range dump.Members {
			fleet.t.Logf("  %+v", member)
		}
	}
}

func (fleet *processFleet) printLogs() {
	files, _ := filepath.Glob(filepath.Join(fleet.folder, "*.log"))
	for _, file := range files {
		body, _ := os.ReadFile(file)
		fleet.t.Logf("%s:\n%s", filepath.Base(file), body[max(0, len(body)-4000):])
	}
}

// state returns the dump of one daemon.
func (fleet *processFleet) state(vm berylspoke.VMID) (berylserve.Dump, error) {
	var dump berylserve.Dump
	request, err := http.NewRequest(http.MethodGet, "http://"+fleet.settings[vm].OperatorAddress+"/state", nil)
	if err != nil {
		return dump, err
	}
	request.Header.Set("Authorization", "Bearer "+berylfleet.OperatorToken)
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return dump, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return dump, err
	}
	return dump, json.Unmarshal(body, &dump)
}

// waitState waits until the dump of a daemon meets a condition.
func (fleet *processFleet) waitState(vm berylspoke.VMID, condition func(berylserve.Dump) bool) {
	fleet.t.Helper()
	require.Eventually(fleet.t, func() bool {
		dump, err := fleet.state(vm)
		return err == nil && condition(dump)
	}, waitTimeout, 50*time.Millisecond, "daemon of %s", vm)
}

// client returns a client of an organisation, which uses all VMs as seeds if none is
// given.
func (fleet *processFleet) client(organisation berylspoke.OrganisationID, seeds ...berylspoke.VMID) *berylcall.Client {
	options := berylcall.Options{Key: fleet.Plan.Key(organisation), SeedsOnly: len(seeds) > 0}
	for _, vm := range fleet.Plan.VMs() {
		if len(seeds) == 0 {
			options.Seeds = append(options.Seeds, vm.CallAddress)
		}
	}
	for _, vm := range seeds {
		options.Seeds = append(options.Seeds, fleet.settings[vm].CallAddress)
	}
	return berylcall.New(options)
}

func (fleet *processFleet) publish(patch *berylconfig.Patch) {
	fleet.t.Helper()
	body, err := json.Marshal(patch)
	require.NoError(fleet.t, err)
	fleet.Platform.Publish(body)
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	t.Cleanup(cancel)
	return ctx
}
