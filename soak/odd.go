package berylsoak

// This file defines what another writer does to the list of targets, and how daemons that follow it all
// the same are judged.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"berylspoke/platform/beryldouble"
)

const (
	// oddAtOnce is the number of odd entries that are written at once.
	oddAtOnce = 6
	// largeOddEntries of largeOddBytes each are more than a process keeps of an answer.
	largeOddEntries = 24
	largeOddBytes   = 1_000_000
)

// oddFaults are drawn beside faults if the size has odd entries set. They must not interrupt any request.
var oddFaults = []*fault{
	{"oddEntries", true, func(world *World, step step) { world.writeOddEntries(step) }},
	{"oddOverLive", true, func(world *World, step step) { world.overwriteEntries(step) }},
	{"oddOfFleet", true, func(world *World, step step) { world.writeFleetEntries(step) }},
}

// largeOdd writes large odd entries, which stay.
var largeOdd = &fault{"oddLarge", true, func(world *World, _ step) {
	for i := range largeOddEntries {
		world.store.Put(fmt.Sprint("servers/odd-large-", i), make([]byte, largeOddBytes))
	}
}}

// oddPlan adds to a plan that large odd entries come early, and that half of the processes are killed while
// they are there.
func oddPlan(plan []step, size Size) []step {
	length := time.Duration(size.Seconds) * time.Second
	plan = append(plan, step{at: length / 10, fault: largeOdd}, step{at: length * 3 / 4, fault: faultNamed("herdKill"), duration: maxDuration / 2})
	slices.SortStableFunc(plan, func(one, other step) int { return int(one.at - other.at) })
	return plan
}

// unusableKinds are the kinds of odd entries that name no target.
func unusableKinds() []beryldouble.OddEntry {
	var kinds []beryldouble.OddEntry
	for _, odd := range beryldouble.OddEntries() {
		if odd.Reason != "" {
			kinds = append(kinds, odd)
		}
	}
	return kinds
}

// sound returns the entry of a target as it is in the store, and false if there is none.
func (world *World) sound(chosen *target) ([]byte, bool) {
	body := world.store.Value("servers/" + chosen.ID())
	return body, json.Valid(body) && chosen.Published()
}

// writeOddEntries writes odd entries beside those of the targets and removes them after a while.
func (world *World) writeOddEntries(step step) {
	body, found := world.sound(world.target(step))
	if !found {
		return
	}
	kinds := unusableKinds()
	var keys []string
	for i := range oddAtOnce {
		odd := kinds[(step.index+i)%len(kinds)]
		key := odd.Key(fmt.Sprintf("odd-%d-%d", step.index, i))
		world.store.Put(key, odd.Value(body))
		keys = append(keys, key)
	}
	time.Sleep(step.duration)
	for _, key := range keys {
		world.store.Delete(key)
	}
}

// overwriteEntries writes odd entries over those of some targets, but not of all targets of a service,
// until these write theirs again.
func (world *World) overwriteEntries(step step) {
	kinds := unusableKinds()
	chosen := world.target(step)
	body, found := world.sound(chosen)
	odd := kinds[step.index%len(kinds)]
	if !found || odd.OwnKey != "" {
		return
	}
	world.store.Put(odd.Key(chosen.ID()), odd.Value(body))
	time.Sleep(time.Duration(step.chance * beryldouble.HeartbeatMillis * float64(time.Millisecond)))
	chosen.WriteAgain()
}

// writeFleetEntries writes entries with addresses of a process and removes them after a while.
func (world *World) writeFleetEntries(step step) {
	body, found := world.sound(world.target(step))
	if !found {
		return
	}
	vm := world.process(step).vm
	var keys []string
	for i, address := range []string{vm.CallersAddress(), vm.ResolveAddress(), vm.ReadyAddress(), vm.OperatorsAddress()} {
		odd := beryldouble.OddEntry{Set: map[string]string{"address": fmt.Sprintf("%q", address)}, Drop: []string{"born"}}
		key := odd.Key(fmt.Sprintf("odd-fleet-%d-%d", step.index, i))
		world.store.Put(key, odd.Value(body))
		keys = append(keys, key)
	}
	time.Sleep(step.duration)
	for _, key := range keys {
		world.store.Delete(key)
	}
}

// checkOdd checks that an odd entry costs no request.
func (judge *Judge) checkOdd(attempt *attempt, answer beryldouble.Result) {
	if judge.oddEntries && attempt.planned && !judge.unplanned && answer.Status == http.StatusBadGateway {
		judge.addViolation("odd entries cost no request", "%s at %s: %d, ran %d times", answer.Request.ID, attempt.processRun, answer.Status, len(attempt.runs))
	}
}

// awaitList waits until every process knows a target that starts now: it follows the list. None of them may
// take more than its memory.
func (world *World) awaitList(deadline time.Time) error {
	added, err := world.addTarget(deskService)
	if err != nil {
		return err
	}
	for _, process := range world.processes {
		for !knowsTarget(process.vm, added.ID()) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s does not follow the list of targets", process.vm.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if used := process.peakMegabytes(); used > world.size.MemoryMB {
			return errors.Errorf("%s took %d MB of %d", process.vm.Name, used, world.size.MemoryMB)
		}
	}
	return nil
}

// knowsTarget reports whether the state dump of a process lists a target.
func knowsTarget(vm beryldouble.VM, id string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + vm.OperatorsAddress() + "/state")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Gate struct {
			Targets []struct {
				ID string `json:"id"`
			} `json:"targets"`
		} `json:"gate"`
	}
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return false
	}
	for _, target := range state.Gate.Targets {
		if target.ID == id {
			return true
		}
	}
	return false
}
