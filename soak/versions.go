package berylsoak

// This file defines engines of several versions, streams that callers take up, and how both are
// judged.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// streamEvents is the number of events of a stream where streams are taken up.
	streamEvents = 30
	// leaveProbability is the probability that a caller leaves a stream and takes it up,
	// killProbability that the process that serves a new stream is killed at its first event.
	leaveProbability, killProbability = 0.4, 0.01
	// maxTries is the number of tries of a caller for one stream.
	maxTries = 4
	// maxReturnDelay bounds the time until a caller takes up a stream.
	maxReturnDelay = 300 * time.Millisecond
	// touchWindow is how long a process must have been undisturbed to be in touch.
	touchWindow = 4 * time.Second
	// minTakenUp is the number of streams from which the share that goes on is judged, and
	// minShare the least share, relative to that of new streams that begin.
	minTakenUp = 12
	minShare   = 0.5
	// servingEngines is the number of engines of a version that serve it.
	servingEngines = 2
	// versionCount is the number of versions of engines.
	versionCount = 3
	// releasePause is the time between two engines that a release replaces.
	releasePause = 400 * time.Millisecond
)

// versionFaults are drawn beside faults if the size has versions set.
var versionFaults = []*fault{
	{"release", true, func(world *World, step step) { world.release(step) }},
	{"joinUnversioned", true, func(world *World, step step) { _, _ = world.addEngine("") }},
	{"restartAsVersion", false, func(world *World, step step) { world.restartAsVersion(step) }},
}

// versionName returns the name of a version by its number, modulo their count.
func versionName(number int) string { return fmt.Sprintf("v%d", 1+number%versionCount) }

// addEngine starts an engine of a version, which tells none if that is empty.
func (world *World) addEngine(version string) (*target, error) {
	added := &target{service: engineService}
	world.mutex.Lock()
	options := world.targetOptions(added)
	world.mutex.Unlock()
	options.Version = version
	return added, world.startTarget(added, options)
}

// release replaces half of the engines by some of another version, one after the other.
func (world *World) release(step step) {
	world.mutex.Lock()
	count := len(world.targetIDs(engineService)) / 2
	world.mutex.Unlock()
	version := versionName(step.index)
	for range count {
		if _, err := world.addEngine(version); err != nil {
			return
		}
		time.Sleep(releasePause)
		if leaving := world.beginDrain(world.engineStep(version), (*beryldouble.Target).Drain); leaving != nil {
			go world.endDrain(leaving)
		}
	}
}

// engineStep returns a step that selects an engine that is not of a version, if there is one.
func (world *World) engineStep(version string) step {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	ids := world.targetIDs("")
	start := rand.IntN(len(ids))
	for i := range ids {
		at := (start + i) % len(ids)
		if found := world.targets[ids[at]]; found.service == engineService && found.Options().Version != version {
			return step{index: at}
		}
	}
	return step{index: start}
}

// restartAsVersion crashes an engine that starts again soon under its id and at its address, with
// another version.
func (world *World) restartAsVersion(step step) {
	crashed := world.removeTarget(world.engineStep(""))
	if crashed == nil {
		return
	}
	options := crashed.Options()
	world.judge.recordOutOfTouch(crashed.Name(), time.Now().Add(step.duration))
	crashed.relay.StopListening()
	crashed.Crash()
	time.Sleep(step.duration / 4)
	if err := crashed.relay.Listen(); err != nil {
		return
	}
	options.Boot++
	options.Version = versionName(step.index / 7)
	// Another process of the machine may have taken the address meanwhile; the world then has
	// one target less.
	_ = world.startTarget(&target{service: engineService, relay: crashed.relay}, options)
}

// serves reports whether enough engines of a text serve undisturbed.
func (world *World) serves(text string, from time.Time) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	serving := 0
	for _, target := range world.targets {
		if target.service == engineService && target.Text() == text && !target.Ended() && world.judge.inTouch(target.Name(), from, time.Now()) {
			serving++
		}
	}
	return serving >= servingEngines
}

// stream is a stream of a caller over all its tries.
type stream struct {
	// began is the attempt that brought the first event; next is the number of the next event.
	began string
	next  int
	// text is what the target of the first event writes.
	text string
	// complete is set once its last event has arrived, joined once another text has.
	complete, joined bool
}

// streamCounts counts new streams and those that callers take up at processes in touch.
type streamCounts struct {
	new, began, takenUp, wentOn int
}

// takeUp sends the tries of a stream: the caller takes it up where it was broken.
func (world *World) takeUp(caller *beryldouble.Caller, request beryldouble.Request, organisation string, random *rand.Rand) {
	id, stream := request.ID, new(stream)
	for try := range maxTries {
		request.ID = fmt.Sprintf("%s-%d", id, try)
		request.Resumes, request.LastEvent = stream.began, stream.next-1
		request.LeaveAfter, request.OnFirstEvent = 0, nil
		if random.Float64() < leaveProbability && try < maxTries-1 {
			request.LeaveAfter = 1 + random.IntN(6)
		}
		attempt, answer, sent := world.try(caller, request, organisation, stream, random.Float64())
		if !sent {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		world.judge.recordTry(attempt, answer, world.serves(stream.text, attempt.sent))
		if stream.complete || answer.Succeeded() {
			return
		}
		time.Sleep(min(answer.RetryAfter, time.Second) + time.Duration(random.Float64()*float64(maxReturnDelay)))
	}
}

// try sends one try of a stream. With a small probability its process is killed at the first
// event.
func (world *World) try(caller *beryldouble.Caller, request beryldouble.Request, organisation string, stream *stream, chance float64) (*attempt, beryldouble.Result, bool) {
	address := caller.Pick(world.ctx, time.Now())
	if address == "" {
		return nil, beryldouble.Result{}, false
	}
	if chance < killProbability && world.judge.unplannedFaults() {
		request.OnFirstEvent = func() { go world.killAt(address) }
	}
	attempt := &attempt{path: request.Path, organisation: organisation, processRun: world.currentRun(address), sent: time.Now(), stream: stream}
	attempt.takesUp = request.Resumes != ""
	world.judge.recordSent(request.ID, attempt)
	answer := caller.Send(world.ctx, address, request)
	world.judge.recordAnswer(answer)
	return attempt, answer, true
}

// killAt kills the process at an address and starts it again.
func (world *World) killAt(address string) {
	for _, process := range world.processes {
		if process.vm.CallersAddress() == address {
			world.restart(process, syscall.SIGKILL, time.Second)
		}
	}
}

// recordOutOfTouch records that a process or a target is disturbed until the given time, in a way
// that excuses streams that do not go on and nothing else.
func (judge *Judge) recordOutOfTouch(name string, until time.Time) {
	judge.recordDisturbed(touchName(name), until)
}

func touchName(name string) string { return "touch " + name }

// everyone names all processes.
const everyone = "all"

// inTouch reports whether a process or a target was undisturbed from touchWindow before a time
// until another.
func (judge *Judge) inTouch(name string, from, to time.Time) bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.undisturbed(name, from, to)
}

// undisturbed is inTouch for callers that hold the mutex.
func (judge *Judge) undisturbed(name string, from, to time.Time) bool {
	for _, disturbed := range []string{name, touchName(name), touchName(everyone)} {
		if judge.advice.disturbedBetween(disturbed, from.Add(-touchWindow), to) {
			return false
		}
	}
	return true
}

// unplannedFaults reports whether unplanned faults have started.
func (judge *Judge) unplannedFaults() bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.unplanned
}

// checkEvents checks the events of a try: over all tries of a stream none is missing or comes
// twice, and one version wrote all of them.
func (judge *Judge) checkEvents(attempt *attempt, answer beryldouble.Result) {
	stream := attempt.stream
	events, err := answer.Events()
	if stream == nil {
		return
	}
	if err != nil {
		judge.addViolation("streams go on with their next event", "%v", err)
	}
	for _, event := range events {
		if stream.next == 0 {
			stream.began, stream.text = answer.Request.ID, event.Text
		}
		if event.Number != stream.next {
			judge.addViolation("streams go on with their next event", "%s brought event %d after %d", answer.Request.ID, event.Number, stream.next-1)
		}
		if event.Text != stream.text && !stream.joined {
			stream.joined = true
			judge.addViolation("streams hold events of one version", "%s began at %s, and went on at %s as %s at %s", stream.began, stream.text, event.Text, answer.Request.ID, attempt.processRun)
		}
		stream.next = event.Number + 1
	}
	stream.complete = stream.complete || answer.HasLastEvent()
}

// recordTry counts a try of a stream if its process was in touch. One that takes a stream up
// counts only if engines of its version serve.
func (judge *Judge) recordTry(attempt *attempt, answer beryldouble.Result, serves bool) {
	if !judge.inTouch(processName(attempt.processRun), attempt.sent, answer.Ended) {
		return
	}
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	events, _ := answer.Events()
	arrived := len(events) > 0 || answer.Succeeded()
	count, good := &judge.streams.new, &judge.streams.began
	if attempt.takesUp {
		count, good = &judge.streams.takenUp, &judge.streams.wentOn
	}
	if attempt.takesUp && !serves && !arrived {
		return
	}
	*count++
	if arrived {
		*good++
	}
}

// checkShares checks that streams that are taken up go on half as often, at least, as new ones
// begin.
func (judge *Judge) checkShares() {
	counts := judge.streams
	if counts.takenUp < minTakenUp || counts.new == 0 {
		return
	}
	goesOn, begins := float64(counts.wentOn)/float64(counts.takenUp), float64(counts.began)/float64(counts.new)
	if goesOn < minShare*begins {
		judge.addViolation("streams that are taken up go on", "%d of %d went on, %d of %d new ones began", counts.wentOn, counts.takenUp, counts.began, counts.new)
	}
}

// left reports whether the caller itself ended an attempt.
func left(answer beryldouble.Result) bool { return errors.Is(answer.Err, beryldouble.ErrLeft) }
