package berylstand

// This file defines the stand-in of a plain service.

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Desk takes filings and bookings and records every execution.
type Desk struct {
	delay      time.Duration
	mutex      sync.Mutex
	executions map[string]int
	total      int
	running    int
}

// NewDesk returns a desk whose calls take the given time.
func NewDesk(delay time.Duration) *Desk {
	return &Desk{delay: delay, executions: make(map[string]int)}
}

// Handler returns the desk's interface.
func (desk *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /letters", desk.serveExecute)
	mux.HandleFunc("POST /bookings", desk.serveExecute)
	mux.HandleFunc("GET /letters/{id}", desk.serveStatus)
	mux.HandleFunc("GET /addresses/{id}", desk.serveStatus)
	mux.HandleFunc("GET /executions", desk.serveExecutions)
	mux.HandleFunc("GET /v1/load", desk.serveLoad)
	return mux
}

// Executions returns how often a request was executed.
func (desk *Desk) Executions(request string) int {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.executions[request]
}

// Most returns the highest number of executions of one request and the number
// of requests executed.
func (desk *Desk) Most() (most, requests int) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for _, count := range desk.executions {
		most = max(most, count)
	}
	return most, len(desk.executions)
}

const requestHeader = "Berylspoke-Request"

func (desk *Desk) begin(change int) {
	desk.mutex.Lock()
	desk.running += change
	desk.mutex.Unlock()
}

func (desk *Desk) serveExecute(writer http.ResponseWriter, request *http.Request) {
	desk.begin(1)
	defer desk.begin(-1)
	id := request.Header.Get(requestHeader)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	desk.mutex.Lock()
	desk.executions[id]++
	desk.total++
	number := desk.total
	desk.mutex.Unlock()
	time.Sleep(desk.delay)
	writer.Header().Set(requestHeader, id)
	writer.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(writer, `{"number":%d,"bytes":%d}`+"\n", number, len(body))
}

func (desk *Desk) serveStatus(writer http.ResponseWriter, request *http.Request) {
	desk.begin(1)
	defer desk.begin(-1)
	time.Sleep(desk.delay)
	writer.Header().Set(requestHeader, request.Header.Get(requestHeader))
	answer(writer, map[string]string{"id": request.PathValue("id"), "status": "filed"})
}

func (desk *Desk) serveExecutions(writer http.ResponseWriter, _ *http.Request) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	answer(writer, desk.executions)
}

func (desk *Desk) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	answer(writer, map[string]int{"running": desk.running, "waiting": 0})
}
