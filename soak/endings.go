package berylsoak

// This file defines how attempts that end without a complete answer are judged and described.

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// configurationTime is how long a configuration that is sent may explain what happens.
	configurationTime = 4 * time.Second
	// maxKeptCuts is the number of requests from kept connections that may end without an answer
	// beside unplanned faults.
	maxKeptCuts = 3
	// maxLogLines bounds the lines of a process's log that describe an attempt.
	maxLogLines = 4
)

// occurrence is a signal to a process, or a configuration for all.
type occurrence struct {
	name string
	at   time.Time
}

func (judge *Judge) recordEvent(process, name string, at time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.events[process] = append(judge.events[process], occurrence{name, at})
}

// recordWhole records that a target has written the whole answer to a request.
func (judge *Judge) recordWhole(id string, at time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	if attempt := judge.attempts[id]; attempt != nil {
		attempt.whole = at
	}
}

// recordTargetEnd records that a target breaks off what it is doing.
func (judge *Judge) recordTargetEnd(name string, at time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.targetEnds[name] = at
}

// recordUnplanned records an unplanned disturbance of a process.
func (judge *Judge) recordUnplanned(process string, until time.Time) {
	judge.recordDisturbed(unplannedName(process), until)
}

func unplannedName(process string) string { return "unplanned " + process }

// excuse says why an attempt may end without a complete answer, empty if it may not.
type excuse string

// excusedByStop is the excuse of a request that a target is at work on as a stop ends.
const excusedByStop excuse = "at work at the end of the stop"

// ending is an attempt that ended without a complete answer of a target.
type ending struct {
	attempt *attempt
	answer  beryldouble.Result
}

func (judge *Judge) recordEnding(attempt *attempt, answer beryldouble.Result) {
	own := answer.Status >= http.StatusInternalServerError && !answer.Sealed && !answer.NotRun()
	if answer.Err != nil && !left(answer) || own {
		judge.endings = append(judge.endings, ending{attempt, answer})
	}
}

// recordUnresolved records that a caller knew no address.
func (judge *Judge) recordUnresolved() {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.answerCounts["no address"]++
}

// recordLateExit records that a process was killed at the end of its time to stop within.
func (judge *Judge) recordLateExit() {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.lateExits++
}

// lastEvent returns the last signal or configuration of a process before a time.
func (judge *Judge) lastEvent(process string, at time.Time) occurrence {
	var last occurrence
	for _, name := range []string{process, everyone} {
		for _, event := range judge.events[name] {
			if event.at.Before(at) && event.at.After(last.at) {
				last = event
			}
		}
	}
	return last
}

// describe describes an ending on one line.
func (judge *Judge) describe(ending ending, lines []string) string {
	attempt, answer, trace := ending.attempt, ending.answer, ending.answer.Trace
	since := "no signal before"
	if last := judge.lastEvent(processName(attempt.processRun), answer.Ended); !last.at.IsZero() {
		since = fmt.Sprintf("%s %s before", last.name, answer.Ended.Sub(last.at).Round(time.Millisecond))
	}
	if stop, stopping := judge.stops[attempt.processRun]; stopping {
		since += fmt.Sprintf(", sent %s after SIGTERM", attempt.sent.Sub(stop.at).Round(time.Millisecond))
	}
	kept := "new"
	if trace.Kept {
		kept = fmt.Sprintf("kept, idle for %s", trace.Idle.Round(time.Millisecond))
	}
	events, _ := answer.Events()
	return fmt.Sprintf("%7.3f s %s %s at %s: %s, closed by %s, status %d, %d runs of %s, took %s, whole for %s, connection %s, read %d bytes and %d events, %s; log: %s (%v)",
		answer.Ended.Sub(judge.started).Seconds(), answer.Request.ID, attempt.path, attempt.processRun, trace.Stage, trace.Closing, answer.Status,
		len(attempt.runs), attempt.work, answer.Ended.Sub(attempt.sent).Round(time.Millisecond), sinceWhole(answer).Round(time.Millisecond), kept, trace.Read,
		len(events), since, strings.Join(lines, " | "), answer.Err)
}

// sinceWhole returns how long a request had been sent whole as its attempt ended.
func sinceWhole(answer beryldouble.Result) time.Duration {
	if answer.Trace.Sent.IsZero() {
		return 0
	}
	return answer.Ended.Sub(answer.Trace.Sent)
}

// excuseOf returns why an attempt may end without a complete answer.
func (judge *Judge) excuseOf(attempt *attempt, answer beryldouble.Result) excuse {
	least, _ := judge.limits(attempt, answer.Ended)
	took := answer.Ended.Sub(attempt.sent)
	process := processName(attempt.processRun)
	stop, stopping := judge.stops[attempt.processRun]
	switch {
	case answer.Trace.Stage == beryldouble.StageConnecting:
		return "not connected"
	case took >= least:
		return "time limit"
	case judge.advice.disturbedBetween(unplannedName(process), attempt.sent.Add(-touchWindow), answer.Ended):
		return "unplanned disturbance"
	case len(attempt.runs) == 0 && sinceWhole(answer) <= lossSlack:
		// A process that has not read all that has arrived resets the connection as it closes it.
		return excuse("crossed the close, " + string(answer.Trace.Closing))
	case judge.targetEnded(attempt, answer.Ended):
		return "target ended"
	case answer.Err == nil && !strings.Contains(string(answer.Body), "draining"):
		return "own error"
	case stopping && judge.mayBeCut(attempt, answer, stop):
		return excusedByStop
	}
	return ""
}

// targetEnded reports whether a target that ran an attempt broke it off.
func (judge *Judge) targetEnded(attempt *attempt, ended time.Time) bool {
	for _, run := range attempt.runs {
		if at, known := judge.targetEnds[run.Target]; known && at.Before(ended) {
			return true
		}
	}
	return false
}

// besideSignal reports whether an attempt met a signal to its process.
func (judge *Judge) besideSignal(attempt *attempt, answer beryldouble.Result) bool {
	if stop, stopping := judge.stops[attempt.processRun]; stopping && answer.Ended.After(stop.at) {
		return true
	}
	for _, event := range judge.events[processName(attempt.processRun)] {
		if answer.Ended.After(event.at) && attempt.sent.Before(event.at.Add(configurationTime)) {
			return true
		}
	}
	return false
}

// besideConfiguration reports whether an attempt ended while a configuration may come in force.
func (judge *Judge) besideConfiguration(answer beryldouble.Result) bool {
	return slices.ContainsFunc(judge.events[everyone], func(event occurrence) bool {
		return answer.Ended.After(event.at) && answer.Ended.Before(event.at.Add(configurationTime))
	})
}

// checkEndings judges all attempts that ended without a complete answer of a target, and describes them.
func (judge *Judge) checkEndings(logs processLogs) {
	if !judge.shaped {
		return
	}
	excuses, ownErrors := make(map[excuse]int), make(map[string]int)
	var unexplained []string
	var latest time.Duration
	for _, ending := range judge.endings {
		attempt, answer := ending.attempt, ending.answer
		lines := logs.lines[answer.Request.ID]
		excuse := judge.excuseOf(attempt, answer)
		if excuse != "" {
			excuses[excuse]++
			if excuse == excusedByStop {
				latest = max(latest, attempt.sent.Sub(judge.stops[attempt.processRun].at))
			}
			if answer.Err == nil {
				ownErrors[fmt.Sprintf("%d %s: %s", answer.Status, strings.TrimSpace(string(answer.Body)), errorOf(lines))]++
			}
			continue
		}
		text := judge.describe(ending, lines)
		switch {
		case judge.besideSignal(attempt, answer):
			judge.addViolation("a planned operation ends no request", "%s", text)
		case judge.unplanned:
			unexplained = append(unexplained, text)
		case judge.besideConfiguration(answer):
			judge.addViolation("a configuration ends no request", "%s", text)
		default:
			judge.addViolation("a request is answered", "%s", text)
		}
	}
	judge.summary = append(judge.summary, fmt.Sprintf("attempts without a complete answer: %d, of these excused: %v", len(judge.endings), excuses))
	if excuses[excusedByStop] > 0 {
		judge.summary = append(judge.summary, fmt.Sprintf("of those cut at the end of a stop, the last was sent %s after SIGTERM", latest.Round(time.Millisecond)))
	}
	for text, count := range ownErrors {
		judge.summary = append(judge.summary, fmt.Sprintf("%d times %s", count, text))
	}
	if len(unexplained) > maxKeptCuts {
		judge.addViolation("requests are answered beside unplanned faults", "%d are not", len(unexplained))
	}
	judge.summary = append(judge.summary, unexplained...)
	if judge.lateExits > 0 {
		judge.summary = append(judge.summary, fmt.Sprintf("%d times a process was killed as it had not stopped in time", judge.lateExits))
	}
	if judge.held > 0 {
		judge.summary = append(judge.summary, fmt.Sprintf("%d times a process used up its quota of processor time", judge.held))
	}
	for _, line := range logs.alarms {
		judge.addViolation("no alarm in a log", "%s", line)
	}
}

// errorOf returns the error in the lines of an attempt.
func errorOf(lines []string) string {
	text := "no error logged"
	for _, line := range lines {
		if _, after, found := strings.Cut(line, `"error":"`); found {
			text, _, _ = strings.Cut(after, `"`)
		}
	}
	return addressPattern.ReplaceAllString(text, "ADDRESS")
}

// addressPattern matches the addresses in errors.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// processLogs holds what the logs of all processes say of attempts, and the lines that tell of a fault of the
// program.
type processLogs struct {
	lines  map[string][]string
	alarms []string
}

// readLogs reads the logs in a folder for what they say of attempts.
func readLogs(folder string, wanted map[string]bool) processLogs {
	logs := processLogs{lines: make(map[string][]string)}
	paths, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, 4<<20)
		for scanner.Scan() {
			line := scanner.Bytes()
			for _, alarm := range []string{"DATA RACE", "panic:", "fatal error:", `"msg":"message of the core failed"`, `"msg":"request failed"`} {
				if bytes.Contains(line, []byte(alarm)) {
					logs.alarms = append(logs.alarms, filepath.Base(path)+": "+string(line))
				}
			}
			_, after, _ := bytes.Cut(line, []byte(`"request":"`))
			id, _, found := bytes.Cut(after, []byte(`"`))
			if found && wanted[string(id)] && len(logs.lines[string(id)]) < maxLogLines {
				logs.lines[string(id)] = append(logs.lines[string(id)], string(line))
			}
		}
		_ = file.Close()
	}
	return logs
}

// endingIDs returns the ids of the attempts without a complete answer.
func (judge *Judge) endingIDs() map[string]bool {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	ids := make(map[string]bool)
	for _, ending := range judge.endings {
		ids[ending.answer.Request.ID] = true
	}
	return ids
}
