package berylsoak

// This file defines the guarantees that are checked.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// drainGracePeriod is the time after which a draining target gets no new requests.
	// The guarantee is four seconds; the other six allow for busy machines.
	drainGracePeriod = 10 * time.Second
	// drainBound is the time after which a draining target gets no new requests from processes
	// in touch.
	drainBound = 3 * time.Second
	// maxViolations bounds the recorded violations.
	maxViolations = 20
)

// Violation is one violated guarantee; At is the time since the start of the soak.
type Violation struct {
	At        time.Duration
	Guarantee string
	Detail    string
}

func (violation Violation) String() string {
	return fmt.Sprintf("%7.3f s %s: %s", violation.At.Seconds(), violation.Guarantee, violation.Detail)
}

// attempt is one attempt of a caller, with its runs and its answer.
type attempt struct {
	path, organisation string
	// processRun names the run of the process that the attempt was sent to.
	processRun string
	sent       time.Time
	runs       []beryldouble.Run
	answered   bool
	answer     beryldouble.Result
	// planned is set if no unplanned fault had started when the attempt was sent.
	planned bool
	// stream is the stream that the attempt is a try of, nil if it is none; takesUp is set
	// unless the stream is new.
	stream  *stream
	takesUp bool
	// badPart is the part of the prompt that crashes engines, empty if there is none; shares is
	// what a sound request shares with such ones.
	badPart string
	shares  sharing
	// limit is the time limit of the caller, bodyDelay the time until the request is whole, and work
	// the time that it takes, where processes are stopped in series.
	limit, bodyDelay, work time.Duration
	// route is the route of a shape that the request is sent to, nil if there is no shape.
	route *shapeRoute
	// whole is when a target had last written the whole answer, zero if none has.
	whole time.Time
}

// repeatable reports whether the request may run more than once.
func (attempt *attempt) repeatable() bool {
	if attempt.route != nil {
		return attempt.route.repeatable()
	}
	return strings.HasPrefix(attempt.path, pathLook) || strings.HasPrefix(attempt.path, pathResume) || strings.HasPrefix(attempt.path, pathAdded)
}

// Judge checks what callers and targets observe against the guarantees.
type Judge struct {
	mutex    sync.Mutex
	started  time.Time
	attempts map[string]*attempt
	// drainingSince has the times at which targets were published as draining. Until
	// storeOutageUntil no process reaches the store.
	drainingSince    map[string]time.Time
	storeOutageUntil time.Time
	// unplanned is set once the first unplanned fault starts.
	unplanned bool
	newest    configState
	// observed maps each run of a process to what its answers showed of its configuration.
	observed map[string]observedConfig
	// followed is what any process has shown of its configuration.
	followed   followed
	violations []Violation
	served     int
	// advice holds what targets asked for in answers.
	advice  adviceRecord
	streams streamCounts
	// parts holds what became of parts that crash engines.
	parts partsRecord
	// stops are the planned stops by the run of a process, stopCounts what became of the requests that
	// they met, and timeouts the timeouts of routes.
	stops      map[string]stopRecord
	stopCounts stopCounts
	timeouts   []timeoutRecord
	// shaped is set where a file describes the world: then endings are the attempts without a complete
	// answer of a target, events the signals to processes and the configurations for all, and
	// targetEnds the times at which targets broke off what they did.
	shaped     bool
	endings    []ending
	events     map[string][]occurrence
	targetEnds map[string]time.Time
	summary    []string
	// held counts the periods in which a process used up its quota of processor time.
	held int
	// lateExits counts the processes that were killed at the end of the time to stop within.
	lateExits int
	// oddEntries is set if another writer leaves entries in the list of targets.
	oddEntries bool
	// answerCounts are the numbers of answers by outcomeLabel.
	answerCounts map[string]int
}

func newJudge() *Judge {
	return &Judge{
		started: time.Now(), attempts: make(map[string]*attempt), drainingSince: make(map[string]time.Time),
		observed: make(map[string]observedConfig), answerCounts: make(map[string]int),
		events: make(map[string][]occurrence), targetEnds: make(map[string]time.Time),
		stops: make(map[string]stopRecord), advice: newAdviceRecord(), parts: newPartsRecord(),
	}
}

func (judge *Judge) addViolation(guarantee, detail string, values ...any) {
	if len(judge.violations) < maxViolations {
		judge.violations = append(judge.violations, Violation{time.Since(judge.started), guarantee, fmt.Sprintf(detail, values...)})
	}
}

// recordExit records an unexpected exit of a process, or a failure to restart it.
func (judge *Judge) recordExit(vm string, err error) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.addViolation("no unexpected exit", "%s exited or did not restart: %v", vm, err)
}

// recordUnplannedFault records that unplanned faults have started.
func (judge *Judge) recordUnplannedFault() {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.unplanned = true
}

// recordStoreOutage records that no process reaches the store until the given time,
// so that none can learn of a draining target.
func (judge *Judge) recordStoreOutage(until time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.storeOutageUntil = until
}

// recordPublished records the state of the newest configuration.
func (judge *Judge) recordPublished(newest configState) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.newest = newest
}

func (judge *Judge) newestPublished() configState {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.newest
}

// recordDraining records that a target was published as draining.
func (judge *Judge) recordDraining(target string, now time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.drainingSince[target] = now
}

// recordSent records an attempt before it is sent.
func (judge *Judge) recordSent(id string, attempt *attempt) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	attempt.planned = !judge.unplanned
	judge.attempts[id] = attempt
}

// recordRun records the start of a run at a target.
func (judge *Judge) recordRun(run beryldouble.Run) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	attempt := judge.attempts[run.RequestID]
	if attempt == nil {
		judge.addViolation("only sent requests run", "%s ran %q", run.Target, run.RequestID)
		return
	}
	attempt.runs = append(attempt.runs, run)
	if run.Organisation != attempt.organisation || run.Path != attempt.path {
		judge.addViolation("runs as sent", "%s ran for %s at path %s, sent by %s to path %s", run.RequestID, run.Organisation, run.Path, attempt.organisation, attempt.path)
	}
	if len(attempt.runs) > 1 && !attempt.repeatable() {
		judge.addViolation("runs at most once", "%s ran at %s and %s", run.RequestID, attempt.runs[0].Target, run.Target)
	}
	if attempt.answered && attempt.answer.NotRun() && !attempt.repeatable() {
		judge.addViolation("no run after notRun", "%s was answered %d and then ran at %s", run.RequestID, attempt.answer.Status, run.Target)
	}
	if at, draining := judge.drainingSince[run.Target]; draining && run.Started.Sub(at) > drainBound && judge.undisturbed(processName(attempt.processRun), at, run.Started) {
		judge.addViolation("no new request at a draining target from a process in touch", "%s ran at %s, which has been draining for %s, through %s", run.RequestID, run.Target, run.Started.Sub(at), attempt.processRun)
	}
	if at, draining := judge.drainingSince[run.Target]; draining && run.Started.Sub(at) > drainGracePeriod && judge.storeOutageUntil.Before(at) {
		judge.addViolation("no new request at a draining target", "%s ran at %s, which has been draining for %s", run.RequestID, run.Target, run.Started.Sub(at))
	}
}

// recordAnswer records the end of an attempt at its caller.
func (judge *Judge) recordAnswer(answer beryldouble.Result) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	attempt := judge.attempts[answer.Request.ID]
	attempt.answered, attempt.answer = true, answer
	judge.answerCounts[outcomeLabel(answer)]++
	if answer.Succeeded() {
		judge.served++
	}
	judge.checkEvents(attempt, answer)
	if err := answer.Verify(); err != nil {
		judge.addViolation("complete answer to the right request", "%v", err)
	}
	if answer.NotRun() && len(attempt.runs) > 0 && !attempt.repeatable() {
		judge.addViolation("no run before notRun", "%s ran at %s and was then answered %d", answer.Request.ID, attempt.runs[0].Target, answer.Status)
	}
	// A caller that left, or whose own deadline has passed, ended the request itself. On a CPU-starved
	// machine this happens without a fault of the fleet.
	cut := answer.Err != nil && !errors.Is(answer.Err, context.DeadlineExceeded) && !left(answer) || answer.Status == http.StatusBadGateway
	if judge.shaped {
		judge.recordEnding(attempt, answer)
	} else {
		judge.checkStop(attempt, answer)
	}
	judge.checkOdd(attempt, answer)
	if cut && attempt.limit == 0 && attempt.planned && !judge.unplanned && len(attempt.runs) > 0 {
		judge.addViolation("planned operations cut no request", "%s ran at %s and failed: %d, %v", answer.Request.ID, attempt.runs[0].Target, answer.Status, answer.Err)
	}
	if answer.Leaving {
		judge.recordLeavingTold(attempt, answer)
	}
	judge.checkConfiguration(attempt, answer)
	judge.checkFollowed(attempt, answer)
}

// outcomeLabel returns the label of an answer in the summary.
func outcomeLabel(answer beryldouble.Result) string {
	switch {
	case answer.Status == 0:
		return "no answer"
	case left(answer):
		return "left"
	case answer.Err != nil:
		return "cut"
	default:
		return fmt.Sprint(answer.Status)
	}
}

// checkConfiguration compares an answer with those that the same run of a process gave
// before the request was sent: a process never returns to an older configuration.
func (judge *Judge) checkConfiguration(attempt *attempt, answer beryldouble.Result) {
	observed := judge.observed[attempt.processRun]
	addedRoute, revocable := strings.HasPrefix(attempt.path, pathAdded), revokedIndex(attempt.path)
	if addedRoute && answer.Status == http.StatusNotFound && observed.addedRoute.before(attempt.sent) {
		judge.addViolation("configuration never reverts", "%s no longer knows the added route", attempt.processRun)
	}
	if answer.Succeeded() && observed.revokedKeys[revocable].before(attempt.sent) {
		judge.addViolation("configuration never reverts", "%s accepts a revoked key again", attempt.processRun)
	}
	switch {
	case addedRoute && answer.Succeeded():
		observed.addedRoute = observed.addedRoute.or(answer.Ended)
	case answer.Status == http.StatusUnauthorized:
		observed.revokedKeys[revocable] = observed.revokedKeys[revocable].or(answer.Ended)
	}
	judge.observed[attempt.processRun] = observed
}

// observation is the time of a first observation, zero if there was none.
type observation struct{ at time.Time }

func (first observation) before(at time.Time) bool { return !first.at.IsZero() && at.After(first.at) }

func (first observation) or(at time.Time) observation {
	if first.at.IsZero() {
		return observation{at}
	}
	return first
}

// observedConfig is what the answers of one run of a process showed of its configuration.
type observedConfig struct {
	addedRoute  observation
	revokedKeys [organisationCount + 1]observation
}

// revocableMarker marks the paths of requests that carry a revocable key; the number
// of the organisation follows it.
const revocableMarker = "revocable-"

// revokedIndex returns the number of the organisation whose second key a request
// carries, or organisationCount if it carries no revocable key.
func revokedIndex(path string) int {
	_, after, found := strings.Cut(path, revocableMarker)
	index := organisationCount
	if found {
		_, _ = fmt.Sscan(after, &index)
	}
	return index
}

// Result is the result of a soak.
type Result struct {
	Violations   []Violation
	Requests     int
	Served       int
	AnswerCounts map[string]int
	Streams      streamCounts
	Stops        stopCounts
	// Parts says what became of parts that crash engines, Summary of attempts without a complete answer.
	Parts   []string
	Summary []string
}

func (judge *Judge) result(logs processLogs) Result {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.checkAdvice()
	judge.checkShares()
	judge.checkParts()
	judge.checkEndings(logs)
	return Result{judge.violations, len(judge.attempts), judge.served, judge.answerCounts, judge.streams, judge.stopCounts, judge.parts.summary, judge.summary}
}

// servedCount returns the number of requests served so far.
func (judge *Judge) servedCount() int {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return judge.served
}
