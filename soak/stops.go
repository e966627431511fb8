package berylsoak

// This file defines planned stops in series, requests of any length that meet them, and how both
// are judged.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// killSlack is how long after its time to stop a process is killed where that is not what is
	// judged.
	killSlack = time.Second
	// keptTTLs is how many times as long as told callers keep addresses.
	keptTTLs = 3
	// stopSlots are the slots of targets; long requests hold them for seconds.
	stopSlots = 64
	// maxWork bounds the time of a request, maxBodyDelay the time until its body is whole, and
	// minLimit and maxLimit its time limit and the timeout of its route.
	maxWork, maxBodyDelay = 6 * time.Second, 2 * time.Second
	minLimit, maxLimit    = time.Second, 12 * time.Second
	longProbability       = 0.4
	slowBodyProbability   = 0.25
	// maxStopGap bounds the time between two stops of a series.
	maxStopGap = 1200 * time.Millisecond
	// workMarker marks the paths of requests; their time in milliseconds follows.
	workMarker = "work-"

	// lossSlack is the time after which a process has to answer a request that it has read, and
	// noticeTime the time within which callers may not know that a process stops.
	lossSlack, noticeTime = 200 * time.Millisecond, 3 * time.Second
	// lastPart is the part of a stop in which the requests that targets are still at work on may be
	// cut, if they were sent within noticeTime.
	lastPart = 1. / 6
	// signalTime is the time after which a process knows that it stops.
	signalTime = 500 * time.Millisecond
	// inForceTime is the time after which a timeout is in force everywhere.
	inForceTime = 5 * time.Second
	// answerSlack is the time before the end of a stop by which a request has to end in order to be
	// accepted in any case.
	answerSlack = 500 * time.Millisecond
)

// stopChoices are the times to stop within, in seconds.
var stopChoices = []float64{1.5, 2.5, 4, 5, 6, 8, 8, 12}

// stopFaults are drawn beside faults if the size has stops set.
var stopFaults = []*fault{
	{"stopAll", true, func(world *World, step step) { world.stopAll(step) }},
	{"stopAll", true, func(world *World, step step) { world.stopAll(step) }},
	{"stopTwice", true, func(world *World, step step) { world.stopTwice(step) }},
	{"retime", true, func(world *World, step step) { world.publishNext() }},
}

// stopSeconds returns the stop timeout in the settings of all processes.
func (world *World) stopSeconds() float64 {
	if world.size.Shape != nil {
		return world.size.Shape.StopSeconds
	}
	if !world.size.Stops {
		return usualStopSeconds
	}
	return stopChoices[rand.New(rand.NewPCG(world.size.Seed, 0)).IntN(len(stopChoices))]
}

func (process *process) grace() time.Duration {
	return time.Duration(process.vm.StopSeconds * float64(time.Second))
}

// stopAll stops all processes one after the other.
func (world *World) stopAll(step step) {
	for i := range world.processes {
		next := world.processes[(i+step.index)%len(world.processes)]
		go world.restart(next, syscall.SIGTERM, step.duration/4)
		time.Sleep(time.Duration(step.chance * float64(maxStopGap)))
	}
	time.Sleep(step.duration)
}

// stopTwice stops a process, which gets more signals meanwhile.
func (world *World) stopTwice(step step) {
	process := world.process(step)
	go func() {
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			time.Sleep(time.Duration(step.chance * float64(process.grace()) / 4))
			process.mutex.Lock()
			stopping := process.stopping
			process.mutex.Unlock()
			if stopping {
				process.signal(signal)
			}
		}
	}()
	world.restart(process, syscall.SIGTERM, step.duration/4)
}

// ofAnyLength draws how long a request takes, its time limit, and how slowly its body arrives.
func (generator *generator) ofAnyLength(request beryldouble.Request) beryldouble.Request {
	random := generator.random
	draw := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Float64()*float64(most-least))
	}
	request.TimeRemaining = draw(minLimit, maxLimit).Truncate(time.Millisecond)
	work := draw(20*time.Millisecond, 200*time.Millisecond)
	if random.Float64() < longProbability {
		work = draw(work, min(maxWork, request.TimeRemaining))
	}
	request.Path += fmt.Sprintf("%s%d/", workMarker, work.Milliseconds())
	if request.BodyBytes > 0 && random.Float64() < slowBodyProbability {
		request.BodyDelay = draw(0, min(maxBodyDelay, request.TimeRemaining/2))
	}
	return request
}

// workOf returns the time that a request takes, zero if its path does not tell.
func workOf(path string) time.Duration {
	millis := 0
	if _, after, found := strings.Cut(path, workMarker); found {
		_, _ = fmt.Sscan(strings.TrimSuffix(after, "/"), &millis)
	}
	return time.Duration(millis) * time.Millisecond
}

// drawTimeouts draws the timeouts of the routes of a version.
func (world *World) drawTimeouts(routes []beryldouble.Route) {
	random := rand.New(rand.NewPCG(world.size.Seed, uint64(world.version)))
	record := timeoutRecord{at: time.Now(), byPrefix: make(map[string]time.Duration)}
	for i := range routes {
		timeout := minLimit + time.Duration(random.Float64()*float64(maxLimit-minLimit))
		routes[i].TimeoutMillis = int(timeout.Milliseconds())
		record.byPrefix[routes[i].Prefix] = timeout.Truncate(time.Millisecond)
	}
	world.judge.recordTimeouts(record)
}

// timeoutRecord holds the timeouts of routes that were published at a time.
type timeoutRecord struct {
	at       time.Time
	byPrefix map[string]time.Duration
}

func (judge *Judge) recordTimeouts(record timeoutRecord) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.timeouts = append(judge.timeouts, record)
}

// limits returns the least and the greatest time that an attempt may take by its caller's limit and
// the timeouts that may be in force.
func (judge *Judge) limits(attempt *attempt, ended time.Time) (least, most time.Duration) {
	least = attempt.limit
	for i, record := range judge.timeouts {
		replaced := i+1 < len(judge.timeouts) && judge.timeouts[i+1].at.Add(inForceTime).Before(attempt.sent)
		if replaced || record.at.After(ended) {
			continue
		}
		for prefix, timeout := range record.byPrefix {
			if strings.HasPrefix(attempt.path, prefix) {
				least, most = min(least, timeout), max(most, timeout)
			}
		}
	}
	if most == 0 {
		most = attempt.limit
	}
	return least, min(most, attempt.limit)
}

// stopRecord is a planned stop of a process.
type stopRecord struct {
	at    time.Time
	grace time.Duration
}

func (judge *Judge) recordStop(processRun string, at time.Time, grace time.Duration) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.stops[processRun] = stopRecord{at, grace}
}

// stopCounts counts the requests that met a planned stop: those that were served, rejected because
// of it, or cut, and of these those that may be.
type stopCounts struct{ Met, Served, Rejected, Cut, MayBeCut int }

// checkStop checks an answer of a process that is stopped as planned: it cuts no request that it has
// read whole, and rejects none that would end in time whatever happens.
func (judge *Judge) checkStop(attempt *attempt, answer beryldouble.Result) {
	stop, stopping := judge.stops[attempt.processRun]
	if attempt.limit == 0 || !stopping || answer.Ended.Before(stop.at) {
		return
	}
	judge.stopCounts.Met++
	least, most := judge.limits(attempt, answer.Ended)
	switch {
	case answer.Succeeded():
		judge.stopCounts.Served++
	case answer.Status == http.StatusServiceUnavailable && strings.Contains(string(answer.Body), "draining"):
		judge.stopCounts.Rejected++
		if end := stop.at.Add(stop.grace - answerSlack); !attempt.sent.Add(most).After(end) {
			judge.addViolation("a planned stop serves what ends in time", "%s, sent %s after SIGTERM with a limit of %s and a grace of %s, was rejected",
				answer.Request.ID, attempt.sent.Sub(stop.at), most, stop.grace)
		}
	case judge.isCut(attempt, answer, least):
		judge.stopCounts.Cut++
		if judge.mayBeCut(attempt, answer, stop) {
			judge.stopCounts.MayBeCut++
			return
		}
		judge.addViolation("a planned stop cuts no request", "%s %s, sent %s after SIGTERM with a limit of %s and a grace of %s, ran %d times and was ended after %s: %d, %v",
			answer.Request.ID, attempt.path, attempt.sent.Sub(stop.at), least, stop.grace, len(attempt.runs), answer.Ended.Sub(attempt.sent), answer.Status, answer.Err)
	}
}

// isCut reports whether an attempt that a process has read whole has no complete answer before its limit.
func (judge *Judge) isCut(attempt *attempt, answer beryldouble.Result, limit time.Duration) bool {
	ended := answer.Err != nil && !left(answer) || answer.Status == http.StatusBadGateway || answer.Status == http.StatusGatewayTimeout
	sinceWhole := answer.Ended.Sub(attempt.sent) - attempt.bodyDelay
	return ended && answer.Ended.Sub(attempt.sent) < limit && (len(attempt.runs) > 0 || sinceWhole > lossSlack)
}

// mayBeCut reports whether a stop may cut an attempt: its target is still at work in the last part of
// the stop, and its caller may not have known of the stop. The fleet promises more to calls that must
// not run twice.
func (judge *Judge) mayBeCut(attempt *attempt, answer beryldouble.Result, stop stopRecord) bool {
	since := attempt.sent.Sub(stop.at)
	lastPartBegins := stop.at.Add(time.Duration((1 - lastPart) * float64(stop.grace)))
	once := strings.HasPrefix(attempt.path, pathBook) || attempt.route != nil && attempt.route.Kind == "non_idempotent"
	if len(attempt.runs) == 0 || since > noticeTime || since > signalTime && once {
		return false
	}
	if attempt.route != nil {
		return answer.Ended.After(lastPartBegins) && (attempt.whole.IsZero() || attempt.whole.After(lastPartBegins))
	}
	last := attempt.runs[len(attempt.runs)-1]
	return last.Started.Add(attempt.work).After(lastPartBegins)
}
