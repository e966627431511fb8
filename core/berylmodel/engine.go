package berylmodel

// This file defines the simulated engine.

import (
	"container/list"
	"math"
	"time"

	"berylspoke"
)

// EngineOptions are the parameters of an engine.
type EngineOptions struct {
	// Slots is the maximum number of running requests, QueueCapacity that of waiting
	// ones.
	Slots, QueueCapacity int
	// CacheCapacity is shared by running requests and cached prompt segments.
	CacheCapacity berylspoke.Tokens
	// PrefillTokensPerMilli is the number of prompt tokens prefilled in a millisecond.
	PrefillTokensPerMilli float64
	// StepTime is the duration of a step without prefill. ContextTime is added for each
	// thousand tokens of running requests, AttentionTime for each million pairs of
	// tokens while a prompt is prefilled. FirstTokenDelay is added to the time of a job's
	// first token, and of its last.
	StepTime, ContextTime, AttentionTime, FirstTokenDelay time.Duration
	// ChunkTokens is the maximum number of prompt tokens that one step prefills.
	ChunkTokens berylspoke.Tokens
	// EventTokens is the number of generated tokens in one event.
	EventTokens berylspoke.Tokens
}

// KitamineEngine returns the engine parameters of the first deployment.
func KitamineEngine() EngineOptions {
	return EngineOptions{
		Slots: 64, QueueCapacity: 134, CacheCapacity: 444_000, PrefillTokensPerMilli: 140, StepTime: 2200 * time.Microsecond,
		ContextTime: 17 * time.Microsecond, AttentionTime: 295 * time.Microsecond, FirstTokenDelay: 53 * time.Millisecond,
		ChunkTokens: 2048, EventTokens: 8,
	}
}

// ParishEngine returns the engine parameters of the second deployment.
func ParishEngine() EngineOptions {
	options := KitamineEngine()
	options.PrefillTokensPerMilli, options.StepTime, options.CacheCapacity, options.EventTokens = 92, 3030*time.Microsecond, 432_000, 6
	return options
}

// Job is one request at an engine.
type Job struct {
	Input, Output berylspoke.Tokens
	Segments      []berylspoke.PromptSegment
	// Started and Ended are called with the time of the first event and of the last.
	Started, Ended func(now time.Time)
	// remaining is the number of prompt tokens still to prefill, prefilled the number
	// prefilled or found in the cache.
	remaining berylspoke.Tokens
	prefilled berylspoke.Tokens
	generated berylspoke.Tokens
	started   bool
}

// Engine is one simulated engine.
type Engine struct {
	options EngineOptions
	waiting []*Job
	running []*Job
	// reserved is the memory of the running jobs.
	reserved berylspoke.Tokens
	// cached holds the elements of recency by segment id.
	cached map[uint64]*list.Element
	// recency lists the cached segments, the most recently used first.
	recency      *list.List
	cachedTokens berylspoke.Tokens
	// Stepping is set while a step is in progress.
	Stepping bool
	// Prefilled counts the prompt tokens prefilled. Recomputed counts those of them in
	// shared segments that some engine had used within reuseWindow.
	Prefilled, Recomputed berylspoke.Tokens
	lastUses              LastUses
}

// LastUses maps prompt segments to the time of their last use at any engine of a fleet.
type LastUses map[uint64]time.Time

// reuseWindow is the reuse window of the first deployment's platform, 5.9 s. Tokens of a
// shared segment that are prefilled again within this time of the segment's last use are
// charged as waste.
const reuseWindow = 5900 * time.Millisecond

// cachedSegment is the value of an element of Engine.recency.
type cachedSegment struct {
	id     uint64
	tokens berylspoke.Tokens
}

// NewEngine returns an idle engine. All engines of a fleet share lastUses.
func NewEngine(options EngineOptions, lastUses LastUses) *Engine {
	return &Engine{options: options, cached: make(map[uint64]*list.Element), recency: list.New(), lastUses: lastUses}
}

// Load returns the load that the engine reports.
func (engine *Engine) Load() berylspoke.EngineLoad {
	return berylspoke.EngineLoad{Running: len(engine.running), Waiting: len(engine.waiting), Slots: engine.options.Slots}
}

// Admit enqueues a job and reports whether the queue had room.
func (engine *Engine) Admit(now time.Time, job *Job) bool {
	if len(engine.waiting) >= engine.options.QueueCapacity {
		return false
	}
	engine.waiting = append(engine.waiting, job)
	engine.startWaiting(now)
	return true
}

// startWaiting starts waiting jobs while a slot and memory are free.
func (engine *Engine) startWaiting(now time.Time) {
	for len(engine.waiting) > 0 && len(engine.running) < engine.options.Slots {
		job := engine.waiting[0]
		need := job.Input + job.Output
		if engine.reserved+need > engine.options.CacheCapacity && len(engine.running) > 0 {
			return
		}
		engine.waiting = engine.waiting[1:]
		engine.running = append(engine.running, job)
		engine.reserved += need
		engine.planPrefill(now, job)
	}
}

// planPrefill determines the cached prefix of a job's prompt and the tokens to prefill.
func (engine *Engine) planPrefill(now time.Time, job *Job) {
	missed := false
	for i, segment := range job.Segments {
		own := i == len(job.Segments)-1
		lastUse, known := engine.lastUses[segment.ID]
		engine.lastUses[segment.ID] = now
		found := engine.cached[segment.ID]
		if found != nil && !missed {
			engine.recency.MoveToFront(found)
			job.prefilled += segment.Tokens
			continue
		}
		missed = true
		if !own && known && now.Sub(lastUse) < reuseWindow {
			engine.Recomputed += segment.Tokens
		}
		engine.cache(segment)
	}
	job.remaining = max(job.Input-job.prefilled, 1)
	engine.Prefilled += job.remaining
	engine.evict()
}

// cache marks a segment as the most recently used and adds it if it is not cached.
func (engine *Engine) cache(segment berylspoke.PromptSegment) {
	if old := engine.cached[segment.ID]; old != nil {
		engine.recency.MoveToFront(old)
		return
	}
	engine.cached[segment.ID] = engine.recency.PushFront(cachedSegment{segment.ID, segment.Tokens})
	engine.cachedTokens += segment.Tokens
}

// evict drops the least recently used segments until the cache fits into the memory that
// running jobs leave free.
func (engine *Engine) evict() {
	for engine.cachedTokens > max(engine.options.CacheCapacity-engine.reserved, 0) && engine.recency.Len() > 0 {
		last := engine.recency.Back()
		segment := last.Value.(cachedSegment)
		engine.recency.Remove(last)
		delete(engine.cached, segment.id)
		engine.cachedTokens -= segment.tokens
	}
}

// StartStep starts the next step and returns its duration, zero if there is nothing to
// do. FinishStep must be called at its end.
func (engine *Engine) StartStep(now time.Time) time.Duration {
	engine.startWaiting(now)
	if len(engine.running) == 0 {
		return 0
	}
	var context berylspoke.Tokens
	for _, job := range engine.running {
		context += job.prefilled + job.generated
	}
	const thousand, million = 1000.0, 1e6
	duration := float64(engine.options.StepTime) + float64(engine.options.ContextTime)*float64(context)/thousand
	for _, job := range engine.running {
		if job.remaining == 0 {
			continue
		}
		chunk := min(job.remaining, engine.options.ChunkTokens)
		duration += float64(chunk) / engine.options.PrefillTokensPerMilli * float64(time.Millisecond)
		pairs := float64(chunk) * (float64(job.prefilled) + float64(chunk)/2) / million
		duration += pairs * float64(engine.options.AttentionTime)
		job.remaining -= chunk
		job.prefilled += chunk
		break
	}
	return time.Duration(math.Max(duration, float64(time.Microsecond)))
}

// FinishStep ends a step: each job whose prompt is prefilled generates a token.
func (engine *Engine) FinishStep(now time.Time) {
	unfinished := engine.running[:0]
	for _, job := range engine.running {
		if job.remaining == 0 {
			engine.generateToken(now, job)
		}
		if job.generated < job.Output {
			unfinished = append(unfinished, job)
			continue
		}
		engine.reserved -= job.Input + job.Output
		job.Ended(now.Add(engine.options.FirstTokenDelay))
	}
	engine.running = unfinished
}

// generateToken adds one token to a job and reports its first event once it is complete.
func (engine *Engine) generateToken(now time.Time, job *Job) {
	job.generated++
	if !job.started && (job.generated >= engine.options.EventTokens || job.generated >= job.Output) {
		job.started = true
		job.Started(now.Add(engine.options.FirstTokenDelay))
	}
}
