package beryledge

// This file defines the counts of requests rejected as the processor is overloaded.

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
	// rejectionsEvery is the least time between two log lines on rejections.
	rejectionsEvery = time.Second
	// loggedMost bounds the organisations named in one line, namedMost those that have
	// a counter of their own.
	loggedMost = 4
	namedMost  = 32
)

// rejections counts rejected requests by organisation.
type rejections struct {
	set   *metrics.Set
	mutex sync.Mutex
	named map[berylspoke.OrganisationID]*metrics.Counter
	// fresh are those counted since the last line, overCap those of them that were
	// rejected for their organisation's cap.
	fresh   map[berylspoke.OrganisationID]int
	overCap int
	logged  time.Time
}

func newRejections(set *metrics.Set) *rejections {
	return &rejections{
		set:   set,
		named: make(map[berylspoke.OrganisationID]*metrics.Counter),
		fresh: make(map[berylspoke.OrganisationID]int),
	}
}

// count counts one request; its organisation is empty if that is not known.
func (rejections *rejections) count(organisation berylspoke.OrganisationID, cause beryladmission.Cause) {
	rejections.mutex.Lock()
	defer rejections.mutex.Unlock()
	rejections.fresh[organisation]++
	if cause == beryladmission.OverCap {
		rejections.overCap++
	}
	counter := rejections.named[organisation]
	if counter == nil {
		label := organisation
		if len(rejections.named) >= namedMost {
			label = "others"
		}
		counter = rejections.set.GetOrCreateCounter(fmt.Sprintf("berylspoke_rejected_total{organisation=%q}", label))
		if len(rejections.named) < namedMost {
			rejections.named[organisation] = counter
		}
	}
	counter.Inc()
}

// due returns the counts since the last line if one is due, and how many of them were
// rejected for their organisation's cap.
func (rejections *rejections) due(now time.Time) (counts map[berylspoke.OrganisationID]int, overCap int) {
	rejections.mutex.Lock()
	defer rejections.mutex.Unlock()
	if len(rejections.fresh) == 0 || now.Sub(rejections.logged) < rejectionsEvery {
		return nil, 0
	}
	counts, overCap = rejections.fresh, rejections.overCap
	rejections.fresh, rejections.overCap, rejections.logged = make(map[berylspoke.OrganisationID]int), 0, now
	return counts, overCap
}

// logRejections logs at most once a second how many requests were rejected, and of
// which organisations most.
func (daemon *Daemon) logRejections(now time.Time) {
	counts, overCap := daemon.meters.rejections.due(now)
	if len(counts) == 0 {
		return
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	most := slices.SortedFunc(maps.Keys(counts), func(one, other berylspoke.OrganisationID) int {
		return cmp.Or(cmp.Compare(counts[other], counts[one]), cmp.Compare(one, other))
	})
	var named []string
	for _, organisation := range most[:min(len(most), loggedMost)] {
		named = append(named, fmt.Sprintf("%s:%d", organisation, counts[organisation]))
	}
	daemon.log.Warn("requests rejected, processor overloaded", zap.Int("count", total), zap.Int("overCap", overCap),
		zap.String("organisations", strings.Join(named, " ")), zap.Duration("delay", daemon.strain.delay()))
}
