package berylslot

// This file defines the state of leases as dumped.

import (
	"sort"

	"berylspoke"
)

// TargetSlots is the dumped state of the slots of one target.
type TargetSlots struct {
	Target      berylspoke.TargetID `json:"target"`
	Limit       int                 `json:"limit"`
	Foreign     int                 `json:"foreign"`
	Outstanding int                 `json:"out"`
	Leases      []HolderLease       `json:"leased"`
}

// HolderLease is what one entry daemon holds of a target, as the lessor knows it.
type HolderLease struct {
	Entry     berylspoke.VMID `json:"entry"`
	Granted   int             `json:"granted"`
	Used      int             `json:"used"`
	Confirmed bool            `json:"confirmed"`
	Waiting   int             `json:"waiting"`
	Tag       berylspoke.Tag  `json:"tag"`
	Threshold berylspoke.Tag  `json:"threshold"`
}

// Slots lists the state of the targets leased here.
func (lessor *Lessor) Slots() []TargetSlots {
	var list []TargetSlots
	for _, target := range lessor.Targets() {
		limiter := lessor.limiters[target]
		list = append(list, TargetSlots{target, limiter.limit, limiter.foreign, lessor.outstanding(target), lessor.holderLeases(target)})
	}
	return list
}

func (lessor *Lessor) holderLeases(target berylspoke.TargetID) []HolderLease {
	var list []HolderLease
	for _, holder := range lessor.sortedHolders() {
		if slots := holder.targets[target]; slots != nil {
			list = append(list, HolderLease{
				Entry: holder.process.VM, Granted: slots.granted, Used: slots.used,
				Confirmed: slots.peak == slots.granted && slots.held == slots.granted,
				Waiting:   holder.waiting, Tag: holder.tag(0), Threshold: holder.lastLease.Threshold,
			})
		}
	}
	return list
}

// HeldSlots is the dumped number of slots held on one target.
type HeldSlots struct {
	Lessor berylspoke.VMID     `json:"keeper"`
	Target berylspoke.TargetID `json:"target"`
	Held   int                 `json:"held"`
	Used   int                 `json:"used"`
}

// Held lists the slots held, by target and lessor.
func (holder *Holder) Held() []HeldSlots {
	var list []HeldSlots
	for vm, view := range holder.lessors {
		for target, held := range view.targets {
			list = append(list, HeldSlots{vm, target, held.held, held.used})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Target < list[j].Target || list[i].Target == list[j].Target && list[i].Lessor < list[j].Lessor
	})
	return list
}
