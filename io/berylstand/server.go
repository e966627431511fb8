package berylstand

// This file defines the HTTP server of a fake.

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Server is the HTTP server of a fake.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen serves a handler on an address until Close.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "fake server cannot listen")
	}
	server := &Server{listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}}
	go func() { _ = server.server.Serve(listener) }()
	return server, nil
}

// Address returns the listen address.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Close stops the server and closes its connections.
func (server *Server) Close() { _ = server.server.Close() }

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
