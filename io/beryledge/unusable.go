package beryledge

// This file defines what becomes of published items that name no target that can be used.

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylmember"
)

const (
	// maxUnusableLogs bounds the items that are logged as unusable.
	maxUnusableLogs = 256
	// maxUnusableDumped bounds the unusable items in the state dump.
	maxUnusableDumped = 100
)

// unusableItem is a published item that names no target.
type unusableItem struct {
	item  berylspoke.Item
	fault berylspoke.TargetFault
	cause string
}

// unusableItems are the published items that name no target.
type unusableItems struct {
	present map[string]unusableItem
	// logged holds the keys and faults that were logged.
	logged map[string]bool
}

func newUnusableItems() unusableItems {
	return unusableItems{present: make(map[string]unusableItem), logged: make(map[string]bool)}
}

// target decodes a published item. An address of the fleet or of the store names no target: requests
// sent there would come back, or be lost.
func (core *core) target(item berylspoke.Item) (berylspoke.Target, error) {
	target, err := core.daemon.dialect.Target(item)
	if err == nil && core.fleet.has(target.Address) {
		err = &berylspoke.TargetError{Fault: berylspoke.FaultOfFleet, Cause: errors.Errorf("address %s is that of a daemon or of the store", target.Address)}
	}
	return target, err
}

// recordUnusable records that an item names no target.
func (core *core) recordUnusable(item berylspoke.Item, err error) {
	fault := berylspoke.FaultMalformed
	var failure *berylspoke.TargetError
	if errors.As(err, &failure) {
		fault = failure.Fault
	}
	old, known := core.unusable.present[item.Key]
	core.unusable.present[item.Key] = unusableItem{item, fault, err.Error()}
	if known && old.fault == fault {
		return
	}
	core.daemon.meters.unusableItems[fault].Inc()
	core.publishUnusable()
	identity := item.Key + "\x00" + string(fault)
	if core.unusable.logged[identity] || len(core.unusable.logged) >= maxUnusableLogs {
		return
	}
	core.unusable.logged[identity] = true
	core.daemon.log.Warn("published item names no target", zap.String("key", item.Key), zap.String("fault", string(fault)),
		zap.Int("bytes", len(item.Value)), era(item.Position), zap.Uint64("revision", uint64(item.Position.Revision)), cause(err))
}

// forgetUnusable records that an item is gone or names a target.
func (core *core) forgetUnusable(key string) {
	if _, known := core.unusable.present[key]; known {
		delete(core.unusable.present, key)
		core.publishUnusable()
	}
}

func (core *core) publishUnusable() {
	core.daemon.unusableItems.Store(int64(len(core.unusable.present)))
}

// recheckTargets decides again, as the membership has changed, which addresses are of the fleet.
func (core *core) recheckTargets(now time.Time) {
	core.fleet = newFleetAddresses(core.daemon.settings, core.table)
	var keys []string
	for key, target := range core.published {
		if core.fleet.has(target.Address) {
			keys = append(keys, key)
		}
	}
	for key, unusable := range core.unusable.present {
		if unusable.fault == berylspoke.FaultOfFleet {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if item, visible := core.feeds[berylfeed.Targets].Item(now, key); visible {
			core.applyTarget(now, item)
		}
	}
}

// fleetAddresses are the addresses at which this daemon, a member or the store listens. All daemons use
// the same ports.
type fleetAddresses struct {
	addresses map[netip.AddrPort]bool
	hosts     map[netip.Addr]bool
	ports     map[uint16]bool
}

func newFleetAddresses(settings *Settings, table *berylmember.Table) fleetAddresses {
	fleet := fleetAddresses{addresses: make(map[netip.AddrPort]bool), hosts: make(map[netip.Addr]bool), ports: make(map[uint16]bool)}
	fleet.add(settings.StoreAddress)
	for _, own := range []string{
		string(settings.VM), settings.CallersAddress, settings.ReadyAddress, settings.ResolveAddress, settings.OperatorsAddress, settings.MetricsAddress,
	} {
		fleet.ports[fleet.add(own).Port()] = true
	}
	for _, vm := range table.Live() {
		fleet.add(table.Member(vm).VM.CallAddress)
		if host := fleet.add(string(vm)).Addr(); host.IsValid() {
			fleet.hosts[host] = true
		}
	}
	return fleet
}

// add adds an address and returns it, zero for one by name or an empty one.
func (fleet fleetAddresses) add(text string) netip.AddrPort {
	address := parseAddress(text)
	if address.IsValid() {
		fleet.addresses[address] = true
	}
	return address
}

func (fleet fleetAddresses) has(text string) bool {
	address := parseAddress(text)
	return fleet.addresses[address] || fleet.hosts[address.Addr()] && fleet.ports[address.Port()]
}

// parseAddress returns an address by number, zero if it is none.
func parseAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// UnusableDump is a published item that names no target.
type UnusableDump struct {
	Key      string                 `json:"key"`
	Fault    berylspoke.TargetFault `json:"fault"`
	Cause    string                 `json:"cause"`
	Revision berylspoke.Revision    `json:"revision"`
}

// dump returns the first unusable items by their keys.
func (unusable unusableItems) dump() []UnusableDump {
	var dump []UnusableDump
	for key, item := range unusable.present {
		dump = append(dump, UnusableDump{Key: key, Fault: item.fault, Cause: item.cause, Revision: item.item.Position.Revision})
	}
	slices.SortFunc(dump, func(one, other UnusableDump) int { return strings.Compare(one.Key, other.Key) })
	return dump[:min(len(dump), maxUnusableDumped)]
}
