package main

// This file defines the case in which daemons are stopped in turn while callers still send.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// stopGap is the time between two SIGTERMs.
	stopGap = time.Second
	// shortWork and longWork are the times that the two kinds of filings take.
	shortWork, longWork = 60 * time.Millisecond, 3800 * time.Millisecond
	// Long filings are sent to the first daemon from longFrom to longUntil after its SIGTERM, one each
	// longEvery.
	longFrom, longUntil, longEvery = 3200 * time.Millisecond, 4800 * time.Millisecond, 200 * time.Millisecond
	// usualEvery is the time between two of the filings that are sent all the while.
	usualEvery = 100 * time.Millisecond
)

// lateCall is a long filing that was sent while its daemon stopped.
type lateCall struct {
	beryldouble.Result
	after time.Duration
}

func playLateCalls(fleet *fleet, log *record, trouble bool) (bool, error) {
	routes := []beryldouble.Route{{
		Name: "letter-file", Prefix: "/file/", Kind: "non_idempotent", Service: deskName,
		TimeoutMillis: int(callLimit.Milliseconds()), FirstByteObjectiveMillis: 400, MaxAttempts: 1,
	}}
	if err := publishCalls(fleet, routes); err != nil {
		return false, err
	}
	work := func(path string) time.Duration {
		if strings.HasSuffix(path, "/long") {
			return longWork
		}
		return shortWork
	}
	var desks []*desk
	for i, zone := range []string{"sapporo-a", "sapporo-b"} {
		started, err := startDesk(fleet, log, deskOptions{
			id: fmt.Sprintf("desk-%d", i+1), service: deskName, zone: zone, slots: 12, queue: 24, work: work,
		})
		if err != nil {
			return false, err
		}
		desks = append(desks, started)
	}
	if err := fleet.start(3); err != nil {
		return false, err
	}
	var zones []*slowResolver
	for i, daemon := range fleet.daemons {
		callers := newSlowResolver(daemon.FailureDomain, fleet.daemons[i:], fleet.daemons[:i])
		defer callers.close()
		if !callers.resolve() {
			return false, errors.New("the daemons name no addresses")
		}
		log.print("callers in %s: resolve %v", callers.zone, callers.addresses)
		zones = append(zones, callers)
	}
	begin := time.Now()
	if trouble {
		for i, daemon := range fleet.daemons {
			time.AfterFunc(time.Duration(i)*stopGap, func() {
				log.print("SIGTERM to %s at %s", daemon.Name, daemon.CallersAddress())
				fleet.restart(daemon)
			})
		}
	}
	late := sendLateCalls(zones, log, begin)
	return judgeLateCalls(log, desks, late), nil
}

// keptTTLs is how many times as long as it is told a caller keeps resolved addresses.
const keptTTLs = 3

// slowResolver are the callers of a zone, which keep resolved addresses three times as long as they are
// told, and longer if they get no others.
type slowResolver struct {
	zone      string
	sender    *beryldouble.Caller
	resolvers []string
	client    http.Client
	mutex     sync.Mutex
	addresses []string
	expires   time.Time
	picked    int
}

func newSlowResolver(zone string, near, far []*daemon) *slowResolver {
	callers := &slowResolver{
		zone: zone, sender: beryldouble.NewCaller(1, zone, regionOf[zone], nil, nil),
		client: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, daemon := range append(slices.Clone(near), far...) {
		callers.resolvers = append(callers.resolvers, daemon.ResolveAddress())
	}
	return callers
}

func (callers *slowResolver) close() { callers.sender.Close() }

// resolve asks the directories, nearest first, and reports whether one named addresses.
func (callers *slowResolver) resolve() bool {
	for _, resolver := range callers.resolvers {
		response, err := callers.client.Get("http://" + resolver + "/resolve?name=" + host + "&region=" + regionOf[callers.zone] + "&zone=" + callers.zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addrs"`
			Seconds   float64  `json:"ttlS"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(answer.Addresses) > 0 {
			callers.addresses = answer.Addresses
			callers.expires = time.Now().Add(time.Duration(keptTTLs * answer.Seconds * float64(time.Second)))
			return true
		}
	}
	return false
}

// pick returns the addresses in turn.
func (callers *slowResolver) pick(log *record) string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	if time.Now().After(callers.expires) && !callers.resolve() {
		log.line("callers in %s: no directory names addresses; the old ones stay in use", callers.zone)
	}
	callers.picked++
	return callers.addresses[callers.picked%len(callers.addresses)]
}

// sendLateCalls sends short filings from all zones all the while and, for some time, long ones from the
// first. It returns the long ones.
func sendLateCalls(zones []*slowResolver, log *record, begin time.Time) []lateCall {
	var mutex sync.Mutex
	var late []lateCall
	var calls sync.WaitGroup
	send := func(callers *slowResolver, id, path string) {
		address := callers.pick(log)
		after := time.Since(begin)
		log.line("caller: sends %s to %s, %s after the first SIGTERM", id, address, after.Round(time.Millisecond))
		result := callers.sender.Send(context.Background(), address, filing(id, path))
		log.line("caller: %s is answered %d after %s, error %v", id, result.Status, result.Ended.Sub(result.Sent).Round(time.Millisecond), result.Err)
		if path == "/file/long" {
			mutex.Lock()
			late = append(late, lateCall{result, after})
			mutex.Unlock()
		}
	}
	for at := time.Duration(0); at < longUntil; at += usualEvery {
		time.Sleep(time.Until(begin.Add(at)))
		for i, callers := range zones {
			calls.Go(func() { send(callers, fmt.Sprintf("short-%d-%d", i, at.Milliseconds()), "/file/short") })
		}
		if at >= longFrom && (at-longFrom)%longEvery == 0 {
			calls.Go(func() { send(zones[0], fmt.Sprintf("long-%d", at.Milliseconds()), "/file/long") })
		}
	}
	calls.Wait()
	return late
}

// judgeLateCalls counts the long filings that ran and whose channel was closed without an answer
// before their time limit.
func judgeLateCalls(log *record, desks []*desk, late []lateCall) bool {
	lost := 0
	for _, call := range late {
		runs := 0
		for _, desk := range desks {
			runs += desk.runsOf(call.Request.ID)
		}
		took := call.Ended.Sub(call.Sent)
		if runs > 0 && call.Status == 0 && took < callLimit {
			lost++
			log.print("LOST: %s was sent to %s %s after the first SIGTERM, ran, and its channel was closed without an answer after %s: %v",
				call.Request.ID, call.Address, call.after.Round(time.Millisecond), took.Round(time.Millisecond), call.Err)
			continue
		}
		log.print("%s was sent %s after the first SIGTERM, ran %d times and was answered %d after %s", call.Request.ID,
			call.after.Round(time.Millisecond), runs, call.Status, took.Round(time.Millisecond))
	}
	log.print("%d long filings, %d of them lost; status of an answer: %d", len(late), lost, http.StatusOK)
	return lost == 0
}
