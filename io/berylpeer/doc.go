// Package berylpeer carries messages between daemons over QUIC.
//
// The model: one UDP socket, one connection to each peer that a role needs,
// closed when idle. Both ends prove that they hold the fleet's key by TLS 1.3
// certificates made from it; a certificate names the VM. Messages travel as
// datagrams, several to one, and as streams where they are too large; nothing is
// repeated here, because the core's messages are absolute and numbered. Every
// packet is counted with its headers, by the kind of link it crosses.
package berylpeer
