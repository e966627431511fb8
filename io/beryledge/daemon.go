package beryledge

// This file defines the assembly and the start of a daemon.

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"berylspoke"
	"berylspoke/core/berylcatalog"
	"berylspoke/core/berylfeed"
	"berylspoke/io/berylconn"
	"berylspoke/io/berylpeer"
)

const (
	// headerBytes bounds a request's headers until a configuration is known.
	headerBytes = 16 << 10
	// headerTimeout bounds the arrival of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's connection may stay idle. It exceeds
	// what callers are told they may use, so a request never crosses the close.
	idleTimeout = 90 * time.Second
	// callersIdle and callersEvery make callers that vanished show.
	callersIdle  = 5 * time.Second
	callersEvery = 2 * time.Second
	callersLost  = 2
)

// Endpoints are the platform's own questions to a daemon.
type Endpoints struct {
	Resolve, Ready http.Handler
}

// Daemon is one running process.
type Daemon struct {
	settings    *Settings
	dialect     berylspoke.Dialect
	store       berylspoke.Store
	log         *zap.Logger
	incarnation berylspoke.Incarnation
	started     time.Time
	system      *actor.ActorSystem
	core        *actor.PID
	transport   *berylpeer.Transport
	pool        *berylconn.Pool
	idle        *idleConns
	strain      strain
	admission   *admission
	index       atomic.Pointer[berylcatalog.Index]
	entries     atomic.Pointer[entries]
	// taking are the targets that take new requests.
	taking      atomic.Pointer[map[berylspoke.TargetID]bool]
	ready       atomic.Bool
	stopping    atomic.Bool
	stopBegan   atomic.Int64
	active      atomic.Int64
	lastRequest atomic.Int64
	revisions   [berylfeed.Count]atomic.Uint64
	known       [berylfeed.Count]atomic.Bool
	// watcher says that this daemon reads the store for all; fed is when any daemon
	// that was heard of was in contact with it last, in Unix nanoseconds.
	watcher atomic.Bool
	fed     atomic.Int64
	meters  *meters
	servers []*http.Server
	callers *http.Server
	ctx     context.Context
	stop    context.CancelFunc
}

// Start runs a daemon until Stop.
func Start(settings *Settings, dialect berylspoke.Dialect, store berylspoke.Store, endpoints func(*Daemon) Endpoints, log *zap.Logger) (*Daemon, error) {
	now := time.Now()
	daemon := &Daemon{
		settings: settings, dialect: dialect, store: store,
		log:         log.With(zap.String("vm", settings.Name)),
		incarnation: berylspoke.Incarnation(now.UnixMicro()), started: now,
		pool: berylconn.NewPool(), idle: newIdleConns(),
	}
	daemon.meters = newMeters(daemon)
	daemon.entries.Store(new(entries))
	daemon.taking.Store(new(map[berylspoke.TargetID]bool))
	daemon.ctx, daemon.stop = context.WithCancel(context.Background())
	var err error
	if daemon.admission, err = newAdmission(daemon.ctx); err != nil {
		return nil, err
	}
	daemon.startCore(now)
	if err := daemon.open(endpoints(daemon)); err != nil {
		daemon.Kill()
		return nil, err
	}
	go daemon.keepTime()
	configuration, targets := dialect.Prefixes()
	go daemon.follow(berylfeed.Configuration, configuration)
	go daemon.follow(berylfeed.Targets, targets)
	daemon.log.Info("daemon started", zap.Uint64("incarnation", uint64(daemon.incarnation)),
		zap.String("callers", settings.Callers), zap.String("peers", string(settings.VM)))
	return daemon, nil
}

func (daemon *Daemon) startCore(now time.Time) {
	daemon.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	core := newCore(now, daemon)
	daemon.core = daemon.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return core }))
}

// open opens the sockets, the peers' first: what arrives early waits in the
// actor's mailbox.
func (daemon *Daemon) open(endpoints Endpoints) error {
	transport, err := berylpeer.Listen(berylpeer.Options{
		VM: daemon.settings.VM, Address: string(daemon.settings.VM), Keys: [][]byte{[]byte(daemon.settings.FleetKey)},
		Locator: daemon, Log: daemon.log,
		Handler: func(from berylspoke.VMID, messages []berylspoke.Message) { daemon.tell(fromPeer{from, messages}) },
	})
	if err != nil {
		return err
	}
	daemon.transport = transport
	daemon.callers, err = daemon.serve(daemon.settings.Callers, http.HandlerFunc(daemon.serveCaller), true)
	if err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{
		daemon.settings.Ready:     endpoints.Ready,
		daemon.settings.Resolve:   endpoints.Resolve,
		daemon.settings.Operators: daemon.operators(),
		daemon.settings.Metrics:   daemon.operators(),
	} {
		if address == "" {
			continue
		}
		if _, err := daemon.serve(address, handler, false); err != nil {
			return err
		}
	}
	return nil
}

// serve answers on an address; at that of callers the admission queue decides
// while the processor is overloaded.
func (daemon *Daemon) serve(address string, handler http.Handler, callers bool) (*http.Server, error) {
	listening := net.ListenConfig{KeepAlive: -1, Control: keepAlive}
	listener, err := listening.Listen(daemon.ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %s cannot be opened", address)
	}
	if callers {
		listener = newAdmissionListener(listener.(*net.TCPListener), daemon)
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: headerBytes,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(zap.NewNop()), ConnState: daemon.idle.observe, ConnContext: withConn,
	}
	daemon.servers = append(daemon.servers, server)
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// keepAlive sets the keep-alive on a listening socket, from which accepted ones
// inherit it. Set on each accepted one it costs four system calls, a quarter of
// what a refused caller costs in all, and a flood of them starves a small VM.
func keepAlive(_, _ string, raw syscall.RawConn) error {
	options := []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(callersIdle.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(callersEvery.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, callersLost},
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		for _, option := range options {
			if err := unix.SetsockoptInt(int(fd), option.level, option.name, option.value); err != nil {
				failed = err
			}
		}
	})
	if err != nil {
		return err
	}
	return errors.Wrap(failed, "keep-alive cannot be set")
}

// PeerAddress implements berylpeer.Locator; VMs are named by their address.
func (daemon *Daemon) PeerAddress(vm berylspoke.VMID) string { return string(vm) }

// Link implements berylpeer.Locator.
func (daemon *Daemon) Link(vm berylspoke.VMID) berylpeer.Link {
	domain, known := daemon.entries.Load().domains[vm]
	switch {
	case !known || domain == daemon.settings.FailureDomain:
		return berylpeer.WithinDomain
	case daemon.settings.RegionOf[domain] == daemon.settings.Region:
		return berylpeer.AcrossDomains
	default:
		return berylpeer.AcrossRegions
	}
}

// Ready says whether the daemon takes callers' requests.
func (daemon *Daemon) Ready() bool { return daemon.ready.Load() && !daemon.stopping.Load() }

// Kill ends the daemon at once, as a crash would.
func (daemon *Daemon) Kill() {
	daemon.stop()
	for _, server := range daemon.servers {
		_ = server.Close()
	}
	if daemon.transport != nil {
		daemon.transport.Close()
	}
	daemon.system.Root.Stop(daemon.core)
}
