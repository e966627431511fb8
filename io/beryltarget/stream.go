package beryltarget

// This file defines streams of model engines and the watch over their progress.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

type wireDraft struct {
	Request   string `json:"request"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"maxTokens"`
	Offset    int64  `json:"offset"`
}

type wireChunk struct {
	Request string `json:"request"`
	Offset  int64  `json:"offset"`
	Text    string `json:"text"`
	Tokens  int64  `json:"tokens"`
	End     bool   `json:"end"`
	Error   string `json:"error,omitempty"`
}

type wireProgress struct {
	State    string `json:"state"`
	Produced int64  `json:"produced"`
}

// maxLine bounds one line of a stream.
const maxLine = 1 << 20

// errSilent ends a stream whose connection carries nothing although the engine
// went on.
var errSilent = errors.New("connection is silent while the engine produces")

// Stream implements berylspoke.Targets; it returns nil after the last chunk.
func (client *Client) Stream(ctx context.Context, target berylspoke.TargetID, draft berylspoke.Draft, sink func(berylspoke.Chunk) error) error {
	address, err := client.url(target, "/v1/generate")
	if err != nil {
		return err
	}
	body, err := json.Marshal(wireDraft{
		Request: string(draft.Request), Prompt: draft.Prompt,
		MaxTokens: int64(draft.MaxTokens), Offset: int64(draft.Offset),
	})
	if err != nil {
		return errors.Wrap(err, "draft cannot be encoded")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatch(client, target, draft, cancel)
	defer watch.stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "draft request cannot be made")
	}
	request.Header.Set(RequestHeader, string(draft.Request))
	response, err := client.streams.Do(request)
	if err != nil {
		return cause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTarget,
			Cause: errors.Errorf("engine %s answers %s", target, response.Status),
		}
	}
	return client.read(ctx, response, draft, watch, sink)
}

// cause prefers the reason for which the stream was ended over what net/http
// made of it.
func cause(ctx context.Context, err error) *berylspoke.Refusal {
	if reason := context.Cause(ctx); reason != nil {
		err = reason
	}
	return failure(err)
}

// read passes chunks on in order, each byte once. A line of another request
// or a gap shows that answers crossed; the stream ends there and is resumed
// from the last offset that was passed on.
func (client *Client) read(ctx context.Context, response *http.Response, draft berylspoke.Draft, watch *watch, sink func(berylspoke.Chunk) error) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	next := int64(draft.Offset)
	for scanner.Scan() {
		var line wireChunk
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return failure(errors.Wrap(err, "stream is garbled"))
		}
		switch {
		case line.Error != "":
			return failure(errors.Errorf("engine says %.200s", line.Error))
		case line.Request != string(draft.Request):
			return failure(errors.Errorf("stream names request %.80q", line.Request))
		case line.Offset != next:
			return failure(errors.Errorf("stream goes on at %d instead of %d", line.Offset, next))
		}
		next += line.Tokens
		watch.progressed(next)
		chunk := berylspoke.Chunk{
			Offset: berylspoke.Tokens(line.Offset), Text: line.Text,
			Tokens: berylspoke.Tokens(line.Tokens), End: line.End,
		}
		if err := sink(chunk); err != nil {
			return err
		}
		if line.End {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return cause(ctx, err)
	}
	return cause(ctx, errors.New("stream ends before its last line"))
}

// progress asks the engine over a fresh connection how far a request is.
func (client *Client) progress(ctx context.Context, target berylspoke.TargetID, request berylspoke.RequestID) (wireProgress, error) {
	address, err := client.url(target, "/v1/requests?id="+url.QueryEscape(string(request)))
	if err != nil {
		return wireProgress{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return wireProgress{}, err
	}
	response, err := client.streams.Do(ask)
	if err != nil {
		return wireProgress{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var state wireProgress
	err = json.NewDecoder(response.Body).Decode(&state)
	return state, err
}

// watch ends a stream that is silent rather than slow.
type watch struct {
	client   *Client
	target   berylspoke.TargetID
	draft    berylspoke.Draft
	cancel   context.CancelCauseFunc
	progress chan int64
	done     chan struct{}
}

func newWatch(client *Client, target berylspoke.TargetID, draft berylspoke.Draft, cancel context.CancelCauseFunc) *watch {
	found := &watch{
		client: client, target: target, draft: draft, cancel: cancel,
		progress: make(chan int64, 1), done: make(chan struct{}),
	}
	go found.run()
	return found
}

func (watch *watch) stop() { close(watch.done) }

func (watch *watch) progressed(offset int64) {
	select {
	case <-watch.progress:
	default:
	}
	watch.progress <- offset
}

// probeFailures is the number of unanswered probes that end a stream.
const probeFailures = 2

// run probes after each silence. Something between the two ends may have
// forgotten the connection: it carries nothing more, without an error, while
// new connections work. An engine that says over a new connection that it is
// ahead of what arrived proves this; one that is not ahead is merely slow.
func (watch *watch) run() {
	received, patience, failures := int64(watch.draft.Offset), watch.client.options.FirstToken, 0
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case <-watch.done:
			return
		case received = <-watch.progress:
			patience, failures = watch.client.options.Progress, 0
			timer.Reset(patience)
		case <-timer.C:
			state, err := watch.client.progress(context.Background(), watch.target, watch.draft.Request)
			if err != nil {
				failures++
			}
			silent := err == nil && (state.Produced > received || state.State == stateUnknown)
			if silent && !watch.arrives(&received) || failures >= probeFailures {
				watch.cancel(errSilent)
				return
			}
			timer.Reset(patience)
		}
	}
}

// probeGrace is the time in which a token that the probe overtook arrives.
const probeGrace = 250 * time.Millisecond

// arrives waits for progress that was on its way during a probe.
func (watch *watch) arrives(received *int64) bool {
	select {
	case <-watch.done:
		return true
	case *received = <-watch.progress:
		return true
	case <-time.After(probeGrace):
		return false
	}
}

// stateUnknown is what an engine says of a request that it does not have.
const stateUnknown = "unknown"
