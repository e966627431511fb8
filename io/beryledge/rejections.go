package beryledge

// This file defines the counts of requests rejected because the processor is overloaded.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/beryladmission"
)

const (
	// rejectionLogInterval is the minimum time between two log lines on rejections.
	rejectionLogInterval = time.Second
	// maxLogged bounds the organisations named in one log line, maxNamed those with
	// their own counter.
	maxLogged = 4
	maxNamed  = 32
)

// rejections counts rejected requests by organisation.
type rejections struct {
	set      *metrics.Set
	mutex    sync.Mutex
	counters map[berylspoke.OrganisationID]*metrics.Counter
	// unlogged are the requests counted since the last log line, overCap those of them
	// that were rejected because their organisation is beyond its cap.
	unlogged map[berylspoke.OrganisationID]int
	overCap  int
	lastLog  time.Time
}

func newRejections(set *metrics.Set) *rejections {
	return &rejections{
		set:      set,
		counters: make(map[berylspoke.OrganisationID]*metrics.Counter),
		unlogged: make(map[berylspoke.OrganisationID]int),
	}
}

// count counts one request; its organisation is empty if not known.
func (rejections *rejections) count(organisation berylspoke.OrganisationID, cause beryladmission.Cause) {
	rejections.mutex.Lock()
	defer rejections.mutex.Unlock()
	rejections.unlogged[organisation]++
	if cause == beryladmission.OverCap {
		rejections.overCap++
	}
	counter := rejections.counters[organisation]
	if counter == nil {
		label := organisation
		if len(rejections.counters) >= maxNamed {
			label = "others"
		}
		counter = rejections.set.GetOrCreateCounter(fmt.Sprintf("berylspoke_rejected_total{organisation=%q}", label))
		if len(rejections.counters) < maxNamed {
			rejections.counters[organisation] = counter
		}
	}
	counter.Inc()
}

// due returns the counts since the last log line if the next one is due, and how many
// requests were rejected because their organisation is beyond its cap.
func (rejections *rejections) due(now time.Time) (counts map[berylspoke.OrganisationID]int, overCap int) {
	rejections.mutex.Lock()
	defer rejections.mutex.Unlock()
	if len(rejections.unlogged) == 0 || now.Sub(rejections.lastLog) < rejectionLogInterval {
		return nil, 0
	}
	counts, overCap = rejections.unlogged, rejections.overCap
	rejections.unlogged, rejections.overCap, rejections.lastLog = make(map[berylspoke.OrganisationID]int), 0, now
	return counts, overCap
}

// logRejections logs at most once per second how many requests were rejected, with the
// organisations that had the most.
func (daemon *Daemon) logRejections(now time.Time) {
	counts, overCap := daemon.meters.rejections.due(now)
	if len(counts) == 0 {
		return
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	sorted := slices.SortedFunc(maps.Keys(counts), func(one, other berylspoke.OrganisationID) int {
		return cmp.Or(cmp.Compare(counts[other], counts[one]), cmp.Compare(one, other))
	})
	var named []string
	for _, organisation := range sorted[:min(len(sorted), maxLogged)] {
		named = append(named, fmt.Sprintf("%s:%d", organisation, counts[organisation]))
	}
	daemon.log.Warn("requests rejected, processor overloaded", zap.Int("count", total), zap.Int("overCap", overCap),
		zap.String("organisations", strings.Join(named, " ")), zap.Duration("delay", daemon.pressure.delay()))
}
