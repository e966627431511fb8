package berylserve

// This file defines the start, the drain and the stop of a daemon.

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
	"berylspoke/io/berylingress"
	"berylspoke/io/berylpeer"
	"berylspoke/io/berylplatform"
	"berylspoke/io/berylsettings"
	"berylspoke/io/beryltarget"
)

// Daemon is a running router process.
type Daemon struct {
	settings  *berylsettings.Settings
	log       *zap.Logger
	system    *actor.ActorSystem
	actorPID  *actor.PID
	transport *berylpeer.Transport
	targets   *beryltarget.Client
	platform  berylspoke.Platform
	sealer    *berylticket.Sealer
	// incarnation changes if an earlier run on this VM had a higher one, but only until
	// the daemon is ready.
	incarnation  atomic.Uint64
	declarations atomic.Pointer[berylconfig.Declarations]
	keys         atomic.Pointer[keyIndex]
	members      atomic.Pointer[memberIndex]
	metrics      *metrics.Set
	// ingress bounds what callers and operators make the process hold.
	ingress         *berylingress.Ingress
	dataTraffic     dataTraffic
	requestSequence atomic.Uint64
	callers         *http.Server
	operators       *http.Server
	activeCallers   atomic.Int64
	// opened is closed once transport is set.
	opened  chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	drained chan struct{}
}

// newIncarnation returns a unique number that grows with each start of the daemon on a
// VM, so that membership can order the rumours of successive runs.
func newIncarnation(now time.Time) (berylspoke.Incarnation, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, errors.Wrap(err, "cannot read random bytes for the incarnation")
	}
	return berylspoke.NewIncarnation(now.UnixMilli(), binary.LittleEndian.Uint64(random[:])), nil
}

// process returns the VM and the incarnation of this daemon.
func (daemon *Daemon) process() berylspoke.Process {
	return berylspoke.Process{VM: daemon.settings.VM, Incarnation: berylspoke.Incarnation(daemon.incarnation.Load())}
}

// Start starts a daemon, which runs until Kill is called.
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
		sealer:   berylticket.NewSealer(settings.DecodedKeys()[0]),
		metrics:  metrics.NewSet(),
		opened:   make(chan struct{}),
		drained:  make(chan struct{}),
	}
	daemon.ingress = berylingress.New(berylingress.Limits(settings.MemoryBytes(), settings.Callers.MaxConnections), daemon.metrics, daemon.log)
	daemon.declarations.Store(new(berylconfig.Declarations))
	daemon.keys.Store(newKeyIndex(daemon.Declarations()))
	daemon.members.Store(newMemberIndex(settings, nil, daemon.Declarations()))
	daemon.ctx, daemon.cancel = context.WithCancel(context.Background())
	daemon.targets = beryltarget.NewClient(beryltarget.Options{
		FirstTokenTimeout: berylsettings.Millis(settings.Targets.FirstTokenTimeoutMillis),
		ProgressTimeout:   berylsettings.Millis(settings.Targets.ProgressTimeoutMillis),
		CallTimeout:       berylsettings.Millis(settings.Targets.CallTimeoutMillis),
		OnAdvice: func(advice berylnode.Advice) {
			daemon.log.Info("target wants no requests", zap.String("target", string(advice.Target)),
				zap.Bool("leaving", advice.Leaving), zap.Duration("rest", advice.Rest))
			daemon.send(advice)
		},
	}, daemon)
	daemon.startActor(now, incarnation)
	if err := daemon.listen(); err != nil {
		daemon.Kill()
		return nil, err
	}
	daemon.registerMetrics()
	go daemon.runTicker()
	go daemon.watchVMs()
	go daemon.watchPatches()
	go daemon.pollLoads()
	daemon.log.Info("daemon started", zap.String("callers", settings.CallAddress))
	return daemon, nil
}

func (daemon *Daemon) startActor(now time.Time, incarnation berylspoke.Incarnation) {
	daemon.incarnation.Store(uint64(incarnation))
	daemon.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	node := berylnode.New(now, daemon.settings.NodeOptions(incarnation), uint64(incarnation))
	daemon.actorPID = daemon.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &nodeActor{
			daemon: daemon, node: node,
			decisions:      make(map[berylspoke.RequestID]chan decision),
			pendingSettles: make(map[uint64]chan berylticket.Status),
		}
	}))
}

// listen opens the sockets, the peer socket first.
func (daemon *Daemon) listen() error {
	transport, err := berylpeer.Listen(berylpeer.Options{
		VM: daemon.settings.VM, Address: daemon.settings.PeerAddress, Keys: daemon.settings.DecodedKeys(),
		Locator: daemon, Log: daemon.log,
		Handler: daemon.receive,
	})
	if err != nil {
		return err
	}
	daemon.transport = transport
	close(daemon.opened)
	if daemon.callers, err = daemon.serveCallers(); err != nil {
		return err
	}
	daemon.operators, err = daemon.serveOperators()
	return err
}

// receive passes messages of a peer on to the actor. Those that arrive before it can answer them wait.
func (daemon *Daemon) receive(from berylspoke.VMID, messages []berylspoke.Message) {
	select {
	case <-daemon.opened:
		daemon.send(fromPeer{from, messages})
	case <-daemon.ctx.Done():
	}
}

func (daemon *Daemon) runTicker() {
	ticker := time.NewTicker(tickInterval)
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
	// drainNoticePeriod is how long new requests are still served after the drain is
	// announced, for callers that have cached the address of this daemon.
	drainNoticePeriod = 2 * time.Second
	// drainPollInterval is the time between two counts of the remaining requests.
	drainPollInterval = 100 * time.Millisecond
)

// Drain takes the daemon out of service without interrupting a request. It announces
// to peers that the daemon is leaving, rejects new requests after drainNoticePeriod,
// and returns when the last request has ended.
func (daemon *Daemon) Drain(ctx context.Context) error {
	daemon.log.Info("draining")
	if err := daemon.inspect(ctx, func(now time.Time, node *berylnode.Node) { node.Drain(now) }); err != nil {
		return err
	}
	if !sleep(ctx, drainNoticePeriod) {
		return ctx.Err()
	}
	if err := daemon.inspect(ctx, func(_ time.Time, node *berylnode.Node) { node.StopAccepting() }); err != nil {
		return err
	}
	for {
		activeRequests := 0
		if err := daemon.inspect(ctx, func(_ time.Time, node *berylnode.Node) { activeRequests = node.ActiveRequests() }); err != nil {
			return err
		}
		if activeRequests == 0 && daemon.activeCallers.Load() == 0 {
			daemon.log.Info("drained")
			return nil
		}
		if !sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
}

// Stop drains the daemon, as long as the context lasts, and ends it.
func (daemon *Daemon) Stop(ctx context.Context) {
	err := daemon.Drain(ctx)
	if err == nil {
		// A request counts as ended when its handler returns, which is before its answer is sent.
		err = daemon.callers.Shutdown(ctx)
	}
	if err != nil {
		daemon.log.Warn("stopped before the drain was complete", zap.Error(err))
	}
	daemon.Kill()
}

// sleep waits for the duration and returns false if the context ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Kill stops the daemon at once and interrupts its requests, as a crash would.
func (daemon *Daemon) Kill() {
	daemon.cancel()
	if daemon.callers != nil {
		_ = daemon.callers.Close()
	}
	if daemon.operators != nil {
		_ = daemon.operators.Close()
	}
	if daemon.transport != nil {
		daemon.transport.Close()
	}
	daemon.system.Root.Stop(daemon.actorPID)
}

// VM returns the VM that the daemon runs on.
func (daemon *Daemon) VM() berylspoke.VMID { return daemon.settings.VM }
