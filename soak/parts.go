package berylsoak

// This file defines parts of prompts that crash engines, the requests that share them or what
// travels with them, and how both are judged.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"berylspoke/platform/beryldouble"
)

const (
	// partsFraction is the fraction of requests that hold a part that crashes engines or share
	// something with those, badFraction the fraction of them that hold one.
	partsFraction, badFraction = 0.4, 0.25
	// firstPart is the first part of all of them.
	firstPart = "f0"
	// companionFraction is the fraction of requests with a bad part that hold its companion.
	// Sound requests with a companion come companionDelay later.
	companionFraction = 0.95
	companionDelay    = 3 * time.Second
	// maxCrashPause bounds the time until an engine that crashed is back; backAtOnceProbability
	// is the probability that it is back before the next connection.
	maxCrashPause         = 2500 * time.Millisecond
	backAtOnceProbability = 0.2
	unframedProbability   = 0.5
	// crashesToBlame is the number of crashes under a part after which, and touchWindow later,
	// processes in touch send no more than maxLate requests with it.
	crashesToBlame, maxLate = 5, 3
	// minJudged is the number of requests from which the share that begins is judged, and
	// minSoundShare the least share, relative to that of requests that share nothing.
	minJudged, minSoundShare = 20, 0.5
)

// badParts are the parts that crash engines, from which fraction of the soak on each does, and its
// companion, which was not seen before.
var badParts = []badPart{{"bad0", "c0", 0.08}, {"bad1", "c1", 0.5}}

type badPart struct {
	part, companion string
	from            float64
}

// sharing is what a sound request shares with those that crash engines.
type sharing uint8

const (
	sharesNothing sharing = iota
	sharesKey
	sharesFirst
	sharesCompanion
	sharings
)

var sharingNames = [sharings]string{"nothing", "key", "first part", "companion"}

// makeFragile makes an engine crash under the bad parts that are due.
func (world *World) makeFragile(options *beryldouble.TargetOptions) {
	options.Unframed = rand.Float64() < unframedProbability
	options.CrashStyle = beryldouble.CrashStyle(rand.IntN(int(beryldouble.CrashStyles)))
	options.Crashes = func(parts []string) bool {
		return slices.ContainsFunc(badParts[:world.dueParts(0)], func(bad badPart) bool { return slices.Contains(parts, bad.part) })
	}
}

// dueParts returns the number of bad parts that have crashed engines for the given time.
func (world *World) dueParts(since time.Duration) int {
	passed := time.Since(world.judge.started) - since
	return len(badParts) - len(slices.DeleteFunc(slices.Clone(badParts), func(bad badPart) bool {
		return passed >= time.Duration(bad.from*float64(world.size.Seconds)*float64(time.Second))
	}))
}

// crashByPart crashes an engine, which is back later under a new id, or under its own at its
// address or another. One that is leaving does not come back.
func (world *World) crashByPart(found *target, crashed *beryldouble.Target) {
	world.judge.recordUnplannedFault()
	world.mutex.Lock()
	leaving := world.targets[crashed.ID()] != found
	if !leaving {
		delete(world.targets, crashed.ID())
	}
	world.mutex.Unlock()
	if leaving {
		found.relay.StopListening()
		crashed.Crash()
		return
	}
	options := crashed.Options()
	options.Boot++
	if rand.Float64() < backAtOnceProbability {
		crashed.Crash()
		go func() { _ = world.startTarget(&target{service: engineService, relay: found.relay}, options) }()
		return
	}
	found.relay.StopListening()
	crashed.Crash()
	go func() {
		time.Sleep(time.Duration(rand.Float64() * float64(maxCrashPause)))
		found.relay.Close()
		if rand.IntN(2) == 0 {
			crashed.Expire()
			_, _ = world.addTarget(engineService)
			return
		}
		next := &target{service: engineService}
		world.mutex.Lock()
		options.Advertise = world.targetOptions(next).Advertise
		world.mutex.Unlock()
		_ = world.startTarget(next, options)
	}()
}

// nextOfParts draws a request that holds a bad part, or a sound one that shares something with
// those, with the attempt that describes it.
func (generator *generator) nextOfParts() (beryldouble.Request, *attempt) {
	generator.requestCount++
	random, attempt := generator.random, &attempt{path: pathDraft}
	if random.IntN(2) == 0 {
		attempt.path = pathResume
	}
	organisation, segments := 0, firstPart+":300,"
	due, known := generator.world.dueParts(0), generator.world.dueParts(companionDelay)
	switch {
	case due > 0 && random.Float64() < badFraction:
		bad := badParts[random.IntN(due)]
		attempt.badPart = bad.part
		if random.Float64() < companionFraction {
			segments += bad.companion + ":200,"
		}
		segments += bad.part + ":200,"
	default:
		attempt.shares = sharing(random.IntN(int(sharings)))
		if known == 0 && attempt.shares == sharesCompanion {
			attempt.shares = sharesFirst
		}
		switch attempt.shares {
		case sharesNothing:
			organisation, segments = 1+random.IntN(organisationCount-1), "f1:300,"
		case sharesKey:
			segments = "f2:300,"
		case sharesCompanion:
			segments += badParts[random.IntN(known)].companion + ":200,"
		}
	}
	attempt.organisation = organisationName(organisation)
	id := fmt.Sprintf("%08x", generator.requestCount)
	return beryldouble.Request{
		ID: id, Host: "h.example", APIKey: callerKey(organisation, 0), Method: http.MethodPost, Path: attempt.path,
		BodyBytes: 800, InputTokens: 900, OutputTokens: 96, Segments: segments + id + ":200", TimeRemaining: 8 * time.Second,
	}, attempt
}

// callOfParts sends a request, and once more after a failure if it may run twice.
func (world *World) callOfParts(caller *beryldouble.Caller, request beryldouble.Request, first *attempt) {
	id := request.ID
	for try := range 2 {
		request.ID = fmt.Sprintf("%s-%d", id, try)
		address := caller.Pick(context.Background(), time.Now())
		if address == "" {
			return
		}
		attempt := *first
		attempt.processRun, attempt.sent = world.currentRun(address), time.Now()
		world.judge.recordSent(request.ID, &attempt)
		answer := caller.Send(context.Background(), address, request)
		world.judge.recordAnswer(answer)
		if try == 0 {
			world.judge.recordSound(&attempt, answer)
		}
		if answer.Succeeded() || !answer.NotRun() && !attempt.repeatable() {
			return
		}
		time.Sleep(min(answer.RetryAfter, time.Second))
	}
}

// reached is a request with a bad part that reached an engine.
type reached struct {
	at         time.Time
	processRun string
}

// begins is the first attempt of a sound request, and whether its answer began.
type begins struct {
	sent   time.Time
	shares sharing
	began  bool
}

// partsRecord holds what became of parts that crash engines.
type partsRecord struct {
	reached map[string][]reached
	// lastSent is when the last request with each bad part was sent.
	lastSent map[string]time.Time
	sound    []begins
	summary  []string
}

func newPartsRecord() partsRecord {
	return partsRecord{reached: make(map[string][]reached), lastSent: make(map[string]time.Time)}
}

// recordReached records that an attempt reached an engine. One with a bad part crashes it.
func (judge *Judge) recordReached(attempt *attempt, at time.Time) {
	if attempt.badPart != "" {
		judge.parts.reached[attempt.badPart] = append(judge.parts.reached[attempt.badPart], reached{at, attempt.processRun})
	}
}

// recordSound records the first attempt of a request at a process in touch.
func (judge *Judge) recordSound(attempt *attempt, answer beryldouble.Result) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	record := &judge.parts
	if attempt.badPart != "" {
		record.lastSent[attempt.badPart] = latest(record.lastSent[attempt.badPart], attempt.sent)
		return
	}
	if !judge.undisturbed(processName(attempt.processRun), attempt.sent, answer.Ended) {
		return
	}
	events, _ := answer.Events()
	record.sound = append(record.sound, begins{attempt.sent, attempt.shares, len(events) > 0 || answer.Succeeded()})
}

func latest(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// checkParts checks how many requests with a bad part reach engines once five have crashed under
// it, and that sound requests begin half as often, at least, as those that share nothing.
func (judge *Judge) checkParts() {
	record := &judge.parts
	for _, bad := range badParts {
		all := record.reached[bad.part]
		if len(all) == 0 {
			continue
		}
		slices.SortFunc(all, func(one, other reached) int { return one.at.Compare(other.at) })
		fifth := all[min(crashesToBlame, len(all))-1].at
		late := 0
		for _, reached := range all {
			if reached.at.After(fifth.Add(touchWindow)) && judge.undisturbed(processName(reached.processRun), reached.at, reached.at) {
				late++
			}
		}
		record.summary = append(record.summary, fmt.Sprintf("%s: %d reached engines, %d late", bad.part, len(all), late))
		if late > maxLate {
			judge.addViolation("parts that crash engines are refused", "%d requests with %s reached engines, %d of them late, at processes in touch", len(all), bad.part, late)
		}
		judge.checkSound(bad.part, fifth.Add(2*touchWindow), record.lastSent[bad.part])
	}
}

// checkSound checks the shares of sound requests that began between two times.
func (judge *Judge) checkSound(part string, from, until time.Time) {
	var sent, began [sharings]int
	for _, request := range judge.parts.sound {
		if request.sent.After(from) && request.sent.Before(until) {
			sent[request.shares]++
			if request.began {
				began[request.shares]++
			}
		}
	}
	judge.parts.summary = append(judge.parts.summary, fmt.Sprintf("%s: sound requests that began, sharing nothing, key, first part, companion: %v of %v", part, began, sent))
	if sent[sharesNothing] < minJudged {
		return
	}
	usual := float64(began[sharesNothing]) / float64(sent[sharesNothing])
	for shares := sharesKey; shares < sharings; shares++ {
		if sent[shares] >= minJudged && float64(began[shares]) < minSoundShare*usual*float64(sent[shares]) {
			judge.addViolation("sound requests begin beside parts that crash engines", "%s: %d of %d that share %s began, %d of %d that share nothing",
				part, began[shares], sent[shares], sharingNames[shares], began[sharesNothing], sent[sharesNothing])
		}
	}
}
