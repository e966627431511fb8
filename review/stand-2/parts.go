package main

// This file defines the case of a part of prompts that crashes engines, whose route moves to
// another service.

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// firstPart is shared by all requests of the route, badPart crashes engines.
	firstPart, badPart = "f0", "bad0"
	// enginesPerService is large enough that some engines are always up.
	enginesPerService = 12
	// backAfter is the time after which an engine that crashed is back under its id.
	backAfter = 1500 * time.Millisecond
	// badPause is the time between two series of requests with the bad part, one at each machine.
	badPause = 500 * time.Millisecond
	// badAfter is when the first of them come, movedAfter when the route moves, and partsTime the
	// length of the case.
	badAfter   = 5 * time.Second
	movedAfter = 20 * time.Second
	partsTime  = 28 * time.Second
	// touchWindow is stableWindowMs; crashesToBlame and maxLate are the figures of the rule.
	touchWindow    = 4 * time.Second
	crashesToBlame = 5
	maxLate        = 3
)

// crashLog holds the crashes, and the requests with the bad part that reached engines.
type crashLog struct {
	mutex   sync.Mutex
	crashes []time.Time
	reached []reached
	lost    int
}

// reached is a request with the bad part that reached an engine.
type reached struct {
	id     string
	target string
	at     time.Time
}

// late returns the requests that reached engines later than the rule allows.
func (log *crashLog) late() []reached {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if len(log.crashes) < crashesToBlame {
		return nil
	}
	var late []reached
	for _, request := range log.reached {
		if request.at.After(log.crashes[crashesToBlame-1].Add(touchWindow)) {
			late = append(late, request)
		}
	}
	return late
}

// publishParts publishes a configuration whose only route goes to a service.
func (world *world) publishParts(version int, service string) error {
	world.note("configuration %d sends the route to %s", version, service)
	configuration := beryldouble.Configuration{
		Version: version, Host: host, TokensPerSecond: 400_000,
		Services: []beryldouble.Service{
			{Name: "models-a", Slots: 64, CacheCapacity: 400_000, EventTokens: 8},
			{Name: "models-b", Slots: 64, CacheCapacity: 400_000, EventTokens: 8},
		},
		Routes: []beryldouble.Route{{
			Name: "dossier", Prefix: "/dossier/", Kind: "streaming", Service: service, TimeoutMillis: 10_000,
			FirstByteObjectiveMillis: 800, MaxAttempts: 1,
		}},
		Organisations: []beryldouble.Organisation{{Name: organisation, Keys: []string{apiKey}}},
	}
	return configuration.Publish(world.store)
}

// addFragile adds an engine that crashes as it begins an answer on the bad part, and that is back
// some time later.
func (world *world) addFragile(log *crashLog, options beryldouble.TargetOptions) error {
	options.Crashes = func(parts []string) bool { return slices.Contains(parts, badPart) }
	options.OnCrash = func(crashed *beryldouble.Target) {
		log.mutex.Lock()
		log.crashes = append(log.crashes, time.Now())
		log.mutex.Unlock()
		world.note("%s crashes", crashed.Name())
		crashed.Crash()
		time.AfterFunc(backAfter, func() {
			again := crashed.Options()
			again.Boot++
			if err := world.addFragile(log, again); err != nil {
				world.note("%s does not start again: %v", crashed.Name(), err)
			}
		})
	}
	_, err := world.addTarget(options)
	return err
}

// playParts plays a tenant whose prompts hold a part that crashes engines, on a route that moves to
// another service.
func playParts(world *world, trouble bool) (string, error) {
	if err := world.publishParts(1, "models-a"); err != nil {
		return "", err
	}
	log := new(crashLog)
	for _, service := range []string{"models-a", "models-b"} {
		for number := range enginesPerService {
			if err := world.addFragile(log, beryldouble.TargetOptions{
				ID: fmt.Sprintf("i-%s-%d", service, number+1), Service: service, FailureDomain: zones[number%len(zones)], Slots: 64, Version: "v1",
				Events: 20, ProcessingTime: 60 * time.Millisecond, EventInterval: 50 * time.Millisecond,
			}); err != nil {
				return "", err
			}
		}
	}
	if err := world.addDaemons(3, world.store.Address()); err != nil {
		return "", err
	}
	if err := world.startAll(); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	world.sendParts(log, trouble)
	late := log.late()
	for _, request := range late {
		world.note("%s reached %s, later than %v after crash %d", request.id, request.target, touchWindow, crashesToBlame)
	}
	world.note("%d crashes, %d requests with the part that came too late, %d sound streams broken off", len(log.crashes), len(late), log.lost)
	if len(late) > maxLate {
		return fmt.Sprintf("BUDGET: %d requests with a part that crashes engines reached engines later than %v after the fifth crash; %d sound streams were broken off in all",
			len(late), touchWindow, log.lost), nil
	}
	return "", nil
}

// sendParts sends sound requests and those with the bad part, and moves the route.
func (world *world) sendParts(log *crashLog, trouble bool) {
	caller := world.caller(1, world.daemons...)
	var running sync.WaitGroup
	send := func(address, part string) {
		running.Add(1)
		go func() {
			defer running.Done()
			request := world.streamRequest("/dossier/", 100)
			request.Segments = fmt.Sprintf("%s:100,%s:100,%s:100", firstPart, part, request.ID)
			result := world.send(caller, address, request)
			log.mutex.Lock()
			defer log.mutex.Unlock()
			if part == badPart {
				if run, ran := world.runOf(request.ID); ran {
					log.reached = append(log.reached, reached{request.ID, run.Target, run.Started})
				}
			} else if result.Status == 200 && !result.HasLastEvent() || result.Status == 502 {
				log.lost++
			}
		}()
	}
	sound := time.NewTicker(60 * time.Millisecond)
	defer sound.Stop()
	bad := time.NewTicker(badPause)
	defer bad.Stop()
	begun, moved, sent := time.Now(), !trouble, 0
	for time.Since(begun) < partsTime {
		select {
		case <-sound.C:
			sent++
			if address := caller.Pick(context.Background(), time.Now()); address != "" {
				send(address, fmt.Sprintf("%x", 16+sent%8))
			}
		case <-bad.C:
			if time.Since(begun) < badAfter {
				continue
			}
			for _, daemon := range world.daemons {
				send(daemon.vm.CallersAddress(), badPart)
			}
		}
		if !moved && time.Since(begun) > movedAfter {
			moved = true
			if err := world.publishParts(2, "models-b"); err != nil {
				world.note("configuration cannot be published: %v", err)
			}
		}
	}
	running.Wait()
}
