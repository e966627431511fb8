package berylcall

// This file defines generation requests (drafts, in the API): streaming, and resuming at
// another daemon.

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

type wireGenerationRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"maxTokens,omitempty"`
	Hint      int64  `json:"hint,omitempty"`
	Offset    int64  `json:"offset,omitempty"`
}

type wireGenerationLine struct {
	Offset  int64      `json:"offset"`
	Text    string     `json:"text"`
	Tokens  int64      `json:"tokens"`
	End     bool       `json:"end"`
	Waiting bool       `json:"waiting"`
	Error   *wireError `json:"error"`
}

// GenerationRequest is a request for generated text.
type GenerationRequest struct {
	Service   berylspoke.ServiceID
	Prompt    string
	MaxTokens berylspoke.Tokens
	Hint      berylspoke.Tokens
	// MaxAttempts bounds the attempts; zero means the default.
	MaxAttempts int
}

const (
	defaultAttempts = 8
	minRetryDelay   = 300 * time.Millisecond
	// silenceTimeout is the time without a line after which a stream counts as lost. A
	// daemon sends heartbeats while a request waits.
	silenceTimeout = 10 * time.Second
	maxLineBytes   = 1 << 20
)

// Stream sends a generation request and passes each piece of the text to sink once and in
// order. It resumes at another daemon if one fails, and returns the number of tokens.
func (client *Client) Stream(ctx context.Context, generation GenerationRequest, sink func(text string, tokens berylspoke.Tokens)) (berylspoke.Tokens, error) {
	maxAttempts := generation.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultAttempts
	}
	var next berylspoke.Tokens
	var lastErr error
	for attempt := range maxAttempts {
		complete, err := client.streamOnce(ctx, generation, attempt, &next, sink)
		if complete {
			return next, nil
		}
		lastErr = err
		if !client.waitToRetry(ctx, err) {
			return next, err
		}
	}
	return next, errors.Wrapf(lastErr, "generation request failed after %d attempts", maxAttempts)
}

// waitToRetry reports whether to make another attempt. If one may succeed, it expires the
// cached addresses and waits for the delay that the daemon requested, or for minRetryDelay
// if that is longer. It returns false if the context ends during the wait.
func (client *Client) waitToRetry(ctx context.Context, err error) bool {
	delay := minRetryDelay
	var failure *Failure
	if errors.As(err, &failure) {
		switch failure.Reason {
		case berylspoke.ReasonMalformed, berylspoke.ReasonUnauthorised, berylspoke.ReasonUnknownService, berylspoke.ReasonTicketRequired:
			return false
		}
		delay = max(failure.RetryAfter, delay)
	}
	client.InvalidateAddresses()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (client *Client) streamOnce(ctx context.Context, generation GenerationRequest, attempt int, next *berylspoke.Tokens, sink func(string, berylspoke.Tokens)) (bool, error) {
	address, err := client.address(ctx, attempt)
	if err != nil {
		return false, err
	}
	body, err := json.Marshal(wireGenerationRequest{generation.Prompt, int64(generation.MaxTokens), int64(generation.Hint), int64(*next)})
	if err != nil {
		return false, errors.Wrap(err, "cannot encode the generation request")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(silenceTimeout, cancel)
	defer silenceTimer.Stop()
	response, err := client.send(ctx, http.MethodPost, address, "/v1/services/"+string(generation.Service)+"/drafts", "", "application/json", bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "request to a daemon failed")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, readFailure(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		silenceTimer.Reset(silenceTimeout)
		complete, err := handleLine(scanner.Bytes(), next, sink)
		if complete || err != nil {
			return complete, err
		}
	}
	return false, errors.New("stream ended before its last line")
}

// handleLine handles one line of a stream and reports whether it is the last one.
func handleLine(line []byte, next *berylspoke.Tokens, sink func(string, berylspoke.Tokens)) (bool, error) {
	var wire wireGenerationLine
	if err := json.Unmarshal(line, &wire); err != nil {
		return false, errors.Wrap(err, "malformed line in the stream")
	}
	switch {
	case wire.Waiting:
		return false, nil
	case wire.Error != nil:
		return false, wire.Error.failure()
	case wire.Offset != int64(*next):
		return false, errors.Errorf("stream continues at offset %d instead of %d", wire.Offset, *next)
	}
	if wire.Tokens > 0 {
		sink(wire.Text, berylspoke.Tokens(wire.Tokens))
	}
	*next += berylspoke.Tokens(wire.Tokens)
	return wire.End, nil
}
