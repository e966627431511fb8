package beryltarget

// This file defines connections that count control bytes.

import (
	"context"
	"net"
	"sync/atomic"
)

// segmentHeaderBytes is the size of the IPv4 and TCP headers with the timestamp option.
const segmentHeaderBytes = 52

// countingDialer opens connections that count the bytes that they send and receive. Each
// write counts as one segment, and each read as one segment and its acknowledgement.
type countingDialer struct {
	dialer *net.Dialer
	bytes  *atomic.Uint64
}

func (dialer *countingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialer.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	dialer.bytes.Add(connectionSegments * segmentHeaderBytes)
	return &countingConn{Conn: conn, bytes: dialer.bytes}, nil
}

// connectionSegments is the number of segments that open and close a connection.
const connectionSegments = 7

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements net.Conn.
func (conn *countingConn) Read(buffer []byte) (int, error) {
	size, err := conn.Conn.Read(buffer)
	conn.bytes.Add(uint64(size + 2*segmentHeaderBytes))
	return size, err
}

// Write implements net.Conn.
func (conn *countingConn) Write(buffer []byte) (int, error) {
	conn.bytes.Add(uint64(len(buffer) + segmentHeaderBytes))
	return conn.Conn.Write(buffer)
}
