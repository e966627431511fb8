//go:build crowds

package berylcrowds

// This file tests the daemon of the project's own interface.

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/io/berylcall"
	"berylspoke/io/berylfleet"
	"berylspoke/io/berylresponse"
	"berylspoke/io/berylsettings"
)

const (
	// ownMemoryMB is the memory of a VM whose settings state none, ownDescriptors what its limit on
	// connections and the process's own files may take.
	ownMemoryMB    = 256
	ownDescriptors = 4096 + 200
)

// ownDeployment is one process of the own interface with its fakes.
type ownDeployment struct {
	*process
	t        *testing.T
	settings *berylsettings.Settings
	client   *berylcall.Client
	plan     berylfleet.Plan
}

// startOwn starts a deployment whose settings are changed first, and waits until it is ready.
func startOwn(t *testing.T, change func(*berylsettings.Settings)) *ownDeployment {
	t.Helper()
	plan := berylfleet.Kitamine()
	plan.Domains = []berylfleet.DomainPlan{{Domain: "sapporo-a", Region: "sapporo", VMs: 1, Engines: 1, PlainTargets: 1}}
	network, err := berylfleet.FindLoopbackNetwork(30)
	require.NoError(t, err)
	plan.LoopbackNetwork = network
	fakes, err := berylfleet.StartFakes(plan)
	require.NoError(t, err)
	t.Cleanup(fakes.Close)
	settings := plan.Settings(plan.VMs()[0])
	change(settings)
	body, err := json.Marshal(settings)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, body, 0o600))
	deployment := &ownDeployment{t: t, settings: settings, plan: plan, process: startProcess(t, "serve", "-settings", path)}
	deployment.client = berylcall.New(berylcall.Options{Key: plan.Key("small-1"), Seeds: []string{settings.CallAddress}, SeedsOnly: true})
	deployment.checkOrdinary("before")
	return deployment
}

func (deployment *ownDeployment) address(listener string) string {
	if listener == "operators" {
		return deployment.settings.OperatorAddress
	}
	return deployment.settings.CallAddress
}

// checkOrdinary checks that an ordinary caller and an operator are answered.
func (deployment *ownDeployment) checkOrdinary(name string) {
	deployment.t.Helper()
	client := &http.Client{Transport: berylresponse.Transport{Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: 5 * time.Second}
	for _, get := range []struct{ address, key, path string }{
		{deployment.settings.CallAddress, deployment.plan.Key("small-1"), "/v1/services/" + string(deployment.plan.PlainService) + "/calls/addresses/1"},
		{deployment.settings.OperatorAddress, berylfleet.OperatorToken, "/ready"},
	} {
		require.Eventually(deployment.t, func() bool {
			request, err := http.NewRequest(http.MethodGet, "http://"+get.address+get.path, nil)
			if err != nil {
				return false
			}
			request.Header.Set("Authorization", "Bearer "+get.key)
			response, err := client.Do(request)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, waitTimeout, 50*time.Millisecond, "%s: %s", name, get.path)
	}
}

// playOwn plays the crowds of a test, each with a deployment of its own.
func playOwn(t *testing.T, test string, descriptors int, change func(*berylsettings.Settings)) {
	crowds := readCrowds(t, test)
	for i := range crowds {
		crowd := &crowds[i]
		t.Run(crowd.Name, func(t *testing.T) {
			deployment := startOwn(t, change)
			callers := play(crowd, deployment.address, "Authorization: Bearer "+deployment.plan.Key("small-2")+"\r\n")
			defer leave(callers)
			deployment.checkOrdinary("beside")
			deployment.check("beside", ownMemoryMB, descriptors)
			leave(callers)
			deployment.checkOrdinary("after")
			deployment.check("after", ownMemoryMB, descriptors)
		})
	}
}

// Guards against heads and bodies that fill the memory of a daemon of the own interface.
func TestOwnInterface(t *testing.T) {
	playOwn(t, "ownInterface", ownDescriptors, func(*berylsettings.Settings) {})
}

// Guards against connections beyond the bound in the settings at any listener of the own interface.
func TestConnectionsOfTheOwnInterface(t *testing.T) {
	playOwn(t, "ownConnections", descriptors, func(settings *berylsettings.Settings) { settings.Callers.MaxConnections = 300 })
}

// Guards against bounds that refuse a single request within the limits in calm.
func TestLargestRequestOfTheOwnInterfaceIsServed(t *testing.T) {
	deployment := startOwn(t, func(*berylsettings.Settings) {})
	largest := int(deployment.settings.Callers.MaxBodyBytes)
	id, owner, err := deployment.client.NewID(t.Context())
	require.NoError(t, err)
	outcome := deployment.client.CallOnce(t.Context(), deployment.plan.PlainService, "/letters", id, owner, "text/plain", []byte(strings.Repeat("b", largest)))
	require.NoError(t, outcome.Err)
	require.Equal(t, berylspoke.Ran, outcome.Verdict)
	deployment.check("largest", ownMemoryMB, descriptors)
}
