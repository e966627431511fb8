package berylnode

// This file defines fakes of the network, the targets and the platform, for tests of how
// nodes interact.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylshare"
	"berylspoke/core/berylticket"
)

type envelope struct {
	from, to berylspoke.VMID
	message  berylspoke.Message
	due      time.Time
}

// job is a request at a fake target.
type job struct {
	vm       berylspoke.VMID
	process  berylspoke.Process
	id       berylspoke.RequestID
	target   berylspoke.TargetID
	call     *berylticket.CallID
	cost     berylspoke.Tokens
	received berylspoke.Tokens
	org      berylspoke.OrganisationID
	fraction float64
}

// fakeFleet runs nodes in simulated time.
type fakeFleet struct {
	now            time.Time
	random         *rand.Rand
	options        func(vm berylspoke.VM, incarnation berylspoke.Incarnation) Options
	vms            []berylspoke.VM
	nodes          map[berylspoke.VMID]*Node
	frozen         map[berylspoke.VMID]bool
	cut            func(from, to berylspoke.VMID) bool
	loss           float64
	duplication    float64
	delay          time.Duration
	inFlight       []envelope
	patches        []berylspoke.Published
	visiblePatches int
	platformUp     bool
	starts         int
	packets        int
	// slots is the batch size of each fake engine, rate the tokens per second that an
	// engine generates for each request, and costs the tokens of each request.
	slots   map[berylspoke.TargetID]int
	rate    float64
	costs   map[berylspoke.RequestID]berylspoke.Tokens
	jobs    []*job
	queued  map[berylspoke.TargetID][]*job
	service map[berylspoke.OrganisationID]berylspoke.Tokens
	// capacity and used sum the slot-seconds available and used while requests waited.
	capacity, used float64
	executions     map[berylticket.CallID]int
	refused        map[berylspoke.RequestID]*berylspoke.Refusal
	settled        map[uint64]berylticket.Status
	orgOf          map[berylspoke.RequestID]berylspoke.OrganisationID
	callOf         map[berylspoke.RequestID]*berylticket.CallID
}

func newFakeFleet(seed uint64, vms []berylspoke.VM) *fakeFleet {
	fleet := &fakeFleet{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 7)), vms: vms,
		nodes: make(map[berylspoke.VMID]*Node), frozen: make(map[berylspoke.VMID]bool),
		cut:   func(berylspoke.VMID, berylspoke.VMID) bool { return false },
		delay: 2 * time.Millisecond, platformUp: true, rate: 40,
		slots: make(map[berylspoke.TargetID]int), costs: make(map[berylspoke.RequestID]berylspoke.Tokens),
		queued:     make(map[berylspoke.TargetID][]*job),
		service:    make(map[berylspoke.OrganisationID]berylspoke.Tokens),
		executions: make(map[berylticket.CallID]int),
		refused:    make(map[berylspoke.RequestID]*berylspoke.Refusal),
		settled:    make(map[uint64]berylticket.Status),
		orgOf:      make(map[berylspoke.RequestID]berylspoke.OrganisationID),
		callOf:     make(map[berylspoke.RequestID]*berylticket.CallID),
	}
	fleet.options = func(vm berylspoke.VM, incarnation berylspoke.Incarnation) Options {
		options := DefaultOptions()
		options.VM, options.Incarnation = vm, incarnation
		return options
	}
	return fleet
}

func (fleet *fakeFleet) publish(patch *berylconfig.Patch) {
	body, err := json.Marshal(patch)
	if err != nil {
		panic(err)
	}
	fleet.publishBody(body)
}

func (fleet *fakeFleet) publishBody(body []byte) {
	number := berylspoke.PatchNumber(len(fleet.patches) + 1)
	fleet.patches = append(fleet.patches, berylspoke.Published{Number: number, Body: body})
	fleet.visiblePatches = len(fleet.patches)
}

func (fleet *fakeFleet) start(vm berylspoke.VM) { fleet.startAt(vm, fleet.now) }

// startAt starts a node on a VM whose clock shows the given time.
func (fleet *fakeFleet) startAt(vm berylspoke.VM, clock time.Time) {
	fleet.starts++
	incarnation := berylspoke.NewIncarnation(clock.UnixMilli(), uint64(fleet.starts))
	fleet.nodes[vm.ID] = New(fleet.now, fleet.options(vm, incarnation), uint64(fleet.starts))
	fleet.nodes[vm.ID].SetVMs(fleet.now, fleet.vms)
}

func (fleet *fakeFleet) startAll() {
	for _, vm := range fleet.vms {
		fleet.start(vm)
	}
}

// crash removes a node. Its requests at targets end, as their connections close.
func (fleet *fakeFleet) crash(vm berylspoke.VMID) {
	delete(fleet.nodes, vm)
	kept := fleet.jobs[:0]
	for _, job := range fleet.jobs {
		if job.vm != vm {
			kept = append(kept, job)
		}
	}
	fleet.jobs = kept
}

// step advances the time by interval and ticks every running node.
func (fleet *fakeFleet) step(interval time.Duration) {
	fleet.now = fleet.now.Add(interval)
	fleet.deliver()
	fleet.runJobs(interval)
	for _, vm := range fleet.vms {
		node := fleet.nodes[vm.ID]
		if node == nil || fleet.frozen[vm.ID] {
			continue
		}
		if fleet.platformUp && node.WatchesPlatform(fleet.now) && fleet.random.IntN(10) == 0 {
			after := int(node.Config().Number)
			if after < fleet.visiblePatches {
				node.AddPatches(fleet.now, fleet.patches[after:fleet.visiblePatches])
			}
		}
		node.Tick(fleet.now)
		node.Flush(fleet.now)
		fleet.applyEffects(vm.ID, node)
	}
}

func (fleet *fakeFleet) run(duration, interval time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.step(interval)
	}
}

func (fleet *fakeFleet) deliver() {
	var later []envelope
	due := fleet.inFlight
	fleet.inFlight = nil
	for _, item := range due {
		node := fleet.nodes[item.to]
		switch {
		case item.due.After(fleet.now):
			later = append(later, item)
		case fleet.frozen[item.to]:
			// A frozen process receives its messages when it resumes.
			later = append(later, item)
		case node != nil:
			node.Deliver(fleet.now, item.from, item.message)
			node.Flush(fleet.now)
			fleet.applyEffects(item.to, node)
		}
	}
	fleet.inFlight = append(later, fleet.inFlight...)
}

func (fleet *fakeFleet) applyEffects(vm berylspoke.VMID, node *Node) {
	effects := node.TakeEffects()
	peers := make(map[berylspoke.VMID]bool)
	for _, send := range effects.Sends {
		fleet.transmit(vm, send)
		peers[send.To] = true
	}
	fleet.packets += len(peers)
	for _, start := range effects.Starts {
		job := &job{
			vm: vm, process: node.Self(), id: start.Request, target: start.Target,
			call: fleet.callOf[start.Request], cost: fleet.costs[start.Request], org: fleet.orgOf[start.Request],
		}
		fleet.startJob(job)
	}
	for _, refuse := range effects.Refusals {
		fleet.refused[refuse.Request] = refuse.Refusal
	}
	for _, settled := range effects.Settled {
		fleet.settled[settled.Token] = settled.Status
	}
}

func (fleet *fakeFleet) transmit(from berylspoke.VMID, send Send) {
	if fleet.cut(from, send.To) || fleet.random.Float64() < fleet.loss {
		return
	}
	copies := 1
	if fleet.random.Float64() < fleet.duplication {
		copies = 2
	}
	for range copies {
		jitter := time.Duration(fleet.random.Int64N(int64(fleet.delay)))
		fleet.inFlight = append(fleet.inFlight, envelope{from, send.To, send.Message, fleet.now.Add(fleet.delay/2 + jitter)})
	}
}

func (fleet *fakeFleet) startJob(job *job) {
	if job.call != nil {
		fleet.executions[*job.call]++
	}
	if fleet.runningAt(job.target) >= fleet.slots[job.target] {
		fleet.queued[job.target] = append(fleet.queued[job.target], job)
		return
	}
	fleet.jobs = append(fleet.jobs, job)
}

func (fleet *fakeFleet) runningAt(target berylspoke.TargetID) int {
	count := 0
	for _, job := range fleet.jobs {
		if job.target == target {
			count++
		}
	}
	return count
}

// waiting reports whether any node has a request waiting.
func (fleet *fakeFleet) waiting() bool {
	for _, node := range fleet.nodes {
		if len(node.waiting) > 0 {
			return true
		}
	}
	return false
}

// runJobs generates tokens at the targets.
func (fleet *fakeFleet) runJobs(interval time.Duration) {
	if fleet.waiting() {
		for _, slots := range fleet.slots {
			fleet.capacity += float64(slots) * interval.Seconds()
		}
		fleet.used += float64(len(fleet.jobs)) * interval.Seconds()
	}
	jobs := fleet.jobs
	fleet.jobs = nil
	var ended []*job
	for _, job := range jobs {
		job.fraction += fleet.rate * interval.Seconds()
		count := min(berylspoke.Tokens(job.fraction), job.cost-job.received)
		job.fraction -= float64(count)
		job.received += count
		fleet.service[job.org] += count
		if job.received >= job.cost {
			ended = append(ended, job)
			continue
		}
		fleet.jobs = append(fleet.jobs, job)
		if node := fleet.nodes[job.vm]; node != nil && node.Self() == job.process {
			node.Progress(job.id, job.received, time.Duration(float64(time.Second)/fleet.rate))
		}
	}
	fleet.finishJobs(ended)
	fleet.reportLoads()
}

func (fleet *fakeFleet) finishJobs(ended []*job) {
	for _, job := range ended {
		if queue := fleet.queued[job.target]; len(queue) > 0 {
			fleet.queued[job.target] = queue[1:]
			fleet.jobs = append(fleet.jobs, queue[0])
		}
		node := fleet.nodes[job.vm]
		if node == nil || node.Self() != job.process || fleet.frozen[job.vm] {
			continue
		}
		node.Finish(fleet.now, job.id, Outcome{Received: job.received, Verdict: berylspoke.Ran})
		fleet.applyEffects(job.vm, node)
	}
}

// reportLoads reports the load of the targets to their lessors twice per second.
func (fleet *fakeFleet) reportLoads() {
	if fleet.now.UnixMilli()%500 != 0 {
		return
	}
	for vm, node := range fleet.nodes {
		if fleet.frozen[vm] {
			continue
		}
		for _, target := range node.LeasedTargets() {
			node.HandleLoadReport(fleet.now, target, berylspoke.LoadReport{
				Running: fleet.runningAt(target), Waiting: len(fleet.queued[target]),
			})
		}
	}
}

// submit sends a request of the given cost to an entry daemon.
func (fleet *fakeFleet) submit(vm berylspoke.VMID, service berylspoke.ServiceID, org berylspoke.OrganisationID, id berylspoke.RequestID, cost berylspoke.Tokens, call *berylticket.CallID) {
	fleet.costs[id], fleet.orgOf[id], fleet.callOf[id] = cost, org, call
	node := fleet.nodes[vm]
	node.Submit(fleet.now, Request{Service: service, Call: call, QueuedRequest: berylshare.QueuedRequest{
		Request: id, Organisation: org, Arrived: fleet.now, Deadline: fleet.now.Add(time.Hour),
	}})
	fleet.applyEffects(vm, node)
}

func fakeVMs(domains ...string) []berylspoke.VM {
	var vms []berylspoke.VM
	counts := make(map[string]int)
	for _, domain := range domains {
		counts[domain]++
		id := fmt.Sprintf("%s-%d", domain, counts[domain])
		vms = append(vms, berylspoke.VM{ID: berylspoke.VMID(id), FailureDomain: berylspoke.FailureDomain(domain), PeerAddress: id, CallAddress: id})
	}
	return vms
}

// fakePatch declares regions a and b, the model service "model" and the plain service
// "desk" with the given targets, and organisations by weight.
func fakePatch(targets map[berylspoke.TargetID]berylconfig.Target, weights map[berylspoke.OrganisationID]berylspoke.Weight) *berylconfig.Patch {
	patch := &berylconfig.Patch{
		FailureDomains: map[berylspoke.FailureDomain]*berylconfig.Domain{
			"a1": {Region: "a"}, "a2": {Region: "a"}, "b1": {Region: "b"},
		},
		Organisations: make(map[berylspoke.OrganisationID]*berylconfig.Organisation),
		Services: map[berylspoke.ServiceID]*berylconfig.Service{
			"model": {Kind: berylconfig.KindModel}, "desk": {Kind: berylconfig.KindPlain},
		},
		Targets: make(map[berylspoke.TargetID]*berylconfig.Target),
	}
	for id, target := range targets {
		if target.Address == "" {
			target.Address = "127.0.0.1:1"
		}
		patch.Targets[id] = &target
	}
	for id, weight := range weights {
		patch.Organisations[id] = &berylconfig.Organisation{Weight: weight}
	}
	return patch
}
