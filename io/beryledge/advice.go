package beryledge

// This file defines how daemons follow what targets ask of their callers in answers.

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"berylspoke"
)

// adviceKind is the metric label of what an answer asks.
type adviceKind uint8

const (
	leavingAdvice adviceKind = iota
	restAdvice
	unusableAdvice
	adviceKinds
)

// adviceNames are the metric labels.
var adviceNames = [adviceKinds]string{"leaving", "rest", "unusable"}

// sendableTargets holds the runs of targets that requests may be sent to. Requests check it
// right before they are sent: they may have waited since they were given their target.
type sendableTargets struct {
	mutex sync.Mutex
	// accepting are the runs that the core sends to.
	accepting map[berylspoke.TargetRun]bool
	// left are the runs whose answers said that they leave, until the core knows it too.
	left map[berylspoke.TargetRun]bool
	// restUntil is until when runs asked this daemon to send them nothing.
	restUntil map[berylspoke.TargetRun]time.Time
}

func newSendableTargets() *sendableTargets {
	return &sendableTargets{
		accepting: make(map[berylspoke.TargetRun]bool), left: make(map[berylspoke.TargetRun]bool),
		restUntil: make(map[berylspoke.TargetRun]time.Time),
	}
}

// accepts reports whether a request may be sent to a target now.
func (sendable *sendableTargets) accepts(now time.Time, run berylspoke.TargetRun) bool {
	sendable.mutex.Lock()
	defer sendable.mutex.Unlock()
	return sendable.accepting[run] && !sendable.left[run] && !now.Before(sendable.restUntil[run])
}

// set applies what the core decides.
func (sendable *sendableTargets) set(run berylspoke.TargetRun, accepts bool) {
	sendable.mutex.Lock()
	defer sendable.mutex.Unlock()
	if accepts {
		sendable.accepting[run] = true
	} else {
		delete(sendable.accepting, run)
	}
}

// leave closes a target at once, before the core knows that it leaves.
func (sendable *sendableTargets) leave(run berylspoke.TargetRun) {
	sendable.mutex.Lock()
	defer sendable.mutex.Unlock()
	sendable.left[run] = true
}

// confirmLeft closes a target that the core knows to leave.
func (sendable *sendableTargets) confirmLeft(run berylspoke.TargetRun) {
	sendable.mutex.Lock()
	defer sendable.mutex.Unlock()
	delete(sendable.accepting, run)
	delete(sendable.left, run)
}

// rest closes a target until the given time.
func (sendable *sendableTargets) rest(now time.Time, run berylspoke.TargetRun, until time.Time) {
	sendable.mutex.Lock()
	defer sendable.mutex.Unlock()
	for other, end := range sendable.restUntil {
		if !now.Before(end) {
			delete(sendable.restUntil, other)
		}
	}
	if until.After(sendable.restUntil[run]) {
		sendable.restUntil[run] = until
	}
}

// advised says what a target asked of this daemon in an answer.
type advised struct {
	target  berylspoke.TargetRun
	at      time.Time
	leaving bool
	rest    time.Duration
}

// applyAdvice applies what a target asked for.
func (core *core) applyAdvice(now time.Time, message advised) {
	if message.leaving {
		isNew := core.gate.RecordLeaving(message.target, message.at)
		core.daemon.sendable.confirmLeft(message.target)
		if isNew {
			core.logLeaving(now, message.target, "answer")
		}
	}
	if message.rest > 0 && core.gate.RecordRest(now, message.target, message.at.Add(message.rest)) {
		core.daemon.log.Info("target rests", zap.String("target", string(message.target.ID)),
			zap.Duration("rest", message.rest), zap.Duration("age", now.Sub(message.at)))
	}
}

// logRested logs the targets whose rest has ended.
func (core *core) logRested() {
	for _, run := range core.gate.TakeRested() {
		core.daemon.log.Info("target has rested", zap.String("target", string(run.ID)))
	}
}

// closeLeft closes the targets that leave as a peer reports.
func (core *core) closeLeft(now time.Time, from berylspoke.VMID, runs []berylspoke.TargetRun) {
	for _, run := range runs {
		core.daemon.sendable.confirmLeft(run)
		core.logLeaving(now, run, string(from))
	}
}

func (core *core) logLeaving(now time.Time, run berylspoke.TargetRun, source string) {
	core.daemon.log.Info("target leaves", zap.String("target", string(run.ID)), zap.Int64("started", run.Started),
		zap.String("from", source), zap.Duration("age", now.Sub(core.gate.LeavingSince(run))))
}

// recordAdvice records what an answer of a target to the current attempt asks. An answer
// without the request's id may come from another target that now has the address.
func (call *call) recordAdvice(target berylspoke.Target, info berylspoke.ResponseInfo) {
	if info.ID != call.info.ID && (info.Leaving || info.Rest > 0) {
		info.Leaving, info.Rest = false, 0
		info.Unusable++
	}
	call.advice = info
	meters := call.daemon.meters
	meters.advice[unusableAdvice].Add(info.Unusable)
	if !info.Leaving && info.Rest == 0 {
		return
	}
	now := time.Now()
	if info.Leaving {
		meters.advice[leavingAdvice].Inc()
		call.daemon.sendable.leave(target.Run())
	}
	if info.Rest > 0 {
		meters.advice[restAdvice].Inc()
		call.daemon.sendable.rest(now, target.Run(), now.Add(info.Rest))
	}
	call.daemon.send(advised{target: target.Run(), at: now, leaving: info.Leaving, rest: info.Rest})
}

// adviceFields returns the log fields of what the last answer asked.
func (call *call) adviceFields() []zap.Field {
	var fields []zap.Field
	if call.advice.Leaving {
		fields = append(fields, zap.Bool("leaving", true))
	}
	if call.advice.Rest > 0 {
		fields = append(fields, zap.Duration("rest", call.advice.Rest))
	}
	if call.advice.Unusable > 0 {
		fields = append(fields, zap.Int("unusable", call.advice.Unusable))
	}
	return fields
}
