//go:build crowds

package berylcrowds

// This file tests the port of the peers.

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
)

const (
	// strangers is how many begin handshakes at the same time, and handshakes how many each begins.
	strangers  = 150
	handshakes = 40
	// handshakeWait is how long a stranger takes part in a handshake.
	handshakeWait = 20 * time.Millisecond
)

// deafSocket sends one packet and never receives.
type deafSocket struct {
	net.PacketConn
	sent   atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (socket *deafSocket) WriteTo(packet []byte, address net.Addr) (int, error) {
	if socket.sent.Swap(true) {
		return len(packet), nil
	}
	return socket.PacketConn.WriteTo(packet, address)
}

func (socket *deafSocket) ReadFrom([]byte) (int, net.Addr, error) {
	<-socket.closed
	return 0, nil, net.ErrClosed
}

// SetReadDeadline ends the wait of ReadFrom: it is called only as the socket is no longer used.
func (socket *deafSocket) SetReadDeadline(time.Time) error {
	socket.once.Do(func() { close(socket.closed) })
	return nil
}

func (socket *deafSocket) Close() error {
	_ = socket.SetReadDeadline(time.Time{})
	return socket.PacketConn.Close()
}

// beginHandshake sends what begins a handshake, and never answers.
func beginHandshake(address *net.UDPAddr) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return
	}
	socket := &deafSocket{PacketConn: udp, closed: make(chan struct{})}
	defer func() { _ = socket.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeWait)
	defer cancel()
	_, _ = quic.Dial(ctx, socket, address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"berylspoke"}}, nil)
}

// Guards against handshakes of strangers that fill the memory at the port of the peers.
func TestHalfOpenPeers(t *testing.T) {
	deployment := startDeployment(t, memoryMB)
	address, err := net.ResolveUDPAddr("udp", net.JoinHostPort(deployment.vm.Host, strconv.Itoa(basePort+peersPortOffset)))
	require.NoError(t, err)
	var wait sync.WaitGroup
	for range strangers {
		wait.Go(func() {
			for range handshakes {
				beginHandshake(address)
			}
		})
	}
	wait.Wait()
	deployment.checkOrdinary("beside")
	deployment.check("beside", memoryMB, descriptors)
}
