package berylshare

// This file defines the queue of one service at one entry.

import (
	"container/heap"
	"sort"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

// Policy names the order in which requests are served.
type Policy string

// The policies: the product's own and two baselines to measure it against.
const (
	FleetFair Policy = "fleetFair"
	LocalFair Policy = "localFair"
	FirstCome Policy = "firstCome"
)

// Options are the bounds of a queue; zero bounds of waiting mean none.
type Options struct {
	Policy Policy
	// CatchUp bounds how far a tag may lag behind the virtual time.
	CatchUp berylspoke.Tag
	// Lead bounds how far a tag, less its own reservations, may run ahead.
	Lead berylspoke.Tag
	// MaxWaiting bounds all waiting requests.
	MaxWaiting int
	// MaxPerOrganisation bounds an organisation's waiting requests where its
	// declaration does not.
	MaxPerOrganisation int
}

// Queue holds the waiting requests of one service at one entry.
type Queue struct {
	options  Options
	accounts map[berylspoke.OrganisationID]*account
	// dirty holds the accounts charged since their last report.
	dirty   map[berylspoke.OrganisationID]*account
	lives   uint32
	backlog accountHeap
	waiting int
	time    berylspoke.Tag
	// fresh says that time is the pool's present virtual time; accounts that
	// became backlogged without it are lifted once it is known.
	fresh       bool
	provisional []*account
}

// NewQueue returns an empty queue.
func NewQueue(options Options) *Queue {
	return &Queue{
		options:  options,
		accounts: make(map[berylspoke.OrganisationID]*account),
		dirty:    make(map[berylspoke.OrganisationID]*account),
	}
}

// ErrOrganisationFull and ErrFull refuse a request that the bounds exclude.
var (
	ErrOrganisationFull = errors.New("organisation has too many requests waiting")
	ErrFull             = errors.New("service has too many requests waiting")
)

// Waiting returns the number of waiting requests.
func (queue *Queue) Waiting() int { return queue.waiting }

// Backlogged returns the number of organisations with a waiting request.
func (queue *Queue) Backlogged() int { return len(queue.backlog) }

// SetTime sets the virtual time of the pool that this queue is served from; it
// is not fresh if no keeper has told it lately.
func (queue *Queue) SetTime(time berylspoke.Tag, fresh bool) {
	queue.time = max(queue.time, time)
	queue.fresh = fresh
	if !fresh {
		return
	}
	for _, account := range queue.provisional {
		if account.place >= 0 {
			account.lift(queue.time)
			heap.Fix(&queue.backlog, account.place)
		}
	}
	queue.provisional = nil
}

// Time returns the virtual time.
func (queue *Queue) Time() berylspoke.Tag { return queue.time }

// account finds an account; under FirstCome all organisations share one, which
// serves them in the order of arrival.
func (queue *Queue) account(id berylspoke.OrganisationID, weight berylspoke.Weight) *account {
	if queue.options.Policy == FirstCome {
		id = ""
	}
	found := queue.accounts[id]
	if found == nil {
		queue.lives++
		found = &account{organisation: id, place: -1, life: queue.lives}
		queue.accounts[id] = found
	}
	if weight > 0 && weight != found.weight {
		queue.reweigh(found, weight)
	}
	return found
}

// reweigh keeps the tag while the weight changes: past service was normalised
// by the old weight and must not be valued anew.
func (queue *Queue) reweigh(account *account, weight berylspoke.Weight) {
	fleet := account.fleet()
	account.weight = weight
	account.base += fleet - account.fleet()
}

// Push adds a request of an organisation that may have at most limit waiting. In a
// full queue it displaces the newest request of the organisation with the most waiting
// for its weight, which is returned; it is refused itself if its own has about as many.
func (queue *Queue) Push(request Waiting, weight berylspoke.Weight, limit int) (*Waiting, error) {
	account := queue.account(request.Organisation, weight)
	if limit == 0 {
		limit = queue.options.MaxPerOrganisation
	}
	if limit > 0 && len(account.waiting) >= limit {
		return nil, ErrOrganisationFull
	}
	var displaced *Waiting
	if queue.options.MaxWaiting > 0 && queue.waiting >= queue.options.MaxWaiting {
		if displaced = queue.displace(account); displaced == nil {
			return nil, ErrFull
		}
	}
	account.waiting = append(account.waiting, request)
	queue.waiting++
	if account.place < 0 {
		account.lift(queue.time)
		heap.Push(&queue.backlog, account)
		if !queue.fresh {
			queue.provisional = append(queue.provisional, account)
		}
	}
	account.touched = request.Arrived
	return displaced, nil
}

// displace takes out the newest request of the longest account, nil if one more
// request would make the newcomer's as long.
func (queue *Queue) displace(newcomer *account) *Waiting {
	var longest *account
	for _, account := range queue.backlog {
		if longest == nil || account.length(0) > longest.length(0) ||
			account.length(0) == longest.length(0) && account.organisation < longest.organisation {
			longest = account
		}
	}
	if longest == nil || longest.length(0) <= newcomer.length(1) {
		return nil
	}
	last := len(longest.waiting) - 1
	displaced := longest.waiting[last]
	longest.waiting = longest.waiting[:last]
	queue.waiting--
	queue.replace(longest)
	return &displaced
}

// Head returns the tag of the request that goes next.
func (queue *Queue) Head() (berylspoke.Tag, bool) {
	if len(queue.backlog) == 0 {
		return 0, false
	}
	queue.settle()
	return queue.backlog[0].tag(), true
}

// settle brings the first account within the bounds around the virtual time;
// the loop ends because each turn puts one account within them for good.
func (queue *Queue) settle() {
	for range len(queue.backlog) {
		first := queue.backlog[0]
		floor := queue.time - queue.options.CatchUp
		if queue.options.CatchUp == 0 || first.tag() >= floor {
			break
		}
		first.lift(floor)
		heap.Fix(&queue.backlog, 0)
	}
}

// Pop removes the request that goes next and reserves its estimated cost.
func (queue *Queue) Pop() (*Started, bool) {
	if len(queue.backlog) == 0 {
		return nil, false
	}
	queue.settle()
	account := queue.backlog[0]
	request := account.waiting[0]
	account.waiting = account.waiting[1:]
	queue.waiting--
	started := &Started{Waiting: request, Tag: account.tag()}
	started.Reserved = account.estimator.estimate(request.Hint)
	started.Charged = started.Reserved
	account.running++
	account.reserved += started.Reserved
	queue.charge(account, started.Reserved)
	queue.replace(account)
	return started, true
}

func (queue *Queue) charge(account *account, service berylspoke.Tokens) {
	account.counter += service
	queue.dirty[account.organisation] = account
}

// replace restores the order of the backlog after an account changed.
func (queue *Queue) replace(account *account) {
	switch {
	case account.place >= 0 && len(account.waiting) == 0:
		heap.Remove(&queue.backlog, account.place)
	case account.place >= 0:
		heap.Fix(&queue.backlog, account.place)
	}
}

// Progress charges what a started request received beyond its reservation.
func (queue *Queue) Progress(started *Started, received berylspoke.Tokens) {
	if received <= started.Charged {
		return
	}
	account := queue.account(started.Organisation, 0)
	queue.charge(account, received-started.Charged)
	started.Charged = received
	queue.replace(account)
}

// Finish corrects the charge to what the request received.
func (queue *Queue) Finish(started *Started, received berylspoke.Tokens) {
	account := queue.account(started.Organisation, 0)
	queue.charge(account, received-started.Charged)
	account.reserved -= started.Reserved
	account.running--
	if received > 0 {
		account.estimator.learn(received)
	}
	started.Charged = received
	queue.replace(account)
}

// idleAfter is the time after which an account without work is forgotten; the
// ledger forgets later, so it never answers for a forgotten life.
const idleAfter = time.Minute

// Forget drops the accounts that had no work for long, so that memory follows
// the organisations in use and not all that are declared.
func (queue *Queue) Forget(now time.Time) {
	for id, account := range queue.accounts {
		if account.place < 0 && account.running == 0 && now.Sub(account.touched) > idleAfter {
			delete(queue.accounts, id)
			delete(queue.dirty, id)
		}
	}
}

// Remove takes a waiting request out, for a caller that gave up.
func (queue *Queue) Remove(organisation berylspoke.OrganisationID, id berylspoke.RequestID) bool {
	account := queue.account(organisation, 0)
	for i, request := range account.waiting {
		if request.Request == id {
			account.waiting = append(account.waiting[:i:i], account.waiting[i+1:]...)
			queue.waiting--
			queue.replace(account)
			return true
		}
	}
	return false
}

// Expire takes out the requests whose deadline has passed.
func (queue *Queue) Expire(now time.Time) []Waiting {
	var expired []Waiting
	for _, account := range append(accountHeap(nil), queue.backlog...) {
		kept := account.waiting[:0:0]
		for _, request := range account.waiting {
			if request.Deadline.After(now) {
				kept = append(kept, request)
				continue
			}
			expired = append(expired, request)
		}
		if len(kept) < len(account.waiting) {
			queue.waiting -= len(account.waiting) - len(kept)
			account.waiting = kept
			queue.replace(account)
		}
	}
	return expired
}

// Tags returns the tags that the next count requests will have, in rising
// order, as far as estimates tell. The first request of an organisation that has
// nothing running here is told lower by the slack that entries have for reusing
// slots; it would otherwise wait until a flooding organisation has used it up.
func (queue *Queue) Tags(count int, slack berylspoke.Tag) []berylspoke.Tag {
	if len(queue.backlog) == 0 {
		return nil
	}
	queue.settle()
	nearest := queue.nearest(count)
	var tags []berylspoke.Tag
	for _, account := range nearest {
		tag := account.tag()
		for i, request := range account.waiting[:min(count, len(account.waiting))] {
			told := tag
			if i == 0 && account.running == 0 {
				told -= slack
			}
			tags = append(tags, told)
			tag += account.weight.Normalise(account.estimator.estimate(request.Hint))
		}
	}
	sort.Slice(tags, func(i, j int) bool { return tags[i] < tags[j] })
	return tags[:min(count, len(tags))]
}

// nearest returns the count accounts of the lowest tags without sorting the
// whole backlog: a walk down the heap that stops at each account too far.
func (queue *Queue) nearest(count int) []*account {
	var found []*account
	frontier := []int{0}
	for len(frontier) > 0 && len(found) < count {
		best := 0
		for i := range frontier {
			if queue.backlog.Less(frontier[i], frontier[best]) {
				best = i
			}
		}
		place := frontier[best]
		frontier = append(frontier[:best], frontier[best+1:]...)
		found = append(found, queue.backlog[place])
		for child := 2*place + 1; child <= 2*place+2 && child < len(queue.backlog); child++ {
			frontier = append(frontier, child)
		}
	}
	return found
}
