package berylload

// This file defines a run: the callers of each organisation and their requests.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylspoke"
	"berylspoke/io/berylcall"
)

// Scenario names the load pattern of the organisations.
type Scenario string

// The scenarios.
const (
	// Backlog keeps every organisation backlogged.
	Backlog Scenario = "backlog"
	// Flood sends at a rate below capacity; in the second half of the measurement one
	// small organisation sends as many requests as it can.
	Flood Scenario = "flood"
	// Steady sends at a rate below capacity.
	Steady Scenario = "steady"
)

// Options are the options of a run.
type Options struct {
	Scenario Scenario
	Warmup   time.Duration
	Measure  time.Duration
	Seed     uint64
	// MinTokens and MaxTokens bound the generated tokens of a request.
	MinTokens, MaxTokens int
	// RequestsPerSecond is the number of requests per second of all organisations in an
	// open loop.
	RequestsPerSecond float64
	// Outstanding is the number of requests that an organisation of weight 1
	// keeps at each of its entry daemons in a closed loop.
	Outstanding int
	// Progress, if not nil, receives progress messages during the run.
	Progress func(string)
}

// DefaultOptions returns the options of a run of one minute.
func DefaultOptions() Options {
	return Options{
		Scenario: Backlog, Warmup: 15 * time.Second, Measure: 45 * time.Second, Seed: 1,
		MinTokens: 30, MaxTokens: 250, RequestsPerSecond: 5, Outstanding: 8,
	}
}

// organisationCallers are the callers of an organisation with their results.
type organisationCallers struct {
	organisation Organisation
	entries      []Entry
	clients      []*berylcall.Client
	mutex        sync.Mutex
	tokens       int64
	completed    int
	failures     int
	// firstToken is the time to the first token, firstTokenWhileFlooded the same during
	// the flood, interToken the time between tokens, in microseconds.
	firstToken             *hdrhistogram.Histogram
	firstTokenWhileFlooded *hdrhistogram.Histogram
	interToken             *hdrhistogram.Histogram
}

const (
	// maxLatencyMicros is the highest latency that a histogram holds.
	maxLatencyMicros = 600_000_000
	// significantDigits is the number of significant digits of a histogram.
	significantDigits = 3
	// floodFactor multiplies the outstanding requests of the organisation that floods.
	floodFactor = 40
)

// newOrganisationCallers spreads the callers of an organisation unevenly: a large
// organisation calls every entry daemon, a small one 1 to 3 of them by its index.
func newOrganisationCallers(fleet Fleet, index int) *organisationCallers {
	organisation := fleet.Organisations[index]
	callers := &organisationCallers{
		organisation:           organisation,
		firstToken:             hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		firstTokenWhileFlooded: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		interToken:             hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	count := len(fleet.Entries)
	spread := 1 + index%3
	if organisation.Weight > 1 {
		spread = count
	}
	for i := range spread {
		entry := fleet.Entries[(index*index+i)%count]
		callers.entries = append(callers.entries, entry)
		seeds := []string{entry.CallAddress}
		for next := 1; next < count; next++ {
			seeds = append(seeds, fleet.Entries[(index*index+i+next)%count].CallAddress)
		}
		callers.clients = append(callers.clients, berylcall.New(berylcall.Options{Seeds: seeds, Key: organisation.Key, SeedsOnly: true}))
	}
	return callers
}

// Run generates load on the fleet and returns the measurements.
func Run(ctx context.Context, fleet Fleet, options Options) (*Report, error) {
	run := &run{fleet: fleet, options: options, random: rand.New(rand.NewPCG(options.Seed, 99))}
	for index := range fleet.Organisations {
		run.organisations = append(run.organisations, newOrganisationCallers(fleet, index))
	}
	ctx, cancel := context.WithTimeout(ctx, options.Warmup+options.Measure)
	defer cancel()
	var group sync.WaitGroup
	run.start(ctx, &group)
	report, err := run.measure(ctx)
	cancel()
	group.Wait()
	return report, err
}

type run struct {
	fleet         Fleet
	options       Options
	mutex         sync.Mutex
	random        *rand.Rand
	organisations []*organisationCallers
	// floodStart is the time at which the flood starts.
	floodStart time.Time
	// serial numbers the requests.
	serial int
}

func (run *run) start(ctx context.Context, group *sync.WaitGroup) {
	switch run.options.Scenario {
	case Backlog:
		for _, callers := range run.organisations {
			run.closedLoop(ctx, group, callers, run.options.Outstanding)
		}
	default:
		group.Add(1)
		go run.openLoop(ctx, group)
	}
	if run.options.Scenario == Flood {
		run.floodStart = time.Now().Add(run.options.Warmup + run.options.Measure/2)
		group.Add(1)
		go run.flood(ctx, group)
	}
}

// closedLoop keeps a number of requests outstanding at each entry daemon of an
// organisation.
func (run *run) closedLoop(ctx context.Context, group *sync.WaitGroup, callers *organisationCallers, outstanding int) {
	for i := range callers.clients {
		for range outstanding {
			group.Add(1)
			go func() {
				defer group.Done()
				for ctx.Err() == nil {
					run.generate(ctx, callers, callers.clients[i])
				}
			}()
		}
	}
}

// openLoop sends requests at exponentially distributed intervals, each for an
// organisation drawn by weight.
func (run *run) openLoop(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	var total berylspoke.Weight
	for _, callers := range run.organisations {
		total += callers.organisation.Weight
	}
	for ctx.Err() == nil {
		run.mutex.Lock()
		wait := time.Duration(run.random.ExpFloat64() / run.options.RequestsPerSecond * float64(time.Second))
		pick := berylspoke.Weight(run.random.Int64N(int64(total)))
		run.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		for _, callers := range run.organisations {
			if pick -= callers.organisation.Weight; pick < 0 {
				group.Add(1)
				go func() {
					defer group.Done()
					run.generate(ctx, callers, callers.clients[run.nextSerial()%len(callers.clients)])
				}()
				break
			}
		}
	}
}

// flood makes the last organisation send as many requests as it can from the middle of
// the measurement on.
func (run *run) flood(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(run.floodStart)):
		run.closedLoop(ctx, group, run.organisations[len(run.organisations)-1], run.options.Outstanding*floodFactor)
	}
}

func (run *run) nextSerial() int {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.serial++
	return run.serial
}

// generate sends a request of random length and reads the stream. The length hint is off
// by up to half the length, as hints of callers are inaccurate.
func (run *run) generate(ctx context.Context, callers *organisationCallers, client *berylcall.Client) {
	run.mutex.Lock()
	run.serial++
	length := run.options.MinTokens + run.random.IntN(run.options.MaxTokens-run.options.MinTokens+1)
	hint := int(float64(length) * (0.5 + run.random.Float64()))
	prompt := fmt.Sprintf("%s asks %d. %s[tokens=%d]", callers.organisation.ID, run.serial, strings.Repeat("facts ", run.random.IntN(40)), length)
	run.mutex.Unlock()
	started := time.Now()
	lastReceived := time.Time{}
	_, err := client.Stream(ctx, berylcall.GenerationRequest{
		Service: run.fleet.ModelService, Prompt: prompt, Hint: berylspoke.Tokens(hint), MaxAttempts: 2,
	}, func(_ string, tokens berylspoke.Tokens) {
		now := time.Now()
		callers.receive(now, started, lastReceived, tokens, run.flooding(now))
		lastReceived = now
	})
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	if err != nil && ctx.Err() == nil {
		callers.failures++
		time.Sleep(10 * time.Millisecond)
	}
	if err == nil {
		callers.completed++
	}
}

func (run *run) flooding(now time.Time) bool {
	return run.options.Scenario == Flood && now.After(run.floodStart)
}

// receive records the latency and the number of tokens of a chunk.
func (callers *organisationCallers) receive(now, started, lastReceived time.Time, tokens berylspoke.Tokens, flooding bool) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.tokens += int64(tokens)
	if !lastReceived.IsZero() {
		_ = callers.interToken.RecordValue(now.Sub(lastReceived).Microseconds() / int64(max(tokens, 1)))
		return
	}
	histogram := callers.firstToken
	if flooding {
		histogram = callers.firstTokenWhileFlooded
	}
	_ = histogram.RecordValue(now.Sub(started).Microseconds())
}
