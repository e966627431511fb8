package berylstand

// This file defines the fake of a target of a plain service.

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PlainTarget is a target of a plain service, which accepts filings and bookings and
// counts the executions of each request.
type PlainTarget struct {
	// Advice is what the target asks of its callers.
	Advice
	delay      time.Duration
	mutex      sync.Mutex
	executions map[string]int
	total      int
	running    int
}

// NewPlainTarget returns a target that responds to each call after a delay.
func NewPlainTarget(delay time.Duration) *PlainTarget {
	return &PlainTarget{delay: delay, executions: make(map[string]int)}
}

// Handler returns the HTTP interface of the target.
func (target *PlainTarget) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /letters", target.serveExecute)
	mux.HandleFunc("POST /bookings", target.serveExecute)
	mux.HandleFunc("GET /letters/{id}", target.serveStatus)
	mux.HandleFunc("GET /addresses/{id}", target.serveStatus)
	mux.HandleFunc("GET /executions", target.serveExecutions)
	mux.HandleFunc("GET /v1/load", target.serveLoad)
	return target.wrap(mux, func(path string) bool { return strings.HasPrefix(path, "/v1/") || path == "/executions" })
}

// Executions returns the number of executions of a request.
func (target *PlainTarget) Executions(request string) int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.executions[request]
}

// ExecutionCounts returns the highest number of executions of one request and the
// number of requests executed.
func (target *PlainTarget) ExecutionCounts() (highest, requests int) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	for _, count := range target.executions {
		highest = max(highest, count)
	}
	return highest, len(target.executions)
}

const requestHeader = "Berylspoke-Request"

// addRunning adds to the number of running calls.
func (target *PlainTarget) addRunning(change int) {
	target.mutex.Lock()
	target.running += change
	target.mutex.Unlock()
}

func (target *PlainTarget) serveExecute(writer http.ResponseWriter, request *http.Request) {
	target.addRunning(1)
	defer target.addRunning(-1)
	id := request.Header.Get(requestHeader)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	target.mutex.Lock()
	target.executions[id]++
	target.total++
	number := target.total
	target.mutex.Unlock()
	time.Sleep(target.delay)
	writer.Header().Set(requestHeader, id)
	writer.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(writer, `{"number":%d,"bytes":%d}`+"\n", number, len(body))
}

func (target *PlainTarget) serveStatus(writer http.ResponseWriter, request *http.Request) {
	target.addRunning(1)
	defer target.addRunning(-1)
	time.Sleep(target.delay)
	writer.Header().Set(requestHeader, request.Header.Get(requestHeader))
	writeJSON(writer, map[string]string{"id": request.PathValue("id"), "status": "filed"})
}

func (target *PlainTarget) serveExecutions(writer http.ResponseWriter, _ *http.Request) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	writeJSON(writer, target.executions)
}

func (target *PlainTarget) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	writeJSON(writer, map[string]int{"running": target.running, "waiting": 0})
}
