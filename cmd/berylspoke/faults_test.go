package main

// This file tests whole answers and calls that run at most once, with real
// processes under faults.

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

// streamed is a draft that goes on in the background.
type streamed struct {
	prompt string
	text   strings.Builder
	mutex  sync.Mutex
	tokens berylspoke.Tokens
	done   chan error
}

func (streamed *streamed) received() berylspoke.Tokens {
	streamed.mutex.Lock()
	defer streamed.mutex.Unlock()
	return streamed.tokens
}

// wait returns after the draft's end and checks that it arrived whole: every
// byte of its own answer, once and in order.
func (streamed *streamed) wait(t *testing.T) {
	t.Helper()
	require.NoError(t, <-streamed.done)
	require.Equal(t, berylstand.Text(streamed.prompt, 0), streamed.text.String())
}

// startDraft streams a draft; with one attempt, only the fleet can make a fault
// good.
func startDraft(ctx context.Context, client *berylcall.Client, service berylspoke.ServiceID, prompt string, attempts int) *streamed {
	streamed := &streamed{prompt: prompt, done: make(chan error, 1)}
	go func() {
		_, err := client.Stream(ctx, berylcall.Draft{Service: service, Prompt: prompt, Attempts: attempts}, func(piece string, tokens berylspoke.Tokens) {
			streamed.mutex.Lock()
			defer streamed.mutex.Unlock()
			streamed.text.WriteString(piece)
			streamed.tokens += tokens
		})
		streamed.done <- err
	}()
	return streamed
}

func (fleet *processes) waitTokens(streamed *streamed, least berylspoke.Tokens) {
	fleet.t.Helper()
	require.Eventually(fleet.t, func() bool { return streamed.received() >= least }, patience, 10*time.Millisecond)
}

// A labour consultant watches a long draft arrive when the daemon that streams
// it dies. The caller asks another daemon to go on at its offset, and the draft
// ends whole.
func TestDraftSurvivesItsEntry(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	entry, other := fleet.Plan.VMs()[0].ID, fleet.Plan.VMs()[4].ID
	client := fleet.client("small-3", entry, other)
	draft := startDraft(testContext(t), client, fleet.Plan.Model, "A dossier of dismissal. [tokens=80]", 8)
	fleet.waitTokens(draft, 10)
	fleet.kill(entry)
	draft.wait(t)
}

// The engine that writes a draft dies in the middle. The entry asks another
// engine to resume at the offset that the caller already has.
func TestDraftSurvivesItsEngine(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	entry := fleet.Plan.VMs()[0].ID
	draft := startDraft(testContext(t), fleet.client("small-3", entry), fleet.Plan.Model, "A dossier of wages. [tokens=80]", 1)
	fleet.waitTokens(draft, 10)
	fleet.CloseTarget(fleet.busyEngine())
	draft.wait(t)
}

func (fleet *processes) busyEngine() berylspoke.TargetID {
	fleet.t.Helper()
	for id, engine := range fleet.Engines {
		if engine.Stats().Running > 0 {
			return id
		}
	}
	require.Fail(fleet.t, "no engine runs a request")
	return ""
}

// Something on the way forgets the connection between entry and engine: the
// draft stops without an error while the engine goes on. The entry notices by
// asking the engine over a new connection, and resumes the draft.
func TestDraftSurvivesSilentConnection(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.Areas = plan.Areas[:1]
	plan.Areas[0].Engines, plan.Areas[0].VMs = 1, 2
	fleet := startProcesses(t, plan, nil)
	var id berylspoke.TargetID
	for engine := range fleet.Engines {
		id = engine
	}
	target := fleet.Plan.Targets()[id]
	front := fmt.Sprintf("127.%d.4.1:7400", fleet.Plan.Base)
	relay, err := berylstand.NewStreamRelay(front, target.Address)
	require.NoError(t, err)
	defer relay.Close()
	target.Address = front
	fleet.publish(&berylconfig.Patch{Base: 1, Targets: map[berylspoke.TargetID]*berylconfig.Target{id: &target}})
	entry := fleet.Plan.VMs()[0].ID
	fleet.waitState(entry, func(state berylserve.Dump) bool { return state.Version == 2 })

	draft := startDraft(testContext(t), fleet.client("small-3", entry), fleet.Plan.Model, "A dossier of silence. [tokens=120]", 1)
	fleet.waitTokens(draft, 10)
	require.Positive(t, relay.Forget())
	draft.wait(t)
}

// A caller's daemon dies while a filing is at the desk. Another daemon finds
// the witness, which issued the permit, and says that the filing may have run;
// the desk saw it once.
func TestFilingWhoseOwnerDies(t *testing.T) {
	plan := berylfleet.Kitamine()
	plan.DeskFor = 3 * time.Second
	fleet := startProcesses(t, plan, nil)
	ctx := testContext(t)
	entry, other := fleet.Plan.VMs()[0].ID, fleet.Plan.VMs()[4].ID
	client := fleet.client("small-1")
	id, owner := fleet.newID(ctx, "small-1", entry)
	outcomes := make(chan berylcall.Outcome, 1)
	settler := fleet.client("small-1", other)
	go func() { outcomes <- settler.File(ctx, plan.Desk, "/letters", id, owner, "text/plain", []byte("x")) }()
	require.Eventually(t, func() bool { _, requests := fleet.Executions(); return requests == 1 }, patience, 5*time.Millisecond)
	fleet.kill(entry)
	outcome := <-outcomes
	require.Equal(t, berylspoke.MayHaveRun, outcome.Verdict)

	fleet.start(entry)
	fleet.waitState(entry, func(state berylserve.Dump) bool { return state.Ready })
	again := client.File(ctx, plan.Desk, "/letters", id, owner, "text/plain", []byte("x"))
	require.Equal(t, berylspoke.MayHaveRun, again.Verdict, "the restarted daemon is not the owner")
	most, requests := fleet.Executions()
	require.Equal(t, 1, most)
	require.Equal(t, 1, requests)
}

// newID asks one daemon for a ticket of its own.
func (fleet *processes) newID(ctx context.Context, organisation berylspoke.OrganisationID, vm berylspoke.VMID) (id, owner string) {
	fleet.t.Helper()
	client := berylcall.New(berylcall.Options{
		Seeds: []string{fleet.settings[vm].CallAddress}, Key: fleet.Plan.Key(organisation),
	})
	id, owner, err := client.NewID(ctx)
	require.NoError(fleet.t, err)
	return id, owner
}

// A daemon freezes before a filing reaches it. The caller gives up, asks another
// daemon and hears "not run". The daemon wakes up long after every timeout and
// finds the filing in its socket; it must not run it.
func TestFilingAtFrozenOwner(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	ctx := testContext(t)
	entry, other := fleet.Plan.VMs()[0].ID, fleet.Plan.VMs()[4].ID
	id, owner := fleet.newID(ctx, "small-1", entry)
	fleet.signal(entry, syscall.SIGSTOP)
	short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	filed := fleet.client("small-1", entry).File(short, fleet.Plan.Desk, "/letters", id, owner, "text/plain", []byte("x"))
	require.Equal(t, berylspoke.MayHaveRun, filed.Verdict, "nobody answered in time")
	settled := fleet.client("small-1", other).Settle(ctx, id, fleet.settings[other].CallAddress)
	require.Equal(t, berylspoke.NotRun, settled.Verdict)

	fleet.waitState(other, func(state berylserve.Dump) bool { return memberStatus(state, entry) == "dead" })
	fleet.signal(entry, syscall.SIGCONT)
	fleet.waitState(other, func(state berylserve.Dump) bool { return memberStatus(state, entry) == "alive" })
	after := fleet.client("small-1", entry).Settle(ctx, id, owner)
	require.Equal(t, berylspoke.NotRun, after.Verdict)
	_, requests := fleet.Executions()
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

// A VM is taken out of service while drafts stream through it and filings run.
// It answers them all before it stops, and refuses what comes later truthfully.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	fleet := startProcesses(t, berylfleet.Kitamine(), nil)
	ctx := testContext(t)
	entry := fleet.Plan.VMs()[0].ID
	var drafts []*streamed
	for i := range 6 {
		prompt := fmt.Sprintf("Case %d. [tokens=150]", i)
		drafts = append(drafts, startDraft(ctx, fleet.client("small-3", entry), fleet.Plan.Model, prompt, 1))
	}
	for _, draft := range drafts {
		fleet.waitTokens(draft, 1)
	}
	id, owner := fleet.newID(ctx, "small-1", entry)
	fleet.signal(entry, syscall.SIGTERM)
	filed := fleet.client("small-1", entry).File(ctx, fleet.Plan.Desk, "/letters", id, owner, "text/plain", []byte("x"))
	require.Equal(t, berylspoke.Ran, filed.Verdict, "callers are served for a notice after the announcement")
	for _, draft := range drafts {
		draft.wait(t)
	}
	require.NoError(t, fleet.running[entry].Wait())
	delete(fleet.running, entry)
}
