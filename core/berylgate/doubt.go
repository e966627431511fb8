package berylgate

// This file defines when it is doubtful that a target is the run that was published last.

import (
	"time"

	"berylspoke"
)

// publishDelay is how long after its start a target may publish itself.
const publishDelay = 300 * time.Millisecond

// SetTargetsAsOf sets the time as of which all published targets are known, zero if they are not.
func (gate *Gate) SetTargetsAsOf(asOf time.Time) { gate.targetsAsOf = asOf }

// doubtful reports whether the target may have restarted under its id, with another version,
// without this daemon knowing it yet: it refused connections since.
func (gate *Gate) doubtful(target *target) bool {
	return !target.refusedAt.IsZero() && !gate.targetsAsOf.After(target.refusedAt.Add(publishDelay))
}

// certainBefore returns the time before which connections were opened that lead to the run of a
// target that was published last: those to an earlier run are broken.
func (gate *Gate) certainBefore() time.Time {
	if gate.targetsAsOf.IsZero() {
		return time.Time{}
	}
	return gate.targetsAsOf.Add(-publishDelay)
}

// certainBuild returns the build of a target, zero if it is doubtful.
func (gate *Gate) certainBuild(target *target) berylspoke.Build {
	if gate.doubtful(target) {
		return 0
	}
	return target.build
}
