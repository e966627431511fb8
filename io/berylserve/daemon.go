package berylserve

// This file defines the assembly, the start and the stop of a daemon.

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylnode"
	"berylspoke/core/berylticket"
	"berylspoke/io/berylpeer"
	"berylspoke/io/berylplatform"
	"berylspoke/io/berylsettings"
	"berylspoke/io/beryltarget"
)

// Daemon is one running router.
type Daemon struct {
	settings  *berylsettings.Settings
	log       *zap.Logger
	system    *actor.ActorSystem
	core      *actor.PID
	transport *berylpeer.Transport
	targets   *beryltarget.Client
	platform  berylspoke.Platform
	sealer    *berylticket.Sealer
	// incarnation changes at most before the daemon is ready.
	incarnation  atomic.Uint64
	declarations atomic.Pointer[berylconfig.Declarations]
	keys         atomic.Pointer[keyIndex]
	members      atomic.Pointer[memberIndex]
	meters       *metrics.Set
	data         dataTraffic
	sequence     atomic.Uint64
	callers      *http.Server
	operators    *http.Server
	active       atomic.Int64
	ctx          context.Context
	stop         context.CancelFunc
	drained      chan struct{}
}

// newIncarnation returns a number that is unique and grows with each start of a
// VM's daemon, as membership needs to tell old rumours from new ones.
func newIncarnation(now time.Time) (berylspoke.Incarnation, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, errors.Wrap(err, "incarnation cannot be drawn")
	}
	return berylspoke.NewIncarnation(now.UnixMilli(), binary.LittleEndian.Uint64(random[:])), nil
}

// process returns this run of the daemon.
func (daemon *Daemon) process() berylspoke.Process {
	return berylspoke.Process{VM: daemon.settings.VM, Incarnation: berylspoke.Incarnation(daemon.incarnation.Load())}
}

// Start runs a daemon until Stop.
func Start(settings *berylsettings.Settings, log *zap.Logger) (*Daemon, error) {
	now := time.Now()
	incarnation, err := newIncarnation(now)
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{
		settings: settings,
		log:      log.With(zap.String("vm", string(settings.VM)), zap.Stringer("incarnation", incarnation)),
		platform: berylplatform.NewClient(settings.Platform),
		sealer:   berylticket.NewSealer(settings.Keys()[0]),
		meters:   metrics.NewSet(),
		drained:  make(chan struct{}),
	}
	daemon.declarations.Store(new(berylconfig.Declarations))
	daemon.keys.Store(newKeyIndex(daemon.Declarations()))
	daemon.members.Store(newMemberIndex(settings, nil, daemon.Declarations()))
	daemon.ctx, daemon.stop = context.WithCancel(context.Background())
	daemon.targets = beryltarget.NewClient(beryltarget.Options{
		FirstToken: berylsettings.Millis(settings.Targets.FirstTokenMillis),
		Progress:   berylsettings.Millis(settings.Targets.ProgressMillis),
		Call:       berylsettings.Millis(settings.Targets.CallMillis),
	}, daemon)
	daemon.startCore(now, incarnation)
	if err := daemon.open(); err != nil {
		daemon.Kill()
		return nil, err
	}
	daemon.registerMeters()
	go daemon.keepTime()
	go daemon.watchVMs()
	go daemon.watchPatches()
	go daemon.pollLoads()
	daemon.log.Info("daemon started", zap.String("callers", settings.CallAddress))
	return daemon, nil
}

func (daemon *Daemon) startCore(now time.Time, incarnation berylspoke.Incarnation) {
	daemon.incarnation.Store(uint64(incarnation))
	daemon.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	node := berylnode.New(now, daemon.settings.Node(incarnation), uint64(incarnation))
	daemon.core = daemon.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &core{
			daemon: daemon, node: node,
			fates:   make(map[berylspoke.RequestID]chan fate),
			settles: make(map[uint64]chan berylticket.Standing),
		}
	}))
}

// open opens the sockets, the peers' first: what arrives early waits in the
// actor's mailbox.
func (daemon *Daemon) open() error {
	transport, err := berylpeer.Listen(berylpeer.Options{
		VM: daemon.settings.VM, Address: daemon.settings.PeerAddress, Keys: daemon.settings.Keys(),
		Locator: daemon, Log: daemon.log,
		Handler: func(from berylspoke.VMID, messages []berylspoke.Message) { daemon.send(fromPeer{from, messages}) },
	})
	if err != nil {
		return err
	}
	daemon.transport = transport
	if daemon.callers, err = daemon.serveCallers(); err != nil {
		return err
	}
	daemon.operators, err = daemon.serveOperators()
	return err
}

func (daemon *Daemon) keepTime() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-daemon.ctx.Done():
			return
		case <-ticker.C:
			daemon.send(tick{})
		}
	}
}

const (
	// drainNotice is the time after the announcement in which callers that
	// still hold this daemon's address are served.
	drainNotice = 2 * time.Second
	// drainLook is the time between two looks at what is left.
	drainLook = 100 * time.Millisecond
)

// Drain leaves the fleet without cutting a request: the daemon is announced as
// leaving, refuses new requests after a notice, and is drained once the last
// one has ended.
func (daemon *Daemon) Drain(ctx context.Context) error {
	daemon.log.Info("draining")
	if err := daemon.look(ctx, func(now time.Time, node *berylnode.Node) { node.Drain(now) }); err != nil {
		return err
	}
	if !pause(ctx, drainNotice) {
		return ctx.Err()
	}
	if err := daemon.look(ctx, func(_ time.Time, node *berylnode.Node) { node.Close() }); err != nil {
		return err
	}
	for {
		busy := 0
		if err := daemon.look(ctx, func(_ time.Time, node *berylnode.Node) { busy = node.Busy() }); err != nil {
			return err
		}
		if busy == 0 && daemon.active.Load() == 0 {
			daemon.log.Info("drained")
			return nil
		}
		if !pause(ctx, drainLook) {
			return ctx.Err()
		}
	}
}

// pause waits and returns false if the context ended first.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Kill ends the daemon at once, as a crash would.
func (daemon *Daemon) Kill() {
	daemon.stop()
	if daemon.callers != nil {
		_ = daemon.callers.Close()
	}
	if daemon.operators != nil {
		_ = daemon.operators.Close()
	}
	if daemon.transport != nil {
		daemon.transport.Close()
	}
	daemon.system.Root.Stop(daemon.core)
}

// VM returns the daemon's VM.
func (daemon *Daemon) VM() berylspoke.VMID { return daemon.settings.VM }
