package berylnode

// This file defines the orders that bring engines into their declared state.

import (
	"time"

	"berylspoke"
)

// orderResendAfter is the time after which an order that had no effect is sent again.
const orderResendAfter = 5 * time.Second

// orderState is the last order sent to an engine.
type orderState struct {
	fence uint64
	sent  time.Time
}

// ReconcileEngine orders an engine into its declared state if it reports a different one.
// The fencing number is the configuration version, so that a repeated order is harmless
// and engines that check the number refuse an old order. Other engines may still accept a
// late order from a lessor that was paused; they report the state they hold, and the next
// comparison corrects it.
func (node *Node) ReconcileEngine(now time.Time, id berylspoke.TargetID, held berylspoke.EngineOrder) {
	target, declared := node.Declarations().Targets[id]
	if !declared || target.Model == "" || !node.Ready() {
		return
	}
	version := uint64(node.store.State().Version)
	if held.Model == target.Model && held.Version == target.Version && held.Role == target.Role && equal(held.Adapters, target.Adapters) {
		return
	}
	last := node.lastOrders[id]
	if last.fence == version && now.Sub(last.sent) < orderResendAfter {
		return
	}
	node.lastOrders[id] = orderState{version, now}
	node.effects.Orders = append(node.effects.Orders, Order{id, berylspoke.EngineOrder{
		Fence: version, Model: target.Model, Version: target.Version,
		Adapters: target.Adapters, Role: target.Role,
	}})
}

func equal(left, right []string) bool {
	if len(left) != len(right) {
		return false
	}
	for i := range left {
		if left[i] != right[i] {
			return false
		}
	}
	return true
}
