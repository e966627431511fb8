package berylsoak

// This file defines scenes: faults in a set order that meet each other, as a single fault drawn at
// random seldom does, and how they are judged.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"berylspoke/io/berylstand"
	"berylspoke/platform/beryldouble"
)

const (
	// sceneEventInterval makes streams long enough to be running in every scene.
	sceneEventInterval = 100 * time.Millisecond
	// sceneOrganisation sends few requests, all of which share sparsePart; some hold sparseBadPart, which
	// crashes engines.
	sceneOrganisation         = organisationCount - 1
	sparsePart, sparseBadPart = "5a", "bad5"
	// judgedSparse is the number of its sound requests that are judged at the end.
	judgedSparse = 12
	// doubtTime is how long no connection reaches a target, storeDoubtTime how much longer none
	// reaches the store.
	doubtTime, storeDoubtTime = 700 * time.Millisecond, 2500 * time.Millisecond
	// largeTenants makes a configuration of about half a megabyte, largeChanges the number that come
	// while the store is slow, largeGap apart.
	largeTenants, largeChanges = 8000, 25
	largeGap                   = 80 * time.Millisecond
	slowStoreTime              = 4 * time.Second
	// followTime is the time after a slow store within which all processes follow the last
	// configuration.
	followTime = 6 * time.Second
	// killedStreams is the number of streams at a process that is killed.
	killedStreams = 24
	// rollTick is the time until a process that was stopped starts again.
	rollTick = 300 * time.Millisecond
)

// sceneFaults are drawn beside planned operations if the size has scenes set.
var sceneFaults = []*fault{
	{"doubtEngines", false, func(world *World, step step) { world.doubtEngines(step) }},
	{"crashBesideBadPart", false, func(world *World, step step) { world.crashBesideBadPart(step) }},
	{"largeConfigurations", false, func(world *World, step step) { world.largeConfigurations(step) }},
	{"rollThenKill", false, func(world *World, step step) { world.rollThenKill(step) }},
	{"answersWithoutEnd", false, func(world *World, step step) { world.answersWithoutEnd(step) }},
}

// killAllScene kills all processes at once.
var killAllScene = &fault{"killAll", false, func(world *World, step step) { world.killAll(step) }}

const (
	// sceneGap is the least time between the starts of two scenes, of which the last is killAll;
	// longSceneGap follows one in which processes that start would hide the fault, or do.
	sceneGap     = 3 * time.Second
	longSceneGap = 13 * time.Second
)

// newScenePlan draws the order of the scenes and planned operations beside them. In worlds of an odd seed
// engines of two versions serve. In the others one does, and the first scene is rollThenKill: a process that
// was cut from the store would tell others of its streams.
func newScenePlan(random *rand.Rand, size Size) []step {
	draw := func(at time.Duration, fault *fault) step {
		return step{at: at, fault: fault, index: random.IntN(1 << 16), chance: random.Float64(), duration: minDuration + time.Duration(random.Float64()*float64(maxDuration-minDuration))}
	}
	var plan []step
	scenes := slices.Clone(sceneFaults)
	random.Shuffle(len(scenes), func(i, j int) { scenes[i], scenes[j] = scenes[j], scenes[i] })
	others := []string{"reload", "join", "resetCallers", "slowTarget"}
	if size.Seed%2 == 1 {
		plan, others = append(plan, draw(0, faultNamed("release"))), append(others, "release")
	}
	if size.Seed%2 == 0 {
		first := slices.IndexFunc(scenes, func(fault *fault) bool { return fault.name == "rollThenKill" })
		scenes[0], scenes[first] = scenes[first], scenes[0]
	}
	at := sceneGap
	for _, scene := range scenes {
		plan = append(plan, draw(at, scene))
		at += sceneGap + time.Duration(random.Float64()*float64(sceneGap))
		if scene.name == "largeConfigurations" || scene.name == "rollThenKill" || scene.name == "crashBesideBadPart" {
			at += longSceneGap
		}
	}
	length := max(at, time.Duration(size.Seconds)*time.Second)
	for other := time.Duration(0); other < length; other += time.Duration((0.5 + random.Float64()) * float64(2*time.Second)) {
		if chosen := others[random.IntN(len(others))]; other > 0 {
			plan = append(plan, draw(other, faultNamed(chosen)))
		}
	}
	slices.SortStableFunc(plan, func(one, other step) int { return int(one.at - other.at) })
	return append(plan, draw(length, killAllScene))
}

// faultNamed returns the fault with a name.
func faultNamed(name string) *fault {
	all := slices.Concat(faults, versionFaults)
	return all[slices.IndexFunc(all, func(fault *fault) bool { return fault.name == name })]
}

// doubtEngines cuts all processes from the store and all targets, and crashes an engine once targets are
// reached again and the store is not: none is known to be the run that was published.
func (world *World) doubtEngines(step step) {
	until := time.Now().Add(doubtTime + storeDoubtTime)
	world.judge.recordStoreOutage(until)
	world.judge.recordOutOfTouch(everyone, until)
	world.mutex.Lock()
	var relays []*berylstand.StreamRelay
	for _, target := range world.targets {
		relays = append(relays, target.relay)
	}
	world.mutex.Unlock()
	for _, process := range world.processes {
		process.store.SetImpairment(berylstand.Impairment{Refuse: true})
		process.store.Reset()
	}
	for _, relay := range relays {
		relay.SetImpairment(berylstand.Impairment{Refuse: true})
		relay.Reset()
	}
	time.Sleep(doubtTime)
	for _, relay := range relays {
		relay.SetImpairment(sound)
	}
	var running sync.WaitGroup
	defer running.Wait()
	caller := world.sceneCaller(step)
	defer caller.Close()
	for number := range killedStreams {
		request := world.sceneStream(step, number)
		running.Go(func() {
			world.takeUp(caller, request, organisationName(0), rand.New(rand.NewPCG(world.size.Seed, uint64(number))))
		})
	}
	time.Sleep(storeDoubtTime / 2)
	crash := world.engineStep("")
	crash.duration = step.duration
	go world.crashTarget(crash)
	time.Sleep(storeDoubtTime / 2)
	for _, process := range world.processes {
		process.store.SetImpairment(sound)
	}
}

// sceneStream returns a request for one of the streams of a scene.
func (world *World) sceneStream(step step, number int) beryldouble.Request {
	return beryldouble.Request{
		ID: fmt.Sprintf("scene-%d-%d", step.index, number), Host: "h.example", APIKey: callerKey(0, 0), Method: http.MethodPost, Path: pathResume, BodyBytes: 300,
		InputTokens: 300, OutputTokens: 96, Segments: fmt.Sprintf("c1:100,%x:200", 0xc000+number), TimeRemaining: 8 * time.Second,
	}
}

// sparseRequest returns a request of the organisation that sends few, with a part beside the one that
// all of them share.
func (world *World) sparseRequest(part string) (beryldouble.Request, *attempt) {
	number := int(world.sparse.Add(1))
	id := fmt.Sprintf("5ca%05x", number)
	return beryldouble.Request{
		ID: id, Host: "h.example", APIKey: callerKey(sceneOrganisation, 0), Method: http.MethodPost, Path: pathDraft, BodyBytes: 300 + number,
		InputTokens: 300, OutputTokens: 96, Segments: fmt.Sprintf("%s:100,%s:100,%s:100", sparsePart, part, id), TimeRemaining: 8 * time.Second,
	}, &attempt{path: pathDraft, organisation: organisationName(sceneOrganisation)}
}

// sendSparse sends a request of that organisation and returns its answer.
func (world *World) sendSparse(caller *beryldouble.Caller, request beryldouble.Request, attempt *attempt) beryldouble.Result {
	address := caller.Pick(world.ctx, time.Now())
	if address == "" {
		return beryldouble.Result{Request: request}
	}
	attempt.processRun, attempt.sent = world.currentRun(address), time.Now()
	world.judge.recordSent(request.ID, attempt)
	answer := caller.Send(world.ctx, address, request)
	world.judge.recordAnswer(answer)
	return answer
}

// sceneCaller returns a caller of a scene.
func (world *World) sceneCaller(step step) *beryldouble.Caller {
	domain := domains[step.index%len(domains)]
	return beryldouble.NewCaller(uint64(step.index), domain.name, domain.region, world.resolveAddresses(domain.name), nil)
}

// crashBesideBadPart crashes the engine of a sound request of the organisation that sends few, sends some
// of its requests with the bad part, and checks that half of its sound ones begin again after that.
func (world *World) crashBesideBadPart(step step) {
	caller := world.sceneCaller(step)
	defer caller.Close()
	var running sync.WaitGroup
	defer running.Wait()
	request, sent := world.sparseRequest("aaaa")
	running.Go(func() { world.sendSparse(caller, request, sent) })
	time.Sleep(250 * time.Millisecond)
	if found := world.targetOf(request.ID); found != nil {
		world.crashByPart(found, found.Target)
	}
	time.Sleep(250 * time.Millisecond)
	for range 6 {
		request, sent := world.sparseRequest(sparseBadPart)
		running.Go(func() { world.sendSparse(caller, request, sent) })
		time.Sleep(350 * time.Millisecond)
	}
	time.Sleep(2 * touchWindow)
	world.judgeSparse(caller)
}

// targetOf returns the target at which a request runs, nil if there is none.
func (world *World) targetOf(id string) *target {
	name := world.judge.targetOf(id)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, target := range world.targets {
		if target.Name() == name {
			return target
		}
	}
	return nil
}

func (judge *Judge) targetOf(id string) string {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	attempt := judge.attempts[id]
	if attempt == nil || len(attempt.runs) == 0 {
		return ""
	}
	return attempt.runs[len(attempt.runs)-1].Target
}

// judgeSparse checks that of the sound requests of the organisation that sends few half begin at processes
// in touch.
func (world *World) judgeSparse(caller *beryldouble.Caller) {
	counted, began := 0, 0
	for number := range judgedSparse {
		request, sent := world.sparseRequest(fmt.Sprintf("%x", 0xb000+number))
		answer := world.sendSparse(caller, request, sent)
		if events, _ := answer.Events(); len(events) > 0 {
			began++
			counted++
		} else if sent.processRun != "" && world.judge.inTouch(processName(sent.processRun), sent.sent, answer.Ended) {
			counted++
		}
		time.Sleep(200 * time.Millisecond)
	}
	world.judge.addSummary("of %d sound requests beside a part that crashes engines %d began", counted, began)
	if 2*counted > judgedSparse && 2*began < counted {
		world.judge.addSceneViolation("an organisation is not locked out beside a part that crashes engines", "%d of %d sound requests began", began, counted)
	}
}

func (judge *Judge) addSceneViolation(guarantee, detail string, values ...any) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.addViolation(guarantee, detail, values...)
}

// addSummary adds a line to the summary of the soak.
func (judge *Judge) addSummary(line string, values ...any) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.parts.summary = append(judge.parts.summary, fmt.Sprintf(line, values...))
}

// largeConfigurations publishes large configurations in quick succession while the store is slow, and
// checks that all processes follow the last one soon after.
func (world *World) largeConfigurations(step step) {
	until := time.Now().Add(slowStoreTime)
	world.judge.recordStoreOutage(until)
	world.judge.recordOutOfTouch(everyone, until.Add(followTime))
	for _, process := range world.processes {
		process.store.SetImpairment(berylstand.Impairment{Delay: 250 * time.Millisecond})
	}
	world.mutex.Lock()
	world.padding = largeTenants
	world.mutex.Unlock()
	for range largeChanges {
		world.mutex.Lock()
		err := world.publish(world.judge.newestPublished())
		world.mutex.Unlock()
		if err != nil {
			panic(err) // the configuration is made by the soak and always encodes
		}
		time.Sleep(largeGap)
	}
	world.publishNext()
	time.Sleep(time.Until(until))
	for _, process := range world.processes {
		process.store.SetImpairment(sound)
	}
	newest := world.judge.newestPublished()
	late := time.Now().Add(followTime)
	for _, process := range world.processes {
		run := world.currentRun(process.vm.CallersAddress())
		for process.vm.IsReady() && !world.servesConfiguration(process, newest) {
			if time.Now().After(late) {
				if run == world.currentRun(process.vm.CallersAddress()) {
					world.judge.addSceneViolation("configurations are followed after a slow store", "%s does not follow the newest %s later", run, followTime)
				}
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.padding = 0
}

// rollThenKill stops and starts all processes but one in turn, kills that one while streams run there, and
// checks that half of them go on at the others.
func (world *World) rollThenKill(step step) {
	chosen := step.index % len(world.processes)
	last := world.processes[chosen]
	others := slices.Delete(slices.Clone(world.processes), chosen, chosen+1)
	var rolling sync.WaitGroup
	for i, process := range others {
		rolling.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			world.roll(process)
		})
	}
	rolling.Wait()
	if world.awaitReady(others) != nil {
		return
	}
	time.Sleep(touchWindow + time.Second)
	started, lastRun := time.Now(), world.currentRun(last.vm.CallersAddress())
	var takenUp, wentOn, begun atomic.Int64
	var running sync.WaitGroup
	caller := world.sceneCaller(step)
	defer caller.Close()
	for number := range killedStreams {
		running.Go(func() {
			request := world.sceneStream(step, number)
			request.OnFirstEvent = func() { begun.Add(1) }
			world.takeUpElsewhere(caller, request, last, others[number%len(others)], started, &takenUp, &wentOn)
		})
	}
	for end := time.Now().Add(2 * time.Second); begun.Load() < killedStreams && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
	}
	if lastRun == world.currentRun(last.vm.CallersAddress()) {
		world.restart(last, syscall.SIGKILL, time.Second)
	}
	running.Wait()
	world.judge.addSummary("of %d streams of a killed process %d went on after a rolling restart", takenUp.Load(), wentOn.Load())
	if takenUp.Load() >= minTakenUp && 2*wentOn.Load() < takenUp.Load() {
		world.judge.addSceneViolation("streams go on after a rolling restart and a kill", "%d of %d went on", wentOn.Load(), takenUp.Load())
	}
}

// roll stops a process as planned and starts it again. It counts as disturbed until it is started, and no
// longer.
func (world *World) roll(process *process) {
	if !process.claimStop() {
		return
	}
	done := make(chan struct{})
	go func() {
		for {
			world.judge.recordDisturbed(process.vm.Name, time.Now().Add(rollTick))
			select {
			case <-done:
				return
			case <-time.After(rollTick / 2):
			}
		}
	}()
	defer close(done)
	grace := process.grace()
	world.judge.recordStop(world.currentRun(process.vm.CallersAddress()), time.Now(), grace)
	process.signal(syscall.SIGTERM)
	process.awaitExit(grace + killSlack)
	time.Sleep(rollTick)
	if err := world.start(process); err != nil {
		world.judge.recordExit(process.vm.Name, err)
	}
}

// takeUpElsewhere sends a request for a stream to one process and takes it up at another one, three times
// at most. It counts only if that one was in touch, and engines of the stream's version serve.
func (world *World) takeUpElsewhere(caller *beryldouble.Caller, request beryldouble.Request, first, next *process, from time.Time, takenUp, wentOn *atomic.Int64) {
	stream := new(stream)
	send := func(to *process, request beryldouble.Request) beryldouble.Result {
		address := to.vm.CallersAddress()
		attempt := &attempt{path: request.Path, organisation: organisationName(0), processRun: world.currentRun(address), sent: time.Now(), stream: stream, takesUp: request.Resumes != ""}
		world.judge.recordSent(request.ID, attempt)
		answer := caller.Send(context.Background(), address, request)
		world.judge.recordAnswer(answer)
		return answer
	}
	id := request.ID
	if answer := send(first, request); stream.next == 0 || answer.HasLastEvent() {
		return
	}
	counts, received := false, stream.next
	for try := range 3 {
		request.ID, request.OnFirstEvent = fmt.Sprintf("%s-%d", id, try), nil
		request.Resumes, request.LastEvent = stream.began, stream.next-1
		answer := send(next, request)
		counts = counts || world.judge.inTouch(next.vm.Name, from, answer.Ended) && world.serves(stream.text, from)
		if stream.next > received || answer.HasLastEvent() {
			wentOn.Add(1)
			counts = true
			break
		}
		time.Sleep(min(answer.RetryAfter, time.Second))
	}
	if counts {
		takenUp.Add(1)
	}
}

// answersWithoutEnd makes a target of each service answer without end for a while, and checks that no
// process takes more than its memory.
func (world *World) answersWithoutEnd(step step) {
	world.mutex.Lock()
	var chosen []*target
	for _, service := range []string{engineService, deskService} {
		ids := world.targetIDs(service)
		chosen = append(chosen, world.targets[ids[step.index%len(ids)]])
	}
	world.mutex.Unlock()
	for i, target := range chosen {
		world.judge.recordOutOfTouch(target.Name(), time.Now().Add(step.duration))
		target.SetEndless(beryldouble.EndlessStyle(1 + (step.index/7+i)%int(beryldouble.EndlessStyles-1)))
	}
	time.Sleep(step.duration)
	for _, target := range chosen {
		target.SetEndless(beryldouble.Ends)
	}
	for _, process := range world.processes {
		if used := process.peakMegabytes(); used > world.size.MemoryMB {
			world.judge.addSceneViolation("processes stay within their memory", "%s took %d MB of %d", process.vm.Name, used, world.size.MemoryMB)
		}
	}
}

// peakMegabytes returns the largest resident size that the current run of a process has had, zero if it
// has ended.
func (process *process) peakMegabytes() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(body), "VmHWM:")
	kilobytes := 0
	_, _ = fmt.Sscan(after, &kilobytes)
	return kilobytes >> 10
}

// killAll kills all processes at once: nobody knows which version began the streams that break.
func (world *World) killAll(step step) {
	var killing sync.WaitGroup
	for _, process := range world.processes {
		killing.Go(func() { world.restart(process, syscall.SIGKILL, step.duration/4) })
	}
	killing.Wait()
	_ = world.awaitReady(world.processes)
	time.Sleep(touchWindow)
}
