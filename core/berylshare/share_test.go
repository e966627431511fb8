package berylshare

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

func scriptOptions() Options {
	return Options{Policy: FleetFair, CatchUp: 1_000_000, Lead: 100_000, MaxWaiting: 8, MaxPerOrganisation: 4}
}

// The scripts push, start, charge and finish requests and show the order of service.
func TestQueueScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		queue := NewQueue(scriptOptions())
		now := time.Unix(0, 0)
		started := make(map[berylspoke.RequestID]*StartedRequest)
		queue.SetVirtualTime(0, true)
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			var organisation, request string
			var number int
			step.MaybeScanArgs(t, "org", &organisation)
			step.MaybeScanArgs(t, "request", &request)
			step.MaybeScanArgs(t, "n", &number)
			switch step.Cmd {
			case "push":
				weight, hint := 1, 10
				step.MaybeScanArgs(t, "weight", &weight)
				step.MaybeScanArgs(t, "hint", &hint)
				displaced, err := queue.Push(QueuedRequest{
					Request: berylspoke.RequestID(request), Organisation: berylspoke.OrganisationID(organisation),
					Hint: berylspoke.Tokens(hint), Arrived: now, Deadline: now.Add(time.Minute),
				}, berylspoke.Weight(weight), 0)
				if err != nil {
					return "error: " + err.Error()
				}
				if displaced != nil {
					return fmt.Sprintf("displaced: %s of %s\n", displaced.Request, displaced.Organisation) + formatOrganisations(queue)
				}
			case "pop":
				next, ok := queue.Pop()
				if !ok {
					return "nothing waits"
				}
				started[next.Request] = next
				return fmt.Sprintf("%s of %s at tag %d", next.Request, next.Organisation, next.Tag)
			case "progress":
				queue.Progress(started[berylspoke.RequestID(request)], berylspoke.Tokens(number))
			case "finish":
				queue.Finish(started[berylspoke.RequestID(request)], berylspoke.Tokens(number))
			case "time":
				queue.SetVirtualTime(berylspoke.Tag(number), true)
			case "ledger":
				queue.ApplyTotal(Total{Organisation: berylspoke.OrganisationID(organisation), Tag: berylspoke.Tag(number)})
			case "expire":
				now = now.Add(time.Duration(number) * time.Second)
				return fmt.Sprintf("%d expired", len(queue.Expire(now)))
			case "tags":
				return fmt.Sprint(queue.Tags(number, 0))
			}
			return formatOrganisations(queue)
		})
	})
}

func formatOrganisations(queue *Queue) string {
	var text strings.Builder
	for _, state := range queue.Organisations() {
		fmt.Fprintf(&text, "%s: %d waiting, %d running, tag %d\n", state.Organisation, state.Waiting, state.Running, state.Tag)
	}
	return text.String()
}

// Reports of several entry daemons are lost, duplicated and reordered, and the ledger
// restarts empty. Guards against service that is counted twice or lost: the tag never
// exceeds the service charged, and equals it once every entry daemon has reported again.
func TestLedgerSumsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		ledger := NewLedger()
		type entry struct {
			process berylspoke.Process
			queue   *Queue
		}
		var starts berylspoke.Incarnation
		start := func(vm int) entry {
			starts++
			queue := NewQueue(scriptOptions())
			queue.options.Lead = 1 << 60
			queue.SetVirtualTime(0, true)
			queue.account("clergy", 1)
			return entry{berylspoke.Process{VM: berylspoke.VMID(fmt.Sprint(vm)), Incarnation: starts}, queue}
		}
		entries := []entry{start(0), start(1), start(2)}
		type sent struct {
			entry  int
			report Report
			by     berylspoke.Process
		}
		var reports []sent
		served := berylspoke.Tokens(0)
		draw := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "entry") }
		deliver := func(item sent) {
			total := ledger.Report(now, item.by, item.report)
			if entries[item.entry].process == item.by {
				entries[item.entry].queue.ApplyTotal(total)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				count := berylspoke.Tokens(rapid.IntRange(1, 50).Draw(t, "tokens"))
				queue := entries[draw(t)].queue
				queue.charge(queue.account("clergy", 0), count)
				served += count
			},
			"report": func(t *rapid.T) {
				i := draw(t)
				reports = append(reports, sent{i, entries[i].queue.Report(now, "model", "clergy"), entries[i].process})
			},
			"deliver": func(t *rapid.T) {
				if len(reports) > 0 {
					deliver(reports[rapid.IntRange(0, len(reports)-1).Draw(t, "report")])
				}
			},
			"": func(t *rapid.T) {
				for _, entry := range entries {
					if tag := entry.queue.account("clergy", 0).tag(); tag > berylspoke.Weight(1).Normalise(served) {
						t.Fatalf("tag %d exceeds the service %d", tag, served)
					}
				}
			},
		})
		reportAll := func() {
			for range 2 {
				for i := range entries {
					deliver(sent{i, entries[i].queue.Report(now, "model", "clergy"), entries[i].process})
				}
			}
		}
		reportAll()
		wanted := berylspoke.Weight(1).Normalise(served)
		for i := range entries {
			if tag := entries[i].queue.account("clergy", 0).tag(); tag != wanted {
				t.Fatalf("entry daemon %d has tag %d, want %d", i, tag, wanted)
			}
		}
		// A ledger that starts empty continues from the totals that the entry daemons
		// know.
		ledger = NewLedger()
		reportAll()
		for i := range entries {
			if tag := entries[i].queue.account("clergy", 0).tag(); tag != wanted {
				t.Fatalf("entry daemon %d has tag %d after the ledger's restart, want %d", i, tag, wanted)
			}
		}
	})
}

// One organisation used idle capacity at other entry daemons, another was partitioned
// from its ledger for an hour. At this entry daemon neither may starve, or starve
// others, beyond the lead and catch-up bounds.
func TestBoundsAroundVirtualTime(t *testing.T) {
	queue := NewQueue(scriptOptions())
	queue.SetVirtualTime(5_000_000, true)
	push := func(id berylspoke.OrganisationID) {
		_, err := queue.Push(QueuedRequest{Request: berylspoke.RequestID(id), Organisation: id, Hint: 1}, 1, 0)
		require.NoError(t, err)
	}
	push("elsewhere")
	queue.ApplyTotal(Total{Organisation: "elsewhere", Tag: 900_000_000})
	require.EqualValues(t, 5_100_000, queue.accounts["elsewhere"].tag())
	push("cut-off")
	queue.accounts["cut-off"].base, queue.accounts["cut-off"].floor = 0, 0
	head, _ := queue.Head()
	require.EqualValues(t, 4_000_000, head)
}

func BenchmarkQueue(b *testing.B) {
	for _, count := range []int{10, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("organisations=%d", count), func(b *testing.B) {
			queue := NewQueue(Options{Policy: FleetFair, CatchUp: 1 << 40, Lead: 1 << 40})
			queue.SetVirtualTime(0, true)
			for i := range count {
				_, _ = queue.Push(QueuedRequest{Organisation: berylspoke.OrganisationID(fmt.Sprint(i)), Hint: 100}, 1, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				started, _ := queue.Pop()
				_, _ = queue.Push(started.QueuedRequest, 1, 0)
				queue.Progress(started, 150)
				queue.Finish(started, 120)
				_ = queue.Tags(8, 0)
			}
		})
	}
}

func BenchmarkLedger(b *testing.B) {
	for _, count := range []int{10, 1000, 24_000} {
		b.Run(fmt.Sprintf("organisations=%d", count), func(b *testing.B) {
			ledger := NewLedger()
			now := time.Unix(0, 0)
			ids := make([]berylspoke.OrganisationID, count)
			for i := range ids {
				ids[i] = berylspoke.OrganisationID(fmt.Sprint(i))
			}
			b.ReportAllocs()
			for i := range b.N {
				ledger.Report(now, berylspoke.Process{VM: "a", Incarnation: 1}, Report{
					Service: "model", Organisation: ids[i%count], Generation: 1, Sequence: uint32(i), Weight: 1,
					Counter: berylspoke.Tokens(i),
				})
			}
		})
	}
}
