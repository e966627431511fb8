package beryltarget

// This file defines how a client follows what targets ask for in answers.

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/core/berylnode"
	"berylspoke/io/berylresponse"
)

// LeavingHeader is set in the answers of a target that is about to exit.
const LeavingHeader = "Berylspoke-Leaving"

// maxRest bounds the rest that a target may ask for.
const maxRest = time.Hour

// errClosed means that a target asked for no requests.
var errClosed = errors.New("target wants no requests now")

// closedTargets holds the targets that asked for no requests, with what they asked last.
type closedTargets struct {
	mutex  sync.Mutex
	advice map[berylspoke.TargetID]berylnode.Advice
}

// record keeps the advice of a target until the rest or the hold of the node has ended.
func (closed *closedTargets) record(advice berylnode.Advice) {
	closed.mutex.Lock()
	defer closed.mutex.Unlock()
	if known := closed.advice[advice.Target]; known.Address == advice.Address && known.At.Add(known.Rest).After(advice.At.Add(advice.Rest)) {
		advice.Leaving, advice.At, advice.Rest = advice.Leaving || known.Leaving, known.At, known.Rest
	}
	closed.advice[advice.Target] = advice
}

// rests reports whether a target has asked for rest that has not ended.
func (closed *closedTargets) rests(now time.Time, target berylspoke.TargetID, address string) bool {
	closed.mutex.Lock()
	defer closed.mutex.Unlock()
	found := closed.advice[target]
	return found.Address == address && now.Before(found.At.Add(found.Rest))
}

// refuses reports whether a target gets no requests now.
func (closed *closedTargets) refuses(now time.Time, target berylspoke.TargetID, address string) bool {
	closed.mutex.Lock()
	defer closed.mutex.Unlock()
	found, known := closed.advice[target]
	return known && found.Address == address && now.Before(found.HeldUntil())
}

// closedRefusal is the refusal of a request that was not sent as its target wants none.
func closedRefusal(target berylspoke.TargetID) *berylspoke.Refusal {
	return &berylspoke.Refusal{
		Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonTargetsResting, Cause: errors.Wrapf(errClosed, "target %s", target),
	}
}

// destination is the target that a connection is opened for.
type destination struct{ target berylspoke.TargetID }

type destinationKey struct{}

// withDestination returns a context whose connections are closed again if the target asked
// for no requests while they were opened.
func withDestination(ctx context.Context, target berylspoke.TargetID) context.Context {
	return context.WithValue(ctx, destinationKey{}, destination{target})
}

// dialOpen returns a dial function that opens no connection to a closed target.
func (client *Client) dialOpen(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if to, known := ctx.Value(destinationKey{}).(destination); known && client.closed.refuses(time.Now(), to.target, address) {
			_ = conn.Close()
			return nil, closedRefusal(to.target)
		}
		return berylresponse.NewConn(conn), nil
	}
}

// followAdvice records what the answer to a request asks for, and reports whether it
// rejects the request and asks for rest. An answer that does not name the request may come
// from another target.
func (client *Client) followAdvice(target berylspoke.TargetID, request berylspoke.RequestID, response *http.Response) bool {
	if response.Header.Get(RequestHeader) != string(request) {
		return false
	}
	advice := berylnode.Advice{
		Target: target, Address: response.Request.URL.Host, Leaving: response.Header.Get(LeavingHeader) == "1", At: time.Now(),
	}
	rejected := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
	if rejected {
		advice.Rest, rejected = parseRest(response.Header.Get("Retry-After"))
	}
	if advice.Leaving || advice.Rest > 0 {
		client.closed.record(advice)
		client.options.OnAdvice(advice)
	}
	return rejected
}

// parseRest parses a delay in seconds, which must not be negative.
func parseRest(value string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second)), true
}
