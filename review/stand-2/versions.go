package main

// This file defines the case of streams that hold events of two versions of engines.

import (
	"context"
	"fmt"
	"sync"
	"time"

	"berylspoke/io/berylstand"
	"berylspoke/platform/beryldouble"
)

// engineGroup is the engines of one version, each behind a relay.
type engineGroup struct {
	version string
	relays  []*berylstand.StreamRelay
}

// addGroup adds two engines of a version behind relays, one in the region of the daemons and one in
// another.
func (world *world) addGroup(version string, events int, interval time.Duration) (*engineGroup, error) {
	group := &engineGroup{version: version}
	for number, zone := range []string{zones[0], farZone} {
		var relay *berylstand.StreamRelay
		var failed error
		_, err := world.addTarget(beryldouble.TargetOptions{
			ID: engineID(version, number), Service: "models", FailureDomain: zone, Slots: 64, Version: version,
			Events: events, ProcessingTime: 20 * time.Millisecond, EventInterval: interval,
			Advertise: func(address string) string {
				if relay == nil {
					relay, failed = berylstand.NewStreamRelay("127.0.0.1:0", address)
				}
				if failed != nil {
					return address
				}
				return relay.Address()
			},
		})
		if err == nil {
			err = failed
		}
		if err != nil {
			return nil, err
		}
		group.relays = append(group.relays, relay)
	}
	return group, nil
}

const (
	// rounds is the number of times that the machine is cut off, roundTime the time between two.
	rounds    = 4
	roundTime = 10 * time.Second
	// cutTime is how long the machine is cut off, crashAfter when an engine goes down after that,
	// and downTime for how long.
	cutTime    = 5 * time.Second
	crashAfter = 600 * time.Millisecond
	downTime   = 2 * time.Second
)

// cutMachine cuts the only machine off from the store and all engines; its clients still reach it.
func (world *world) cutMachine(store *berylstand.StreamRelay, groups []*engineGroup) {
	world.note("the machine is cut off")
	var relays []*berylstand.StreamRelay
	for _, group := range groups {
		relays = append(relays, group.relays...)
	}
	relays = append(relays, store)
	for _, relay := range relays {
		relay.StopListening()
		relay.Reset()
	}
	time.Sleep(cutTime)
	world.listen(relays)
	world.note("the cut has ended")
}

// listen makes relays accept channels again.
func (world *world) listen(relays []*berylstand.StreamRelay) {
	for _, relay := range relays {
		if err := relay.Listen(); err != nil {
			world.note("relay cannot listen again: %v", err)
		}
	}
}

// engineOfNewestRun returns the engine at which a stream began or went on last.
func (world *world) engineOfNewestRun(groups []*engineGroup) (*engineGroup, *berylstand.StreamRelay) {
	newest := world.newestRun().Target
	for _, group := range groups {
		for number, relay := range group.relays {
			if newest == beryldouble.RunName(engineID(group.version, number), 1) {
				return group, relay
			}
		}
	}
	return groups[0], groups[0].relays[0]
}

func engineID(version string, number int) string { return fmt.Sprintf("i-%s-%d", version, number+1) }

// crash takes one engine down for a time.
func (world *world) crash(relay *berylstand.StreamRelay, version string) {
	relay.StopListening()
	reset := relay.Reset()
	world.note("an engine of %s is down, %d channels are reset", version, reset)
	time.Sleep(downTime)
	world.listen([]*berylstand.StreamRelay{relay})
	world.note("the engine of %s is up", version)
}

// playVersions plays a machine that is cut off for some seconds, and an engine that goes down soon
// after that.
func playVersions(world *world, trouble bool) (string, error) {
	if err := world.publishStreams(streamLimit); err != nil {
		return "", err
	}
	var groups []*engineGroup
	for _, version := range []string{"v1", "v2"} {
		group, err := world.addGroup(version, 25, 60*time.Millisecond)
		if err != nil {
			return "", err
		}
		groups = append(groups, group)
	}
	store, err := berylstand.NewStreamRelay("127.0.0.1:0", world.store.Address())
	if err != nil {
		return "", err
	}
	defer store.Close()
	if err := world.addDaemons(1, store.Address()); err != nil {
		return "", err
	}
	if err := world.startAll(); err != nil {
		return "", err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(5 * time.Second)
		for range rounds {
			next := time.Now().Add(roundTime)
			if trouble {
				world.cutMachine(store, groups)
				time.Sleep(crashAfter)
				group, relay := world.engineOfNewestRun(groups)
				world.crash(relay, group.version)
			}
			time.Sleep(time.Until(next))
		}
	}()
	joined := world.streamUntil(done)
	if joined > 2 {
		return fmt.Sprintf("ORDER: %d streams hold events from engines of two software versions in one answer", joined), nil
	}
	world.note("%d streams hold events of two versions", joined)
	return "", nil
}

// streamUntil sends streams until the channel is closed and returns how many hold events of two
// versions.
func (world *world) streamUntil(done <-chan struct{}) int {
	caller := world.caller(1, world.daemons[0])
	var running sync.WaitGroup
	var mutex sync.Mutex
	joined := 0
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for sending := true; sending; {
		select {
		case <-done:
			sending = false
		case <-ticker.C:
			running.Add(1)
			go func() {
				defer running.Done()
				address := caller.Pick(context.Background(), time.Now())
				if address == "" {
					return
				}
				result := world.send(caller, address, world.streamRequest("/draft/", 200))
				events, _ := result.Events()
				if found := texts(events); len(found) > 1 {
					world.note("%s holds events of %v", result.Request.ID, found)
					mutex.Lock()
					joined++
					mutex.Unlock()
				}
			}()
		}
	}
	running.Wait()
	return joined
}
