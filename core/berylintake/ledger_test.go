package berylintake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

var start = time.Unix(1_800_000_000, 0)

func open(t require.TestingT, ledger *Ledger, now time.Time) *Entry {
	entry := new(Entry)
	_, opened := ledger.Open(now, entry)
	require.True(t, opened)
	ledger.Begin(now, entry)
	return entry
}

// Guards against an organisation whose requests take all of the memory, so that others are refused.
func TestOrganisationLeavesAsMuchFreeAsItHolds(t *testing.T) {
	const size, limit = 1 << 20, 64 << 20
	ledger := NewLedger(Limits{Bytes: limit})
	held := 0
	for {
		entry := open(t, ledger, start)
		if _, charged := ledger.Charge(start, entry, "crowd", size); !charged {
			break
		}
		held++
	}
	require.InDelta(t, limit/size/2, held, 1)
	_, charged := ledger.Charge(start, open(t, ledger, start), "other", 8<<20)
	require.True(t, charged)
}

// Guards against small requests that are refused as large ones hold the memory.
func TestSmallRequestsNeedNoRoom(t *testing.T) {
	ledger := NewLedger(Limits{Bytes: 1 << 20})
	for i := range 100 {
		_, _ = ledger.Charge(start, open(t, ledger, start), berylspoke.OrganisationID(fmt.Sprint(i)), 100<<10)
	}
	_, charged := ledger.Charge(start, open(t, ledger, start), "other", 0)
	require.True(t, charged)
	_, charged = ledger.Charge(start, open(t, ledger, start), "other", 1<<20)
	require.False(t, charged)
}

// Guards against requests that stop short of their end and keep others of their organisation out.
func TestStalledRequestsMakeRoom(t *testing.T) {
	ledger := NewLedger(Limits{Bytes: 64 << 20})
	first := open(t, ledger, start)
	_, charged := ledger.Charge(start, first, "a", 6<<20)
	require.True(t, charged)
	whole := open(t, ledger, start)
	_, charged = ledger.Charge(start, whole, "a", 20<<20)
	require.True(t, charged)
	require.True(t, ledger.Serve(whole))

	next := open(t, ledger, start.Add(patience/2))
	evicted, charged := ledger.Charge(start.Add(patience/2), next, "a", 8<<20)
	require.Empty(t, evicted, "none has stalled yet")
	require.False(t, charged)
	evicted, charged = ledger.Charge(start.Add(patience), next, "b", 8<<20)
	require.Empty(t, evicted, "another organisation has room")
	require.True(t, charged)
	evicted, charged = ledger.Charge(start.Add(patience), next, "a", 8<<20)
	require.Equal(t, []*Entry{first}, evicted)
	require.True(t, charged)
}

// Guards against connections that do nothing and keep others out.
func TestLongestWaitingConnectionMakesRoom(t *testing.T) {
	ledger := NewLedger(Limits{Connections: 16})
	var entries []*Entry
	for i := range 16 {
		entries = append(entries, open(t, ledger, start.Add(time.Duration(i))))
	}
	require.True(t, ledger.Serve(entries[0]))
	ledger.Idle(start.Add(time.Second), entries[1])
	evicted, opened := ledger.Open(start, new(Entry))
	require.True(t, opened)
	require.Same(t, entries[2], evicted)
	_, opened = ledger.Open(start, new(Entry))
	require.True(t, opened)
	evicted, opened = ledger.Open(start, new(Entry))
	require.Nil(t, evicted)
	require.False(t, opened, "too many evicted connections are still open")
	ledger.Close(entries[2])
	_, opened = ledger.Open(start, new(Entry))
	require.True(t, opened)
}

// Guards against an organisation whose requests in service take all connections, so that others find none.
func TestOrganisationLeavesConnectionsForOthers(t *testing.T) {
	const limit = 40
	ledger := NewLedger(Limits{Connections: limit})
	serve := func(organisation berylspoke.OrganisationID) (*Entry, bool) {
		entry := open(t, ledger, start)
		_, _ = ledger.Charge(start, entry, organisation, 0)
		return entry, ledger.Serve(entry)
	}
	var first *Entry
	for range limit / 2 {
		entry, served := serve("crowd")
		require.True(t, served)
		if first == nil {
			first = entry
		}
	}
	refused, served := serve("crowd")
	require.False(t, served)
	_, served = serve("other")
	require.True(t, served)
	ledger.Idle(start, first)
	require.True(t, ledger.Serve(refused), "a request of the organisation has ended")
}

// Guards against sums that drift, or that pass the limits, in any series of events.
func TestLedgerKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 4 << 20, Connections: 40}
		ledger := NewLedger(limits)
		now := start
		var entries []*Entry
		pick := func() int { return rapid.IntRange(0, len(entries)-1).Draw(t, "entry") }
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond)
			step := rapid.IntRange(0, 6).Draw(t, "step")
			if step == 0 || len(entries) == 0 {
				entry := new(Entry)
				if _, opened := ledger.Open(now, entry); opened {
					entries = append(entries, entry)
				}
				continue
			}
			i := pick()
			switch step {
			case 1:
				organisation := berylspoke.OrganisationID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "organisation"))
				_, _ = ledger.Charge(now, entries[i], organisation, rapid.Int64Range(0, 1<<20).Draw(t, "bytes"))
			case 2:
				ledger.Begin(now, entries[i])
			case 3:
				_ = ledger.Serve(entries[i])
			case 4:
				ledger.Deliver(now, entries[i])
			case 5:
				ledger.Idle(now, entries[i])
			case 6:
				ledger.Close(entries[i])
				entries = append(entries[:i], entries[i+1:]...)
			}
			require.LessOrEqual(t, ledger.Connections(), limits.Connections)
			require.LessOrEqual(t, len(entries), limits.Connections+limits.Connections/leavingShare)
			require.LessOrEqual(t, ledger.Held()+ledger.leavingBytes, limits.Bytes+limits.Bytes/leavingShare)
		}
		for _, entry := range entries {
			ledger.Close(entry)
		}
		require.Zero(t, ledger.connections)
		require.Zero(t, ledger.leaving)
		require.Zero(t, ledger.serving)
		require.Empty(t, ledger.served)
		require.Zero(t, ledger.Held())
		require.Zero(t, ledger.leavingBytes)
		require.Empty(t, ledger.held)
		require.Zero(t, ledger.waiting.Len())
	})
}
