package berylquarantine

// This file defines how suspects are blamed and which requests are refused for it.

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"berylspoke/core/berylmember"
)

const (
	// retrialInterval is the time after the last crash after which a request that is refused may
	// be tried once, as targets may have been repaired. It doubles with each further crash, up to
	// maxDoublings times.
	retrialInterval = Retention
	maxDoublings    = 4
	// trialRamp is the time after which twice as many daemons may try a request that a verdict
	// refuses early. What one of them learns reaches the others within it.
	trialRamp = time.Second
	// maxTrial bounds the time for which a request runs alone.
	maxTrial = 10 * time.Second
	// trialRetryAfter is the delay after which one that runs alone has ended, most likely.
	trialRetryAfter = 300 * time.Millisecond
)

// earlyTrials are the times from the last crash of a verdict after which requests that it refuses are
// tried, one at a time, by its crashes beyond CrashThreshold. A verdict on what all requests of an
// organisation hold may be due to crashes of other causes, and only such a request can tell. The last
// one is only for verdicts with rivals.
var earlyTrials = [...]time.Duration{time.Second, 6 * time.Second, 3 * time.Second}

// Ruling says what is done with a request.
type Ruling uint8

// The rulings.
const (
	// Send means that nothing is held against the request.
	Send Ruling = iota
	// SendAlone means that the request may be sent while no other one with its suspects is. Its
	// end must be reported with Ended.
	SendAlone
	// Refuse means that the request must not be sent.
	Refuse
)

// Verdict blames suspects for crashes.
type Verdict struct {
	// Digests are the suspects that the crashes do not tell apart, in ascending order.
	Digests []Digest
	// Rivals are other suspects that most of the crashes had.
	Rivals []Digest
	// Crashes is the number of crashes, Newest the time of the last.
	Crashes int
	Newest  time.Time
	// organisations are those of the requests that crashed targets.
	organisations map[OrganisationHash]bool
	// retrialAfter is the time from Newest until a request is tried.
	retrialAfter time.Duration
	crashes      []*crash
}

// Verdicts are all verdicts of a daemon at a time. They do not change.
type Verdicts struct {
	List []Verdict
	// explained are the crashes that they explain.
	explained map[TargetRun]bool
}

// Refuse returns the verdict by which requests of an organisation with the digests are refused, nil
// if there is none.
func (verdicts *Verdicts) Refuse(digests []Digest, organisation OrganisationHash) *Verdict {
	for i := range verdicts.List {
		verdict := &verdicts.List[i]
		if verdict.shared(digests) == len(verdict.Digests) && verdict.concerns(organisation) {
			return verdict
		}
	}
	return nil
}

// Has reports whether there is a verdict on the same suspects.
func (verdicts *Verdicts) Has(other Verdict) bool {
	return slices.ContainsFunc(verdicts.List, func(verdict Verdict) bool { return slices.Equal(verdict.Digests, other.Digests) })
}

// shared returns the number of the verdict's suspects that are among the digests.
func (verdict *Verdict) shared(digests []Digest) int {
	count := 0
	for _, digest := range verdict.Digests {
		if slices.Contains(digests, digest) {
			count++
		}
	}
	return count
}

// concerns reports whether requests of an organisation are refused: callers choose what they call
// the parts of their prompts, so that one organisation alone must not get those of another
// refused.
func (verdict *Verdict) concerns(organisation OrganisationHash) bool {
	return verdict.organisations[organisation] || len(verdict.organisations) > 1
}

// Judge decides on a request, whose digests end with that of the request as a whole. If it is refused,
// the duration is when it is worth trying again.
func (quarantine *Quarantine) Judge(now time.Time, digests []Digest, organisation OrganisationHash) (Ruling, time.Duration) {
	verdicts := quarantine.Verdicts(now)
	if len(verdicts.List) == 0 {
		return Send, 0
	}
	if verdict := verdicts.Refuse(digests, organisation); verdict != nil {
		if remaining, due := quarantine.trial(now, verdict, digests); !due {
			return Refuse, remaining
		}
	}
	alone := false
	for i := range verdicts.List {
		for _, digest := range verdicts.List[i].Digests {
			if !slices.Contains(digests, digest) {
				continue
			}
			alone = true
			if sent, running := quarantine.trials[digest]; running && now.Sub(sent) <= maxTrial {
				return Refuse, trialRetryAfter
			}
		}
	}
	if !alone {
		return Send, 0
	}
	for _, digest := range digests {
		quarantine.trials[digest] = now
	}
	return SendAlone, 0
}

// Ended records that a request that was sent alone is no longer at a target.
func (quarantine *Quarantine) Ended(digests []Digest) {
	for _, digest := range digests {
		delete(quarantine.trials, digest)
	}
}

// trial reports whether this daemon may try a request that a verdict refuses, or else when one may.
func (quarantine *Quarantine) trial(now time.Time, verdict *Verdict, digests []Digest) (time.Duration, bool) {
	remaining, due := quarantine.retrial(now, verdict)
	if due {
		return 0, true
	}
	after, early := quarantine.earlyTrial(verdict, digests)
	if !early {
		return remaining, false
	}
	passed := now.Sub(verdict.Newest) - after
	if passed < 0 {
		return -passed, false
	}
	ramp := int(passed / trialRamp)
	if count := 1 << min(ramp, 16); count < len(quarantine.members) {
		key := fmt.Sprint("trial ", verdict.Digests[0], " ", uint64(verdict.crashes[len(verdict.crashes)-1].run))
		if !slices.Contains(berylmember.Ranked(key, quarantine.members, count), quarantine.self) {
			return time.Duration(ramp+1)*trialRamp - passed, false
		}
	}
	return 0, true
}

// earlyTrial returns the time from the last crash of a verdict after which a request that it refuses may
// tell whether it is wrong, and false if it cannot. What is as a whole what crashed targets tells
// nothing new, nor does a request with a suspect that could have caused the last crash in place of those
// that are blamed. One with a suspect of several of the crashes waits for others.
func (quarantine *Quarantine) earlyTrial(verdict *Verdict, digests []Digest) (time.Duration, bool) {
	beyond := verdict.Crashes - CrashThreshold
	if last := len(earlyTrials) - 1; beyond > last || beyond == last && len(verdict.Rivals) == 0 {
		return 0, false
	}
	if len(digests) == 0 || slices.Contains(verdict.Digests, digests[len(digests)-1]) {
		return 0, false
	}
	after := earlyTrials[beyond]
	newest := verdict.crashes[len(verdict.crashes)-1]
	for _, digest := range digests {
		if slices.Contains(verdict.Digests, digest) {
			continue
		}
		shared := quarantine.evidence(digest).among(verdict.crashes)
		if slices.Contains(shared, newest) {
			return 0, false
		}
		if len(shared) > 1 {
			after = 2 * earlyTrials[beyond]
		}
	}
	return after, true
}

// retrial reports whether this daemon may try a request that a verdict refuses. In each interval
// one daemon may.
func (quarantine *Quarantine) retrial(now time.Time, verdict *Verdict) (time.Duration, bool) {
	passed := now.Sub(verdict.Newest)
	if passed < verdict.retrialAfter {
		return verdict.retrialAfter - passed, false
	}
	interval := passed / verdict.retrialAfter
	key := fmt.Sprint("retrial ", verdict.Digests[0], " ", int64(interval))
	chosen := berylmember.Ranked(key, quarantine.members, 1)
	return verdict.retrialAfter*(interval+1) - passed, slices.Contains(chosen, quarantine.self)
}

// evidence returns the crashes that count against a suspect.
func (quarantine *Quarantine) evidence(digest Digest) evidence {
	return newEvidence(digest, after(quarantine.index[digest], quarantine.clearedAt(digest)))
}

func byTime(one, other *crash) int {
	return cmp.Or(one.at.Compare(other.at), cmp.Compare(one.run, other.run))
}

// Verdicts returns what follows from the evidence.
func (quarantine *Quarantine) Verdicts(now time.Time) *Verdicts {
	if !quarantine.changed {
		return quarantine.verdicts
	}
	quarantine.verdicts = blame(quarantine.sortEvidence())
	quarantine.changed = false
	return quarantine.verdicts
}

// evidence is crashes under one suspect, the oldest first.
type evidence struct {
	digest  Digest
	crashes []*crash
}

func newEvidence(digest Digest, crashes []*crash) evidence {
	sorted := slices.Clone(crashes)
	slices.SortFunc(sorted, byTime)
	return evidence{digest, sorted}
}

// sortEvidence returns the evidence on each suspect of several crashes, in the order of the digests.
// It makes what all daemons have to know due to be told: the suspects of successive crashes, and
// the clearings without which peers may blame a suspect.
func (quarantine *Quarantine) sortEvidence() []evidence {
	var list []evidence
	for digest := range quarantine.repeated {
		toPeers := newEvidence(digest, after(quarantine.index[digest], quarantine.cleared[digest].at))
		counting := quarantine.evidence(digest)
		if len(counting.crashes) < len(toPeers.crashes) && toPeers.successive() >= spreadThreshold {
			quarantine.addCleared(digest, quarantine.begunAt(digest), true)
		}
		for _, crash := range counting.crashes {
			crash.weight = max(crash.weight, len(counting.crashes))
		}
		if counting.successive() >= spreadThreshold {
			quarantine.spread(counting)
			list = append(list, counting)
		}
	}
	slices.SortFunc(list, func(one, other evidence) int { return cmp.Compare(one.digest, other.digest) })
	return list
}

// spread makes evidence due to be told to all daemons.
func (quarantine *Quarantine) spread(evidence evidence) {
	for _, crash := range evidence.crashes {
		for suspect, suspicion := range crash.suspects {
			if suspect.Digest == evidence.digest && !suspicion.spread {
				suspicion.spread, suspicion.forAll = true, announcements
				quarantine.urgent = true
			}
		}
	}
}

// after returns the crashes that a clearing at a time does not cover.
func after(crashes []*crash, cleared time.Time) []*crash {
	if cleared.IsZero() {
		return crashes
	}
	var left []*crash
	for _, crash := range crashes {
		if crash.at.After(cleared.Add(datingError)) {
			left = append(left, crash)
		}
	}
	return left
}

// blame returns the verdicts that explain crashes: each blames the suspects with the most crashes
// that those before it leave unexplained.
func blame(suspects []evidence) *Verdicts {
	verdicts := &Verdicts{explained: make(map[TargetRun]bool)}
	for {
		var best []evidence
		most := CrashThreshold - 1
		for _, suspect := range suspects {
			if len(suspect.crashes) < max(most, CrashThreshold) {
				continue
			}
			left := evidence{suspect.digest, verdicts.unexplained(suspect.crashes)}
			count := left.successive()
			switch {
			case count > most, count == most && len(best) > 0 && len(left.crashes) > len(best[0].crashes):
				best, most = []evidence{left}, count
			case count == most && len(best) > 0 && slices.Equal(left.crashes, best[0].crashes):
				best = append(best, left)
			}
		}
		if len(best) == 0 {
			return verdicts
		}
		verdicts.add(best, rivals(best, suspects), most)
	}
}

// rivals returns the suspects that may have caused most of the crashes for which others are blamed, if
// the rest are too few to blame anything: targets crash for other causes too, and what all
// requests of an organisation hold is there whenever one does.
func rivals(blamed, suspects []evidence) []Digest {
	var found []Digest
	most := 0
	crashes := blamed[0].crashes
	for _, suspect := range suspects {
		if slices.ContainsFunc(blamed, func(other evidence) bool { return other.digest == suspect.digest }) {
			continue
		}
		shared := len(suspect.among(crashes))
		if rest := len(crashes) - shared; rest >= shared || rest >= CrashThreshold || shared < most {
			continue
		}
		if shared > most {
			found, most = nil, shared
		}
		found = append(found, suspect.digest)
	}
	return found
}

// among returns those of the given crashes that are evidence.
func (evidence evidence) among(crashes []*crash) []*crash {
	var found []*crash
	for _, crash := range crashes {
		if slices.Contains(evidence.crashes, crash) {
			found = append(found, crash)
		}
	}
	return found
}

func (verdicts *Verdicts) unexplained(crashes []*crash) []*crash {
	var left []*crash
	for _, crash := range crashes {
		if !verdicts.explained[crash.run] {
			left = append(left, crash)
		}
	}
	return left
}

// add adds a verdict on suspects that have the same crashes, of which some were successive, and on
// their rivals.
func (verdicts *Verdicts) add(suspects []evidence, rivals []Digest, successive int) {
	verdict := Verdict{
		Rivals: rivals, organisations: make(map[OrganisationHash]bool),
		retrialAfter: retrialInterval << min(successive-CrashThreshold, maxDoublings), crashes: suspects[0].crashes,
	}
	for _, suspect := range suspects {
		verdict.Digests = append(verdict.Digests, suspect.digest)
	}
	if len(verdict.crashes) == CrashThreshold {
		// Without one crash of another cause the rivals would be as suspect.
		verdict.Digests = append(verdict.Digests, rivals...)
		slices.Sort(verdict.Digests)
	}
	for _, crash := range suspects[0].crashes {
		verdicts.explained[crash.run] = true
		verdict.Crashes++
		verdict.Newest = latest(verdict.Newest, crash.at)
		for suspect := range crash.suspects {
			if suspect.Digest == suspects[0].digest {
				verdict.organisations[suspect.Organisation] = true
			}
		}
	}
	verdicts.List = append(verdicts.List, verdict)
}

// successive returns the number of crashes of which each is under a request that was sent after
// the one before. Targets that crash together for another reason have much in common, but nothing
// that was sent in between.
func (evidence evidence) successive() int {
	count := 0
	var last time.Time
	var counted *suspicion
	for _, crash := range evidence.crashes {
		found := crash.suspicion(evidence.digest)
		switch {
		case counted == nil, found.sent.After(last.Add(minSeparation)):
		case found.reporter != counted.reporter || found.ordinal <= counted.ordinal:
			continue
		}
		count++
		last, counted = crash.at, found
	}
	return count
}

// suspicion returns the suspicion under which the last request with a digest was sent to the target
// that crashed.
func (crash *crash) suspicion(digest Digest) *suspicion {
	var last *suspicion
	for suspect, suspicion := range crash.suspects {
		if suspect.Digest == digest && (last == nil || suspicion.sent.After(last.sent)) {
			last = suspicion
		}
	}
	return last
}
