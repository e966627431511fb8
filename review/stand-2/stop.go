package main

// This file defines the case of a planned stop that cuts streams sent long after it began.

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// shortWork and longWork are how long the two sizes of streams take; both are far below the
	// time limit of the client and the route's timeout.
	shortWork, longWork = 600 * time.Millisecond, 5500 * time.Millisecond
	streamLimit         = 10 * time.Second
	// sentAfter is when the long streams are sent after SIGTERM. The pages excuse those that
	// were sent up to 3 s after it.
	sentAfter   = 3400 * time.Millisecond
	longStreams = 6
	// shortPath and longPath begin the paths of the two sizes.
	shortPath, longPath = "/draft/short/", "/draft/long/"
)

// streamRequest is a request for a stream on the resumable route.
func (world *world) streamRequest(path string, output int) beryldouble.Request {
	id := world.newID()
	return beryldouble.Request{
		ID: id, Method: "POST", Path: path + id, BodyBytes: 200, InputTokens: 300, OutputTokens: output,
		Segments: id + ":300", TimeRemaining: streamLimit,
	}
}

// publishStreams publishes a configuration with one resumable route for streams.
func (world *world) publishStreams(limit time.Duration) error {
	configuration := beryldouble.Configuration{
		Version: 1, Host: host, TokensPerSecond: 400_000,
		Services: []beryldouble.Service{{Name: "models", Slots: 64, CacheCapacity: 400_000, EventTokens: 8}},
		Routes: []beryldouble.Route{{
			Name: "draft", Prefix: "/draft/", Kind: "streaming", Service: "models", TimeoutMillis: int(limit.Milliseconds()),
			FirstByteObjectiveMillis: 800, MaxAttempts: 2, Resumable: true,
		}},
		Organisations: []beryldouble.Organisation{{Name: organisation, Keys: []string{apiKey}}},
	}
	return configuration.Publish(world.store)
}

// playStop plays a machine that is stopped as planned, alone, so that its clients stay with it.
func playStop(world *world, trouble bool) (string, error) {
	if err := world.publishStreams(streamLimit); err != nil {
		return "", err
	}
	for number := range 2 {
		if _, err := world.addTarget(beryldouble.TargetOptions{
			ID: fmt.Sprintf("i-%d", number+1), Service: "models", FailureDomain: zones[number], Slots: 64, Version: "v1",
			Events: 50, ProcessingTime: 20 * time.Millisecond, EventInterval: shortWork / 50,
			Work: func(path string) time.Duration {
				if strings.HasPrefix(path, longPath) {
					return longWork
				}
				return shortWork
			},
		}); err != nil {
			return "", err
		}
	}
	if err := world.addDaemons(1, world.store.Address()); err != nil {
		return "", err
	}
	if err := world.startAll(); err != nil {
		return "", err
	}
	only := world.daemons[0]
	caller := world.caller(1, only)
	var running sync.WaitGroup
	var mutex sync.Mutex
	broken := ""
	send := func(path string, output int, judged bool, stopped time.Time) {
		running.Add(1)
		go func() {
			defer running.Done()
			address := caller.Pick(context.Background(), time.Now())
			if address == "" {
				world.note("no address is told")
				return
			}
			result := world.send(caller, address, world.streamRequest(path, output))
			whole := result.Succeeded() && result.HasLastEvent()
			if !judged || whole || result.NotRun() || !world.hasRun(result.Request.ID) || result.Status != 200 {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			broken = fmt.Sprintf("LOST: %s was sent %.2f s after SIGTERM, passed on to an engine, and its channel ended %.2f s after SIGTERM without a complete answer: %v",
				result.Request.ID, result.Sent.Sub(stopped).Seconds(), result.Ended.Sub(stopped).Seconds(), result.Err)
		}()
	}
	ticker := time.NewTicker(150 * time.Millisecond)
	defer ticker.Stop()
	begun := time.Now()
	stopped, sentLong := time.Time{}, false
	for now := range ticker.C {
		switch {
		case stopped.IsZero() && now.Sub(begun) > 8*time.Second:
			stopped = now
			if trouble {
				only.signal(syscall.SIGTERM)
			} else {
				world.note("no SIGTERM")
			}
		case !stopped.IsZero() && !sentLong && now.Sub(stopped) > sentAfter:
			sentLong = true
			for range longStreams {
				send(longPath, 400, true, stopped)
			}
		}
		if sentLong {
			break
		}
		send(shortPath, 40, false, stopped)
	}
	running.Wait()
	if trouble {
		only.awaitExit(9 * time.Second)
	}
	return broken, nil
}
