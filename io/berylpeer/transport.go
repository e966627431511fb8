package berylpeer

// This file defines the transport and its connections to peers.

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"berylspoke"
)

const (
	// idleTimeout is the time without messages after which a connection is closed.
	idleTimeout = 20 * time.Second
	// handshakeTimeout bounds the wait for a peer that does not respond.
	handshakeTimeout = time.Second
	// silenceCheckInterval is the interval between checks whether a connection is silent.
	silenceCheckInterval = 300 * time.Millisecond
	// silenceTimeout is how long packets may be sent to a peer without receiving any
	// before another connection or port is used.
	silenceTimeout = 1200 * time.Millisecond
	// maxDatagramBytes bounds the messages in a datagram so that it fits one packet on
	// every path.
	maxDatagramBytes = 1100
	// maxPacketBytes bounds a received packet.
	maxPacketBytes = 2048
	// maxStreamBytes bounds a packet received on a stream.
	maxStreamBytes = 8 << 20
	// largeQueueLength bounds the packets that wait for a stream to a peer.
	largeQueueLength = 32
	// minRedialDelay is the delay after the first failed dial of a peer; it doubles with
	// each further failure, up to maxRedialDelay. A dial costs several packets of 1,200
	// bytes.
	minRedialDelay = 250 * time.Millisecond
	maxRedialDelay = 8 * time.Second
	// openStreamTimeout bounds the wait to open a stream to a peer.
	openStreamTimeout = 2 * time.Second
)

// Handler processes messages received from a peer.
type Handler func(from berylspoke.VMID, messages []berylspoke.Message)

// Options configures a transport.
type Options struct {
	VM      berylspoke.VMID
	Address string
	Keys    [][]byte
	Locator Locator
	Handler Handler
	Log     *zap.Logger
}

// Transport implements berylspoke.Peers. Messages that fit a packet are sent as datagrams,
// larger ones on streams of QUIC.
type Transport struct {
	options Options
	socket  *countingSocket
	quic    *quic.Transport
	tls     *tls.Config
	config  *quic.Config
	ctx     context.Context
	stop    context.CancelFunc
	traffic Traffic
	epoch   epoch
	mutex   sync.Mutex
	peers   map[berylspoke.VMID]*peer
	flows   map[berylspoke.VMID]*flow
	// handshakes are those that others have begun.
	handshakes handshakes
}

var _ berylspoke.Peers = (*Transport)(nil)

// peer is the queue of large packets and the current connection of one VM.
type peer struct {
	vm    berylspoke.VMID
	large chan []byte
	conn  *quic.Conn
	// wasSilent is set when a connection is closed as silent; from then on each dial
	// uses a new local port.
	wasSilent bool
	// dialing is held during a dial. failures counts consecutive failed dials; nextDial
	// is the earliest time of the next one.
	dialing  sync.Mutex
	failures int
	nextDial time.Time
}

// Listen opens the transport's socket and accepts peers until Close.
func Listen(options Options) (*Transport, error) {
	address, err := net.ResolveUDPAddr("udp", options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q cannot be resolved", options.Address)
	}
	udp, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer socket cannot be opened")
	}
	tlsConfig, err := tlsConfig(time.Now(), options.VM, options.Keys)
	if err != nil {
		return nil, err
	}
	transport := &Transport{
		options: options, tls: tlsConfig,
		peers: make(map[berylspoke.VMID]*peer),
		flows: make(map[berylspoke.VMID]*flow),
		epoch: epoch(rand.Uint64() | 1),
		config: &quic.Config{
			HandshakeIdleTimeout:    handshakeTimeout,
			MaxIdleTimeout:          idleTimeout,
			DisablePathMTUDiscovery: true,
			MaxIncomingStreams:      -1,
			MaxIncomingUniStreams:   16,
		},
	}
	transport.handshakes.log = options.Log
	transport.ctx, transport.stop = context.WithCancel(context.Background())
	transport.socket = &countingSocket{PacketConn: udp, udp: udp, traffic: &transport.traffic, links: make(map[string]Link)}
	transport.socket.datagrams = func(from netip.AddrPort, packet []byte) {
		transport.receiveDatagram(time.Now(), path{address: from}, packet)
	}
	resetKey, err := deriveKey(options.Keys[0], "reset "+string(options.VM), 32)
	if err != nil {
		return nil, err
	}
	// A restarted daemon has the same stateless reset key, so peers detect at once
	// that their old connections to it are gone.
	transport.quic = &quic.Transport{
		Conn: transport.socket, StatelessResetKey: (*quic.StatelessResetKey)(resetKey),
		ConnContext: transport.handshakes.begin, VerifySourceAddress: transport.handshakes.verifies,
	}
	listener, err := transport.quic.Listen(tlsConfig, transport.config)
	if err != nil {
		return nil, errors.Wrap(err, "peer listener cannot be opened")
	}
	go transport.acceptLoop(listener)
	return transport, nil
}

// Traffic returns the byte counters.
func (transport *Transport) Traffic() *Traffic { return &transport.traffic }

// UpdateLinks refreshes the links of the open connections from the locator.
func (transport *Transport) UpdateLinks() {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	for vm, peer := range transport.peers {
		if peer.conn != nil {
			transport.socket.setLink(peer.conn.RemoteAddr(), transport.options.Locator.Link(vm))
		}
	}
	for vm, flow := range transport.flows {
		flow.link = transport.options.Locator.Link(vm)
	}
}

// Close closes the socket and all connections.
func (transport *Transport) Close() {
	transport.stop()
	_ = transport.quic.Close()
	_ = transport.socket.Close()
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	for _, flow := range transport.flows {
		transport.closeSocket(flow)
	}
}

// Send implements berylspoke.Peers.
func (transport *Transport) Send(to berylspoke.VMID, message berylspoke.Message) {
	transport.SendAll(to, []berylspoke.Message{message})
}

// SendAll sends messages to one peer in as few packets as possible.
func (transport *Transport) SendAll(to berylspoke.VMID, messages []berylspoke.Message) {
	transport.Broadcast([]berylspoke.VMID{to}, messages)
}

// Broadcast sends the same messages to each of several peers, encoding them once.
func (transport *Transport) Broadcast(to []berylspoke.VMID, messages []berylspoke.Message) {
	now := time.Now()
	for _, packet := range transport.packets(messages, len(to)) {
		for _, vm := range to {
			if len(packet) > maxDatagramBytes {
				transport.enqueue(vm, packet)
			} else {
				transport.sendDatagram(now, vm, packet)
			}
		}
	}
}

// packets encodes messages for a number of receivers.
func (transport *Transport) packets(messages []berylspoke.Message, receivers int) [][]byte {
	var packets [][]byte
	var packet []byte
	for _, message := range messages {
		body, err := encode(message)
		if err != nil {
			transport.options.Log.Error("message cannot be sent and is dropped", zap.Error(err))
			continue
		}
		for range receivers {
			transport.traffic.sent.add(kind(body[0]), len(body))
		}
		if len(packet) > 0 && len(packet)+len(body) > maxDatagramBytes {
			packets = append(packets, packet)
			packet = nil
		}
		packet = append(packet, body...)
	}
	if len(packet) > 0 {
		packets = append(packets, packet)
	}
	return packets
}

// enqueue queues a large packet for a peer. A full queue means that the peer is
// unreachable; the packet is dropped, since delivery is not guaranteed.
func (transport *Transport) enqueue(to berylspoke.VMID, packet []byte) {
	transport.mutex.Lock()
	found := transport.peer(to)
	transport.mutex.Unlock()
	select {
	case found.large <- packet:
	default:
	}
}

// peer returns the peer of a VM, adding it if needed; the caller holds the mutex.
func (transport *Transport) peer(vm berylspoke.VMID) *peer {
	found := transport.peers[vm]
	if found == nil {
		found = &peer{vm: vm, large: make(chan []byte, largeQueueLength)}
		transport.peers[vm] = found
		go transport.sendLoop(found)
	}
	return found
}

// sendLoop writes the large packets of a peer.
func (transport *Transport) sendLoop(peer *peer) {
	for {
		select {
		case <-transport.ctx.Done():
			return
		case packet := <-peer.large:
			if conn := transport.connection(peer); conn != nil {
				transport.writeLarge(conn, packet)
			}
		}
	}
}

// writeLarge writes a packet on a stream of its own.
func (transport *Transport) writeLarge(conn *quic.Conn, packet []byte) {
	ctx, cancel := context.WithTimeout(transport.ctx, openStreamTimeout)
	defer cancel()
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(idleTimeout))
	_, _ = stream.Write(packet)
	_ = stream.Close()
}

// connection returns the open connection to a peer, dialling one if there is none. It
// returns nil if the peer cannot be reached or may not be dialled yet.
func (transport *Transport) connection(peer *peer) *quic.Conn {
	peer.dialing.Lock()
	defer peer.dialing.Unlock()
	transport.mutex.Lock()
	conn, newPort := peer.conn, peer.wasSilent
	transport.mutex.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn
	}
	if time.Now().Before(peer.nextDial) {
		return nil
	}
	text := transport.options.Locator.PeerAddress(peer.vm)
	address, err := net.ResolveUDPAddr("udp", text)
	if text == "" || err != nil {
		return nil
	}
	transport.socket.setLink(address, transport.options.Locator.Link(peer.vm))
	ctx, cancel := context.WithTimeout(transport.ctx, handshakeTimeout)
	defer cancel()
	tlsConfig := transport.tls.Clone()
	tlsConfig.ServerName = string(peer.vm)
	conn, err = transport.dial(ctx, address, tlsConfig, newPort)
	if err != nil {
		peer.nextDial = time.Now().Add(min(minRedialDelay<<min(peer.failures, 8), maxRedialDelay))
		peer.failures++
		transport.options.Log.Debug("dial to peer failed", zap.String("peer", string(peer.vm)), zap.Error(err))
		return nil
	}
	if name := certifiedVM(conn); name != peer.vm {
		// The VM was replaced, and its address now belongs to another VM.
		_ = conn.CloseWithError(0, "another VM")
		return nil
	}
	peer.failures = 0
	transport.setConnection(peer.vm, conn)
	return conn
}

// dial opens a connection from the shared port, or from a new port if an earlier
// connection went silent. A middlebox that lost its state for the flow between two
// ports would drop the packets of a new connection between the same ports too.
func (transport *Transport) dial(ctx context.Context, address net.Addr, tlsConfig *tls.Config, newPort bool) (*quic.Conn, error) {
	if !newPort {
		return transport.quic.Dial(ctx, address, tlsConfig, transport.config)
	}
	local := transport.socket.udp.LocalAddr().(*net.UDPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP})
	if err != nil {
		return nil, errors.Wrap(err, "socket on a new port cannot be opened")
	}
	socket := &countingSocket{PacketConn: udp, udp: udp, traffic: &transport.traffic, links: transport.socket.copyLinks()}
	own := &quic.Transport{Conn: socket}
	conn, err := own.Dial(ctx, address, tlsConfig, transport.config)
	if err != nil {
		_ = own.Close()
		_ = socket.Close()
		return nil, err
	}
	context.AfterFunc(conn.Context(), func() {
		_ = own.Close()
		_ = socket.Close()
	})
	return conn, nil
}

func certifiedVM(conn *quic.Conn) berylspoke.VMID {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return ""
	}
	return berylspoke.VMID(certificates[0].Subject.CommonName)
}

// setConnection makes a connection the current one of its peer and starts reading
// from it.
func (transport *Transport) setConnection(vm berylspoke.VMID, conn *quic.Conn) {
	transport.mutex.Lock()
	found := transport.peer(vm)
	found.conn = conn
	transport.mutex.Unlock()
	go transport.readStreams(vm, conn)
	go transport.closeIfSilent(found, conn)
}

func (transport *Transport) acceptLoop(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(transport.ctx)
		if err != nil {
			return
		}
		transport.handshakes.end(conn)
		vm := certifiedVM(conn)
		transport.socket.setLink(conn.RemoteAddr(), transport.options.Locator.Link(vm))
		transport.setConnection(vm, conn)
	}
}

func (transport *Transport) readStreams(vm berylspoke.VMID, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptUniStream(transport.ctx)
		if err != nil {
			return
		}
		_ = stream.SetReadDeadline(time.Now().Add(idleTimeout))
		packet, err := io.ReadAll(io.LimitReader(stream, maxStreamBytes+1))
		if err != nil || len(packet) > maxStreamBytes {
			stream.CancelRead(0)
			continue
		}
		transport.deliver(vm, packet)
	}
}

func (transport *Transport) deliver(vm berylspoke.VMID, packet []byte) {
	messages, err := decode(vm, packet, transport.traffic.received.add)
	if err != nil {
		transport.options.Log.Warn("packet cannot be decoded; remaining messages dropped", zap.String("peer", string(vm)), zap.Error(err))
	}
	if len(messages) > 0 {
		transport.options.Handler(vm, messages)
	}
}

// closeIfSilent closes a connection whose flow a middlebox no longer forwards. Sending on
// it reports no error, while a new connection to the same peer works. Since QUIC
// acknowledges received packets, a connection that sends packets for silenceTimeout and
// receives none counts as broken; the next message dials again.
func (transport *Transport) closeIfSilent(peer *peer, conn *quic.Conn) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	last, silentSince := conn.ConnectionStats(), time.Now()
	for {
		select {
		case <-conn.Context().Done():
			return
		case now := <-ticker.C:
			stats := conn.ConnectionStats()
			if stats.PacketsReceived != last.PacketsReceived || stats.PacketsSent == last.PacketsSent {
				last, silentSince = stats, now
				continue
			}
			if now.Sub(silentSince) > silenceTimeout {
				transport.detach(peer, conn)
				_ = conn.CloseWithError(0, "silent")
				return
			}
		}
	}
}

// detach makes the next packet to a peer dial from another port.
func (transport *Transport) detach(peer *peer, conn *quic.Conn) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if peer.conn == conn {
		peer.conn, peer.wasSilent = nil, true
	}
}

// Connections returns the number of peers with which datagrams are exchanged or a
// connection is open.
func (transport *Transport) Connections() int {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	connected := make(map[berylspoke.VMID]bool)
	for vm, flow := range transport.flows {
		if flow.run != 0 && time.Since(flow.heardAt) < idleTimeout {
			connected[vm] = true
		}
	}
	for vm, peer := range transport.peers {
		if peer.conn != nil && peer.conn.Context().Err() == nil {
			connected[vm] = true
		}
	}
	return len(connected)
}
