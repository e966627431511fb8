package berylnode

// This file defines how the configuration is distributed and when startup is complete.

import (
	"time"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylmember"
	"berylspoke/core/berylticket"
)

const (
	// maxPullBytes bounds the configuration entries of one answer.
	maxPullBytes = 256 << 10
	// pullTimeout is the time without an answer after which another peer may be asked.
	pullTimeout = 500 * time.Millisecond
	// startupGrace is how long a starting daemon waits for peers that do not answer.
	startupGrace = 3 * time.Second
	// startupResendAfter is the time between two messages to a peer that does not answer.
	startupResendAfter = 300 * time.Millisecond
	// maxStartupPeers bounds the peers asked during startup.
	maxStartupPeers = 8
	// watchersPerDomain is the number of daemons in a failure domain that watch the
	// platform; the others get updates from peers.
	watchersPerDomain = 2
)

// startupPeer is the state of a peer that a starting daemon asks.
type startupPeer struct {
	sent time.Time
	// heartbeatReceived reports whether a heartbeat of the peer arrived, which names an
	// earlier run of this daemon if the peer knows one.
	heartbeatReceived bool
	answered          bool
	serving           bool
}

// startup is the progress of a daemon that started without state.
type startup struct {
	since  time.Time
	listed bool
	peers  map[berylspoke.VMID]*startupPeer
	done   bool
}

// Ready reports whether the daemon serves callers.
func (node *Node) Ready() bool { return node.startup.done }

// AddPatches applies configuration entries from the platform or a peer.
func (node *Node) AddPatches(now time.Time, entries []berylspoke.Published) {
	before := node.store.State().Number
	if node.store.Add(entries) {
		node.updatePlacement(now)
	}
	if node.store.State().Number > before {
		node.effects.Reconfigured = true
		node.announce()
	}
}

// announce sends the configuration number to the linked peers at once, so that a change
// reaches the whole fleet in a few hops.
func (node *Node) announce() {
	heartbeat := berylmember.Heartbeat{Self: node.table.Member(node.self.VM).Rumour}
	heartbeat.ConfigNumber, heartbeat.Serving = node.store.State().Number, node.Ready()
	for _, to := range node.table.Links() {
		member := node.table.Member(to)
		if member != nil && member.ConfigNumber < heartbeat.ConfigNumber {
			node.send(to, heartbeat)
		}
	}
}

// handleHeartbeat merges a heartbeat and pulls the configuration entries that its sender
// has and this daemon lacks.
func (node *Node) handleHeartbeat(now time.Time, heartbeat berylmember.Heartbeat) {
	if peer := node.startup.peers[heartbeat.Self.Process.VM]; peer != nil {
		peer.heartbeatReceived = true
	}
	defer node.raiseIncarnation(now)
	if reply := node.table.HandleHeartbeat(now, heartbeat); reply != nil {
		reply.ConfigNumber, reply.Serving = node.store.State().Number, node.Ready()
		node.send(heartbeat.Self.Process.VM, *reply)
	}
	if heartbeat.ConfigNumber > node.store.State().Number {
		node.pull(now, heartbeat.Self.Process.VM)
	}
	node.updatePlacement(now)
}

// raiseIncarnation takes an incarnation above that of an earlier run of this daemon if
// the VM's clock went back between the runs; otherwise peers would take this run for the
// earlier one. Its owner and witness state can be replaced, since no request is served
// before startup is complete.
func (node *Node) raiseIncarnation(now time.Time) {
	earlier := node.table.EarlierIncarnation()
	if earlier == 0 || node.startup.done {
		return
	}
	node.self.Incarnation = earlier.Next(node.random.Uint64())
	node.table.SetIncarnation(node.self.Incarnation)
	node.owner = berylticket.NewOwner(node.self, node.options.MaxRecords)
	node.witness = berylticket.NewWitness(node.self, node.options.MaxRecords)
	node.services, node.placement = make(map[berylspoke.ServiceID]*service), placementKey{}
	node.updatePlacement(now)
}

// pull asks a peer for the configuration entries that this daemon lacks. Several peers
// announce a change at the same time; only the first is asked, unless it does not answer.
func (node *Node) pull(now time.Time, from berylspoke.VMID) {
	if now.Sub(node.pulledAt) < pullTimeout {
		return
	}
	node.pulledAt = now
	node.send(from, berylconfig.PullRequest{After: node.store.State().Number})
}

func (node *Node) handlePullRequest(from berylspoke.VMID, request berylconfig.PullRequest) {
	answer := berylconfig.PullAnswer{Number: node.store.State().Number, Serving: node.Ready()}
	entries, retained := node.store.EntriesAfter(request.After, maxPullBytes)
	answer.Entries = entries
	if !retained {
		answer.Snapshot = node.store.Snapshot()
	}
	node.send(from, answer)
}

func (node *Node) handlePullAnswer(now time.Time, from berylspoke.VMID, answer berylconfig.PullAnswer) {
	if peer := node.startup.peers[from]; peer != nil {
		peer.answered, peer.serving = true, answer.Serving
	}
	node.pulledAt = time.Time{}
	before := node.store.State().Number
	if len(answer.Snapshot) > 0 && node.store.ApplySnapshot(answer.Snapshot) {
		node.effects.Reconfigured = true
		node.updatePlacement(now)
	}
	node.AddPatches(now, answer.Entries)
	number := node.store.State().Number
	if number < answer.Number && number > before {
		node.pull(now, from)
	}
}

// tickStartup asks peers for the configuration before the first request is served.
//
// The platform may be stale, and a daemon that starts without state does not know of a
// newer version. A serving peer does: one that answered and whose entries were applied is
// enough. If all peers that answer are starting too, the platform is the only source. A
// daemon that gets no answer although peers are listed is partitioned and does not serve,
// as it might put an old version into force. That it believes these peers dead proves
// nothing: it would believe so in a partition too.
func (node *Node) tickStartup(now time.Time) {
	if node.startup.done {
		return
	}
	if node.startup.listed {
		node.queryPeers(now)
	}
	node.startup.done = node.startComplete(now)
}

func (node *Node) queryPeers(now time.Time) {
	for _, vm := range berylmember.Ranked("start "+string(node.self.VM), node.table.Live(), maxStartupPeers+1) {
		if vm == node.self.VM {
			continue
		}
		peer := node.startup.peers[vm]
		if peer == nil {
			peer = new(startupPeer)
			node.startup.peers[vm] = peer
		}
		if now.Sub(peer.sent) <= startupResendAfter {
			continue
		}
		if !peer.heartbeatReceived {
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
	if !node.startup.listed || node.store.State().Version == 0 {
		return false
	}
	behind, pending, answered, serving := false, 0, 0, 0
	for vm, peer := range node.startup.peers {
		member := node.table.Member(vm)
		switch {
		case member == nil || !member.Listed:
			continue
		case !peer.answered || !peer.heartbeatReceived:
			pending++
		default:
			answered++
		}
		if member.ConfigNumber > node.store.State().Number {
			behind = true
		}
		if peer.serving && peer.heartbeatReceived {
			serving++
		}
	}
	graceExpired := now.Sub(node.startup.since) > startupGrace
	switch {
	case behind && !graceExpired:
		return false
	case serving > 0 || pending+answered == 0:
		return true
	default:
		return answered > 0 && (pending == 0 || graceExpired)
	}
}

// WatchesPlatform reports whether this daemon watches the platform for patches. A few
// daemons in each failure domain do, chosen among the live ones. A daemon that is not
// ready always does, so that a lost watcher or a partition cannot delay updates for long.
func (node *Node) WatchesPlatform(now time.Time) bool {
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
