package berylquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspoke"
)

const (
	// controlBytesPerSecond is what all control messages of a daemon may cost (docs/CAPACITY.md).
	controlBytesPerSecond = 3_000
	// noticeBytes is the size of one suspect or clearing in a message.
	noticeBytes = 26
	// roundInterval is the time between two rounds of messages.
	roundInterval = 50 * time.Millisecond
)

// restartFleet is a large fleet whose daemons restart.
type restartFleet struct {
	vms     []berylspoke.VMID
	daemons map[berylspoke.VMID]*Quarantine
	// received are the bytes that each daemon received since it last started.
	received map[berylspoke.VMID]int
}

func newRestartFleet(size int) *restartFleet {
	fleet := &restartFleet{daemons: make(map[berylspoke.VMID]*Quarantine), received: make(map[berylspoke.VMID]int)}
	for i := range size {
		vm := berylspoke.VMID(fmt.Sprint("vm-", i))
		fleet.vms = append(fleet.vms, vm)
		fleet.daemons[vm] = New(vm)
	}
	fleet.setMembers(nil)
	return fleet
}

// setMembers tells all daemons which are live and which of them have started.
func (fleet *restartFleet) setMembers(started []berylspoke.VMID) {
	live := slices.DeleteFunc(slices.Clone(fleet.vms), func(vm berylspoke.VMID) bool { return fleet.daemons[vm] == nil })
	for _, vm := range live {
		fleet.daemons[vm].SetMembers(live, started)
	}
}

// round delivers the evidence that is due. What is for all daemons goes to the neighbours of each.
func (fleet *restartFleet) round(now time.Time) {
	for i, vm := range fleet.vms {
		daemon := fleet.daemons[vm]
		if daemon == nil {
			continue
		}
		for _, parcel := range daemon.Unsent(now) {
			to := parcel.To
			if to == nil {
				for _, distance := range []int{1, 2, 8} {
					to = append(to, fleet.vms[(i+distance)%len(fleet.vms)], fleet.vms[(i-distance+len(fleet.vms))%len(fleet.vms)])
				}
			}
			for _, receiver := range to {
				if fleet.daemons[receiver] == nil {
					continue
				}
				fleet.received[receiver] += noticeBytes * len(parcel.Message.Clearings)
				for _, crash := range parcel.Message.Crashes {
					fleet.received[receiver] += noticeBytes * len(crash.Suspects)
				}
				fleet.daemons[receiver].Receive(now, parcel.Message)
			}
		}
	}
}

// requireHeld checks that the holders of each suspect know all crashes under it that daemons know.
func (fleet *restartFleet) requireHeld(t *testing.T) {
	for _, daemon := range fleet.daemons {
		if daemon == nil {
			continue
		}
		for digest, crashes := range daemon.index {
			for _, holder := range daemon.holders(digest) {
				for _, crash := range crashes {
					known := fleet.daemons[holder].crashes[crash.run]
					require.True(t, known != nil && known.has(digest), "%s knows run %d under suspect %d", holder, crash.run, digest)
				}
			}
		}
	}
}

// Guards against evidence on targets that crashed together which all daemons send again whenever
// one leaves or starts.
func TestRollingRestartCostsLittleEvidence(t *testing.T) {
	const size, restartInterval, downFor = 60, 400 * time.Millisecond, 2 * time.Second
	now := time.Unix(1000, 0)
	fleet := newRestartFleet(size)
	for run := range 60 {
		for request := range 4 {
			organisation := OrganisationHash((run + request) % 12)
			fleet.daemons[fleet.vms[(run*7+request)%size]].Crashed(now, Crash{
				Run: TargetRun(run + 1), At: now, Sent: now.Add(-50 * time.Millisecond), Organisation: organisation,
				Digests: []Digest{Digest(run % 3), Digest(100 + organisation), Digest(1000 + 10*run + request)},
			})
		}
	}
	for range 40 {
		now = now.Add(roundInterval)
		fleet.round(now)
	}
	clear(fleet.received)
	restarted, started := 0, now
	for now.Sub(started) < 16*time.Second {
		now = now.Add(roundInterval)
		if at := now.Sub(started); at%restartInterval == 0 {
			var fresh []berylspoke.VMID
			if back := restarted - int(downFor/restartInterval); back >= 0 {
				vm := fleet.vms[back]
				fleet.daemons[vm], fleet.received[vm] = New(vm), 0
				fresh = []berylspoke.VMID{vm}
			}
			fleet.daemons[fleet.vms[restarted]] = nil
			restarted++
			fleet.setMembers(fresh)
		}
		fleet.round(now)
	}
	most := 0
	for _, vm := range fleet.vms[restarted:] {
		most = max(most, fleet.received[vm])
	}
	fleet.requireHeld(t)
	t.Logf("at most %d bytes of evidence a second", most/int(now.Sub(started).Seconds()))
	require.LessOrEqual(t, float64(most)/now.Sub(started).Seconds(), float64(controlBytesPerSecond), "bytes a second")
}
