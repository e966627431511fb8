package berylserve

// This file defines streamed drafts, their resumption and their delivery.

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylconfig"
	"berylspoke/core/berylnode"
)

const (
	// maxAttempts bounds the attempts of one draft.
	maxAttempts = 6
	// chargeEvery is the time between two charges while a draft streams.
	chargeEvery = 200 * time.Millisecond
)

type wireDraftRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"maxTokens"`
	Hint      int64  `json:"hint"`
	Offset    int64  `json:"offset"`
}

type wireDraftLine struct {
	Offset  int64      `json:"offset"`
	Text    string     `json:"text,omitempty"`
	Tokens  int64      `json:"tokens,omitempty"`
	End     bool       `json:"end,omitempty"`
	Waiting bool       `json:"waiting,omitempty"`
	Error   *wireError `json:"error,omitempty"`
}

// stream is the answer to one caller, delivered each byte once and in order.
type stream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	encoder *json.Encoder
	opened  bool
	next    berylspoke.Tokens
}

func newStream(writer http.ResponseWriter, offset berylspoke.Tokens) *stream {
	return &stream{
		writer: writer, control: http.NewResponseController(writer),
		encoder: json.NewEncoder(writer), next: offset,
	}
}

// writeTimeout ends a stream whose caller takes nothing any more.
const writeTimeout = 30 * time.Second

func (stream *stream) write(line wireDraftLine) error {
	if !stream.opened {
		stream.opened = true
		stream.writer.Header().Set("Content-Type", "application/x-ndjson")
		stream.writer.WriteHeader(http.StatusOK)
	}
	_ = stream.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := stream.encoder.Encode(line); err != nil {
		return err
	}
	return stream.control.Flush()
}

// beat tells a waiting caller that its connection and its request are alive.
func (stream *stream) beat() error {
	return stream.write(wireDraftLine{Offset: int64(stream.next), Waiting: true})
}

func (stream *stream) chunk(chunk berylspoke.Chunk) error {
	err := stream.write(wireDraftLine{
		Offset: int64(chunk.Offset), Text: chunk.Text, Tokens: int64(chunk.Tokens), End: chunk.End,
	})
	if err == nil {
		stream.next = chunk.Offset + chunk.Tokens
	}
	return err
}

func (daemon *Daemon) serveDraft(writer http.ResponseWriter, request *http.Request, from caller) {
	service := berylspoke.ServiceID(request.PathValue("service"))
	if daemon.Declarations().Services[service].Kind != berylconfig.KindModel {
		daemon.refuse(writer, 0, &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonUnknown})
		return
	}
	var body wireDraftRequest
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		daemon.refuse(writer, 0, malformed("draft is not valid: %v", err))
		return
	}
	if body.Prompt == "" || body.Offset < 0 || body.MaxTokens < 0 || body.Hint < 0 {
		daemon.refuse(writer, 0, malformed("draft needs a prompt and no negative number"))
		return
	}
	// The body is read; the deadline on it must not end a long stream.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	stream := newStream(writer, berylspoke.Tokens(body.Offset))
	refusal := daemon.draft(request.Context(), from, service, body, stream)
	if refusal == nil {
		return
	}
	if !stream.opened {
		daemon.refuse(writer, 0, refusal)
		return
	}
	failure := failureOf(refusal).Error
	_ = stream.write(wireDraftLine{Offset: int64(stream.next), Error: &failure})
	daemon.countRefusal(refusal)
}

// draft runs a draft to its end. An engine or a connection that is lost on the
// way is replaced, and the stream goes on at the offset that the caller has: an
// answer is never cut by a fault that another target can make good.
func (daemon *Daemon) draft(ctx context.Context, from caller, service berylspoke.ServiceID, body wireDraftRequest, stream *stream) *berylspoke.Refusal {
	started := time.Now()
	for count := 1; ; count++ {
		attempt := daemon.newAttempt(from, service, berylspoke.Tokens(body.Hint), body.Prompt, nil)
		target, refusal := attempt.wait(ctx, stream.beat)
		if refusal != nil {
			return refusal
		}
		err := daemon.stream(ctx, attempt, target, body, stream, started)
		if err == nil {
			daemon.logDraft(attempt, target, stream, count, "ran", nil)
			return nil
		}
		refusal = asRefusal(err)
		daemon.logDraft(attempt, target, stream, count, refusal.Verdict.String(), err)
		if ctx.Err() != nil {
			return refusal
		}
		if count == maxAttempts || !daemon.mayRetry() {
			refusal.RetryAfter = time.Second
			return refusal
		}
	}
}

func (daemon *Daemon) logDraft(attempt *attempt, target berylspoke.TargetID, stream *stream, count int, verdict string, err error) {
	log := daemon.log.Debug
	if err != nil {
		log = daemon.log.Warn
	}
	log("draft attempt ended", zap.String("request", string(attempt.request.Request)),
		zap.String("organisation", string(attempt.request.Organisation)), zap.String("target", string(target)),
		zap.String("verdict", verdict), zap.Int("attempt", count), zap.Int64("offset", int64(stream.next)), zap.Error(err))
}

// stream carries one attempt's chunks to the caller and charges them.
func (daemon *Daemon) stream(ctx context.Context, attempt *attempt, target berylspoke.TargetID, body wireDraftRequest, stream *stream, arrived time.Time) error {
	begin := stream.next
	meter := new(paceMeter)
	moved := len(body.Prompt)
	lastCharge := time.Now()
	draft := berylspoke.Draft{
		Request: attempt.request.Request, Prompt: body.Prompt,
		MaxTokens: berylspoke.Tokens(body.MaxTokens), Offset: begin,
	}
	callerGone := false
	err := daemon.targets.Stream(ctx, target, draft, func(chunk berylspoke.Chunk) error {
		now := time.Now()
		if chunk.Offset == 0 && chunk.Tokens > 0 {
			daemon.firstToken(now.Sub(arrived))
		}
		moved += len(chunk.Text) + chunkOverhead
		if err := stream.chunk(chunk); err != nil {
			callerGone = true
			return err
		}
		meter.add(now, chunk.Tokens)
		if now.Sub(lastCharge) >= chargeEvery {
			lastCharge = now
			daemon.send(progress{attempt.request.Request, stream.next - begin, meter.pace()})
		}
		return nil
	})
	daemon.data.add(daemon.targetLink(target), uint64(moved))
	attempt.finish(berylnode.Outcome{
		Received: stream.next - begin, Bytes: moved,
		Failed: err != nil && !callerGone && ctx.Err() == nil,
	})
	return err
}

// chunkOverhead is about what a line adds to its text between engine and entry.
const chunkOverhead = 80

// paceMeter measures the time between tokens of one stream.
type paceMeter struct {
	first, last time.Time
	tokens      berylspoke.Tokens
}

func (meter *paceMeter) add(now time.Time, tokens berylspoke.Tokens) {
	if meter.first.IsZero() {
		meter.first = now
		return
	}
	meter.last = now
	meter.tokens += tokens
}

// pace returns the mean time between tokens after the first chunk, or zero.
func (meter *paceMeter) pace() time.Duration {
	if meter.tokens == 0 {
		return 0
	}
	return meter.last.Sub(meter.first) / time.Duration(meter.tokens)
}
