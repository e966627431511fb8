package main

// This file defines the world of a case: its store, engines, daemons and record.

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	berylbinding "berylspoke/platform"
	"berylspoke/platform/beryldouble"
)

const (
	host         = "h.example"
	apiKey       = "key-hule930"
	organisation = "hule930"
	// metricsPort is that of the deploy file's command.
	metricsPort = 9464
	// firstPort is the first port that is tried for a daemon's listen addresses.
	firstPort    = 8700
	startTimeout = 30 * time.Second
)

// world is what one case runs.
type world struct {
	began   time.Time
	folder  string
	program string
	store   *beryldouble.Store
	daemons []*daemon
	targets []*beryldouble.Target
	mutex   sync.Mutex
	record  *os.File
	runs    []beryldouble.Run
	arrived []beryldouble.Arrival
	sent    int
}

// daemon is one machine and the process on it.
type daemon struct {
	world    *world
	vm       beryldouble.VM
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// newWorld returns a world without daemons whose record is written to a file.
func newWorld(record string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	store, err := beryldouble.NewStore()
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join("target", "berylspoke"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, errors.Wrap(err, "the program is not built")
	}
	return &world{began: time.Now(), folder: folder, program: program, store: store, record: file}, nil
}

// note writes a line to the record.
func (world *world) note(format string, values ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	_, _ = fmt.Fprintf(world.record, "%8.3f %s\n", time.Since(world.began).Seconds(), fmt.Sprintf(format, values...))
}

// address returns the loopback address of a machine, which follows from this process's own id so
// that cases that run side by side share none.
func address(number int) string {
	own := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+own%128, own/128%256, 1+number)
}

// zones are the zones of the machines, all of one region; farZone is one of another region, with
// engines only.
var zones = []string{"north-a", "north-b"}

const farZone = "south-a"

// addDaemons adds machines; their processes are not started yet.
func (world *world) addDaemons(count int, storeAddress string) error {
	regions := map[string]string{farZone: "south"}
	for _, zone := range zones {
		regions[zone] = "north"
	}
	var seeds []string
	for number := range min(count, 3) {
		seeds = append(seeds, address(number))
	}
	for number := range count {
		base, err := freePorts(address(number))
		if err != nil {
			return err
		}
		vm := beryldouble.VM{
			Name: fmt.Sprintf("front-%d", number+1), Host: address(number), FailureDomain: zones[number%len(zones)], Region: "north",
			RegionOf: regions, SeedHosts: seeds, StoreAddress: storeAddress, BasePort: base, Cores: 0.4, MemoryMB: 284, StopSeconds: 8,
		}
		world.daemons = append(world.daemons, &daemon{world: world, vm: vm, settings: filepath.Join(world.folder, vm.Name+".toml")})
	}
	return nil
}

// freePorts returns the first of some ports that are free at an address.
func freePorts(host string) (int, error) {
	const ports = 8
	for base := firstPort; base < firstPort+20*ports; base += ports {
		free := true
		for port := base; port < base+ports && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.Errorf("no free ports at %s", host)
}

// start starts a daemon with the command of the deploy file.
func (daemon *daemon) start(first bool) error {
	settings, err := daemon.vm.Settings()
	if err != nil {
		return err
	}
	head := fmt.Sprintf("bootstrap = %v\n", first)
	if err := os.WriteFile(daemon.settings, append([]byte(head), settings...), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(daemon.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(daemon.world.program, "edge", "-metrics", fmt.Sprint(metricsPort))
	command.Env = append(os.Environ(), berylbinding.SettingsVariable+"="+daemon.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	daemon.command, daemon.exited = command, exited
	go func() {
		err := command.Wait()
		daemon.world.note("%s has ended: %v", daemon.vm.Name, err)
		close(exited)
	}()
	daemon.world.note("%s starts, bootstrap %v", daemon.vm.Name, first)
	return nil
}

func (daemon *daemon) logPath() string {
	return filepath.Join(daemon.world.folder, daemon.vm.Name+".log")
}

// awaitReady waits until a daemon says that it is ready.
func (daemon *daemon) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); !daemon.vm.IsReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.Errorf("%s is not ready", daemon.vm.Name)
		}
	}
	daemon.world.note("%s is ready", daemon.vm.Name)
	return nil
}

// signal sends a signal to a daemon's process.
func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.world.note("%s gets %v", daemon.vm.Name, signal)
	_ = daemon.command.Process.Signal(signal)
}

// awaitExit waits until a daemon has ended, and kills it after a time as the platform does.
func (daemon *daemon) awaitExit(timeout time.Duration) {
	select {
	case <-daemon.exited:
	case <-time.After(timeout):
		daemon.signal(syscall.SIGKILL)
		<-daemon.exited
	}
}

// startAll starts all daemons for the first time and waits until they are ready.
func (world *world) startAll() error {
	for _, daemon := range world.daemons {
		if err := daemon.start(true); err != nil {
			return err
		}
	}
	for _, daemon := range world.daemons {
		if err := daemon.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// addTarget starts an engine or a plain server.
func (world *world) addTarget(options beryldouble.TargetOptions) (*beryldouble.Target, error) {
	target, err := beryldouble.StartTarget(world.store, options, beryldouble.Observer{OnRun: world.recordRun, OnArrival: world.recordArrival})
	if err == nil {
		world.mutex.Lock()
		world.targets = append(world.targets, target)
		world.mutex.Unlock()
	}
	return target, err
}

func (world *world) recordRun(run beryldouble.Run) {
	world.mutex.Lock()
	world.runs = append(world.runs, run)
	world.mutex.Unlock()
	world.note("ran %s at %s, last event %d", run.RequestID, run.Target, run.LastEvent)
}

func (world *world) recordArrival(arrival beryldouble.Arrival) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.arrived = append(world.arrived, arrival)
}

// hasRun reports whether a request ran at an engine.
func (world *world) hasRun(id string) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return slices.ContainsFunc(world.runs, func(run beryldouble.Run) bool { return run.RequestID == id })
}

// newestRun returns the run that began last.
func (world *world) newestRun() beryldouble.Run {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if len(world.runs) == 0 {
		return beryldouble.Run{}
	}
	return world.runs[len(world.runs)-1]
}

// caller returns a caller that resolves its addresses at the given daemons.
func (world *world) caller(seed uint64, daemons ...*daemon) *beryldouble.Caller {
	var resolvers []string
	for _, daemon := range daemons {
		resolvers = append(resolvers, daemon.vm.ResolveAddress())
	}
	return beryldouble.NewCaller(seed, zones[0], "north", resolvers, nil)
}

// newID returns the id of another attempt.
func (world *world) newID() string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.sent++
	return fmt.Sprintf("%08x%08x", os.Getpid(), world.sent)
}

// send sends one attempt to an address and records it.
func (world *world) send(caller *beryldouble.Caller, address string, request beryldouble.Request) beryldouble.Result {
	request.Host = host
	if request.APIKey == "" {
		request.APIKey = apiKey
	}
	world.note("sent %s to %s%s resumes %q after event %d", request.ID, address, request.Path, request.Resumes, request.LastEvent)
	result := caller.Send(context.Background(), address, request)
	events, _ := result.Events()
	world.note("answered %s: status %d, %d events %s, whole %v, retry after %v, error %v",
		request.ID, result.Status, len(events), texts(events), result.Succeeded() && (!result.Streamed || result.HasLastEvent()), result.RetryAfter, result.Err)
	return result
}

// texts tells what the engines wrote into events, each text once.
func texts(events []beryldouble.Event) []string {
	var found []string
	for _, event := range events {
		if !slices.Contains(found, event.Text) {
			found = append(found, event.Text)
		}
	}
	return found
}

// close ends all that was started. The daemons' logs are kept if an environment variable names a folder.
func (world *world) close() {
	for _, daemon := range world.daemons {
		if daemon.exited == nil {
			continue
		}
		select {
		case <-daemon.exited:
		default:
			_ = daemon.command.Process.Kill()
			<-daemon.exited
		}
	}
	world.mutex.Lock()
	targets := slices.Clone(world.targets)
	world.mutex.Unlock()
	for _, target := range targets {
		target.Crash()
	}
	world.store.Close()
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		for _, daemon := range world.daemons {
			if body, err := os.ReadFile(daemon.logPath()); err == nil {
				_ = os.WriteFile(filepath.Join(kept, daemon.vm.Name+".log"), body, 0o600)
			}
		}
	}
	_ = os.RemoveAll(world.folder)
	_ = world.record.Close()
}
