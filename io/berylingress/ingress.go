package berylingress

// This file defines the bound that all listeners of a process share.

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"berylspoke"
	"berylspoke/core/berylintake"
	"berylspoke/io/beryllog"
)

const (
	// memoryShare is the part of a process's memory that its callers may make it hold, in hundredths, and
	// connectionsShare the part of that which connections may take in themselves.
	memoryShare      = 40
	connectionsShare = 60
	// logInterval is the minimum time between two log lines on one kind of shortage.
	logInterval = 100 * time.Millisecond
	// lineBytes is what a line of a head takes beside its bytes, as an entry of the parsed head and of the one
	// that is sent on, and byteFactor what each byte of a head takes.
	lineBytes  = 192
	byteFactor = 2
)

// Part is a part of what a caller makes a process hold.
type Part uint8

// The parts.
const (
	Connection Part = iota
	Head
	Body
	Answer
	parts
)

var partNames = [parts]string{"connection", "head", "body", "answer"}

// String returns the name of the part in metrics and logs.
func (part Part) String() string { return partNames[part] }

// Limits returns what callers may make a process hold that may use an amount of memory and a number of sockets for
// its callers. Zero means no bound.
func Limits(memoryBytes int64, sockets int) berylintake.Limits {
	limits := berylintake.Limits{Bytes: memoryBytes * memoryShare / 100, Connections: sockets}
	if byMemory := int(limits.Bytes * connectionsShare / 100 / berylintake.ConnectionBytes); byMemory > 0 && (sockets == 0 || byMemory < sockets) {
		limits.Connections = byMemory
	}
	return limits
}

// Ingress bounds what the callers of all listeners of a process make it hold.
type Ingress struct {
	mutex   sync.Mutex
	ledger  *berylintake.Ledger
	log     *zap.Logger
	limits  [parts]beryllog.Limit
	refused [parts]*metrics.Counter
	evicted [parts]*metrics.Counter
}

// New returns a bound without connections, whose metrics are in a set.
func New(limits berylintake.Limits, set *metrics.Set, log *zap.Logger) *Ingress {
	ingress := &Ingress{ledger: berylintake.NewLedger(limits), log: log}
	// Answers are never refused here.
	for part := range Answer {
		ingress.refused[part] = set.NewCounter(fmt.Sprintf("berylspoke_intake_refused_total{part=%q}", part))
		ingress.evicted[part] = set.NewCounter(fmt.Sprintf("berylspoke_intake_evicted_total{part=%q}", part))
	}
	set.NewGauge("berylspoke_intake_held_bytes", func() float64 { held, _ := ingress.used(); return float64(held) })
	set.NewGauge("berylspoke_intake_connections", func() float64 { _, connections := ingress.used(); return float64(connections) })
	set.NewGauge("berylspoke_intake_limit_bytes", func() float64 { return float64(limits.Bytes) })
	set.NewGauge("berylspoke_intake_limit_connections", func() float64 { return float64(limits.Connections) })
	return ingress
}

// used returns the bytes that requests hold and the number of connections.
func (ingress *Ingress) used() (held int64, connections int) {
	ingress.mutex.Lock()
	defer ingress.mutex.Unlock()
	return ingress.ledger.Held(), ingress.ledger.Connections()
}

// Open adds a connection, which evict ends, and returns nil if there is no room.
func (ingress *Ingress) Open(now time.Time, evict func()) *Hold {
	hold := &Hold{ingress: ingress}
	hold.entry.Evict = evict
	ingress.mutex.Lock()
	evicted, opened := ingress.ledger.Open(now, &hold.entry)
	ingress.mutex.Unlock()
	if evicted != nil {
		ingress.evict(now, Connection, []*berylintake.Entry{evicted})
	}
	if !opened {
		ingress.refuse(now, Connection, "", 0)
		return nil
	}
	return hold
}

// Room returns for how many connections there is room, of which some are accepted but not opened. If there is
// none, a connection that waits for its caller is evicted. The result is unlimited if there is no bound.
func (ingress *Ingress) Room(now time.Time, accepted, unlimited int) int {
	ingress.mutex.Lock()
	room := ingress.ledger.Room(unlimited) - accepted
	var evicted *berylintake.Entry
	if room <= 0 {
		evicted = ingress.ledger.EvictLongest()
	}
	ingress.mutex.Unlock()
	if evicted != nil {
		ingress.evict(now, Connection, []*berylintake.Entry{evicted})
		return 1
	}
	return max(room, 0)
}

// evict ends connections to make room for a part of what another holds.
func (ingress *Ingress) evict(now time.Time, part Part, entries []*berylintake.Entry) {
	for _, entry := range entries {
		ingress.evicted[part].Inc()
		entry.Evict()
	}
	if len(entries) > 0 && ingress.limits[part].Due(now, logInterval) {
		held, connections := ingress.used()
		ingress.log.Warn("connection ended as its caller keeps it waiting and others need room", zap.Stringer("for", part),
			zap.Int64("held", held), zap.Int("connections", connections))
	}
}

// refuse counts and logs that there is no room.
func (ingress *Ingress) refuse(now time.Time, part Part, organisation berylspoke.OrganisationID, bytes int64) {
	ingress.refused[part].Inc()
	if !ingress.limits[part].Due(now, logInterval) {
		return
	}
	held, connections := ingress.used()
	ingress.log.Warn("no room for what a caller makes the process hold", zap.Stringer("part", part),
		zap.String("organisation", string(organisation)), zap.Int64("bytes", bytes), zap.Int64("held", held), zap.Int("connections", connections))
}

// Hold is what one connection holds. Nil holds without a bound.
type Hold struct {
	ingress *Ingress
	// The other fields are guarded by the mutex of ingress.
	entry        berylintake.Entry
	organisation berylspoke.OrganisationID
	// begun is set once a request has begun to arrive, handled once its head is parsed.
	begun, handled bool
	// held are the bytes of each part.
	held [parts]int64
}

// Read counts bytes that were read, which are part of a head until it is parsed. It returns false if there is no
// room for the head.
func (hold *Hold) Read(now time.Time, data []byte) bool {
	if hold == nil {
		return true
	}
	hold.ingress.mutex.Lock()
	if hold.handled {
		hold.ingress.mutex.Unlock()
		return true
	}
	if !hold.begun {
		hold.begun = true
		hold.ingress.ledger.Begin(now, &hold.entry)
	}
	return hold.charge(now, Head, hold.held[Head]+headBytes(data))
}

// Handle notes that a head is parsed, and whose request it is. It returns false if there is no room for it.
func (hold *Hold) Handle(now time.Time, header http.Header, organisation berylspoke.OrganisationID) bool {
	if hold == nil {
		return true
	}
	bytes := parsedBytes(header)
	hold.ingress.mutex.Lock()
	if !hold.begun {
		hold.ingress.ledger.Begin(now, &hold.entry)
	}
	hold.begun, hold.handled, hold.organisation = true, true, organisation
	// What was read with the head is in the buffer of the connection.
	return hold.charge(now, Head, bytes)
}

// GrowBody adds to what the body holds. It returns false, and adds nothing, if there is no room.
func (hold *Hold) GrowBody(now time.Time, bytes int64) bool {
	if hold == nil {
		return true
	}
	hold.ingress.mutex.Lock()
	return hold.charge(now, Body, hold.held[Body]+bytes)
}

// GrowAnswer adds to what the answer holds, or takes from it if bytes are negative. It leaves less room for what
// arrives, but is not refused: the request has run.
func (hold *Hold) GrowAnswer(bytes int64) {
	if hold == nil {
		return
	}
	hold.ingress.mutex.Lock()
	defer hold.ingress.mutex.Unlock()
	hold.held[Answer] += bytes
	hold.ingress.ledger.Force(&hold.entry, hold.total())
}

// charge sets the bytes of a part. It releases the mutex.
func (hold *Hold) charge(now time.Time, part Part, bytes int64) bool {
	before := hold.held[part]
	hold.held[part] = bytes
	total := hold.total()
	evicted, charged := hold.ingress.ledger.Charge(now, &hold.entry, hold.organisation, total)
	if !charged {
		hold.held[part] = before
	}
	organisation := hold.organisation
	hold.ingress.mutex.Unlock()
	hold.ingress.evict(now, part, evicted)
	if !charged {
		hold.ingress.refuse(now, part, organisation, total)
	}
	return charged
}

// total returns what the request and its answer take beyond what is part of their connection.
func (hold *Hold) total() int64 {
	request := hold.held[Head] + hold.held[Body] - berylintake.FreeBytes
	answer := hold.held[Answer] - berylintake.FreeBytes
	return max(request, 0) + max(answer, 0)
}

// Serve notes that the request is whole. It returns false if its organisation has too many in service.
func (hold *Hold) Serve(now time.Time) bool {
	if hold == nil {
		return true
	}
	hold.ingress.mutex.Lock()
	served, organisation := hold.ingress.ledger.Serve(&hold.entry), hold.organisation
	hold.ingress.mutex.Unlock()
	if !served {
		hold.ingress.refuse(now, Connection, organisation, 0)
	}
	return served
}

// Deliver notes that the whole answer is ready.
func (hold *Hold) Deliver(now time.Time) {
	if hold == nil {
		return
	}
	hold.ingress.mutex.Lock()
	defer hold.ingress.mutex.Unlock()
	hold.ingress.ledger.Deliver(now, &hold.entry)
}

// Idle notes that the request is answered.
func (hold *Hold) Idle(now time.Time) {
	if hold == nil {
		return
	}
	hold.ingress.mutex.Lock()
	defer hold.ingress.mutex.Unlock()
	hold.begun, hold.handled, hold.organisation, hold.held = false, false, "", [parts]int64{}
	hold.ingress.ledger.Idle(now, &hold.entry)
}

// Close removes the connection.
func (hold *Hold) Close() {
	if hold == nil {
		return
	}
	hold.ingress.mutex.Lock()
	defer hold.ingress.mutex.Unlock()
	hold.ingress.ledger.Close(&hold.entry)
}
