// Package berylpeer carries messages between daemons over QUIC.
//
// A daemon has one UDP socket and one connection to each peer that it exchanges
// messages with; idle connections are closed. Both ends authenticate with TLS 1.3
// certificates whose key is derived from the fleet key; the certificate names the
// VM. Several messages share a datagram, and a message too large for one travels on
// a stream. Lost datagrams are not retransmitted, because the core's messages are
// absolute and numbered. Every packet is counted with its headers, by the kind of
// link it crosses.
package berylpeer
