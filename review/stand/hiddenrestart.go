package main

// This file defines the case in which an engine starts again, with another version of its software
// and under its id, while it is cut off from the store.

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	modelName = "drafting-models"
	// streamEvents and eventInterval make streams last about two seconds.
	streamEvents  = 24
	eventInterval = 90 * time.Millisecond
	firstWork     = 40 * time.Millisecond
	// streamInterval is the time between two new streams.
	streamInterval = 40 * time.Millisecond
	// earlierStreams are sent first; no stream runs for a moment after them.
	earlierStreams = 300
	streamLimit    = 10 * time.Second
	// Each prompt begins with one of a few parts that it shares with others, so that all daemons send
	// streams with the same part to the same engine.
	firstPart, sharedParts  = 0x1000, 3
	sharedTokens, ownTokens = 1200, 600
	// crashAfter is the time from the restart of the engine until it crashes once more.
	crashAfter = 2300 * time.Millisecond
	// lapseAfter is the time without heartbeats after which the store drops the entry.
	lapseAfter = 3 * beryldouble.HeartbeatMillis * time.Millisecond
	// allowedMixed is the number of streams of two versions that the rule allows.
	allowedMixed = 2
)

// streamResults collects the results of streams.
type streamResults struct {
	mutex sync.Mutex
	all   []beryldouble.Result
}

func playHiddenRestart(fleet *fleet, log *record, trouble bool) (bool, error) {
	if err := publishStreams(fleet); err != nil {
		return false, err
	}
	recent := new(recentRuns)
	observer := beryldouble.Observer{
		OnRun: func(run beryldouble.Run) {
			log.line("engine %s: runs attempt %s after event %d", run.Target, run.RequestID, run.LastEvent)
			recent.add(run.Target)
		},
		OnArrival: func(beryldouble.Arrival) {},
	}
	var engines []*beryldouble.Target
	for i, zone := range []string{"sapporo-a", "sapporo-a", "sapporo-a", "sapporo-b", "sapporo-b", "asahikawa-a"} {
		engine, err := beryldouble.StartTarget(fleet.store, beryldouble.TargetOptions{
			ID: fmt.Sprintf("engine-%d", i+1), Service: modelName, FailureDomain: zone, Slots: 64, Version: "v1",
			Events: streamEvents, EventInterval: eventInterval, ProcessingTime: firstWork,
		}, observer)
		if err != nil {
			return false, err
		}
		engines = append(engines, engine)
	}
	if err := fleet.start(6); err != nil {
		return false, err
	}
	results := new(streamResults)
	var calls sync.WaitGroup
	fleet.sendStreams(&calls, log, results, "early", earlierStreams)
	calls.Wait()
	if trouble {
		if err := hideRestart(fleet, log, recent.busiest(engines), observer); err != nil {
			return false, err
		}
	}
	fleet.sendStreams(&calls, log, results, "late", int(crashAfter/streamInterval)+20)
	calls.Wait()
	return judgeStreams(log, results.all), nil
}

// recentRuns holds the names of the engines that ran the last streams.
type recentRuns struct {
	mutex   sync.Mutex
	engines []string
}

// maxRecentRuns is the number of runs that are held.
const maxRecentRuns = 60

func (recent *recentRuns) add(engine string) {
	recent.mutex.Lock()
	defer recent.mutex.Unlock()
	recent.engines = append(recent.engines, engine)
	recent.engines = recent.engines[max(len(recent.engines)-maxRecentRuns, 0):]
}

// busiest returns the engine that ran most of the last streams.
func (recent *recentRuns) busiest(engines []*beryldouble.Target) *beryldouble.Target {
	recent.mutex.Lock()
	defer recent.mutex.Unlock()
	counts := make(map[string]int)
	for _, engine := range recent.engines {
		counts[engine]++
	}
	return slices.MaxFunc(engines, func(one, other *beryldouble.Target) int { return cmp.Compare(counts[one.Name()], counts[other.Name()]) })
}

// hideRestart cuts an engine off from the store and restarts it behind the cut with another version.
// Some time later it crashes for good.
func hideRestart(fleet *fleet, log *record, engine *beryldouble.Target, observer beryldouble.Observer) error {
	// What the engine writes behind the cut reaches no one.
	cut, err := beryldouble.NewStore()
	if err != nil {
		return err
	}
	options := engine.Options()
	options.Boot, options.Version = 2, "v2"
	log.print("%s is cut off from the store, crashes and starts again as v2", engine.ID())
	engine.Crash()
	reborn, err := beryldouble.StartTarget(cut, options, observer)
	if err != nil {
		return err
	}
	time.AfterFunc(crashAfter, func() {
		log.print("%s crashes", engine.ID())
		reborn.Crash()
		cut.Close()
	})
	time.AfterFunc(lapseAfter, func() {
		log.print("the store drops the entry of %s", engine.ID())
		fleet.store.Delete(names.Entries + engine.ID())
	})
	return nil
}

// publishStreams publishes a configuration with one route of streams that may be resumed.
func publishStreams(fleet *fleet) error {
	return beryldouble.Configuration{
		Version: 7, Host: host, Services: []beryldouble.Service{{Name: modelName, Slots: 64, CacheCapacity: 444_000, EventTokens: 8}},
		Routes: []beryldouble.Route{{
			Name: "draft-revise", Prefix: "/draft/", Kind: "streaming", Service: modelName, Resumable: true,
			TimeoutMillis: int(streamLimit.Milliseconds()), FirstByteObjectiveMillis: 400, MaxAttempts: 2,
		}},
		Organisations: []beryldouble.Organisation{{Name: tenantName, Keys: []string{tenantKey}}}, TokensPerSecond: 350_000,
	}.Publish(fleet.store)
}

// sendStreams sends streams to the daemons in turn.
func (fleet *fleet) sendStreams(calls *sync.WaitGroup, log *record, results *streamResults, name string, count int) {
	begin := time.Now()
	for i := range count {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * streamInterval)))
		calls.Go(func() {
			daemon := fleet.daemons[i%len(fleet.daemons)]
			caller := beryldouble.NewCaller(uint64(i), daemon.FailureDomain, daemon.Region, nil, nil)
			defer caller.Close()
			request := beryldouble.Request{
				ID: fmt.Sprintf("%s-%d", name, i), Host: host, Path: "/draft/revise", APIKey: tenantKey, Method: http.MethodPost,
				BodyBytes: 1700, InputTokens: sharedTokens + ownTokens, OutputTokens: 288, TimeRemaining: streamLimit,
				Segments: fmt.Sprintf("%x:%d,%x:%d", firstPart+i%sharedParts, sharedTokens, firstPart+sharedParts+i, ownTokens),
			}
			log.line("caller: sends attempt %s to %s", request.ID, daemon.Name)
			result := caller.Send(context.Background(), daemon.CallersAddress(), request)
			log.line("caller: attempt %s is answered %d, %d bytes, error %v", request.ID, result.Status, len(result.Body), result.Err)
			results.mutex.Lock()
			defer results.mutex.Unlock()
			results.all = append(results.all, result)
		})
	}
}

// judgeStreams counts the answers with events of two versions.
func judgeStreams(log *record, all []beryldouble.Result) bool {
	mixed, complete, refused := 0, 0, 0
	for _, result := range all {
		events, _ := result.Events()
		var versions []string
		for _, event := range events {
			if !slices.Contains(versions, event.Text) {
				versions = append(versions, event.Text)
			}
		}
		switch {
		case result.NotRun():
			refused++
		case result.Succeeded() && result.HasLastEvent():
			complete++
		}
		if len(versions) > 1 {
			mixed++
			log.print("ORDER: the answer to %s has %d events, of versions %s", result.Request.ID, len(events), strings.Join(versions, " and "))
		}
	}
	log.print("%d streams: %d complete, %d refused; %d hold events of two versions, %d are allowed", len(all), complete, refused, mixed, allowedMixed)
	return mixed <= allowedMixed
}
