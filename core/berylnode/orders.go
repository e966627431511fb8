package berylnode

// This file defines the orders that bring engines to their declared state.

import (
	"time"

	"berylspoke"
)

// orderRepeat is the time after which an order without effect is repeated.
const orderRepeat = 5 * time.Second

type orderState struct {
	fence uint64
	sent  time.Time
}

// Compare orders an engine to its declared state if it reports another. The
// fencing number is the configuration version, so that a repeated order is
// harmless and an old one is refused by engines that check. Other engines may
// still take a late order of a paused keeper; they report what they hold, and
// the next comparison sets it right.
func (node *Node) Compare(now time.Time, id berylspoke.TargetID, held berylspoke.Order) {
	target, declared := node.Declarations().Targets[id]
	if !declared || target.Model == "" || !node.Ready() {
		return
	}
	version := uint64(node.store.State().Version)
	if held.Model == target.Model && held.Version == target.Version && held.Role == target.Role && equal(held.Adapters, target.Adapters) {
		return
	}
	last := node.ordered[id]
	if last.fence == version && now.Sub(last.sent) < orderRepeat {
		return
	}
	node.ordered[id] = orderState{version, now}
	node.effects.Orders = append(node.effects.Orders, Order{id, berylspoke.Order{
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
