package beryledge

// This file defines the settings of a daemon.

import (
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

// Settings are what one process is started with.
type Settings struct {
	// Name is the VM's name for people, as it stands in logs.
	Name string
	// VM is the address that peers reach this daemon at, which names it.
	VM            berylspoke.VMID
	FailureDomain berylspoke.FailureDomain
	Region        berylspoke.Region
	RegionOf      map[berylspoke.FailureDomain]berylspoke.Region
	// Seeds are VMs that may belong to the fleet.
	Seeds []berylspoke.VMID
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// Callers, Ready, Resolve, Operators and Metrics are the addresses for
	// callers' requests, the platform's question whether the daemon takes them,
	// callers' question where to connect, the dump, and the metrics.
	Callers, Ready, Resolve, Operators, Metrics string
	// MemoryBytes and Descriptors bound the process.
	MemoryBytes int64
	Descriptors int
	// Capacity is the processor time of the VM in hundredths of a core.
	Capacity uint16
	// StopWithin is the time after which a process that was asked to stop is
	// killed.
	StopWithin time.Duration
	// RetryRatio and RetrySlack bound the sends beyond the first of each
	// request over the whole fleet.
	RetryRatio, RetrySlack float64
	// Store is the address of the platform's store.
	Store string
	// FleetKey is what daemons prove to each other.
	FleetKey string
}

// Check returns the first fault of the settings, named by its field.
func (settings *Settings) Check() error {
	addresses := []struct{ name, value string }{
		{"callers' address", settings.Callers}, {"ready address", settings.Ready},
		{"resolve address", settings.Resolve}, {"operators' address", settings.Operators},
		{"store address", settings.Store}, {"peer address", string(settings.VM)},
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return errors.Wrapf(err, "%s %q", address.name, address.value)
		}
	}
	if settings.FailureDomain == "" {
		return errors.New("failure domain is not set")
	}
	if settings.StopWithin <= 0 {
		return errors.New("time to stop within is not positive")
	}
	if settings.RetryRatio < 0 || settings.RetrySlack < 0 {
		return errors.New("retry budget is negative")
	}
	return nil
}

// waitsForPeers says whether a daemon lets its peers tell it first what is
// published: all start at this moment, and it is none of those that ask for all.
func (settings *Settings) waitsForPeers() bool {
	return settings.FirstStart && len(settings.Seeds) > 0 && !slices.Contains(settings.Seeds, settings.VM)
}
