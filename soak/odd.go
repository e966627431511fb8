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

	"berylspoke/io/berylresponse"
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
	{"oddOverLive", true, func(world *World, step step) { world.overwriteEntry(step) }},
	{"oddOfFleet", true, func(world *World, step step) { world.writeFleetEntries(step) }},
}

// largeOdd writes large odd entries, which stay.
var largeOdd = &fault{"oddLarge", true, func(world *World, step step) {
	for i := range largeOddEntries {
		_ = world.target(step).WriteBeside(fmt.Sprint("odd-large-", i), beryldouble.LargeOddEntry(largeOddBytes))
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

// writeBeside writes odd entries beside those of the targets and removes them after a while.
func (world *World) writeBeside(step step, entries []beryldouble.OddEntry) {
	chosen := world.target(step)
	var written []func()
	for i, odd := range entries {
		written = append(written, chosen.WriteBeside(fmt.Sprintf("odd-%s-%d", step.fault.name, step.index*oddAtOnce+i), odd))
	}
	time.Sleep(step.duration)
	for _, remove := range written {
		remove()
	}
}

// writeOddEntries writes entries that name no target.
func (world *World) writeOddEntries(step step) {
	kinds := unusableKinds()
	var entries []beryldouble.OddEntry
	for i := range oddAtOnce {
		entries = append(entries, kinds[(step.index+i)%len(kinds)])
	}
	world.writeBeside(step, entries)
}

// writeFleetEntries writes entries with the addresses of a process.
func (world *World) writeFleetEntries(step step) {
	vm := world.process(step).vm
	var entries []beryldouble.OddEntry
	for _, address := range []string{vm.CallersAddress(), vm.ResolveAddress(), vm.ReadyAddress(), vm.OperatorsAddress()} {
		entries = append(entries, beryldouble.OddAddress(address))
	}
	world.writeBeside(step, entries)
}

// overwriteEntry writes an odd entry over that of a target until it writes its own again.
func (world *World) overwriteEntry(step step) {
	kinds := unusableKinds()
	chosen, odd := world.target(step), kinds[step.index%len(kinds)]
	if odd.OwnKey != "" {
		return
	}
	chosen.OverwriteEntry(odd)
	time.Sleep(time.Duration(step.chance * beryldouble.HeartbeatMillis * float64(time.Millisecond)))
	chosen.WriteAgain()
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
	client := http.Client{Timeout: time.Second, Transport: berylresponse.DefaultTransport}
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
