package berylpeer

// This file defines the socket that counts bytes as on the wire.

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"berylspoke"
)

// Link is the kind of link that a packet crosses.
type Link int

// The kinds of links.
const (
	WithinDomain Link = iota
	AcrossDomains
	AcrossRegions
	links
)

// String returns the link as a metric label.
func (link Link) String() string {
	return [...]string{"withinDomain", "acrossDomains", "acrossRegions"}[link]
}

// datagramHeaders is the size of the IPv4 and UDP headers of a packet.
const datagramHeaders = 28

// Traffic counts packets and bytes sent and received by link.
type Traffic struct {
	Sent, Received, Packets [links]atomic.Uint64
	messages, payload       [kindsEnd]atomic.Uint64
}

// SentKind is the number of messages of a kind and of their bytes without headers.
type SentKind struct{ Messages, Bytes uint64 }

// Kinds returns what was sent of each kind of message.
func (traffic *Traffic) Kinds() map[string]SentKind {
	kinds := make(map[string]SentKind, len(kindNames))
	for kind, name := range kindNames {
		kinds[name] = SentKind{traffic.messages[kind].Load(), traffic.payload[kind].Load()}
	}
	return kinds
}

// Locator tells where a VM stands relative to this daemon.
type Locator interface {
	// PeerAddress returns the UDP address of a VM, or "".
	PeerAddress(vm berylspoke.VMID) string
	// Link returns the kind of link to a VM.
	Link(vm berylspoke.VMID) Link
}

// countedSocket hides the socket's batch interfaces, so that each packet passes
// the counters once.
type countedSocket struct {
	net.PacketConn
	udp     *net.UDPConn
	traffic *Traffic
	mutex   sync.RWMutex
	links   map[string]Link
}

func (socket *countedSocket) setLink(address net.Addr, link Link) {
	socket.mutex.Lock()
	socket.links[address.String()] = link
	socket.mutex.Unlock()
}

func (socket *countedSocket) copyLinks() map[string]Link {
	socket.mutex.RLock()
	defer socket.mutex.RUnlock()
	return maps.Clone(socket.links)
}

func (socket *countedSocket) link(address net.Addr) Link {
	socket.mutex.RLock()
	defer socket.mutex.RUnlock()
	return socket.links[address.String()]
}

// WriteTo implements net.PacketConn.
func (socket *countedSocket) WriteTo(packet []byte, address net.Addr) (int, error) {
	link := socket.link(address)
	socket.traffic.Sent[link].Add(uint64(len(packet) + datagramHeaders))
	socket.traffic.Packets[link].Add(1)
	return socket.PacketConn.WriteTo(packet, address)
}

// ReadFrom implements net.PacketConn.
func (socket *countedSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	size, address, err := socket.PacketConn.ReadFrom(buffer)
	if err == nil {
		socket.traffic.Received[socket.link(address)].Add(uint64(size + datagramHeaders))
	}
	return size, address, err
}

// SetReadBuffer sizes the socket's receive buffer, as QUIC asks for.
func (socket *countedSocket) SetReadBuffer(bytes int) error {
	return errors.Wrap(socket.udp.SetReadBuffer(bytes), "receive buffer")
}

// SetWriteBuffer sizes the socket's send buffer, as QUIC asks for.
func (socket *countedSocket) SetWriteBuffer(bytes int) error {
	return errors.Wrap(socket.udp.SetWriteBuffer(bytes), "send buffer")
}
