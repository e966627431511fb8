package main

// This file tests edge cases of the callers' server with real processes.

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke/io/berylfleet"
	"berylspoke/io/berylsettings"
)

// smallPlan returns the plan of one failure domain of kitamine.
func smallPlan() berylfleet.Plan {
	plan := berylfleet.Kitamine()
	plan.Domains = plan.Domains[:1]
	return plan
}

// Guards against a sender that holds a connection forever by sending the body of a
// draft slowly: after the read timeout the request is rejected as not run.
func TestSlowSenderIsRefused(t *testing.T) {
	fleet := startProcesses(t, smallPlan(), func(settings *berylsettings.Settings) { settings.Callers.ReadTimeoutMillis = 500 })
	entry := fleet.Plan.VMs()[0].ID
	conn, err := net.Dial("tcp", fleet.settings[entry].CallAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/services/drafting-models/drafts HTTP/1.1\r\nHost: x\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", fleet.Plan.Key("small-1"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	answer := make([]byte, 4096)
	size, err := conn.Read(answer)
	require.NoError(t, err)
	require.Contains(t, string(answer[:size]), "400 Bad Request")
	require.Contains(t, string(answer[:size]), "Berylspoke-Verdict: notRun")
}

// Callers reach a daemon over TLS when its settings name a certificate.
func TestCallersUseTLS(t *testing.T) {
	certificate, key := writeCertificate(t)
	fleet := startProcesses(t, smallPlan(), func(settings *berylsettings.Settings) {
		settings.CallTLS = &berylsettings.TLS{CertificateFile: certificate, KeyFile: key}
	})
	entry := fleet.Plan.VMs()[0].ID
	roots := x509.NewCertPool()
	body, err := os.ReadFile(certificate)
	require.NoError(t, err)
	require.True(t, roots.AppendCertsFromPEM(body))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "fleet"}}}
	request, err := http.NewRequest(http.MethodGet, "https://"+fleet.settings[entry].CallAddress+"/v1/resolve", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+fleet.Plan.Key("small-1"))
	response, err := client.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	plain, err := http.Get("http://" + fleet.settings[entry].CallAddress + "/v1/resolve")
	require.NoError(t, err)
	defer func() { _ = plain.Body.Close() }()
	require.Equal(t, http.StatusBadRequest, plain.StatusCode, "plain HTTP is rejected")
}

func writeCertificate(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	require.NoError(t, err)
	encoded, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	folder := t.TempDir()
	write := func(name, kind string, bytes []byte) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600))
		return path
	}
	return write("certificate.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", encoded)
}
