package berylserve

// This file defines the TLS listener for callers.

import (
	"crypto/tls"
	"io"
	"net"

	"github.com/pkg/errors"

	"berylspoke/io/berylsettings"
)

// plainAnswer answers a request that arrives without TLS. The server would send it if it saw the TLS connection.
const plainAnswer = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n\r\nThis address takes requests over TLS only.\n"

// tlsListener accepts TLS connections, whose content passes through the bounds on what callers may hold.
type tlsListener struct{ net.Listener }

// listenTLS returns a listener with the certificate in the files. It closes the inner one if it fails.
func listenTLS(inner net.Listener, files *berylsettings.TLS) (net.Listener, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		_ = inner.Close()
		return nil, errors.Wrap(err, "certificate for callers cannot be loaded")
	}
	// HTTP/2 would carry many requests on one connection, beside the bounds of it.
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, NextProtos: []string{"http/1.1"}}
	return tlsListener{tls.NewListener(inner, config)}, nil
}

// Accept implements net.Listener.
func (listener tlsListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tlsConn{conn}, nil
}

// tlsConn is a TLS connection that answers a caller without TLS.
type tlsConn struct{ net.Conn }

// Read implements net.Conn.
func (conn tlsConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	var notTLS tls.RecordHeaderError
	if errors.As(err, &notTLS) && notTLS.Conn != nil {
		_, _ = io.WriteString(notTLS.Conn, plainAnswer)
		return 0, io.EOF
	}
	return count, err
}
