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

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"berylspoke"
)

// processor stands for the one core of a small VM: who uses it, others wait for.
type processor struct {
	mutex sync.Mutex
	cost  atomic.Int64
}

func (processor *processor) use() {
	processor.mutex.Lock()
	defer processor.mutex.Unlock()
	time.Sleep(time.Duration(processor.cost.Load()))
}

// costlyDialect is a dialect in which each request that is sent on uses the
// processor.
type costlyDialect struct {
	testDialect
	processor *processor
}

func (dialect costlyDialect) Onward(header http.Header, onward berylspoke.Onward) http.Header {
	dialect.processor.use()
	return dialect.testDialect.Onward(header, onward)
}

// contend makes the daemon's decisions wait for the processor like all else on it.
func (processor *processor) contend(daemon *Daemon) {
	for daemon.ctx.Err() == nil {
		daemon.look(func(time.Time, *core) {
			processor.mutex.Lock()
			defer processor.mutex.Unlock()
		})
		daemon.sleep(time.Millisecond)
	}
}

// overloadScript is what organisations ask of one VM, phase by phase, and the part
// of it that must be served.
type overloadScript struct {
	Phases []struct {
		Seconds    float64 `json:"seconds"`
		CostMillis int64   `json:"costMillis"`
		// Rates are requests a second, each on a connection of its own; Partial are
		// connections a second that bring half of a header.
		Rates   map[string]int     `json:"rates"`
		Partial int                `json:"partial"`
		Served  map[string]float64 `json:"served"`
	} `json:"phases"`
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

// play makes the requests of a script, each on a connection of its own.
func (script overloadScript) play(t *testing.T) {
	cpu := new(processor)
	target := newTestTarget(t, "d1", sealed(http.StatusOK, "done"))
	daemon, _ := startServingWith(t, map[string]*testTarget{"desk": target}, costlyDialect{testDialect{testCatalog()}, cpu})
	go cpu.contend(daemon)
	keys := map[string]string{"clergy": "k", "union": "u"}
	var all sync.WaitGroup
	var passed, unanswered atomic.Int64
	for number, phase := range script.Phases {
		cpu.cost.Store(phase.CostMillis * int64(time.Millisecond))
		var phaseCallers sync.WaitGroup
		served, asked := make(map[string]*atomic.Int64), make(map[string]int)
		for organisation := range phase.Rates {
			served[organisation] = new(atomic.Int64)
		}
		const step = 4 * time.Millisecond
		due := func(tick, rate int) int {
			return (tick+1)*rate*int(step)/int(time.Second) - tick*rate*int(step)/int(time.Second)
		}
		for tick := range int(phase.Seconds * float64(time.Second) / float64(step)) {
			for range due(tick, phase.Partial) {
				conn, err := net.Dial("tcp", daemon.settings.Callers)
				require.NoError(t, err)
				defer conn.Close()
				_, _ = fmt.Fprint(conn, "POST /file/x HTTP/1.1\r\nHost: h.example\r\nX-Key: k\r\n")
			}
			for organisation, rate := range phase.Rates {
				for i := range due(tick, rate) {
					asked[organisation]++
					phaseCallers.Add(1)
					all.Add(1)
					go func() {
						defer all.Done()
						defer phaseCallers.Done()
						id := fmt.Sprintf("%s-%d-%d-%d", organisation, number, tick, i)
						switch status, wait := knock(daemon.settings.Callers, keys[organisation], id); {
						case status == http.StatusOK:
							served[organisation].Add(1)
							passed.Add(1)
						case status != http.StatusServiceUnavailable || wait == "":
							unanswered.Add(1)
						}
					}()
				}
			}
			time.Sleep(step)
		}
		if phase.Served == nil {
			continue
		}
		phaseCallers.Wait()
		for organisation, least := range phase.Served {
			part := float64(served[organisation].Load()) / float64(asked[organisation])
			require.GreaterOrEqual(t, part, least, "part of %s served in phase %d", organisation, number)
		}
	}
	all.Wait()
	require.Zero(t, unanswered.Load(), "refused callers are told so, and when to come back")
	require.Equal(t, passed.Load(), target.seen.Load(), "what is refused reaches no target")
}

// knock sends one request over a connection of its own and returns the status of
// the answer, zero for none, and when to come back.
func knock(address, key, id string) (status int, wait string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /file/x HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Key: %s\r\nX-Left: 4000\r\nContent-Length: 8\r\n\r\na letter", id, key)
	if err != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Guards against a VM short of processor time that rejects without regard to whose
// a request is: one with few requests got as small a part as the flood beside it.
func TestFloodLeavesOthersTheirShareOfTheProcessor(t *testing.T) {
	readOverload(t, "flood").play(t)
}

// Guards against slow callers that hold all slots of the admission queue.
func TestPartialRequestsHoldNoSlots(t *testing.T) {
	readOverload(t, "partial").play(t)
}

// Guards against a VM that goes on refusing after its processor is free, for as long
// as callers keep coming.
func TestCallersAreTakenAgainOnceTheProcessorIsFree(t *testing.T) {
	readOverload(t, "release").play(t)
}
