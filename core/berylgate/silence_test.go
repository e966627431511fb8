package berylgate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

const (
	meshStep           = 10 * time.Millisecond
	meshReportInterval = 400 * time.Millisecond
	meshNewsInterval   = 100 * time.Millisecond
	meshAnswerTime     = 120 * time.Millisecond
	meshCallerPatience = 2 * time.Second
)

// meshFleet is a large fleet of gates that report to their ring neighbours, and of targets
// that answer in a fixed time unless they are dark.
type meshFleet struct {
	now       time.Time
	gates     []*Gate
	reported  []time.Time
	dark      map[berylspoke.TargetID]bool
	slow      map[berylspoke.TargetID]time.Duration
	pending   meshEvents
	sent      map[berylspoke.TargetID]int
	random    *rand.Rand
	sequence  int
	plainLoad berylspoke.EngineLoad
}

// meshEvent is the end of an attempt.
type meshEvent struct {
	at      time.Time
	gate    *Gate
	request *Request
	outcome Outcome
}

type meshEvents []meshEvent

func (events meshEvents) Len() int           { return len(events) }
func (events meshEvents) Less(i, j int) bool { return events[i].at.Before(events[j].at) }
func (events meshEvents) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *meshEvents) Push(item any)     { *events = append(*events, item.(meshEvent)) }
func (events *meshEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func newMeshFleet(daemons, targets int) *meshFleet {
	fleet := &meshFleet{
		now: time.Unix(1000, 0), reported: make([]time.Time, daemons), dark: make(map[berylspoke.TargetID]bool),
		slow: make(map[berylspoke.TargetID]time.Duration),
		sent: make(map[berylspoke.TargetID]int), random: rand.New(rand.NewPCG(1, 1)), plainLoad: berylspoke.EngineLoad{Running: 1, Slots: 64},
	}
	domains := make(map[berylspoke.VMID]berylspoke.FailureDomain)
	for i := range daemons {
		gate := newGate(fleet.now, i+1, targets, false)
		gate.SetDaemons(fleet.now, daemons)
		domains[gate.options.VM] = gate.options.FailureDomain
		fleet.gates = append(fleet.gates, gate)
	}
	for _, gate := range fleet.gates {
		gate.SetVMs(fleet.now, domains)
	}
	return fleet
}

// run advances the fleet; each daemon gets one request in the given number of steps on
// average.
func (fleet *meshFleet) run(length time.Duration, steps int) {
	for end := fleet.now.Add(length); fleet.now.Before(end); fleet.now = fleet.now.Add(meshStep) {
		for len(fleet.pending) > 0 && !fleet.pending[0].at.After(fleet.now) {
			ended := heap.Pop(&fleet.pending).(meshEvent)
			if ended.outcome == Succeeded {
				ended.gate.AnswerStarted(fleet.now, ended.request, &fleet.plainLoad)
			}
			ended.gate.AttemptEnded(fleet.now, ended.request, ended.outcome)
		}
		for i, gate := range fleet.gates {
			if fleet.random.IntN(steps) == 0 {
				fleet.submit(gate)
			}
			if fleet.now.UnixMilli()%50 == 0 {
				gate.Tick(fleet.now)
				fleet.report(i)
			}
		}
	}
}

func (fleet *meshFleet) submit(gate *Gate) {
	fleet.sequence++
	request := newRequest(fleet.now, "o", berylspoke.PromptSegment{ID: uint64(fleet.sequence), Tokens: 900})
	request.MaxAttempts = 1
	decision := gate.Submit(fleet.now, request)
	if decision.Refusal != nil {
		return
	}
	fleet.sent[decision.Target.ID]++
	event := meshEvent{fleet.now.Add(meshAnswerTime + fleet.slow[decision.Target.ID]), gate, request, Succeeded}
	if fleet.dark[decision.Target.ID] {
		event.at, event.outcome = fleet.now.Add(meshCallerPatience), Abandoned
	}
	heap.Push(&fleet.pending, event)
}

// report delivers the report of a gate to its neighbours if it is due.
func (fleet *meshFleet) report(index int) {
	gate := fleet.gates[index]
	interval := meshReportInterval
	if gate.SilenceNews(fleet.now) {
		interval = meshNewsInterval
	}
	if fleet.now.Sub(fleet.reported[index]) < interval {
		return
	}
	fleet.reported[index] = fleet.now
	report := gate.Report(fleet.now)
	count := len(fleet.gates)
	for _, distance := range []int{1, 2, 8, 32} {
		fleet.gates[(index+distance)%count].ReceiveReport(fleet.now, gate.options.VM, report)
		fleet.gates[(index-distance+count)%count].ReceiveReport(fleet.now, gate.options.VM, report)
	}
}

// Guards against a dark engine that takes requests from each daemon of a large fleet until
// that daemon has found out by itself, because an engine without answers looks idle.
func TestSilenceOfATargetIsKnownToTheFleet(t *testing.T) {
	const daemons, engines, darkEngines, steps = 80, 40, 4, 30
	const darkFor = 4500 * time.Millisecond
	fleet := newMeshFleet(daemons, engines)
	fleet.run(2*time.Second, steps)
	for i := range darkEngines {
		fleet.dark[berylspoke.TargetID(fmt.Sprint("t-", i))] = true
	}
	clear(fleet.sent)
	fleet.run(darkFor, steps)
	lost, total := 0, 0
	for target, count := range fleet.sent {
		total += count
		if fleet.dark[target] {
			lost += count
		}
	}
	t.Logf("%d of %d requests went to dark engines", lost, total)
	// A tenth of the engines is dark; without any evidence a tenth of the requests is lost.
	evenShare := total * darkEngines / engines
	require.Less(t, lost, evenShare/3)

	clear(fleet.dark)
	fleet.run(meshCallerPatience+silenceMaxAge, steps)
	for _, gate := range fleet.gates {
		for i := range darkEngines {
			target := gate.targets[berylspoke.TargetID(fmt.Sprint("t-", i))]
			require.True(t, target.usable(fleet.now), "engine %d at %s", i, gate.options.VM)
		}
	}
}

// Guards against slow engines that take requests from each daemon of a large fleet until
// that daemon has found out by itself, because they report neither waiting nor more
// running requests than others.
func TestWaitsOfATargetAreKnownToTheFleet(t *testing.T) {
	const daemons, engines, slowEngines, steps = 80, 40, 10, 30
	fleet := newMeshFleet(daemons, engines)
	fleet.run(2*time.Second, steps)
	for i := range slowEngines {
		fleet.slow[berylspoke.TargetID(fmt.Sprint("t-", i))] = 1200 * time.Millisecond
	}
	clear(fleet.sent)
	fleet.run(6*time.Second, steps)
	late, total := 0, 0
	for target, count := range fleet.sent {
		total += count
		if fleet.slow[target] > 0 {
			late += count
		}
	}
	t.Logf("%d of %d requests went to slow engines", late, total)
	// A quarter of the engines is slow; without any evidence a quarter of the requests is late.
	evenShare := total * slowEngines / engines
	require.Less(t, late, evenShare/3)
}
