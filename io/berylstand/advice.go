package berylstand

// This file defines what a fake target asks for in its answers.

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// leavingHeader is set in the answers of a target that leaves.
const leavingHeader = "Berylspoke-Leaving"

// Advice is what a fake target asks of its callers, and the requests that it gets.
type Advice struct {
	mutex    sync.Mutex
	leaving  bool
	rest     time.Duration
	arrivals []Arrival
}

// Arrival is one request that reached a target.
type Arrival struct {
	Path, Request string
	At            time.Time
}

// Leave makes the target say in all answers that it leaves.
func (advice *Advice) Leave() {
	advice.mutex.Lock()
	defer advice.mutex.Unlock()
	advice.leaving = true
}

// Shed makes the target reject all requests and ask for the given rest, until the rest is
// zero.
func (advice *Advice) Shed(rest time.Duration) {
	advice.mutex.Lock()
	defer advice.mutex.Unlock()
	advice.rest = rest
}

// Arrivals returns the requests that reached the target, control requests too.
func (advice *Advice) Arrivals() []Arrival {
	advice.mutex.Lock()
	defer advice.mutex.Unlock()
	return append([]Arrival(nil), advice.arrivals...)
}

// arrive records a request and returns what the target asks for now.
func (advice *Advice) arrive(request *http.Request) (leaving bool, rest time.Duration) {
	advice.mutex.Lock()
	defer advice.mutex.Unlock()
	advice.arrivals = append(advice.arrivals, Arrival{request.URL.Path, request.Header.Get(requestHeader), time.Now()})
	return advice.leaving, advice.rest
}

// wrap returns a handler that asks in its answers for what the advice says, and sheds the
// requests other than control requests.
func (advice *Advice) wrap(next http.Handler, control func(path string) bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		leaving, rest := advice.arrive(request)
		if leaving {
			writer.Header().Set(leavingHeader, "1")
		}
		writer.Header().Set(requestHeader, request.Header.Get(requestHeader))
		if rest > 0 && !control(request.URL.Path) {
			writer.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}
