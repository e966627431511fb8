package beryledge

// This file defines the metrics and the state dump of a daemon.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"berylspoke"
	"berylspoke/core/berylfeed"
	"berylspoke/core/berylgate"
	"berylspoke/io/berylconn"
	"berylspoke/io/berylpeer"
)

// meters are the metrics of one daemon.
type meters struct {
	set        *metrics.Set
	storeCalls *metrics.Counter
	// storeLists counts the calls that were lists, storeHistoryGone the watches that the
	// store could not answer, storeEraUnknown the answers that do not state their era, and
	// storeEraOld those of an era before the known one, which are not used.
	storeLists, storeHistoryGone, storeEraUnknown, storeEraOld *metrics.Counter
	// storeUnreadable counts the answers to watches that could not be read.
	storeUnreadable     *metrics.Counter
	streamsAborted      *metrics.Counter
	callersDisconnected *metrics.Counter
	shed                *metrics.Counter
	// requestsCut counts the requests that the end of a planned stop cut.
	requestsCut *metrics.Counter
	// panics counts the requests and the messages of the core whose processing panicked.
	panics *metrics.Counter
	// unanswered counts the connections that were closed though a request had begun to arrive on them
	// and got no answer, unansweredLeft those of callers that had closed their end before.
	unanswered, unansweredLeft *metrics.Counter
	rejections                 *rejections
	// pulls and pulledBytes count the requests for changes of the feeds and what they
	// brought, by link.
	pulls, pulledBytes [berylpeer.LinkCount]*metrics.Counter
	outcomes           [berylgate.Outcomes]*metrics.Counter
	// advice counts the answers in which a target says that it leaves or asks for rest, and
	// the values of these that were ignored.
	advice [adviceKinds]*metrics.Counter
	// continuations counts the streams that go on after they were broken.
	continuations [continuations]*metrics.Counter
	// originSearches counts the searches for the build of a stream by how it became known,
	// originsTold the streams that holders were told of.
	originSearches [originSources]*metrics.Counter
	originsTold    *metrics.Counter
	// accountsLearnt counts the accounts of peers on the builds that are gone.
	accountsLearnt *metrics.Counter
	// otherProcesses counts the connections that led to another run of a target than expected,
	// unidentified those to targets that did not tell.
	otherProcesses, unidentified *metrics.Counter
	// crashChecks counts the checks whether targets had crashed by what they found.
	crashChecks [crashFindings]*metrics.Counter
	// unusableItems counts the published items that name no target.
	unusableItems map[berylspoke.TargetFault]*metrics.Counter
	latency       map[berylspoke.Kind]*metrics.Histogram
	// coreMessages counts the messages of the core's actor, each of which may wake the
	// process.
	coreMessages [messageKinds]*metrics.Counter
	// targetTraffic counts the bytes exchanged with targets, by link.
	targetTraffic [berylpeer.LinkCount]berylconn.Traffic
}

func newMeters(daemon *Daemon) *meters {
	set := metrics.NewSet()
	meters := &meters{
		set:                 set,
		storeCalls:          set.NewCounter("berylspoke_store_calls_total"),
		storeLists:          set.NewCounter("berylspoke_store_lists_total"),
		storeHistoryGone:    set.NewCounter("berylspoke_store_history_gone_total"),
		storeEraUnknown:     set.NewCounter("berylspoke_store_era_unknown_total"),
		storeEraOld:         set.NewCounter("berylspoke_store_era_old_total"),
		storeUnreadable:     set.NewCounter("berylspoke_store_unreadable_total"),
		streamsAborted:      set.NewCounter("berylspoke_streams_broken_off_total"),
		callersDisconnected: set.NewCounter("berylspoke_callers_left_total"),
		shed:                set.NewCounter("berylspoke_connections_shed_total"),
		requestsCut:         set.NewCounter("berylspoke_requests_cut_total"),
		panics:              set.NewCounter("berylspoke_panics_total"),
		unanswered:          set.NewCounter(`berylspoke_connections_unanswered_total{closed="daemon"}`),
		unansweredLeft:      set.NewCounter(`berylspoke_connections_unanswered_total{closed="caller"}`),
		rejections:          newRejections(set),
		otherProcesses:      set.NewCounter("berylspoke_target_other_runs_total"),
		unidentified:        set.NewCounter("berylspoke_target_runs_unknown_total"),
		originsTold:         set.NewCounter("berylspoke_streams_told_total"),
		accountsLearnt:      set.NewCounter("berylspoke_build_accounts_learnt_total"),
		unusableItems:       make(map[berylspoke.TargetFault]*metrics.Counter),
		latency:             make(map[berylspoke.Kind]*metrics.Histogram),
	}
	for _, fault := range berylspoke.TargetFaults {
		meters.unusableItems[fault] = set.NewCounter(fmt.Sprintf("berylspoke_unusable_items_total{fault=%q}", fault))
	}
	set.NewGauge("berylspoke_unusable_items", func() float64 { return float64(daemon.unusableItems.Load()) })
	for finding, name := range crashFindingNames {
		meters.crashChecks[finding] = set.NewCounter(fmt.Sprintf("berylspoke_crash_checks_total{found=%q}", name))
	}
	for kind, name := range messageNames {
		meters.coreMessages[kind] = set.NewCounter(fmt.Sprintf("berylspoke_core_messages_total{message=%q}", name))
	}
	for kind, name := range adviceNames {
		meters.advice[kind] = set.NewCounter(fmt.Sprintf("berylspoke_target_advice_total{advice=%q}", name))
	}
	for kind, name := range continuationNames {
		meters.continuations[kind] = set.NewCounter(fmt.Sprintf("berylspoke_streams_continued_total{how=%q}", name))
	}
	for source, name := range originSourceNames {
		meters.originSearches[source] = set.NewCounter(fmt.Sprintf("berylspoke_stream_origins_total{source=%q}", name))
	}
	for outcome := range meters.outcomes {
		name := fmt.Sprintf("berylspoke_attempts_total{outcome=%q}", berylgate.Outcome(outcome))
		meters.outcomes[outcome] = set.NewCounter(name)
	}
	for _, kind := range []berylspoke.Kind{berylspoke.NonIdempotent, berylspoke.Idempotent, berylspoke.Streaming} {
		meters.latency[kind] = set.NewHistogram(fmt.Sprintf("berylspoke_first_byte_seconds{kind=%q}", kind))
	}
	set.NewGauge("berylspoke_strain_seconds", func() float64 { return daemon.pressure.delay().Seconds() })
	set.NewGauge("berylspoke_requests_active", func() float64 { return float64(daemon.active.Load()) })
	set.NewGauge("berylspoke_buffered_answer_bytes", func() float64 { return float64(daemon.answerMemory.Used()) })
	set.NewGauge("berylspoke_stream_records", func() float64 { return float64(daemon.origins.count()) })
	set.NewGauge("berylspoke_quarantined_requests", func() float64 { return float64(len(daemon.verdicts.Load().List)) })
	set.NewGauge("berylspoke_connections_opened_total", func() float64 { return float64(daemon.pool.DialCount()) })
	meters.addPeerMetrics(daemon)
	meters.addTargetMetrics()
	meters.addFeedMetrics(daemon)
	return meters
}

// edgeMessages are the kinds of messages that these daemons exchange.
var edgeMessages = []string{
	"heartbeat", "report", "usage", "pull", "delta", "crashes", "streamsBegan", "originQuestion", "originAnswer", "buildInquiry", "buildAccount",
}

// addPeerMetrics registers what is exchanged with other daemons: by link with headers, by
// message without them.
func (meters *meters) addPeerMetrics(daemon *Daemon) {
	traffic := func(read func(*berylpeer.Traffic) uint64) func() float64 {
		return func() float64 {
			if daemon.transport == nil {
				return 0
			}
			return float64(read(daemon.transport.Traffic()))
		}
	}
	for link := berylpeer.WithinDomain; link < berylpeer.LinkCount; link++ {
		meters.set.NewGauge(fmt.Sprintf("berylspoke_peer_bytes_sent_total{link=%q}", link),
			traffic(func(traffic *berylpeer.Traffic) uint64 { return traffic.Sent[link].Load() }))
		meters.set.NewGauge(fmt.Sprintf("berylspoke_peer_packets_sent_total{link=%q}", link),
			traffic(func(traffic *berylpeer.Traffic) uint64 { return traffic.Packets[link].Load() }))
	}
	meters.set.NewGauge("berylspoke_peer_packets_received_total", traffic(func(traffic *berylpeer.Traffic) uint64 { return traffic.PacketsReceived.Load() }))
	handshakes := func(read func(open int64, refused, verified uint64) float64) func() float64 {
		return func() float64 {
			if daemon.transport == nil {
				return 0
			}
			return read(daemon.transport.Handshakes())
		}
	}
	meters.set.NewGauge("berylspoke_peer_handshakes_open", handshakes(func(open int64, _, _ uint64) float64 { return float64(open) }))
	meters.set.NewGauge("berylspoke_peer_handshakes_refused_total", handshakes(func(_ int64, refused, _ uint64) float64 { return float64(refused) }))
	meters.set.NewGauge("berylspoke_peer_handshakes_verified_total", handshakes(func(_ int64, _, verified uint64) float64 { return float64(verified) }))
	for _, message := range edgeMessages {
		meters.set.NewGauge(fmt.Sprintf("berylspoke_peer_message_bytes_total{message=%q}", message),
			traffic(func(traffic *berylpeer.Traffic) uint64 { return traffic.SentByKind()[message].Bytes }))
		meters.set.NewGauge(fmt.Sprintf("berylspoke_peer_messages_received_total{message=%q}", message),
			traffic(func(traffic *berylpeer.Traffic) uint64 { return traffic.ReceivedByKind()[message].Messages }))
	}
}

// addTargetMetrics registers the bytes exchanged with targets.
func (meters *meters) addTargetMetrics() {
	for link := berylpeer.WithinDomain; link < berylpeer.LinkCount; link++ {
		traffic := &meters.targetTraffic[link]
		meters.set.NewGauge(fmt.Sprintf("berylspoke_target_bytes_sent_total{link=%q}", link), func() float64 { return float64(traffic.Sent.Load()) })
		meters.set.NewGauge(fmt.Sprintf("berylspoke_target_bytes_received_total{link=%q}", link), func() float64 { return float64(traffic.Received.Load()) })
	}
}

// addFeedMetrics registers the ages of the feeds and what they pulled from peers.
func (meters *meters) addFeedMetrics(daemon *Daemon) {
	for link := berylpeer.WithinDomain; link < berylpeer.LinkCount; link++ {
		meters.pulls[link] = meters.set.NewCounter(fmt.Sprintf("berylspoke_feed_pulls_total{link=%q}", link))
		meters.pulledBytes[link] = meters.set.NewCounter(fmt.Sprintf("berylspoke_feed_pulled_bytes_total{link=%q}", link))
	}
	for name := range berylfeed.Count {
		meters.set.NewGauge(fmt.Sprintf("berylspoke_feed_age_seconds{feed=%q}", name), func() float64 {
			return daemon.replicaAge(name, time.Now()).Seconds()
		})
		meters.set.NewGauge(fmt.Sprintf("berylspoke_store_era{feed=%q}", name), func() float64 { return float64(daemon.position(name).Era) })
	}
}

func (meters *meters) refusal(reason berylspoke.Reason) *metrics.Counter {
	return meters.set.GetOrCreateCounter(fmt.Sprintf("berylspoke_refusals_total{reason=%q}", reason))
}

func (meters *meters) observeFirstByte(kind berylspoke.Kind, latency time.Duration) {
	meters.latency[kind].Update(latency.Seconds())
}

// FeedDump is the position of one feed and the items that it keeps against the store.
type FeedDump struct {
	Era      berylspoke.Era      `json:"era"`
	AsOf     berylspoke.Revision `json:"asOf"`
	Carried  int                 `json:"carried"`
	Withheld int                 `json:"withheld"`
	InGrace  int                 `json:"inGrace"`
}

// Dump is the state of a daemon as served to operators.
type Dump struct {
	VM      string                   `json:"vm"`
	Ready   bool                     `json:"ready"`
	Active  int64                    `json:"active"`
	Version berylspoke.ConfigVersion `json:"version"`
	Entries map[string][]string      `json:"entries"`
	Members []string                 `json:"members"`
	Feeds   map[string]FeedDump      `json:"feeds"`
	// Unusable lists the published items that name no target.
	Unusable []UnusableDump `json:"unusable"`
	Gate     berylgate.Dump `json:"gate"`
}

// Dump returns the state of the daemon.
func (daemon *Daemon) Dump() Dump {
	dump := Dump{
		VM: daemon.settings.Name, Ready: daemon.Ready(), Active: daemon.active.Load(),
		Entries: make(map[string][]string), Feeds: make(map[string]FeedDump),
	}
	if index := daemon.index.Load(); index != nil {
		dump.Version = index.Catalog().Version
	}
	for domain, addresses := range daemon.entries.Load().byDomain {
		dump.Entries[string(domain)] = addresses
	}
	daemon.inspectCore(func(now time.Time, core *core) {
		for _, member := range core.table.Members() {
			dump.Members = append(dump.Members, fmt.Sprintf("%s %s", member.VM.ID, member.Rumour.Status))
		}
		for name, feed := range core.feeds {
			kept := feed.Kept(now)
			dump.Feeds[berylfeed.Name(name).String()] = FeedDump{
				Era: feed.AsOf().Era, AsOf: feed.AsOf().Revision, Carried: kept.Carried, Withheld: kept.Withheld, InGrace: kept.InGrace,
			}
		}
		dump.Unusable = core.unusable.dump()
		dump.Gate = core.gate.Dump(now)
	})
	return dump
}

// operators serves the metrics, a CPU profile and the state dump.
func (daemon *Daemon) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		daemon.meters.set.WritePrometheus(writer)
	})
	// The profile shows where the processor time of a small VM goes.
	mux.HandleFunc("GET /profile", pprof.Profile)
	mux.HandleFunc("GET /state", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(daemon.Dump())
	})
	return mux
}
