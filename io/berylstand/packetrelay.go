package berylstand

// This file defines relays of UDP packets that drop some of the packets between
// processes.

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Filter reports whether a packet from one host to another passes.
type Filter func(fromHost, toHost string) bool

// PacketRelay forwards UDP packets to an upstream address and back if the filter lets
// them pass, which it decides for each direction separately.
type PacketRelay struct {
	downstream *net.UDPConn
	upstream   *net.UDPAddr
	filter     Filter
	mutex      sync.Mutex
	// sessions are the upstream sockets by the address of the sender.
	sessions map[string]*net.UDPConn
	// blackholed are senders whose packets are dropped in both directions.
	blackholed map[string]bool
}

// maxPacket is the size of the largest packet forwarded.
const maxPacket = 2048

// NewPacketRelay starts a relay from a listen address to an upstream address.
func NewPacketRelay(listen, upstream string, filter Filter) (*PacketRelay, error) {
	listenAddress, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "relay has an invalid listen address")
	}
	upstreamAddress, err := net.ResolveUDPAddr("udp", upstream)
	if err != nil {
		return nil, errors.Wrap(err, "relay has an invalid upstream address")
	}
	conn, err := net.ListenUDP("udp", listenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "relay cannot listen")
	}
	relay := &PacketRelay{
		downstream: conn, upstream: upstreamAddress, filter: filter,
		sessions: make(map[string]*net.UDPConn), blackholed: make(map[string]bool),
	}
	go relay.forward()
	return relay, nil
}

func (relay *PacketRelay) forward() {
	buffer := make([]byte, maxPacket)
	for {
		size, from, err := relay.downstream.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if !relay.filter(from.IP.String(), relay.upstream.IP.String()) {
			continue
		}
		if session := relay.session(from); session != nil {
			_, _ = session.Write(buffer[:size])
		}
	}
}

// session returns the upstream socket of a sender, which it opens on the first packet, or
// nil if the packet must be dropped.
func (relay *PacketRelay) session(from *net.UDPAddr) *net.UDPConn {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.blackholed[from.String()] {
		return nil
	}
	if session := relay.sessions[from.String()]; session != nil {
		return session
	}
	local := relay.downstream.LocalAddr().(*net.UDPAddr)
	session, err := net.DialUDP("udp", &net.UDPAddr{IP: local.IP}, relay.upstream)
	if err != nil {
		return nil
	}
	relay.sessions[from.String()] = session
	go relay.backward(session, from)
	return session
}

func (relay *PacketRelay) backward(session *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxPacket)
	for {
		size, err := session.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the upstream process is down
		}
		if relay.filter(relay.upstream.IP.String(), to.IP.String()) && !relay.isBlackholed(to) {
			_, _ = relay.downstream.WriteToUDP(buffer[:size], to)
		}
	}
}

func (relay *PacketRelay) isBlackholed(sender *net.UDPAddr) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.blackholed[sender.String()]
}

// Blackhole drops from now on all packets from and to the present senders' ports, like a
// middlebox that has lost the state of their flows; other ports are not affected.
// It returns the number of these ports.
func (relay *PacketRelay) Blackhole() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for sender := range relay.sessions {
		relay.blackholed[sender] = true
	}
	return len(relay.sessions)
}

// Close stops the relay and closes its sockets.
func (relay *PacketRelay) Close() {
	_ = relay.downstream.Close()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for _, session := range relay.sessions {
		_ = session.Close()
	}
}
