package berylmodel

// This file defines the simulated fleet and its run over a load.

import (
	"container/heap"
	"fmt"
	"time"

	"berylspoke"
	"berylspoke/core/berylgate"
)

// Policy is the way in which requests are admitted and placed on engines.
type Policy string

// The policies: the product's own and two baselines.
const (
	// Gates places requests by gates that receive each other's reports.
	Gates Policy = "gates"
	// LocalGates places requests by gates without reports from each other.
	LocalGates Policy = "localGates"
	// LeastRunning sends every request to the engine with the fewest requests in flight
	// from the same entry daemon, and rejects none.
	LeastRunning Policy = "leastRunning"
)

// FleetOptions are the parameters of a fleet.
type FleetOptions struct {
	Policy          Policy
	Entries         int
	Engines         int
	Engine          EngineOptions
	TokensPerSecond berylspoke.Tokens
	// ReportInterval is the time between two reports of a gate, ReportLatency their
	// network latency.
	ReportInterval, ReportLatency time.Duration
	// Advice is what engines ask for in their answers.
	Advice []Advice
	// Store is the store of which the gates learn the engines, nil if they always know all.
	Store *StoreOptions
	// Streams lets callers take up streams at engines of several versions, nil for none.
	Streams *StreamOptions
	// Parts lets parts of prompts crash engines, nil for none.
	Parts *PartsOptions
}

// SmallFleet returns a fleet of the size of the first deployment.
func SmallFleet(policy Policy) FleetOptions {
	return FleetOptions{
		Policy: policy, Entries: 8, Engines: 9, Engine: KitamineEngine(), TokensPerSecond: 350_000,
		ReportInterval: 200 * time.Millisecond, ReportLatency: 10 * time.Millisecond,
	}
}

// Tally counts the requests of an organisation or a kind.
type Tally struct {
	Submitted, InTime, Late, Rejected int
	// Tokens is the cost of the placed requests: a prompt token counts once, a
	// generated token twice.
	Tokens berylspoke.Tokens
}

// Result holds the measurements of a run.
type Result struct {
	Organisations []Tally
	Kinds         []Tally
	// Prefilled and Recomputed are the sums of the engines' counters of these names.
	Prefilled, Recomputed berylspoke.Tokens
	// ExpectedMillis and ActualMillis hold the time to the first event of each request
	// that started: as expected by the gate, and as it was.
	ExpectedMillis, ActualMillis []float64
	// ArrivedAt holds when each of these requests arrived, since the start of the run.
	ArrivedAt []time.Duration
	// Unwanted counts the requests that reached engines which had asked for none, or had
	// said that they leave.
	Unwanted int
	// Streams counts the streams that callers take up.
	Streams StreamTally
	// Storms counts the requests of each storm, SoundRefused the sound requests that were refused
	// as if they crashed engines.
	Storms       []StormTally
	SoundRefused int
	// Told counts the messages with evidence on crashes.
	Told int
}

// event is a function to call at a time of the run; sequence orders events of the same
// time.
type event struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

// events is a priority queue of events; it implements heap.Interface.
type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].sequence < events[j].sequence
	}
	return events[i].at.Before(events[j].at)
}
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *events) Push(item any) {
	*events = append(*events, item.(event))
}
func (events *events) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

// fleet is the state of one run.
type fleet struct {
	options FleetOptions
	load    LoadOptions
	catalog *berylspoke.Catalog
	gates   []*berylgate.Gate
	engines map[berylspoke.TargetID]*Engine
	ids     []berylspoke.TargetID
	// inFlight counts the unfinished requests by entry daemon and engine.
	inFlight []map[berylspoke.TargetID]int
	asked    map[askedKey]asked
	// store is nil if the gates always know all engines.
	store *store
	// streams is nil if callers take up no streams.
	streams *streams
	// parts is nil if no part of a prompt crashes engines.
	parts    *parts
	events   events
	sequence int
	result   Result
}

const modelService berylspoke.ServiceID = "drafts"

// Run simulates a load on a fleet.
func Run(options FleetOptions, load LoadOptions) Result {
	fleet := newFleet(options, load)
	start := time.Unix(0, 0)
	for _, arrival := range Arrivals(load, options.Entries) {
		fleet.schedule(start.Add(arrival.At), func(now time.Time) { fleet.submit(now, arrival) })
	}
	for entry := range fleet.gates {
		fleet.schedule(start.Add(time.Duration(entry)*options.ReportInterval/time.Duration(options.Entries)), func(now time.Time) { fleet.report(now, entry) })
	}
	end := start.Add(load.Length)
	for fleet.events.Len() > 0 {
		next := heap.Pop(&fleet.events).(event)
		if next.at.After(end) {
			break
		}
		next.run(next.at)
	}
	for _, engine := range fleet.engines {
		fleet.result.Prefilled += engine.Prefilled
		fleet.result.Recomputed += engine.Recomputed
	}
	if fleet.parts != nil {
		fleet.result.Storms = fleet.parts.result()
	}
	return fleet.result
}

func newFleet(options FleetOptions, load LoadOptions) *fleet {
	fleet := &fleet{
		options: options, load: load, engines: make(map[berylspoke.TargetID]*Engine), asked: make(map[askedKey]asked),
		result: Result{Organisations: make([]Tally, load.Organisations), Kinds: make([]Tally, len(load.Kinds))},
	}
	now := time.Unix(0, 0)
	lastUses := make(LastUses)
	var targets []berylspoke.Target
	for i := range options.Engines {
		id := berylspoke.TargetID(fmt.Sprintf("engine-%d", i))
		fleet.ids = append(fleet.ids, id)
		fleet.engines[id] = NewEngine(options.Engine, lastUses)
		targets = append(targets, fleet.target(id))
	}
	catalog := &berylspoke.Catalog{
		Services: map[berylspoke.ServiceID]berylspoke.Service{modelService: {
			ID: modelService, MaxConnections: 1000,
			Engine: &berylspoke.EngineSpec{Slots: options.Engine.Slots, CacheCapacity: options.Engine.CacheCapacity},
		}},
		Limits: berylspoke.Limits{TokensPerSecond: options.TokensPerSecond},
	}
	fleet.catalog = catalog
	for entry := range options.Entries {
		gate := fleet.newGate(now, entry)
		if options.Store == nil && options.Streams == nil {
			gate.SetTargets(now, targets)
		}
		fleet.gates = append(fleet.gates, gate)
		fleet.inFlight = append(fleet.inFlight, make(map[berylspoke.TargetID]int))
	}
	if options.Store != nil {
		fleet.startStore(now, *options.Store)
	}
	if options.Streams != nil {
		fleet.startStreams(now, *options.Streams)
	}
	if options.Parts != nil {
		fleet.startParts(now, *options.Parts)
	}
	return fleet
}

// newGate returns the gate of an entry daemon that starts.
func (fleet *fleet) newGate(now time.Time, entry int) *berylgate.Gate {
	gate := berylgate.New(berylgate.Options{
		VM: entryName(entry), Incarnation: berylspoke.Incarnation(entry + 1), FailureDomain: "a",
		RegionOf: map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"}, RetryRatio: 0.2, RetrySlack: 50,
	})
	gate.SetDaemons(now, fleet.options.Entries)
	gate.SetCatalog(now, fleet.catalog)
	return gate
}

// target returns the target that an engine is.
func (fleet *fleet) target(id berylspoke.TargetID) berylspoke.Target {
	return berylspoke.Target{ID: id, Service: modelService, Address: string(id), FailureDomain: "a", Slots: fleet.options.Engine.Slots, Version: "v1"}
}

func entryName(entry int) berylspoke.VMID { return berylspoke.VMID(fmt.Sprintf("entry-%d", entry)) }

// schedule adds an event.
func (fleet *fleet) schedule(at time.Time, run func(now time.Time)) {
	fleet.sequence++
	heap.Push(&fleet.events, event{at, fleet.sequence, run})
}

// report sends one gate's report to the others and schedules its next one.
func (fleet *fleet) report(now time.Time, entry int) {
	gate := fleet.gates[entry]
	gate.Tick(now)
	if fleet.streams != nil {
		fleet.streams.tick(now, entry)
	}
	if fleet.options.Policy == Gates {
		report := gate.Report(now)
		fleet.schedule(now.Add(fleet.options.ReportLatency), func(now time.Time) {
			for other, peer := range fleet.gates {
				if other != entry {
					peer.ReceiveReport(now, entryName(entry), report)
				}
			}
		})
	}
	fleet.schedule(now.Add(fleet.options.ReportInterval), func(now time.Time) { fleet.report(now, entry) })
}

// submit places one new request on an engine or rejects it.
func (fleet *fleet) submit(now time.Time, arrival Arrival) {
	if fleet.parts != nil {
		fleet.parts.submit(now, &partsCall{arrival: arrival})
		return
	}
	var stream *modelStream
	if fleet.streams != nil {
		if fleet.streams.entries[arrival.Entry].down {
			return
		}
		stream = fleet.streams.newStream(arrival)
	}
	fleet.send(now, arrival, stream, func(*berylgate.Request) {})
}

// send places one request on an engine or rejects it; change sets what the continuation of a
// stream needs.
func (fleet *fleet) send(now time.Time, arrival Arrival, stream *modelStream, change func(*berylgate.Request)) {
	kind := fleet.load.Kinds[arrival.Kind]
	tallies := []*Tally{&fleet.result.Organisations[arrival.Organisation], &fleet.result.Kinds[arrival.Kind]}
	updateTallies := func(update func(*Tally)) {
		for _, tally := range tallies {
			update(tally)
		}
	}
	updateTallies(func(tally *Tally) { tally.Submitted++ })
	request := &berylgate.Request{
		Service: modelService, Organisation: OrganisationName(arrival.Organisation), Kind: berylspoke.Streaming,
		Arrived: now, Objective: kind.Objective, MaxAttempts: 1,
		Input: arrival.Input, Output: arrival.Output, Segments: arrival.Segments,
	}
	change(request)
	gate := fleet.gates[arrival.Entry]
	target, expected, placed := fleet.place(now, arrival, gate, request)
	if !placed {
		updateTallies(func(tally *Tally) { tally.Rejected++ })
		return
	}
	updateTallies(func(tally *Tally) { tally.Tokens += arrival.Input + 2*arrival.Output })
	engine := fleet.engines[target]
	job := &Job{Input: arrival.Input, Output: arrival.Output, Segments: arrival.Segments}
	job.Started = func(started time.Time) {
		actual := started.Sub(now)
		fleet.result.ExpectedMillis = append(fleet.result.ExpectedMillis, float64(expected.Milliseconds()))
		fleet.result.ActualMillis = append(fleet.result.ActualMillis, float64(actual.Milliseconds()))
		fleet.result.ArrivedAt = append(fleet.result.ArrivedAt, now.Sub(time.Unix(0, 0)))
		updateTallies(func(tally *Tally) {
			if actual <= kind.Objective {
				tally.InTime++
			} else {
				tally.Late++
			}
		})
		load := engine.Load()
		fleet.schedule(started, func(now time.Time) {
			gate.AnswerStarted(now, request, &load)
			fleet.announceLeaving(now, arrival.Entry, gate, target)
			if stream != nil {
				fleet.streams.begins(now, stream, arrival.Entry, target)
			}
		})
	}
	job.Ended = func(ended time.Time) {
		fleet.schedule(ended, func(now time.Time) {
			fleet.inFlight[arrival.Entry][target]--
			gate.AttemptEnded(now, request, berylgate.Succeeded)
			if stream != nil && fleet.streams.entries[arrival.Entry].running[stream] {
				fleet.streams.ends(stream, arrival.Entry)
			}
		})
	}
	fleet.countArrival(now, arrival.Entry, target)
	if fleet.shed(now, arrival.Entry, gate, target) || !engine.Admit(now, job) {
		updateTallies(func(tally *Tally) { tally.Rejected++ })
		fleet.inFlight[arrival.Entry][target]--
		gate.AttemptEnded(now, request, berylgate.Rejected)
		return
	}
	fleet.runSteps(now, engine)
}

// place chooses the engine of a request by the fleet's policy. It returns the expected
// time to the first token, zero if the policy has no estimate, and false if the request
// is rejected.
func (fleet *fleet) place(now time.Time, arrival Arrival, gate *berylgate.Gate, request *berylgate.Request) (berylspoke.TargetID, time.Duration, bool) {
	inFlight := fleet.inFlight[arrival.Entry]
	if fleet.options.Policy == LeastRunning {
		best := fleet.ids[0]
		for _, id := range fleet.ids {
			if inFlight[id] < inFlight[best] {
				best = id
			}
		}
		inFlight[best]++
		return best, 0, true
	}
	decision := gate.Submit(now, request)
	if decision.Refusal != nil {
		return "", 0, false
	}
	inFlight[decision.Target.ID]++
	return decision.Target.ID, decision.Expected, true
}

// runSteps runs an engine's steps until it has nothing to do.
func (fleet *fleet) runSteps(now time.Time, engine *Engine) {
	if engine.Stepping {
		return
	}
	duration := engine.StartStep(now)
	if duration == 0 {
		return
	}
	engine.Stepping = true
	fleet.schedule(now.Add(duration), func(now time.Time) {
		engine.FinishStep(now)
		engine.Stepping = false
		fleet.runSteps(now, engine)
	})
}
