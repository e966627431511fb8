package berylfleet

// This file defines a fleet whose daemons run in one process.

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/io/berylserve"
	"berylspoke/io/berylsettings"
)

// Embedded is a deployment in one process: fakes and daemons.
type Embedded struct {
	*Fakes
	Daemons map[berylspoke.VMID]*berylserve.Daemon
	log     *zap.Logger
	modify  func(*berylsettings.Settings)
}

// StartEmbedded starts fakes and daemons; modify, if not nil, changes the settings of
// each daemon.
func StartEmbedded(plan Plan, log *zap.Logger, modify func(*berylsettings.Settings)) (*Embedded, error) {
	fakes, err := StartFakes(plan)
	if err != nil {
		return nil, err
	}
	fleet := &Embedded{Fakes: fakes, Daemons: make(map[berylspoke.VMID]*berylserve.Daemon), log: log, modify: modify}
	for _, vm := range plan.VMs() {
		if err := fleet.StartDaemon(vm); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, nil
}

// StartDaemon starts or restarts the daemon of a VM.
func (fleet *Embedded) StartDaemon(vm berylspoke.VM) error {
	settings := fleet.Plan.Settings(vm)
	if fleet.modify != nil {
		fleet.modify(settings)
	}
	daemon, err := berylserve.Start(settings, fleet.log)
	if err != nil {
		return errors.Wrapf(err, "daemon of %s", vm.ID)
	}
	fleet.Daemons[vm.ID] = daemon
	return nil
}

// pollInterval is the time between two checks whether a daemon is ready.
const pollInterval = 20 * time.Millisecond

// WaitReady waits until every daemon is ready, knows all members and has at least the
// given configuration version in force.
func (fleet *Embedded) WaitReady(ctx context.Context, version berylspoke.ConfigVersion) error {
	for _, daemon := range fleet.Daemons {
		for {
			state, err := daemon.State(ctx)
			if err != nil {
				return errors.Wrapf(err, "daemon of %s is not ready", daemon.VM())
			}
			if state.Ready && state.Version >= version && fleet.isComplete(len(state.Members)) {
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// isComplete reports whether a daemon with this number of members knows all of them.
func (fleet *Embedded) isComplete(members int) bool { return members >= len(fleet.Plan.VMs()) }

// Close kills the daemons and stops the fakes.
func (fleet *Embedded) Close() {
	for _, daemon := range fleet.Daemons {
		daemon.Kill()
	}
	fleet.Fakes.Close()
}
