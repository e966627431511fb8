package main

// This file defines the command that runs a daemon on the users' platform.

import (
	"bytes"
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"berylspoke/io/beryledge"
	"berylspoke/io/beryllog"
	berylbinding "berylspoke/platform"
)

const (
	// memoryLimitFraction is the fraction of the process's memory above which the
	// runtime collects garbage eagerly; the rest is for stacks and kernel buffers.
	memoryLimitFraction = 0.6
	// settingsPollInterval is the time between two reads of the settings file, which
	// may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// settingsStartTimeout bounds the wait for valid settings as a process starts, and
	// settingsStartInterval is the time between two reads.
	settingsStartTimeout  = 2 * time.Second
	settingsStartInterval = 20 * time.Millisecond
	// defaultFleetKey is used where the platform provides no secrets. Then only the
	// platform's network protects the traffic between daemons.
	defaultFleetKey = "berylspoke: no secret on this platform"
)

type edgeCommand struct{ settings, fleetKey, metrics, level string }

func (*edgeCommand) Name() string     { return "edge" }
func (*edgeCommand) Synopsis() string { return "run a daemon on the users' platform" }
func (*edgeCommand) Usage() string {
	return `edge [-settings FILE]

Runs one daemon until SIGTERM, which drains it: it is no longer listed in resolve
answers and stops once no request is running and no new ones arrive. SIGHUP reloads
the settings.

`
}

func (command *edgeCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.settings, "settings", "", "settings `file` of the platform (default $"+berylbinding.SettingsVariable+")")
	flags.StringVar(&command.fleetKey, "fleetKey", defaultFleetKey, "`key` that the daemons of one fleet share")
	flags.StringVar(&command.metrics, "metrics", "", "additional `port` for metrics")
	flags.StringVar(&command.level, "logLevel", "info", "minimum `level` that is logged")
}

func (command *edgeCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	signals := notifySignals()
	level, err := zap.ParseAtomicLevel(command.level)
	if err != nil {
		return fail(err)
	}
	path := command.settings
	if path == "" {
		if path, err = berylbinding.SettingsPath(); err != nil {
			return fail(err)
		}
	}
	settings, seen, err := loadAtStart(path)
	if err != nil {
		return fail(err)
	}
	settings.FleetKey = command.fleetKey
	if command.metrics != "" {
		settings.MetricsAddress = settings.VM.Host() + ":" + command.metrics
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	log := beryllog.New(os.Stdout, level.Level())
	defer func() { _ = log.Sync() }()
	store := berylbinding.NewStore(settings.StoreAddress)
	store.Limit(settings.StoreValueBytes, settings.MemoryBytes)
	daemon, err := beryledge.Start(settings, berylbinding.Dialect{}, store, berylbinding.Endpoints, log)
	if err != nil {
		return fail(err)
	}
	command.reloadUntilStopped(path, seen, daemon, signals, log)
	daemon.Stop()
	return subcommands.ExitSuccess
}

// loadAtStart reads the settings file, which may still be being written. It returns the content from
// before too, so that what changes meanwhile is applied later.
func loadAtStart(path string) (settings *beryledge.Settings, seen []byte, err error) {
	for until := time.Now().Add(settingsStartTimeout); ; time.Sleep(settingsStartInterval) {
		seen, _ = os.ReadFile(path)
		if settings, err = berylbinding.LoadSettings(path); err == nil || time.Now().After(until) {
			return settings, seen, err
		}
	}
}

// signals are those that ask a process to stop, or to reload its settings. They have channels of their
// own, as a signal is dropped if its channel is full.
type signals struct{ stop, reload chan os.Signal }

// notifySignals begins to receive signals, and makes writes to a closed standard output fail instead of
// ending the process.
func notifySignals() signals {
	received := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(received.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(received.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return received
}

// reloadUntilStopped applies changes of the settings, whose content was seen before, until a signal
// asks the process to stop, and those that the file holds by then: the stop ends by its settings.
func (command *edgeCommand) reloadUntilStopped(path string, seen []byte, daemon *beryledge.Daemon, signals signals, log *zap.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		stopped := false
		select {
		case <-signals.stop:
			stopped = true
		case <-signals.reload:
		case <-ticker.C:
		}
		if body, err := os.ReadFile(path); err == nil && !bytes.Equal(body, seen) {
			seen = body
			command.reload(path, daemon, log)
		}
		if stopped {
			return
		}
	}
}

// reload applies the settings in the file.
func (command *edgeCommand) reload(path string, daemon *beryledge.Daemon, log *zap.Logger) {
	settings, err := berylbinding.LoadSettings(path)
	if err != nil {
		log.Warn("changed settings cannot be loaded; the previous ones stay in use", zap.String("error", err.Error()))
		return
	}
	daemon.Reload(settings)
}
