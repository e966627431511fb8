package beryltarget

// This file defines the connections that count control bytes.

import (
	"context"
	"net"
	"sync/atomic"
)

// segmentHeaders is the size of the IPv4 and TCP headers with timestamps.
const segmentHeaders = 52

// countingDialer opens connections that count what they send and receive. Each
// write is taken for a segment and each read for one with its acknowledgement.
type countingDialer struct {
	dialer *net.Dialer
	bytes  *atomic.Uint64
}

func (dialer *countingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialer.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	dialer.bytes.Add(handshakeSegments * segmentHeaders)
	return &countingConn{Conn: conn, bytes: dialer.bytes}, nil
}

// handshakeSegments are the segments that open and close a connection.
const handshakeSegments = 7

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements net.Conn.
func (conn *countingConn) Read(buffer []byte) (int, error) {
	size, err := conn.Conn.Read(buffer)
	conn.bytes.Add(uint64(size + 2*segmentHeaders))
	return size, err
}

// Write implements net.Conn.
func (conn *countingConn) Write(buffer []byte) (int, error) {
	conn.bytes.Add(uint64(len(buffer) + segmentHeaders))
	return conn.Conn.Write(buffer)
}
