package berylslot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspoke"
)

const (
	lessorVM    = berylspoke.VMID("keeper")
	targetLimit = 5
)

// pool is one lessor of two targets, three entry daemons, and the messages in flight,
// which may be lost, duplicated and reordered.
type pool struct {
	now          time.Time
	lessor       *Lessor
	holders      map[berylspoke.VMID]*Holder
	waiting      map[berylspoke.VMID]int
	running      map[berylspoke.VMID][]Placement
	demands      []Demand
	leases       []AddressedLease
	incarnations berylspoke.Incarnation
	// reclaimed is set once the lessor took back the slots of a silent entry daemon that
	// still runs requests; only a load report of the target could reveal those.
	reclaimed bool
}

func newPool() *pool {
	pool := &pool{
		now: time.Unix(1000, 0), holders: make(map[berylspoke.VMID]*Holder),
		waiting: make(map[berylspoke.VMID]int), running: make(map[berylspoke.VMID][]Placement),
	}
	pool.restartLessor()
	for _, vm := range []berylspoke.VMID{"e1", "e2", "e3"} {
		pool.restartEntry(vm)
	}
	return pool
}

func (pool *pool) restartLessor() {
	pool.incarnations++
	options := DefaultLessorOptions()
	options.Limiter.Initial = targetLimit
	pool.lessor = NewLessor(pool.now, berylspoke.Process{VM: lessorVM, Incarnation: pool.incarnations}, "model", options)
	pool.lessor.SetTargets(pool.now, []berylspoke.TargetID{"t1", "t2"})
}

func (pool *pool) restartEntry(vm berylspoke.VMID) {
	pool.incarnations++
	pool.holders[vm] = NewHolder(berylspoke.Process{VM: vm, Incarnation: pool.incarnations}, "model")
	pool.running[vm], pool.waiting[vm] = nil, 0
}

// exchange starts the requests that the entry daemon has slots for and queues its
// demands.
func (pool *pool) exchange(vm berylspoke.VMID) {
	holder := pool.holders[vm]
	for pool.waiting[vm] > 0 {
		placements := holder.Free(pool.now, 0)
		if len(placements) == 0 {
			break
		}
		holder.Start(pool.now, placements[0], 0)
		pool.running[vm] = append(pool.running[vm], placements[0])
		pool.waiting[vm]--
	}
	holder.Release(0, pool.waiting[vm] > 0)
	state := QueueState{Waiting: pool.waiting[vm], Tags: make([]berylspoke.Tag, min(pool.waiting[vm], MaxDemandTags))}
	for _, demand := range holder.Demands(pool.now, Lessors{Local: []berylspoke.VMID{lessorVM}}, state) {
		pool.demands = append(pool.demands, demand.Demand)
	}
}

// assign queues the lessor's leases; only the last few messages may still arrive.
func (pool *pool) assign() {
	pool.leases = append(pool.leases, pool.lessor.Assign(pool.now)...)
	pool.leases = pool.leases[max(0, len(pool.leases)-maxInFlight):]
	pool.demands = pool.demands[max(0, len(pool.demands)-maxInFlight):]
}

const maxInFlight = 8

func (pool *pool) finish(vm berylspoke.VMID) {
	if running := pool.running[vm]; len(running) > 0 {
		pool.running[vm] = running[1:]
		pool.holders[vm].Finish(pool.now, running[0], 0, pool.waiting[vm] > 0)
	}
}

func (pool *pool) used(target berylspoke.TargetID) int {
	used := 0
	for _, running := range pool.running {
		for _, placement := range running {
			if placement.Target == target {
				used++
			}
		}
	}
	return used
}

// deliver exchanges all messages in order for the given time.
func (pool *pool) deliver(duration time.Duration) {
	for end := pool.now.Add(duration); pool.now.Before(end); pool.now = pool.now.Add(50 * time.Millisecond) {
		for _, demand := range pool.demands {
			pool.lessor.ApplyDemand(pool.now, demand)
		}
		pool.demands = nil
		for _, lease := range pool.lessor.Assign(pool.now) {
			pool.holders[lease.To].ApplyLease(lease.Lease)
		}
		for _, vm := range []berylspoke.VMID{"e1", "e2", "e3"} {
			pool.exchange(vm)
		}
	}
}

// Demands and leases are lost, duplicated, reordered and late by seconds, and entry
// daemons pause for longer than their leases last. A target never runs more requests than
// its limit, and once messages arrive again, no slot idles while a request waits.
func TestSlotsAreNeitherOversoldNorLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := newPool()
		vm := func(t *rapid.T) berylspoke.VMID {
			return rapid.SampledFrom([]berylspoke.VMID{"e1", "e2", "e3"}).Draw(t, "vm")
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { pool.waiting[vm(t)] += rapid.IntRange(1, 6).Draw(t, "count") },
			"finish": func(t *rapid.T) { pool.finish(vm(t)) },
			"entry":  func(t *rapid.T) { pool.exchange(vm(t)) },
			"ask": func(t *rapid.T) {
				if len(pool.demands) > 0 {
					pool.lessor.ApplyDemand(pool.now, pool.demands[rapid.IntRange(0, len(pool.demands)-1).Draw(t, "ask")])
				}
			},
			"assign": func(*rapid.T) { pool.assign() },
			"round": func(t *rapid.T) {
				// A demand is sent, and its lease arrives at once.
				from := vm(t)
				pool.exchange(from)
				if len(pool.demands) > 0 {
					pool.lessor.ApplyDemand(pool.now, pool.demands[len(pool.demands)-1])
				}
				pool.assign()
				for _, lease := range pool.leases {
					if lease.To == from {
						pool.holders[from].ApplyLease(lease.Lease)
					}
				}
				pool.exchange(from)
			},
			"lease": func(t *rapid.T) {
				if len(pool.leases) > 0 {
					lease := pool.leases[rapid.IntRange(0, len(pool.leases)-1).Draw(t, "lease")]
					pool.holders[lease.To].ApplyLease(lease.Lease)
				}
			},
			"time": func(t *rapid.T) {
				pool.now = pool.now.Add(time.Duration(rapid.SampledFrom([]int{10, 100, 1000, 4000}).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for vm, running := range pool.running {
					pool.reclaimed = pool.reclaimed || len(running) > 0 && pool.lessor.holders[vm] == nil
				}
				if pool.reclaimed {
					return
				}
				for _, target := range []berylspoke.TargetID{"t1", "t2"} {
					if used := pool.used(target); used > targetLimit {
						t.Fatalf("%s runs %d requests, limit %d", target, used, targetLimit)
					}
				}
			},
		})
		pool.leases = nil
		pool.waiting["e2"] += 20
		pool.deliver(30 * time.Second)
		if pool.waiting["e2"] > 0 && pool.used("t1")+pool.used("t2") < 2*targetLimit {
			t.Fatalf("%d and %d of %d slots are used while %d requests wait",
				pool.used("t1"), pool.used("t2"), targetLimit, pool.waiting["e2"])
		}
	})
}

// A target's lessor changes while requests run. The new lessor starts empty; it must
// receive what runs before it leases the same slots again.
func TestNewLessorLearnsRunningRequests(t *testing.T) {
	pool := newPool()
	pool.waiting["e1"] = 20
	pool.deliver(5 * time.Second)
	require.Equal(t, targetLimit, pool.used("t1"))
	pool.restartLessor()
	for range 200 {
		pool.deliver(50 * time.Millisecond)
		require.LessOrEqual(t, pool.used("t1"), targetLimit)
		require.LessOrEqual(t, pool.used("t2"), targetLimit)
		pool.finish("e1")
	}
	require.Zero(t, pool.waiting["e1"])
}

// An entry daemon was partitioned until its lessor removed it. On its return the lessor
// numbered its leases from the start; the entry daemon dropped them as old, and its
// callers waited although slots were free.
func TestReturningEntryIsServedAgain(t *testing.T) {
	pool := newPool()
	for range 30 {
		pool.waiting["e1"] += 3
		pool.deliver(300 * time.Millisecond)
		for range 3 {
			pool.finish("e1")
		}
	}
	pool.now = pool.now.Add(time.Minute)
	pool.lessor.Assign(pool.now)
	require.Empty(t, pool.lessor.holders)
	pool.waiting["e1"] = 1
	pool.deliver(time.Second)
	require.Zero(t, pool.waiting["e1"])
}

func TestLimiterFindsBatchSize(t *testing.T) {
	for _, batch := range []int{1, 6, 8, 37, 200} {
		limiter := NewLimiter(DefaultLimiterOptions())
		now := time.Unix(0, 0)
		for range 60 {
			now = now.Add(time.Second)
			limiter.RecordUse(now, limiter.Limit())
			limiter.Report(now, berylspoke.LoadReport{
				Running: min(limiter.Limit(), batch), Waiting: max(limiter.Limit()-batch, 0),
			}, true)
		}
		require.GreaterOrEqual(t, limiter.Limit(), batch, "batch of %d", batch)
		require.LessOrEqual(t, limiter.Limit(), batch+1, "batch of %d", batch)
	}
}

// Two lessors lease one target during a partition. Each must make room for the load that
// the other put on it, and must not count its own requests that just ended as foreign.
func TestLimiterYieldsToForeignLoad(t *testing.T) {
	limiter := NewLimiter(DefaultLimiterOptions())
	now := time.Unix(0, 0)
	limiter.limit, limiter.congested, limiter.lastChange = 8, true, now.Add(time.Minute)
	limiter.RecordUse(now, 8)
	limiter.RecordUse(now.Add(time.Second), 3)
	limiter.Report(now.Add(time.Second), berylspoke.LoadReport{Running: 8}, true)
	require.Zero(t, limiter.Foreign(), "the report is late")
	limiter.RecordUse(now.Add(5*time.Second), 3)
	limiter.Report(now.Add(5*time.Second), berylspoke.LoadReport{Running: 6}, true)
	require.Equal(t, 3, limiter.Foreign())
	require.Equal(t, 5, limiter.Limit())
}

func BenchmarkLessor(b *testing.B) {
	for _, entries := range []int{8, 40, 340} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			now := time.Unix(0, 0)
			lessor := NewLessor(now, berylspoke.Process{VM: lessorVM, Incarnation: 1}, "model", DefaultLessorOptions())
			lessor.SetTargets(now, []berylspoke.TargetID{"t1", "t2"})
			b.ReportAllocs()
			for i := range b.N {
				lessor.ApplyDemand(now, Demand{
					From:    berylspoke.Process{VM: berylspoke.VMID(fmt.Sprint(i % entries)), Incarnation: 1},
					Service: "model", Sequence: uint32(i/entries + 1), Waiting: 10, Tags: make([]berylspoke.Tag, 8),
				})
				lessor.Assign(now)
			}
		})
	}
}
