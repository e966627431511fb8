package berylstand

// This file defines the fake of a model engine.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylspoke"
)

// EngineOptions set the speed and the size of an engine.
type EngineOptions struct {
	// Slots is the maximum batch size; further requests wait inside the engine.
	Slots int
	// StepTime is the time of a decoding step of a batch of one; each further request
	// in the batch adds StepTimePerRequest.
	StepTime, StepTimePerRequest time.Duration
	// PrefillPerToken is the time to prefill a prompt token that is not cached.
	PrefillPerToken time.Duration
	// MaxCachedPrefixes is the capacity of the prefix cache.
	MaxCachedPrefixes int
	// ReportInterval is the time between two updates of the load report.
	ReportInterval time.Duration
	// ChunkTokens is the number of tokens in one line of the stream.
	ChunkTokens int
	// IgnoreFence makes the engine accept orders with an old fencing number.
	IgnoreFence bool
}

// DefaultEngineOptions returns the options of a small engine, which takes about 30 ms per
// token with a full batch.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		Slots: 8, StepTime: 20 * time.Millisecond, StepTimePerRequest: time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond, MaxCachedPrefixes: 64,
		ReportInterval: 500 * time.Millisecond, ChunkTokens: 1,
	}
}

type engineRequest struct {
	Request   string `json:"request"`
	Prompt    string `json:"prompt"`
	MaxTokens int64  `json:"maxTokens"`
	Offset    int64  `json:"offset"`
}

type engineLine struct {
	Request string `json:"request"`
	Offset  int64  `json:"offset"`
	Text    string `json:"text"`
	Tokens  int64  `json:"tokens"`
	End     bool   `json:"end"`
}

type engineLoad struct {
	Running int                    `json:"running"`
	Waiting int                    `json:"waiting"`
	Order   berylspoke.EngineOrder `json:"held"`
}

type cacheEvent struct {
	Number  uint64 `json:"number"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`
}

// Engine generates deterministic text with continuous batching.
type Engine struct {
	// Advice is what the engine asks of its callers.
	Advice
	options EngineOptions
	slots   chan struct{}
	mutex   sync.Mutex
	running int
	waiting int
	// produced is the number of tokens generated for each request, requestIDs the ids of
	// these requests in the order of their arrival.
	produced   map[string]int64
	requestIDs []string
	// tokens is the number of tokens generated in total, slotTime the sum of the times
	// for which slots were in use, up to slotTimeUpdated.
	tokens          int64
	slotTime        time.Duration
	slotTimeUpdated time.Time
	// report is the load report, updated by Run.
	report engineLoad
	// order is the last order accepted.
	order berylspoke.EngineOrder
	// prefixes are the hashes of the cached prefixes, least recently used first.
	prefixes []uint64
	events   []cacheEvent
}

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{options: options, slots: make(chan struct{}, options.Slots), produced: make(map[string]int64)}
}

// Handler returns the HTTP interface of the engine.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", engine.serveGenerate)
	mux.HandleFunc("GET /v1/requests", engine.serveRequest)
	mux.HandleFunc("GET /v1/load", engine.serveLoad)
	mux.HandleFunc("POST /v1/orders", engine.serveOrder)
	mux.HandleFunc("GET /v1/cacheEvents", engine.serveEvents)
	mux.HandleFunc("GET /v1/stats", engine.serveStats)
	return engine.wrap(mux, func(path string) bool { return path != "/v1/generate" })
}

// maxTrackedRequests bounds the requests whose progress is kept.
const maxTrackedRequests = 4096

// Run updates the load report in each interval until the context ends.
func (engine *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(max(engine.options.ReportInterval, 10*time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			engine.mutex.Lock()
			engine.report = engineLoad{Running: engine.running, Waiting: engine.waiting, Order: engine.order}
			engine.mutex.Unlock()
		}
	}
}

var lengthPattern = regexp.MustCompile(`\[tokens=(\d+)\]`)

// OutputLength returns the number of tokens generated for a prompt, at most maxTokens if
// that is positive. A prompt sets it with "[tokens=N]"; otherwise it is 20 to 199,
// derived from a hash of the prompt.
func OutputLength(prompt string, maxTokens int64) int64 {
	length := int64(20 + xxhash.Sum64String(prompt)%180)
	if match := lengthPattern.FindStringSubmatch(prompt); match != nil {
		length, _ = strconv.ParseInt(match[1], 10, 64)
	}
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	return length
}

// OutputToken returns a token of the text generated for a prompt.
func OutputToken(prompt string, index int64) string {
	return fmt.Sprintf("w%d ", xxhash.Sum64String(fmt.Sprintf("%s#%d", prompt, index))%10000)
}

// OutputText returns the whole text generated for a prompt.
func OutputText(prompt string, maxTokens int64) string {
	var text strings.Builder
	for index := range OutputLength(prompt, maxTokens) {
		text.WriteString(OutputToken(prompt, index))
	}
	return text.String()
}

func (engine *Engine) serveGenerate(writer http.ResponseWriter, request *http.Request) {
	var body engineRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(writer, "request is garbled", http.StatusBadRequest)
		return
	}
	ctx := request.Context()
	engine.recordProgress(body.Request, body.Offset)
	engine.add(&engine.waiting, 1)
	select {
	case <-ctx.Done():
		engine.add(&engine.waiting, -1)
		return
	case engine.slots <- struct{}{}:
	}
	engine.add(&engine.waiting, -1)
	engine.addRunning(1)
	defer func() {
		engine.addRunning(-1)
		<-engine.slots
	}()
	if !sleep(ctx, engine.prefill(body.Prompt)) {
		return
	}
	engine.generate(ctx, writer, body)
}

// add adds to a counter.
func (engine *Engine) add(counter *int, change int) {
	engine.mutex.Lock()
	*counter += change
	engine.mutex.Unlock()
}

// addRunning accounts for the slot time used until now and then changes the batch size.
func (engine *Engine) addRunning(change int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.slotTime += time.Duration(engine.running) * now.Sub(engine.slotTimeUpdated)
	engine.slotTimeUpdated = now
	engine.running += change
}

// recordProgress records the progress of a request.
func (engine *Engine) recordProgress(id string, produced int64) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if _, known := engine.produced[id]; !known {
		engine.requestIDs = append(engine.requestIDs, id)
		if len(engine.requestIDs) > maxTrackedRequests {
			delete(engine.produced, engine.requestIDs[0])
			engine.requestIDs = engine.requestIDs[1:]
		}
	}
	engine.produced[id] = produced
}

// sleep waits and returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// prefill caches the prefix of a prompt and returns the time to prefill the prompt. If the
// prefix is cached already, only a tenth of the tokens are prefilled.
func (engine *Engine) prefill(prompt string) time.Duration {
	tokens := len(prompt) / 4
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), 512)])
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for i, cached := range engine.prefixes {
		if cached == prefix {
			engine.prefixes = append(append(engine.prefixes[:i:i], engine.prefixes[i+1:]...), prefix)
			return time.Duration(tokens/10) * engine.options.PrefillPerToken
		}
	}
	engine.prefixes = append(engine.prefixes, prefix)
	engine.events = append(engine.events, cacheEvent{Number: uint64(len(engine.events) + 1), Prefix: prefix})
	if len(engine.prefixes) > engine.options.MaxCachedPrefixes {
		evicted := engine.prefixes[0]
		engine.prefixes = engine.prefixes[1:]
		engine.events = append(engine.events, cacheEvent{uint64(len(engine.events) + 1), evicted, true})
	}
	return time.Duration(tokens) * engine.options.PrefillPerToken
}

// stepTime returns the time of a decoding step at the current batch size.
func (engine *Engine) stepTime() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.options.StepTime + time.Duration(engine.running-1)*engine.options.StepTimePerRequest
}

// generate produces tokens at the engine's speed, even while the client does not read,
// until the buffers of the connection are full. Like a real engine, it stops when it
// detects that the request is cancelled.
func (engine *Engine) generate(ctx context.Context, writer http.ResponseWriter, body engineRequest) {
	encoder := json.NewEncoder(writer)
	flusher, _ := writer.(http.Flusher)
	length := OutputLength(body.Prompt, body.MaxTokens)
	next := body.Offset
	for next < length {
		count := min(int64(max(engine.options.ChunkTokens, 1)), length-next)
		if !sleep(ctx, engine.stepTime()*time.Duration(count)) {
			return
		}
		var text strings.Builder
		for index := next; index < next+count; index++ {
			text.WriteString(OutputToken(body.Prompt, index))
		}
		if encoder.Encode(engineLine{body.Request, next, text.String(), count, false}) != nil {
			return
		}
		next += count
		engine.recordProgress(body.Request, next)
		engine.mutex.Lock()
		engine.tokens += count
		engine.mutex.Unlock()
		if flusher != nil {
			flusher.Flush()
		}
	}
	_ = encoder.Encode(engineLine{Request: body.Request, Offset: next, End: true})
}

func (engine *Engine) serveRequest(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	produced, known := engine.produced[request.URL.Query().Get("id")]
	engine.mutex.Unlock()
	state := "unknown"
	if known {
		state = "known"
	}
	writeJSON(writer, map[string]any{"state": state, "produced": produced})
}

func (engine *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	writeJSON(writer, engine.report)
}

func (engine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order berylspoke.EngineOrder
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, "order is garbled", http.StatusBadRequest)
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.options.IgnoreFence && order.Fence < engine.order.Fence {
		http.Error(writer, "fencing number is old", http.StatusConflict)
		return
	}
	engine.order = order
	writeJSON(writer, engine.order)
}

// CurrentOrder returns the last order accepted.
func (engine *Engine) CurrentOrder() berylspoke.EngineOrder {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.order
}

// serveEvents returns cache events with gaps: every fifth is missing.
func (engine *Engine) serveEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	page := []cacheEvent{}
	for _, event := range engine.events {
		if event.Number > after && event.Number%5 != 0 {
			page = append(page, event)
		}
	}
	writeJSON(writer, map[string]any{"events": page})
}

// Stats holds the totals since the start of an engine and its current load, for
// measurements of utilisation.
type Stats struct {
	Tokens int64 `json:"tokens"`
	// SlotTime is the sum of the times for which slots were in use.
	SlotTime time.Duration `json:"busyNanos"`
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Slots    int           `json:"slots"`
}

// Stats returns the current statistics.
func (engine *Engine) Stats() Stats {
	engine.addRunning(0)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return Stats{engine.tokens, engine.slotTime, engine.running, engine.waiting, engine.options.Slots}
}

func (engine *Engine) serveStats(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, engine.Stats())
}
