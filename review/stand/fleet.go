package main

// This file defines the daemons, which run as separate processes.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	berylbinding "berylspoke/platform"
	"berylspoke/platform/beryldouble"
)

const (
	// basePort is the first port of each daemon; each has an address of its own.
	basePort = 8700
	// metricsPort is that of the deploy file.
	metricsPort = 9464
	// graceSeconds is the graceS of the installation's sheet.
	graceSeconds = 8
	startTimeout = 20 * time.Second
)

// command is the run line of the deploy file.
var command = strings.Fields("target/berylspoke edge -metrics 9464")

// domains are the failure domains and the region of the daemons.
var (
	domains  = []string{"sapporo-a", "sapporo-b", "asahikawa-a"}
	regionOf = map[string]string{"sapporo-a": "sapporo", "sapporo-b": "sapporo", "asahikawa-a": "asahikawa"}
)

// daemon is one process of the fleet.
type daemon struct {
	beryldouble.VM
	process *exec.Cmd
	exited  chan struct{}
}

// fleet is a fleet of daemons with their store.
type fleet struct {
	store   *beryldouble.Store
	folder  string
	daemons []*daemon
	// mutex guards closed and the starts of daemons after the first.
	mutex  sync.Mutex
	closed bool
}

func newFleet() (*fleet, error) {
	store, err := beryldouble.NewStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &fleet{store: store, folder: folder}, nil
}

// freeNetwork returns the first three bytes of a loopback network whose first hosts have all ports free.
func freeNetwork(hosts int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if networkFree(network, hosts) {
			return network, nil
		}
	}
	return "", errors.New("no loopback network is free")
}

func networkFree(network string, hosts int) bool {
	for i := range hosts {
		for _, port := range []int{basePort, basePort + 1, basePort + 2, basePort + 3, basePort + 4, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// start starts the given number of daemons and waits until they are ready.
func (fleet *fleet) start(count int) error {
	network, err := freeNetwork(count)
	if err != nil {
		return err
	}
	host := func(i int) string { return fmt.Sprintf("%s.%d", network, i+1) }
	for i := range count {
		domain := domains[i%len(domains)]
		vm := beryldouble.VM{
			Name: fmt.Sprintf("front-%d", i+1), Host: host(i), FailureDomain: domain, Region: regionOf[domain], RegionOf: regionOf,
			StoreAddress: fleet.store.Address(), BasePort: basePort, Cores: 0.4, MemoryMB: 284, StopSeconds: graceSeconds,
		}
		for seed := range min(count, len(domains)) {
			vm.SeedHosts = append(vm.SeedHosts, host(seed))
		}
		fleet.daemons = append(fleet.daemons, &daemon{VM: vm})
	}
	for _, daemon := range fleet.daemons {
		if err := fleet.startDaemon(daemon); err != nil {
			return err
		}
	}
	return fleet.awaitReady()
}

func (fleet *fleet) startDaemon(daemon *daemon) error {
	settings, err := daemon.Settings()
	if err != nil {
		return err
	}
	path := filepath.Join(fleet.folder, daemon.Name+".toml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(fleet.folder, daemon.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(command[0], command[1:]...)
	process.Env = append(os.Environ(), berylbinding.SettingsVariable+"="+path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	daemon.process, daemon.exited = process, exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// awaitReady waits until every daemon is ready and names all of them to callers.
func (fleet *fleet) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, daemon := range fleet.daemons {
			if daemon.IsReady() {
				ready++
			}
		}
		if ready == len(fleet.daemons) {
			// The daemons get to know each other.
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return errors.New("the daemons are not ready")
}

// restart sends a daemon SIGTERM and starts it again once it has exited, as the platform does.
func (fleet *fleet) restart(daemon *daemon) {
	_ = daemon.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-daemon.exited:
	case <-time.After(graceSeconds * time.Second):
		_ = daemon.process.Process.Kill()
		<-daemon.exited
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if !fleet.closed {
		_ = fleet.startDaemon(daemon)
	}
}

// keepLogs copies the logs of the daemons to the folder that REVIEW_LOGS names, if it is set.
func (fleet *fleet) keepLogs() {
	folder := os.Getenv("REVIEW_LOGS")
	if folder == "" {
		return
	}
	for _, daemon := range fleet.daemons {
		if body, err := os.ReadFile(filepath.Join(fleet.folder, daemon.Name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(folder, daemon.Name+".log"), body, 0o600)
		}
	}
}

// close kills the daemons and removes their files.
func (fleet *fleet) close() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.closed = true
	for _, daemon := range fleet.daemons {
		if daemon.process != nil {
			_ = daemon.process.Process.Kill()
			<-daemon.exited
		}
	}
	fleet.keepLogs()
	fleet.store.Close()
	_ = os.RemoveAll(fleet.folder)
}
