package beryledge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
	"berylspoke/core/berylmember"
)

// Pattern: all callers of one organisation come to one VM of 0.19 cores with many
// times what it can take. Its decisions then wait for the processor for tens of
// milliseconds. Twenty such requests must show it, and it must be over soon after
// they end, or a VM would be shunned for one slow moment.
func TestStrainShowsAndPasses(t *testing.T) {
	var strain strain
	for range 50 {
		strain.observe(2 * time.Millisecond)
	}
	require.False(t, strain.high())
	for range 20 {
		strain.observe(60 * time.Millisecond)
	}
	require.True(t, strain.high())
	for range 40 {
		strain.observe(2 * time.Millisecond)
	}
	require.False(t, strain.high())
}

// Callers pick one of the addresses at random, so a VM with four times the
// processor time of the smallest is told four times, and equal ones once.
func TestAddressesAreToldByProcessorTime(t *testing.T) {
	now := time.Unix(0, 0)
	options := berylmember.DefaultOptions()
	options.Open = true
	table := berylmember.NewTable(now, berylspoke.VM{ID: "small", FailureDomain: "a"}, 1, options)
	table.Announce("10.0.0.1:1", 19)
	table.Hear(now, berylmember.Heartbeat{Self: berylmember.Rumour{
		Process: berylspoke.Process{VM: "large", Incarnation: 1},
		Place:   berylmember.Place{FailureDomain: "a", CallAddress: "10.0.0.2:1", Capacity: 80},
	}})
	require.Equal(t, []string{"10.0.0.2:1", "10.0.0.2:1", "10.0.0.2:1", "10.0.0.2:1", "10.0.0.1:1"}, newEntries(table).byDomain["a"])
}

// Pattern: one organisation's callers all come to one VM of 0.19 cores, with some
// thousand new connections a second, ten times what it serves. It takes 24 a
// second, which is what a quarter of its processor time serves, and one with four
// times the processor time takes four times as many.
func TestFloodOfConnectionsIsTakenAtThePaceOfTheVM(t *testing.T) {
	for capacity, most := range map[uint16]int{19: 24, 80: 100} {
		pace, now, taken := newAcceptPace(capacity), time.Unix(0, 0), 0
		for range 1000 {
			now = now.Add(time.Millisecond)
			if pace.admits(now, true) {
				taken++
			}
		}
		require.InDelta(t, most, taken, 1)
	}
	calm := newAcceptPace(19)
	require.True(t, calm.admits(time.Unix(0, 0), false))
	require.True(t, calm.admits(time.Unix(0, 0), false), "whoever has time takes all")
}

// The callers of a strained VM wait for a second in its queue, leave, and come
// back to wait again; closed without an answer they come back at once. A request
// on a connection beyond the pace must be answered at once that it has not run and
// when to come back, and must not reach a target.
func TestConnectionsBeyondThePaceAreTurnedAway(t *testing.T) {
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "done"))
	daemon, _ := startServing(t, map[string]*testTarget{"desk": target})
	// The mean falls with each calm decision and tick, so it starts far above.
	daemon.strain.observe(time.Hour)
	served, refused := 0, 0
	for i := range 20 {
		response, _, err := ask(t, daemon, http.MethodPost, "/file/x", fmt.Sprintf("id-%d", i), "a letter")
		switch {
		case err != nil:
			// On a busy machine the request may come later than its answer is due.
		case response.StatusCode == http.StatusOK:
			served++
		default:
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			refused++
		}
	}
	require.Positive(t, refused, "beyond the pace")
	require.EqualValues(t, served, target.seen.Load(), "none of the others was sent on")
}
