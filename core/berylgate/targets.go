package berylgate

// This file defines how targets are added, changed and removed, and the lists of targets.

import (
	"slices"
	"strings"
	"time"

	"berylspoke"
)

// SetTargets sets the targets that are published now.
func (gate *Gate) SetTargets(now time.Time, declared []berylspoke.Target) {
	listed := make(map[berylspoke.TargetID]bool, len(declared))
	for _, item := range declared {
		listed[item.ID] = true
		gate.SetTarget(now, item)
	}
	for id := range gate.targets {
		if !listed[id] {
			gate.RemoveTarget(id)
		}
	}
}

// SetTarget adds a target or applies a change to it. The state of a known target is kept
// unless the target was restarted or changed its version, address or service.
func (gate *Gate) SetTarget(now time.Time, declared berylspoke.Target) {
	known := gate.targets[declared.ID]
	if known == nil || known.Started != declared.Started || known.Version != declared.Version || known.Address != declared.Address || known.Service != declared.Service {
		gate.RemoveTarget(declared.ID)
		known = newTarget(now, declared)
		known.ColdFor = 0
		gate.targets[known.ID], gate.byHash[known.hash] = known, known
		gate.sorted = insertTarget(gate.sorted, known)
	} else {
		gate.removeFromPool(known)
	}
	coldBefore := known.ColdFor
	known.Target, known.build = declared, declared.Build()
	known.Draining = declared.Draining || gate.Leaving(declared.Run())
	gate.updateCold(now, known, coldBefore)
	known.scope = gate.scopeBetween(gate.options.FailureDomain, known.FailureDomain)
	if known.latencyMillis == 0 {
		known.latencyMillis = sameRegionLatencyMillis
		if known.scope == fleetScope {
			known.latencyMillis = crossRegionLatencyMillis
		}
	}
	gate.addToPool(known)
	if rest := gate.advice[known.Run()]; rest != nil && now.Before(rest.restUntil) && !known.resting {
		gate.beginRest(known)
	}
}

// RemoveTarget removes a target that is no longer published.
func (gate *Gate) RemoveTarget(id berylspoke.TargetID) {
	known := gate.targets[id]
	if known == nil {
		return
	}
	known.removed = true
	gate.removeFromPool(known)
	delete(gate.targets, id)
	if gate.byHash[known.hash] == known {
		delete(gate.byHash, known.hash)
	}
	gate.sorted = deleteTarget(gate.sorted, known)
}

// addToPool adds a target to the pool of its service.
func (gate *Gate) addToPool(target *target) {
	pool := gate.pools[target.Service]
	if pool == nil {
		return
	}
	target.engine, target.slots, target.meanSlowdown = pool.service.Engine, target.Slots, &pool.meanSlowdown
	if most := pool.mostSlots(); most > 0 && (target.slots > most || target.engine != nil && target.slots <= 0) {
		target.slots = most
	}
	pool.targets = insertTarget(pool.targets, target)
	if target.accepts() {
		pool.index.add(target, gate.options.RegionOf[target.FailureDomain])
	}
}

// removeFromPool reverses addToPool.
func (gate *Gate) removeFromPool(target *target) {
	pool := gate.pools[target.Service]
	if pool == nil {
		return
	}
	pool.targets = deleteTarget(pool.targets, target)
	if target.accepts() {
		pool.index.remove(target, gate.options.RegionOf[target.FailureDomain])
	}
}

// reindex applies a change to a target that decides whether it is a candidate.
func (gate *Gate) reindex(target *target, change func()) {
	gate.removeFromPool(target)
	change()
	gate.addToPool(target)
}

// insertTarget inserts a target into a list that is sorted by id.
func insertTarget(sorted []*target, added *target) []*target {
	at, _ := slices.BinarySearchFunc(sorted, added.ID, compareID)
	return slices.Insert(sorted, at, added)
}

// deleteTarget deletes a target from a list that is sorted by id.
func deleteTarget(sorted []*target, deleted *target) []*target {
	at, found := slices.BinarySearchFunc(sorted, deleted.ID, compareID)
	if !found || sorted[at] != deleted {
		return sorted
	}
	return slices.Delete(sorted, at, at+1)
}

func compareID(target *target, id berylspoke.TargetID) int {
	return strings.Compare(string(target.ID), string(id))
}

// targetList lists targets without duplicates, in the order in which they were added.
type targetList struct {
	targets []*target
	listed  map[*target]bool
}

func (list *targetList) add(added *target) {
	if list.listed[added] {
		return
	}
	if list.listed == nil {
		list.listed = make(map[*target]bool)
	}
	list.listed[added] = true
	list.targets = append(list.targets, added)
}

// update drops the targets that are no longer published and those for which keep returns
// false.
func (list *targetList) update(keep func(*target) bool) {
	list.targets = slices.DeleteFunc(list.targets, func(target *target) bool {
		if !target.removed && keep(target) {
			return false
		}
		delete(list.listed, target)
		return true
	})
}
