package berylload

// This file defines a run: who sends what, where and when.

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

// Scenario names what the organisations do.
type Scenario string

// The scenarios.
const (
	// Backlog keeps every organisation backlogged.
	Backlog Scenario = "backlog"
	// Flood sends at a rate below capacity; in the second half one small
	// organisation sends all it can.
	Flood Scenario = "flood"
	// Steady sends at a rate below capacity.
	Steady Scenario = "steady"
)

// Options are the settings of a run.
type Options struct {
	Scenario Scenario
	Warmup   time.Duration
	Measure  time.Duration
	Seed     uint64
	// LeastTokens and MostTokens bound the length of a draft.
	LeastTokens, MostTokens int
	// Rate is the number of drafts a second of all organisations in an open loop.
	Rate float64
	// Outstanding is the number of requests that an organisation of weight 1
	// keeps at each of its entries in a closed loop.
	Outstanding int
	// Progress is told what happens while the run goes on, or nil.
	Progress func(string)
}

// DefaultOptions returns a run of one minute.
func DefaultOptions() Options {
	return Options{
		Scenario: Backlog, Warmup: 15 * time.Second, Measure: 45 * time.Second, Seed: 1,
		LeastTokens: 30, MostTokens: 250, Rate: 5, Outstanding: 8,
	}
}

// tenant is one organisation's callers.
type tenant struct {
	organisation Organisation
	entries      []Entry
	client       []*berylcall.Client
	mutex        sync.Mutex
	tokens       int64
	drafts       int
	failures     int
	first        *hdrhistogram.Histogram
	flooded      *hdrhistogram.Histogram
	between      *hdrhistogram.Histogram
}

const (
	// longest is the highest latency a histogram holds, in microseconds.
	longest    = 600_000_000
	precision  = 3
	floodScale = 40
)

// newTenant spreads an organisation unevenly: a large one calls every entry, a
// small one the one, two or three that its place in the list gives.
func newTenant(fleet Fleet, place int) *tenant {
	organisation := fleet.Organisations[place]
	tenant := &tenant{
		organisation: organisation,
		first:        hdrhistogram.New(1, longest, precision),
		flooded:      hdrhistogram.New(1, longest, precision),
		between:      hdrhistogram.New(1, longest, precision),
	}
	count := len(fleet.Entries)
	spread := 1 + place%3
	if organisation.Weight > 1 {
		spread = count
	}
	for i := range spread {
		entry := fleet.Entries[(place*place+i)%count]
		tenant.entries = append(tenant.entries, entry)
		seeds := []string{entry.Calls}
		for next := 1; next < count; next++ {
			seeds = append(seeds, fleet.Entries[(place*place+i+next)%count].Calls)
		}
		tenant.client = append(tenant.client, berylcall.New(berylcall.Options{Seeds: seeds, Key: organisation.Key, Fixed: true}))
	}
	return tenant
}

// Run drives the fleet and returns what it measured.
func Run(ctx context.Context, fleet Fleet, options Options) (*Report, error) {
	run := &run{fleet: fleet, options: options, random: rand.New(rand.NewPCG(options.Seed, 99))}
	for place := range fleet.Organisations {
		run.tenants = append(run.tenants, newTenant(fleet, place))
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
	fleet   Fleet
	options Options
	mutex   sync.Mutex
	random  *rand.Rand
	tenants []*tenant
	floods  time.Time
	serial  int
}

func (run *run) start(ctx context.Context, group *sync.WaitGroup) {
	switch run.options.Scenario {
	case Backlog:
		for _, tenant := range run.tenants {
			run.closedLoop(ctx, group, tenant, run.options.Outstanding)
		}
	default:
		group.Add(1)
		go run.openLoop(ctx, group)
	}
	if run.options.Scenario == Flood {
		run.floods = time.Now().Add(run.options.Warmup + run.options.Measure/2)
		group.Add(1)
		go run.flood(ctx, group)
	}
}

func (run *run) closedLoop(ctx context.Context, group *sync.WaitGroup, tenant *tenant, outstanding int) {
	for i := range tenant.client {
		for range outstanding {
			group.Add(1)
			go func() {
				defer group.Done()
				for ctx.Err() == nil {
					run.draft(ctx, tenant, tenant.client[i])
				}
			}()
		}
	}
}

// openLoop sends drafts at random times; organisations get theirs by weight.
func (run *run) openLoop(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	var total berylspoke.Weight
	for _, tenant := range run.tenants {
		total += tenant.organisation.Weight
	}
	for ctx.Err() == nil {
		run.mutex.Lock()
		wait := time.Duration(run.random.ExpFloat64() / run.options.Rate * float64(time.Second))
		pick := berylspoke.Weight(run.random.Int64N(int64(total)))
		run.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		for _, tenant := range run.tenants {
			if pick -= tenant.organisation.Weight; pick < 0 {
				group.Add(1)
				go func() {
					defer group.Done()
					run.draft(ctx, tenant, tenant.client[run.number()%len(tenant.client)])
				}()
				break
			}
		}
	}
}

// flood makes the last organisation send all it can from half time on.
func (run *run) flood(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(run.floods)):
		run.closedLoop(ctx, group, run.tenants[len(run.tenants)-1], run.options.Outstanding*floodScale)
	}
}

func (run *run) number() int {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.serial++
	return run.serial
}

// draft streams one draft; its hint is rough, as callers' hints are.
func (run *run) draft(ctx context.Context, tenant *tenant, client *berylcall.Client) {
	run.mutex.Lock()
	run.serial++
	length := run.options.LeastTokens + run.random.IntN(run.options.MostTokens-run.options.LeastTokens+1)
	hint := int(float64(length) * (0.5 + run.random.Float64()))
	prompt := fmt.Sprintf("%s asks %d. %s[tokens=%d]", tenant.organisation.ID, run.serial, strings.Repeat("facts ", run.random.IntN(40)), length)
	run.mutex.Unlock()
	began := time.Now()
	last := time.Time{}
	_, err := client.Stream(ctx, berylcall.Draft{
		Service: run.fleet.Model, Prompt: prompt, Hint: berylspoke.Tokens(hint), Attempts: 2,
	}, func(_ string, tokens berylspoke.Tokens) {
		now := time.Now()
		tenant.receive(now, began, last, tokens, run.flooding(now))
		last = now
	})
	tenant.mutex.Lock()
	defer tenant.mutex.Unlock()
	if err != nil && ctx.Err() == nil {
		tenant.failures++
		time.Sleep(10 * time.Millisecond)
	}
	if err == nil {
		tenant.drafts++
	}
}

func (run *run) flooding(now time.Time) bool {
	return run.options.Scenario == Flood && now.After(run.floods)
}

func (tenant *tenant) receive(now, began, last time.Time, tokens berylspoke.Tokens, flooding bool) {
	tenant.mutex.Lock()
	defer tenant.mutex.Unlock()
	tenant.tokens += int64(tokens)
	if !last.IsZero() {
		_ = tenant.between.RecordValue(now.Sub(last).Microseconds() / int64(max(tokens, 1)))
		return
	}
	histogram := tenant.first
	if flooding {
		histogram = tenant.flooded
	}
	_ = histogram.RecordValue(now.Sub(began).Microseconds())
}
