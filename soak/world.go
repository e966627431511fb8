package berylsoak

// This file defines the world: the store, the targets and the processes.

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"berylspoke/io/berylstand"
	"berylspoke/platform/beryldouble"
)

const (
	// basePort is the first port of each process; each process has its own address.
	basePort = 8700
	// startTimeout bounds the wait for a process to be ready. It is far above the
	// usual time, so that a busy machine causes no failure.
	startTimeout = 60 * time.Second
	// usualStopSeconds is the stop timeout in the settings of each process.
	usualStopSeconds = 8
)

// Size is the size of a world.
type Size struct {
	VMs, Engines, Desks int
	// MemoryMB is the memory limit in the settings of each process.
	MemoryMB int
	// RequestsPerSecond is the request rate of all callers together.
	RequestsPerSecond float64
	// Seconds is how long faults are injected.
	Seconds int
	// Advice adds targets that ask in their answers to be left alone.
	Advice bool
	// Versions adds engines of several versions, and callers that take up streams.
	Versions bool
	// Returns adds returns of the store from an older copy.
	Returns bool
	// Stops leaves only planned operations, draws the times to stop within, the timeouts and the
	// work, and stops processes in series. Seed draws what the world consists of.
	Stops bool
	Seed  uint64
	// Parts adds requests with parts of prompts that crash engines, and engines that answer with
	// neither a length nor chunks.
	Parts bool
	// Odd adds entries of another writer to the list of targets.
	Odd bool
	// Scenes plays faults in a set order that meet each other, beside a few others.
	Scenes bool
	// Shape describes the world and its load in place of the fields above, nil for none. Then there are
	// planned operations only, unless Unplanned is set.
	Shape     *Shape
	Unplanned bool
	// Quota is the share of a core that each process has as a quota in each tenth of a second, zero for
	// none.
	Quota float64
}

// domains are the failure domains and their regions.
var domains = []struct{ name, region string }{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}}

// process is one VM and the process on it.
type process struct {
	vm      beryldouble.VM
	path    string
	store   *berylstand.StreamRelay
	callers *berylstand.StreamRelay
	mutex   sync.Mutex
	command *exec.Cmd
	// exited is closed when the current run has exited. stopping is set from the
	// decision to stop it until the start of the next run.
	exited   chan struct{}
	stopping bool
	// runCount is the number of runs started.
	runCount int
	// suspended is set while a fault suspends the process.
	suspended atomic.Bool
}

// World is a running fleet with its store, targets and relays.
type World struct {
	size      Size
	ctx       context.Context
	program   string
	folder    string
	store     *beryldouble.Store
	judge     *Judge
	processes []*process
	mutex     sync.Mutex
	targets   map[string]*target
	// started holds the last run of each target that was ever started.
	started        map[string]*beryldouble.Target
	version        int
	targetsStarted int
	// padding is the number of organisations that make the configuration large, sparse counts the
	// requests of the one that sends few.
	padding int
	sparse  atomic.Int64
	// shapeState is what the published version of a shape has, idleTimeout its idle timeout.
	shapeState  shapeState
	idleTimeout atomic.Int64
	// loadFactor is the factor by which callers send more than usual.
	loadFactor atomic.Int64
}

// target is a target and the relay in front of it.
type target struct {
	*beryldouble.Target
	service string
	relay   *berylstand.StreamRelay
}

// closeRelay closes the relay in front of a target, if there is one.
func (target *target) closeRelay() {
	if target.relay != nil {
		target.relay.Close()
	}
}

// NewWorld starts a world that runs the given program and keeps its files in folder.
func NewWorld(program, folder string, size Size) (*World, error) {
	store, err := beryldouble.NewStore()
	if err != nil {
		return nil, err
	}
	world := &World{
		size: size, ctx: context.Background(), program: program, folder: folder, store: store, judge: newJudge(),
		targets: make(map[string]*target), started: make(map[string]*beryldouble.Target),
	}
	if size.Shape != nil {
		world.beginShape()
	}
	world.judge.oddEntries = size.Odd
	if err := world.publish(configState{}); err != nil {
		return nil, err
	}
	for i := range size.Engines + size.Desks {
		service := engineService
		if i >= size.Engines {
			service = deskService
		}
		if _, err := world.addTarget(service); err != nil {
			return nil, err
		}
	}
	if size.Shape != nil {
		if err := world.addShapeTargets(); err != nil {
			return nil, err
		}
	}
	for i := range size.VMs {
		if err := world.addProcess(i); err != nil {
			return nil, err
		}
	}
	for _, process := range world.processes {
		if err := world.start(process); err != nil {
			return nil, err
		}
	}
	return world, world.awaitReady(world.processes)
}

// host returns the loopback address of a process. It is derived from the id of the soak's own process,
// so that concurrent soaks on one machine share no addresses.
func host(i int) string {
	const perNetwork = 200
	own := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+own%128, (own/128+i/perNetwork)%256, 1+i%perNetwork)
}

func (world *World) addProcess(i int) error {
	regions := make(map[string]string)
	for _, domain := range domains {
		regions[domain.name] = domain.region
	}
	ownDomain := domains[i%len(domains)]
	store, err := berylstand.NewStreamRelay("127.0.0.1:0", world.store.Address())
	if err != nil {
		return err
	}
	vm := beryldouble.VM{
		Name: fmt.Sprintf("vm-%d", i+1), Host: host(i), FailureDomain: ownDomain.name, Region: ownDomain.region,
		RegionOf: regions, StoreAddress: store.Address(), BasePort: basePort, Cores: 0.4,
		MemoryMB: world.size.MemoryMB, StopSeconds: world.stopSeconds(),
	}
	if world.size.Shape != nil {
		vm.Cores = world.size.Shape.Cores
	}
	for seed := range min(len(domains), world.size.VMs) {
		vm.SeedHosts = append(vm.SeedHosts, host(seed))
	}
	callers, err := berylstand.NewStreamRelay("127.0.0.1:0", vm.CallersAddress())
	if err != nil {
		return err
	}
	process := &process{vm: vm, path: filepath.Join(world.folder, vm.Name+".toml"), store: store, callers: callers}
	world.processes = append(world.processes, process)
	return world.writeSettings(process)
}

// writeSettings writes the settings of the next run of a process.
func (world *World) writeSettings(process *process) error {
	process.vm.Bootstrap = world.size.Scenes && process.runCount == 0
	settings, err := process.vm.Settings()
	if err != nil {
		return err
	}
	return os.WriteFile(process.path, settings, 0o600)
}

// start starts a process and appends its output to its log file.
func (world *World) start(process *process) error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if err := world.writeSettings(process); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(world.folder, process.vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(world.program, "edge", "-settings", process.path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	process.command, process.exited, process.stopping = command, exited, false
	process.runCount++
	go func() {
		err := command.Wait()
		process.mutex.Lock()
		requested := process.stopping
		process.mutex.Unlock()
		if !requested {
			world.judge.recordExit(process.vm.Name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current run of a process, unless it has exited.
func (process *process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	select {
	case <-process.exited:
	default:
		_ = process.command.Process.Signal(signal)
	}
}

// claimStop reserves the right to stop the current run. It returns false if the run
// is being stopped already.
func (process *process) claimStop() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	claimed := !process.stopping
	process.stopping = true
	return claimed
}

// awaitExit waits until the current run has exited. It kills it after the timeout and returns false.
func (process *process) awaitExit(timeout time.Duration) bool {
	select {
	case <-process.exited:
		return true
	case <-time.After(timeout):
		process.signal(syscall.SIGKILL)
		<-process.exited
		return false
	}
}

// currentRun returns the name of the current run of the process at an address.
func (world *World) currentRun(address string) string {
	for _, process := range world.processes {
		if process.vm.CallersAddress() == address {
			process.mutex.Lock()
			defer process.mutex.Unlock()
			return fmt.Sprintf("%s run %d", process.vm.Name, process.runCount)
		}
	}
	return address
}

// awaitReady waits until all given processes are ready.
func (world *World) awaitReady(processes []*process) error {
	deadline := time.Now().Add(startTimeout)
	for _, process := range processes {
		for !process.vm.IsReady() {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready", process.vm.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// targetOptions returns the options of another target of a service. Its relay is started
// with it.
func (world *World) targetOptions(added *target) beryldouble.TargetOptions {
	world.targetsStarted++
	options := beryldouble.TargetOptions{
		ID: fmt.Sprintf("t-%d", world.targetsStarted), Service: added.service, FailureDomain: domains[world.targetsStarted%len(domains)].name,
		Slots: 8, ProcessingTime: 20 * time.Millisecond,
		Advertise: func(address string) string {
			if added.relay == nil {
				relay, err := berylstand.NewStreamRelay("127.0.0.1:0", address)
				if err != nil {
					return address
				}
				added.relay = relay
			}
			return added.relay.Address()
		},
	}
	if world.size.Stops {
		options.Slots, options.Work = stopSlots, workOf
	}
	if world.size.Shape != nil {
		world.shapeTargetOptions(&options)
		return options
	}
	if added.service == engineService {
		options.Slots, options.Events, options.EventInterval = 16, 12, 30*time.Millisecond
		options.Version = versionName(0)
		if world.size.Versions && !world.size.Stops {
			options.Events = streamEvents
		}
		if world.size.Parts {
			world.makeFragile(&options)
		}
		if world.size.Scenes {
			options.EventInterval = sceneEventInterval
			options.Crashes = func(parts []string) bool { return slices.Contains(parts, sparseBadPart) }
		}
	}
	return options
}

// startTarget starts a target and adds it to the world.
func (world *World) startTarget(added *target, options beryldouble.TargetOptions) error {
	options.OnCrash = func(crashed *beryldouble.Target) { world.crashByPart(added, crashed) }
	started, err := beryldouble.StartTarget(world.store, options, beryldouble.Observer{
		OnRun: world.judge.recordRun, OnArrival: world.judge.recordArrival, OnWhole: world.judge.recordWhole,
	})
	if err != nil {
		return err
	}
	added.Target = started
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.targets[options.ID], world.started[options.ID] = added, started
	return nil
}

// addTarget starts another target of a service.
func (world *World) addTarget(service string) (*target, error) {
	added := &target{service: service}
	world.mutex.Lock()
	options := world.targetOptions(added)
	world.mutex.Unlock()
	return added, world.startTarget(added, options)
}

// Close stops all processes and targets that the world started, and its store.
func (world *World) Close() {
	for _, process := range world.processes {
		if process.exited == nil {
			continue
		}
		process.claimStop()
		process.signal(syscall.SIGKILL)
		process.awaitExit(time.Second)
		process.store.Close()
		process.callers.Close()
	}
	for _, target := range world.targets {
		target.Crash()
		target.closeRelay()
	}
	world.store.Close()
}

// relayAddress returns the address of the relay in front of a daemon.
func (world *World) relayAddress(address string) string {
	for _, process := range world.processes {
		if process.vm.CallersAddress() == address {
			return process.callers.Address()
		}
	}
	return address
}

// resolveAddresses returns the resolve addresses, those of the failure domain first.
func (world *World) resolveAddresses(domain string) []string {
	var near, far []string
	for _, process := range world.processes {
		if process.vm.FailureDomain == domain {
			near = append(near, process.vm.ResolveAddress())
		} else {
			far = append(far, process.vm.ResolveAddress())
		}
	}
	return append(near, far...)
}
