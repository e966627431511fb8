package berylstand

// This file defines the stand-in of a model engine.

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

// EngineOptions are the speed and the size of an engine.
type EngineOptions struct {
	// Slots is the largest batch; more requests wait inside the engine.
	Slots int
	// Step is the time of one token of a batch of one; each further request in
	// the batch adds StepEach.
	Step, StepEach time.Duration
	// Prefill is the time to read one prompt token that is not cached.
	Prefill time.Duration
	// CachedPrefixes bounds the prefix cache.
	CachedPrefixes int
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// ChunkTokens is the number of tokens of one line.
	ChunkTokens int
	// IgnoreFence makes the engine take orders with an old fencing number.
	IgnoreFence bool
}

// DefaultEngineOptions returns a small engine of 30 ms a token.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		Slots: 8, Step: 20 * time.Millisecond, StepEach: time.Millisecond,
		Prefill: 100 * time.Microsecond, CachedPrefixes: 64,
		ReportLag: 500 * time.Millisecond, ChunkTokens: 1,
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
	Running int              `json:"running"`
	Waiting int              `json:"waiting"`
	Held    berylspoke.Order `json:"held"`
}

type cacheEvent struct {
	Number  uint64 `json:"number"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`
}

// Engine generates deterministic text in a continuous batch.
type Engine struct {
	options  EngineOptions
	slots    chan struct{}
	mutex    sync.Mutex
	running  int
	waiting  int
	produced map[string]int64
	finished []string
	// tokens is all that was ever generated, for measurements of utilisation.
	tokens    int64
	busy      time.Duration
	busySince time.Time
	load      engineLoad
	held      berylspoke.Order
	prefixes  []uint64
	events    []cacheEvent
}

// NewEngine returns an engine without load.
func NewEngine(options EngineOptions) *Engine {
	return &Engine{options: options, slots: make(chan struct{}, options.Slots), produced: make(map[string]int64)}
}

// Handler returns the engine's interface.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", engine.serveGenerate)
	mux.HandleFunc("GET /v1/requests", engine.serveRequest)
	mux.HandleFunc("GET /v1/load", engine.serveLoad)
	mux.HandleFunc("POST /v1/orders", engine.serveOrder)
	mux.HandleFunc("GET /v1/cacheEvents", engine.serveEvents)
	mux.HandleFunc("GET /v1/stats", engine.serveStats)
	return mux
}

// keptRequests bounds the finished requests whose progress is remembered.
const keptRequests = 4096

// Run publishes the load report with its lag until the context ends.
func (engine *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(max(engine.options.ReportLag, 10*time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			engine.mutex.Lock()
			engine.load = engineLoad{Running: engine.running, Waiting: engine.waiting, Held: engine.held}
			engine.mutex.Unlock()
		}
	}
}

var tokensWanted = regexp.MustCompile(`\[tokens=(\d+)\]`)

// Length returns the number of tokens that a prompt yields; a prompt may name it.
func Length(prompt string, most int64) int64 {
	length := int64(20 + xxhash.Sum64String(prompt)%180)
	if match := tokensWanted.FindStringSubmatch(prompt); match != nil {
		length, _ = strconv.ParseInt(match[1], 10, 64)
	}
	if most > 0 {
		length = min(length, most)
	}
	return length
}

// Token returns one token of a prompt's text.
func Token(prompt string, index int64) string {
	return fmt.Sprintf("w%d ", xxhash.Sum64String(fmt.Sprintf("%s#%d", prompt, index))%10000)
}

// Text returns the whole text that a prompt yields.
func Text(prompt string, most int64) string {
	var text strings.Builder
	for index := range Length(prompt, most) {
		text.WriteString(Token(prompt, index))
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
	engine.note(body.Request, body.Offset)
	engine.count(&engine.waiting, 1)
	select {
	case <-ctx.Done():
		engine.count(&engine.waiting, -1)
		return
	case engine.slots <- struct{}{}:
	}
	engine.count(&engine.waiting, -1)
	engine.setRunning(1)
	defer func() {
		engine.setRunning(-1)
		<-engine.slots
	}()
	if !sleep(ctx, engine.prefill(body.Prompt)) {
		return
	}
	engine.generate(ctx, writer, body)
}

func (engine *Engine) count(counter *int, change int) {
	engine.mutex.Lock()
	*counter += change
	engine.mutex.Unlock()
}

// setRunning changes the batch and sums the slot time used.
func (engine *Engine) setRunning(change int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.busy += time.Duration(engine.running) * now.Sub(engine.busySince)
	engine.busySince = now
	engine.running += change
}

func (engine *Engine) note(id string, produced int64) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if _, known := engine.produced[id]; !known {
		engine.finished = append(engine.finished, id)
		if len(engine.finished) > keptRequests {
			delete(engine.produced, engine.finished[0])
			engine.finished = engine.finished[1:]
		}
	}
	engine.produced[id] = produced
}

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

// prefill returns the time to read a prompt and caches its prefix.
func (engine *Engine) prefill(prompt string) time.Duration {
	tokens := len(prompt) / 4
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), 512)])
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for i, cached := range engine.prefixes {
		if cached == prefix {
			engine.prefixes = append(append(engine.prefixes[:i:i], engine.prefixes[i+1:]...), prefix)
			return time.Duration(tokens/10) * engine.options.Prefill
		}
	}
	engine.prefixes = append(engine.prefixes, prefix)
	engine.events = append(engine.events, cacheEvent{Number: uint64(len(engine.events) + 1), Prefix: prefix})
	if len(engine.prefixes) > engine.options.CachedPrefixes {
		evicted := engine.prefixes[0]
		engine.prefixes = engine.prefixes[1:]
		engine.events = append(engine.events, cacheEvent{uint64(len(engine.events) + 1), evicted, true})
	}
	return time.Duration(tokens) * engine.options.Prefill
}

// step returns the time of one token at the present batch.
func (engine *Engine) step() time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.options.Step + time.Duration(engine.running-1)*engine.options.StepEach
}

// generate goes on at the engine's pace even if the connection takes nothing,
// as a real engine does until it sees a cancel.
func (engine *Engine) generate(ctx context.Context, writer http.ResponseWriter, body engineRequest) {
	encoder := json.NewEncoder(writer)
	flusher, _ := writer.(http.Flusher)
	length := Length(body.Prompt, body.MaxTokens)
	next := body.Offset
	for next < length {
		count := min(int64(max(engine.options.ChunkTokens, 1)), length-next)
		if !sleep(ctx, engine.step()*time.Duration(count)) {
			return
		}
		var text strings.Builder
		for index := next; index < next+count; index++ {
			text.WriteString(Token(body.Prompt, index))
		}
		if encoder.Encode(engineLine{body.Request, next, text.String(), count, false}) != nil {
			return
		}
		next += count
		engine.note(body.Request, next)
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
	answer(writer, map[string]any{"state": state, "produced": produced})
}

func (engine *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	answer(writer, engine.load)
}

func (engine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order berylspoke.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, "order is garbled", http.StatusBadRequest)
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.options.IgnoreFence && order.Fence < engine.held.Fence {
		http.Error(writer, "fencing number is old", http.StatusConflict)
		return
	}
	engine.held = order
	answer(writer, engine.held)
}

// Held returns the last order taken.
func (engine *Engine) Held() berylspoke.Order {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.held
}

// serveEvents publishes cache events with gaps: every fifth is lost.
func (engine *Engine) serveEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	news := []cacheEvent{}
	for _, event := range engine.events {
		if event.Number > after && event.Number%5 != 0 {
			news = append(news, event)
		}
	}
	answer(writer, map[string]any{"events": news})
}

// Stats are sums over an engine's life, for measurements.
type Stats struct {
	Tokens  int64         `json:"tokens"`
	Busy    time.Duration `json:"busyNanos"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Slots   int           `json:"slots"`
}

// Stats returns the sums up to now.
func (engine *Engine) Stats() Stats {
	engine.setRunning(0)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return Stats{engine.tokens, engine.busy, engine.running, engine.waiting, engine.options.Slots}
}

func (engine *Engine) serveStats(writer http.ResponseWriter, _ *http.Request) {
	answer(writer, engine.Stats())
}
