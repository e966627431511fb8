package berylcall

// This file defines calls of plain services.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

// Outcome is what became of a call.
type Outcome struct {
	ID      string
	Verdict berylspoke.Verdict
	Status  int
	Body    []byte
	// Err is why there is no answer, nil if there is one.
	Err error
}

// fileTimeout bounds the wait for the owner; a longer one is settled elsewhere.
const fileTimeout = 30 * time.Second

// NewID returns an id for a non-idempotent call and the address of its owner.
func (client *Client) NewID(ctx context.Context) (id, owner string, err error) {
	for {
		found, err := client.resolve(ctx)
		if err != nil {
			return "", "", err
		}
		client.mutex.Lock()
		number := client.used
		client.used++
		client.mutex.Unlock()
		if number < found.Calls {
			return fmt.Sprintf("%s~%d", found.Ticket, number), found.Owner, nil
		}
		client.Forget()
	}
}

// File sends a non-idempotent call under an id to its owner once. It never
// repeats the call; after a lost answer it settles the id.
func (client *Client) File(ctx context.Context, service berylspoke.ServiceID, path, id, owner, kind string, body []byte) Outcome {
	sending, cancel := context.WithTimeout(ctx, fileTimeout)
	defer cancel()
	response, err := client.send(sending, http.MethodPost, owner, callPath(service, path), id, kind, bytes.NewReader(body))
	if err != nil {
		return client.Settle(ctx, id, owner)
	}
	defer func() { _ = response.Body.Close() }()
	return outcomeOf(id, response)
}

func callPath(service berylspoke.ServiceID, path string) string {
	return "/v1/services/" + string(service) + "/calls" + path
}

func outcomeOf(id string, response *http.Response) Outcome {
	outcome := Outcome{ID: id, Status: response.StatusCode, Verdict: parseVerdict(response.Header.Get(verdictHeader))}
	if outcome.Verdict != berylspoke.Ran {
		outcome.Err = readFailure(response)
		return outcome
	}
	outcome.Body, outcome.Err = io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return outcome
}

// settleRounds bounds the daemons asked for an outcome.
const settleRounds = 20

// Settle finds out what became of an id, asking the owner and then any daemon
// until one has a final word.
func (client *Client) Settle(ctx context.Context, id, owner string) Outcome {
	addresses := append([]string{owner}, client.options.Seeds...)
	outcome := Outcome{ID: id, Verdict: berylspoke.MayHaveRun, Err: errors.New("no daemon answers")}
	for round := range settleRounds {
		address := addresses[round%len(addresses)]
		asking, cancel := context.WithTimeout(ctx, resolveTimeout)
		response, err := client.send(asking, http.MethodGet, address, "/v1/calls/"+url.PathEscape(id), "", "", nil)
		if err == nil {
			outcome = outcomeOf(id, response)
			_ = response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode != http.StatusAccepted && response.StatusCode != http.StatusServiceUnavailable {
			return outcome
		}
		if !client.again(ctx, err) {
			break
		}
	}
	return outcome
}

// Read runs an idempotent call, at other daemons if one fails.
func (client *Client) Read(ctx context.Context, service berylspoke.ServiceID, path string) Outcome {
	outcome := Outcome{Err: errors.New("not tried")}
	for attempt := range defaultAttempts {
		address, err := client.address(ctx, attempt)
		if err != nil {
			return Outcome{Err: err}
		}
		response, err := client.send(ctx, http.MethodGet, address, callPath(service, path), "", "", nil)
		if err == nil {
			outcome = outcomeOf("", response)
			_ = response.Body.Close()
			err = outcome.Err
		} else {
			outcome.Err = err
		}
		if err == nil || !client.again(ctx, err) {
			return outcome
		}
	}
	return outcome
}
