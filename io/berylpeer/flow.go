package berylpeer

// This file defines the exchange of datagrams with each peer.

import (
	"crypto/cipher"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"berylspoke"
)

const (
	// maxWaiting bounds the packets that wait until a peer has answered for the first time.
	maxWaiting = 16
	// maxEndedRuns bounds the ended runs of a peer that are remembered.
	maxEndedRuns = 64
	// askInterval is the time without a datagram from a peer after which one is asked for.
	// It exceeds the interval of reports, and is shorter than silenceTimeout.
	askInterval = 600 * time.Millisecond
	// answerInterval is the minimum time between two answers to a peer.
	answerInterval = 200 * time.Millisecond
	// flowRetention is how long the flow of a VM that is not sent to is kept.
	flowRetention = time.Hour
)

// flow is the exchange of datagrams with one peer. The first datagrams only tell each side
// the epoch of the other; packets are sent once it is known.
type flow struct {
	vm   berylspoke.VMID
	link Link
	// path is where datagrams are sent from and to. A flow that was silent gets another
	// port, as a middlebox may drop all packets between the two ports for good.
	path path
	// sendCipher and counter seal what is sent.
	sendCipher cipher.AEAD
	counter    uint64
	// run is the current run of the peer, zero if unknown, and receiveCipher and window
	// those of the datagrams that it sends.
	run           epoch
	receiveCipher cipher.AEAD
	window        replayWindow
	// lastRun is the run that was current last.
	lastRun epoch
	// endedRuns are earlier runs, whose datagrams are ignored.
	endedRuns []epoch
	waiting   [][]byte
	// heardAt is when the last datagram was received, unheardSince when the first one was
	// sent after that, zero if none was.
	heardAt, unheardSince time.Time
	answeredAt            time.Time
	// greetedAt is when a datagram was last sent to a peer whose run is not known, and
	// greetings how many were.
	greetedAt time.Time
	greetings int
	// usedAt is when a datagram was last sent.
	usedAt time.Time
}

// path is a local socket, nil for the transport's own, and the address of a peer.
type path struct {
	socket  *net.UDPConn
	address netip.AddrPort
}

// outgoing is a sealed datagram to write.
type outgoing struct {
	path   path
	link   Link
	packet []byte
}

// flow returns the flow of a VM, adding it if needed; the caller holds the mutex.
func (transport *Transport) flow(now time.Time, vm berylspoke.VMID) *flow {
	found := transport.flows[vm]
	if found == nil {
		transport.dropUnusedFlows(now)
		aead, err := datagramCipher(transport.options.Keys[0], transport.options.VM, transport.epoch, vm)
		if err != nil {
			transport.options.Log.Error("datagrams cannot be sealed", zap.Error(err))
			return nil
		}
		found = &flow{vm: vm, usedAt: now, sendCipher: aead, link: transport.options.Locator.Link(vm)}
		transport.flows[vm] = found
	}
	return found
}

func (transport *Transport) dropUnusedFlows(now time.Time) {
	for vm, flow := range transport.flows {
		if now.Sub(flow.usedAt) > flowRetention {
			transport.closeSocket(flow)
			delete(transport.flows, vm)
		}
	}
}

// sendDatagram sends a packet to a peer, or keeps it until the peer has answered.
func (transport *Transport) sendDatagram(now time.Time, to berylspoke.VMID, packet []byte) {
	transport.mutex.Lock()
	var datagrams []outgoing
	if flow := transport.flow(now, to); flow != nil {
		transport.checkSilence(now, flow)
		if flow.run != 0 {
			datagrams = append(datagrams, transport.sealFor(now, flow, flow.run, packet))
		} else {
			flow.waiting = append(flow.waiting, packet)
			flow.waiting = flow.waiting[max(len(flow.waiting)-maxWaiting, 0):]
			if transport.mayGreet(now, flow) {
				datagrams = append(datagrams, transport.sealFor(now, flow, 0, nil))
			}
		}
	}
	transport.mutex.Unlock()
	transport.writeAll(datagrams)
}

// checkSilence treats a peer as unknown that was sent datagrams for silenceTimeout and sent
// none: it has ended, or packets between the two ports are lost.
func (transport *Transport) checkSilence(now time.Time, flow *flow) {
	if flow.run == 0 || flow.unheardSince.IsZero() || now.Sub(flow.unheardSince) <= silenceTimeout {
		return
	}
	flow.run, flow.unheardSince = 0, time.Time{}
	flow.greetings, flow.greetedAt = 1, time.Time{}
	flow.waiting = nil
}

// mayGreet reports whether a datagram may be sent to a peer whose run is not known, and
// chooses where it is sent from and to.
func (transport *Transport) mayGreet(now time.Time, flow *flow) bool {
	if flow.greetings > 0 && now.Sub(flow.greetedAt) < min(minRedialDelay<<min(flow.greetings-1, 8), maxRedialDelay) {
		return false
	}
	address, err := netip.ParseAddrPort(transport.options.Locator.PeerAddress(flow.vm))
	if err != nil {
		return false
	}
	if flow.greetings > 0 {
		transport.useNewPort(flow)
	}
	flow.path.address, flow.greetedAt = address, now
	flow.greetings++
	return true
}

// useNewPort gives a flow a socket of its own on a new port.
func (transport *Transport) useNewPort(flow *flow) {
	transport.closeSocket(flow)
	local := transport.socket.udp.LocalAddr().(*net.UDPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP})
	if err != nil {
		transport.options.Log.Debug("socket on a new port cannot be opened", zap.Error(err))
		return
	}
	flow.path.socket = udp
	go transport.readLoop(udp)
}

func (transport *Transport) closeSocket(flow *flow) {
	if flow.path.socket != nil {
		_ = flow.path.socket.Close()
		flow.path.socket = nil
	}
}

// readLoop receives the datagrams of a flow's own socket until it is closed.
func (transport *Transport) readLoop(udp *net.UDPConn) {
	buffer := make([]byte, maxPacketBytes)
	for {
		size, from, err := udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		transport.traffic.PacketsReceived.Add(1)
		if size > 0 && buffer[0] == datagramMark {
			transport.receiveDatagram(time.Now(), path{udp, from}, buffer[:size])
		}
	}
}

// sealFor returns a datagram to a run of a peer.
func (transport *Transport) sealFor(now time.Time, flow *flow, run epoch, body []byte) outgoing {
	flow.counter++
	flow.usedAt = now
	if flow.unheardSince.IsZero() {
		flow.unheardSince = now
	}
	return outgoing{flow.path, flow.link, seal(flow.sendCipher, header{
		answer: now.Sub(flow.heardAt) > askInterval, vm: transport.options.VM,
		sender: transport.epoch, receiver: run, counter: flow.counter,
	}, body)}
}

func (transport *Transport) writeAll(datagrams []outgoing) {
	for _, datagram := range datagrams {
		socket := datagram.path.socket
		if socket == nil {
			socket = transport.socket.udp
		}
		transport.traffic.countSent(datagram.link, len(datagram.packet))
		// A datagram that cannot be written is lost, like one that the network drops.
		_, _ = socket.WriteToUDPAddrPort(datagram.packet, datagram.path.address)
	}
}

// receiveDatagram processes a datagram that came on a path.
func (transport *Transport) receiveDatagram(now time.Time, from path, packet []byte) {
	header, size, err := parseHeader(packet)
	if err != nil || header.sender == 0 || header.vm == transport.options.VM {
		return
	}
	from.address = netip.AddrPortFrom(from.address.Addr().Unmap(), from.address.Port())
	transport.mutex.Lock()
	body, datagrams := transport.openDatagram(now, from, header, packet[:size], packet[size:])
	transport.mutex.Unlock()
	transport.writeAll(datagrams)
	if len(body) > 0 {
		transport.deliver(header.vm, body)
	}
}

// openDatagram returns the body of a valid datagram and the datagrams to send in return.
func (transport *Transport) openDatagram(now time.Time, from path, header header, associated, sealed []byte) ([]byte, []outgoing) {
	known := transport.flows[header.vm]
	if known != nil && slices.Contains(known.endedRuns, header.sender) {
		return nil, nil
	}
	aead, body := transport.decrypt(known, header, associated, sealed)
	if aead == nil {
		return nil, nil
	}
	flow := transport.flow(now, header.vm)
	if flow == nil {
		return nil, nil
	}
	transport.traffic.Received[flow.link].Add(uint64(len(associated) + len(sealed) + datagramHeaders))
	if header.receiver != transport.epoch {
		// The sender does not know this run, so the datagram may be a replay. It is lost; the
		// answer tells the sender this run for those that follow.
		return nil, transport.answer(now, flow, from, header.sender)
	}
	var datagrams []outgoing
	if flow.run != header.sender {
		datagrams = transport.beginRun(now, flow, header.sender, aead, from)
	}
	if !flow.window.accept(header.counter) {
		return nil, nil
	}
	transport.usePath(flow, from)
	flow.heardAt, flow.unheardSince = now, time.Time{}
	if header.answer && len(datagrams) == 0 {
		datagrams = transport.answer(now, flow, from, header.sender)
	}
	return body, datagrams
}

// decrypt opens a datagram with the cipher of its flow or, for another run of the peer, with
// one derived from each fleet key. The cipher is nil if the datagram is not authentic.
func (transport *Transport) decrypt(known *flow, header header, associated, sealed []byte) (cipher.AEAD, []byte) {
	if known != nil && known.run == header.sender {
		if body, err := known.receiveCipher.Open(nil, nonce(header.counter), sealed, associated); err == nil {
			return known.receiveCipher, body
		}
		return nil, nil
	}
	for _, key := range transport.options.Keys {
		aead, err := datagramCipher(key, header.vm, header.sender, transport.options.VM)
		if err != nil {
			continue
		}
		if body, err := aead.Open(nil, nonce(header.counter), sealed, associated); err == nil {
			return aead, body
		}
	}
	return nil, nil
}

// usePath makes a flow send on the path that a datagram came on.
func (transport *Transport) usePath(flow *flow, from path) {
	if from.socket == nil {
		transport.closeSocket(flow)
	}
	flow.path = from
}

// beginRun makes a run the current one of its peer, and returns the packets that waited for
// it.
func (transport *Transport) beginRun(now time.Time, flow *flow, run epoch, aead cipher.AEAD, from path) []outgoing {
	if flow.lastRun != 0 && flow.lastRun != run {
		flow.endedRuns = append(flow.endedRuns, flow.lastRun)
		flow.endedRuns = flow.endedRuns[max(len(flow.endedRuns)-maxEndedRuns, 0):]
	}
	if flow.lastRun != run {
		flow.window = replayWindow{}
	}
	flow.run, flow.lastRun, flow.receiveCipher, flow.greetings = run, run, aead, 0
	transport.usePath(flow, from)
	var datagrams []outgoing
	for _, packet := range flow.waiting {
		datagrams = append(datagrams, transport.sealFor(now, flow, run, packet))
	}
	flow.waiting = nil
	return datagrams
}

// answer returns an empty datagram on the path that one came on, at most one in
// answerInterval.
func (transport *Transport) answer(now time.Time, flow *flow, to path, run epoch) []outgoing {
	if now.Sub(flow.answeredAt) < answerInterval {
		return nil
	}
	flow.answeredAt = now
	flow.counter++
	packet := seal(flow.sendCipher, header{vm: transport.options.VM, sender: transport.epoch, receiver: run, counter: flow.counter}, nil)
	return []outgoing{{to, flow.link, packet}}
}
