package berylserve

// This file defines the HTTP server for operators: dump, metrics, readiness and drain.

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"berylspoke/core/berylnode"
	"berylspoke/io/berylingress"
	"berylspoke/io/berylpeer"
)

// operatorReadTimeout bounds the time to read a request of an operator.
const operatorReadTimeout = 5 * time.Second

func (daemon *Daemon) serveOperators() (*http.Server, error) {
	listener, err := net.Listen("tcp", daemon.settings.OperatorAddress)
	if err != nil {
		return nil, errors.Wrap(err, "cannot listen on the operators' address")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", daemon.serveState)
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) { daemon.metrics.WritePrometheus(writer) })
	mux.HandleFunc("GET /ready", daemon.serveReady)
	mux.HandleFunc("POST /drain", daemon.serveDrain)
	server := &http.Server{
		Handler: berylingress.Handler(daemon.requireOperatorToken(mux)), ReadTimeout: operatorReadTimeout, IdleTimeout: idleTimeout,
		ConnContext: berylingress.ConnContext, ConnState: berylingress.ConnState,
	}
	go func() { _ = server.Serve(daemon.ingress.Listen(listener)) }()
	return server, nil
}

func (daemon *Daemon) requireOperatorToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		if !equalTokens(token, daemon.settings.OperatorToken) {
			http.Error(writer, "operator token is wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// Dump is the state of a daemon with its traffic counters, as operators read it.
type Dump struct {
	berylnode.State
	PeerConnections int                            `json:"peerConnections"`
	ControlBytes    map[string]uint64              `json:"controlBytesSent"`
	ControlPackets  uint64                         `json:"controlPacketsSent"`
	SentMessages    map[string]berylpeer.KindStats `json:"messagesSent"`
	DataBytes       map[string]uint64              `json:"dataBytes"`
	ActiveCallers   int64                          `json:"activeCallers"`
}

// State returns the dump of the daemon. If the context ends first, the state of the node
// is missing and the error is that of the context.
func (daemon *Daemon) State(ctx context.Context) (Dump, error) {
	var dump Dump
	err := daemon.inspect(ctx, func(now time.Time, node *berylnode.Node) { dump.State = node.State(now) })
	dump.PeerConnections = daemon.transport.Connections()
	dump.ControlBytes, dump.DataBytes = daemon.controlBytes(), daemon.dataTraffic.totals()
	dump.ActiveCallers = daemon.activeCallers.Load()
	dump.SentMessages = daemon.transport.Traffic().SentByKind()
	for _, link := range allLinks {
		dump.ControlPackets += daemon.transport.Traffic().Packets[link].Load()
	}
	return dump, err
}

func (daemon *Daemon) serveState(writer http.ResponseWriter, request *http.Request) {
	dump, err := daemon.State(request.Context())
	if err != nil {
		http.Error(writer, "daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(dump)
}

func (daemon *Daemon) serveReady(writer http.ResponseWriter, request *http.Request) {
	ready := false
	_ = daemon.inspect(request.Context(), func(_ time.Time, node *berylnode.Node) { ready = node.Ready() })
	if !ready {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

// serveDrain drains the daemon and answers when no request remains.
func (daemon *Daemon) serveDrain(writer http.ResponseWriter, request *http.Request) {
	if err := daemon.Drain(request.Context()); err != nil {
		http.Error(writer, "drain was interrupted", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("drained\n"))
}
