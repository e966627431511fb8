package berylmember

// This file defines rendezvous hashing and the ring of heartbeat links.

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

// Score ranks a VM for a key; the VM with the highest score holds the key.
func Score(key string, vm berylspoke.VMID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(vm))
	return digest.Sum64()
}

// TopRanked returns the VM with the highest score for the key, or "" for none.
func TopRanked(key string, vms []berylspoke.VMID) berylspoke.VMID {
	var best berylspoke.VMID
	var top uint64
	for _, vm := range vms {
		if score := Score(key, vm); best == "" || score > top {
			best, top = vm, score
		}
	}
	return best
}

// Ranked returns up to count VMs, sorted by falling score for the key.
func Ranked(key string, vms []berylspoke.VMID, count int) []berylspoke.VMID {
	ranked := append([]berylspoke.VMID(nil), vms...)
	scores := make(map[berylspoke.VMID]uint64, len(vms))
	for _, vm := range vms {
		scores[vm] = Score(key, vm)
	}
	sort.Slice(ranked, func(i, j int) bool { return scores[ranked[i]] > scores[ranked[j]] })
	return ranked[:min(count, len(ranked))]
}

// linkDistances are the ring distances at which a daemon sends heartbeats; the two
// nearest are both included, so that a daemon that loses one successor still has a
// monitor.
var linkDistances = []int{1, 2, 8, 32, 128, 512}

// ring sorts VMs by hash, so that neighbours are unlikely to share a failure domain.
func ring(vms []berylspoke.VMID) []berylspoke.VMID {
	ordered := slices.Clone(vms)
	hashes := make(map[berylspoke.VMID]uint64, len(vms))
	for _, vm := range vms {
		hashes[vm] = xxhash.Sum64String(string(vm))
	}
	slices.SortFunc(ordered, func(one, other berylspoke.VMID) int {
		return cmp.Or(cmp.Compare(hashes[one], hashes[other]), cmp.Compare(one, other))
	})
	return ordered
}

// links returns the VMs that self sends heartbeats to and the VMs that it monitors.
func links(self berylspoke.VMID, vms []berylspoke.VMID) (out, in []berylspoke.VMID) {
	ordered := ring(vms)
	position := -1
	for i, vm := range ordered {
		if vm == self {
			position = i
		}
	}
	if position < 0 {
		return nil, nil
	}
	count := len(ordered)
	for _, distance := range linkDistances {
		if distance >= count {
			break
		}
		out = append(out, ordered[(position+distance)%count])
		in = append(in, ordered[(position-distance+count)%count])
	}
	return out, in
}
