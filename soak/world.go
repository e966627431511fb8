package berylsoak

// This file defines the world: the store, the targets and the processes.

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"berylspoke/io/berylstand"
	"berylspoke/platform/beryldouble"
)

const (
	// portBase is the first port of each process; all have an address of their own.
	portBase = 8700
	// startPatience bounds the wait for a process to be ready, far above what it
	// takes, so that a busy machine changes no verdict.
	startPatience = 60 * time.Second
	// stopSeconds is the time that a process has to stop.
	stopSeconds = 8
)

// Size says how large a world is.
type Size struct {
	VMs, Engines, Desks int
	// MemoryMB bounds each process's memory; it is what its settings say.
	MemoryMB int
	// Rate is the requests a second of all callers.
	Rate float64
	// Seconds is how long faults come.
	Seconds int
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
	// gone is closed when the present run has ended; ending is set from when it
	// is asked to end until the next run.
	gone   chan struct{}
	ending bool
	// boots counts the runs.
	boots int
}

// World is a running fleet and what surrounds it.
type World struct {
	size      Size
	program   string
	folder    string
	store     *beryldouble.Store
	judge     *Judge
	processes []*process
	mutex     sync.Mutex
	targets   map[string]*target
	version   int
	born      int
}

// target is a target and the relay in front of it.
type target struct {
	*beryldouble.Target
	service string
	relay   *berylstand.StreamRelay
}

// NewWorld starts a world in a folder, with the program built beforehand.
func NewWorld(program, folder string, size Size) (*World, error) {
	store, err := beryldouble.NewStore()
	if err != nil {
		return nil, err
	}
	world := &World{
		size: size, program: program, folder: folder, store: store, judge: newJudge(),
		targets: make(map[string]*target),
	}
	if err := world.publish(declared{}); err != nil {
		return nil, err
	}
	for i := range size.Engines + size.Desks {
		service := engines
		if i >= size.Engines {
			service = desks
		}
		if _, err := world.addTarget(service); err != nil {
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

// network is the second byte of the loopback addresses, drawn so that two worlds
// on one machine do not meet.
func network() int { return 64 + os.Getpid()%128 }

func (world *World) addProcess(i int) error {
	regions := make(map[string]string)
	for _, domain := range domains {
		regions[domain.name] = domain.region
	}
	host := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", network(), 1+i/200, 1+i%200) }
	here := domains[i%len(domains)]
	store, err := berylstand.NewStreamRelay("127.0.0.1:0", world.store.Address())
	if err != nil {
		return err
	}
	vm := beryldouble.VM{
		Name: fmt.Sprintf("vm-%d", i+1), Host: host(i), FailureDomain: here.name, Region: here.region,
		RegionOf: regions, StoreAddress: store.Address(), Base: portBase, Cores: 0.4,
		MemoryMB: world.size.MemoryMB, StopSeconds: stopSeconds,
	}
	for seed := range min(len(domains), world.size.VMs) {
		vm.SeedHosts = append(vm.SeedHosts, host(seed))
	}
	callers, err := berylstand.NewStreamRelay("127.0.0.1:0", vm.Callers())
	if err != nil {
		return err
	}
	process := &process{vm: vm, path: filepath.Join(world.folder, vm.Name+".toml"), store: store, callers: callers}
	world.processes = append(world.processes, process)
	settings, err := vm.Settings()
	if err != nil {
		return err
	}
	return os.WriteFile(process.path, settings, 0o600)
}

// start starts a process; its log goes to a file of its name.
func (world *World) start(process *process) error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
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
	gone := make(chan struct{})
	process.command, process.gone, process.ending = command, gone, false
	process.boots++
	go func() {
		err := command.Wait()
		process.mutex.Lock()
		asked := process.ending
		process.mutex.Unlock()
		if !asked {
			world.judge.exited(process.vm.Name, err)
		}
		close(gone)
	}()
	return nil
}

// signal sends a signal to the present run of a process.
func (process *process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	select {
	case <-process.gone:
	default:
		_ = process.command.Process.Signal(signal)
	}
}

// claim reserves the right to end the present run; it returns false if somebody
// else ends it already.
func (process *process) claim() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	claimed := !process.ending
	process.ending = true
	return claimed
}

// end waits until the present run is gone, killing it where it outstays its time.
func (process *process) end(within time.Duration) {
	select {
	case <-process.gone:
	case <-time.After(within):
		process.signal(syscall.SIGKILL)
		<-process.gone
	}
}

// boot names the present run of the process at an address.
func (world *World) boot(address string) string {
	for _, process := range world.processes {
		if process.vm.Callers() == address {
			process.mutex.Lock()
			defer process.mutex.Unlock()
			return fmt.Sprintf("%s run %d", process.vm.Name, process.boots)
		}
	}
	return address
}

// awaitReady waits until all of some processes are ready.
func (world *World) awaitReady(processes []*process) error {
	deadline := time.Now().Add(startPatience)
	for _, process := range processes {
		for !process.vm.TakesRequests() {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready", process.vm.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// addTarget starts one more target of a service.
func (world *World) addTarget(service string) (*target, error) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.born++
	added := &target{service: service}
	options := beryldouble.TargetOptions{
		ID: fmt.Sprintf("t-%d", world.born), Service: service, FailureDomain: domains[world.born%len(domains)].name,
		Slots: 8, Work: 20 * time.Millisecond,
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
	if service == engines {
		options.Slots, options.Events, options.Pause = 16, 12, 30*time.Millisecond
	}
	started, err := beryldouble.StartTarget(world.store, options, world.judge.ran)
	if err != nil {
		return nil, err
	}
	added.Target = started
	world.targets[options.ID] = added
	return added, nil
}

// Close ends all that the world started, by its ids.
func (world *World) Close() {
	for _, process := range world.processes {
		if process.gone == nil {
			continue
		}
		process.claim()
		process.signal(syscall.SIGKILL)
		process.end(time.Second)
		process.store.Close()
		process.callers.Close()
	}
	for _, target := range world.targets {
		target.Crash()
		target.relay.Close()
	}
	world.store.Close()
}

// through maps the address of a daemon to the relay before it.
func (world *World) through(address string) string {
	for _, process := range world.processes {
		if process.vm.Callers() == address {
			return process.callers.Address()
		}
	}
	return address
}

// directories returns the resolve addresses, those of a failure domain first.
func (world *World) directories(domain string) []string {
	var near, far []string
	for _, process := range world.processes {
		if process.vm.FailureDomain == domain {
			near = append(near, process.vm.Resolve())
		} else {
			far = append(far, process.vm.Resolve())
		}
	}
	return append(near, far...)
}
