package main

// This file defines the case of streams that their clients take up soon after a rolling restart.

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// takenUpStreams is the number of streams at the machine that is killed; the rule counts from
	// 12 on.
	takenUpStreams = 16
	// longLimit is the time limit of the clients and the route's timeout; longEvents events
	// that are longInterval apart make a stream that takes ten seconds.
	longLimit    = 15 * time.Second
	longEvents   = 50
	longInterval = 200 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// touchTime is longer than stableWindowMs, after which a machine that has started is in touch.
	touchTime = 6 * time.Second
	// maxTries bounds a client's tries to take a stream up.
	maxTries = 3
	// stopGap is the time between two stops, killAfter the time from the last stream's beginning
	// to the kill.
	stopGap   = 2 * time.Second
	killAfter = 1500 * time.Millisecond
	// leaveAfter is the number of events after which a client's channel breaks if nothing stops.
	leaveAfter = 8
)

// takeUpCounts count the streams that were taken up and those that went on, and the new ones.
type takeUpCounts struct{ takenUp, wentOn, sent, began int }

// playTakeUp plays a fleet whose machines are stopped and started in turn, and a machine whose
// process is killed some seconds after that.
func playTakeUp(world *world, trouble bool) (string, error) {
	if err := world.publishStreams(longLimit); err != nil {
		return "", err
	}
	for number := range 3 {
		if _, err := world.addTarget(beryldouble.TargetOptions{
			ID: fmt.Sprintf("i-%d", number+1), Service: "models", FailureDomain: zones[number%len(zones)], Slots: 64, Version: "v1",
			Events: longEvents, ProcessingTime: 20 * time.Millisecond, EventInterval: longInterval,
		}); err != nil {
			return "", err
		}
	}
	if err := world.addDaemons(3, world.store.Address()); err != nil {
		return "", err
	}
	if err := world.startAll(); err != nil {
		return "", err
	}
	last := world.daemons[len(world.daemons)-1]
	others := world.daemons[:len(world.daemons)-1]
	time.Sleep(5 * time.Second)
	if trouble {
		if err := world.restartInTurn(others); err != nil {
			return "", err
		}
	}
	time.Sleep(touchTime)
	counts := world.takeUpAll(others, last, trouble)
	world.note("%d streams were taken up, %d went on; %d new ones were sent, %d began", counts.takenUp, counts.wentOn, counts.sent, counts.began)
	if counts.takenUp < 12 {
		return "", fmt.Errorf("only %d streams were taken up", counts.takenUp)
	}
	if 2*counts.wentOn*counts.sent < counts.began*counts.takenUp {
		return fmt.Sprintf("LOST: of %d streams that were taken up %d went on; of %d new ones %d began", counts.takenUp, counts.wentOn, counts.sent, counts.began), nil
	}
	return "", nil
}

// restartInTurn stops daemons one after the other and starts each again as it has ended.
func (world *world) restartInTurn(daemons []*daemon) error {
	results := make(chan error, len(daemons))
	for number, stopped := range daemons {
		go func() {
			time.Sleep(time.Duration(number) * stopGap)
			stopped.signal(syscall.SIGTERM)
			stopped.awaitExit(8 * time.Second)
			time.Sleep(restartDelay)
			if err := stopped.start(false); err != nil {
				results <- err
				return
			}
			results <- stopped.awaitReady()
		}()
	}
	for range daemons {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// takeUpAll begins streams at the last machine, whose process is then killed, and takes them up at
// the others as they break. As many new streams are sent there beside them.
func (world *world) takeUpAll(others []*daemon, last *daemon, trouble bool) takeUpCounts {
	var counts takeUpCounts
	var mutex sync.Mutex
	var running sync.WaitGroup
	caller := world.caller(1, world.daemons...)
	for number := range takenUpStreams {
		at := others[number%len(others)]
		running.Add(1)
		go func() {
			defer running.Done()
			request := world.streamRequest("/draft/", 400)
			request.TimeRemaining = longLimit
			if !trouble {
				request.LeaveAfter = leaveAfter
			}
			result := world.send(caller, last.vm.CallersAddress(), request)
			if result.HasLastEvent() {
				return
			}
			takenUp, wentOn := world.takeUp(caller, at, result)
			fresh := world.streamRequest("/draft/", 400)
			fresh.LeaveAfter = 2
			answer := world.send(caller, at.vm.CallersAddress(), fresh)
			events, _ := answer.Events()
			mutex.Lock()
			defer mutex.Unlock()
			counts.sent++
			if len(events) > 0 {
				counts.began++
			}
			if takenUp {
				counts.takenUp++
			}
			if wentOn {
				counts.wentOn++
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(killAfter)
	if trouble {
		last.signal(syscall.SIGKILL)
	}
	running.Wait()
	return counts
}

// takeUp takes a broken stream up at a machine, within its time limit, and reports whether it was
// taken up and whether it went on.
func (world *world) takeUp(caller *beryldouble.Caller, at *daemon, broken beryldouble.Result) (takenUp, wentOn bool) {
	events, _ := broken.Events()
	if len(events) == 0 {
		return false, false
	}
	end := broken.Sent.Add(longLimit)
	for range maxTries {
		request := broken.Request
		request.ID, request.LeaveAfter = world.newID(), 0
		request.Resumes, request.LastEvent = broken.Request.ID, events[len(events)-1].Number
		if request.TimeRemaining = time.Until(end); request.TimeRemaining < time.Second {
			break
		}
		result := world.send(caller, at.vm.CallersAddress(), request)
		if more, _ := result.Events(); len(more) > 0 || strings.Contains(string(result.Body), "data: end") {
			return true, true
		}
		time.Sleep(result.RetryAfter)
	}
	return true, false
}
