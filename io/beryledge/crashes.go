package beryledge

// This file defines how requests under which targets crash are recognised and reported.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylquarantine"
)

const (
	// crashCheckTimeout bounds a check whether a target has crashed, crashCheckWait the time for
	// which a request waits for it before it is sent to another one, and endCheckWait the time for which
	// the end of an answer waits.
	crashCheckTimeout = 2 * time.Second
	crashCheckWait    = 500 * time.Millisecond
	endCheckWait      = 2*crashCheckTimeout + 100*time.Millisecond
	// probeRetryDelay is the delay after which a target is asked once more that took a connection
	// and did not answer, as one may that is about to end.
	probeRetryDelay = 30 * time.Millisecond
	// beginGrace is the time from the first event of an answer for which a crash of its target may
	// be due to what the target began to answer.
	beginGrace = time.Second
	// maxSeenRuns bounds the targets of which a run was seen that is not the published one.
	maxSeenRuns = 1024
)

// crashed reports that a target crashed while it had a request.
type crashed struct {
	request *berylgate.Request
	crash   berylquarantine.Crash
}

// closedByTarget reports whether an attempt failed because its connection was closed.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// crashFinding is what a crash check found.
type crashFinding uint8

const (
	// foundNothing means that the target did not answer, foundOpen that it does not tell its run.
	foundNothing crashFinding = iota
	foundOpen
	foundAlive
	foundCrashed
	crashFindings
)

// crashFindingNames are the metric labels.
var crashFindingNames = [crashFindings]string{"unknown", "open", "alive", "crashed"}

// crashCheck is a check whether a target has crashed that had closed a connection.
type crashCheck struct {
	// done is closed once the finding is known, and run identifies the run that crashed.
	done    chan struct{}
	finding crashFinding
	run     berylquarantine.TargetRun
	// next is the check of the same address that follows, nil if there is none.
	next *crashCheck
}

// wait waits for the finding, at most for the given time.
func (check *crashCheck) wait(ctx context.Context, most time.Duration) crashFinding {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-check.done:
		return check.finding
	case <-timer.C:
	case <-ctx.Done():
	}
	return foundNothing
}

// seenRun is a run of a target that is not the published one.
type seenRun struct {
	started int64
	at      time.Time
}

// crashChecks are a daemon's checks whether targets have crashed.
type crashChecks struct {
	daemon *Daemon
	mutex  sync.Mutex
	// running has the check of each address that is under way.
	running map[string]*crashCheck
	seen    map[berylspoke.TargetID]seenRun
}

func newCrashChecks(daemon *Daemon) *crashChecks {
	return &crashChecks{daemon: daemon, running: make(map[string]*crashCheck), seen: make(map[berylspoke.TargetID]seenRun)}
}

// begin begins a check of a target that closed the connection of a request, which was sent at the
// given time. While another one is under way, it follows that: a target that was found alive may
// have crashed since.
func (checks *crashChecks) begin(target berylspoke.Target, sent time.Time) *crashCheck {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	before := checks.running[target.Address]
	if before != nil && before.next != nil {
		return before.next
	}
	check := &crashCheck{done: make(chan struct{})}
	if before == nil {
		checks.running[target.Address] = check
	} else {
		before.next = check
	}
	go checks.run(check, before, target, sent)
	return check
}

// run finds whether a target has crashed, after the check before, if there is one.
func (checks *crashChecks) run(check, before *crashCheck, target berylspoke.Target, sent time.Time) {
	if before != nil {
		<-before.done
	}
	if before != nil && before.finding == foundCrashed {
		check.finding, check.run = before.finding, before.run
	} else {
		check.finding, check.run = checks.find(target, sent)
		checks.daemon.meters.crashChecks[check.finding].Inc()
	}
	checks.mutex.Lock()
	if check.next != nil {
		checks.running[target.Address] = check.next
	} else {
		delete(checks.running, target.Address)
	}
	checks.mutex.Unlock()
	close(check.done)
}

// find asks a target for its run: one that has crashed refuses connections or has another run.
func (checks *crashChecks) find(target berylspoke.Target, sent time.Time) (crashFinding, berylquarantine.TargetRun) {
	ctx, cancel := context.WithTimeout(checks.daemon.ctx, crashCheckTimeout)
	defer cancel()
	pool, request := checks.daemon.pool, checks.daemon.identityRequest(target.Address)
	probed := pool.Probe(ctx, target.Address, request)
	if !probed.Refused && probed.Status == 0 {
		time.Sleep(probeRetryDelay)
		probed = pool.Probe(ctx, target.Address, request)
	}
	started, known := checks.daemon.dialect.Started(probed.Body)
	switch {
	case probed.Refused:
		return foundCrashed, targetRun(target.ID, "", target.Started)
	case probed.Status == 0:
		return foundNothing, 0
	case probed.Status != http.StatusOK || !known:
		return foundOpen, 0
	case started == target.Started || sent.After(checks.seenSince(target.ID, started)):
		return foundAlive, 0
	}
	return foundCrashed, targetRun(target.ID, "before ", started)
}

// seenSince returns since when a run of a target that is not the published one is known.
func (checks *crashChecks) seenSince(id berylspoke.TargetID, started int64) time.Time {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	if known := checks.seen[id]; known.started == started {
		return known.at
	}
	if len(checks.seen) >= maxSeenRuns {
		clear(checks.seen)
	}
	now := time.Now()
	checks.seen[id] = seenRun{started, now}
	return now
}

// targetRun identifies the run of a target that started at a time, or the one before it.
func targetRun(id berylspoke.TargetID, before string, started int64) berylquarantine.TargetRun {
	return berylquarantine.TargetRun(xxhash.Sum64String(fmt.Sprint(id, " ", before, started)))
}

// closedCheck is the check of a target that closed the connection of an attempt. The crash is the
// one that there was if the target has crashed.
type closedCheck struct {
	check *crashCheck
	crash berylquarantine.Crash
}

// checkCrash checks whether a target that closed the connection of an attempt has crashed. If the
// answer had hardly begun, all that the request holds is suspect, and the core is told before it
// is asked for another target. Otherwise the request is suspect as a whole if it is not served in
// the end.
func (call *call) checkCrash(decision berylgate.Decision) {
	closed := closedCheck{call.daemon.crashChecks.begin(decision.Target, call.sent), berylquarantine.Crash{
		At: time.Now(), Sent: call.sent, Organisation: organisationHash(call.organisation), Digests: call.request.Digests,
	}}
	if !call.begunAt.IsZero() && time.Since(call.begunAt) > beginGrace {
		closed.crash.Digests = []berylquarantine.Digest{whole(call.request)}
		call.crashChecks = append(call.crashChecks, closed)
		return
	}
	if closed.check.wait(call.ctx, crashCheckWait) == foundCrashed {
		closed.report(call.daemon, call.request)
		return
	}
	go closed.report(call.daemon, call.request)
}

// report reports a crash to the core once it is found.
func (closed closedCheck) report(daemon *Daemon, request *berylgate.Request) {
	<-closed.check.done
	if closed.check.finding == foundCrashed {
		closed.crash.Run = closed.check.run
		daemon.send(crashed{request, closed.crash})
	}
}

// provenAt returns a time at which the request was answered by a target that lived on, as an
// attempt with an outcome shows, zero if it does not: the answer may have brought nothing.
func (call *call) provenAt(outcome berylgate.Outcome) time.Time {
	switch {
	case outcome != berylgate.Succeeded:
		return time.Time{}
	case call.route.Kind == berylspoke.Streaming:
		return call.begunAt
	}
	return time.Now()
}

// blamed reports whether the request is refused since it was decided on, as it crashes targets.
func (call *call) blamed() bool {
	return !call.request.Alone && call.daemon.verdicts.Load().Refuse(call.request.Digests, organisationHash(call.organisation)) != nil
}

// checkEnd returns an error if an answer that ended with its connection was broken off by a crash
// of its target, or may have been: nothing else shows that it is complete. A refusal of the check's
// connection may come late, so that it waits for as long as the check takes, also behind another one.
func (call *call) checkEnd(decision berylgate.Decision) error {
	if !call.unframed {
		return nil
	}
	switch call.daemon.crashChecks.begin(decision.Target, call.sent).wait(call.ctx, endCheckWait) {
	case foundCrashed:
		return errors.Wrap(io.ErrUnexpectedEOF, "answer ended as its target crashed")
	case foundNothing:
		return errors.Wrap(io.ErrUnexpectedEOF, "answer ended and its target is not known to be alive")
	}
	return nil
}

// partsField returns the log field of the parts of the prompt that other prompts may have.
func (call *call) partsField() zap.Field {
	shared := call.info.Segments[:max(len(call.info.Segments)-1, 0)]
	ids := make([]string, len(shared))
	for i, segment := range shared {
		ids[i] = strconv.FormatUint(segment.ID, 16)
	}
	return zap.Strings("parts", ids)
}

// brokenFields returns the log fields of an attempt that was broken off.
func (call *call) brokenFields() []zap.Field {
	fields := []zap.Field{call.partsField(), zap.Bool("unframed", call.unframed)}
	if !call.begunAt.IsZero() {
		fields = append(fields, zap.Duration("begunFor", time.Since(call.begunAt)))
	}
	return fields
}

// reportCrashes reports to the core which targets crashed under a request that had begun to be
// answered and was not served in the end.
func (call *call) reportCrashes() {
	if call.served {
		return
	}
	for _, closed := range call.crashChecks {
		go closed.report(call.daemon, call.request)
	}
}

// submit decides on a request, unless it is refused as it crashes targets.
func (core *core) submit(now time.Time, request *berylgate.Request) berylgate.Decision {
	ruling, retryAfter := core.quarantine.Judge(now, request.Digests, organisationHash(request.Organisation))
	if ruling == berylquarantine.Refuse {
		return berylgate.Decision{Refusal: &berylspoke.Refusal{
			Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonCrashesTargets, RetryAfter: retryAfter,
		}}
	}
	request.Alone = ruling == berylquarantine.SendAlone
	if request.Alone {
		core.daemon.log.Info("request is sent alone to tell suspects apart", zap.String("request", string(request.ID)), digestsField(request.Digests))
	}
	decision := core.gate.Submit(now, request)
	if decision.Refusal != nil {
		core.endTrial(request)
	}
	return decision
}

// endTrial lets other requests follow one that was sent alone.
func (core *core) endTrial(request *berylgate.Request) {
	if request.Alone {
		request.Alone = false
		core.quarantine.Ended(request.Digests)
	}
}

func (core *core) recordCrash(now time.Time, message crashed) {
	crash := message.crash
	core.quarantine.Crashed(now, crash)
	core.daemon.log.Info("target crashed under a request", zap.String("request", string(message.request.ID)),
		zap.String("run", fmt.Sprintf("%016x", uint64(crash.Run))), digestsField(crash.Digests), zap.Duration("age", now.Sub(crash.At)))
}

// publishVerdicts makes the verdicts known to the requests on their way to targets, and logs those
// that are new.
func (core *core) publishVerdicts(now time.Time) {
	before, verdicts := core.daemon.verdicts.Load(), core.quarantine.Verdicts(now)
	if before == verdicts {
		return
	}
	core.daemon.verdicts.Store(verdicts)
	for _, verdict := range verdicts.List {
		if !before.Has(verdict) {
			core.daemon.log.Info("requests are refused as they crash targets", digestsField(verdict.Digests),
				zap.Int("rivals", len(verdict.Rivals)), zap.Int("crashes", verdict.Crashes), zap.Duration("lastCrash", now.Sub(verdict.Newest)))
		}
	}
	for _, verdict := range before.List {
		if !verdicts.Has(verdict) {
			core.daemon.log.Info("requests are no longer refused for crashes", digestsField(verdict.Digests))
		}
	}
}

// sendEvidence sends the evidence that peers may lack.
func (core *core) sendEvidence(now time.Time) {
	core.quarantine.Expire(now)
	for _, parcel := range core.quarantine.Unsent(now) {
		to := parcel.To
		if to == nil {
			to = core.membership().links
		}
		core.daemon.transport.Broadcast(to, []berylspoke.Message{parcel.Message})
	}
}
