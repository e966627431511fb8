package berylgate

// This file defines how daemons share which targets do not answer. In a large fleet a
// daemon sends one target a request in several seconds, so that on its own evidence each
// would lose several requests before it avoids the target.

import (
	"slices"
	"time"

	"berylspoke/core/berylmember"
)

const (
	// silenceMaxAge is how long a target that was silent is avoided without further
	// evidence.
	silenceMaxAge = 5 * time.Second
	// evidenceResolution is the difference by which evidence from a peer must be newer
	// than what is known. Passed on from daemon to daemon, evidence becomes younger by the
	// network latency of each hop.
	evidenceResolution = 500 * time.Millisecond
	// maxSilences bounds the silences in one report.
	maxSilences = 16
	// silenceNewsInterval is the minimum time between two reports that are sent early for
	// a silent target. Engines that lose single answers would cause one for each.
	silenceNewsInterval = time.Second
	// trialSenders is the number of daemons that send requests to a silent target, one at
	// a time, to observe when it answers again.
	trialSenders = 2
)

// SilenceReport says that a target did not answer, and whether it answered later.
type SilenceReport struct {
	Target uint32
	// Silent is the age of the newest evidence of silence, Answered that of the newest
	// answer to any daemon.
	Silent, Answered time.Duration
}

// evidence is what all daemons observed of a target's answers.
type evidence struct {
	silentAt, answeredAt time.Time
	// tries is set if this daemon sends to the target while it is silent.
	tries bool
	// reported is set once the silence was in a report of this daemon, and answerReported
	// once the answer that ended it was.
	reported, answerReported bool
}

// latestAnswer returns when the target last answered any daemon, as far as is known.
func (target *target) latestAnswer() time.Time {
	latest := target.lastAnswer
	for _, at := range []time.Time{target.latestLoad.at, target.evidence.answeredAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// silent reports whether the newest evidence of the target is that it did not answer.
func (target *target) silent(now time.Time) bool {
	silentAt := target.evidence.silentAt
	return silentAt.After(target.latestAnswer()) && now.Sub(silentAt) < silenceMaxAge
}

// avoided reports whether requests are not sent to the target for its silence.
func (target *target) avoided(now time.Time) bool {
	return target.silent(now) && (!target.evidence.tries || target.running > 0)
}

// recordSilence records evidence of silence. If the target was not known to be silent, the
// next report to the peers may be early.
func (gate *Gate) recordSilence(now time.Time, target *target, at time.Time) {
	before := target.silent(now)
	if at.After(target.evidence.silentAt.Add(evidenceResolution)) {
		target.evidence.reported, target.evidence.answerReported = false, false
	}
	if at.After(target.evidence.silentAt) {
		target.evidence.silentAt = at
	}
	gate.silences.add(target)
	if !before && target.silent(now) {
		gate.silenceNews = true
		gate.chooseTrial(target)
	}
}

// checkSilence records the newest attempt at each target that has been silent for too long.
func (gate *Gate) checkSilence(now time.Time, target *target) {
	if at := target.checkSilence(now); !at.IsZero() {
		gate.recordSilence(now, target, at)
	}
}

// silenceReports returns the silences that were not reported yet, or that ended since.
func (gate *Gate) silenceReports(now time.Time) []SilenceReport {
	var reports []SilenceReport
	gate.silences.update(func(target *target) bool {
		known := &target.evidence
		if now.Sub(known.silentAt) >= silenceMaxAge {
			return false
		}
		silent := target.silent(now)
		if silent && known.reported || !silent && known.answerReported || len(reports) == maxSilences {
			return true
		}
		known.reported, known.answerReported = true, !silent
		reports = append(reports, SilenceReport{
			Target: target.hash, Silent: now.Sub(known.silentAt), Answered: max(now.Sub(target.latestAnswer()), 0),
		})
		return true
	})
	return reports
}

// SilenceNews reports whether a report should be sent early because a target was found
// silent since the last one.
func (gate *Gate) SilenceNews(now time.Time) bool {
	return gate.silenceNews && now.Sub(gate.lastNews) >= silenceNewsInterval
}

// receiveSilences applies the silences that a peer reports.
func (gate *Gate) receiveSilences(now time.Time, reports []SilenceReport) {
	for _, item := range reports {
		target := gate.byHash[item.Target]
		if target == nil {
			continue
		}
		known := &target.evidence
		if at := now.Add(-max(item.Answered, 0)); at.After(known.answeredAt.Add(evidenceResolution)) {
			known.answeredAt = at
		}
		if at := now.Add(-max(item.Silent, 0)); at.After(known.silentAt.Add(evidenceResolution)) {
			gate.recordSilence(now, target, at)
		}
	}
}

// chooseTrial sets whether this daemon is one of those that send to a silent target.
func (gate *Gate) chooseTrial(target *target) {
	chosen := berylmember.Ranked("trial "+string(target.ID), gate.nearestVMs(target), trialSenders)
	target.evidence.tries = slices.Contains(chosen, gate.options.VM)
}
