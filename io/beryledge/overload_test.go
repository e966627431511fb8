package beryledge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"berylspoke"
	"berylspoke/io/berylresponse"
)

// fakeProcessor is the only core of a small VM: one goroutine uses it at a time.
type fakeProcessor struct {
	mutex sync.Mutex
	cost  atomic.Int64
}

func (processor *fakeProcessor) use() {
	processor.mutex.Lock()
	defer processor.mutex.Unlock()
	time.Sleep(time.Duration(processor.cost.Load()))
}

// costlyDialect is a dialect in which each request sent to a target uses the processor.
type costlyDialect struct {
	testDialect
	processor *fakeProcessor
}

func (dialect costlyDialect) ForwardHeaders(header http.Header, forward berylspoke.ForwardInfo) http.Header {
	dialect.processor.use()
	return dialect.testDialect.ForwardHeaders(header, forward)
}

// contend makes the daemon's decisions wait for the processor too.
func (processor *fakeProcessor) contend(daemon *Daemon) {
	for daemon.ctx.Err() == nil {
		daemon.inspectCore(func(time.Time, *core) {
			processor.mutex.Lock()
			defer processor.mutex.Unlock()
		})
		daemon.sleep(time.Millisecond)
	}
}

// overloadScript is the load that organisations put on one VM, phase by phase.
type overloadScript struct {
	Phases []overloadPhase `json:"phases"`
}

type overloadPhase struct {
	Seconds float64 `json:"seconds"`
	// CostMillis is the processor time of one request.
	CostMillis int64 `json:"costMillis"`
	// Rates are requests per second by organisation, each on its own connection; Partial
	// are connections per second that send only half of a header.
	Rates   map[string]int `json:"rates"`
	Partial int            `json:"partial"`
	// Served is the minimum fraction of its requests that each organisation must get
	// served.
	Served map[string]float64 `json:"served"`
}

func readOverload(t *testing.T, name string) overloadScript {
	text, err := os.ReadFile("testdata/overload/" + name + ".hujson")
	require.NoError(t, err)
	text, err = hujson.Standardize(text)
	require.NoError(t, err)
	var script overloadScript
	require.NoError(t, json.Unmarshal(text, &script))
	return script
}

// play runs all phases and checks that every request that is not served is answered with
// a Retry-After, and that it reaches no target.
func (script overloadScript) play(t *testing.T) {
	cpu := new(fakeProcessor)
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "done"))
	daemon, _ := startServingWith(t, map[string]*testTarget{"desk": target}, costlyDialect{testDialect{testCatalog()}, cpu})
	go cpu.contend(daemon)
	run := &overloadRun{address: daemon.settings.CallersAddress, unanswered: make(map[string]int)}
	defer run.closePartial()
	for number, phase := range script.Phases {
		cpu.cost.Store(phase.CostMillis * int64(time.Millisecond))
		tallies := run.phase(t, number, phase)
		if phase.Served == nil {
			continue
		}
		run.callers.Wait()
		for organisation, minimum := range phase.Served {
			require.GreaterOrEqual(t, tallies[organisation].fraction(), minimum, "fraction of %s served in phase %d", organisation, number)
		}
	}
	run.callers.Wait()
	require.Empty(t, run.unanswered, "requests were rejected without a Retry-After")
	require.Equal(t, run.served.Load(), target.seen.Load(), "rejected requests reached the target")
}

// overloadRun is one run of a script.
type overloadRun struct {
	address string
	callers sync.WaitGroup
	served  atomic.Int64
	partial []net.Conn
	// unanswered counts the requests without a valid answer by what came instead.
	mutex      sync.Mutex
	unanswered map[string]int
}

func (run *overloadRun) countUnanswered(what string) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.unanswered[what]++
}

// tally counts one organisation's requests in one phase.
type tally struct {
	sent   int
	served atomic.Int64
}

func (tally *tally) fraction() float64 { return float64(tally.served.Load()) / float64(tally.sent) }

// overloadStep is the time between two ticks at which due requests are sent.
const overloadStep = 4 * time.Millisecond

// phase sends the requests of one phase; they may end after it.
func (run *overloadRun) phase(t *testing.T, number int, phase overloadPhase) map[string]*tally {
	tallies := make(map[string]*tally)
	for organisation := range phase.Rates {
		tallies[organisation] = new(tally)
	}
	for tick := range int(phase.Seconds * float64(time.Second) / float64(overloadStep)) {
		for range dueAt(tick, phase.Partial) {
			run.sendPartial(t)
		}
		for organisation, rate := range phase.Rates {
			for i := range dueAt(tick, rate) {
				tallies[organisation].sent++
				run.send(organisation, fmt.Sprintf("%s-%d-%d-%d", organisation, number, tick, i), tallies[organisation])
			}
		}
		time.Sleep(overloadStep)
	}
	return tallies
}

// dueAt returns how many requests are due at a tick, for a rate in requests per second.
func dueAt(tick, rate int) int {
	upTo := func(tick int) int { return tick * rate * int(overloadStep) / int(time.Second) }
	return upTo(tick+1) - upTo(tick)
}

// organisationKeys are the keys of the test catalog's organisations.
var organisationKeys = map[string]string{"clergy": "k", "union": "u"}

func (run *overloadRun) send(organisation, id string, tally *tally) {
	run.callers.Add(1)
	go func() {
		defer run.callers.Done()
		status, retryAfter, err := tryRaw(run.address, "/file/x", organisationKeys[organisation], id)
		switch {
		case status == http.StatusOK:
			tally.served.Add(1)
			run.served.Add(1)
		case err != nil:
			run.countUnanswered(err.Error())
		case status != http.StatusServiceUnavailable || retryAfter == "":
			run.countUnanswered(fmt.Sprintf("status %d, Retry-After %q", status, retryAfter))
		}
	}()
}

func (run *overloadRun) sendPartial(t *testing.T) {
	conn, err := net.Dial("tcp", run.address)
	require.NoError(t, err)
	run.partial = append(run.partial, conn)
	_, _ = fmt.Fprint(conn, "POST /file/x HTTP/1.1\r\nHost: h.example\r\nX-Key: k\r\n")
}

func (run *overloadRun) closePartial() {
	for _, conn := range run.partial {
		_ = conn.Close()
	}
}

// sendRaw sends one request over its own connection and returns the status of the
// answer, zero for none, and its Retry-After.
func sendRaw(address, key, id string) (status int, retryAfter string) {
	return sendRawTo(address, "/file/x", key, id)
}

// sendRawTo is sendRaw with a path.
func sendRawTo(address, path, key, id string) (status int, retryAfter string) {
	status, retryAfter, _ = tryRaw(address, path, key, id)
	return status, retryAfter
}

// tryRaw is sendRawTo with the error; what differs between connections is left out of it.
func tryRaw(address, path, key, id string) (status int, retryAfter string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", errors.Errorf("cannot connect: %v", errors.Cause(err))
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Key: %s\r\nX-Left: 4000\r\nContent-Length: 8\r\n\r\na letter", path, id, key)
	if err != nil {
		return 0, "", errors.New("cannot send")
	}
	response, err := berylresponse.Read(bufio.NewReader(conn), nil)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return 0, "", errors.New("no answer in time")
	case err != nil:
		return 0, "", errors.New("connection closed without an answer")
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After"), nil
}

// Guards against a CPU-starved VM that rejects requests regardless of their organisation:
// one with few requests got as small a fraction of them served as the one that floods.
func TestFloodDoesNotStarveOtherOrganisations(t *testing.T) {
	readOverload(t, "flood").play(t)
}

// Guards against callers that send half of a header and hold all slots of the admission
// queue.
func TestPartialRequestsHoldNoSlots(t *testing.T) {
	readOverload(t, "partial").play(t)
}

// Guards against a VM that continues to reject requests after its processor is free, for
// as long as callers send more.
func TestRequestsAreAdmittedOnceTheProcessorIsFree(t *testing.T) {
	readOverload(t, "release").play(t)
}

// Guards against a request that fails because its target was silent for a while, though it answers in
// time: the other target, which the request was taken to, rejects it.
func TestSilentTargetAnswersIfTheOtherRejects(t *testing.T) {
	const work = 1500 * time.Millisecond
	var seen atomic.Int64
	serve := func(writer http.ResponseWriter, request *http.Request) {
		// The second arrival is at the other target.
		if seen.Add(1) == 2 {
			writer.Header().Set("X-Id", request.Header.Get("X-Id"))
			writer.Header().Set("X-Not-Run", "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case <-time.After(work):
			sealed(http.StatusOK, "done")(writer, request)
		case <-request.Context().Done():
		}
	}
	targets := map[string]*testTarget{"desk#1": newTestTarget(t, "d1", serve), "desk#2": newTestTarget(t, "d2", serve)}
	daemon, _ := startServing(t, targets)
	response, _, err := send(t, daemon, http.MethodGet, "/read/x", "id-1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, 3, seen.Load())
}
