package berylstand

// This file defines the listening of a stand-in.

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Server is a stand-in that listens.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen serves a handler on an address until Close.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in cannot listen")
	}
	server := &Server{listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}}
	go func() { _ = server.server.Serve(listener) }()
	return server, nil
}

// Address returns the address listened on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Close stops the stand-in and cuts its connections.
func (server *Server) Close() { _ = server.server.Close() }

func answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
