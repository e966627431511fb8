package beryledge

// This file defines the digests of what may crash targets.

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylquarantine"
)

// maxPartDigests bounds the digests of the parts of one prompt. The parts beyond are one.
const maxPartDigests = 32

// digests returns the digests of the parts of the prompt that other prompts may have, and last that
// of the request as a whole.
func (call *call) digests() []berylquarantine.Digest {
	shared := call.info.Segments[:max(len(call.info.Segments)-1, 0)]
	digests := make([]berylquarantine.Digest, 0, min(len(shared), maxPartDigests)+1)
	for len(shared) > 0 {
		count := 1
		if len(digests) == maxPartDigests-1 {
			count = len(shared)
		}
		digests = append(digests, partDigest(call.request.Service, shared[:count]))
		shared = shared[count:]
	}
	return append(digests, call.wholeDigest())
}

// partDigest returns the digest of parts of a prompt at the targets of a service.
func partDigest(service berylspoke.ServiceID, parts []berylspoke.PromptSegment) berylquarantine.Digest {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(service))
	for _, part := range parts {
		_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte{0}, part.ID))
	}
	return berylquarantine.Digest(hash.Sum64())
}

// wholeDigest returns the digest of the request as a whole: repeats of it have other ids but the
// same organisation, method, path and body.
func (call *call) wholeDigest() berylquarantine.Digest {
	hash := xxhash.New()
	for _, part := range []string{string(call.organisation), call.incoming.Method, call.incoming.Host, call.incoming.RequestURI} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	for _, part := range call.body.Parts() {
		_, _ = hash.Write(part)
	}
	return berylquarantine.Digest(hash.Sum64())
}

// parts returns the digests of the parts of a request's prompt.
func parts(request *berylgate.Request) []berylquarantine.Digest {
	return request.Digests[:len(request.Digests)-1]
}

// whole returns the digest of a request as a whole.
func whole(request *berylgate.Request) berylquarantine.Digest {
	return request.Digests[len(request.Digests)-1]
}

func organisationHash(organisation berylspoke.OrganisationID) berylquarantine.OrganisationHash {
	return berylquarantine.OrganisationHash(xxhash.Sum64String(string(organisation)))
}

func (call *call) digestField() zap.Field {
	return zap.String("digest", digestText(whole(call.request)))
}

// digestsField returns the log field of suspects.
func digestsField(digests []berylquarantine.Digest) zap.Field {
	texts := make([]string, len(digests))
	for i, digest := range digests {
		texts[i] = digestText(digest)
	}
	return zap.Strings("suspects", texts)
}

func digestText(digest berylquarantine.Digest) string { return fmt.Sprintf("%016x", uint64(digest)) }
