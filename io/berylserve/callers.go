package berylserve

// This file defines the HTTP server for callers, its limits and their authentication.

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/io/berylingress"
	"berylspoke/io/berylsettings"
)

const (
	verdictHeader = "Berylspoke-Verdict"
	idHeader      = "Berylspoke-Id"
	// idleTimeout closes idle keep-alive connections.
	idleTimeout = 60 * time.Second
)

type wireError struct {
	Reason     string `json:"reason"`
	Verdict    string `json:"verdict"`
	RetryAfter int64  `json:"retryAfterMs,omitempty"`
	Message    string `json:"message"`
	Ticket     string `json:"ticket,omitempty"`
}

type wireFailure struct {
	Error wireError `json:"error"`
}

type wireResolve struct {
	Addresses []string `json:"addresses"`
	KeepMs    int      `json:"keepMs"`
	Ticket    string   `json:"ticket"`
	Owner     string   `json:"owner"`
	Calls     int      `json:"calls"`
}

// caller is the authenticated sender of a request.
type caller struct {
	organisation berylspoke.OrganisationID
}

func (daemon *Daemon) serveCallers() (*http.Server, error) {
	listener, err := net.Listen("tcp", daemon.settings.CallAddress)
	if err != nil {
		return nil, errors.Wrap(err, "cannot listen on the callers' address")
	}
	if files := daemon.settings.CallTLS; files != nil {
		if listener, err = listenTLS(listener, files); err != nil {
			return nil, err
		}
	}
	server := &http.Server{
		Handler:           berylingress.Handler(daemon.callerRoutes()),
		ReadHeaderTimeout: berylsettings.Millis(daemon.settings.Callers.ReadTimeoutMillis),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    daemon.settings.Callers.MaxHeaderBytes,
		ConnContext:       berylingress.ConnContext,
		ConnState:         berylingress.ConnState,
	}
	go func() { _ = server.Serve(daemon.ingress.Listen(listener)) }()
	return server, nil
}

func (daemon *Daemon) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/resolve", daemon.authenticated(daemon.serveResolve))
	mux.HandleFunc("POST /v1/services/{service}/drafts", daemon.authenticated(daemon.serveGeneration))
	mux.HandleFunc("GET /v1/calls/{id}", daemon.authenticated(daemon.serveOutcome))
	mux.HandleFunc("/v1/services/{service}/calls/{path...}", daemon.authenticated(daemon.serveCall))
	mux.HandleFunc("/", func(writer http.ResponseWriter, _ *http.Request) {
		daemon.refuse(writer, http.StatusNotFound, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonMalformed, Cause: errors.New("no such path"),
		})
	})
	return mux
}

// authenticated serves requests whose key belongs to an organisation and limits the
// size of their bodies and the time to read them.
func (daemon *Daemon) authenticated(serve func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		daemon.activeCallers.Add(1)
		defer daemon.activeCallers.Add(-1)
		key, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		organisation, found := daemon.keys.Load().organisation(key)
		if !found {
			daemon.refuseUnknownKey(writer)
			return
		}
		// Without a deadline, a caller that sends its body slowly holds a connection
		// indefinitely.
		deadline := time.Now().Add(berylsettings.Millis(daemon.settings.Callers.ReadTimeoutMillis))
		_ = http.NewResponseController(writer).SetReadDeadline(deadline)
		request.Body = http.MaxBytesReader(writer, request.Body, daemon.settings.Callers.MaxBodyBytes)
		if !berylingress.Of(request.Context()).Handle(time.Now(), request.Header, organisation) {
			daemon.refuse(writer, 0, memoryShort())
			return
		}
		serve(writer, request, caller{organisation})
	}
}

// refuseUnknownKey refuses a key that belongs to no organisation. A daemon without a
// configuration does not know any keys yet, so it answers that it is starting.
func (daemon *Daemon) refuseUnknownKey(writer http.ResponseWriter) {
	if len(daemon.Declarations().Organisations) == 0 {
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonStarting, RetryAfter: time.Second,
		})
		return
	}
	daemon.refuse(writer, 0, &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonUnauthorised,
		Cause: errors.New("key belongs to no organisation"),
	})
}

// reasonStatus maps the reasons of refusals to HTTP status codes.
var reasonStatus = map[berylspoke.Reason]int{
	berylspoke.ReasonUnauthorised:       http.StatusUnauthorized,
	berylspoke.ReasonMalformed:          http.StatusBadRequest,
	berylspoke.ReasonTicketRequired:     http.StatusPreconditionRequired,
	berylspoke.ReasonUnknownService:     http.StatusNotFound,
	berylspoke.ReasonOrganisationLimit:  http.StatusTooManyRequests,
	berylspoke.ReasonOverload:           http.StatusServiceUnavailable,
	berylspoke.ReasonTargetsResting:     http.StatusServiceUnavailable,
	berylspoke.ReasonMemoryShort:        http.StatusServiceUnavailable,
	berylspoke.ReasonConnectionsShort:   http.StatusServiceUnavailable,
	berylspoke.ReasonStarting:           http.StatusServiceUnavailable,
	berylspoke.ReasonDraining:           http.StatusServiceUnavailable,
	berylspoke.ReasonNoTarget:           http.StatusServiceUnavailable,
	berylspoke.ReasonWitnessUnreachable: http.StatusServiceUnavailable,
	berylspoke.ReasonWaitedTooLong:      http.StatusServiceUnavailable,
	berylspoke.ReasonClosed:             http.StatusConflict,
	berylspoke.ReasonOutcomeForgotten:   http.StatusGone,
	berylspoke.ReasonOwnerUnreachable:   http.StatusBadGateway,
	berylspoke.ReasonTargetFailed:       http.StatusBadGateway,
}

func failureBody(refusal *berylspoke.Refusal) wireFailure {
	return wireFailure{Error: wireError{
		Reason: string(refusal.Reason), Verdict: refusal.Verdict.String(),
		RetryAfter: refusal.RetryAfter.Milliseconds(), Message: refusal.Error(),
	}}
}

// refuse writes a refusal and counts it. A zero status selects the status code of the
// reason.
func (daemon *Daemon) refuse(writer http.ResponseWriter, status int, refusal *berylspoke.Refusal) {
	if status == 0 {
		status = reasonStatus[refusal.Reason]
	}
	if status == 0 {
		status = http.StatusInternalServerError
	}
	if refusal.RetryAfter > 0 {
		writer.Header().Set("Retry-After", fmt.Sprint(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	writer.Header().Set(verdictHeader, refusal.Verdict.String())
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(failureBody(refusal))
	daemon.countRefusal(refusal)
}

// memoryShort refuses a request as callers hold all the memory that they may.
func memoryShort() *berylspoke.Refusal {
	return &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonMemoryShort, RetryAfter: berylingress.RetryAfter, Cause: berylingress.ErrNoRoom,
	}
}

// readBody reads the body of a request, of which there are copies in memory as it is processed. It returns false
// once it has refused the request with a status, or for lack of room.
func (daemon *Daemon) readBody(writer http.ResponseWriter, request *http.Request, copies int64, status int) (body berylingress.BodyBytes, read bool) {
	hold := berylingress.Of(request.Context())
	err := body.Fill(hold, request.Body, request.ContentLength)
	if err == nil && !hold.GrowBody(time.Now(), copies*body.Len()) {
		err = berylingress.ErrNoRoom
	}
	switch {
	case errors.Is(err, berylingress.ErrNoRoom):
		daemon.refuse(writer, 0, memoryShort())
		return body, false
	case err != nil:
		daemon.refuse(writer, status, malformed("body cannot be read: %v", err))
		return body, false
	}
	if !hold.Serve(time.Now()) {
		daemon.refuse(writer, 0, &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonConnectionsShort, RetryAfter: berylingress.RetryAfter,
			Cause: errors.New("organisation has too many requests in service"),
		})
		return body, false
	}
	return body, true
}

func malformed(format string, args ...any) *berylspoke.Refusal {
	return &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonMalformed, Cause: errors.Errorf(format, args...),
	}
}

// asRefusal returns the refusal that err carries. For any other error it returns one with
// the verdict MayHaveRun, since the error does not show whether the request ran.
func asRefusal(err error) *berylspoke.Refusal {
	var refusal *berylspoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &berylspoke.Refusal{Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTargetFailed, Cause: err}
}

func (daemon *Daemon) serveResolve(writer http.ResponseWriter, request *http.Request, from caller) {
	reply := make(chan resolveReply, 1)
	daemon.send(resolve{from.organisation, reply})
	select {
	case <-request.Context().Done():
	case found := <-reply:
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(wireResolve{
			Addresses: found.addresses, KeepMs: daemon.settings.Callers.AddressTTLMillis,
			Ticket: daemon.sealer.Format(from.organisation, found.ticket),
			Owner:  daemon.settings.CallAddress, Calls: maxCallsPerTicket,
		})
	}
}
