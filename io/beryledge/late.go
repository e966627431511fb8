package beryledge

// This file defines how requests are rejected that might not end before a planned stop does, and
// how those are ended that have not.

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylstop"
)

// errStopEnded is why the requests that are active at the end of a planned stop are cancelled.
var errStopEnded = errors.New("the planned stop has ended")

// routeDurations are the times that the requests of each route took.
type routeDurations struct {
	mutex    sync.Mutex
	observed *berylstop.Durations
}

// observeDuration records how long a request took that a target may have run.
func (call *call) observeDuration() {
	if !call.mayHaveRun || call.uncertainIfCut() {
		return
	}
	now, durations := time.Now(), &call.daemon.durations
	durations.mutex.Lock()
	defer durations.mutex.Unlock()
	durations.observed.Observe(now, call.route.Name, now.Sub(call.whole.Load().at))
}

// durationOf returns how long requests of a route take.
func (daemon *Daemon) durationOf(now time.Time, route string) berylstop.Duration {
	durations := &daemon.durations
	durations.mutex.Lock()
	found := durations.observed.Of(now, route)
	durations.mutex.Unlock()
	if found.Longest == 0 {
		return found
	}
	var ages []time.Duration
	for _, other := range daemon.calls.all() {
		if whole := other.whole.Load(); whole != nil && whole.route == route {
			ages = append(ages, now.Sub(whole.at))
		}
	}
	return found.WithActive(ages)
}

// uncertainIfCut reports whether the caller could not tell whether the request took effect if it were cut.
func (call *call) uncertainIfCut() bool {
	return !call.repeatable() && call.route.Kind != berylspoke.Streaming
}

// work returns what is known of the time that the request takes.
func (call *call) work(now time.Time) berylstop.Work {
	work := berylstop.Work{Deadline: call.request.Deadline, Uncertain: call.uncertainIfCut()}
	if whole := call.whole.Load(); whole != nil {
		work.Whole = whole.at
	}
	if !work.Uncertain {
		work.Duration = call.daemon.durationOf(now, call.route.Name)
	}
	return work
}

// endsInTime reports whether the request, if it is sent to a target now, ends before the daemon
// stops. It is asked whenever the request is about to go on. One whose attempt the daemon ended itself goes
// on in any case, as its target would otherwise have answered it.
func (call *call) endsInTime(now time.Time) bool {
	stop := call.daemon.stop.Load()
	return stop == nil || call.abandoned || stop.Accepts(now, call.work(now))
}

// boundBody bounds the time to read the body, if it is being read: a request that is not whole
// when it has to be sent at the latest is rejected then.
func (call *call) boundBody() {
	call.reader.mutex.Lock()
	defer call.reader.mutex.Unlock()
	if !call.reader.reading {
		return
	}
	now, latest := time.Now(), call.request.Deadline
	if stop := call.daemon.stop.Load(); stop != nil {
		latest = stop.Latest(call.work(now))
	}
	if latest.Before(now) {
		latest = now
	}
	call.setReadDeadline(latest)
}

// rejectsLate rejects the request, and reports it, if it might not end before the daemon stops.
func (call *call) rejectsLate() bool {
	now := time.Now()
	if call.endsInTime(now) {
		return false
	}
	call.rejectLate(now)
	return true
}

// rejectLate answers a request that might not end before the daemon stops.
func (call *call) rejectLate(now time.Time) {
	stop, work := call.daemon.stop.Load(), call.work(now)
	fields := []zap.Field{
		zap.Duration("sinceStop", now.Sub(stop.Began)), zap.Duration("untilEnd", stop.End.Sub(now)),
		zap.Duration("remaining", work.Deadline.Sub(now)), zap.Duration("usual", work.Duration.Usual), zap.Duration("longest", work.Duration.Longest),
		zap.String("stage", string(call.stage)), zap.Bool("mayHaveRun", call.mayHaveRun),
	}
	if call.stream.started {
		call.log("stream aborted", append(fields, zap.String("reason", string(berylspoke.ReasonDraining)))...)
		call.abortStream()
	}
	if call.mayHaveRun {
		call.refuse(http.StatusBadGateway, berylspoke.ReasonDraining, 0, fields...)
		return
	}
	retryAfter := stop.RetryAfter(now, call.daemon.knowsOthers(), rand.Float64())
	call.refuse(http.StatusServiceUnavailable, berylspoke.ReasonDraining, retryAfter, fields...)
}

// knowsOthers reports whether another daemon accepts callers' requests.
func (daemon *Daemon) knowsOthers() bool {
	for _, vm := range daemon.entries.Load().live {
		if vm != daemon.settings.VM {
			return true
		}
	}
	return false
}

// cut ends a request that is active at the end of a stop.
func (call *call) cut() {
	call.cancel(errStopEnded)
	call.reader.mutex.Lock()
	defer call.reader.mutex.Unlock()
	if call.reader.reading {
		call.setReadDeadline(time.Now())
	}
}

// answerCut answers a request that is cut by the end of a stop.
func (call *call) answerCut(now time.Time) {
	call.daemon.meters.requestsCut.Inc()
	fields := []zap.Field{
		zap.String("stage", string(call.stage)), zap.Bool("mayHaveRun", call.mayHaveRun), zap.Bool("begun", call.stream.started),
		zap.Duration("sinceStop", now.Sub(call.daemon.stop.Load().Began)), zap.Duration("remaining", call.request.Deadline.Sub(now)),
	}
	if !call.sent.IsZero() {
		fields = append(fields, zap.Duration("sinceSent", now.Sub(call.sent)))
	}
	call.log("request cut by the planned stop", fields...)
	call.rejectLate(now)
}
