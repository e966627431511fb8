package berylorigin

// This file defines what is known of the builds of each service, and which of them may have
// begun streams.

import (
	"time"

	"berylspoke"
)

// sighting is what is known of one build of a service.
type sighting struct {
	service berylspoke.ServiceID
	version berylspoke.SoftwareVersion
	// runs is the number of its published targets; goneAt is when the last of them went.
	runs   int
	goneAt time.Time
	// since is a time before any daemon could know the build, seen when this one learned of it.
	since, seen time.Time
}

// Versions tracks the builds of the services.
//
// A build that appears gets no streams from a daemon until the delay has passed since the daemon
// saw it. So a daemon whose replica is complete as of a time within the delay knows every
// build that has begun a stream.
type Versions struct {
	delay  time.Duration
	builds map[berylspoke.Build]*sighting
	// targets maps the published targets to their builds.
	targets  map[berylspoke.TargetID]berylspoke.Build
	services map[berylspoke.ServiceID][]berylspoke.Build
	// asOf is the time as of which all targets are known, zero if they are not.
	asOf time.Time
	// gapless is since when no change was missed, here or by the daemon of an account; unbounded
	// is set if that is the start of the whole fleet, before which there were no streams. from is
	// as of when this daemon itself has missed no change.
	gapless   time.Time
	from      time.Time
	unbounded bool
	started   bool
}

// NewVersions returns what is known before any target. A whole fleet that starts for the first
// time has begun no streams.
func NewVersions(firstStart bool) *Versions {
	return &Versions{
		builds: make(map[berylspoke.Build]*sighting), targets: make(map[berylspoke.TargetID]berylspoke.Build),
		services: make(map[berylspoke.ServiceID][]berylspoke.Build), unbounded: firstStart,
	}
}

// age returns how long ago a time was by the steady clock or the clock of the day, whichever
// says more: the steady clock does not count the time for which the VM was suspended.
func age(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// Set records a published target.
func (versions *Versions) Set(now time.Time, target berylspoke.Target) {
	build := target.Build()
	before, restarted := versions.targets[target.ID]
	if restarted && before == build {
		return
	}
	versions.Remove(now, target.ID)
	versions.targets[target.ID] = build
	known := versions.builds[build]
	if known == nil {
		known = &sighting{service: target.Service, version: target.Version, since: versions.asOf, seen: now}
		versions.builds[build] = known
		versions.services[target.Service] = append(versions.services[target.Service], build)
	}
	switch {
	case restarted:
		// Streams may have been sent to it while daemons took it for its run before.
		known.since = time.Time{}
	case !versions.started:
		// The daemon does not know when others learned of the targets that it finds at its start.
		known.since = time.Time{}
		known.seen = earlier(known.seen, foundAt(now, target))
	}
	known.runs++
}

// foundAt returns when the fleet may have learned of a target that a daemon finds at its start:
// a target publishes itself as it starts.
func foundAt(now time.Time, target berylspoke.Target) time.Time {
	return now.Add(-min(max(now.Sub(time.UnixMilli(target.Started)), 0), Memory))
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// Remove records that a target is no longer published.
func (versions *Versions) Remove(now time.Time, id berylspoke.TargetID) {
	build, found := versions.targets[id]
	if !found {
		return
	}
	delete(versions.targets, id)
	gone := versions.builds[build]
	if gone.runs--; gone.runs == 0 {
		gone.goneAt = now
	}
}

// Confirm records the time as of which all targets are known, and the delay after which a new
// build gets streams. It drops the builds that are gone for longer than Memory.
func (versions *Versions) Confirm(now, asOf time.Time, delay time.Duration) {
	if asOf.IsZero() {
		return
	}
	switch {
	case !versions.started:
		versions.started, versions.gapless, versions.from = true, now, asOf
	case age(now, versions.asOf) > delay || age(now, asOf) > delay:
		// Targets may have come and gone unseen.
		versions.gapless, versions.from, versions.unbounded = now, asOf, false
	}
	versions.asOf, versions.delay = asOf, delay
	for build, known := range versions.builds {
		if known.runs == 0 && now.Sub(known.goneAt) > Memory {
			delete(versions.builds, build)
			versions.services[known.service] = without(versions.services[known.service], build)
		}
	}
}

func without(builds []berylspoke.Build, dropped berylspoke.Build) []berylspoke.Build {
	var kept []berylspoke.Build
	for _, build := range builds {
		if build != dropped {
			kept = append(kept, build)
		}
	}
	return kept
}

// complete reports whether every build is known that may have begun a stream that is taken up
// now.
func (versions *Versions) complete(now time.Time) bool {
	return versions.started && age(now, versions.asOf) <= versions.delay && !versions.Lacks(now)
}

// Lacks reports whether builds may have begun streams and gone before this daemon knew of them.
func (versions *Versions) Lacks(now time.Time) bool {
	return !versions.unbounded && (!versions.started || now.Sub(versions.gapless) < Memory)
}

// Account returns what this daemon knows of the builds that are gone, and false if it does not know
// all of them that may have begun a stream, or they are too many.
func (versions *Versions) Account(now time.Time) (Account, bool) {
	if !versions.complete(now) {
		return Account{}, false
	}
	account := Account{Age: age(now, versions.asOf), Gapless: now.Sub(versions.gapless), Unbounded: versions.unbounded}
	for build, known := range versions.builds {
		if known.runs == 0 {
			account.Gone = append(account.Gone, GoneBuild{known.service, known.version, build, now.Sub(known.goneAt)})
		}
	}
	return account, len(account.Gone) <= MaxGone
}

// Learn records the account of another daemon, which answers an inquiry that was sent at a time. It
// continues what this daemon knows if its sender knew all targets at a time from which on this one
// has missed no change. It returns whether it does.
func (versions *Versions) Learn(now, inquired time.Time, account Account) bool {
	if !versions.started || !versions.Lacks(now) || inquired.Add(-account.Age).Before(versions.from) {
		return false
	}
	for _, gone := range account.Gone {
		goneAt := now.Add(-gone.Age)
		known := versions.builds[gone.Build]
		if known == nil {
			known = &sighting{service: gone.Service, version: gone.Version, seen: goneAt}
			versions.builds[gone.Build] = known
			versions.services[gone.Service] = append(versions.services[gone.Service], gone.Build)
		}
		if known.runs == 0 && goneAt.After(known.goneAt) {
			known.goneAt = goneAt
		}
	}
	if since := now.Add(-account.Gapless); since.Before(versions.gapless) {
		versions.gapless = since
	}
	versions.unbounded = account.Unbounded
	return true
}

// Only returns the build that began all streams of a service that may be taken up now, and false
// if there may be others.
func (versions *Versions) Only(now time.Time, service berylspoke.ServiceID) (berylspoke.Build, bool) {
	return versions.only(now, service, false)
}

// Settled reports whether daemons that do not know a new build yet, and those that know it
// already, agree that one build began all streams of a service.
func (versions *Versions) Settled(now time.Time, service berylspoke.ServiceID) bool {
	_, settled := versions.only(now, service, true)
	return settled
}

// only returns the one build of a service; new ones that have no streams yet count if asked for.
func (versions *Versions) only(now time.Time, service berylspoke.ServiceID, countNew bool) (berylspoke.Build, bool) {
	if !versions.complete(now) {
		return 0, false
	}
	var only berylspoke.Build
	for _, build := range versions.services[service] {
		if !countNew && now.Sub(versions.builds[build].since) < versions.delay {
			continue
		}
		if only != 0 {
			return 0, false
		}
		only = build
	}
	return only, only != 0
}

// HeldUntil returns the time until which a build gets no streams if there are others.
func (versions *Versions) HeldUntil(build berylspoke.Build) time.Time {
	if known := versions.builds[build]; known != nil && !known.seen.IsZero() {
		return known.seen.Add(versions.delay)
	}
	return time.Time{}
}

// Service returns the service and the version of a build that has targets, and false if it has
// none.
func (versions *Versions) Service(build berylspoke.Build) (berylspoke.ServiceID, berylspoke.SoftwareVersion, bool) {
	known := versions.builds[build]
	if known == nil || known.runs == 0 {
		return "", "", false
	}
	return known.service, known.version, true
}

// Runs returns the number of targets of each version of a service.
func (versions *Versions) Runs(service berylspoke.ServiceID) map[berylspoke.SoftwareVersion]int {
	runs := make(map[berylspoke.SoftwareVersion]int)
	for _, build := range versions.services[service] {
		runs[versions.builds[build].version] += versions.builds[build].runs
	}
	return runs
}
