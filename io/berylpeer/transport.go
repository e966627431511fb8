package berylpeer

// This file defines the transport that keeps a connection to each peer in use.

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
	// idleTimeout closes connections that no role uses any more.
	idleTimeout = 20 * time.Second
	// handshakeTimeout bounds the wait for a peer that does not answer.
	handshakeTimeout = time.Second
	// silenceCheck is the time between two looks for silent connections.
	silenceCheck = 300 * time.Millisecond
	// silentAfter is the time after which sent packets without any packet in
	// return make a connection suspect.
	silentAfter = 1200 * time.Millisecond
	// datagramBytes keeps messages within one packet on every path.
	datagramBytes = 1100
	// streamBytes bounds a message that comes as a stream.
	streamBytes = 8 << 20
	// queueLength bounds the packets that wait for a peer's connection.
	queueLength = 256
	// redialAfter is the time after a first failed attempt to reach a peer; it
	// doubles up to redialMost. An attempt costs several packets of 1,200 bytes.
	redialAfter = 250 * time.Millisecond
	redialMost  = 8 * time.Second
	// writeTimeout bounds the wait for a stream to a peer.
	writeTimeout = 2 * time.Second
)

// Handler takes the messages of a peer.
type Handler func(from berylspoke.VMID, messages []berylspoke.Message)

// Options are the settings of a transport.
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
	socket  *countedSocket
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

// peer is the queue and the present connection to one VM.
type peer struct {
	vm    berylspoke.VMID
	queue chan []byte
	conn  *quic.Conn
	// sent and received are the connection's packet counts when it was last
	// seen to hear from the peer.
	sent, received uint64
	quietSince     time.Time
	// silenced is set when the last connection went silent; the next one is
	// dialled from another port.
	silenced bool
	// failures counts the attempts that failed in a row, redial is when the
	// next one may be made.
	failures int
	redial   time.Time
}

// Listen opens the transport's socket and accepts peers until Close.
func Listen(options Options) (*Transport, error) {
	address, err := net.ResolveUDPAddr("udp", options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer address %q", options.Address)
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
	transport.socket = &countedSocket{PacketConn: udp, udp: udp, traffic: &transport.traffic, links: make(map[string]Link)}
	resetKey, err := derive(options.Keys[0], "reset "+string(options.VM), 32)
	if err != nil {
		return nil, err
	}
	// A restarted daemon has the same reset key, so peers learn at once that
	// their old connections to it are gone.
	transport.quic = &quic.Transport{Conn: transport.socket, StatelessResetKey: (*quic.StatelessResetKey)(resetKey)}
	listener, err := transport.quic.Listen(tlsConfig, transport.config)
	if err != nil {
		return nil, errors.Wrap(err, "peer listener cannot be opened")
	}
	go transport.accept(listener)
	go transport.watchSilence()
	return transport, nil
}

// Traffic returns the byte counters.
func (transport *Transport) Traffic() *Traffic { return &transport.traffic }

// Relink asks the locator anew which links the open connections cross.
func (transport *Transport) Relink() {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	for vm, peer := range transport.peers {
		if peer.conn != nil {
			transport.socket.setLink(peer.conn.RemoteAddr(), transport.options.Locator.Link(vm))
		}
	}
}

// Close ends all connections.
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
			transport.options.Log.Error("message dropped", zap.Error(err))
			continue
		}
		transport.traffic.messages[body[0]].Add(1)
		transport.traffic.payload[body[0]].Add(uint64(len(body)))
		if len(packet) > 0 && len(packet)+len(body) > datagramBytes {
			transport.enqueue(to, packet)
			packet = nil
		}
		packet = append(packet, body...)
	}
	if len(packet) > 0 {
		transport.enqueue(to, packet)
	}
}

// enqueue hands a packet to the peer's sender. A full queue means that the peer
// is out of reach; the packet is dropped, as the network would.
func (transport *Transport) enqueue(to berylspoke.VMID, packet []byte) {
	transport.mutex.Lock()
	found := transport.peer(to)
	transport.mutex.Unlock()
	select {
	case found.queue <- packet:
	default:
	}
}

// peer finds or makes a peer; the caller holds the mutex.
func (transport *Transport) peer(vm berylspoke.VMID) *peer {
	found := transport.peers[vm]
	if found == nil {
		found = &peer{vm: vm, queue: make(chan []byte, queueLength)}
		transport.peers[vm] = found
		go transport.sendLoop(found)
	}
	return found
}

func (transport *Transport) sendLoop(peer *peer) {
	for {
		select {
		case <-transport.ctx.Done():
			return
		case packet := <-peer.queue:
			conn := transport.connection(peer)
			if conn == nil {
				continue // out of reach: the packet is lost, as on a network
			}
			transport.write(conn, packet)
		}
	}
}

func (transport *Transport) write(conn *quic.Conn, packet []byte) {
	if len(packet) <= datagramBytes {
		if err := conn.SendDatagram(packet); err == nil {
			return
		}
	}
	ctx, cancel := context.WithTimeout(transport.ctx, writeTimeout)
	defer cancel()
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(idleTimeout))
	_, _ = stream.Write(packet)
	_ = stream.Close()
}

// connection returns the open connection to a peer or dials one.
func (transport *Transport) connection(peer *peer) *quic.Conn {
	transport.mutex.Lock()
	conn, silenced := peer.conn, peer.silenced
	transport.mutex.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn
	}
	if time.Now().Before(peer.redial) {
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
	settings := transport.tls.Clone()
	settings.ServerName = string(peer.vm)
	conn, err = transport.dial(ctx, address, settings, silenced)
	if err != nil {
		peer.redial = time.Now().Add(min(redialAfter<<min(peer.failures, 8), redialMost))
		peer.failures++
		transport.options.Log.Debug("peer not reached", zap.String("peer", string(peer.vm)), zap.Error(err))
		return nil
	}
	if name := peerName(conn); name != peer.vm {
		// The address of a replaced VM now belongs to another one.
		_ = conn.CloseWithError(0, "another VM")
		return nil
	}
	peer.failures = 0
	transport.adopt(peer.vm, conn)
	return conn
}

// dial opens a connection from the shared port, or from a port of its own after
// a silence: what lost track of the flow between two ports would swallow the
// packets of a new connection between them too.
func (transport *Transport) dial(ctx context.Context, address net.Addr, settings *tls.Config, silenced bool) (*quic.Conn, error) {
	if !silenced {
		return transport.quic.Dial(ctx, address, settings, transport.config)
	}
	local := transport.socket.udp.LocalAddr().(*net.UDPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP})
	if err != nil {
		return nil, errors.Wrap(err, "port after a silence")
	}
	socket := &countedSocket{PacketConn: udp, udp: udp, traffic: &transport.traffic, links: transport.socket.copyLinks()}
	own := &quic.Transport{Conn: socket}
	conn, err := own.Dial(ctx, address, settings, transport.config)
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

func peerName(conn *quic.Conn) berylspoke.VMID {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return ""
	}
	return berylspoke.VMID(certificates[0].Subject.CommonName)
}

// adopt makes a connection the one used to its peer and reads from it.
func (transport *Transport) adopt(vm berylspoke.VMID, conn *quic.Conn) {
	transport.mutex.Lock()
	found := transport.peer(vm)
	found.conn = conn
	found.sent, found.received, found.quietSince = 0, 0, time.Now()
	transport.mutex.Unlock()
	go transport.readDatagrams(vm, conn)
	go transport.readStreams(vm, conn)
}

func (transport *Transport) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(transport.ctx)
		if err != nil {
			return
		}
		vm := peerName(conn)
		transport.socket.setLink(conn.RemoteAddr(), transport.options.Locator.Link(vm))
		transport.adopt(vm, conn)
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
		packet, err := io.ReadAll(io.LimitReader(stream, streamBytes+1))
		if err != nil || len(packet) > streamBytes {
			stream.CancelRead(0)
			continue
		}
		transport.deliver(vm, packet)
	}
}

func (transport *Transport) deliver(vm berylspoke.VMID, packet []byte) {
	messages, err := decode(vm, packet)
	if err != nil {
		transport.options.Log.Warn("message refused", zap.String("peer", string(vm)), zap.Error(err))
	}
	if len(messages) > 0 {
		transport.options.Handler(vm, messages)
	}
}

// watchSilence closes connections that something between the two ends forgot.
// Such a connection takes packets without an error, and a new one to the same
// peer works. QUIC acknowledges what it receives, so packets sent without any
// in return for a while show it; the next message dials anew.
func (transport *Transport) watchSilence() {
	ticker := time.NewTicker(silenceCheck)
	defer ticker.Stop()
	for {
		select {
		case <-transport.ctx.Done():
			return
		case now := <-ticker.C:
			for _, conn := range transport.silent(now) {
				_ = conn.CloseWithError(0, "silent")
			}
		}
	}
}

func (transport *Transport) silent(now time.Time) []*quic.Conn {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	var silent []*quic.Conn
	for _, peer := range transport.peers {
		if peer.conn == nil || peer.conn.Context().Err() != nil {
			continue
		}
		stats := peer.conn.ConnectionStats()
		if stats.PacketsReceived != peer.received || stats.PacketsSent == peer.sent {
			peer.sent, peer.received, peer.quietSince = stats.PacketsSent, stats.PacketsReceived, now
			continue
		}
		if now.Sub(peer.quietSince) > silentAfter {
			silent = append(silent, peer.conn)
			peer.conn, peer.silenced = nil, true
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
