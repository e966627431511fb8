// Package berylpeer carries messages between daemons in sealed datagrams and over QUIC.
//
// A daemon has one UDP socket. Messages that fit a packet are sent as datagrams, sealed
// with keys derived from the fleet key for one run of the sender and one receiver. Larger
// ones travel on streams of a QUIC connection, which is opened when needed and closed when
// idle; both ends authenticate with TLS 1.3 certificates whose key is derived from the
// fleet key, and the certificate names the VM. Several messages share a datagram. Lost
// datagrams are not retransmitted, because the core's messages are absolute and numbered.
// Every packet is counted with its headers, by the kind of link it crosses.
package berylpeer
