package berylslot

// This file defines what the dump shows of leases.

import (
	"sort"

	"berylspoke"
)

// Slot is the state of one target for the dump.
type Slot struct {
	Target  berylspoke.TargetID `json:"target"`
	Limit   int                 `json:"limit"`
	Foreign int                 `json:"foreign"`
	Out     int                 `json:"out"`
	Leased  []Leased            `json:"leased"`
}

// Leased is what one entry has of a target, as its keeper knows it.
type Leased struct {
	Entry     berylspoke.VMID `json:"entry"`
	Granted   int             `json:"granted"`
	Used      int             `json:"used"`
	Confirmed bool            `json:"confirmed"`
	Waiting   int             `json:"waiting"`
	Tag       berylspoke.Tag  `json:"tag"`
	Threshold berylspoke.Tag  `json:"threshold"`
}

// Slots lists the targets kept.
func (keeper *Keeper) Slots() []Slot {
	var list []Slot
	for _, target := range keeper.Targets() {
		limiter := keeper.limiters[target]
		list = append(list, Slot{target, limiter.limit, limiter.foreign, keeper.out(target), keeper.leased(target)})
	}
	return list
}

func (keeper *Keeper) leased(target berylspoke.TargetID) []Leased {
	var list []Leased
	for _, holder := range keeper.ordered() {
		if slots := holder.targets[target]; slots != nil {
			list = append(list, Leased{
				Entry: holder.process.VM, Granted: slots.granted, Used: slots.used,
				Confirmed: slots.peak == slots.granted && slots.held == slots.granted,
				Waiting:   holder.waiting, Tag: holder.tag(0), Threshold: holder.last.Threshold,
			})
		}
	}
	return list
}

// HeldSlot is the state of one target's slots for the dump.
type HeldSlot struct {
	Keeper berylspoke.VMID     `json:"keeper"`
	Target berylspoke.TargetID `json:"target"`
	Held   int                 `json:"held"`
	Used   int                 `json:"used"`
}

// Held lists the slots held.
func (holder *Holder) Held() []HeldSlot {
	var list []HeldSlot
	for vm, view := range holder.keepers {
		for target, held := range view.targets {
			list = append(list, HeldSlot{vm, target, held.held, held.used})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Target < list[j].Target || list[i].Target == list[j].Target && list[i].Keeper < list[j].Keeper
	})
	return list
}
