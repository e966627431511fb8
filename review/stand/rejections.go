package main

// This file defines the case in which a target sends one of its answers twice, the copy late.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	host       = "letters.example"
	deskName   = "filing-desk"
	tenantName = "union"
	tenantKey  = "key-of-union"
	// callLimit is the time limit of a call, as on the sheet.
	callLimit = 6 * time.Second
)

// publishCalls publishes a configuration with routes of calls to the desks.
func publishCalls(fleet *fleet, routes []beryldouble.Route) error {
	return beryldouble.Configuration{
		Version: 7, Host: host, Services: []beryldouble.Service{{Name: deskName}}, Routes: routes,
		Organisations: []beryldouble.Organisation{{Name: tenantName, Keys: []string{tenantKey}}}, TokensPerSecond: 350_000,
	}.Publish(fleet.store)
}

// filing returns the request of one filing.
func filing(id, path string) beryldouble.Request {
	return beryldouble.Request{ID: id, Host: host, Path: path, APIKey: tenantKey, Method: http.MethodPost, BodyBytes: 600, TimeRemaining: callLimit}
}

const (
	// rejectionRate is the number of filings a second, about a third of what the desks bear.
	rejectionRate = 60
	rejectionTime = 35 * time.Second
	// deskSlots, deskQueue and deskWork are those of the sheet.
	deskSlots = 6
	deskQueue = 24
	deskWork  = 60 * time.Millisecond
	// unframedInterval makes each second answer come without a length.
	unframedInterval = 2
	// copyInterval makes the faulty desk send one in forty answers twice.
	copyInterval = 40
)

// sent is one attempt of a caller and its status, zero if there was no answer.
type sent struct {
	id, path string
	status   int
}

func playStrayRejections(fleet *fleet, log *record, trouble bool) (bool, error) {
	routes := []beryldouble.Route{
		{Name: "one", Prefix: "/one/", Kind: "non_idempotent", Service: deskName, TimeoutMillis: 3000, FirstByteObjectiveMillis: 400, MaxAttempts: 1},
		{Name: "two", Prefix: "/two/", Kind: "non_idempotent", Service: deskName, TimeoutMillis: 3000, FirstByteObjectiveMillis: 400, MaxAttempts: 2},
	}
	if err := publishCalls(fleet, routes); err != nil {
		return false, err
	}
	var desks []*desk
	for i, zone := range []string{"sapporo-a", "sapporo-b"} {
		options := deskOptions{
			id: fmt.Sprintf("desk-%d", i+1), service: deskName, zone: zone, slots: deskSlots, queue: deskQueue, unframed: unframedInterval,
			work: func(string) time.Duration { return deskWork },
		}
		if trouble && i == 0 {
			options.duplicate = copyInterval
		}
		started, err := startDesk(fleet, log, options)
		if err != nil {
			return false, err
		}
		desks = append(desks, started)
	}
	if err := fleet.start(3); err != nil {
		return false, err
	}
	all := sendFilings(fleet, log)
	// What the daemons still do after the last answer counts too.
	time.Sleep(time.Second)
	return judgeFilings(log, desks, all), nil
}

// sendFilings lets callers send filings at random times and returns all attempts.
func sendFilings(fleet *fleet, log *record) []sent {
	var mutex sync.Mutex
	var all []sent
	var calls sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 1))
	caller := beryldouble.NewCaller(1, "sapporo-a", "sapporo", nil, nil)
	defer caller.Close()
	next := time.Now()
	for end := next.Add(rejectionTime); next.Before(end); {
		next = next.Add(time.Duration(random.ExpFloat64() / rejectionRate * float64(time.Second)))
		time.Sleep(time.Until(next))
		number := len(all)
		path := []string{"/one/file", "/two/file"}[random.IntN(2)]
		address := fleet.daemons[random.IntN(len(fleet.daemons))].CallersAddress()
		mutex.Lock()
		all = append(all, sent{id: fmt.Sprintf("a-%d", number), path: path})
		mutex.Unlock()
		calls.Go(func() {
			request := filing(fmt.Sprintf("a-%d", number), path)
			log.line("caller: sends attempt %s", request.ID)
			result := caller.Send(context.Background(), address, request)
			log.line("caller: attempt %s is answered %d", request.ID, result.Status)
			mutex.Lock()
			all[number].status = result.Status
			mutex.Unlock()
		})
	}
	calls.Wait()
	return all
}

// judgeFilings counts the attempts that ran twice, and those that ran though their answer says that
// they did not.
func judgeFilings(log *record, desks []*desk, all []sent) bool {
	counts := make(map[int]int)
	twice, refused := 0, 0
	for _, attempt := range all {
		counts[attempt.status]++
		runs := 0
		for _, desk := range desks {
			runs += desk.runsOf(attempt.id)
		}
		if runs > 1 {
			twice++
			log.print("TWICE: attempt %s on %s ran %d times, answered %d", attempt.id, attempt.path, runs, attempt.status)
		}
		if runs > 0 && attempt.status == http.StatusServiceUnavailable {
			refused++
			log.print("REFUSED: attempt %s on %s ran %d times, answered 503", attempt.id, attempt.path, runs)
		}
	}
	for _, desk := range desks {
		answers, copies := desk.counts()
		log.print("%s: %d answers, %d of them sent twice", desk.id, answers, copies)
	}
	log.print("%d attempts, by status %v; %d ran more than once; %d ran and were answered 503", len(all), counts, twice, refused)
	return twice == 0 && refused == 0
}
