package berylgate

// This file defines what targets ask of their callers in answers, and how daemons share
// which targets leave. An answer tells it before the store does.

import (
	"fmt"
	"time"

	"berylspoke"
)

const (
	// maxLeavings bounds the leaving targets in one report.
	maxLeavings = 16
	// leavingReports is the number of reports in which a daemon repeats that a target
	// leaves, since reports may be lost.
	leavingReports = 3
	// adviceMemory is how long a run's advice is kept once the run is no longer published.
	// An entry that lapsed while the store was down returns as it was before.
	adviceMemory = 10 * time.Minute
)

// LeavingReport says that one run of a target accepts no more requests, and the age of the
// answer that said so.
type LeavingReport struct {
	Target, Run uint32
	Age         time.Duration
}

// advice is what one run of a target asked for in its answers.
type advice struct {
	// leavingSince is when an answer first said that the target leaves, zero if none did.
	leavingSince time.Time
	// reports is the number of reports in which this daemon passed that on.
	reports int
	// restUntil is until when the target asked this daemon to send it nothing.
	restUntil time.Time
	// unpublishedAt is when the run was found to be no longer published, zero while it is.
	unpublishedAt time.Time
}

// hashOfRun returns the hash by which reports tell the runs of a target apart.
func hashOfRun(run berylspoke.TargetRun) uint32 { return hashOf(fmt.Sprint(run.Started)) }

// adviceOf returns the advice of a run, and creates it if needed.
func (gate *Gate) adviceOf(run berylspoke.TargetRun) *advice {
	found := gate.advice[run]
	if found == nil {
		found = new(advice)
		gate.advice[run] = found
	}
	return found
}

// LeavingSince returns when an answer to any daemon first said that a run of a target
// leaves, zero if none did.
func (gate *Gate) LeavingSince(run berylspoke.TargetRun) time.Time {
	if found := gate.advice[run]; found != nil {
		return found.leavingSince
	}
	return time.Time{}
}

// Leaving reports whether an answer to any daemon has said that a run of a target leaves.
func (gate *Gate) Leaving(run berylspoke.TargetRun) bool { return !gate.LeavingSince(run).IsZero() }

// RecordLeaving records that an answer said at a given time that a run of a target leaves.
// It reports whether that was unknown. A run never takes it back: what the store says of it
// later may be older.
func (gate *Gate) RecordLeaving(run berylspoke.TargetRun, at time.Time) bool {
	known := gate.adviceOf(run)
	if !known.leavingSince.IsZero() {
		return false
	}
	known.leavingSince = at
	if target := gate.targets[run.ID]; target != nil && target.Run() == run {
		gate.reindex(target, func() { target.Draining = true })
		gate.leavingNews.add(target)
	}
	return true
}

// leavingReports returns the targets that were lately found to leave.
func (gate *Gate) leavingReports(now time.Time) []LeavingReport {
	var reports []LeavingReport
	gate.leavingNews.update(func(target *target) bool {
		known := gate.adviceOf(target.Run())
		if len(reports) == maxLeavings {
			return true
		}
		known.reports++
		reports = append(reports, LeavingReport{
			Target: target.hash, Run: hashOfRun(target.Run()), Age: now.Sub(known.leavingSince),
		})
		return known.reports < leavingReports
	})
	return reports
}

// receiveLeavings applies the leaving targets that a peer reports, and returns the runs of
// those that were not known to leave.
func (gate *Gate) receiveLeavings(now time.Time, reports []LeavingReport) []berylspoke.TargetRun {
	var found []berylspoke.TargetRun
	for _, item := range reports {
		target := gate.byHash[item.Target]
		if target == nil || hashOfRun(target.Run()) != item.Run {
			continue
		}
		if run := target.Run(); gate.RecordLeaving(run, now.Add(-max(item.Age, 0))) {
			found = append(found, run)
		}
	}
	return found
}

// expireAdvice drops the advice of runs that have not been published for long.
func (gate *Gate) expireAdvice(now time.Time) {
	for run, known := range gate.advice {
		target := gate.targets[run.ID]
		switch published := target != nil && target.Run() == run; {
		case published:
			known.unpublishedAt = time.Time{}
		case known.unpublishedAt.IsZero():
			known.unpublishedAt = now
		case now.Sub(known.unpublishedAt) >= adviceMemory:
			delete(gate.advice, run)
		}
	}
}
