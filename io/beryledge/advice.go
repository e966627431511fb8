package beryledge

// This file defines how daemons follow what targets ask of their callers in answers.

import (
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

// recordAdvice records what an answer to the current attempt asks. An answer without the
// request's id may come from another target that now has the address.
func (call *call) recordAdvice(info berylspoke.ResponseInfo) {
	if info.ID != call.info.ID && (info.Leaving || info.Rest > 0) {
		info.Leaving, info.Rest = false, 0
		info.Unusable++
	}
	call.advice = info
	meters := call.daemon.meters
	meters.advice[unusableAdvice].Add(info.Unusable)
	if info.Leaving {
		meters.advice[leavingAdvice].Inc()
	}
	if info.Rest > 0 {
		meters.advice[restAdvice].Inc()
	}
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
