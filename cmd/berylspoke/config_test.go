package main

// This file tests configuration, membership and limits with real processes under
// faults.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylcall"
	"berylspoke/io/berylfleet"
	"berylspoke/io/berylserve"
	"berylspoke/io/berylsettings"
)

func weightPatch(base berylspoke.ConfigVersion, weight berylspoke.Weight) *berylconfig.Patch {
	return &berylconfig.Patch{Base: base, Organisations: map[berylspoke.OrganisationID]*berylconfig.Organisation{"newcomer": {Weight: weight}}}
}

func (fleet *processes) waitVersion(version berylspoke.ConfigVersion) {
	fleet.t.Helper()
	for vm := range fleet.running {
		fleet.waitState(vm, func(state berylserve.Dump) bool { return state.Ready && state.Version == version })
	}
}

// Two operators publish patches against the same version while the platform
// then goes stale and a daemon restarts empty. One patch wins at every daemon,
// the loser is told, and the restarted daemon does not fall back to what the
// platform shows.
func TestOperatorsRaceAndStalePlatform(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	fleet.publish(weightPatch(1, 5))
	fleet.publish(weightPatch(1, 9))
	fleet.waitVersion(2)
	restarted := fleet.Plan.VMs()[6].ID
	fleet.waitState(restarted, func(state berylserve.Dump) bool { return state.Number == 3 })
	state, err := fleet.state(restarted)
	require.NoError(t, err)
	require.Contains(t, state.Outcomes[2].Problem, "made against version 1, in force is 2")

	fleet.Platform.ShowOnly(1)
	fleet.kill(restarted)
	fleet.start(restarted)
	fleet.waitVersion(2)

	// The platform is down for a while and then whole again.
	fleet.Platform.SetDown(true)
	fleet.kill(restarted)
	fleet.start(restarted)
	fleet.Platform.SetDown(false)
	fleet.Platform.ShowOnly(3)
	fleet.publish(weightPatch(2, 7))
	fleet.waitVersion(3)
}

// The regions lose each other while an operator publishes a patch, and a daemon
// behind the cut restarts. Both sides serve drafts all the time; after the cut
// all daemons know each other and the same version again.
func TestRegionsCutAndRejoin(t *testing.T) {
	plan := berylfleet.Kitamine()
	fleet := startProcesses(t, plan, nil)
	relays, err := berylfleet.StartRelays(fleet.Plan)
	require.NoError(t, err)
	defer relays.Close()
	// Daemons learn the relays' addresses from the list and reconnect.
	fleet.Platform.SetVMs(relays.Advertised())
	for _, vm := range fleet.Plan.VMs() {
		fleet.kill(vm.ID)
		fleet.start(vm.ID)
	}
	fleet.waitVersion(1)
	north, south := fleet.Plan.VMs()[6].ID, fleet.Plan.VMs()[0].ID
	relays.CutRegions()
	fleet.waitState(south, func(state berylserve.Dump) bool { return memberStatus(state, north) == "dead" })
	fleet.waitState(north, func(state berylserve.Dump) bool { return memberStatus(state, south) == "dead" })
	fleet.publish(weightPatch(1, 5))
	fleet.waitVersion(2)
	ctx := testContext(t)
	for _, vm := range []berylspoke.VMID{north, south} {
		startDraft(ctx, fleet.client("small-4", vm), plan.Model, "A letter from both sides. [tokens=20]", 1).wait(t)
	}
	restarted := fleet.Plan.VMs()[7].ID
	fleet.kill(restarted)
	fleet.start(restarted)
	fleet.waitVersion(2)

	relays.Mend()
	for _, vm := range fleet.Plan.VMs() {
		fleet.waitState(vm.ID, func(state berylserve.Dump) bool {
			for _, member := range state.Members {
				if member.Status != "alive" {
					return false
				}
			}
			return len(state.Members) == 8
		})
	}
}

// An engine is declared leaving. After the change is in force nothing new is
// sent to it, though entries held slots of it; what runs there ends.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Areas = plan.Areas[:1]
	plan.Areas[0].Engines = 2
	fleet := startProcesses(t, plan, nil)
	ctx := testContext(t)
	entry := fleet.Plan.VMs()[0].ID
	var drafts []*streamed
	for i := range 6 {
		drafts = append(drafts, startDraft(ctx, fleet.client("small-3", entry), plan.Model, fmt.Sprintf("Case %d. [tokens=60]", i), 1))
	}
	for _, draft := range drafts {
		fleet.waitTokens(draft, 1)
	}
	leaving := fleet.busyEngine()
	target := fleet.Plan.Targets()[leaving]
	target.Leaving = true
	fleet.publish(&berylconfig.Patch{Base: 1, Targets: map[berylspoke.TargetID]*berylconfig.Target{leaving: &target}})
	fleet.waitVersion(2)
	for _, draft := range drafts {
		draft.wait(t)
	}
	before := fleet.Engines[leaving].Stats().Tokens
	for i := range 10 {
		startDraft(ctx, fleet.client("small-3", entry), plan.Model, fmt.Sprintf("Later case %d. [tokens=10]", i), 1).wait(t)
	}
	require.Equal(t, before, fleet.Engines[leaving].Stats().Tokens)
}

// A filing's owner freezes and the regions' platform goes down at once, twice in
// a row. The caller settles elsewhere each time; nothing runs twice and "not
// run" stays true.
func TestFrozenOwnerAndPlatformDownTogether(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Parish(), nil)
	ctx := testContext(t)
	entry, other := fleet.Plan.VMs()[1].ID, fleet.Plan.VMs()[5].ID
	notRun := 0
	for range 2 {
		id, owner := fleet.newID(ctx, "small-1", entry)
		fleet.Platform.SetDown(true)
		fleet.signal(entry, syscall.SIGSTOP)
		settled := fleet.client("small-1", other).Settle(ctx, id, fleet.settings[other].CallAddress)
		require.Equal(t, berylspoke.NotRun, settled.Verdict)
		notRun++
		fleet.signal(entry, syscall.SIGCONT)
		fleet.Platform.SetDown(false)
		late := fleet.client("small-1", entry).File(ctx, fleet.Plan.Desk, "/bookings", id, owner, "text/plain", []byte("x"))
		require.Equal(t, berylspoke.NotRun, late.Verdict)
	}
	require.Equal(t, 2, notRun)
	_, requests := fleet.Executions()
	require.Zero(t, requests)
}

// One organisation floods a daemon with far more than its bound. It is refused
// at once with when to come back, and another organisation's draft at the same
// daemon is served at once.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	plan := berylfleet.Kitamine()
	fleet := startProcesses(t, plan, nil)
	ctx := testContext(t)
	entry := fleet.Plan.VMs()[0].ID
	flood := fleet.Plan.Patch().Organisations["small-1"]
	flood.MaxWaiting = 5
	fleet.publish(&berylconfig.Patch{Base: 1, Organisations: map[berylspoke.OrganisationID]*berylconfig.Organisation{"small-1": flood}})
	fleet.waitVersion(2)
	var drafts []*streamed
	for i := range 300 {
		drafts = append(drafts, startDraft(ctx, fleet.client("small-1", entry), plan.Model, fmt.Sprintf("Flood %d. [tokens=400]", i), 1))
	}
	refused := 0
	fleet.waitState(entry, func(state berylserve.Dump) bool { return state.Waiting >= 5 })
	require.Eventually(t, func() bool {
		for _, draft := range drafts {
			select {
			case err := <-draft.done:
				var failure *berylcall.Failure
				require.ErrorAs(t, err, &failure)
				require.Equal(t, berylspoke.NotRun, failure.Verdict)
				require.Equal(t, berylspoke.ReasonOrganisation, failure.Reason)
				require.Positive(t, failure.RetryAfter)
				refused++
			default:
			}
		}
		return refused > 150
	}, patience, 20*time.Millisecond)
	startDraft(ctx, fleet.client("small-2", entry), plan.Model, "A quick question. [tokens=10]", 1).wait(t)
}

// A caller tries keys, ids and bodies that it must not use. Each is refused with
// a clear error and a verdict, and nothing runs.
func TestBadInputIsRefused(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Areas = plan.Areas[:1]
	fleet := startProcesses(t, plan, func(settings *berylsettings.Settings) { settings.Callers.MaxBodyBytes = 1000 })
	ctx := testContext(t)
	entry := fleet.Plan.VMs()[0].ID
	id, _ := fleet.newID(ctx, "small-1", entry)
	base := "http://" + fleet.settings[entry].CallAddress
	drafts := base + "/v1/services/drafting-models/drafts"
	letters := base + "/v1/services/filing-desk/calls/letters"
	cases := []struct {
		name, method, url, key, id, body string
		status                           int
		reason                           string
	}{
		{"no key", "POST", drafts, "", "", `{"prompt":"x"}`, 401, "unauthorised"},
		{"wrong key", "POST", drafts, "guess", "", `{"prompt":"x"}`, 401, "unauthorised"},
		{"garbled body", "POST", drafts, "small-1", "", `{"prompt":`, 400, "malformed"},
		{"unknown field", "POST", drafts, "small-1", "", `{"promt":"x"}`, 400, "malformed"},
		{"negative number", "POST", drafts, "small-1", "", `{"prompt":"x","maxTokens":-1}`, 400, "malformed"},
		{"oversized body", "POST", drafts, "small-1", "", `{"prompt":"` + strings.Repeat("x", 2000) + `"}`, 400, "malformed"},
		{"unknown service", "POST", base + "/v1/services/nothing/drafts", "small-1", "", `{"prompt":"x"}`, 404, "unknownService"},
		{"draft at a desk", "POST", base + "/v1/services/filing-desk/drafts", "small-1", "", `{"prompt":"x"}`, 404, "unknownService"},
		{"unknown path", "GET", base + "/v2/anything", "small-1", "", "", 404, "malformed"},
		{"filing without an id", "POST", letters, "small-1", "", "x", 428, "ticketRequired"},
		{"filing with a made-up id", "POST", letters, "small-1", "a~1~b~2~3~c~4", "x", 400, "malformed"},
		{"filing with another's id", "POST", letters, "small-2", id, "x", 400, "malformed"},
		{"outcome of another's id", "GET", base + "/v1/calls/" + id, "small-2", "", "", 400, "malformed"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			request, err := http.NewRequest(test.method, test.url, strings.NewReader(test.body))
			require.NoError(t, err)
			if test.key != "" {
				request.Header.Set("Authorization", "Bearer "+fleet.Plan.Key(berylspoke.OrganisationID(test.key)))
			}
			request.Header.Set("Berylspoke-Id", test.id)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			var failure struct {
				Error struct{ Reason, Verdict string }
			}
			require.NoError(t, json.NewDecoder(response.Body).Decode(&failure))
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.reason, failure.Error.Reason)
			require.Equal(t, "notRun", failure.Error.Verdict)
		})
	}
	_, requests := fleet.Executions()
	require.Zero(t, requests)
}

// An engine that does not look at fencing numbers takes a late order of a keeper
// that was paused. The next comparison with its declared state sets it right.
func TestEnginesReturnToTheirDeclaredState(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Areas = plan.Areas[:1]
	plan.Areas[0].Engines = 1
	plan.Engine.IgnoreFence = true
	fleet := startProcesses(t, plan, nil)
	id := berylspoke.TargetID("sapporo-a-engine-1")
	target := fleet.Plan.Targets()[id]
	target.Model, target.Version, target.Role, target.Fence = "letters", "v1", "decode", berylconfig.FenceIgnored
	fleet.publish(&berylconfig.Patch{Base: 1, Targets: map[berylspoke.TargetID]*berylconfig.Target{id: &target}})
	holds := func(version string) func() bool {
		return func() bool { return fleet.Engines[id].Held().Version == version }
	}
	require.Eventually(t, holds("v1"), patience, 50*time.Millisecond)
	target.Version = "v2"
	fleet.publish(&berylconfig.Patch{Base: 2, Targets: map[berylspoke.TargetID]*berylconfig.Target{id: &target}})
	require.Eventually(t, holds("v2"), patience, 50*time.Millisecond)
	late := strings.NewReader(`{"fence":2,"model":"letters","version":"v1","role":"decode"}`)
	response, err := http.Post("http://"+target.Address+"/v1/orders", "application/json", late)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.True(t, holds("v1")(), "the engine took the late order")
	require.Eventually(t, holds("v2"), patience, 50*time.Millisecond)
}

// run runs the program with arguments and returns its exit code and output.
func run(t *testing.T, arguments ...string) (int, string) {
	t.Helper()
	command := exec.Command(program, arguments...)
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	err := command.Run()
	if err != nil {
		require.IsType(t, new(exec.ExitError), err)
	}
	return command.ProcessState.ExitCode(), output.String()
}

// An operator checks declarations with mistakes, mends them, and makes the patch
// from them; the fleet takes it.
func TestCheckAndPatch(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Areas = plan.Areas[:1]
	fleet := startProcesses(t, plan, nil)
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	code, output := run(t, "check", "-declarations", write("typo.json", "{\n  // a comment\n  \"organisation\": {}\n}"))
	require.Equal(t, 1, code)
	require.Contains(t, output, `line 3: unknown field "organisation", did you mean "organisations"?`)
	code, output = run(t, "check", "-declarations", write("weight.json", `{"organisations": {"a": {"weight": 0, "keyDigests": ["x"]}, "b": {"weight": 1, "keyDigests": []}}}`))
	require.Equal(t, 1, code)
	require.Contains(t, output, "organisations.a.weight: 0 is outside 1 to 1000000")
	require.Contains(t, output, "organisations.a.keyDigests: a digest is 64 hexadecimal digits")
	code, output = run(t, "check", "-settings", write("settings.json", `{"vm": "a", "peerAdress": "1"}`))
	require.Equal(t, 1, code)
	require.Contains(t, output, `did you mean "peerAddress"?`)
	code, output = run(t, "check", "-setings", "x")
	require.Equal(t, 1, code)
	require.Contains(t, output, "unknown flag -setings, did you mean -settings?")

	wanted := berylconfig.Empty().Declarations
	wanted = fleet.Plan.Patch().Apply(wanted)
	delete(wanted.Organisations, "small-13")
	body, err := json.Marshal(wanted)
	require.NoError(t, err)
	declarations, out := write("declarations.json", string(body)), filepath.Join(t.TempDir(), "patch.json")
	code, output = run(t, "patch", "-declarations", declarations, "-platform", fleet.Plan.PlatformAddress(), "-out", out)
	require.Equal(t, 0, code, output)
	require.Contains(t, output, "- organisations.small-13")
	require.Contains(t, output, "1 changes")
	require.Contains(t, output, "against version 1; version 2 results")
	published, err := os.ReadFile(out)
	require.NoError(t, err)
	fleet.Platform.Publish(published)
	fleet.waitVersion(2)
}
