package berylpeer

// This file defines a packet socket that counts its traffic, headers included.

import (
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"berylspoke"
)

// Link is the kind of network link between two VMs.
type Link int

// The kinds of links.
const (
	WithinDomain Link = iota
	AcrossDomains
	AcrossRegions
	// LinkCount is the number of kinds of links.
	LinkCount
)

// String returns the link as a metric label.
func (link Link) String() string {
	return [...]string{"withinDomain", "acrossDomains", "acrossRegions"}[link]
}

// datagramHeaders is the size in bytes of the IPv4 and UDP headers of a packet.
const datagramHeaders = 28

// Traffic counts bytes sent, bytes received and packets sent by link, packets received,
// and messages sent and received by kind.
type Traffic struct {
	Sent, Received, Packets [LinkCount]atomic.Uint64
	PacketsReceived         atomic.Uint64
	sent, received          kindCounts
}

// KindStats is the number of messages of one kind and their size in bytes without headers.
type KindStats struct{ Messages, Bytes uint64 }

// kindCounts counts messages by kind.
type kindCounts struct{ messages, bytes [kindsEnd]atomic.Uint64 }

func (counts *kindCounts) add(kind kind, size int) {
	counts.messages[kind].Add(1)
	counts.bytes[kind].Add(uint64(size))
}

// byName returns the counts by the metric label of their kind.
func (counts *kindCounts) byName() map[string]KindStats {
	kinds := make(map[string]KindStats, len(kindNames))
	for kind, name := range kindNames {
		kinds[name] = KindStats{counts.messages[kind].Load(), counts.bytes[kind].Load()}
	}
	return kinds
}

func (traffic *Traffic) countSent(link Link, size int) {
	traffic.Sent[link].Add(uint64(size + datagramHeaders))
	traffic.Packets[link].Add(1)
}

// SentByKind returns the messages sent, by the metric label of their kind.
func (traffic *Traffic) SentByKind() map[string]KindStats { return traffic.sent.byName() }

// ReceivedByKind returns the messages received, by the metric label of their kind.
func (traffic *Traffic) ReceivedByKind() map[string]KindStats { return traffic.received.byName() }

// Locator resolves the address of a VM and the link to it.
type Locator interface {
	// PeerAddress returns the UDP address of a VM, or "" if it is unknown.
	PeerAddress(vm berylspoke.VMID) string
	// Link returns the kind of link to a VM.
	Link(vm berylspoke.VMID) Link
}

// countingSocket counts the packets of QUIC on a UDP socket. It hides the socket's batch
// methods, so that quic-go passes each packet through WriteTo or ReadFrom once.
type countingSocket struct {
	net.PacketConn
	udp     *net.UDPConn
	traffic *Traffic
	// datagrams handles the datagrams, which QUIC must not see; it may be nil.
	datagrams func(from netip.AddrPort, packet []byte)
	mutex     sync.RWMutex
	links     map[string]Link
}

func (socket *countingSocket) setLink(address net.Addr, link Link) {
	socket.mutex.Lock()
	socket.links[address.String()] = link
	socket.mutex.Unlock()
}

func (socket *countingSocket) copyLinks() map[string]Link {
	socket.mutex.RLock()
	defer socket.mutex.RUnlock()
	return maps.Clone(socket.links)
}

func (socket *countingSocket) link(address net.Addr) Link {
	socket.mutex.RLock()
	defer socket.mutex.RUnlock()
	return socket.links[address.String()]
}

// WriteTo implements net.PacketConn.
func (socket *countingSocket) WriteTo(packet []byte, address net.Addr) (int, error) {
	socket.traffic.countSent(socket.link(address), len(packet))
	return socket.PacketConn.WriteTo(packet, address)
}

// ReadFrom implements net.PacketConn. It passes datagrams to their handler and returns
// QUIC's packets.
func (socket *countingSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		size, from, err := socket.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return size, nil, err
		}
		socket.traffic.PacketsReceived.Add(1)
		if size > 0 && buffer[0] == datagramMark {
			if socket.datagrams != nil {
				socket.datagrams(from, buffer[:size])
			}
			continue
		}
		address := net.UDPAddrFromAddrPort(from)
		socket.traffic.Received[socket.link(address)].Add(uint64(size + datagramHeaders))
		return size, address, nil
	}
}

// SetReadBuffer sets the size of the socket's receive buffer; quic-go calls it.
func (socket *countingSocket) SetReadBuffer(bytes int) error {
	return errors.Wrap(socket.udp.SetReadBuffer(bytes), "receive buffer cannot be sized")
}

// SetWriteBuffer sets the size of the socket's send buffer; quic-go calls it.
func (socket *countingSocket) SetWriteBuffer(bytes int) error {
	return errors.Wrap(socket.udp.SetWriteBuffer(bytes), "send buffer cannot be sized")
}
