package berylmodel

// This file defines the emulated fleet and its run over a load.

import (
	"container/heap"
	"fmt"
	"time"

	"berylspoke"
	"berylspoke/core/berylgate"
)

// Policy names who decides where requests go.
type Policy string

// The policies: the product's own and two baselines.
const (
	// Gates are daemons that hear from each other.
	Gates Policy = "gates"
	// LocalGates are daemons that do not.
	LocalGates Policy = "localGates"
	// LeastRunning sends every request to the engine with the fewest requests of
	// its own entry, and refuses none.
	LeastRunning Policy = "leastRunning"
)

// FleetOptions describe a fleet.
type FleetOptions struct {
	Policy          Policy
	Entries         int
	Engines         int
	Engine          EngineOptions
	TokensPerSecond berylspoke.Tokens
	// ReportEvery is the time between reports, ReportLag their way.
	ReportEvery, ReportLag time.Duration
}

// SmallFleet returns a fleet of the size of the first deployment.
func SmallFleet(policy Policy) FleetOptions {
	return FleetOptions{
		Policy: policy, Entries: 8, Engines: 9, Engine: Kitamine(), TokensPerSecond: 350_000,
		ReportEvery: 200 * time.Millisecond, ReportLag: 10 * time.Millisecond,
	}
}

// Tally counts the requests of an organisation or a kind.
type Tally struct {
	Asked, InTime, Late, Refused int
	// Tokens are those of the requests that were let in.
	Tokens berylspoke.Tokens
}

// Result is what a run measured.
type Result struct {
	Organisations []Tally
	Kinds         []Tally
	// Read and ReadAgain are the prompt tokens read, and those of them that some
	// engine had used shortly before.
	Read, ReadAgain berylspoke.Tokens
	// Expected and Seen are, for each request let in, the milliseconds to the
	// first token that the gate expected and that the engine took.
	Expected, Seen []float64
}

// event is something that happens at a time of the run.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].order < events[j].order
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

// fleet is one run.
type fleet struct {
	options FleetOptions
	load    LoadOptions
	gates   []*berylgate.Gate
	engines map[berylspoke.TargetID]*Engine
	ids     []berylspoke.TargetID
	own     []map[berylspoke.TargetID]int
	events  events
	order   int
	result  Result
}

const modelService berylspoke.ServiceID = "drafts"

// Run plays a load on a fleet.
func Run(options FleetOptions, load LoadOptions) Result {
	fleet := newFleet(options, load)
	start := time.Unix(0, 0)
	for _, arrival := range Load(load, options.Entries) {
		fleet.at(start.Add(arrival.At), func(now time.Time) { fleet.arrive(now, arrival) })
	}
	for entry := range fleet.gates {
		fleet.at(start.Add(time.Duration(entry)*options.ReportEvery/time.Duration(options.Entries)), func(now time.Time) { fleet.report(now, entry) })
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
		fleet.result.Read += engine.Read
		fleet.result.ReadAgain += engine.ReadAgain
	}
	return fleet.result
}

func newFleet(options FleetOptions, load LoadOptions) *fleet {
	fleet := &fleet{
		options: options, load: load, engines: make(map[berylspoke.TargetID]*Engine),
		result: Result{Organisations: make([]Tally, load.Organisations), Kinds: make([]Tally, len(load.Kinds))},
	}
	now := time.Unix(0, 0)
	uses := make(Uses)
	var targets []berylspoke.Target
	for i := range options.Engines {
		id := berylspoke.TargetID(fmt.Sprintf("engine-%d", i))
		fleet.ids = append(fleet.ids, id)
		fleet.engines[id] = NewEngine(options.Engine, uses)
		targets = append(targets, berylspoke.Target{ID: id, Service: modelService, Address: string(id), FailureDomain: "a", Slots: options.Engine.Slots})
	}
	catalog := &berylspoke.Catalog{
		Services: map[berylspoke.ServiceID]berylspoke.Service{modelService: {
			ID: modelService, MaxConnections: 1000,
			Engine: &berylspoke.EngineSpec{Slots: options.Engine.Slots, Memory: options.Engine.Memory},
		}},
		Limits: berylspoke.Limits{TokensPerSecond: options.TokensPerSecond},
	}
	for entry := range options.Entries {
		gate := berylgate.New(berylgate.Options{
			VM: entryName(entry), Incarnation: berylspoke.Incarnation(entry + 1), FailureDomain: "a",
			RegionOf: map[berylspoke.FailureDomain]berylspoke.Region{"a": "r"}, RetryRatio: 0.2, RetrySlack: 50,
		})
		gate.SetDaemons(now, options.Entries)
		gate.SetCatalog(now, catalog)
		gate.SetTargets(now, targets)
		fleet.gates = append(fleet.gates, gate)
		fleet.own = append(fleet.own, make(map[berylspoke.TargetID]int))
	}
	return fleet
}

func entryName(entry int) berylspoke.VMID { return berylspoke.VMID(fmt.Sprintf("entry-%d", entry)) }

func (fleet *fleet) at(when time.Time, run func(now time.Time)) {
	fleet.order++
	heap.Push(&fleet.events, event{when, fleet.order, run})
}

// report sends one gate's report to the others.
func (fleet *fleet) report(now time.Time, entry int) {
	gate := fleet.gates[entry]
	gate.Tick(now)
	if fleet.options.Policy == Gates {
		report := gate.Report(now)
		fleet.at(now.Add(fleet.options.ReportLag), func(now time.Time) {
			for other, peer := range fleet.gates {
				if other != entry {
					peer.Heard(now, entryName(entry), report)
				}
			}
		})
	}
	fleet.at(now.Add(fleet.options.ReportEvery), func(now time.Time) { fleet.report(now, entry) })
}

// arrive decides on one request.
func (fleet *fleet) arrive(now time.Time, arrival Arrival) {
	kind := fleet.load.Kinds[arrival.Kind]
	tallies := []*Tally{&fleet.result.Organisations[arrival.Organisation], &fleet.result.Kinds[arrival.Kind]}
	each := func(count func(*Tally)) {
		for _, tally := range tallies {
			count(tally)
		}
	}
	each(func(tally *Tally) { tally.Asked++ })
	request := &berylgate.Request{
		Service: modelService, Organisation: OrganisationName(arrival.Organisation), Kind: berylspoke.Streaming,
		Arrived: now, Objective: kind.Objective, Attempts: 1,
		Input: arrival.Input, Output: arrival.Output, Parts: arrival.Parts,
	}
	gate := fleet.gates[arrival.Entry]
	target, expected, taken := fleet.decide(now, arrival, gate, request)
	if !taken {
		each(func(tally *Tally) { tally.Refused++ })
		return
	}
	each(func(tally *Tally) { tally.Tokens += arrival.Input + 2*arrival.Output })
	engine := fleet.engines[target]
	job := &Job{Input: arrival.Input, Output: arrival.Output, Parts: arrival.Parts}
	job.Began = func(began time.Time) {
		seen := began.Sub(now)
		fleet.result.Expected = append(fleet.result.Expected, float64(expected.Milliseconds()))
		fleet.result.Seen = append(fleet.result.Seen, float64(seen.Milliseconds()))
		each(func(tally *Tally) {
			if seen <= kind.Objective {
				tally.InTime++
			} else {
				tally.Late++
			}
		})
		load := engine.Load()
		fleet.at(began, func(now time.Time) { gate.Began(now, request, &load) })
	}
	job.Ended = func(ended time.Time) {
		fleet.at(ended, func(now time.Time) {
			fleet.own[arrival.Entry][target]--
			gate.Ended(now, request, berylgate.Succeeded)
		})
	}
	if !engine.Admit(now, job) {
		each(func(tally *Tally) { tally.Refused++ })
		fleet.own[arrival.Entry][target]--
		gate.Ended(now, request, berylgate.Turned)
		return
	}
	fleet.work(now, engine)
}

func (fleet *fleet) decide(now time.Time, arrival Arrival, gate *berylgate.Gate, request *berylgate.Request) (berylspoke.TargetID, time.Duration, bool) {
	own := fleet.own[arrival.Entry]
	if fleet.options.Policy == LeastRunning {
		best := fleet.ids[0]
		for _, id := range fleet.ids {
			if own[id] < own[best] {
				best = id
			}
		}
		own[best]++
		return best, 0, true
	}
	decision := gate.Submit(now, request)
	if decision.Refusal != nil {
		return "", 0, false
	}
	own[decision.Target.ID]++
	return decision.Target.ID, decision.Expected, true
}

// work runs an engine's steps until it has nothing to do.
func (fleet *fleet) work(now time.Time, engine *Engine) {
	if engine.Busy {
		return
	}
	length := engine.Step(now)
	if length == 0 {
		return
	}
	engine.Busy = true
	fleet.at(now.Add(length), func(now time.Time) {
		engine.Finish(now)
		engine.Busy = false
		fleet.work(now, engine)
	})
}
