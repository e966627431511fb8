package berylload

// This file defines the measurements of a run.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylspoke"
	"berylspoke/io/berylresponse"
	"berylspoke/io/berylserve"
	"berylspoke/io/berylstand"
)

const (
	// sampleInterval is the time between two samples of the gap.
	sampleInterval = 500 * time.Millisecond
	// readTimeout bounds the request for the counters of an engine or a daemon.
	readTimeout = 2 * time.Second
)

// Report holds the results of a run. The gap is the largest difference in normalised
// service between two organisations at any sample, in tokens at weight 1. Control bytes
// are those sent by daemons: means over the daemons and the maximum of one daemon. Bytes
// between regions are sums over the daemons. Tokens, completed requests and failures
// include the warmup.
type Report struct {
	Scenario                         Scenario                              `json:"scenario"`
	Seconds                          float64                               `json:"seconds"`
	GapTokens                        float64                               `json:"gapTokens"`
	GapPair                          [2]berylspoke.OrganisationID          `json:"gapPair"`
	Utilisation                      float64                               `json:"utilisation"`
	Tokens                           int64                                 `json:"tokens"`
	Completed                        int                                   `json:"drafts"`
	Failures                         int                                   `json:"failures"`
	ControlBytesPerSecond            float64                               `json:"controlBytesPerSecond"`
	MaxControlBytesPerSecond         float64                               `json:"controlBytesPerSecondWorstDaemon"`
	TargetControlBytesPerSecond      float64                               `json:"targetControlBytesPerSecond"`
	CrossRegionControlBytesPerSecond float64                               `json:"regionControlBytesPerSecond"`
	CrossRegionDataBytesPerSecond    float64                               `json:"regionDataBytesPerSecond"`
	FirstTokenMillis                 Percentiles                           `json:"firstTokenMillis"`
	FirstTokenMillisWhileFlooded     *Percentiles                          `json:"firstTokenMillisWhileFlooded,omitempty"`
	InterTokenMillis                 Percentiles                           `json:"betweenTokensMillis"`
	NormalisedService                map[berylspoke.OrganisationID]float64 `json:"normalisedService"`
}

// Percentiles are in milliseconds, over all organisations except one that floods.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	millis := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Percentiles{millis(50), millis(95), millis(99)}
}

// counters are the counters of the fleet at one time.
type counters struct {
	at               time.Time
	slotTime         time.Duration
	slots            int
	controlBytes     map[berylspoke.VMID]map[string]uint64
	crossRegionBytes uint64
	tokens           []int64
}

func (run *run) measure(ctx context.Context) (*Report, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(run.options.Warmup):
	}
	run.progress("warmup of %s completed", run.options.Warmup)
	for _, callers := range run.organisations {
		callers.mutex.Lock()
		callers.firstToken.Reset()
		callers.interToken.Reset()
		callers.mutex.Unlock()
	}
	before := run.readCounters()
	report := &Report{Scenario: run.options.Scenario, NormalisedService: make(map[berylspoke.OrganisationID]float64)}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	// Sampling ends shortly before the callers stop.
	end := time.Now().Add(run.options.Measure - 2*sampleInterval)
	for samples := 0; time.Now().Before(end) && ctx.Err() == nil; samples++ {
		<-ticker.C
		run.sampleGap(before, report)
		if samples%10 == 0 {
			run.progress("largest gap so far: %.0f tokens", report.GapTokens)
		}
	}
	run.fill(before, run.readCounters(), report)
	return report, nil
}

// progress reports the progress of the run to its caller.
func (run *run) progress(format string, args ...any) {
	if run.options.Progress != nil {
		run.options.Progress(fmt.Sprintf(format, args...))
	}
}

// tokens returns the number of tokens received by each organisation.
func (run *run) tokens() []int64 {
	sums := make([]int64, len(run.organisations))
	for i, callers := range run.organisations {
		callers.mutex.Lock()
		sums[i] = callers.tokens
		callers.mutex.Unlock()
	}
	return sums
}

// sampleGap updates the normalised service since the start of the measurement and the
// largest gap between two organisations.
func (run *run) sampleGap(before counters, report *Report) {
	lowest, highest := -1, -1
	service := make([]float64, len(run.organisations))
	for i, sum := range run.tokens() {
		service[i] = float64(sum-before.tokens[i]) / float64(run.organisations[i].organisation.Weight)
		report.NormalisedService[run.organisations[i].organisation.ID] = service[i]
		if lowest < 0 || service[i] < service[lowest] {
			lowest = i
		}
		if highest < 0 || service[i] > service[highest] {
			highest = i
		}
	}
	if gap := service[highest] - service[lowest]; gap > report.GapTokens {
		report.GapTokens = gap
		report.GapPair = [2]berylspoke.OrganisationID{run.organisations[highest].organisation.ID, run.organisations[lowest].organisation.ID}
	}
}

// readCounters sums the counters of engines and daemons; one that does not respond
// contributes nothing.
func (run *run) readCounters() counters {
	sum := counters{at: time.Now(), controlBytes: make(map[berylspoke.VMID]map[string]uint64), tokens: run.tokens()}
	for _, engine := range run.fleet.Engines {
		var stats berylstand.Stats
		if getJSON("http://"+engine.Address+"/v1/stats", "", &stats) == nil {
			sum.slotTime += stats.SlotTime
			sum.slots += stats.Slots
		}
	}
	for _, entry := range run.fleet.Entries {
		var dump berylserve.Dump
		if getJSON("http://"+entry.OperatorAddress+"/state", run.fleet.OperatorToken, &dump) == nil {
			sum.controlBytes[entry.VM] = dump.ControlBytes
			sum.crossRegionBytes += dump.DataBytes["acrossRegions"]
		}
	}
	return sum
}

func getJSON(url, token string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	client := http.Client{Transport: berylresponse.DefaultTransport}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// fill sets the results from the counters before and after the measurement. The control
// bytes exclude a daemon that restarted in between, which shows in lower counters.
func (run *run) fill(before, after counters, report *Report) {
	seconds := after.at.Sub(before.at).Seconds()
	report.Seconds = seconds
	report.Utilisation = (after.slotTime - before.slotTime).Seconds() / (float64(after.slots) * seconds)
	daemons := 0.0
	for vm, links := range after.controlBytes {
		old, seen := before.controlBytes[vm]
		if !seen || links["withinDomain"] < old["withinDomain"] {
			continue
		}
		daemons++
		peers := 0.0
		for _, link := range []string{"withinDomain", "acrossDomains", "acrossRegions"} {
			peers += float64(links[link] - old[link])
		}
		targets := float64(links["targets"] - old["targets"])
		report.ControlBytesPerSecond += (peers + targets) / seconds
		report.MaxControlBytesPerSecond = max(report.MaxControlBytesPerSecond, (peers+targets)/seconds)
		report.TargetControlBytesPerSecond += targets / seconds
		report.CrossRegionControlBytesPerSecond += float64(links["acrossRegions"]-old["acrossRegions"]) / seconds
	}
	report.ControlBytesPerSecond /= max(daemons, 1)
	report.TargetControlBytesPerSecond /= max(daemons, 1)
	report.CrossRegionDataBytesPerSecond = float64(after.crossRegionBytes-before.crossRegionBytes) / seconds
	run.fillCallerResults(report)
}

// fillCallerResults sets the totals and the latencies that the callers recorded.
func (run *run) fillCallerResults(report *Report) {
	firstToken := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	firstTokenWhileFlooded := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	interToken := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for i, callers := range run.organisations {
		callers.mutex.Lock()
		report.Tokens += callers.tokens
		report.Completed += callers.completed
		report.Failures += callers.failures
		if run.options.Scenario != Flood || i < len(run.organisations)-1 {
			firstToken.Merge(callers.firstToken)
			firstTokenWhileFlooded.Merge(callers.firstTokenWhileFlooded)
			interToken.Merge(callers.interToken)
		}
		callers.mutex.Unlock()
	}
	report.FirstTokenMillis, report.InterTokenMillis = percentiles(firstToken), percentiles(interToken)
	if run.options.Scenario == Flood {
		whileFlooded := percentiles(firstTokenWhileFlooded)
		report.FirstTokenMillisWhileFlooded = &whileFlooded
	}
}

// Table returns the report as text for operators.
func (report *Report) Table() string {
	text := fmt.Sprintf("scenario %s, %.0f s, %d drafts, %d failed, %d tokens\n", report.Scenario, report.Seconds, report.Completed, report.Failures, report.Tokens)
	text += fmt.Sprintf("  gap                 %8.0f tokens at weight 1 (%s before %s)\n", report.GapTokens, report.GapPair[0], report.GapPair[1])
	text += fmt.Sprintf("  utilisation         %8.3f\n", report.Utilisation)
	text += fmt.Sprintf("  control             %8.0f B/s a daemon (worst %.0f; of it %.0f to targets)\n", report.ControlBytesPerSecond, report.MaxControlBytesPerSecond, report.TargetControlBytesPerSecond)
	text += fmt.Sprintf("  between regions     %8.0f B/s control, %.0f B/s data\n", report.CrossRegionControlBytesPerSecond, report.CrossRegionDataBytesPerSecond)
	text += fmt.Sprintf("  first token         %8.0f ms p50, %.0f p95, %.0f p99\n", report.FirstTokenMillis.P50, report.FirstTokenMillis.P95, report.FirstTokenMillis.P99)
	if report.FirstTokenMillisWhileFlooded != nil {
		text += fmt.Sprintf("  while flooded       %8.0f ms p50, %.0f p95, %.0f p99\n", report.FirstTokenMillisWhileFlooded.P50, report.FirstTokenMillisWhileFlooded.P95, report.FirstTokenMillisWhileFlooded.P99)
	}
	return text + fmt.Sprintf("  between tokens      %8.1f ms p50, %.1f p95, %.1f p99\n", report.InterTokenMillis.P50, report.InterTokenMillis.P95, report.InterTokenMillis.P99)
}
