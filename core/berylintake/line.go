package berylintake

// This file defines the line of requests before the processor.

import (
	"slices"
	"time"

	"berylspoke"
)

const (
	// waitMost is the longest that a request waits to be taken in.
	waitMost = 50 * time.Millisecond
	// roomMost bounds the requests that wait.
	roomMost = 256
	// chargeLeast is the least tokens that a request counts for: one without a
	// prompt uses the processor too.
	chargeLeast = 500
	// pressedFor is how long the processor counts as short after a request was
	// refused or had to wait.
	pressedFor = 200 * time.Millisecond
	// intervalWeight is the part of one observation in the mean interval between two
	// requests taken from the line.
	intervalWeight = 0.1
)

// Ticket names a request in the line.
type Ticket uint64

// Request is one request that asks to be taken in.
type Request struct {
	Ticket       Ticket
	Organisation berylspoke.OrganisationID
	// Tokens are what the request counts in its organisation's share.
	Tokens berylspoke.Tokens
}

// Change is what became of requests, in order.
type Change struct {
	Taken, Refused []Ticket
}

// Line is the state of one daemon's intake.
type Line struct {
	// slots is the number of requests that may be taken in at once, taken those that
	// are.
	slots, taken int
	// accounts are kept only while the processor is short.
	accounts map[berylspoke.OrganisationID]*account
	// backlogged are the accounts with waiting requests, in the order in which they
	// came to have some.
	backlogged []*account
	waiting    int
	// virtual is the highest tag of a request that was taken.
	virtual float64
	// interval is the mean time between two requests taken from the line while others
	// waited, zero if none waited lately; last is when the latest was.
	interval time.Duration
	last     time.Time
	// pressed is until when the processor counts as short.
	pressed time.Time
}

// account is one organisation's part of the line.
type account struct {
	// tag is the service that it received, in tokens on the scale of virtual.
	tag     float64
	waiting []place
	// ahead are the charges of those that wait.
	ahead float64
}

// place is one request that waits.
type place struct {
	ticket Ticket
	charge float64
	since  time.Time
}

// NewLine returns an empty line before a stage of so many slots.
func NewLine(slots int) *Line {
	return &Line{slots: max(slots, 1), accounts: make(map[berylspoke.OrganisationID]*account)}
}

// Pressed says whether requests had to wait or were refused until just now.
func (line *Line) Pressed(now time.Time) bool { return line.waiting > 0 || now.Before(line.pressed) }

// Offer asks for a request to be taken in. While the processor is at ease it is
// taken now. Otherwise it waits, or is refused, or makes another one be refused.
func (line *Line) Offer(now time.Time, request Request) Change {
	change := line.Expire(now)
	if !line.Pressed(now) {
		line.reset()
		if line.taken < line.slots {
			line.taken++
			change.Taken = append(change.Taken, request.Ticket)
			return change
		}
	}
	account := line.account(request.Organisation)
	if line.waiting == 0 {
		line.last = now
	}
	line.wait(account, place{request.Ticket, float64(max(request.Tokens, chargeLeast)), now})
	for line.waiting > line.room() {
		change.Refused = append(change.Refused, line.evict())
	}
	return change
}

// Begin counts a request that was taken in before and begins its stage only now.
func (line *Line) Begin() { line.taken++ }

// Done frees the slot of a request that left the stage.
func (line *Line) Done() { line.taken-- }

// Ready says whether Next would take in any.
func (line *Line) Ready() bool { return line.waiting > 0 && line.taken < line.slots }

// Next takes in those for whom there are slots. It is to be called when the
// processor has done all else that it has to do: what was taken in goes first.
func (line *Line) Next(now time.Time) Change {
	change := line.Expire(now)
	for line.Ready() {
		change.Taken = append(change.Taken, line.next(now))
	}
	return change
}

// Expire refuses those that have waited for as long as any may.
func (line *Line) Expire(now time.Time) Change {
	var change Change
	for i := len(line.backlogged) - 1; i >= 0; i-- {
		account := line.backlogged[i]
		for len(account.waiting) > 0 && now.Sub(account.waiting[0].since) >= waitMost {
			change.Refused = append(change.Refused, line.drop(account, 0).ticket)
			line.pressed = now.Add(pressedFor)
		}
	}
	return change
}

// reset forgets who was served how much, which matters only while the processor is
// short: idleness saves no credit.
func (line *Line) reset() {
	clear(line.accounts)
	line.virtual, line.interval = 0, 0
}

// account returns the account of an organisation; one that had nothing waiting
// begins at the present.
func (line *Line) account(organisation berylspoke.OrganisationID) *account {
	found := line.accounts[organisation]
	if found == nil {
		found = &account{}
		line.accounts[organisation] = found
	}
	if len(found.waiting) == 0 {
		found.tag = max(found.tag, line.virtual)
	}
	return found
}

// wait adds a request to those that wait.
func (line *Line) wait(account *account, place place) {
	if len(account.waiting) == 0 {
		line.backlogged = append(line.backlogged, account)
	}
	account.waiting = append(account.waiting, place)
	account.ahead += place.charge
	line.waiting++
	line.pressed = place.since.Add(pressedFor)
}

// drop takes a request out of those that wait.
func (line *Line) drop(account *account, at int) place {
	place := account.waiting[at]
	account.ahead -= place.charge
	account.waiting = slices.Delete(account.waiting, at, at+1)
	line.waiting--
	if len(account.waiting) == 0 {
		at := slices.Index(line.backlogged, account)
		line.backlogged = slices.Delete(line.backlogged, at, at+1)
	}
	return place
}

// take charges an organisation for a request that is taken in.
func (line *Line) take(account *account, charge float64) {
	line.virtual = max(line.virtual, account.tag)
	account.tag += charge
	line.taken++
}

// next takes the first request of the organisation that was served least.
func (line *Line) next(now time.Time) Ticket {
	least := line.backlogged[0]
	for _, account := range line.backlogged[1:] {
		if account.tag < least.tag {
			least = account
		}
	}
	first := line.drop(least, 0)
	line.take(least, first.charge)
	line.interval += time.Duration(intervalWeight * float64(now.Sub(line.last)-line.interval))
	line.last = now
	line.pressed = now.Add(pressedFor)
	return first.ticket
}

// room returns how many may wait: those that can expect to be taken in time.
func (line *Line) room() int {
	if line.interval <= 0 {
		return roomMost
	}
	return min(max(int(waitMost/line.interval), line.slots), roomMost)
}

// evict refuses the newest request of the organisation that is furthest ahead,
// with all that waits for it.
func (line *Line) evict() Ticket {
	most := line.backlogged[0]
	for _, account := range line.backlogged[1:] {
		if account.tag+account.ahead > most.tag+most.ahead {
			most = account
		}
	}
	return line.drop(most, len(most.waiting)-1).ticket
}
