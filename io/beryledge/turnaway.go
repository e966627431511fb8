package beryledge

// This file defines the account of requests that are refused as processor time is
// short.

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
)

const (
	// toldEvery is the time between two log lines on callers turned away.
	toldEvery = time.Second
	// toldMost bounds the organisations named in one line, namedMost those that have
	// a counter of their own.
	toldMost  = 4
	namedMost = 32
)

// turnaways counts the callers turned away, by organisation.
type turnaways struct {
	set   *metrics.Set
	mutex sync.Mutex
	named map[berylspoke.OrganisationID]*metrics.Counter
	// fresh are those counted since the last line.
	fresh map[berylspoke.OrganisationID]int
	told  time.Time
}

func newTurnaways(set *metrics.Set) *turnaways {
	return &turnaways{
		set:   set,
		named: make(map[berylspoke.OrganisationID]*metrics.Counter),
		fresh: make(map[berylspoke.OrganisationID]int),
	}
}

// count counts one caller; its organisation is empty if that is not known.
func (away *turnaways) count(organisation berylspoke.OrganisationID) {
	away.mutex.Lock()
	defer away.mutex.Unlock()
	away.fresh[organisation]++
	counter := away.named[organisation]
	if counter == nil {
		label := organisation
		if len(away.named) >= namedMost {
			label = "others"
		}
		counter = away.set.GetOrCreateCounter(fmt.Sprintf("berylspoke_turned_away_total{organisation=%q}", label))
		if len(away.named) < namedMost {
			away.named[organisation] = counter
		}
	}
	counter.Inc()
}

// due returns the counts since the last line if one is due.
func (away *turnaways) due(now time.Time) map[berylspoke.OrganisationID]int {
	away.mutex.Lock()
	defer away.mutex.Unlock()
	if len(away.fresh) == 0 || now.Sub(away.told) < toldEvery {
		return nil
	}
	counts := away.fresh
	away.fresh, away.told = make(map[berylspoke.OrganisationID]int), now
	return counts
}

// tellTurnaways logs now and then how many callers were turned away, and of which
// organisations most.
func (daemon *Daemon) tellTurnaways(now time.Time) {
	counts := daemon.meters.turnaways.due(now)
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
	var told []string
	for _, organisation := range most[:min(len(most), toldMost)] {
		told = append(told, fmt.Sprintf("%s:%d", organisation, counts[organisation]))
	}
	daemon.log.Warn("callers turned away, processor short", zap.Int("count", total),
		zap.String("organisations", strings.Join(told, " ")), zap.Duration("delay", daemon.strain.delay()))
}
