package beryledge

// This file defines the settings of a daemon.

import (
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name is the VM's readable name, used in logs.
	Name string
	// VM is the address at which peers reach this daemon; it serves as its id.
	VM            berylspoke.VMID
	FailureDomain berylspoke.FailureDomain
	Region        berylspoke.Region
	RegionOf      map[berylspoke.FailureDomain]berylspoke.Region
	// Seeds are VMs that may belong to the fleet.
	Seeds []berylspoke.VMID
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// CallersAddress, ReadyAddress, ResolveAddress, OperatorsAddress and MetricsAddress are
	// the listen addresses for callers' requests, the platform's readiness checks, callers'
	// requests for the addresses to connect to, the state dump, and the metrics.
	CallersAddress, ReadyAddress, ResolveAddress, OperatorsAddress, MetricsAddress string
	// MemoryBytes and MaxDescriptors bound the process.
	MemoryBytes    int64
	MaxDescriptors int
	// Capacity is the processor time of the VM in hundredths of a core.
	Capacity uint16
	// StopTimeout is the time after which a process that was asked to stop is
	// killed by the platform.
	StopTimeout time.Duration
	// RetryRatio and RetrySlack bound the retries of requests over the whole fleet.
	RetryRatio, RetrySlack float64
	// EntryLifetime is how long the store keeps the entry of a target that has ended; zero
	// is a default.
	EntryLifetime time.Duration
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// StoreValueBytes bounds the value of one item of the store, zero for the usual size.
	StoreValueBytes int64
	// FleetKey is the shared key with which daemons authenticate to each other.
	FleetKey string
}

// Check returns an error that names the first invalid setting.
func (settings *Settings) Check() error {
	addresses := []struct{ name, value string }{
		{"callers' address", settings.CallersAddress}, {"ready address", settings.ReadyAddress},
		{"resolve address", settings.ResolveAddress}, {"operators' address", settings.OperatorsAddress},
		{"store address", settings.StoreAddress}, {"peer address", string(settings.VM)},
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return errors.Wrapf(err, "%s %q", address.name, address.value)
		}
	}
	if settings.FailureDomain == "" {
		return errors.New("failure domain is not set")
	}
	if settings.EntryLifetime < 0 {
		return errors.New("lifetime of targets' entries is negative")
	}
	if settings.StopTimeout <= 0 {
		return errors.New("time to stop within is not positive")
	}
	if settings.RetryRatio < 0 || settings.RetrySlack < 0 {
		return errors.New("retry budget is negative")
	}
	return nil
}

// sockets returns how many sockets callers may use, and targets as many: half of the descriptors but for
// ownDescriptors. Zero means no bound.
func (settings *Settings) sockets() int {
	if settings.MaxDescriptors == 0 {
		return 0
	}
	return max(settings.MaxDescriptors-ownDescriptors, settings.MaxDescriptors/2) / 2
}

// waitsForPeers reports whether a daemon first waits until its peers send the published
// items. It does if the whole fleet is starting and the daemon is not one of the seeds,
// which read the store.
func (settings *Settings) waitsForPeers() bool {
	return settings.FirstStart && len(settings.Seeds) > 0 && !slices.Contains(settings.Seeds, settings.VM)
}
