package berylfleet

// This file defines a fleet whose daemons run within one process.

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/io/berylserve"
	"berylspoke/io/berylsettings"
)

// Embedded is a deployment within one process.
type Embedded struct {
	*Stands
	Daemons map[berylspoke.VMID]*berylserve.Daemon
	log     *zap.Logger
	change  func(*berylsettings.Settings)
}

// StartEmbedded starts stand-ins and daemons; change may alter the settings of
// each daemon and may be nil.
func StartEmbedded(plan Plan, log *zap.Logger, change func(*berylsettings.Settings)) (*Embedded, error) {
	stands, err := StartStands(plan)
	if err != nil {
		return nil, err
	}
	fleet := &Embedded{Stands: stands, Daemons: make(map[berylspoke.VMID]*berylserve.Daemon), log: log, change: change}
	for _, vm := range plan.VMs() {
		if err := fleet.StartDaemon(vm); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, nil
}

// StartDaemon starts, or starts again, the daemon of one VM.
func (fleet *Embedded) StartDaemon(vm berylspoke.VM) error {
	settings := fleet.Plan.Settings(vm)
	if fleet.change != nil {
		fleet.change(settings)
	}
	daemon, err := berylserve.Start(settings, fleet.log)
	if err != nil {
		return errors.Wrapf(err, "daemon of %s", vm.ID)
	}
	fleet.Daemons[vm.ID] = daemon
	return nil
}

// lookEvery is the time between two looks while waiting for a condition.
const lookEvery = 20 * time.Millisecond

// WaitReady waits until every daemon serves the given version.
func (fleet *Embedded) WaitReady(ctx context.Context, version berylspoke.ConfigVersion) error {
	for _, daemon := range fleet.Daemons {
		for {
			state, err := daemon.State(ctx)
			if err != nil {
				return errors.Wrapf(err, "daemon of %s is not ready", daemon.VM())
			}
			if state.Ready && state.Version >= version && fleet.known(len(state.Members)) {
				break
			}
			time.Sleep(lookEvery)
		}
	}
	return nil
}

func (fleet *Embedded) known(members int) bool { return members >= len(fleet.Plan.VMs()) }

// Close stops everything.
func (fleet *Embedded) Close() {
	for _, daemon := range fleet.Daemons {
		daemon.Kill()
	}
	fleet.Stands.Close()
}
