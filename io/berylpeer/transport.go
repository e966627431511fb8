package berylpeer

// This file defines the transport and its connections to peers.

import (
	"context"
	"crypto/tls"
	"io"
	"net"
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
	// silenceCheckInterval is the interval between checks for silent connections.
	silenceCheckInterval = 300 * time.Millisecond
	// silenceTimeout is how long a connection may send packets without receiving any
	// before it is closed.
	silenceTimeout = 1200 * time.Millisecond
	// maxDatagramBytes bounds a datagram so that it fits one packet on every path.
	maxDatagramBytes = 1100
	// maxStreamBytes bounds a packet received on a stream.
	maxStreamBytes = 8 << 20
	// sendQueueLength bounds the small packets that wait for the connection to a peer,
	// largeQueueLength those that are sent on streams.
	sendQueueLength  = 256
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

// Transport implements berylspoke.Peers over QUIC.
type Transport struct {
	options Options
	socket  *countingSocket
	quic    *quic.Transport
	tls     *tls.Config
	config  *quic.Config
	ctx     context.Context
	stop    context.CancelFunc
	traffic Traffic
	mutex   sync.Mutex
	peers   map[berylspoke.VMID]*peer
}

var _ berylspoke.Peers = (*Transport)(nil)

// peer is the send queues and the current connection of one VM. Packets that need a
// stream have a queue of their own, as a stream over a slow link would delay the others.
type peer struct {
	vm           berylspoke.VMID
	small, large chan []byte
	conn         *quic.Conn
	// packetsSent and packetsReceived are the connection's packet counts at
	// silentSince, the last check that found a packet received or none sent.
	packetsSent, packetsReceived uint64
	silentSince                  time.Time
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
		config: &quic.Config{
			HandshakeIdleTimeout:    handshakeTimeout,
			MaxIdleTimeout:          idleTimeout,
			EnableDatagrams:         true,
			DisablePathMTUDiscovery: true,
			MaxIncomingStreams:      -1,
			MaxIncomingUniStreams:   16,
		},
	}
	transport.ctx, transport.stop = context.WithCancel(context.Background())
	transport.socket = &countingSocket{PacketConn: udp, udp: udp, traffic: &transport.traffic, links: make(map[string]Link)}
	resetKey, err := deriveKey(options.Keys[0], "reset "+string(options.VM), 32)
	if err != nil {
		return nil, err
	}
	// A restarted daemon has the same stateless reset key, so peers detect at once
	// that their old connections to it are gone.
	transport.quic = &quic.Transport{Conn: transport.socket, StatelessResetKey: (*quic.StatelessResetKey)(resetKey)}
	listener, err := transport.quic.Listen(tlsConfig, transport.config)
	if err != nil {
		return nil, errors.Wrap(err, "peer listener cannot be opened")
	}
	go transport.acceptLoop(listener)
	go transport.closeSilentLoop()
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
}

// Close closes the socket and all connections.
func (transport *Transport) Close() {
	transport.stop()
	_ = transport.quic.Close()
	_ = transport.socket.Close()
}

// Send implements berylspoke.Peers.
func (transport *Transport) Send(to berylspoke.VMID, message berylspoke.Message) {
	transport.SendAll(to, []berylspoke.Message{message})
}

// SendAll sends messages to one peer in as few packets as possible.
func (transport *Transport) SendAll(to berylspoke.VMID, messages []berylspoke.Message) {
	var packet []byte
	for _, message := range messages {
		body, err := encode(message)
		if err != nil {
			transport.options.Log.Error("message cannot be sent and is dropped", zap.Error(err))
			continue
		}
		transport.traffic.messages[body[0]].Add(1)
		transport.traffic.messageBytes[body[0]].Add(uint64(len(body)))
		if len(packet) > 0 && len(packet)+len(body) > maxDatagramBytes {
			transport.enqueue(to, packet)
			packet = nil
		}
		packet = append(packet, body...)
	}
	if len(packet) > 0 {
		transport.enqueue(to, packet)
	}
}

// enqueue queues a packet for a peer. A full queue means that the peer is
// unreachable; the packet is dropped, since delivery is not guaranteed.
func (transport *Transport) enqueue(to berylspoke.VMID, packet []byte) {
	transport.mutex.Lock()
	found := transport.peer(to)
	transport.mutex.Unlock()
	queue := found.small
	if len(packet) > maxDatagramBytes {
		queue = found.large
	}
	select {
	case queue <- packet:
	default:
	}
}

// peer returns the peer of a VM, adding it if needed; the caller holds the mutex.
func (transport *Transport) peer(vm berylspoke.VMID) *peer {
	found := transport.peers[vm]
	if found == nil {
		found = &peer{vm: vm, small: make(chan []byte, sendQueueLength), large: make(chan []byte, largeQueueLength)}
		transport.peers[vm] = found
		go transport.sendLoop(found, found.small, transport.writeSmall)
		go transport.sendLoop(found, found.large, transport.writeLarge)
	}
	return found
}

// sendLoop writes the packets of one queue of a peer.
func (transport *Transport) sendLoop(peer *peer, queue <-chan []byte, write func(*quic.Conn, []byte)) {
	for {
		select {
		case <-transport.ctx.Done():
			return
		case packet := <-queue:
			conn := transport.connection(peer)
			if conn == nil {
				continue // peer unreachable: the packet is dropped
			}
			write(conn, packet)
		}
	}
}

// writeSmall writes a packet as a datagram, or on a stream if the peer takes none.
func (transport *Transport) writeSmall(conn *quic.Conn, packet []byte) {
	if err := conn.SendDatagram(packet); err != nil {
		transport.writeLarge(conn, packet)
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
	found.packetsSent, found.packetsReceived, found.silentSince = 0, 0, time.Now()
	transport.mutex.Unlock()
	go transport.readDatagrams(vm, conn)
	go transport.readStreams(vm, conn)
}

func (transport *Transport) acceptLoop(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(transport.ctx)
		if err != nil {
			return
		}
		vm := certifiedVM(conn)
		transport.socket.setLink(conn.RemoteAddr(), transport.options.Locator.Link(vm))
		transport.setConnection(vm, conn)
	}
}

func (transport *Transport) readDatagrams(vm berylspoke.VMID, conn *quic.Conn) {
	for {
		packet, err := conn.ReceiveDatagram(transport.ctx)
		if err != nil {
			return
		}
		transport.deliver(vm, packet)
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
	messages, err := decode(vm, packet)
	if err != nil {
		transport.options.Log.Warn("packet cannot be decoded; remaining messages dropped", zap.String("peer", string(vm)), zap.Error(err))
	}
	if len(messages) > 0 {
		transport.options.Handler(vm, messages)
	}
}

// closeSilentLoop closes connections whose flow a middlebox no longer forwards.
// Sending on such a connection reports no error, while a new connection to the same
// peer works. Since QUIC acknowledges received packets, a connection that sends packets
// for silenceTimeout and receives none counts as broken; the next message dials again.
func (transport *Transport) closeSilentLoop() {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-transport.ctx.Done():
			return
		case now := <-ticker.C:
			for _, conn := range transport.detachSilent(now) {
				_ = conn.CloseWithError(0, "silent")
			}
		}
	}
}

func (transport *Transport) detachSilent(now time.Time) []*quic.Conn {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	var silent []*quic.Conn
	for _, peer := range transport.peers {
		if peer.conn == nil || peer.conn.Context().Err() != nil {
			continue
		}
		stats := peer.conn.ConnectionStats()
		if stats.PacketsReceived != peer.packetsReceived || stats.PacketsSent == peer.packetsSent {
			peer.packetsSent, peer.packetsReceived, peer.silentSince = stats.PacketsSent, stats.PacketsReceived, now
			continue
		}
		if now.Sub(peer.silentSince) > silenceTimeout {
			silent = append(silent, peer.conn)
			peer.conn, peer.wasSilent = nil, true
		}
	}
	return silent
}

// Connections returns the number of open connections.
func (transport *Transport) Connections() int {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	count := 0
	for _, peer := range transport.peers {
		if peer.conn != nil && peer.conn.Context().Err() == nil {
			count++
		}
	}
	return count
}
