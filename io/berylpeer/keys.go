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

// MinKeyBytes is the minimum length of a fleet key.
const MinKeyBytes = 16

// protocolName is the version of the protocol between daemons.
const protocolName = "berylspoke/1"

// certificateValidity exceeds the lifetime of any process. Each process makes a new
// certificate when it starts.
const certificateValidity = 20 * 365 * 24 * time.Hour

// deriveKey returns a key for one purpose, derived from a fleet key by HKDF.
func deriveKey(key []byte, purpose string, size int) ([]byte, error) {
	if len(key) < MinKeyBytes {
		return nil, errors.Errorf("fleet key of %d bytes is shorter than %d", len(key), MinKeyBytes)
	}
	return hkdf.Key(sha256.New, key, nil, "berylspoke "+purpose, size)
}

func signingKey(key []byte) (ed25519.PrivateKey, error) {
	seed, err := deriveKey(key, "peer certificate", ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// newCertificate returns a self-signed certificate that names the VM. Its key is derived
// from the fleet key.
func newCertificate(now time.Time, vm berylspoke.VMID, private ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: string(vm)},
		NotBefore:    now.Add(-24 * time.Hour),
		NotAfter:     now.Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "peer certificate cannot be created")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// tlsConfig returns the mutual TLS settings of a daemon. The first key signs and all
// keys are accepted, so that a fleet key can be rotated without downtime.
func tlsConfig(now time.Time, vm berylspoke.VMID, keys [][]byte) (*tls.Config, error) {
	if len(keys) == 0 {
		return nil, errors.New("no fleet key is configured")
	}
	var accepted []ed25519.PublicKey
	for _, key := range keys {
		private, err := signingKey(key)
		if err != nil {
			return nil, err
		}
		accepted = append(accepted, private.Public().(ed25519.PublicKey))
	}
	private, err := signingKey(keys[0])
	if err != nil {
		return nil, err
	}
	own, err := newCertificate(now, vm, private)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{own},
		NextProtos:   []string{protocolName},
		ClientAuth:   tls.RequireAnyClientCert,
		// VerifyConnection replaces the verification of the chain by a stricter
		// check: the certificate must be signed by a key derived from a fleet key.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, accepted)
		},
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
	}, nil
}

// sessionCacheSize is the number of TLS sessions cached, so that reconnecting needs no
// certificates.
const sessionCacheSize = 64

func verifyPeer(state tls.ConnectionState, accepted []ed25519.PublicKey) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	leaf := state.PeerCertificates[0]
	public, ok := leaf.PublicKey.(ed25519.PublicKey)
	if !ok {
		return errors.New("peer certificate has no Ed25519 key")
	}
	for _, key := range accepted {
		if public.Equal(key) {
			return leaf.CheckSignature(leaf.SignatureAlgorithm, leaf.RawTBSCertificate, leaf.Signature)
		}
	}
	return errors.New("peer certificate is not signed by a key of this fleet")
}
