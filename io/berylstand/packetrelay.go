package berylstand

// This file defines relays of packets, which cut or swallow what passes between
// processes.

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Filter says whether a packet from one host to another passes.
type Filter func(fromHost, toHost string) bool

// PacketRelay carries UDP packets to one address and back, as far as the filter
// lets them pass; the two directions are asked apart.
type PacketRelay struct {
	front    *net.UDPConn
	back     *net.UDPAddr
	filter   Filter
	mutex    sync.Mutex
	sessions map[string]*net.UDPConn
	// forgotten are senders whose packets are swallowed for good.
	forgotten map[string]bool
}

// maxPacket is the largest packet relayed.
const maxPacket = 2048

// NewPacketRelay listens on front and relays to back.
func NewPacketRelay(front, back string, filter Filter) (*PacketRelay, error) {
	frontAddress, err := net.ResolveUDPAddr("udp", front)
	if err != nil {
		return nil, errors.Wrap(err, "relay address")
	}
	backAddress, err := net.ResolveUDPAddr("udp", back)
	if err != nil {
		return nil, errors.Wrap(err, "relayed address")
	}
	conn, err := net.ListenUDP("udp", frontAddress)
	if err != nil {
		return nil, errors.Wrap(err, "relay cannot listen")
	}
	relay := &PacketRelay{
		front: conn, back: backAddress, filter: filter,
		sessions: make(map[string]*net.UDPConn), forgotten: make(map[string]bool),
	}
	go relay.forward()
	return relay, nil
}

func (relay *PacketRelay) forward() {
	buffer := make([]byte, maxPacket)
	for {
		size, from, err := relay.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if !relay.filter(from.IP.String(), relay.back.IP.String()) {
			continue
		}
		if session := relay.session(from); session != nil {
			_, _ = session.Write(buffer[:size])
		}
	}
}

// session returns the socket that stands for one sender.
func (relay *PacketRelay) session(from *net.UDPAddr) *net.UDPConn {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.forgotten[from.String()] {
		return nil
	}
	if session := relay.sessions[from.String()]; session != nil {
		return session
	}
	local := relay.front.LocalAddr().(*net.UDPAddr)
	session, err := net.DialUDP("udp", &net.UDPAddr{IP: local.IP}, relay.back)
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
			continue // the relayed process is down for now
		}
		if relay.filter(relay.back.IP.String(), to.IP.String()) && !relay.swallows(to) {
			_, _ = relay.front.WriteToUDP(buffer[:size], to)
		}
	}
}

func (relay *PacketRelay) swallows(sender *net.UDPAddr) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.forgotten[sender.String()]
}

// Forget swallows from now on what the present senders' ports send and get, as
// something does that lost track of their flows; other ports work.
func (relay *PacketRelay) Forget() int {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for sender := range relay.sessions {
		relay.forgotten[sender] = true
	}
	return len(relay.sessions)
}

// Close stops the relay.
func (relay *PacketRelay) Close() {
	_ = relay.front.Close()
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for _, session := range relay.sessions {
		_ = session.Close()
	}
}
