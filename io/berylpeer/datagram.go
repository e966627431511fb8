package berylpeer

// This file defines the format of datagrams, which carry small messages. They are sealed
// with keys derived from the fleet key, and have neither acknowledgements nor timers: a
// daemon at rest would otherwise spend most of its processor time on these.

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"fmt"

	"github.com/pkg/errors"

	"berylspoke"
)

const (
	// datagramMark is the first byte of a datagram. It has neither of the two highest bits
	// set, of which every QUIC packet has at least one.
	datagramMark = 0x01
	// answerFlag asks the receiver to send any datagram back.
	answerFlag = 0x01
	// fixedHeaderBytes is the size of a header without the name of the sender.
	fixedHeaderBytes = 3 + 3*8
	datagramKeyBytes = 16
	// sealBytes is what sealing adds to a body.
	sealBytes = 16
)

// epoch identifies one run of a transport; it is random.
type epoch uint64

// header is the unencrypted part of a datagram. A datagram is fresh if receiver is the
// epoch of the transport that it is sent to.
type header struct {
	answer           bool
	vm               berylspoke.VMID
	sender, receiver epoch
	counter          uint64
}

// appendTo appends the encoded header.
func (header header) appendTo(buffer []byte) []byte {
	flags := byte(0)
	if header.answer {
		flags |= answerFlag
	}
	buffer = append(buffer, datagramMark, flags, byte(len(header.vm)))
	buffer = append(buffer, header.vm...)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(header.sender))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(header.receiver))
	return binary.BigEndian.AppendUint64(buffer, header.counter)
}

// parseHeader returns the header of a datagram and its size.
func parseHeader(packet []byte) (header, int, error) {
	if len(packet) < fixedHeaderBytes || len(packet) < fixedHeaderBytes+int(packet[2]) {
		return header{}, 0, errors.New("datagram is shorter than its header")
	}
	name := int(packet[2])
	numbers := packet[3+name:]
	return header{
		answer: packet[1]&answerFlag != 0, vm: berylspoke.VMID(packet[3 : 3+name]),
		sender: epoch(binary.BigEndian.Uint64(numbers)), receiver: epoch(binary.BigEndian.Uint64(numbers[8:])),
		counter: binary.BigEndian.Uint64(numbers[16:]),
	}, fixedHeaderBytes + name, nil
}

// datagramCipher returns the cipher for datagrams from one run of a VM to another VM.
func datagramCipher(key []byte, from berylspoke.VMID, run epoch, to berylspoke.VMID) (cipher.AEAD, error) {
	derived, err := deriveKey(key, fmt.Sprintf("datagram %q %d %q", from, run, to), datagramKeyBytes)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, errors.Wrap(err, "datagram key is not usable")
	}
	return cipher.NewGCM(block)
}

// nonce returns the nonce of a datagram. A key is used by one run of a sender for one
// receiver, so its counter never repeats.
func nonce(counter uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 4, 12), counter)
}

// seal returns an encoded and sealed datagram.
func seal(aead cipher.AEAD, header header, body []byte) []byte {
	buffer := make([]byte, 0, fixedHeaderBytes+len(header.vm)+len(body)+sealBytes)
	buffer = header.appendTo(buffer)
	return aead.Seal(buffer, nonce(header.counter), body, buffer)
}

// replayWindow records which counters of one run were received.
type replayWindow struct {
	highest uint64
	// received has a bit for each of the last counters, the highest one lowest.
	received uint64
}

// accept records a counter and reports whether it is new. Counters too far behind the
// highest one count as received.
func (window *replayWindow) accept(counter uint64) bool {
	const size = 64
	if counter > window.highest {
		window.received = window.received<<min(counter-window.highest, size) | 1
		window.highest = counter
		return true
	}
	behind := window.highest - counter
	if behind >= size || window.received&(1<<behind) != 0 {
		return false
	}
	window.received |= 1 << behind
	return true
}
