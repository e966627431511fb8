package berylfleet

// This file defines relays between the daemons of a deployment.

import (
	"fmt"
	"net"
	"sync"

	"berylspoke"
	"berylspoke/io/berylstand"
)

// Relays stand before the peers' address of each VM and cut links on demand.
type Relays struct {
	plan   Plan
	relays []*berylstand.PacketRelay
	mutex  sync.RWMutex
	vms    map[string]berylspoke.VM
	cut    func(from, to berylspoke.VM) bool
}

// StartRelays starts a relay for each VM of the plan; the VMs that Advertised
// lists point to them.
func StartRelays(plan Plan) (*Relays, error) {
	relays := &Relays{plan: plan, vms: make(map[string]berylspoke.VM)}
	relays.Mend()
	for i, vm := range plan.VMs() {
		host, _, _ := net.SplitHostPort(vm.PeerAddress)
		relays.vms[host] = vm
		relay, err := berylstand.NewPacketRelay(relays.front(i), vm.PeerAddress, relays.passes)
		if err != nil {
			relays.Close()
			return nil, err
		}
		relays.relays = append(relays.relays, relay)
	}
	return relays, nil
}

func (relays *Relays) front(index int) string {
	return fmt.Sprintf("127.%d.3.%d:%d", relays.plan.Base, index+1, peerPort)
}

// Advertised lists the VMs with the addresses of their relays.
func (relays *Relays) Advertised() []berylspoke.VM {
	vms := relays.plan.VMs()
	for i := range vms {
		vms[i].PeerAddress = relays.front(i)
	}
	return vms
}

func (relays *Relays) passes(from, to string) bool {
	relays.mutex.RLock()
	defer relays.mutex.RUnlock()
	return !relays.cut(relays.vms[from], relays.vms[to])
}

// Cut drops the packets from one VM to another for which it returns true.
func (relays *Relays) Cut(cut func(from, to berylspoke.VM) bool) {
	relays.mutex.Lock()
	defer relays.mutex.Unlock()
	relays.cut = cut
}

// CutRegions drops all packets between regions.
func (relays *Relays) CutRegions() {
	regions := make(map[berylspoke.FailureDomain]berylspoke.Region)
	for _, area := range relays.plan.Areas {
		regions[area.Domain] = area.Region
	}
	relays.Cut(func(from, to berylspoke.VM) bool { return regions[from.FailureDomain] != regions[to.FailureDomain] })
}

// Mend lets everything pass.
func (relays *Relays) Mend() {
	relays.Cut(func(berylspoke.VM, berylspoke.VM) bool { return false })
}

// Close stops the relays.
func (relays *Relays) Close() {
	for _, relay := range relays.relays {
		relay.Close()
	}
}
