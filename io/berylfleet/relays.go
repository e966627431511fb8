package berylfleet

// This file defines relays of the traffic between the daemons of a deployment.

import (
	"fmt"
	"net"
	"sync"

	"berylspoke"
	"berylspoke/io/berylstand"
)

// Relays forward the packets to the peer address of each VM and drop those between
// partitioned VMs.
type Relays struct {
	plan        Plan
	relays      []*berylstand.PacketRelay
	mutex       sync.RWMutex
	vms         map[string]berylspoke.VM
	partitioned func(from, to berylspoke.VM) bool
}

// StartRelays starts a relay for each VM of the plan. Daemons use the relays if the
// platform publishes the VMs that AdvertisedVMs returns.
func StartRelays(plan Plan) (*Relays, error) {
	relays := &Relays{plan: plan, vms: make(map[string]berylspoke.VM)}
	relays.Heal()
	for i, vm := range plan.VMs() {
		host, _, _ := net.SplitHostPort(vm.PeerAddress)
		relays.vms[host] = vm
		relay, err := berylstand.NewPacketRelay(relays.listenAddress(i), vm.PeerAddress, relays.passes)
		if err != nil {
			relays.Close()
			return nil, err
		}
		relays.relays = append(relays.relays, relay)
	}
	return relays, nil
}

// listenAddress returns the address of a relay.
func (relays *Relays) listenAddress(index int) string {
	return fmt.Sprintf("127.%d.3.%d:%d", relays.plan.LoopbackNetwork, index+1, peerPort)
}

// AdvertisedVMs returns the VMs with the addresses of their relays as peer addresses.
func (relays *Relays) AdvertisedVMs() []berylspoke.VM {
	vms := relays.plan.VMs()
	for i := range vms {
		vms[i].PeerAddress = relays.listenAddress(i)
	}
	return vms
}

func (relays *Relays) passes(from, to string) bool {
	relays.mutex.RLock()
	defer relays.mutex.RUnlock()
	return !relays.partitioned(relays.vms[from], relays.vms[to])
}

// SetPartition drops the packets from one VM to another if partitioned returns true.
func (relays *Relays) SetPartition(partitioned func(from, to berylspoke.VM) bool) {
	relays.mutex.Lock()
	defer relays.mutex.Unlock()
	relays.partitioned = partitioned
}

// PartitionRegions drops all packets between regions.
func (relays *Relays) PartitionRegions() {
	regions := make(map[berylspoke.FailureDomain]berylspoke.Region)
	for _, domain := range relays.plan.Domains {
		regions[domain.Domain] = domain.Region
	}
	relays.SetPartition(func(from, to berylspoke.VM) bool { return regions[from.FailureDomain] != regions[to.FailureDomain] })
}

// Heal ends the partition: all packets pass.
func (relays *Relays) Heal() {
	relays.SetPartition(func(berylspoke.VM, berylspoke.VM) bool { return false })
}

// Close stops the relays.
func (relays *Relays) Close() {
	for _, relay := range relays.relays {
		relay.Close()
	}
}
