package beryledge

// This file defines how streams go on that were broken: within one answer, and by callers that
// take them up.

import (
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylgate"
	"berylspoke/core/berylorigin"
	"berylspoke/io/berylconn"
)

// continuation is how a stream goes on, as a metric label.
type continuation uint8

const (
	// resumedAtSameVersion and resumedAtOtherVersion are streams that go on within one answer.
	resumedAtSameVersion continuation = iota
	resumedAtOtherVersion
	// takenUpByAttempt are streams that callers take up with the attempt that began them,
	// takenUpUnnamed those without.
	takenUpByAttempt
	takenUpUnnamed
	continuations
)

// continuationNames are the metric labels.
var continuationNames = [continuations]string{"sameVersion", "otherVersion", "takenUp", "takenUpUnnamed"}

// countTakenUp counts a request that takes up a stream.
func (call *call) countTakenUp() {
	switch {
	case call.route.Kind != berylspoke.Streaming || !call.info.Continues:
	case call.info.Resumes == "":
		call.daemon.meters.continuations[takenUpUnnamed].Inc()
	default:
		call.daemon.meters.continuations[takenUpByAttempt].Inc()
	}
}

// logResumption logs and counts that a stream goes on at another engine within one answer.
func (call *call) logResumption(decision berylgate.Decision) {
	began, next := call.stream.began, decision.Target
	kind := resumedAtOtherVersion
	if next.Build().Fits(began.Build()) {
		kind = resumedAtSameVersion
	}
	call.daemon.meters.continuations[kind].Inc()
	call.log("resuming a stream within its answer", zap.String("target", string(next.ID)), zap.String("version", string(next.Version)),
		zap.String("began", string(began.ID)), zap.String("beganVersion", string(began.Version)), zap.Int64("lastEvent", call.stream.last))
}

// continuationFields returns the log fields of the stream that the request continues.
func (call *call) continuationFields() []zap.Field {
	if !call.info.Continues {
		return nil
	}
	fields := []zap.Field{zap.String("resumes", string(call.info.Resumes))}
	if call.info.HasLastEvent {
		fields = append(fields, zap.Int64("lastEvent", call.info.LastEvent))
	}
	return fields
}

// originSource says how the build of a stream that is taken up became known, or why it did not,
// as a metric label.
type originSource uint8

const (
	// ownRecord and toldRecord are records of this daemon and of a holder.
	ownRecord originSource = iota
	toldRecord
	// onlyBuild and toldOnlyBuild are known because the service has had one build only.
	onlyBuild
	toldOnlyBuild
	uncertainOrigin
	unknownOrigin
	originSources
)

// originSourceNames are the metric labels.
var originSourceNames = [originSources]string{"own", "told", "only", "toldOnly", "uncertain", "unknown"}

// origin is what was found of the origin of a stream.
type origin struct {
	build  berylspoke.Build
	source originSource
	// from is the peer that knew it.
	from berylspoke.VMID
}

// findOrigin finds the build of the stream that a request takes up and makes the request one of
// that build, or refuses it.
func (call *call) findOrigin() bool {
	if call.route.Kind != berylspoke.Streaming || !call.info.Continues {
		return true
	}
	found := call.searchOrigin()
	call.daemon.meters.originSearches[found.source].Inc()
	fields := append(call.continuationFields(), zap.String("source", originSourceNames[found.source]), zap.String("holder", string(found.from)),
		zap.Stringer("key", call.streamKey()))
	if found.source == unknownOrigin || found.source == uncertainOrigin {
		retryAfter := unknownRetryAfter
		if found.source == uncertainOrigin {
			retryAfter = 0
		}
		call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonOriginUnknown, retryAfter, fields...)
		return false
	}
	service, version, serving := call.daemon.origins.serving(found.build)
	fields = append(fields, zap.String("version", string(version)), zap.Stringer("build", found.build))
	if !serving || !call.route.Serves(service) {
		call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonBuildGone, 0, fields...)
		return false
	}
	call.stream.takenUp, call.stream.build, call.request.Service = true, found.build, service
	if found.source == ownRecord || found.source == toldRecord {
		call.request.Claimed = call.daemon.origins.claim(time.Now(), call.streamKey())
	}
	fields = append(fields, zap.Bool("claimed", call.request.Claimed))
	call.log("stream is taken up", fields...)
	return true
}

// streamKey returns the key of the stream that the request began or takes up.
func (call *call) streamKey() berylorigin.Key {
	attempt := call.info.ID
	if call.info.Continues {
		attempt = call.info.Resumes
	}
	return berylorigin.KeyOf(call.organisation, attempt)
}

// onlyService returns the service of the request's route, empty if there are several.
func (call *call) onlyService() berylspoke.ServiceID {
	if len(call.route.Shares) != 1 {
		return ""
	}
	return call.route.Shares[0].Service
}

// searchOrigin finds the build of the stream that the request takes up.
func (call *call) searchOrigin() origin {
	key, service := call.streamKey(), call.onlyService()
	own := call.daemon.origins.find(time.Now(), key, service)
	if call.info.Resumes == "" {
		// Nothing names the stream, so that no record is its.
		own.Known = false
	}
	switch {
	case own.Known && !own.Build.Certain():
		return origin{source: uncertainOrigin}
	case own.Known:
		return origin{build: own.Build, source: ownRecord}
	case own.Only:
		return origin{build: own.Build, source: onlyBuild}
	}
	return call.askHolders(berylorigin.Question{Key: key, Service: service})
}

// askHolders asks the holders of a stream for its build until one knows it.
func (call *call) askHolders(question berylorigin.Question) origin {
	daemon := call.daemon
	holders := berylorigin.Asked(question.Key, daemon.settings.VM, daemon.entries.Load().live)
	answers := daemon.origins.beginSearch(question.Key)
	defer daemon.origins.endSearch(question.Key, answers)
	for range askRounds {
		if len(holders) == 0 {
			break
		}
		daemon.transport.Broadcast(holders, []berylspoke.Message{question})
		timer := time.NewTimer(askInterval)
		for waiting := true; waiting; {
			select {
			case received := <-answers:
				if found, known := call.judge(received); known {
					timer.Stop()
					return found
				}
			case <-call.incoming.Context().Done():
				timer.Stop()
				call.disconnected()
			case <-timer.C:
				waiting = false
			}
		}
	}
	return origin{source: unknownOrigin}
}

// judge returns the origin that an answer tells, and false if it tells none.
func (call *call) judge(received originAnswer) (origin, bool) {
	answer := received.answer
	switch {
	case answer.Known && call.info.Resumes != "":
		if !answer.Build.Certain() {
			return origin{source: uncertainOrigin, from: received.from}, true
		}
		return origin{build: answer.Build, source: toldRecord, from: received.from}, true
	case answer.Only && answer.Build.Certain():
		return origin{build: answer.Build, source: toldOnlyBuild, from: received.from}, true
	}
	return origin{}, false
}

// beginStream records which build begins or goes on with the stream, and tells its holders.
func (call *call) beginStream(decision berylgate.Decision) {
	if !call.repeatable() || call.info.Continues && call.info.Resumes == "" {
		return
	}
	key, target := call.streamKey(), decision.Target
	told := call.daemon.origins.begin(time.Now(), key, target, decision.Build, call.onlyService() != "")
	call.stream.key, call.stream.recorded = key, true
	call.daemon.log.Debug("stream begins", zap.String("request", string(call.info.ID)), zap.Stringer("key", key),
		zap.String("version", string(target.Version)), zap.Bool("certain", decision.Build.Certain()), zap.Bool("told", told))
}

// endStream records that the stream has ended or may be taken up.
func (call *call) endStream() {
	if call.stream.recorded {
		call.daemon.origins.end(time.Now(), call.stream.key, call.served)
	}
}

// identity returns what to ask a target before it goes on with a stream: it may have restarted under
// its id, with another version, since the targets were known. A target that does not tell is
// taken for the known one.
func (call *call) identity(decision berylgate.Decision) *berylconn.Identity {
	if !call.stream.continues() {
		return nil
	}
	dialect, meters := call.daemon.dialect, call.daemon.meters
	return &berylconn.Identity{
		Before:  decision.CertainBefore,
		Request: call.daemon.identityRequest(decision.Target.Address),
		Accepts: func(status int, body []byte) bool {
			started, known := dialect.Started(body)
			if status != http.StatusOK || !known {
				meters.unidentified.Inc()
				return true
			}
			return started == decision.Target.Started
		},
	}
}

// identityRequest returns the request for what a target says of itself.
func (daemon *Daemon) identityRequest(address string) *http.Request {
	return &http.Request{
		Method: http.MethodGet, Host: address, Header: http.Header{"User-Agent": {""}},
		URL: &url.URL{Path: daemon.dialect.IdentityPath()},
	}
}
