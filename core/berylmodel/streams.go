package berylmodel

// This file defines engines of several versions, streams that are broken, and callers that take
// them up at other entry daemons.

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylorigin"
)

// StreamOptions are the parameters of streams that callers take up.
type StreamOptions struct {
	Seed uint64
	// Versions are the versions of the engines at the start; the others have the last one.
	Versions []berylspoke.SoftwareVersion
	Releases []Release
	// LeaveFraction is the fraction of streams that callers leave soon after the first event.
	LeaveFraction float64
	Kills         []Kill
	Silences      []Silence
	// LossFraction is the fraction of messages between entry daemons that are lost.
	LossFraction float64
	// AnyBuild lets streams go on at any engine, to show what a run provokes.
	AnyBuild bool
}

// Release starts an engine of a version at a time. The engine whose place it takes says that it
// leaves, and exits later.
type Release struct {
	At      time.Duration
	Engine  int
	Version berylspoke.SoftwareVersion
}

// Kill kills an entry daemon, which starts again after restartDelay without any state.
type Kill struct {
	At    time.Duration
	Entry int
}

// Silence keeps an entry daemon, or all if Entry is negative, from learning of changes.
type Silence struct {
	From, Until time.Duration
	Entry       int
}

// StreamTally counts streams over all tries of their callers.
type StreamTally struct {
	// New and Began are the new streams and those whose first event came, TakenUp and WentOn
	// the tries to take one up and those that went on.
	New, Began, TakenUp, WentOn int
	// Joined are the streams that hold events of two builds.
	Joined int
	// Told, Asked and Refused are the messages to holders and the tries refused for want of a
	// known build.
	Told, Asked, Refused int
}

const (
	restartDelay = time.Second
	// buildDelay is the delay of a build that appears, maxLag the longest lag of an entry daemon
	// that is in touch.
	buildDelay = 2 * time.Second
	maxLag     = time.Second
	// peerLatency is the network latency between entry daemons.
	peerLatency = 5 * time.Millisecond
	// askRounds and askInterval are how often holders are asked and the time between.
	askRounds   = 3
	askInterval = 150 * time.Millisecond
	// spreadInterval is the longest time until those holders are told that are told later.
	spreadInterval = 100 * time.Millisecond
	// minReturn and maxReturn bound the time until a caller takes up a broken stream.
	minReturn, maxReturn = 5 * time.Millisecond, 300 * time.Millisecond
	// maxLeaveDelay bounds the time from the first event until its caller leaves.
	maxLeaveDelay = 400 * time.Millisecond
	maxTakeUps    = 3
)

// entryState is what an entry daemon knows of streams.
type entryState struct {
	versions *berylorigin.Versions
	records  *berylorigin.Records
	running  map[*modelStream]bool
	asOf     time.Time
	down     bool
	// due are changes that it learns of at its next tick after their time.
	due []dueTarget
}

// dueTarget is a change of a target; one that is gone is no longer published.
type dueTarget struct {
	at     time.Time
	target berylspoke.Target
	gone   bool
}

// ordered returns the running streams in the order in which they began, so that equal runs are
// equal.
func (state *entryState) ordered() []*modelStream {
	return slices.SortedFunc(maps.Keys(state.running), func(one, other *modelStream) int {
		return cmp.Compare(one.number, other.number)
	})
}

// modelStream is one stream over all tries of its caller.
type modelStream struct {
	number  int
	arrival Arrival
	key     berylorigin.Key
	build   berylspoke.Build
	tries   int
	told    bool
	over    bool
	joined  bool
}

// streams is the state of the streams of a run.
type streams struct {
	fleet   *fleet
	options StreamOptions
	random  *rand.Rand
	entries []*entryState
	// engines are all engines that ever were, published those that are published now.
	engines   map[berylspoke.TargetID]berylspoke.Target
	published map[berylspoke.TargetID]bool
	count     int
}

// startStreams sets the versions of the engines and schedules what changes them.
func (fleet *fleet) startStreams(now time.Time, options StreamOptions) {
	streams := &streams{
		fleet: fleet, options: options, random: rand.New(rand.NewPCG(options.Seed, 2)), engines: make(map[berylspoke.TargetID]berylspoke.Target),
		published: make(map[berylspoke.TargetID]bool),
	}
	fleet.streams = streams
	for i, id := range fleet.ids {
		target := fleet.target(id)
		target.Version = options.Versions[min(i, len(options.Versions)-1)]
		target.Started = now.UnixMilli() - berylorigin.Memory.Milliseconds()
		streams.engines[id], streams.published[id] = target, true
	}
	for entry := range fleet.gates {
		streams.entries = append(streams.entries, streams.newEntry(now, entry, true))
	}
	for _, release := range options.Releases {
		fleet.schedule(now.Add(release.At), func(now time.Time) { streams.release(now, release) })
	}
	for _, kill := range options.Kills {
		fleet.schedule(now.Add(kill.At), func(now time.Time) { streams.kill(now, kill.Entry) })
	}
}

// newEntry returns the state of an entry daemon that starts and learns all engines.
func (streams *streams) newEntry(now time.Time, entry int, first bool) *entryState {
	state := &entryState{
		versions: berylorigin.NewVersions(first), records: berylorigin.NewRecords(), running: make(map[*modelStream]bool), asOf: now,
	}
	gate := streams.fleet.gates[entry]
	for _, id := range streams.fleet.ids {
		if !streams.published[id] {
			continue
		}
		state.versions.Set(now, streams.engines[id])
		gate.SetTarget(now, streams.engines[id])
	}
	state.versions.Confirm(now, now, buildDelay)
	return state
}

// silent reports whether an entry daemon learns nothing now.
func (streams *streams) silent(now time.Time, entry int) bool {
	since := now.Sub(time.Unix(0, 0))
	for _, silence := range streams.options.Silences {
		if (silence.Entry < 0 || silence.Entry == entry) && since >= silence.From && since < silence.Until {
			return true
		}
	}
	return false
}

// release starts an engine and lets another leave.
func (streams *streams) release(now time.Time, release Release) {
	fleet := streams.fleet
	leaving := streams.engines[fleet.ids[release.Engine]]
	id := berylspoke.TargetID(fmt.Sprintf("engine-%d", len(fleet.ids)))
	fleet.ids = append(fleet.ids, id)
	fleet.engines[id] = NewEngine(fleet.options.Engine, fleet.engines[leaving.ID].lastUses)
	started := fleet.target(id)
	started.Version, started.Started = release.Version, now.UnixMilli()
	streams.publish(now, started, false)
	leaving.Draining = true
	streams.publish(now, leaving, false)
	fleet.schedule(now.Add(exitDelay), func(now time.Time) { streams.publish(now, leaving, true) })
}

// publish publishes a change of a target, which each entry daemon learns with a lag.
func (streams *streams) publish(now time.Time, target berylspoke.Target, gone bool) {
	streams.engines[target.ID] = target
	if gone {
		delete(streams.published, target.ID)
	} else {
		streams.published[target.ID] = true
	}
	for _, state := range streams.entries {
		lag := time.Duration(streams.random.Float64() * float64(maxLag))
		state.due = append(state.due, dueTarget{now.Add(lag), target, gone})
	}
}

// kill kills an entry daemon. Its streams are broken.
func (streams *streams) kill(now time.Time, entry int) {
	state := streams.entries[entry]
	state.down = true
	for _, stream := range state.ordered() {
		streams.breakOff(now, stream, entry)
	}
	streams.fleet.schedule(now.Add(restartDelay), func(now time.Time) {
		streams.fleet.gates[entry] = streams.fleet.newGate(now, entry)
		streams.entries[entry] = streams.newEntry(now, entry, false)
		streams.tellStarted(now, entry)
	})
}

// tellStarted lets an entry daemon that has started learn of the streams that run at the others, if it is
// to hold them.
func (streams *streams) tellStarted(now time.Time, started int) {
	name := entryName(started)
	for entry, state := range streams.entries {
		if entry == started || state.down {
			continue
		}
		self, live := entryName(entry), streams.live()
		for _, stream := range state.ordered() {
			holders := slices.Concat(berylorigin.Told(stream.key, self, live), berylorigin.ToldLater(stream.key, self, live))
			if !stream.told || !slices.Contains(holders, name) {
				continue
			}
			streams.fleet.result.Streams.Told++
			record := berylorigin.Record{Key: stream.key, Build: stream.build}
			streams.send(now, name, func(now time.Time, state *entryState) { state.records.Add(now, record) })
		}
	}
}

// tick lets an entry daemon learn what is due, and tells holders of its streams where a service
// has got another build.
func (streams *streams) tick(now time.Time, entry int) {
	state, gate := streams.entries[entry], streams.fleet.gates[entry]
	if state.down {
		return
	}
	if !streams.silent(now, entry) {
		state.asOf = now
		var later []dueTarget
		for _, due := range state.due {
			if due.at.After(now) {
				later = append(later, due)
				// What it does not know yet bounds as of when it is complete.
				state.asOf = earliest(state.asOf, due.at.Add(-maxLag))
				continue
			}
			if due.gone {
				state.versions.Remove(now, due.target.ID)
				gate.RemoveTarget(due.target.ID)
				continue
			}
			state.versions.Set(now, due.target)
			gate.SetTarget(now, due.target)
			gate.HoldBuild(due.target.Build(), state.versions.HeldUntil(due.target.Build()))
		}
		state.due = later
	}
	state.versions.Confirm(now, state.asOf, buildDelay)
	gate.SetTargetsAsOf(state.asOf)
	if state.versions.Settled(now, modelService) {
		return
	}
	for _, stream := range state.ordered() {
		if !stream.told {
			streams.tell(now, stream, entry)
		}
	}
}

func earliest(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// live returns the entry daemons that are up.
func (streams *streams) live() []berylspoke.VMID {
	var live []berylspoke.VMID
	for entry, state := range streams.entries {
		if !state.down {
			live = append(live, entryName(entry))
		}
	}
	return live
}

// send calls a function at an entry daemon unless the message is lost.
func (streams *streams) send(now time.Time, to berylspoke.VMID, deliver func(now time.Time, state *entryState)) {
	if streams.random.Float64() < streams.options.LossFraction {
		return
	}
	var entry int
	_, _ = fmt.Sscanf(string(to), "entry-%d", &entry)
	streams.fleet.schedule(now.Add(peerLatency), func(now time.Time) {
		if state := streams.entries[entry]; !state.down {
			deliver(now, state)
		}
	})
}

// tell tells holders of a stream at once, and the others soon after unless the entry daemon is down
// by then.
func (streams *streams) tell(now time.Time, stream *modelStream, entry int) {
	stream.told = true
	record, state := berylorigin.Record{Key: stream.key, Build: stream.build}, streams.entries[entry]
	send := func(now time.Time, holders []berylspoke.VMID) {
		for _, vm := range holders {
			streams.fleet.result.Streams.Told++
			streams.send(now, vm, func(now time.Time, state *entryState) { state.records.Add(now, record) })
		}
	}
	send(now, berylorigin.Told(stream.key, entryName(entry), streams.live()))
	streams.fleet.schedule(now.Add(spreadInterval), func(now time.Time) {
		if !state.down {
			send(now, berylorigin.ToldLater(stream.key, entryName(entry), streams.live()))
		}
	})
}

// begins records that the first event of a try came from an engine.
func (streams *streams) begins(now time.Time, stream *modelStream, entry int, engine berylspoke.TargetID) {
	state, tally := streams.entries[entry], &streams.fleet.result.Streams
	build := streams.engines[engine].Build()
	if !stream.build.Certain() {
		tally.Began++
		stream.build = build
	} else {
		tally.WentOn++
	}
	if build != stream.build && !stream.joined {
		stream.joined = true
		tally.Joined++
	}
	if state.down {
		streams.breakOff(now, stream, entry)
		return
	}
	state.records.Add(now, berylorigin.Record{Key: stream.key, Build: stream.build})
	state.running[stream] = true
	if !state.versions.Settled(now, modelService) {
		streams.tell(now, stream, entry)
	}
	if streams.random.Float64() < streams.options.LeaveFraction {
		left := stream.tries
		streams.fleet.schedule(now.Add(time.Duration(streams.random.Float64()*float64(maxLeaveDelay))), func(now time.Time) {
			if !stream.over && stream.tries == left && state.running[stream] {
				streams.breakOff(now, stream, entry)
			}
		})
	}
}

// ends records that a stream is complete.
func (streams *streams) ends(stream *modelStream, entry int) {
	stream.over = true
	delete(streams.entries[entry].running, stream)
}

// breakOff breaks a stream, which its caller takes up at another entry daemon.
func (streams *streams) breakOff(now time.Time, stream *modelStream, entry int) {
	delete(streams.entries[entry].running, stream)
	if stream.tries++; stream.tries > maxTakeUps {
		return
	}
	pause := minReturn + time.Duration(streams.random.Float64()*float64(maxReturn-minReturn))
	streams.fleet.schedule(now.Add(pause), func(now time.Time) {
		next := streams.random.IntN(len(streams.entries))
		for streams.entries[next].down {
			next = (next + 1) % len(streams.entries)
		}
		streams.fleet.result.Streams.TakenUp++
		streams.search(now, stream, next, askRounds)
	})
}

// search finds the build of a stream at an entry daemon and lets it go on there.
func (streams *streams) search(now time.Time, stream *modelStream, entry, rounds int) {
	state := streams.entries[entry]
	if streams.options.AnyBuild {
		streams.goOn(now, stream, entry, 0)
		return
	}
	if build, known := state.records.Find(now, stream.key); known {
		streams.goOn(now, stream, entry, build)
		return
	}
	if build, only := state.versions.Only(now, modelService); only {
		streams.goOn(now, stream, entry, build)
		return
	}
	if rounds == 0 {
		streams.fleet.result.Streams.Refused++
		return
	}
	answered := false
	for _, vm := range berylorigin.Asked(stream.key, entryName(entry), streams.live()) {
		streams.fleet.result.Streams.Asked++
		streams.send(now, vm, func(now time.Time, holder *entryState) {
			build, known := holder.records.Find(now, stream.key)
			if !known {
				if build, known = holder.versions.Only(now, modelService); !known {
					return
				}
			}
			streams.send(now, entryName(entry), func(now time.Time, _ *entryState) {
				if !answered {
					answered = true
					streams.goOn(now, stream, entry, build)
				}
			})
		})
	}
	streams.fleet.schedule(now.Add(askInterval), func(now time.Time) {
		if !answered && !streams.entries[entry].down {
			answered = true
			streams.search(now, stream, entry, rounds-1)
		}
	})
}

// goOn sends what remains of a stream to an engine of a build, or of any if the options say so.
func (streams *streams) goOn(now time.Time, stream *modelStream, entry int, build berylspoke.Build) {
	arrival := stream.arrival
	arrival.Entry = entry
	streams.fleet.send(now, arrival, stream, func(request *berylgate.Request) {
		request.Continues = stream.build.Certain() && !streams.options.AnyBuild
		request.Build, request.Claimed = build, build.Certain()
	})
}

// newStream returns the stream of an arrival.
func (streams *streams) newStream(arrival Arrival) *modelStream {
	streams.count++
	streams.fleet.result.Streams.New++
	id := berylspoke.RequestID(fmt.Sprint(streams.count))
	return &modelStream{number: streams.count, arrival: arrival, key: berylorigin.KeyOf(OrganisationName(arrival.Organisation), id)}
}
