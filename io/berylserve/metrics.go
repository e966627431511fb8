package berylserve

// This file defines the metrics of a daemon.

import (
	"fmt"
	"sync/atomic"
	"time"

	"berylspoke"
	"berylspoke/io/berylpeer"
)

var allLinks = []berylpeer.Link{berylpeer.WithinDomain, berylpeer.AcrossDomains, berylpeer.AcrossRegions}

// dataTraffic counts the payload bytes between this entry daemon and targets by link.
type dataTraffic struct{ bytes [3]atomic.Uint64 }

func (traffic *dataTraffic) add(link berylpeer.Link, bytes uint64) { traffic.bytes[link].Add(bytes) }

func (traffic *dataTraffic) totals() map[string]uint64 {
	totals := make(map[string]uint64)
	for _, link := range allLinks {
		totals[link.String()] = traffic.bytes[link].Load()
	}
	return totals
}

// controlBytes returns the control bytes sent to peers by link, and those exchanged with
// targets under "targets".
func (daemon *Daemon) controlBytes() map[string]uint64 {
	totals := make(map[string]uint64)
	for _, link := range allLinks {
		totals[link.String()] = daemon.transport.Traffic().Sent[link].Load()
	}
	totals["targets"] = daemon.targets.ControlBytes.Load()
	return totals
}

func (daemon *Daemon) registerMetrics() {
	for _, link := range allLinks {
		traffic := daemon.transport.Traffic()
		gauge := func(format string, value func() float64) {
			daemon.metrics.NewGauge(fmt.Sprintf(format, link), value)
		}
		gauge(`berylspoke_bytes_total{kind="control",direction="sent",link=%q}`, func() float64 { return float64(traffic.Sent[link].Load()) })
		gauge(`berylspoke_bytes_total{kind="control",direction="received",link=%q}`, func() float64 { return float64(traffic.Received[link].Load()) })
		gauge(`berylspoke_packets_total{link=%q}`, func() float64 { return float64(traffic.Packets[link].Load()) })
		gauge(`berylspoke_bytes_total{kind="data",direction="both",link=%q}`, func() float64 { return float64(daemon.dataTraffic.bytes[link].Load()) })
	}
	for name := range daemon.transport.Traffic().SentByKind() {
		daemon.metrics.NewGauge(fmt.Sprintf("berylspoke_messages_sent_total{kind=%q}", name), func() float64 {
			return float64(daemon.transport.Traffic().SentByKind()[name].Messages)
		})
	}
	daemon.metrics.NewGauge("berylspoke_peer_connections", func() float64 { return float64(daemon.transport.Connections()) })
	daemon.metrics.NewGauge("berylspoke_callers_active", func() float64 { return float64(daemon.activeCallers.Load()) })
	daemon.metrics.NewGauge(`berylspoke_target_control_bytes_total`, func() float64 { return float64(daemon.targets.ControlBytes.Load()) })
}

func (daemon *Daemon) countRefusal(refusal *berylspoke.Refusal) {
	daemon.metrics.GetOrCreateCounter(fmt.Sprintf("berylspoke_refusals_total{reason=%q,verdict=%q}", refusal.Reason, refusal.Verdict)).Inc()
}

func (daemon *Daemon) observeFirstToken(latency time.Duration) {
	daemon.metrics.GetOrCreateHistogram("berylspoke_first_token_seconds").Update(latency.Seconds())
}
