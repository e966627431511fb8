package berylnode

// This file defines how the configuration spreads and when a start is complete.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylticket"
)

const (
	// pullBytes bounds the entries of one answer.
	pullBytes = 256 << 10
	// pullTimeout is the time after which another peer is asked.
	pullTimeout = 500 * time.Millisecond
	// startupGrace is how long a daemon waits for peers that do not answer.
	startupGrace = 3 * time.Second
	// startupRepeat is the time between two questions to a silent peer.
	startupRepeat = 300 * time.Millisecond
	// startupPeers bounds the peers asked at a start.
	startupPeers = 8
	// watchersPerDomain is the number of daemons in a failure domain that watch
	// the platform; the others hear from peers.
	watchersPerDomain = 2
)

type startupPeer struct {
	sent time.Time
	// heard says that a heartbeat of the peer came, which names an earlier run of this
	// daemon if the peer knows one.
	heard    bool
	answered bool
	serving  bool
}

// startup is what a daemon that started empty has learnt so far.
type startup struct {
	since  time.Time
	listed bool
	asked  map[berylspoke.VMID]*startupPeer
	done   bool
}

// Ready says whether the daemon serves callers.
func (node *Node) Ready() bool { return node.start.done }

// AddPatches folds what the platform or a peer published.
func (node *Node) AddPatches(now time.Time, entries []berylspoke.Published) {
	before := node.store.State().Number
	if node.store.Add(entries) {
		node.place(now)
	}
	if node.store.State().Number > before {
		node.effects.Reconfigured = true
		node.announce()
	}
}

// announce tells the linked peers at once, so that a change crosses the fleet
// in a few hops.
func (node *Node) announce() {
	beat := berylmember.Heartbeat{Self: node.table.Member(node.self.VM).Rumour}
	beat.Number, beat.Serving = node.store.State().Number, node.Ready()
	for _, to := range node.table.Links() {
		member := node.table.Member(to)
		if member != nil && member.Number < beat.Number {
			node.send(to, beat)
		}
	}
}

// heard takes a heartbeat and pulls the entries that its sender has and this
// daemon lacks.
func (node *Node) heard(now time.Time, beat berylmember.Heartbeat) {
	if peer := node.start.asked[beat.Self.Process.VM]; peer != nil {
		peer.heard = true
	}
	defer node.succeed(now)
	if reply := node.table.Hear(now, beat); reply != nil {
		reply.Number, reply.Serving = node.store.State().Number, node.Ready()
		node.send(beat.Self.Process.VM, *reply)
	}
	if beat.Number > node.store.State().Number {
		node.pull(now, beat.Self.Process.VM)
	}
	node.place(now)
}

// succeed takes an incarnation above that of an earlier run of this daemon, if the
// clock of its VM went back in between: peers would take it for that run. Nothing is
// owned yet, as no request is served before the start is complete.
func (node *Node) succeed(now time.Time) {
	earlier := node.table.Earlier()
	if earlier == 0 || node.start.done {
		return
	}
	node.self.Incarnation = earlier.Next(node.random.Uint64())
	node.table.Succeed(node.self.Incarnation)
	node.owner = berylticket.NewOwner(node.self, node.options.Records)
	node.witness = berylticket.NewWitness(node.self, node.options.Records)
	node.services, node.placed = make(map[berylspoke.ServiceID]*service), placedFor{}
	node.place(now)
}

// pull asks a peer for what this daemon lacks. Several peers announce one change
// at the same moment; only the first is asked, unless it does not answer.
func (node *Node) pull(now time.Time, from berylspoke.VMID) {
	if now.Sub(node.pulledAt) < pullTimeout {
		return
	}
	node.pulledAt = now
	node.send(from, berylconfig.PullRequest{After: node.store.State().Number})
}

func (node *Node) pulled(from berylspoke.VMID, request berylconfig.PullRequest) {
	answer := berylconfig.PullAnswer{Number: node.store.State().Number, Serving: node.Ready()}
	entries, kept := node.store.After(request.After, pullBytes)
	answer.Entries = entries
	if !kept {
		answer.Snapshot = node.store.Snapshot()
	}
	node.send(from, answer)
}

func (node *Node) pullAnswered(now time.Time, from berylspoke.VMID, answer berylconfig.PullAnswer) {
	if peer := node.start.asked[from]; peer != nil {
		peer.answered, peer.serving = true, answer.Serving
	}
	node.pulledAt = time.Time{}
	before := node.store.State().Number
	if len(answer.Snapshot) > 0 && node.store.Adopt(answer.Snapshot) {
		node.effects.Reconfigured = true
		node.place(now)
	}
	node.AddPatches(now, answer.Entries)
	number := node.store.State().Number
	if number < answer.Number && number > before {
		node.pull(now, from)
	}
}

// tickStartup asks peers for the configuration before the first request is
// served.
//
// The platform may be stale, and a daemon that starts empty has no memory of a
// newer version. A serving peer has it: one that answered and whose entries
// were folded is enough. If all that answer are starting too, the platform's
// word is all there is. A daemon that no peer answers, although some are listed,
// is cut off and does not serve: it might put an old version into force. That
// it believes them dead proves nothing, since it would if it were cut off.
func (node *Node) tickStartup(now time.Time) {
	if node.start.done {
		return
	}
	if node.start.listed {
		node.askPeers(now)
	}
	node.start.done = node.startComplete(now)
}

func (node *Node) askPeers(now time.Time) {
	for _, vm := range berylmember.Ranked("start "+string(node.self.VM), node.table.Live(), startupPeers+1) {
		if vm == node.self.VM {
			continue
		}
		peer := node.start.asked[vm]
		if peer == nil {
			peer = new(startupPeer)
			node.start.asked[vm] = peer
		}
		if now.Sub(peer.sent) <= startupRepeat {
			continue
		}
		if !peer.heard {
			peer.sent = now
			node.send(vm, berylmember.Heartbeat{Self: node.table.Member(node.self.VM).Rumour, Sync: true})
		}
		if !peer.answered {
			peer.sent = now
			node.send(vm, berylconfig.PullRequest{After: node.store.State().Number})
		}
	}
}

func (node *Node) startComplete(now time.Time) bool {
	if !node.start.listed || node.store.State().Version == 0 {
		return false
	}
	behind, open, answered, serving := false, 0, 0, 0
	for vm, peer := range node.start.asked {
		member := node.table.Member(vm)
		switch {
		case member == nil || !member.Listed:
			continue
		case !peer.answered || !peer.heard:
			open++
		default:
			answered++
		}
		if member.Number > node.store.State().Number {
			behind = true
		}
		if peer.serving && peer.heard {
			serving++
		}
	}
	waited := now.Sub(node.start.since) > startupGrace
	switch {
	case behind && !waited:
		return false
	case serving > 0 || open+answered == 0:
		return true
	default:
		return answered > 0 && (open == 0 || waited)
	}
}

// Watches says whether this daemon watches the platform for patches. A few do
// so in each failure domain; any daemon does until it is ready, so that a lost
// watcher or a cut cannot keep a domain from news for long.
func (node *Node) Watches(now time.Time) bool {
	if !node.Ready() {
		return true
	}
	domain := node.options.VM.FailureDomain
	var peers []berylspoke.VMID
	for _, vm := range node.table.Live() {
		if node.fleet.DomainOf[vm] == domain {
			peers = append(peers, vm)
		}
	}
	for _, vm := range berylmember.Ranked("watch "+string(domain), peers, watchersPerDomain) {
		if vm == node.self.VM {
			return true
		}
	}
	return false
}
