package berylmodel

// This file defines the emulated engine.

import (
	"container/list"
	"math"
	"time"

	"berylspoke"
)

// EngineOptions are the properties of an engine.
type EngineOptions struct {
	Slots, Queue int
	// Memory is what running requests and kept parts share.
	Memory berylspoke.Tokens
	// PrefillRate is the prompt tokens read in a millisecond.
	PrefillRate float64
	// Step is the time of a step without prefill, Context what each thousand
	// tokens of running requests add, Pairs what a million pairs of tokens add
	// while a prompt is read, and First the delay of a first token.
	Step, Context, Pairs, First time.Duration
	// Chunk is the most prompt tokens that one step reads.
	Chunk berylspoke.Tokens
	// EventTokens is the number of tokens in one event.
	EventTokens berylspoke.Tokens
}

// Kitamine returns the engine of the first deployment, Parish that of
// the second.
func Kitamine() EngineOptions {
	return EngineOptions{
		Slots: 64, Queue: 134, Memory: 444_000, PrefillRate: 140, Step: 2200 * time.Microsecond,
		Context: 17 * time.Microsecond, Pairs: 295 * time.Microsecond, First: 53 * time.Millisecond,
		Chunk: 2048, EventTokens: 8,
	}
}

// Parish returns the engine of the second deployment.
func Parish() EngineOptions {
	options := Kitamine()
	options.PrefillRate, options.Step, options.Memory, options.EventTokens = 92, 3030*time.Microsecond, 432_000, 6
	return options
}

// Job is one request at an engine.
type Job struct {
	Input, Output berylspoke.Tokens
	Parts         []berylspoke.Part
	// Began and Ended are called at the first event and at the last.
	Began, Ended func(now time.Time)
	unread       berylspoke.Tokens
	read         berylspoke.Tokens
	made         berylspoke.Tokens
	begun        bool
}

// Engine is one emulated engine.
type Engine struct {
	options EngineOptions
	waiting []*Job
	running []*Job
	used    berylspoke.Tokens
	kept    map[uint64]*list.Element
	order   *list.List
	keeping berylspoke.Tokens
	// Busy says that a step is under way.
	Busy bool
	// Read and ReadAgain count the prompt tokens read, and those of them that
	// are shared parts which some engine had used shortly before.
	Read, ReadAgain berylspoke.Tokens
	uses            Uses
}

// Uses is when each part was last used at any engine of a fleet.
type Uses map[uint64]time.Time

// reuseWindow is the time after its last use in which a part that is read again
// counts as wasted work, as the first deployment pays for it.
const reuseWindow = 5900 * time.Millisecond

type keptPart struct {
	id     uint64
	tokens berylspoke.Tokens
}

// NewEngine returns an idle engine. The uses are shared by all engines of a
// fleet.
func NewEngine(options EngineOptions, uses Uses) *Engine {
	return &Engine{options: options, kept: make(map[uint64]*list.Element), order: list.New(), uses: uses}
}

// Load returns what the engine tells of itself.
func (engine *Engine) Load() berylspoke.EngineLoad {
	return berylspoke.EngineLoad{Running: len(engine.running), Waiting: len(engine.waiting), Slots: engine.options.Slots}
}

// Admit takes a job unless the engine is full.
func (engine *Engine) Admit(now time.Time, job *Job) bool {
	if len(engine.waiting) >= engine.options.Queue {
		return false
	}
	engine.waiting = append(engine.waiting, job)
	engine.letIn(now)
	return true
}

// letIn starts waiting jobs while a slot and memory are free.
func (engine *Engine) letIn(now time.Time) {
	for len(engine.waiting) > 0 && len(engine.running) < engine.options.Slots {
		job := engine.waiting[0]
		need := job.Input + job.Output
		if engine.used+need > engine.options.Memory && len(engine.running) > 0 {
			return
		}
		engine.waiting = engine.waiting[1:]
		engine.running = append(engine.running, job)
		engine.used += need
		engine.prefill(now, job)
	}
}

// prefill finds what the engine keeps of a prompt and what it has to read.
func (engine *Engine) prefill(now time.Time, job *Job) {
	missed := false
	for i, part := range job.Parts {
		own := i == len(job.Parts)-1
		used, known := engine.uses[part.ID]
		engine.uses[part.ID] = now
		found := engine.kept[part.ID]
		if found != nil && !missed {
			engine.order.MoveToFront(found)
			job.read += part.Tokens
			continue
		}
		missed = true
		if !own && known && now.Sub(used) < reuseWindow {
			engine.ReadAgain += part.Tokens
		}
		engine.keep(part)
	}
	job.unread = max(job.Input-job.read, 1)
	engine.Read += job.unread
	engine.yield()
}

func (engine *Engine) keep(part berylspoke.Part) {
	if old := engine.kept[part.ID]; old != nil {
		engine.order.MoveToFront(old)
		return
	}
	engine.kept[part.ID] = engine.order.PushFront(keptPart{part.ID, part.Tokens})
	engine.keeping += part.Tokens
}

// yield drops the least recently used parts that running requests push out.
func (engine *Engine) yield() {
	for engine.keeping > max(engine.options.Memory-engine.used, 0) && engine.order.Len() > 0 {
		last := engine.order.Back()
		part := last.Value.(keptPart)
		engine.order.Remove(last)
		delete(engine.kept, part.id)
		engine.keeping -= part.tokens
	}
}

// Step begins the next step and returns its length, zero if there is nothing to
// do. Finish must be called at its end.
func (engine *Engine) Step(now time.Time) time.Duration {
	engine.letIn(now)
	if len(engine.running) == 0 {
		return 0
	}
	var context berylspoke.Tokens
	for _, job := range engine.running {
		context += job.read + job.made
	}
	const thousand, million = 1000.0, 1e6
	length := float64(engine.options.Step) + float64(engine.options.Context)*float64(context)/thousand
	for _, job := range engine.running {
		if job.unread == 0 {
			continue
		}
		chunk := min(job.unread, engine.options.Chunk)
		length += float64(chunk) / engine.options.PrefillRate * float64(time.Millisecond)
		pairs := float64(chunk) * (float64(job.read) + float64(chunk)/2) / million
		length += pairs * float64(engine.options.Pairs)
		job.unread -= chunk
		job.read += chunk
		break
	}
	return time.Duration(math.Max(length, float64(time.Microsecond)))
}

// Finish ends a step: each request whose prompt is read made a token.
func (engine *Engine) Finish(now time.Time) {
	still := engine.running[:0]
	for _, job := range engine.running {
		if job.unread == 0 {
			engine.makeToken(now, job)
		}
		if job.made < job.Output {
			still = append(still, job)
			continue
		}
		engine.used -= job.Input + job.Output
		job.Ended(now.Add(engine.options.First))
	}
	engine.running = still
}

func (engine *Engine) makeToken(now time.Time, job *Job) {
	job.made++
	if !job.begun && (job.made >= engine.options.EventTokens || job.made >= job.Output) {
		job.begun = true
		job.Began(now.Add(engine.options.First))
	}
}
