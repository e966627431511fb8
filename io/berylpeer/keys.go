package berylpeer

// This file defines the certificates that prove possession of a fleet key.

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

// MinKeyBytes is the least length of a fleet key.
const MinKeyBytes = 16

// protocolName is the version of the protocol between daemons.
const protocolName = "berylspoke/1"

// certificateLife exceeds the life of any process, which makes a new
// certificate at each start.
const certificateLife = 20 * 365 * 24 * time.Hour

// derive returns a key for one purpose from a fleet key.
func derive(key []byte, purpose string, size int) ([]byte, error) {
	if len(key) < MinKeyBytes {
		return nil, errors.Errorf("fleet key of %d bytes is shorter than %d", len(key), MinKeyBytes)
	}
	return hkdf.Key(sha256.New, key, nil, "berylspoke "+purpose, size)
}

func signer(key []byte) (ed25519.PrivateKey, error) {
	seed, err := derive(key, "peer certificate", ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// certificate makes a certificate for the VM, signed by its own key, which is
// derived from the fleet key.
func certificate(now time.Time, vm berylspoke.VMID, private ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: string(vm)},
		NotBefore:    now.Add(-24 * time.Hour),
		NotAfter:     now.Add(certificateLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "peer certificate cannot be made")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// tlsConfig returns the mutual TLS settings of a daemon. The first key signs;
// any of the keys is accepted, so that a fleet changes its key without a stop.
func tlsConfig(now time.Time, vm berylspoke.VMID, keys [][]byte) (*tls.Config, error) {
	if len(keys) == 0 {
		return nil, errors.New("no fleet key is set")
	}
	var accepted []ed25519.PublicKey
	for _, key := range keys {
		private, err := signer(key)
		if err != nil {
			return nil, err
		}
		accepted = append(accepted, private.Public().(ed25519.PublicKey))
	}
	private, err := signer(keys[0])
	if err != nil {
		return nil, err
	}
	own, err := certificate(now, vm, private)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{own},
		NextProtos:   []string{protocolName},
		ClientAuth:   tls.RequireAnyClientCert,
		// The chain is replaced by a stricter check: the peer signed with the
		// one key that this fleet's key yields.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, accepted)
		},
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionsKept),
	}, nil
}

// sessionsKept is the number of TLS sessions kept to reconnect without sending
// certificates again.
const sessionsKept = 64

func verify(state tls.ConnectionState, accepted []ed25519.PublicKey) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer shows no certificate")
	}
	leaf := state.PeerCertificates[0]
	public, ok := leaf.PublicKey.(ed25519.PublicKey)
	if !ok {
		return errors.New("peer certificate has a key of another type")
	}
	for _, key := range accepted {
		if public.Equal(key) {
			return leaf.CheckSignature(leaf.SignatureAlgorithm, leaf.RawTBSCertificate, leaf.Signature)
		}
	}
	return errors.New("peer holds no key of this fleet")
}
