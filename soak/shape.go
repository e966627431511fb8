package berylsoak

// This file defines worlds whose size, routes and load a file describes.

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"berylspoke/platform/beryldouble"
)

// Shape describes a world: its VMs, services, routes and callers.
type Shape struct {
	VMs               int     `json:"vms"`
	Cores             float64 `json:"cores"`
	MemoryMB          int     `json:"memoryMB"`
	StopSeconds       float64 `json:"stopSeconds"`
	IdleTimeoutMillis int     `json:"idleTimeoutMillis"`
	Organisations     int     `json:"organisations"`
	// Skew is the exponent by which organisations send less than those before them.
	Skew            float64 `json:"skew"`
	TokensPerSecond int     `json:"tokensPerSecond"`
	// Callers are the numbers of callers by failure domain, Rates their weights.
	Callers  []int          `json:"callers"`
	Rates    []float64      `json:"rates"`
	Services []shapeService `json:"services"`
	Routes   []shapeRoute   `json:"routes"`
}

// shapeService is a service and its targets. One with a cache has engines.
type shapeService struct {
	Name          string `json:"name"`
	Targets       int    `json:"targets"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	CacheCapacity int    `json:"cacheCapacity"`
	EventTokens   int    `json:"eventTokens"`
	// IdleTimeoutMillis is the time after which a target closes idle connections, CloseFraction the
	// fraction of answers that end theirs.
	IdleTimeoutMillis int     `json:"idleTimeoutMillis"`
	CloseFraction     float64 `json:"closeFraction"`
	// Slowdown is by how much each running request slows the streams of a target.
	Slowdown float64 `json:"slowdown"`
}

// shapeRoute is a route and what its requests ask for.
type shapeRoute struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Kind      string `json:"kind"`
	Method    string `json:"method"`
	Resumable bool   `json:"resumable"`
	Anonymous bool   `json:"anonymous"`
	// Weight is the route's part of all requests.
	Weight          float64 `json:"weight"`
	TimeoutMillis   int     `json:"timeoutMillis"`
	LimitMillis     int     `json:"limitMillis"`
	ObjectiveMillis int     `json:"objectiveMillis"`
	GapMillis       int     `json:"gapMillis"`
	MaxAttempts     int     `json:"maxAttempts"`
	// FailFraction is the fraction of requests that the target answers with an error.
	FailFraction   float64  `json:"failFraction"`
	BodyBytes      quantity `json:"bodyBytes"`
	InputTokens    quantity `json:"inputTokens"`
	FirstMillis    quantity `json:"firstMillis"`
	Events         quantity `json:"events"`
	IntervalMillis quantity `json:"intervalMillis"`
}

func (route *shapeRoute) prefix() string { return "/" + route.Name + "/" }

// repeatable reports whether requests of the route may run more than once.
func (route *shapeRoute) repeatable() bool { return route.Kind == "idempotent" || route.Resumable }

// quantity is a log-normal quantity. Spread is the standard deviation of its logarithm; a fraction is
// larger by a factor.
type quantity struct {
	Mean         float64 `json:"mean"`
	Spread       float64 `json:"spread"`
	TailFraction float64 `json:"tailFraction"`
	TailFactor   float64 `json:"tailFactor"`
	Max          float64 `json:"max"`
}

func (quantity quantity) draw(random *rand.Rand) float64 {
	value := quantity.Mean * math.Exp(quantity.Spread*random.NormFloat64()-quantity.Spread*quantity.Spread/2)
	if random.Float64() < quantity.TailFraction {
		value *= quantity.TailFactor
	}
	if quantity.Max > 0 {
		value = min(value, quantity.Max)
	}
	return value
}

// LoadShape reads a shape from a file.
func LoadShape(path string) (*Shape, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if text, err = hujson.Standardize(text); err != nil {
		return nil, errors.Wrap(err, path)
	}
	shape := new(Shape)
	return shape, errors.Wrap(json.Unmarshal(text, shape), path)
}

// Size returns the size of a world of the shape.
func (shape *Shape) Size(requestsPerSecond float64, seconds int, unplanned bool) Size {
	return Size{
		VMs: shape.VMs, MemoryMB: shape.MemoryMB, RequestsPerSecond: requestsPerSecond, Seconds: seconds,
		Shape: shape, Unplanned: unplanned,
	}
}

const (
	// shapeReuse is the probability that a caller uses an idle connection.
	shapeReuse = 0.83
	// idleUse is the fraction of the idle timeout for which callers use an idle connection.
	idleUse = 0.8
	// chunkedFraction is the fraction of bodies that are sent without a length, slowFraction that of
	// those that arrive in parts.
	chunkedFraction, slowFraction = 0.2, 0.1
	maxPartDelay                  = 300 * time.Millisecond
	// leaveFraction is the fraction of streams that their callers leave.
	leaveFraction = 0.04
	shapeTries    = 2
)

// shapeState holds the differences between the published versions of a shape.
type shapeState struct {
	timeoutFactor float64
	idleTimeout   time.Duration
	// added is the number of routes beyond those of the shape, keys that of further keys of each
	// organisation.
	added, keys int
}

// beginShape sets what the first version of a shape has.
func (world *World) beginShape() {
	world.judge.shaped = true
	world.loadFactor.Store(1)
	world.shapeState = shapeState{timeoutFactor: 1, idleTimeout: time.Duration(world.size.Shape.IdleTimeoutMillis) * time.Millisecond}
	world.idleTimeout.Store(int64(world.shapeState.idleTimeout))
}

// addShapeTargets starts the targets of all services.
func (world *World) addShapeTargets() error {
	for _, service := range world.size.Shape.Services {
		for range service.Targets {
			if _, err := world.addTarget(service.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// shapeTargetOptions sets the options of a target of a service.
func (world *World) shapeTargetOptions(options *beryldouble.TargetOptions) {
	for _, service := range world.size.Shape.Services {
		if service.Name == options.Service {
			options.Slots, options.CloseFraction, options.Slowdown = service.Slots, service.CloseFraction, service.Slowdown
			options.IdleTimeout = time.Duration(service.IdleTimeoutMillis) * time.Millisecond
		}
	}
	options.Advertise, options.Script = nil, scriptOf
}

// scriptFormat is the end of the path of a request, which tells its target what to do.
const scriptFormat = "events-%d/first-%d/interval-%d/fails-%t/"

// scriptOf returns what the path of a request asks a target to do.
func scriptOf(path string) beryldouble.Script {
	var script beryldouble.Script
	var first, interval int64
	_, text, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	_, _ = fmt.Sscanf(text, scriptFormat, &script.Events, &first, &interval, &script.Fails)
	script.First, script.Interval = time.Duration(first)*time.Millisecond, time.Duration(interval)*time.Millisecond
	return script
}

// length returns how long a target works on a request in all.
func length(script beryldouble.Script) time.Duration {
	return script.First + time.Duration(script.Events)*script.Interval
}

// writeShape writes the present version of a world of a shape.
func (world *World) writeShape() error {
	shape, state := world.size.Shape, world.shapeState
	record := timeoutRecord{at: time.Now(), byPrefix: make(map[string]time.Duration)}
	configuration := beryldouble.Configuration{
		Version: world.version, Host: "h.example", TokensPerSecond: shape.TokensPerSecond, IdleTimeout: state.idleTimeout,
	}
	for _, service := range shape.Services {
		declared := beryldouble.Service{Name: service.Name, MaxConns: service.Connections}
		if service.CacheCapacity > 0 {
			declared.Slots, declared.CacheCapacity, declared.EventTokens = service.Slots, service.CacheCapacity, service.EventTokens
		}
		configuration.Services = append(configuration.Services, declared)
	}
	for _, route := range shape.Routes {
		timeout := int(float64(route.TimeoutMillis) * state.timeoutFactor)
		record.byPrefix[route.prefix()] = time.Duration(timeout) * time.Millisecond
		configuration.Routes = append(configuration.Routes, beryldouble.Route{
			Name: route.Name, Prefix: route.prefix(), Kind: route.Kind, Service: route.Service, TimeoutMillis: timeout,
			FirstByteObjectiveMillis: route.ObjectiveMillis, MaxAttempts: route.MaxAttempts, Resumable: route.Resumable,
			Anonymous: route.Anonymous, GapMillis: route.GapMillis,
		})
	}
	for i := range state.added {
		configuration.Routes = append(configuration.Routes, beryldouble.Route{
			Name: fmt.Sprintf("added-%d", i), Prefix: fmt.Sprintf("/added-%d/", i), Kind: "idempotent", Service: shape.Services[i%len(shape.Services)].Name,
			TimeoutMillis: 3000, FirstByteObjectiveMillis: 300, MaxAttempts: 2,
		})
	}
	for i := range shape.Organisations {
		organisation := beryldouble.Organisation{Name: organisationName(i)}
		for key := range 1 + state.keys {
			organisation.Keys = append(organisation.Keys, callerKey(i, key))
		}
		configuration.Organisations = append(configuration.Organisations, organisation)
	}
	world.judge.recordTimeouts(record)
	world.judge.recordEvent(everyone, "configuration", record.at)
	return configuration.Publish(world.store)
}

// shapeLoad draws the requests of a shape.
type shapeLoad struct {
	shape         *Shape
	organisations []float64
}

// pick returns an index with the probability of its weight.
func pick(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	at := random.Float64() * sum
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func newShapeLoad(shape *Shape) *shapeLoad {
	load := &shapeLoad{shape: shape}
	for i := range shape.Organisations {
		load.organisations = append(load.organisations, math.Pow(float64(i+1), -shape.Skew))
	}
	return load
}

// next draws a request.
func (load *shapeLoad) next(random *rand.Rand, number int) (beryldouble.Request, *attempt) {
	var weights []float64
	for _, route := range load.shape.Routes {
		weights = append(weights, route.Weight)
	}
	route := &load.shape.Routes[pick(random, weights)]
	script := beryldouble.Script{
		First: time.Duration(route.FirstMillis.draw(random)) * time.Millisecond, Fails: random.Float64() < route.FailFraction,
	}
	if route.Events.Mean > 0 {
		script.Events = max(int(route.Events.draw(random)), 1)
		script.Interval = time.Duration(route.IntervalMillis.draw(random)) * time.Millisecond
	}
	path := route.prefix() + fmt.Sprintf(scriptFormat, script.Events, script.First.Milliseconds(), script.Interval.Milliseconds(), script.Fails)
	request := beryldouble.Request{
		ID: fmt.Sprintf("%08x", number), Host: "h.example", Path: path, Method: route.Method,
		BodyBytes: int(route.BodyBytes.draw(random)), TimeRemaining: time.Duration(route.LimitMillis) * time.Millisecond,
		Chunked: random.Float64() < chunkedFraction,
	}
	if script.Events > 1 && random.Float64() < leaveFraction {
		request.LeaveAfter = 1 + random.IntN(script.Events-1)
	}
	if request.BodyBytes > 0 && random.Float64() < slowFraction {
		request.BodyDelay = time.Duration(random.Float64() * float64(maxPartDelay))
	}
	attempt := &attempt{path: path, route: route, limit: request.TimeRemaining, bodyDelay: request.BodyDelay, work: length(script)}
	if !route.Anonymous {
		organisation := pick(random, load.organisations)
		request.APIKey, attempt.organisation = callerKey(organisation, 0), organisationName(organisation)
	}
	if route.InputTokens.Mean > 0 {
		request.InputTokens, request.OutputTokens = max(int(route.InputTokens.draw(random)), 16), 8*script.Events
		request.Segments = fmt.Sprintf("a%x:%d,b%x:%d,c%s:%d", random.IntN(16), request.InputTokens/4, random.IntN(300), request.InputTokens/4, request.ID, request.InputTokens/2)
	}
	return request, attempt
}

// runShape sends requests at the world's rate until the context ends.
func (generator *generator) runShape(ctx context.Context, seed uint64) {
	callers, weights := generator.world.shapeCallers(seed)
	load := newShapeLoad(generator.world.size.Shape)
	for ctx.Err() == nil {
		rate := generator.world.size.RequestsPerSecond * float64(generator.world.loadFactor.Load())
		interval := time.Duration(generator.random.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(interval):
			generator.requestCount++
			caller := callers[pick(generator.random, weights)]
			request, attempt := load.next(generator.random, generator.requestCount)
			generator.calls.Go(func() { generator.world.callOfShape(caller, request, attempt) })
		}
	}
	generator.calls.Wait()
	for _, caller := range callers {
		caller.Close()
	}
}

// callOfShape sends a request, and once more after a failure if it may run twice or has not run. A
// stream that may be taken up goes on after its last event.
func (world *World) callOfShape(caller *beryldouble.Caller, request beryldouble.Request, first *attempt) {
	id := request.ID
	stream := new(stream)
	for try := range shapeTries {
		request.ID = fmt.Sprintf("%s-%d", id, try)
		if first.route.Resumable {
			request.Resumes, request.LastEvent = stream.began, stream.next-1
		}
		address := caller.Pick(world.ctx, time.Now())
		if address == "" {
			world.judge.recordUnresolved()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		attempt := *first
		attempt.processRun, attempt.sent = world.currentRun(address), time.Now()
		if first.route.Resumable {
			attempt.stream, attempt.takesUp = stream, request.Resumes != ""
		}
		world.judge.recordSent(request.ID, &attempt)
		answer := caller.Send(world.ctx, address, request)
		world.judge.recordAnswer(answer)
		if answer.Succeeded() || stream.complete || left(answer) || !answer.NotRun() && !first.route.repeatable() {
			return
		}
		time.Sleep(min(answer.RetryAfter, time.Second))
	}
}

// shapeCallers returns the callers of a shape with their weights.
func (world *World) shapeCallers(seed uint64) ([]*beryldouble.Caller, []float64) {
	var callers []*beryldouble.Caller
	var weights []float64
	shape := world.size.Shape
	for i, count := range shape.Callers {
		for range count {
			number := seed*1000 + uint64(len(callers))
			caller := beryldouble.NewCaller(number, domains[i].name, domains[i].region, world.resolveAddresses(domains[i].name), nil)
			caller.KeepAddresses(1 + (keptTTLs-1)*(len(callers)%2))
			caller.KeepConns(number, beryldouble.ConnOptions{Reuse: shapeReuse, MaxIdle: world.maxIdle, ConnectTimeout: time.Second})
			callers, weights = append(callers, caller), append(weights, shape.Rates[i]/float64(count))
		}
	}
	return callers, weights
}

// maxIdle returns how long callers use idle connections.
func (world *World) maxIdle() time.Duration {
	return time.Duration(idleUse * float64(world.idleTimeout.Load()))
}
