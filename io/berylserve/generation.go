package berylserve

// This file defines streamed generation requests (drafts, in the API), their delivery
// and their resumption at another target.

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
	// maxAttempts bounds the attempts of one generation request.
	maxAttempts = 6
	// chargeInterval is the time between two charges of received tokens to the
	// organisation while a stream runs.
	chargeInterval = 200 * time.Millisecond
	// draftCopies is how often a draft's text is in memory beside its parts: in the decoder, which may take twice
	// its size, as a prompt, and in what is sent to the engine.
	draftCopies = 4
)

type wireGenerationRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"maxTokens"`
	Hint      int64  `json:"hint"`
	Offset    int64  `json:"offset"`
}

type wireGenerationLine struct {
	Offset  int64      `json:"offset"`
	Text    string     `json:"text,omitempty"`
	Tokens  int64      `json:"tokens,omitempty"`
	End     bool       `json:"end,omitempty"`
	Waiting bool       `json:"waiting,omitempty"`
	Error   *wireError `json:"error,omitempty"`
}

// callerStream is the streamed answer to one caller. It delivers each token once and in
// order; next is the offset of the next token.
type callerStream struct {
	writer     http.ResponseWriter
	control    *http.ResponseController
	encoder    *json.Encoder
	headerSent bool
	next       berylspoke.Tokens
}

func newCallerStream(writer http.ResponseWriter, offset berylspoke.Tokens) *callerStream {
	return &callerStream{
		writer: writer, control: http.NewResponseController(writer),
		encoder: json.NewEncoder(writer), next: offset,
	}
}

// writeTimeout bounds each write to a caller, so that a stream ends if its caller stops
// reading.
const writeTimeout = 30 * time.Second

func (stream *callerStream) write(line wireGenerationLine) error {
	if !stream.headerSent {
		stream.headerSent = true
		stream.writer.Header().Set("Content-Type", "application/x-ndjson")
		stream.writer.WriteHeader(http.StatusOK)
	}
	_ = stream.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := stream.encoder.Encode(line); err != nil {
		return err
	}
	return stream.control.Flush()
}

// heartbeat writes a line that tells a caller that its request still waits.
func (stream *callerStream) heartbeat() error {
	return stream.write(wireGenerationLine{Offset: int64(stream.next), Waiting: true})
}

func (stream *callerStream) writeChunk(chunk berylspoke.Chunk) error {
	err := stream.write(wireGenerationLine{
		Offset: int64(chunk.Offset), Text: chunk.Text, Tokens: int64(chunk.Tokens), End: chunk.End,
	})
	if err == nil {
		stream.next = chunk.Offset + chunk.Tokens
	}
	return err
}

func (daemon *Daemon) serveGeneration(writer http.ResponseWriter, request *http.Request, from caller) {
	service := berylspoke.ServiceID(request.PathValue("service"))
	if daemon.Declarations().Services[service].Kind != berylconfig.KindModel {
		daemon.refuse(writer, 0, &berylspoke.Refusal{Verdict: berylspoke.NotRun, Reason: berylspoke.ReasonUnknownService})
		return
	}
	text, read := daemon.readBody(writer, request, draftCopies, http.StatusBadRequest)
	if !read {
		return
	}
	var body wireGenerationRequest
	decoder := json.NewDecoder(text.Reader())
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		daemon.refuse(writer, 0, malformed("draft is not valid: %v", err))
		return
	}
	if body.Prompt == "" || body.Offset < 0 || body.MaxTokens < 0 || body.Hint < 0 {
		daemon.refuse(writer, 0, malformed("draft needs a prompt and no negative number"))
		return
	}
	// The read deadline is for the body; it must not end a long stream.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	stream := newCallerStream(writer, berylspoke.Tokens(body.Offset))
	refusal := daemon.generate(request.Context(), from, service, body, stream)
	if refusal == nil {
		return
	}
	if !stream.headerSent {
		daemon.refuse(writer, 0, refusal)
		return
	}
	failure := failureBody(refusal).Error
	_ = stream.write(wireGenerationLine{Offset: int64(stream.next), Error: &failure})
	daemon.countRefusal(refusal)
}

// generate streams the answer to a generation request to its end. If an engine or its
// connection fails, another attempt resumes the stream at the offset that the caller has
// reached, so that a fault does not interrupt an answer that another target can complete.
func (daemon *Daemon) generate(ctx context.Context, from caller, service berylspoke.ServiceID, body wireGenerationRequest, stream *callerStream) *berylspoke.Refusal {
	started := time.Now()
	for try := 1; ; try++ {
		attempt := daemon.newAttempt(from, service, berylspoke.Tokens(body.Hint), body.Prompt, nil)
		target, refusal := attempt.awaitTarget(ctx, stream.heartbeat)
		if refusal != nil {
			return refusal
		}
		err := daemon.streamAttempt(ctx, attempt, target, body, stream, started)
		if err == nil {
			daemon.logAttempt(attempt, target, stream, try, "ran", nil)
			return nil
		}
		refusal = asRefusal(err)
		daemon.logAttempt(attempt, target, stream, try, refusal.Verdict.String(), err)
		if ctx.Err() != nil {
			return refusal
		}
		if try == maxAttempts || !daemon.mayRetry() {
			refusal.RetryAfter = time.Second
			return refusal
		}
	}
}

func (daemon *Daemon) logAttempt(attempt *attempt, target berylspoke.TargetID, stream *callerStream, try int, verdict string, err error) {
	log := daemon.log.Debug
	if err != nil {
		log = daemon.log.Warn
	}
	log("draft attempt ended", zap.String("request", string(attempt.request.Request)),
		zap.String("organisation", string(attempt.request.Organisation)), zap.String("target", string(target)),
		zap.String("verdict", verdict), zap.Int("attempt", try), zap.Int64("offset", int64(stream.next)), zap.Error(err))
}

// streamAttempt passes the chunks of one attempt to the caller and reports them to the
// node, which charges them.
func (daemon *Daemon) streamAttempt(ctx context.Context, attempt *attempt, target berylspoke.TargetID, body wireGenerationRequest, stream *callerStream, arrived time.Time) error {
	startOffset := stream.next
	meter := new(tokenIntervalMeter)
	transferred := len(body.Prompt)
	lastCharge := time.Now()
	generation := berylspoke.GenerationRequest{
		Request: attempt.request.Request, Prompt: body.Prompt,
		MaxTokens: berylspoke.Tokens(body.MaxTokens), Offset: startOffset,
	}
	callerDisconnected := false
	err := daemon.targets.Stream(ctx, target, generation, func(chunk berylspoke.Chunk) error {
		now := time.Now()
		if chunk.Offset == 0 && chunk.Tokens > 0 {
			daemon.observeFirstToken(now.Sub(arrived))
		}
		transferred += len(chunk.Text) + chunkOverheadBytes
		if err := stream.writeChunk(chunk); err != nil {
			callerDisconnected = true
			return err
		}
		meter.add(now, chunk.Tokens)
		if now.Sub(lastCharge) >= chargeInterval {
			lastCharge = now
			daemon.send(progress{attempt.request.Request, stream.next - startOffset, meter.mean()})
		}
		return nil
	})
	daemon.dataTraffic.add(daemon.targetLink(target), uint64(transferred))
	attempt.finish(berylnode.Outcome{
		Received: stream.next - startOffset, Bytes: transferred,
		Failed: err != nil && !callerDisconnected && ctx.Err() == nil && !wantsNoRequests(err),
	})
	return err
}

// chunkOverheadBytes approximates the size of a line of an engine's stream without its
// text.
const chunkOverheadBytes = 80

// tokenIntervalMeter measures the mean time between tokens of one stream.
type tokenIntervalMeter struct {
	first, last time.Time
	tokens      berylspoke.Tokens
}

func (meter *tokenIntervalMeter) add(now time.Time, tokens berylspoke.Tokens) {
	if meter.first.IsZero() {
		meter.first = now
		return
	}
	meter.last = now
	meter.tokens += tokens
}

// mean returns the mean time between tokens after the first chunk, or zero if there are
// none.
func (meter *tokenIntervalMeter) mean() time.Duration {
	if meter.tokens == 0 {
		return 0
	}
	return meter.last.Sub(meter.first) / time.Duration(meter.tokens)
}
