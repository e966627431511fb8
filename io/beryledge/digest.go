package beryledge

// This file defines the digest by which repeats of a request are recognised.

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"berylspoke/core/berylquarantine"
)

// digest returns the digest of a request: repeats of it have other ids but the same
// organisation, method, path and body.
func (call *call) digest() berylquarantine.Digest {
	hash := xxhash.New()
	for _, part := range []string{string(call.organisation), call.incoming.Method, call.incoming.Host, call.incoming.RequestURI} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(call.body)
	return berylquarantine.Digest(hash.Sum64())
}

func (call *call) digestField() zap.Field {
	return zap.String("digest", fmt.Sprintf("%016x", uint64(call.request.Digest)))
}
