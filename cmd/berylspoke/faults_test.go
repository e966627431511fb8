package main

// This file tests under faults, with real processes, that answers are complete and
// calls run at most once.

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/io/berylcall"
	"berylspoke/io/berylfleet"
	"berylspoke/io/berylserve"
	"berylspoke/io/berylstand"
)

// draftStream is a draft that is received in the background.
type draftStream struct {
	prompt string
	text   strings.Builder
	mutex  sync.Mutex
	tokens berylspoke.Tokens
	done   chan error
}

func (stream *draftStream) received() berylspoke.Tokens {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.tokens
}

// wait waits for the end of the draft and checks that every byte of its own answer
// arrived once and in order.
func (stream *draftStream) wait(t *testing.T) {
	t.Helper()
	require.NoError(t, <-stream.done)
	require.Equal(t, berylstand.OutputText(stream.prompt, 0), stream.text.String())
}

// startDraft streams a draft. With one attempt the client does not retry, so only the
// fleet can recover from a fault.
func startDraft(ctx context.Context, client *berylcall.Client, service berylspoke.ServiceID, prompt string, attempts int) *draftStream {
	stream := &draftStream{prompt: prompt, done: make(chan error, 1)}
	go func() {
		_, err := client.Stream(ctx, berylcall.GenerationRequest{Service: service, Prompt: prompt, MaxAttempts: attempts}, func(piece string, tokens berylspoke.Tokens) {
			stream.mutex.Lock()
			defer stream.mutex.Unlock()
			stream.text.WriteString(piece)
			stream.tokens += tokens
		})
		stream.done <- err
	}()
	return stream
}

func (fleet *processFleet) waitTokens(stream *draftStream, minTokens berylspoke.Tokens) {
	fleet.t.Helper()
	require.Eventually(fleet.t, func() bool { return stream.received() >= minTokens }, waitTimeout, 10*time.Millisecond)
}

// Guards against a draft that is lost or damaged when the entry daemon that streams it
// crashes: the caller resumes it at its offset through another daemon.
func TestDraftSurvivesEntryDaemonCrash(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	entry, other := fleet.Plan.VMs()[0].ID, fleet.Plan.VMs()[4].ID
	client := fleet.client("small-3", entry, other)
	draft := startDraft(testContext(t), client, fleet.Plan.ModelService, "A dossier of dismissal. [tokens=80]", 8)
	fleet.waitTokens(draft, 10)
	fleet.kill(entry)
	draft.wait(t)
}

// Guards against a draft that is lost or damaged when its engine crashes: the entry
// daemon resumes it on another engine at the offset that the caller has reached.
func TestDraftSurvivesEngineCrash(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	entry := fleet.Plan.VMs()[0].ID
	draft := startDraft(testContext(t), fleet.client("small-3", entry), fleet.Plan.ModelService, "A dossier of wages. [tokens=80]", 1)
	fleet.waitTokens(draft, 10)
	fleet.CrashTarget(fleet.busyEngine())
	draft.wait(t)
}

func (fleet *processFleet) busyEngine() berylspoke.TargetID {
	fleet.t.Helper()
	for id, engine := range fleet.Engines {
		if engine.Stats().Running > 0 {
			return id
		}
	}
	require.Fail(fleet.t, "no engine runs a request")
	return ""
}

// Guards against a draft that hangs because a network device dropped the state of the
// connection between entry daemon and engine: bytes stop without an error while the
// engine continues. The entry daemon detects this by querying the engine over a new
// connection, and resumes the draft.
func TestDraftSurvivesSilentConnection(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Domains = plan.Domains[:1]
	plan.Domains[0].Engines, plan.Domains[0].VMs = 1, 2
	fleet := startProcesses(t, plan, nil)
	var id berylspoke.TargetID
	for engine := range fleet.Engines {
		id = engine
	}
	target := fleet.Plan.Targets()[id]
	relayAddress := fmt.Sprintf("127.%d.4.1:7400", fleet.Plan.LoopbackNetwork)
	relay, err := berylstand.NewStreamRelay(relayAddress, target.Address)
	require.NoError(t, err)
	defer relay.Close()
	target.Address = relayAddress
	fleet.publish(&berylconfig.Patch{Base: 1, Targets: map[berylspoke.TargetID]*berylconfig.Target{id: &target}})
	entry := fleet.Plan.VMs()[0].ID
	fleet.waitState(entry, func(state berylserve.Dump) bool { return state.Version == 2 })

	draft := startDraft(testContext(t), fleet.client("small-3", entry), fleet.Plan.ModelService, "A dossier of silence. [tokens=120]", 1)
	fleet.waitTokens(draft, 10)
	require.Positive(t, relay.Blackhole())
	draft.wait(t)
}

// Guards against a non-idempotent call that runs twice or is reported as not run when its
// owner crashes while the target processes it. Another daemon asks the witness, which
// issued the permit, and answers that the call may have run.
func TestFilingWhoseOwnerDies(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.PlainResponseTime = 3 * time.Second
	fleet := startProcesses(t, plan, nil)
	ctx := testContext(t)
	entry, other := fleet.Plan.VMs()[0].ID, fleet.Plan.VMs()[4].ID
	client := fleet.client("small-1")
	id, owner := fleet.newID(ctx, "small-1", entry)
	outcomes := make(chan berylcall.Outcome, 1)
	settler := fleet.client("small-1", other)
	go func() {
		outcomes <- settler.CallOnce(ctx, plan.PlainService, "/letters", id, owner, "text/plain", []byte("x"))
	}()
	require.Eventually(t, func() bool { _, requests := fleet.ExecutionCounts(); return requests == 1 }, waitTimeout, 5*time.Millisecond)
	fleet.kill(entry)
	outcome := <-outcomes
	require.Equal(t, berylspoke.MayHaveRun, outcome.Verdict)

	fleet.start(entry)
	fleet.waitState(entry, func(state berylserve.Dump) bool { return state.Ready })
	again := client.CallOnce(ctx, plan.PlainService, "/letters", id, owner, "text/plain", []byte("x"))
	require.Equal(t, berylspoke.MayHaveRun, again.Verdict, "the restarted daemon is not the owner")
	maxRuns, requests := fleet.ExecutionCounts()
	require.Equal(t, 1, maxRuns)
	require.Equal(t, 1, requests)
}

// newID obtains a ticket id that is owned by the given daemon.
func (fleet *processFleet) newID(ctx context.Context, organisation berylspoke.OrganisationID, vm berylspoke.VMID) (id, owner string) {
	fleet.t.Helper()
	client := berylcall.New(berylcall.Options{
		Seeds: []string{fleet.settings[vm].CallAddress}, Key: fleet.Plan.Key(organisation),
	})
	id, owner, err := client.NewID(ctx)
	require.NoError(fleet.t, err)
	return id, owner
}

// Guards against a call that runs after it was settled as not run. Its owner freezes
// before the call reaches it, and the caller times out and settles at another daemon. The
// owner resumes after every timeout, finds the call in its socket and must not run it.
func TestFilingAtFrozenOwner(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	ctx := testContext(t)
	entry, other := fleet.Plan.VMs()[0].ID, fleet.Plan.VMs()[4].ID
	id, owner := fleet.newID(ctx, "small-1", entry)
	fleet.signal(entry, syscall.SIGSTOP)
	shortCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	outcome := fleet.client("small-1", entry).CallOnce(shortCtx, fleet.Plan.PlainService, "/letters", id, owner, "text/plain", []byte("x"))
	require.Equal(t, berylspoke.MayHaveRun, outcome.Verdict, "the frozen owner did not answer in time")
	settled := fleet.client("small-1", other).Settle(ctx, id, fleet.settings[other].CallAddress)
	require.Equal(t, berylspoke.NotRun, settled.Verdict)

	fleet.waitState(other, func(state berylserve.Dump) bool { return memberStatus(state, entry) == "dead" })
	fleet.signal(entry, syscall.SIGCONT)
	fleet.waitState(other, func(state berylserve.Dump) bool { return memberStatus(state, entry) == "alive" })
	after := fleet.client("small-1", entry).Settle(ctx, id, owner)
	require.Equal(t, berylspoke.NotRun, after.Verdict)
	_, requests := fleet.ExecutionCounts()
	require.Zero(t, requests)
}

func memberStatus(state berylserve.Dump, vm berylspoke.VMID) string {
	for _, member := range state.Members {
		if member.VM == vm {
			return member.Status
		}
	}
	return "unknown"
}

// Guards against a planned stop that cuts requests: a daemon drains while drafts stream
// through it and completes them all, and serves a call that arrives during the notice
// period.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	ctx := testContext(t)
	entry := fleet.Plan.VMs()[0].ID
	var drafts []*draftStream
	for i := range 6 {
		prompt := fmt.Sprintf("Case %d. [tokens=150]", i)
		drafts = append(drafts, startDraft(ctx, fleet.client("small-3", entry), fleet.Plan.ModelService, prompt, 1))
	}
	for _, draft := range drafts {
		fleet.waitTokens(draft, 1)
	}
	id, owner := fleet.newID(ctx, "small-1", entry)
	fleet.signal(entry, syscall.SIGTERM)
	outcome := fleet.client("small-1", entry).CallOnce(ctx, fleet.Plan.PlainService, "/letters", id, owner, "text/plain", []byte("x"))
	require.Equal(t, berylspoke.Ran, outcome.Verdict, "callers are served during the notice period")
	for _, draft := range drafts {
		draft.wait(t)
	}
	require.NoError(t, fleet.running[entry].Wait())
	delete(fleet.running, entry)
}
