package berylload

// This file defines what a run measures.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylspoke"
	"berylspoke/io/berylserve"
	"berylspoke/io/berylstand"
)

const (
	sampleEvery = 500 * time.Millisecond
	readTimeout = 2 * time.Second
)

// Report is the outcome of a run. The gap is in tokens at weight 1; bytes are
// those sent by daemons, a second; latencies are in milliseconds.
type Report struct {
	Scenario      Scenario                              `json:"scenario"`
	Seconds       float64                               `json:"seconds"`
	Gap           float64                               `json:"gapTokens"`
	GapPair       [2]berylspoke.OrganisationID          `json:"gapPair"`
	Utilisation   float64                               `json:"utilisation"`
	Tokens        int64                                 `json:"tokens"`
	Drafts        int                                   `json:"drafts"`
	Failures      int                                   `json:"failures"`
	Control       float64                               `json:"controlBytesPerSecond"`
	ControlWorst  float64                               `json:"controlBytesPerSecondWorstDaemon"`
	TargetControl float64                               `json:"targetControlBytesPerSecond"`
	RegionControl float64                               `json:"regionControlBytesPerSecond"`
	RegionData    float64                               `json:"regionDataBytesPerSecond"`
	First         Percentiles                           `json:"firstTokenMillis"`
	FirstFlooded  *Percentiles                          `json:"firstTokenMillisWhileFlooded,omitempty"`
	Between       Percentiles                           `json:"betweenTokensMillis"`
	Service       map[berylspoke.OrganisationID]float64 `json:"normalisedService"`
}

// Percentiles are of all organisations but one that floods.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	millis := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Percentiles{millis(50), millis(95), millis(99)}
}

// counters are the sums of the fleet at one moment.
type counters struct {
	at      time.Time
	busy    time.Duration
	slots   int
	control map[berylspoke.VMID]map[string]uint64
	data    uint64
	tokens  []int64
}

func (run *run) measure(ctx context.Context) (*Report, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(run.options.Warmup):
	}
	run.tell("warm after %s", run.options.Warmup)
	for _, tenant := range run.tenants {
		tenant.mutex.Lock()
		tenant.first.Reset()
		tenant.between.Reset()
		tenant.mutex.Unlock()
	}
	before := run.read()
	report := &Report{Scenario: run.options.Scenario, Service: make(map[berylspoke.OrganisationID]float64)}
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	// The last sample comes a little before the callers stop.
	end := time.Now().Add(run.options.Measure - 2*sampleEvery)
	for samples := 0; time.Now().Before(end) && ctx.Err() == nil; samples++ {
		<-ticker.C
		run.sampleGap(before, report)
		if samples%10 == 0 {
			run.tell("gap %.0f tokens so far", report.Gap)
		}
	}
	run.finish(before, run.read(), report)
	return report, nil
}

func (run *run) tell(format string, args ...any) {
	if run.options.Progress != nil {
		run.options.Progress(fmt.Sprintf(format, args...))
	}
}

func (run *run) tokens() []int64 {
	sums := make([]int64, len(run.tenants))
	for i, tenant := range run.tenants {
		tenant.mutex.Lock()
		sums[i] = tenant.tokens
		tenant.mutex.Unlock()
	}
	return sums
}

// sampleGap compares the normalised service since the start of all pairs.
func (run *run) sampleGap(before counters, report *Report) {
	least, most := -1, -1
	service := make([]float64, len(run.tenants))
	for i, sum := range run.tokens() {
		service[i] = float64(sum-before.tokens[i]) / float64(run.tenants[i].organisation.Weight)
		report.Service[run.tenants[i].organisation.ID] = service[i]
		if least < 0 || service[i] < service[least] {
			least = i
		}
		if most < 0 || service[i] > service[most] {
			most = i
		}
	}
	if gap := service[most] - service[least]; gap > report.Gap {
		report.Gap = gap
		report.GapPair = [2]berylspoke.OrganisationID{run.tenants[most].organisation.ID, run.tenants[least].organisation.ID}
	}
}

// read sums the counters of engines and daemons; one that is down counts zero.
func (run *run) read() counters {
	sum := counters{at: time.Now(), control: make(map[berylspoke.VMID]map[string]uint64), tokens: run.tokens()}
	for _, engine := range run.fleet.Engines {
		var stats berylstand.Stats
		if get("http://"+engine.Address+"/v1/stats", "", &stats) == nil {
			sum.busy += stats.SlotTime
			sum.slots += stats.Slots
		}
	}
	for _, entry := range run.fleet.Entries {
		var dump berylserve.Dump
		if get("http://"+entry.Operator+"/state", run.fleet.OperatorToken, &dump) == nil {
			sum.control[entry.VM] = dump.Control
			sum.data += dump.Data["acrossRegions"]
		}
	}
	return sum
}

func get(url, token string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// finish fills the report from the counters before and after. A daemon that was
// killed in between is left out of the control bytes.
func (run *run) finish(before, after counters, report *Report) {
	seconds := after.at.Sub(before.at).Seconds()
	report.Seconds = seconds
	report.Utilisation = (after.busy - before.busy).Seconds() / (float64(after.slots) * seconds)
	daemons := 0.0
	for vm, links := range after.control {
		old, seen := before.control[vm]
		if !seen || links["withinDomain"] < old["withinDomain"] {
			continue
		}
		daemons++
		peers := 0.0
		for _, link := range []string{"withinDomain", "acrossDomains", "acrossRegions"} {
			peers += float64(links[link] - old[link])
		}
		targets := float64(links["targets"] - old["targets"])
		report.Control += (peers + targets) / seconds
		report.ControlWorst = max(report.ControlWorst, (peers+targets)/seconds)
		report.TargetControl += targets / seconds
		report.RegionControl += float64(links["acrossRegions"]-old["acrossRegions"]) / seconds
	}
	report.Control /= max(daemons, 1)
	report.TargetControl /= max(daemons, 1)
	report.RegionData = float64(after.data-before.data) / seconds
	run.latencies(report)
}

func (run *run) latencies(report *Report) {
	first := hdrhistogram.New(1, longest, precision)
	flooded := hdrhistogram.New(1, longest, precision)
	between := hdrhistogram.New(1, longest, precision)
	for i, tenant := range run.tenants {
		tenant.mutex.Lock()
		report.Tokens += tenant.tokens
		report.Drafts += tenant.drafts
		report.Failures += tenant.failures
		if run.options.Scenario != Flood || i < len(run.tenants)-1 {
			first.Merge(tenant.first)
			flooded.Merge(tenant.flooded)
			between.Merge(tenant.between)
		}
		tenant.mutex.Unlock()
	}
	report.First, report.Between = percentiles(first), percentiles(between)
	if run.options.Scenario == Flood {
		whileFlooded := percentiles(flooded)
		report.FirstFlooded = &whileFlooded
	}
}

// Table returns the report for people.
func (report *Report) Table() string {
	text := fmt.Sprintf("scenario %s, %.0f s, %d drafts, %d failed, %d tokens\n", report.Scenario, report.Seconds, report.Drafts, report.Failures, report.Tokens)
	text += fmt.Sprintf("  gap                 %8.0f tokens at weight 1 (%s before %s)\n", report.Gap, report.GapPair[0], report.GapPair[1])
	text += fmt.Sprintf("  utilisation         %8.3f\n", report.Utilisation)
	text += fmt.Sprintf("  control             %8.0f B/s a daemon (worst %.0f; of it %.0f to targets)\n", report.Control, report.ControlWorst, report.TargetControl)
	text += fmt.Sprintf("  between regions     %8.0f B/s control, %.0f B/s data\n", report.RegionControl, report.RegionData)
	text += fmt.Sprintf("  first token         %8.0f ms p50, %.0f p95, %.0f p99\n", report.First.P50, report.First.P95, report.First.P99)
	if report.FirstFlooded != nil {
		text += fmt.Sprintf("  while flooded       %8.0f ms p50, %.0f p95, %.0f p99\n", report.FirstFlooded.P50, report.FirstFlooded.P95, report.FirstFlooded.P99)
	}
	return text + fmt.Sprintf("  between tokens      %8.1f ms p50, %.1f p95, %.1f p99\n", report.Between.P50, report.Between.P95, report.Between.P99)
}
