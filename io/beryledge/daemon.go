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
	"berylspoke/core/berylquarantine"
	"berylspoke/core/berylstop"
	"berylspoke/io/berylconn"
	"berylspoke/io/berylingress"
	"berylspoke/io/beryllog"
	"berylspoke/io/berylpeer"
)

const (
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes configure TCP keep-alive on
	// callers' connections, which detects callers that vanished without closing.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 2
	// ownDescriptors are kept for files, peers and the store; callers and targets share the others.
	ownDescriptors = 200
	// writeTimeout bounds the time to answer at the listeners that serve no calls.
	writeTimeout = time.Minute
)

// Endpoints are the handlers of requests in the platform's own protocol.
type Endpoints struct {
	Resolve, Ready http.Handler
}

// Daemon is one running daemon.
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
	// answerMemory bounds the answers of targets that are buffered.
	answerMemory *berylconn.Memory
	// ingress bounds what callers make the process hold.
	ingress   *berylingress.Ingress
	idle      *idleConns
	pressure  cpuPressure
	admission *admission
	index     atomic.Pointer[berylcatalog.Index]
	entries   atomic.Pointer[entries]
	// sendable holds the runs of targets that requests may be sent to.
	sendable    *sendableTargets
	origins     *origins
	crashChecks *crashChecks
	ready       atomic.Bool
	// stop is the planned stop, nil before it begins; stopNanos is the time to stop within.
	stop        atomic.Pointer[berylstop.Stop]
	stopNanos   atomic.Int64
	active      atomic.Int64
	lastRequest atomic.Int64
	calls       *activeCalls
	durations   routeDurations
	// positions are those up to which the feeds are complete, nil before the first list.
	positions [berylfeed.Count]atomic.Pointer[berylspoke.Position]
	known     [berylfeed.Count]atomic.Bool
	// readDue wakes the reader of each feed.
	readDue [berylfeed.Count]chan struct{}
	// watcher is set if this daemon reads the store for the fleet.
	watcher atomic.Bool
	// replicaBytes is the size of each feed. regionRank is the rank of this daemon among
	// those of its region.
	replicaBytes [berylfeed.Count]atomic.Int64
	regionRank   atomic.Int64
	// unusableItems is the number of published items that name no target.
	unusableItems atomic.Int64
	// verdicts are those by which requests are refused.
	verdicts atomic.Pointer[berylquarantine.Verdicts]
	// completeAsOf is the time as of which each feed is complete, in Unix nanoseconds.
	completeAsOf [berylfeed.Count]atomic.Int64
	meters       *meters
	panicLog     beryllog.Limit
	servers      []*http.Server
	// callerListener accepts the connections of callers.
	callerListener *admissionListener
	// opened is closed once transport is set.
	opened chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// Start starts a daemon, which runs until Stop or Kill.
func Start(settings *Settings, dialect berylspoke.Dialect, store berylspoke.Store, endpoints func(*Daemon) Endpoints, log *zap.Logger) (*Daemon, error) {
	now := time.Now()
	daemon := &Daemon{
		settings: settings, dialect: dialect, store: store,
		log:         log.With(zap.String("vm", settings.Name)),
		incarnation: berylspoke.Incarnation(now.UnixMicro()), started: now,
		pool: berylconn.NewPool(settings.sockets()), answerMemory: berylconn.NewMemory(settings.MemoryBytes / answersShare), idle: newIdleConns(), sendable: newSendableTargets(), calls: newActiveCalls(),
	}
	daemon.readDue, daemon.opened = newReadDue(), make(chan struct{})
	daemon.stopNanos.Store(int64(settings.StopTimeout))
	daemon.durations.observed = berylstop.NewDurations(now)
	daemon.origins = newOrigins(daemon)
	daemon.crashChecks = newCrashChecks(daemon)
	daemon.verdicts.Store(new(berylquarantine.Verdicts))
	daemon.meters = newMeters(daemon)
	daemon.ingress = berylingress.New(berylingress.Limits(settings.MemoryBytes, settings.sockets()), daemon.meters.set, daemon.log)
	daemon.entries.Store(new(entries))
	daemon.ctx, daemon.cancel = context.WithCancel(context.Background())
	var err error
	if daemon.admission, err = newAdmission(daemon.ctx); err != nil {
		return nil, err
	}
	daemon.startCore(now)
	daemon.admission.overloadBegan = func() { daemon.send(overloadBegan{}) }
	if err := daemon.open(endpoints(daemon)); err != nil {
		daemon.Kill()
		return nil, err
	}
	go daemon.runTimers()
	configuration, targets := dialect.Prefixes()
	go daemon.followStore(berylfeed.Configuration, configuration)
	go daemon.followStore(berylfeed.Targets, targets)
	daemon.log.Info("daemon started", zap.Uint64("incarnation", uint64(daemon.incarnation)),
		zap.String("callers", settings.CallersAddress), zap.String("peers", string(settings.VM)))
	return daemon, nil
}

func (daemon *Daemon) startCore(now time.Time) {
	daemon.system = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
	core := newCore(now, daemon)
	daemon.core = daemon.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return core }))
}

// open opens the sockets, that of the peers first.
func (daemon *Daemon) open(endpoints Endpoints) error {
	transport, err := berylpeer.Listen(berylpeer.Options{
		VM: daemon.settings.VM, Address: string(daemon.settings.VM), Keys: [][]byte{[]byte(daemon.settings.FleetKey)},
		Locator: daemon, Log: daemon.log,
		Handler: daemon.receive,
	})
	if err != nil {
		return err
	}
	daemon.transport = transport
	close(daemon.opened)
	if err := daemon.serve(daemon.settings.CallersAddress, http.HandlerFunc(daemon.serveCaller), true); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{
		daemon.settings.ReadyAddress:     endpoints.Ready,
		daemon.settings.ResolveAddress:   endpoints.Resolve,
		daemon.settings.OperatorsAddress: daemon.operators(),
		daemon.settings.MetricsAddress:   daemon.operators(),
	} {
		if address == "" {
			continue
		}
		if err := daemon.serve(address, handler, false); err != nil {
			return err
		}
	}
	return nil
}

// receive passes messages of a peer on to the core. Those that arrive before the core can answer them
// wait.
func (daemon *Daemon) receive(from berylspoke.VMID, messages []berylspoke.Message) {
	select {
	case <-daemon.opened:
		daemon.send(peerMessages{from, messages})
	case <-daemon.ctx.Done():
	}
}

// serve starts an HTTP server on an address. On the callers' address, connections pass
// through the admission queue while the processor is overloaded.
func (daemon *Daemon) serve(address string, handler http.Handler, callers bool) error {
	listening := net.ListenConfig{KeepAlive: -1, Control: setKeepAlive}
	listener, err := listening.Listen(daemon.ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen on address %s", address)
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          zap.NewStdLog(zap.NewNop()), ConnState: daemon.idle.observe, ConnContext: withConn,
	}
	if callers {
		daemon.callerListener = newAdmissionListener(listener.(*net.TCPListener), daemon)
		listener = daemon.callerListener
	} else {
		// No handler reads a body; the server awaits it all the same.
		server.ReadTimeout, server.WriteTimeout, server.IdleTimeout = headerTimeout, writeTimeout, writeTimeout
		server.Handler, server.ConnContext = berylingress.Handler(handler), berylingress.ConnContext
		listener = daemon.ingress.Listen(listener)
	}
	daemon.servers = append(daemon.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// setKeepAlive enables TCP keep-alive on a listening socket; accepted connections
// inherit the options. Setting them on each connection takes four system calls, a
// quarter of the total cost of a refused request, and a flood of such requests starves a
// small VM.
func setKeepAlive(_, _ string, raw syscall.RawConn) error {
	options := []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes},
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
	return errors.Wrap(failed, "cannot enable TCP keep-alive")
}

// PeerAddress implements berylpeer.Locator; the id of a VM is its address.
func (daemon *Daemon) PeerAddress(vm berylspoke.VMID) string { return string(vm) }

// Link implements berylpeer.Locator.
func (daemon *Daemon) Link(vm berylspoke.VMID) berylpeer.Link {
	domain, known := daemon.entries.Load().domains[vm]
	if !known {
		return berylpeer.WithinDomain
	}
	return daemon.linkTo(domain)
}

// linkTo returns the kind of link to a failure domain.
func (daemon *Daemon) linkTo(domain berylspoke.FailureDomain) berylpeer.Link {
	switch {
	case domain == daemon.settings.FailureDomain:
		return berylpeer.WithinDomain
	case daemon.settings.RegionOf[domain] == daemon.settings.Region:
		return berylpeer.AcrossDomains
	default:
		return berylpeer.AcrossRegions
	}
}

// Ready reports whether the daemon accepts callers' requests.
func (daemon *Daemon) Ready() bool { return daemon.ready.Load() && !daemon.stopping() }

// Kill stops the daemon at once, without finishing requests, as a crash would.
func (daemon *Daemon) Kill() {
	daemon.cancel()
	for _, server := range daemon.servers {
		_ = server.Close()
	}
	if daemon.transport != nil {
		daemon.transport.Close()
	}
	daemon.system.Root.Stop(daemon.core)
}
