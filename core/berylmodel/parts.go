package berylmodel

// This file defines parts of prompts that crash engines, the evidence that entry daemons share, and
// what is judged.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylquarantine"
)

// PartsOptions are the parameters of parts of prompts that crash engines.
type PartsOptions struct {
	Seed   uint64
	Storms []Storm
	// MassCrashes crash a fraction of the engines at once.
	MassCrashes []MassCrash
	Kills       []Kill
	// LossFraction is the fraction of messages between entry daemons that are lost.
	LossFraction float64
	// WholeOnly keeps evidence on whole requests only, to show what a run provokes.
	WholeOnly bool
}

// Storm is a time in which requests come with a part that crashes each engine that begins to answer
// them, and sound ones that share something with them.
type Storm struct {
	From, Until time.Duration
	// Bad and Sound are the rates of both per second; the sound ones are in equal parts of each
	// kind of sharing.
	Bad, Sound float64
	// New is set if the first part and the companion were not seen before.
	New bool
}

// MassCrash crashes a fraction of the engines at a time.
type MassCrash struct {
	At       time.Duration
	Fraction float64
}

// Sharing is what a sound request shares with those of a storm.
type Sharing int

// The kinds of sharing.
const (
	SharesNothing Sharing = iota
	SharesKey
	SharesFirst
	SharesCompanion
	Sharings
)

// StormTally counts the requests of a storm.
type StormTally struct {
	// Reached are the requests with the part that reached engines, Late those of them that entry
	// daemons in touch sent later than judgedAfter after the fifth.
	Reached, Late int
	// Sent and Began are the sound requests later than twice that, by what they share.
	Sent, Began [Sharings]int
}

const (
	// judgedAfter is the time after the fifth crash from which requests are late; entry daemons
	// that were killed since are not in touch.
	judgedAfter     = 4 * time.Second
	crashesToBlame  = 5
	engineDowntime  = 2 * time.Second
	connectTime     = 2 * time.Millisecond
	crashDelay      = 40 * time.Millisecond
	maxDetection    = 30 * time.Millisecond
	beginGrace      = time.Second
	evidenceTick    = 50 * time.Millisecond
	ticksPerReport  = 8
	maxPartAttempts = 2
	maxPlacements   = 6
)

// linkDistances are the distances on the ring of entry daemons at which evidence is sent.
var linkDistances = []int{1, 2, 8, 32, 128}

// partsEntry is what an entry daemon knows of crashes.
type partsEntry struct {
	quarantine *berylquarantine.Quarantine
	down       bool
	killedAt   time.Time
	ticks      int
}

// partsCall is one request of a caller.
type partsCall struct {
	arrival Arrival
	storm   *stormState
	bad     bool
	shares  Sharing
	request *berylgate.Request
	// placements counts the decisions, attempts those that reached an engine.
	placements, attempts int
	sent, begunAt        time.Time
	engine               berylspoke.TargetID
}

// stormState is one storm of a run.
type stormState struct {
	Storm
	tally   StormTally
	reached []time.Time
	number  int
}

// parts is the state of the crashes of a run.
type parts struct {
	fleet   *fleet
	options PartsOptions
	random  *rand.Rand
	entries []*partsEntry
	storms  []*stormState
	// calls are the requests at each engine; an engine that crashed has none.
	calls map[berylspoke.TargetID]map[*partsCall]bool
	down  map[berylspoke.TargetID]bool
	count uint64
}

// startParts schedules the storms of a run and what disturbs it.
func (fleet *fleet) startParts(now time.Time, options PartsOptions) {
	parts := &parts{
		fleet: fleet, options: options, random: rand.New(rand.NewPCG(options.Seed, 3)),
		calls: make(map[berylspoke.TargetID]map[*partsCall]bool), down: make(map[berylspoke.TargetID]bool),
	}
	fleet.parts = parts
	for entry := range fleet.gates {
		parts.entries = append(parts.entries, &partsEntry{quarantine: berylquarantine.New(entryName(entry)), ticks: entry})
		fleet.schedule(now.Add(time.Duration(entry)*evidenceTick/time.Duration(len(fleet.gates))), func(now time.Time) { parts.tick(now, entry) })
	}
	parts.setMembers(nil)
	for i, storm := range options.Storms {
		state := &stormState{Storm: storm, number: i}
		parts.storms = append(parts.storms, state)
		parts.scheduleStorm(now, state)
	}
	for _, crash := range options.MassCrashes {
		fleet.schedule(now.Add(crash.At), func(now time.Time) { parts.crashMany(now, crash.Fraction) })
	}
	for _, kill := range options.Kills {
		fleet.schedule(now.Add(kill.At), func(now time.Time) { parts.kill(now, kill.Entry) })
	}
}

// setMembers tells all entry daemons which are live, and which of them have started.
func (parts *parts) setMembers(started []berylspoke.VMID) {
	var live []berylspoke.VMID
	for entry, state := range parts.entries {
		if !state.down {
			live = append(live, entryName(entry))
		}
	}
	for _, state := range parts.entries {
		state.quarantine.SetMembers(live, started)
	}
}

// scheduleStorm schedules the requests of a storm. The sound ones come all the time, unless what
// they share is new.
func (parts *parts) scheduleStorm(start time.Time, storm *stormState) {
	each := func(rate float64, from time.Duration, submit func(now time.Time)) {
		for at := from; ; {
			at += time.Duration(parts.random.ExpFloat64() / rate * float64(time.Second))
			if at >= storm.Until {
				return
			}
			parts.fleet.schedule(start.Add(at), submit)
		}
	}
	each(storm.Bad, storm.From, func(now time.Time) {
		parts.submit(now, parts.newCall(storm, SharesCompanion, true))
	})
	from := time.Duration(0)
	if storm.New {
		from = storm.From
	}
	for shares := range Sharings {
		each(storm.Sound/float64(Sharings), from, func(now time.Time) { parts.submit(now, parts.newCall(storm, shares, false)) })
	}
}

// newCall returns a request of a storm at a random entry daemon.
func (parts *parts) newCall(storm *stormState, shares Sharing, bad bool) *partsCall {
	parts.count++
	segment := func(level int) berylspoke.PromptSegment {
		return berylspoke.PromptSegment{ID: segmentID(100+storm.number, level, 0), Tokens: 200}
	}
	arrival := Arrival{Kind: len(parts.fleet.load.Kinds) - 1, Entry: parts.random.IntN(len(parts.entries)), Output: 24}
	const first, companion, part, others = 0, 1, 2, 3
	switch shares {
	case SharesNothing:
		arrival.Organisation = 1
		arrival.Segments = append(arrival.Segments, segment(others))
	case SharesKey:
		arrival.Segments = append(arrival.Segments, segment(others+1))
	case SharesFirst:
		arrival.Segments = append(arrival.Segments, segment(first))
	case SharesCompanion:
		arrival.Segments = append(arrival.Segments, segment(first), segment(companion))
	}
	if bad {
		arrival.Segments = append(arrival.Segments, segment(part))
	}
	arrival.Segments = append(arrival.Segments, berylspoke.PromptSegment{ID: parts.random.Uint64(), Tokens: 600})
	for _, segment := range arrival.Segments {
		arrival.Input += segment.Tokens
	}
	return &partsCall{arrival: arrival, storm: storm, bad: bad, shares: shares}
}

// digests returns the digests of a request: its parts, and last the request as a whole.
func (parts *parts) digests(arrival Arrival) []berylquarantine.Digest {
	var digests []berylquarantine.Digest
	for i, segment := range arrival.Segments {
		if i == len(arrival.Segments)-1 || !parts.options.WholeOnly {
			digests = append(digests, berylquarantine.Digest(segment.ID))
		}
	}
	return digests
}

func organisationHash(organisation int) berylquarantine.OrganisationHash {
	return berylquarantine.OrganisationHash(organisation + 1)
}

// submit takes a new request.
func (parts *parts) submit(now time.Time, call *partsCall) {
	if parts.entries[call.arrival.Entry].down {
		return
	}
	kind := parts.fleet.load.Kinds[call.arrival.Kind]
	call.request = &berylgate.Request{
		Service: modelService, Organisation: OrganisationName(call.arrival.Organisation), Kind: berylspoke.Streaming,
		Arrived: now, Objective: kind.Objective, MaxAttempts: maxPartAttempts,
		Input: call.arrival.Input, Output: call.arrival.Output, Segments: call.arrival.Segments, Digests: parts.digests(call.arrival),
	}
	if parts.judged(now, call) {
		call.storm.tally.Sent[call.shares]++
	}
	parts.place(now, call)
}

// judged reports whether a sound request counts.
func (parts *parts) judged(now time.Time, call *partsCall) bool {
	if call.storm == nil || call.bad || len(call.storm.reached) == 0 || !parts.inTouch(now, call.arrival.Entry) {
		return false
	}
	fifth := call.storm.reached[min(crashesToBlame, len(call.storm.reached))-1]
	return now.After(fifth.Add(2 * judgedAfter))
}

func (parts *parts) inTouch(now time.Time, entry int) bool {
	state := parts.entries[entry]
	return !state.down && (state.killedAt.IsZero() || now.Sub(state.killedAt) > judgedAfter+restartDelay)
}

// place sends a request to an engine unless it is refused.
func (parts *parts) place(now time.Time, call *partsCall) {
	entry, request := parts.entries[call.arrival.Entry], call.request
	if call.placements++; entry.down || call.placements > maxPlacements {
		return
	}
	ruling, _ := entry.quarantine.Judge(now, request.Digests, organisationHash(call.arrival.Organisation))
	if ruling == berylquarantine.Refuse {
		if !call.bad {
			parts.fleet.result.SoundRefused++
		}
		return
	}
	request.Alone = ruling == berylquarantine.SendAlone
	decision := parts.fleet.gates[call.arrival.Entry].Submit(now, request)
	if decision.Refusal != nil {
		parts.endTrial(entry, call)
		return
	}
	call.engine, call.sent = decision.Target.ID, now
	parts.fleet.schedule(now.Add(connectTime), func(now time.Time) { parts.arrive(now, call) })
}

func (parts *parts) endTrial(entry *partsEntry, call *partsCall) {
	if call.request.Alone {
		call.request.Alone = false
		entry.quarantine.Ended(call.request.Digests)
	}
}

// arrive lets a request arrive at its engine, unless it is refused meanwhile or the engine is down.
func (parts *parts) arrive(now time.Time, call *partsCall) {
	entry, gate, engine := parts.entries[call.arrival.Entry], parts.fleet.gates[call.arrival.Entry], parts.fleet.engines[call.engine]
	blamed := !call.request.Alone && entry.quarantine.Verdicts(now).Refuse(call.request.Digests, organisationHash(call.arrival.Organisation)) != nil
	if entry.down {
		return
	}
	if blamed || parts.down[call.engine] {
		outcome := berylgate.Unreachable
		if blamed {
			outcome = berylgate.NoConnection
		}
		parts.endTrial(entry, call)
		gate.AttemptEnded(now, call.request, outcome)
		parts.place(now, call)
		return
	}
	if call.bad {
		parts.recordReached(now, call)
	}
	call.attempts++
	call.begunAt = time.Time{}
	attempt := call.attempts
	current := func() bool { return call.attempts == attempt && parts.calls[call.engine][call] && !entry.down }
	job := &Job{Input: call.arrival.Input, Output: call.arrival.Output, Segments: call.arrival.Segments}
	job.Started = func(started time.Time) {
		parts.fleet.schedule(started, func(now time.Time) {
			if current() {
				parts.begin(now, call, current)
			}
		})
	}
	job.Ended = func(ended time.Time) {
		parts.fleet.schedule(ended, func(now time.Time) {
			if current() && !call.bad {
				parts.end(now, call)
			}
		})
	}
	if parts.calls[call.engine] == nil {
		parts.calls[call.engine] = make(map[*partsCall]bool)
	}
	parts.calls[call.engine][call] = true
	if !engine.Admit(now, job) {
		delete(parts.calls[call.engine], call)
		parts.endTrial(entry, call)
		gate.AttemptEnded(now, call.request, berylgate.Rejected)
		return
	}
	parts.fleet.runSteps(now, engine)
}

// recordReached counts a request with a bad part that reaches an engine.
func (parts *parts) recordReached(now time.Time, call *partsCall) {
	storm := call.storm
	storm.reached = append(storm.reached, now)
	storm.tally.Reached++
	if len(storm.reached) > crashesToBlame && now.Sub(storm.reached[crashesToBlame-1]) > judgedAfter && parts.inTouch(now, call.arrival.Entry) {
		storm.tally.Late++
	}
}

// begin is called as the first event of an answer arrives.
func (parts *parts) begin(now time.Time, call *partsCall, current func() bool) {
	call.begunAt = now
	parts.fleet.gates[call.arrival.Entry].AnswerStarted(now, call.request, nil)
	if call.bad {
		engine := call.engine
		parts.fleet.schedule(now.Add(crashDelay), func(now time.Time) { parts.crash(now, engine) })
		return
	}
	if call.attempts == 1 && parts.judged(call.request.Arrived, call) {
		call.storm.tally.Began[call.shares]++
	}
	digests := call.request.Digests
	parts.fleet.schedule(now.Add(beginGrace), func(time.Time) {
		if current() {
			parts.entries[call.arrival.Entry].quarantine.Begun(call.begunAt, digests[:len(digests)-1])
		}
	})
}

// end is called as an answer is complete.
func (parts *parts) end(now time.Time, call *partsCall) {
	delete(parts.calls[call.engine], call)
	entry := parts.entries[call.arrival.Entry]
	parts.endTrial(entry, call)
	parts.fleet.gates[call.arrival.Entry].AttemptEnded(now, call.request, berylgate.Succeeded)
	if !call.begunAt.IsZero() {
		entry.quarantine.Begun(call.begunAt, call.request.Digests)
	}
}

// crash crashes an engine, which is back later under a new id.
func (parts *parts) crash(now time.Time, id berylspoke.TargetID) {
	if parts.down[id] {
		return
	}
	parts.down[id] = true
	fleet := parts.fleet
	var broken []*partsCall
	for call := range parts.calls[id] {
		broken = append(broken, call)
	}
	slices.SortFunc(broken, func(one, other *partsCall) int { return one.sent.Compare(other.sent) })
	delete(parts.calls, id)
	for _, call := range broken {
		delay := time.Duration(parts.random.Float64() * float64(maxDetection))
		fleet.schedule(now.Add(delay), func(now time.Time) { parts.detect(now, call, id) })
	}
	next := berylspoke.TargetID(fmt.Sprintf("engine-%d", len(fleet.ids)))
	fleet.ids = append(fleet.ids, next)
	fleet.engines[next] = NewEngine(fleet.options.Engine, fleet.engines[id].lastUses)
	for entry := range fleet.gates {
		lag := time.Duration(parts.random.Float64() * float64(maxLag))
		fleet.schedule(now.Add(engineDowntime+lag), func(now time.Time) {
			fleet.gates[entry].RemoveTarget(id)
			fleet.gates[entry].SetTarget(now, fleet.target(next))
		})
	}
}

// detect is called as an entry daemon finds that the engine of a request has crashed.
func (parts *parts) detect(now time.Time, call *partsCall, id berylspoke.TargetID) {
	entry := parts.entries[call.arrival.Entry]
	if entry.down {
		return
	}
	begun := !call.begunAt.IsZero() && now.Sub(call.begunAt) > beginGrace
	if !begun {
		entry.quarantine.Crashed(now, berylquarantine.Crash{
			Run: berylquarantine.TargetRun(xxhash.Sum64String(string(id))), At: now, Sent: call.sent,
			Organisation: organisationHash(call.arrival.Organisation), Digests: call.request.Digests,
		})
	}
	parts.endTrial(entry, call)
	parts.fleet.gates[call.arrival.Entry].AttemptEnded(now, call.request, berylgate.Broken)
	if !begun && call.attempts < maxPartAttempts {
		parts.place(now, call)
	}
}

// crashMany crashes a fraction of the engines at once.
func (parts *parts) crashMany(now time.Time, fraction float64) {
	for _, id := range slices.Clone(parts.fleet.ids) {
		if !parts.down[id] && parts.random.Float64() < fraction {
			parts.crash(now, id)
		}
	}
}

// kill kills an entry daemon, which starts again without any state.
func (parts *parts) kill(now time.Time, entry int) {
	state := parts.entries[entry]
	state.down, state.killedAt = true, now
	for _, calls := range parts.calls {
		for call := range calls {
			if call.arrival.Entry == entry {
				delete(calls, call)
			}
		}
	}
	parts.fleet.schedule(now.Add(restartDelay), func(now time.Time) {
		state.down = false
		state.quarantine = berylquarantine.New(entryName(entry))
		fresh := parts.fleet.newGate(now, entry)
		for _, id := range parts.fleet.ids {
			if !parts.down[id] {
				fresh.SetTarget(now, parts.fleet.target(id))
			}
		}
		parts.fleet.gates[entry] = fresh
		parts.setMembers([]berylspoke.VMID{entryName(entry)})
	})
}

// tick sends evidence that is due over the links of an entry daemon.
func (parts *parts) tick(now time.Time, entry int) {
	state := parts.entries[entry]
	parts.fleet.schedule(now.Add(evidenceTick), func(now time.Time) { parts.tick(now, entry) })
	if state.ticks++; state.down || !state.quarantine.Urgent() && state.ticks%ticksPerReport != 0 {
		return
	}
	state.quarantine.Expire(now)
	for _, parcel := range state.quarantine.Unsent(now) {
		for _, to := range parcel.To {
			var other int
			_, _ = fmt.Sscanf(string(to), "entry-%d", &other)
			parts.deliver(now, other, parcel.Message)
		}
		if parcel.To != nil {
			continue
		}
		for _, distance := range linkDistances {
			for _, other := range []int{entry + distance, entry - distance} {
				parts.deliver(now, ((other%len(parts.entries))+len(parts.entries))%len(parts.entries), parcel.Message)
			}
		}
	}
}

func (parts *parts) deliver(now time.Time, to int, notices berylquarantine.Notices) {
	parts.fleet.result.Told++
	if parts.random.Float64() < parts.options.LossFraction {
		return
	}
	parts.fleet.schedule(now.Add(peerLatency), func(now time.Time) {
		if state := parts.entries[to]; !state.down {
			state.quarantine.Receive(now, notices)
		}
	})
}

// result returns the tallies of the storms.
func (parts *parts) result() []StormTally {
	var tallies []StormTally
	for _, storm := range parts.storms {
		tallies = append(tallies, storm.tally)
	}
	return tallies
}
