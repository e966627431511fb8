package beryledge

// This file defines how daemons learn from each other which build began a stream.

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylorigin"
)

const (
	// askRounds is how often holders are asked at most, askInterval the time between: a
	// record or an answer may be lost, or a record arrive after the question.
	askRounds   = 3
	askInterval = 150 * time.Millisecond
	// unknownRetryAfter is the delay after which the origin of a stream may be known.
	unknownRetryAfter = 300 * time.Millisecond
	// brokenRetention is how long a stream that was broken is told of if its service gets
	// another build, or if it turns out that its build is not certain.
	brokenRetention = 5 * time.Second
	// clockSlack bounds the difference between the clocks of the day of VMs and targets.
	clockSlack = time.Second
	// inquiryInterval is the time between two inquiries, inquired the number of daemons that each
	// goes to: some of them may lack what they are asked for too.
	inquiryInterval = 500 * time.Millisecond
	inquired        = 4
	// inquiryMemory is how long after the last inquiry of a peer streams are told, whatever is known
	// here: the peer may be the one at which they are taken up.
	inquiryMemory = 2 * inquiryInterval
	// spreadInterval is the time between two messages to the daemons of a small fleet that are told
	// of streams later.
	spreadInterval = tickInterval
	// versionSlack is added to the age that a replica may have, for the time in which what
	// says its age is on its way.
	versionSlack = 300 * time.Millisecond
)

// runningStream is a stream whose first event this daemon forwarded.
type runningStream struct {
	service berylspoke.ServiceID
	build   berylspoke.Build
	// target is the run that began it, began the time of its first event.
	target berylspoke.TargetRun
	began  time.Time
	// told is set once holders know it.
	told bool
	// brokenAt is when it was broken, zero while it runs.
	brokenAt time.Time
}

// originAnswer is an answer of a peer.
type originAnswer struct {
	from   berylspoke.VMID
	answer berylorigin.Answer
}

// origins is what a daemon knows of the origins of streams. It is used by the core and by the
// requests, which tell holders before they forward the first event.
type origins struct {
	daemon   *Daemon
	mutex    sync.Mutex
	versions *berylorigin.Versions
	records  *berylorigin.Records
	running  map[berylorigin.Key]*runningStream
	searches map[berylorigin.Key][]chan originAnswer
	// inquiry is the number of the last inquiry, sentAt when it was sent, and receivedAt when a peer
	// last sent one.
	inquiry            uint32
	sentAt, receivedAt time.Time
	// unspread are the streams of which only those holders know that are told at once, spreadAt is
	// when the others were last told.
	unspread map[berylorigin.Key]berylspoke.Build
	spreadAt time.Time
}

func newOrigins(daemon *Daemon) *origins {
	return &origins{
		daemon: daemon, versions: berylorigin.NewVersions(daemon.settings.FirstStart), records: berylorigin.NewRecords(),
		running: make(map[berylorigin.Key]*runningStream), searches: make(map[berylorigin.Key][]chan originAnswer),
		unspread: make(map[berylorigin.Key]berylspoke.Build),
	}
}

// versionDelay returns the time after which a new build gets streams. Every daemon that is up to
// date knows it by then.
func (daemon *Daemon) versionDelay() time.Duration { return daemon.contactAgeLimit() + versionSlack }

// setTarget records a published target and returns the time until which its build gets no
// streams if there are others.
func (origins *origins) setTarget(now time.Time, target berylspoke.Target) time.Time {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.versions.Set(now, target)
	origins.doubtStreams(target)
	return origins.versions.HeldUntil(target.Build())
}

// doubtStreams makes the builds of those streams uncertain that may have begun at a run of which
// this daemon learns only now, as they were sent to an earlier one under its id.
func (origins *origins) doubtStreams(target berylspoke.Target) {
	started := time.UnixMilli(target.Started)
	for _, stream := range origins.running {
		otherRun := stream.target.ID == target.ID && stream.target.Started != target.Started
		if otherRun && !stream.build.Fits(target.Build()) && !started.After(stream.began.Add(clockSlack)) {
			stream.build, stream.told = 0, false
		}
	}
}

func (origins *origins) removeTarget(now time.Time, id berylspoke.TargetID) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.versions.Remove(now, id)
}

// begin records that a build begins a stream, or goes on with it, and tells its holders unless the
// stream can only have begun at one service and all daemons know that this has one build only. It
// returns whether they were told.
func (origins *origins) begin(now time.Time, key berylorigin.Key, target berylspoke.Target, build berylspoke.Build, oneService bool) bool {
	service := target.Service
	origins.mutex.Lock()
	origins.records.Add(now, berylorigin.Record{Key: key, Build: build})
	build, _ = origins.records.Find(now, key)
	tell := !oneService || !origins.settled(now, service)
	origins.running[key] = &runningStream{service: service, build: build, target: target.Run(), began: now, told: tell}
	if tell {
		origins.unspread[key] = build
	}
	origins.mutex.Unlock()
	if tell {
		origins.tell(map[berylorigin.Key]berylspoke.Build{key: build}, berylorigin.Told)
		origins.daemon.meters.originsTold.Inc()
	}
	return tell
}

// holders selects the daemons to tell of a stream.
type holders func(key berylorigin.Key, self berylspoke.VMID, live []berylspoke.VMID) []berylspoke.VMID

// tell tells holders of streams which builds began them.
func (origins *origins) tell(builds map[berylorigin.Key]berylspoke.Build, holders holders) {
	live := origins.daemon.entries.Load().live
	byHolder := make(map[berylspoke.VMID][]berylorigin.Record)
	for key, build := range builds {
		for _, vm := range holders(key, origins.daemon.settings.VM, live) {
			byHolder[vm] = append(byHolder[vm], berylorigin.Record{Key: key, Build: build})
		}
	}
	origins.send(byHolder)
}

// send sends records to their holders.
func (origins *origins) send(byHolder map[berylspoke.VMID][]berylorigin.Record) {
	for vm, records := range byHolder {
		for len(records) > 0 {
			count := min(len(records), berylorigin.MaxRecords)
			origins.daemon.transport.Send(vm, berylorigin.Began{Records: records[:count]})
			records = records[count:]
		}
	}
}

// tellStarted tells daemons that have started of the streams that run here, if they are to hold them.
func (origins *origins) tellStarted(started []berylspoke.VMID) {
	if len(started) == 0 {
		return
	}
	self, live := origins.daemon.settings.VM, origins.daemon.entries.Load().live
	byHolder := make(map[berylspoke.VMID][]berylorigin.Record)
	origins.mutex.Lock()
	for key, stream := range origins.running {
		if !stream.told {
			continue
		}
		for _, vm := range slices.Concat(berylorigin.Told(key, self, live), berylorigin.ToldLater(key, self, live)) {
			if slices.Contains(started, vm) {
				byHolder[vm] = append(byHolder[vm], berylorigin.Record{Key: key, Build: stream.build})
			}
		}
	}
	origins.mutex.Unlock()
	origins.send(byHolder)
}

// end records that a stream has ended, or was broken and may be taken up.
func (origins *origins) end(now time.Time, key berylorigin.Key, complete bool) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	stream := origins.running[key]
	if stream == nil {
		return
	}
	if complete {
		delete(origins.running, key)
		return
	}
	stream.brokenAt = now
}

// tick records as of when the targets are known, and tells holders of the streams that began
// while their service had one build only, if it has others now, and of those whose build turned
// out not to be certain.
func (origins *origins) tick(now, asOf time.Time) {
	untold := make(map[berylorigin.Key]berylspoke.Build)
	origins.mutex.Lock()
	origins.versions.Confirm(now, asOf, origins.daemon.versionDelay())
	settled := make(map[berylspoke.ServiceID]bool)
	for key, stream := range origins.running {
		if !stream.brokenAt.IsZero() && now.Sub(stream.brokenAt) > brokenRetention {
			delete(origins.running, key)
			continue
		}
		known, found := settled[stream.service]
		if !found {
			known = origins.settled(now, stream.service)
			settled[stream.service] = known
		}
		if stream.told || known && stream.build.Certain() {
			continue
		}
		stream.told = true
		untold[key], origins.unspread[key] = stream.build, stream.build
		origins.records.Add(now, berylorigin.Record{Key: key, Build: stream.build})
	}
	origins.mutex.Unlock()
	origins.inquire(now)
	if len(untold) > 0 {
		origins.tell(untold, berylorigin.Told)
		origins.daemon.meters.originsTold.Add(len(untold))
		origins.daemon.log.Info("told holders of the streams that run", zap.Int("streams", len(untold)))
	}
	origins.spread(now)
}

// spread tells the daemons that are told later of the streams that they do not know.
func (origins *origins) spread(now time.Time) {
	origins.mutex.Lock()
	if len(origins.unspread) == 0 || now.Sub(origins.spreadAt) < spreadInterval {
		origins.mutex.Unlock()
		return
	}
	unspread := origins.unspread
	origins.unspread, origins.spreadAt = make(map[berylorigin.Key]berylspoke.Build), now
	origins.mutex.Unlock()
	origins.tell(unspread, berylorigin.ToldLater)
}

// settled reports whether all daemons agree that one build began all streams of a service.
func (origins *origins) settled(now time.Time, service berylspoke.ServiceID) bool {
	inquired := !origins.receivedAt.IsZero() && now.Sub(origins.receivedAt) < inquiryMemory
	return !inquired && origins.versions.Settled(now, service)
}

// inquire asks peers for their account of the builds if this daemon lacks some.
func (origins *origins) inquire(now time.Time) {
	origins.mutex.Lock()
	due := origins.versions.Lacks(now) && now.Sub(origins.sentAt) >= inquiryInterval
	if due {
		origins.inquiry++
		origins.sentAt = now
	}
	number := origins.inquiry
	origins.mutex.Unlock()
	if !due {
		return
	}
	var peers []berylspoke.VMID
	for _, vm := range origins.daemon.entries.Load().live {
		if vm != origins.daemon.settings.VM {
			peers = append(peers, vm)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	origins.daemon.transport.Broadcast(peers[:min(len(peers), inquired)], []berylspoke.Message{berylorigin.Inquiry{Number: number}})
}

// account returns the answer to an inquiry of a peer, and false if this daemon lacks builds too.
func (origins *origins) account(now time.Time, inquiry berylorigin.Inquiry) (berylorigin.Account, bool) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.receivedAt = now
	account, complete := origins.versions.Account(now)
	account.Number = inquiry.Number
	return account, complete
}

// learn records the account of a peer, if it answers the last inquiry.
func (origins *origins) learn(now time.Time, from berylspoke.VMID, account berylorigin.Account) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	learnt := account.Number == origins.inquiry && origins.versions.Learn(now, origins.sentAt, account)
	if learnt {
		origins.daemon.meters.accountsLearnt.Inc()
		origins.daemon.log.Info("learnt which builds may have begun streams", zap.String("from", string(from)), zap.Int("gone", len(account.Gone)),
			zap.Duration("gapless", account.Gapless), zap.Bool("unbounded", account.Unbounded))
	}
}

// receive records what a peer tells of streams.
func (origins *origins) receive(now time.Time, began berylorigin.Began) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	for _, record := range began.Records {
		origins.records.Add(now, record)
	}
}

// find returns what this daemon itself knows of the origin of a stream that may have begun at a
// service, or at several if service is empty.
func (origins *origins) find(now time.Time, key berylorigin.Key, service berylspoke.ServiceID) berylorigin.Answer {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	answer := berylorigin.Answer{Key: key}
	if answer.Build, answer.Known = origins.records.Find(now, key); !answer.Known {
		answer.Build, answer.Only = origins.versions.Only(now, service)
	}
	return answer
}

// claim reports whether the continuation of a stream of which a record tells may go ahead of
// others.
func (origins *origins) claim(now time.Time, key berylorigin.Key) bool {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	return origins.records.Claim(now, key)
}

// serving returns the service and the version of a build that has targets.
func (origins *origins) serving(build berylspoke.Build) (berylspoke.ServiceID, berylspoke.SoftwareVersion, bool) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	return origins.versions.Service(build)
}

// count returns the number of records.
func (origins *origins) count() int {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	return origins.records.Len()
}

// beginSearch returns the channel on which the answers to questions about a stream arrive until
// endSearch.
func (origins *origins) beginSearch(key berylorigin.Key) chan originAnswer {
	answers := make(chan originAnswer, 4*askRounds)
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.searches[key] = append(origins.searches[key], answers)
	return answers
}

func (origins *origins) endSearch(key berylorigin.Key, answers chan originAnswer) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	var others []chan originAnswer
	for _, other := range origins.searches[key] {
		if other != answers {
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		delete(origins.searches, key)
		return
	}
	origins.searches[key] = others
}

// deliverAnswer passes an answer on to the searches for its stream.
func (origins *origins) deliverAnswer(from berylspoke.VMID, answer berylorigin.Answer) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	for _, answers := range origins.searches[answer.Key] {
		select {
		case answers <- originAnswer{from, answer}:
		default:
		}
	}
}

// targetsAsOf returns the time as of which all published targets are known, zero if they are
// not.
func (core *core) targetsAsOf() time.Time { return core.currency.CompleteAsOf(berylfeed.Targets) }
