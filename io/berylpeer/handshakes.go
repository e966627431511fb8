package berylpeer

// This file bounds the handshakes that anyone may begin at the port of the peers.

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"berylspoke/io/beryllog"
)

const (
	// unverifiedHandshakes is how many handshakes may be open before further ones have to prove the address that
	// they come from, which takes a round trip and no memory.
	unverifiedHandshakes = 32
	// maxHandshakes bounds the open handshakes. Each takes buffers and goroutines until it fails.
	maxHandshakes = 256
	// handshakeLogInterval is the minimum time between two log lines on handshakes that are refused.
	handshakeLogInterval = time.Second
)

var errTooManyHandshakes = errors.New("too many handshakes are open")

// handshakes counts the open handshakes of connections that others begin.
type handshakes struct {
	open atomic.Int64
	// refused counts those that were refused, and verified those that had to prove their address.
	refused, verified atomic.Uint64
	log               *zap.Logger
	logLimit          beryllog.Limit
}

// handshakeKey is the key in the context of a connection of the function that ends its handshake.
type handshakeKey struct{}

// begin implements quic.Transport.ConnContext.
func (handshakes *handshakes) begin(ctx context.Context, client *quic.ClientInfo) (context.Context, error) {
	if open := handshakes.open.Add(1); open > maxHandshakes {
		handshakes.open.Add(-1)
		handshakes.refused.Add(1)
		if handshakes.logLimit.Due(time.Now(), handshakeLogInterval) {
			handshakes.log.Warn("handshake of a peer refused as too many are open", zap.Int64("open", open-1),
				zap.Stringer("from", client.RemoteAddr), zap.Uint64("refused", handshakes.refused.Load()))
		}
		return nil, errTooManyHandshakes
	}
	end := sync.OnceFunc(func() { handshakes.open.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// end notes that the handshake of a connection is complete.
func (handshakes *handshakes) end(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}

// verifies implements quic.Transport.VerifySourceAddress.
func (handshakes *handshakes) verifies(net.Addr) bool {
	if handshakes.open.Load() < unverifiedHandshakes {
		return false
	}
	handshakes.verified.Add(1)
	return true
}

// Handshakes returns how many handshakes are open, how many were refused, and how many had to prove their address.
func (transport *Transport) Handshakes() (open int64, refused, verified uint64) {
	return transport.handshakes.open.Load(), transport.handshakes.refused.Load(), transport.handshakes.verified.Load()
}
