package berylcall

// This file defines calls to plain services.

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
	"berylspoke/io/berylconn"
)

// Outcome is the result of a call.
type Outcome struct {
	ID      string
	Verdict berylspoke.Verdict
	Status  int
	Body    []byte
	// Err says why there is no complete answer; it is nil if there is one.
	Err error
}

// callTimeout bounds the wait for the owner, after which the id is settled.
const callTimeout = 30 * time.Second

// NewID returns an id for a non-idempotent call and the address of its owner.
func (client *Client) NewID(ctx context.Context) (id, owner string, err error) {
	for {
		resolution, err := client.resolve(ctx)
		if err != nil {
			return "", "", err
		}
		client.mutex.Lock()
		number := client.nextNumber
		client.nextNumber++
		client.mutex.Unlock()
		if number < resolution.Calls {
			return fmt.Sprintf("%s~%d", resolution.Ticket, number), resolution.Owner, nil
		}
		client.InvalidateAddresses()
	}
}

// CallOnce sends a non-idempotent call under an id to the owner of the id, once. It never
// repeats the call: if the answer is lost, it settles the id.
func (client *Client) CallOnce(ctx context.Context, service berylspoke.ServiceID, path, id, owner, contentType string, body []byte) Outcome {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.send(callCtx, http.MethodPost, owner, callPath(service, path), id, contentType, bytes.NewReader(body))
	if err != nil {
		return client.Settle(ctx, id, owner)
	}
	defer func() { _ = response.Body.Close() }()
	return readOutcome(id, response)
}

func callPath(service berylspoke.ServiceID, path string) string {
	return "/v1/services/" + string(service) + "/calls" + path
}

func readOutcome(id string, response *http.Response) Outcome {
	outcome := Outcome{ID: id, Status: response.StatusCode, Verdict: parseVerdict(response.Header.Get(verdictHeader))}
	if outcome.Verdict != berylspoke.Ran {
		outcome.Err = readFailure(response)
		return outcome
	}
	outcome.Body, outcome.Err = berylconn.ReadAll(response.Body, maxAnswerBytes, nil)
	return outcome
}

// maxSettleAttempts bounds the requests to daemons for the outcome of one id.
const maxSettleAttempts = 20

// Settle returns the outcome of an id. It asks the owner and the seeds in turn until one
// of them knows the final outcome.
func (client *Client) Settle(ctx context.Context, id, owner string) Outcome {
	addresses := append([]string{owner}, client.options.Seeds...)
	outcome := Outcome{ID: id, Verdict: berylspoke.MayHaveRun, Err: errors.New("no daemon answered")}
	for attempt := range maxSettleAttempts {
		address := addresses[attempt%len(addresses)]
		attemptCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
		response, err := client.send(attemptCtx, http.MethodGet, address, "/v1/calls/"+url.PathEscape(id), "", "", nil)
		if err == nil {
			outcome = readOutcome(id, response)
			_ = response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode != http.StatusAccepted && response.StatusCode != http.StatusServiceUnavailable {
			return outcome
		}
		if !client.waitToRetry(ctx, err) {
			break
		}
	}
	return outcome
}

// Get runs an idempotent call, a GET, and retries it at other daemons if one fails.
func (client *Client) Get(ctx context.Context, service berylspoke.ServiceID, path string) Outcome {
	outcome := Outcome{Err: errors.New("no attempt was made")}
	for attempt := range defaultAttempts {
		address, err := client.address(ctx, attempt)
		if err != nil {
			return Outcome{Err: err}
		}
		response, err := client.send(ctx, http.MethodGet, address, callPath(service, path), "", "", nil)
		if err == nil {
			outcome = readOutcome("", response)
			_ = response.Body.Close()
			err = outcome.Err
		} else {
			outcome.Err = err
		}
		if err == nil || !client.waitToRetry(ctx, err) {
			return outcome
		}
	}
	return outcome
}
