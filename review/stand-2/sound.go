package main

// This file defines the case of sound requests that are refused because of a part that they share
// with those that crash engines.

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// firstPart is shared by all requests of the tenant, badPart crashes engines.
	firstPart, badPart = "f0", "bad0"
	engineCount        = 8
	// backAfter is the time after which an engine that crashed is back under its id.
	backAfter = 2 * time.Second
	// soundGap is the time between two sound requests; usualRequests of them are sent before anything
	// crashes.
	soundGap      = 1200 * time.Millisecond
	usualRequests = 24
	// crashAfterBegin is when the engine of a sound request crashes by itself, badFirst when the
	// first request with the bad part is sent after the sound one, and badGap the time between two.
	crashAfterBegin = 250 * time.Millisecond
	badFirst        = 500 * time.Millisecond
	badGap          = 350 * time.Millisecond
	badSeries       = 6
	// badPause is the time between two of those that come after that.
	badPause = 2 * time.Second
	// judgedAfter is 2 x stableWindowMs after the last crash, judgedRequests how many sound requests
	// are judged then; the rule counts from minJudged on.
	judgedAfter    = 8 * time.Second
	judgedRequests = 24
	minJudged      = 20
)

// crashLog holds when engines crashed.
type crashLog struct {
	mutex   sync.Mutex
	crashes []time.Time
}

func (log *crashLog) add(now time.Time) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.crashes = append(log.crashes, now)
}

func (log *crashLog) count() int {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return len(log.crashes)
}

func (log *crashLog) last() time.Time {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if len(log.crashes) == 0 {
		return time.Time{}
	}
	return log.crashes[len(log.crashes)-1]
}

// publishDossier publishes a configuration with one route for streams that are not resumable.
func (world *world) publishDossier() error {
	configuration := beryldouble.Configuration{
		Version: 1, Host: host, TokensPerSecond: 400_000,
		Services: []beryldouble.Service{{Name: "models", Slots: 64, CacheCapacity: 400_000, EventTokens: 8}},
		Routes: []beryldouble.Route{{
			Name: "dossier", Prefix: "/dossier/", Kind: "streaming", Service: "models", TimeoutMillis: 10_000,
			FirstByteObjectiveMillis: 800, MaxAttempts: 1,
		}},
		Organisations: []beryldouble.Organisation{{Name: organisation, Keys: []string{apiKey}}},
	}
	return configuration.Publish(world.store)
}

// addFragile adds an engine that crashes as it begins an answer on the bad part.
func (world *world) addFragile(log *crashLog, options beryldouble.TargetOptions) error {
	options.Crashes = func(parts []string) bool { return slices.Contains(parts, badPart) }
	options.OnCrash = func(crashed *beryldouble.Target) { world.crashTarget(log, crashed) }
	_, err := world.addTarget(options)
	return err
}

// crashTarget makes an engine crash and come back under its id.
func (world *world) crashTarget(log *crashLog, crashed *beryldouble.Target) {
	log.add(time.Now())
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

// targetOfNewestRun returns the engine at which a request ran last.
func (world *world) targetOfNewestRun() *beryldouble.Target {
	newest := world.newestRun().Target
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, target := range world.targets {
		if target.Name() == newest {
			return target
		}
	}
	return nil
}

// dossiers sends requests of the tenant.
type dossiers struct {
	world  *world
	caller *beryldouble.Caller
	// began counts the judged requests that began. stop ends those with the bad part.
	began atomic.Int64
	stop  atomic.Bool
}

// send sends a request with a part beside the first.
func (dossiers *dossiers) send(part string, judged bool) {
	go func() {
		address := dossiers.caller.Pick(context.Background(), time.Now())
		if address == "" {
			dossiers.world.note("no address is told")
			return
		}
		request := dossiers.world.streamRequest("/dossier/", 100)
		request.Segments = fmt.Sprintf("%s:100,%s:100,%s:100", firstPart, part, request.ID)
		if judged {
			request.OnFirstEvent = func() { dossiers.began.Add(1) }
		}
		dossiers.world.send(dossiers.caller, address, request)
	}()
}

// playSound plays a tenant one part of whose prompts crashes engines, and an engine that crashes by
// itself shortly before that.
func playSound(world *world, trouble bool) (string, error) {
	if err := world.publishDossier(); err != nil {
		return "", err
	}
	log := new(crashLog)
	for number := range engineCount {
		if err := world.addFragile(log, beryldouble.TargetOptions{
			ID: fmt.Sprintf("i-%d", number+1), Service: "models", FailureDomain: zones[number%len(zones)], Slots: 64, Version: "v1",
			Events: 20, ProcessingTime: 60 * time.Millisecond, EventInterval: 50 * time.Millisecond,
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
	time.Sleep(4 * time.Second)
	dossiers := &dossiers{world: world, caller: world.caller(1, world.daemons...)}
	ticker := time.NewTicker(soundGap)
	defer ticker.Stop()
	usual := dossiers.sendSound(ticker, usualRequests, nil)
	world.note("%d of %d sound requests began before anything crashed", usual, usualRequests)
	done := make(chan struct{})
	go func() {
		defer close(done)
		dossiers.sendBad(log, trouble)
	}()
	judged := dossiers.sendSound(ticker, judgedRequests, func() bool {
		last := log.last()
		return !last.IsZero() && time.Since(last) > judgedAfter
	})
	dossiers.stop.Store(true)
	<-done
	world.note("%d crashes; %d of %d sound requests began from %v after the last one on", log.count(), judged, judgedRequests, judgedAfter)
	if usual < minJudged {
		return "", fmt.Errorf("only %d sound requests began at first", usual)
	}
	if 2*judged*usualRequests < usual*judgedRequests {
		return fmt.Sprintf("LOST: %d of %d sound requests with the same key and first part began from %v after the last crash on, %d of %d before the first",
			judged, judgedRequests, judgedAfter, usual, usualRequests), nil
	}
	return "", nil
}

// sendSound sends sound requests until a number of them were sent that are judged, and returns how
// many of these began. All are judged if the function is nil.
func (dossiers *dossiers) sendSound(ticker *time.Ticker, count int, judged func() bool) int {
	dossiers.began.Store(0)
	for number := 0; count > 0; number++ {
		<-ticker.C
		isJudged := judged == nil || judged()
		if isJudged {
			count--
		}
		dossiers.send(fmt.Sprintf("%x", 16+number), isJudged)
	}
	time.Sleep(soundGap)
	return int(dossiers.began.Load())
}

// sendBad waits for the next sound request, makes its engine crash if there is trouble, and sends
// requests with the bad part.
func (dossiers *dossiers) sendBad(log *crashLog, trouble bool) {
	world := dossiers.world
	before := world.newestRun().RequestID
	for world.newestRun().RequestID == before {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(crashAfterBegin)
	if target := world.targetOfNewestRun(); target != nil && trouble {
		world.crashTarget(log, target)
	}
	time.Sleep(badFirst - crashAfterBegin)
	for range badSeries {
		dossiers.send(badPart, false)
		time.Sleep(badGap)
	}
	for !dossiers.stop.Load() {
		dossiers.send(badPart, false)
		time.Sleep(badPause)
	}
}
