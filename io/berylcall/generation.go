package berylcall

// This file defines drafts: streaming, and resuming at another daemon.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

type wireDraftRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"maxTokens,omitempty"`
	Hint      int64  `json:"hint,omitempty"`
	Offset    int64  `json:"offset,omitempty"`
}

type wireDraftLine struct {
	Offset  int64      `json:"offset"`
	Text    string     `json:"text"`
	Tokens  int64      `json:"tokens"`
	End     bool       `json:"end"`
	Waiting bool       `json:"waiting"`
	Error   *wireError `json:"error"`
}

// Draft is a draft to be written.
type Draft struct {
	Service   berylspoke.ServiceID
	Prompt    string
	MaxTokens berylspoke.Tokens
	Hint      berylspoke.Tokens
	// Attempts bounds the daemons tried, zero means the default.
	Attempts int
}

const (
	defaultAttempts = 8
	retryPause      = 300 * time.Millisecond
	// lineTimeout is the silence after which a stream counts as lost: a daemon
	// sends heartbeats while a request waits.
	lineTimeout = 10 * time.Second
	maxLine     = 1 << 20
)

// Stream writes a draft and passes on each piece once and in order, resuming at
// another daemon when one is lost; it returns the number of tokens.
func (client *Client) Stream(ctx context.Context, draft Draft, sink func(text string, tokens berylspoke.Tokens)) (berylspoke.Tokens, error) {
	attempts := draft.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	var next berylspoke.Tokens
	var last error
	for attempt := range attempts {
		ended, err := client.streamOnce(ctx, draft, attempt, &next, sink)
		if ended {
			return next, nil
		}
		last = err
		if !client.again(ctx, err) {
			return next, err
		}
	}
	return next, errors.Wrapf(last, "draft failed after %d attempts", attempts)
}

// again waits as the fleet asked for and says whether another attempt is of use.
func (client *Client) again(ctx context.Context, err error) bool {
	wait := retryPause
	var failure *Failure
	if errors.As(err, &failure) {
		switch failure.Reason {
		case berylspoke.ReasonMalformed, berylspoke.ReasonUnauthorised, berylspoke.ReasonUnknown, berylspoke.ReasonTicket:
			return false
		}
		wait = max(failure.RetryAfter, wait)
	}
	client.Forget()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (client *Client) streamOnce(ctx context.Context, draft Draft, attempt int, next *berylspoke.Tokens, sink func(string, berylspoke.Tokens)) (bool, error) {
	address, err := client.address(ctx, attempt)
	if err != nil {
		return false, err
	}
	body, err := json.Marshal(wireDraftRequest{draft.Prompt, int64(draft.MaxTokens), int64(draft.Hint), int64(*next)})
	if err != nil {
		return false, errors.Wrap(err, "draft cannot be encoded")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(lineTimeout, cancel)
	defer silence.Stop()
	response, err := client.send(ctx, http.MethodPost, address, "/v1/services/"+string(draft.Service)+"/drafts", "", "application/json", bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "daemon does not answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, readFailure(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	for scanner.Scan() {
		silence.Reset(lineTimeout)
		ended, err := take(scanner.Bytes(), next, sink)
		if ended || err != nil {
			return ended, err
		}
	}
	return false, errors.New("stream was cut before its end")
}

// take handles one line of a stream.
func take(line []byte, next *berylspoke.Tokens, sink func(string, berylspoke.Tokens)) (bool, error) {
	var wire wireDraftLine
	if err := json.Unmarshal(line, &wire); err != nil {
		return false, errors.Wrap(err, "stream is garbled")
	}
	switch {
	case wire.Waiting:
		return false, nil
	case wire.Error != nil:
		return false, wire.Error.failure()
	case wire.Offset != int64(*next):
		return false, errors.Errorf("stream goes on at %d instead of %d", wire.Offset, *next)
	}
	if wire.Tokens > 0 {
		sink(wire.Text, berylspoke.Tokens(wire.Tokens))
	}
	*next += berylspoke.Tokens(wire.Tokens)
	return wire.End, nil
}
