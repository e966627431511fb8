package beryltarget

// This file defines streams of model engines and the watchdog over their progress.

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
	"berylspoke/io/berylconn"
)

type wireGeneration struct {
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

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// errStalled ends a stream whose connection delivers nothing although the engine
// produces tokens.
var errStalled = errors.New("connection is silent while the engine produces")

// Stream implements berylspoke.Targets. It returns nil after the last chunk.
func (client *Client) Stream(ctx context.Context, target berylspoke.TargetID, generation berylspoke.GenerationRequest, sink func(berylspoke.Chunk) error) error {
	address, err := client.requestURL(target, "/v1/generate")
	if err != nil {
		return err
	}
	body, err := json.Marshal(wireGeneration{
		Request: string(generation.Request), Prompt: generation.Prompt,
		MaxTokens: int64(generation.MaxTokens), Offset: int64(generation.Offset),
	})
	if err != nil {
		return errors.Wrap(err, "draft cannot be encoded")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := startWatchdog(client, target, generation, cancel)
	defer watchdog.stop()
	request, err := http.NewRequestWithContext(withDestination(ctx, target), http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "draft request cannot be made")
	}
	request.Header.Set(RequestHeader, string(generation.Request))
	response, err := client.streams.Do(request)
	if err != nil {
		return streamRefusal(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if client.followAdvice(target, generation.Request, response) {
		return closedRefusal(target)
	}
	if response.StatusCode != http.StatusOK {
		return &berylspoke.Refusal{
			Verdict: berylspoke.MayHaveRun, Reason: berylspoke.ReasonTargetFailed,
			Cause: errors.Errorf("engine %s answers %s", target, response.Status),
		}
	}
	return client.readStream(ctx, response, generation, watchdog, sink)
}

// streamRefusal returns the refusal for an error of a stream. The cause for which its
// context was cancelled takes precedence over the error of net/http that follows from it.
func streamRefusal(ctx context.Context, err error) *berylspoke.Refusal {
	if reason := context.Cause(ctx); reason != nil {
		err = reason
	}
	return targetRefusal(err)
}

// readStream passes chunks to sink in order, each token once. A line of another request
// or an unexpected offset shows that answers were mixed up; the stream then fails, and
// the caller resumes it from the last offset that sink received.
func (client *Client) readStream(ctx context.Context, response *http.Response, generation berylspoke.GenerationRequest, watchdog *watchdog, sink func(berylspoke.Chunk) error) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	next := int64(generation.Offset)
	for scanner.Scan() {
		var line wireChunk
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return targetRefusal(errors.Wrap(err, "stream is garbled"))
		}
		switch {
		case line.Error != "":
			return targetRefusal(errors.Errorf("engine says %.200s", line.Error))
		case line.Request != string(generation.Request):
			return targetRefusal(errors.Errorf("stream names request %.80q", line.Request))
		case line.Offset != next:
			return targetRefusal(errors.Errorf("stream goes on at %d instead of %d", line.Offset, next))
		}
		next += line.Tokens
		watchdog.reportProgress(next)
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
		return streamRefusal(ctx, err)
	}
	return streamRefusal(ctx, errors.New("stream ends before its last line"))
}

// probe asks the engine over a new connection how many tokens of a request it has
// produced.
func (client *Client) probe(ctx context.Context, target berylspoke.TargetID, id berylspoke.RequestID) (wireProgress, error) {
	address, err := client.controlURL(target, "/v1/requests?id="+url.QueryEscape(string(id)))
	if err != nil {
		return wireProgress{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return wireProgress{}, err
	}
	response, err := client.streams.Do(request)
	if err != nil {
		return wireProgress{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := berylconn.ReadAll(response.Body, maxReportBytes, nil)
	if err != nil {
		return wireProgress{}, err
	}
	var state wireProgress
	err = json.Unmarshal(content, &state)
	return state, err
}

// watchdog ends a stream whose connection has stalled, but not one whose engine is slow.
type watchdog struct {
	client     *Client
	target     berylspoke.TargetID
	generation berylspoke.GenerationRequest
	cancel     context.CancelCauseFunc
	progress   chan int64
	done       chan struct{}
}

func startWatchdog(client *Client, target berylspoke.TargetID, generation berylspoke.GenerationRequest, cancel context.CancelCauseFunc) *watchdog {
	started := &watchdog{
		client: client, target: target, generation: generation, cancel: cancel,
		progress: make(chan int64, 1), done: make(chan struct{}),
	}
	go started.run()
	return started
}

func (watchdog *watchdog) stop() { close(watchdog.done) }

func (watchdog *watchdog) reportProgress(offset int64) {
	select {
	case <-watchdog.progress:
	default:
	}
	watchdog.progress <- offset
}

// maxProbeFailures is the number of failed probes, without progress between them, after
// which a stream is ended.
const maxProbeFailures = 2

// run probes the engine whenever no chunk has arrived within the timeout. A middlebox may
// have dropped the state of the connection, which then delivers nothing and reports no
// error while new connections work. The connection has stalled if the engine reports more
// tokens than have arrived, or does not know the request. Otherwise the engine is only
// slow.
func (watchdog *watchdog) run() {
	received, timeout, failures := int64(watchdog.generation.Offset), watchdog.client.options.FirstTokenTimeout, 0
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-watchdog.done:
			return
		case received = <-watchdog.progress:
			timeout, failures = watchdog.client.options.ProgressTimeout, 0
			timer.Reset(timeout)
		case <-timer.C:
			state, err := watchdog.client.probe(context.Background(), watchdog.target, watchdog.generation.Request)
			if err != nil && !errors.Is(err, errClosed) {
				failures++
			}
			stalled := err == nil && (state.Produced > received || state.State == stateUnknown)
			if stalled && !watchdog.progressArrives(&received) || failures >= maxProbeFailures {
				watchdog.cancel(errStalled)
				return
			}
			timer.Reset(timeout)
		}
	}
}

// probeGracePeriod is the wait for a chunk that was in flight during the probe.
const probeGracePeriod = 250 * time.Millisecond

// progressArrives waits for a chunk that was in flight during a probe and reports whether
// one arrived or the stream has ended.
func (watchdog *watchdog) progressArrives(received *int64) bool {
	select {
	case <-watchdog.done:
		return true
	case *received = <-watchdog.progress:
		return true
	case <-time.After(probeGracePeriod):
		return false
	}
}

// stateUnknown is the state that an engine reports for a request that it does not have.
const stateUnknown = "unknown"
