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
	"berylspoke/io/berylstand"
)

func weightPatch(base berylspoke.ConfigVersion, weight berylspoke.Weight) *berylconfig.Patch {
	return &berylconfig.Patch{Base: base, Organisations: map[berylspoke.OrganisationID]*berylconfig.Organisation{"newcomer": {Weight: weight}}}
}

func (fleet *processFleet) waitVersion(version berylspoke.ConfigVersion) {
	fleet.t.Helper()
	for vm := range fleet.running {
		fleet.waitState(vm, func(state berylserve.Dump) bool { return state.Ready && state.Version == version })
	}
}

// Guards against daemons that disagree on concurrent patches, or fall back to an older
// version after a restart. Two operators publish patches against the same version: one
// takes effect at every daemon, and the outcome of the other names the conflict. Then
// a daemon restarts without state while the platform shows only old patches.
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

	fleet.Platform.SetVisiblePatches(1)
	fleet.kill(restarted)
	fleet.start(restarted)
	fleet.waitVersion(2)

	// The platform is down for a while and then shows all patches again.
	fleet.Platform.SetDown(true)
	fleet.kill(restarted)
	fleet.start(restarted)
	fleet.Platform.SetDown(false)
	fleet.Platform.SetVisiblePatches(3)
	fleet.publish(weightPatch(2, 7))
	fleet.waitVersion(3)
}

// Guards against regions that stop serving during a network partition or do not rejoin
// after it. During the partition an operator publishes a patch, which takes effect on
// both sides, both serve drafts, and a daemon restarts. Afterwards all daemons see each
// other alive again.
func TestRegionsCutAndRejoin(t *testing.T) {
	plan := berylfleet.Kitamine()
	fleet := startProcesses(t, plan, nil)
	relays, err := berylfleet.StartRelays(fleet.Plan)
	require.NoError(t, err)
	defer relays.Close()
	// Daemons learn the relays' addresses from the platform's list of VMs when they
	// restart.
	fleet.Platform.SetVMs(relays.AdvertisedVMs())
	for _, vm := range fleet.Plan.VMs() {
		fleet.kill(vm.ID)
		fleet.start(vm.ID)
	}
	fleet.waitVersion(1)
	north, south := fleet.Plan.VMs()[6].ID, fleet.Plan.VMs()[0].ID
	relays.PartitionRegions()
	fleet.waitState(south, func(state berylserve.Dump) bool { return memberStatus(state, north) == "dead" })
	fleet.waitState(north, func(state berylserve.Dump) bool { return memberStatus(state, south) == "dead" })
	fleet.publish(weightPatch(1, 5))
	fleet.waitVersion(2)
	ctx := testContext(t)
	for _, vm := range []berylspoke.VMID{north, south} {
		startDraft(ctx, fleet.client("small-4", vm), plan.ModelService, "A letter from both sides. [tokens=20]", 1).wait(t)
	}
	restarted := fleet.Plan.VMs()[7].ID
	fleet.kill(restarted)
	fleet.start(restarted)
	fleet.waitVersion(2)

	relays.Heal()
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

// Guards against new requests to a draining engine: once the change is in force none
// is sent to it, although entry daemons still hold leased slots of it. Requests that
// run there complete.
func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Domains = plan.Domains[:1]
	plan.Domains[0].Engines = 2
	fleet := startProcesses(t, plan, nil)
	ctx := testContext(t)
	entry := fleet.Plan.VMs()[0].ID
	var drafts []*draftStream
	for i := range 6 {
		drafts = append(drafts, startDraft(ctx, fleet.client("small-3", entry), plan.ModelService, fmt.Sprintf("Case %d. [tokens=60]", i), 1))
	}
	for _, draft := range drafts {
		fleet.waitTokens(draft, 1)
	}
	draining := fleet.busyEngine()
	target := fleet.Plan.Targets()[draining]
	target.Leaving = true
	fleet.publish(&berylconfig.Patch{Base: 1, Targets: map[berylspoke.TargetID]*berylconfig.Target{draining: &target}})
	fleet.waitVersion(2)
	for _, draft := range drafts {
		draft.wait(t)
	}
	before := fleet.Engines[draining].Stats().Tokens
	for i := range 10 {
		startDraft(ctx, fleet.client("small-3", entry), plan.ModelService, fmt.Sprintf("Later case %d. [tokens=10]", i), 1).wait(t)
	}
	require.Equal(t, before, fleet.Engines[draining].Stats().Tokens)
}

// Guards against a call that runs after another daemon settled it as not run. The
// owner of the id freezes while the platform is down, twice in a row. The caller
// settles at another daemon, and the call that reaches the owner late does not run.
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
		late := fleet.client("small-1", entry).CallOnce(ctx, fleet.Plan.PlainService, "/bookings", id, owner, "text/plain", []byte("x"))
		require.Equal(t, berylspoke.NotRun, late.Verdict)
	}
	require.Equal(t, 2, notRun)
	_, requests := fleet.ExecutionCounts()
	require.Zero(t, requests)
}

// Guards against a flood of one organisation that delays others. Its requests beyond
// its limit are rejected at once with a time to retry after, and a draft of another
// organisation at the same daemon is served.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	plan := berylfleet.Kitamine()
	fleet := startProcesses(t, plan, nil)
	ctx := testContext(t)
	entry := fleet.Plan.VMs()[0].ID
	flood := fleet.Plan.Patch().Organisations["small-1"]
	flood.MaxWaiting = 5
	fleet.publish(&berylconfig.Patch{Base: 1, Organisations: map[berylspoke.OrganisationID]*berylconfig.Organisation{"small-1": flood}})
	fleet.waitVersion(2)
	var drafts []*draftStream
	for i := range 300 {
		drafts = append(drafts, startDraft(ctx, fleet.client("small-1", entry), plan.ModelService, fmt.Sprintf("Flood %d. [tokens=400]", i), 1))
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
				require.Equal(t, berylspoke.ReasonOrganisationLimit, failure.Reason)
				require.Positive(t, failure.RetryAfter)
				refused++
			default:
			}
		}
		return refused > 150
	}, waitTimeout, 20*time.Millisecond)
	startDraft(ctx, fleet.client("small-2", entry), plan.ModelService, "A quick question. [tokens=10]", 1).wait(t)
}

// Requests with invalid keys, ids and bodies are rejected with a reason and the verdict
// notRun, and none runs.
func TestBadInputIsRefused(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Domains = plan.Domains[:1]
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
		{"malformed body", "POST", drafts, "small-1", "", `{"prompt":`, 400, "malformed"},
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
	_, requests := fleet.ExecutionCounts()
	require.Zero(t, requests)
}

// Guards against an engine that stays in a stale state: it ignores fencing numbers and
// accepts a late order, such as one from a lessor that was paused. The next comparison
// with the declared state restores it.
func TestEnginesReturnToTheirDeclaredState(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Domains = plan.Domains[:1]
	plan.Domains[0].Engines = 1
	plan.EngineOptions.IgnoreFence = true
	fleet := startProcesses(t, plan, nil)
	id := berylspoke.TargetID("sapporo-a-engine-1")
	target := fleet.Plan.Targets()[id]
	target.Model, target.Version, target.Role, target.Fence = "letters", "v1", "decode", berylconfig.FenceIgnored
	fleet.publish(&berylconfig.Patch{Base: 1, Targets: map[berylspoke.TargetID]*berylconfig.Target{id: &target}})
	holds := func(version string) func() bool {
		return func() bool { return fleet.Engines[id].CurrentOrder().Version == version }
	}
	require.Eventually(t, holds("v1"), waitTimeout, 50*time.Millisecond)
	target.Version = "v2"
	fleet.publish(&berylconfig.Patch{Base: 2, Targets: map[berylspoke.TargetID]*berylconfig.Target{id: &target}})
	require.Eventually(t, holds("v2"), waitTimeout, 50*time.Millisecond)
	late := strings.NewReader(`{"fence":2,"model":"letters","version":"v1","role":"decode"}`)
	response, err := http.Post("http://"+target.Address+"/v1/orders", "application/json", late)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.True(t, holds("v1")(), "the engine accepted the late order")
	require.Eventually(t, holds("v2"), waitTimeout, 50*time.Millisecond)
}

// run runs the program and returns its exit code and its combined output.
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

// An operator checks declarations and settings with faults, then creates a patch from
// valid declarations, and the fleet applies it.
func TestCheckAndPatch(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Domains = plan.Domains[:1]
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

	desired := berylconfig.InitialState().Declarations
	desired = fleet.Plan.Patch().Apply(desired)
	delete(desired.Organisations, "small-13")
	body, err := json.Marshal(desired)
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

// Guards against drafts that reach an engine which has asked the daemon for rest, or has
// said in an answer that it leaves, though the platform and its lessor still count on it.
func TestEngineThatWantsNoRequestsGetsNone(t *testing.T) {
	const rest, onTheWay = 3 * time.Second, 500 * time.Millisecond
	plan := berylfleet.Kitamine()
	plan.Domains = plan.Domains[:1]
	plan.Domains[0].Engines = 2
	fleet := startProcesses(t, plan, nil)
	ctx := testContext(t)
	entry := fleet.Plan.VMs()[0].ID
	count := 0
	// draft runs some drafts at once, more than one engine has slots for.
	draft := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); {
			var drafts []*draftStream
			for range 2 * plan.EngineOptions.Slots {
				count++
				drafts = append(drafts, startDraft(ctx, fleet.client("small-3", entry), plan.ModelService, fmt.Sprintf("Case %d. [tokens=3]", count), 1))
			}
			for _, draft := range drafts {
				draft.wait(t)
			}
		}
	}
	// arrivals returns when drafts of each daemon reached an engine since a time.
	arrivals := func(engine *berylstand.Engine, since time.Time) map[string][]time.Time {
		found := make(map[string][]time.Time)
		for _, arrival := range engine.Arrivals() {
			if fields := strings.Split(arrival.Request, "/"); arrival.Path == "/v1/generate" && arrival.At.After(since) {
				found[fields[1]] = append(found[fields[1]], arrival.At)
			}
		}
		return found
	}
	check := func(engine *berylstand.Engine, length time.Duration) {
		since := time.Now()
		draft(length)
		found := arrivals(engine, since)
		require.NotEmpty(t, found, "the engine is used until it has asked")
		for daemon, times := range found {
			for _, at := range times[1:] {
				after := at.Sub(times[0])
				require.False(t, after > onTheWay && after < length, "daemon %s sent a draft %s after the engine had asked for none", daemon, after)
			}
		}
	}
	for _, engine := range fleet.Engines {
		engine.Shed(rest)
		check(engine, rest)
		engine.Shed(0)
		draft(rest)
		engine.Leave()
		check(engine, rest)
		return
	}
}
