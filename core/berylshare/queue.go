package berylshare

// This file defines the queue of one service at one entry daemon.

import (
	"container/heap"
	"sort"
	"time"

	"github.com/pkg/errors"

	"berylspoke"
)

// Policy names the order in which requests are served.
type Policy string

// FleetFair is the default policy. LocalFair, which ignores service received at other
// entry daemons, and FirstCome are baselines for comparison.
const (
	FleetFair Policy = "fleetFair"
	LocalFair Policy = "localFair"
	FirstCome Policy = "firstCome"
)

// Options are the policy and the bounds of a queue. A zero MaxWaiting or
// MaxPerOrganisation means no bound.
type Options struct {
	Policy Policy
	// CatchUp bounds how far a tag may lag behind the virtual time; zero means no bound.
	CatchUp berylspoke.Tag
	// Lead bounds how far a tag, less the organisation's own reservations, may run ahead
	// of the virtual time.
	Lead berylspoke.Tag
	// MaxWaiting bounds the waiting requests of all organisations together.
	MaxWaiting int
	// MaxPerOrganisation bounds the waiting requests of an organisation whose declaration
	// sets no limit.
	MaxPerOrganisation int
}

// Queue holds the waiting requests of one service at one entry daemon.
type Queue struct {
	options  Options
	accounts map[berylspoke.OrganisationID]*account
	// dirty holds the accounts charged since their last report.
	dirty       map[berylspoke.OrganisationID]*account
	generations uint32
	backlog     accountHeap
	waiting     int
	virtualTime berylspoke.Tag
	// fresh reports whether time is the pool's current virtual time. provisional holds the
	// accounts that became backlogged while it was not; their tags are raised once the
	// current virtual time is known.
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

// ErrOrganisationFull and ErrFull report that a request exceeds a bound of the queue.
var (
	ErrOrganisationFull = errors.New("organisation has too many requests waiting")
	ErrFull             = errors.New("service has too many requests waiting")
)

// Waiting returns the number of waiting requests.
func (queue *Queue) Waiting() int { return queue.waiting }

// Backlogged returns the number of organisations with a waiting request.
func (queue *Queue) Backlogged() int { return len(queue.backlog) }

// SetVirtualTime advances the virtual time of the pool that serves this queue. fresh is
// false if no lessor with a valid lease reported it.
func (queue *Queue) SetVirtualTime(virtualTime berylspoke.Tag, fresh bool) {
	queue.virtualTime = max(queue.virtualTime, virtualTime)
	queue.fresh = fresh
	if !fresh {
		return
	}
	for _, account := range queue.provisional {
		if account.heapIndex >= 0 {
			account.raise(queue.virtualTime)
			heap.Fix(&queue.backlog, account.heapIndex)
		}
	}
	queue.provisional = nil
}

// VirtualTime returns the virtual time.
func (queue *Queue) VirtualTime() berylspoke.Tag { return queue.virtualTime }

// account returns the account of an organisation, creating it if needed. Under FirstCome
// all organisations share one account, which serves requests in order of arrival.
func (queue *Queue) account(id berylspoke.OrganisationID, weight berylspoke.Weight) *account {
	if queue.options.Policy == FirstCome {
		id = ""
	}
	found := queue.accounts[id]
	if found == nil {
		queue.generations++
		found = &account{organisation: id, heapIndex: -1, generation: queue.generations}
		queue.accounts[id] = found
	}
	if weight > 0 && weight != found.weight {
		queue.setWeight(found, weight)
	}
	return found
}

// setWeight changes the weight without changing the tag: past service was normalised by
// the old weight and must not be normalised again by the new one.
func (queue *Queue) setWeight(account *account, weight berylspoke.Weight) {
	fleetTag := account.fleetTag()
	account.weight = weight
	account.base += fleetTag - account.fleetTag()
}

// Push adds a request of an organisation that may have at most limit requests waiting;
// a zero limit means MaxPerOrganisation. If the queue is full, the newest request of the
// organisation with the most waiting requests per weight is displaced and returned, or
// the new request is rejected with ErrFull if its own organisation would then have at
// least as many per weight.
func (queue *Queue) Push(request QueuedRequest, weight berylspoke.Weight, limit int) (*QueuedRequest, error) {
	account := queue.account(request.Organisation, weight)
	if limit == 0 {
		limit = queue.options.MaxPerOrganisation
	}
	if limit > 0 && len(account.waiting) >= limit {
		return nil, ErrOrganisationFull
	}
	var displaced *QueuedRequest
	if queue.options.MaxWaiting > 0 && queue.waiting >= queue.options.MaxWaiting {
		if displaced = queue.displace(account); displaced == nil {
			return nil, ErrFull
		}
	}
	account.waiting = append(account.waiting, request)
	queue.waiting++
	if account.heapIndex < 0 {
		account.raise(queue.virtualTime)
		heap.Push(&queue.backlog, account)
		if !queue.fresh {
			queue.provisional = append(queue.provisional, account)
		}
	}
	account.lastArrival = request.Arrived
	return displaced, nil
}

// displace removes and returns the newest request of the account with the most waiting
// requests per weight. It returns nil if one more request would give the newcomer's
// account at least as many.
func (queue *Queue) displace(newcomer *account) *QueuedRequest {
	var longest *account
	for _, account := range queue.backlog {
		if longest == nil || account.waitingPerWeight(0) > longest.waitingPerWeight(0) ||
			account.waitingPerWeight(0) == longest.waitingPerWeight(0) && account.organisation < longest.organisation {
			longest = account
		}
	}
	if longest == nil || longest.waitingPerWeight(0) <= newcomer.waitingPerWeight(1) {
		return nil
	}
	last := len(longest.waiting) - 1
	displaced := longest.waiting[last]
	longest.waiting = longest.waiting[:last]
	queue.waiting--
	queue.restoreOrder(longest)
	return &displaced
}

// Head returns the tag of the next request to serve, and false if none is waiting.
func (queue *Queue) Head() (berylspoke.Tag, bool) {
	if len(queue.backlog) == 0 {
		return 0, false
	}
	queue.raiseLagging()
	return queue.backlog[0].tag(), true
}

// raiseLagging raises lagging accounts at the head of the backlog to the catch-up bound.
// One round per account suffices, as a raised account stays within the bound.
func (queue *Queue) raiseLagging() {
	for range len(queue.backlog) {
		first := queue.backlog[0]
		floor := queue.virtualTime - queue.options.CatchUp
		if queue.options.CatchUp == 0 || first.tag() >= floor {
			break
		}
		first.raise(floor)
		heap.Fix(&queue.backlog, 0)
	}
}

// Pop removes the next request to serve and charges its estimated cost.
func (queue *Queue) Pop() (*StartedRequest, bool) {
	if len(queue.backlog) == 0 {
		return nil, false
	}
	queue.raiseLagging()
	account := queue.backlog[0]
	request := account.waiting[0]
	account.waiting = account.waiting[1:]
	queue.waiting--
	started := &StartedRequest{QueuedRequest: request, Tag: account.tag()}
	started.Reserved = account.estimator.estimate(request.Hint)
	started.Charged = started.Reserved
	account.running++
	account.reserved += started.Reserved
	queue.charge(account, started.Reserved)
	queue.restoreOrder(account)
	return started, true
}

func (queue *Queue) charge(account *account, service berylspoke.Tokens) {
	account.counter += service
	queue.dirty[account.organisation] = account
}

// restoreOrder restores the heap order of the backlog after an account changed.
func (queue *Queue) restoreOrder(account *account) {
	switch {
	case account.heapIndex >= 0 && len(account.waiting) == 0:
		heap.Remove(&queue.backlog, account.heapIndex)
	case account.heapIndex >= 0:
		heap.Fix(&queue.backlog, account.heapIndex)
	}
}

// Progress charges the service that a started request received beyond its charge so far.
func (queue *Queue) Progress(started *StartedRequest, received berylspoke.Tokens) {
	if received <= started.Charged {
		return
	}
	account := queue.account(started.Organisation, 0)
	queue.charge(account, received-started.Charged)
	started.Charged = received
	queue.restoreOrder(account)
}

// Finish corrects the charge of a request to the service it actually received.
func (queue *Queue) Finish(started *StartedRequest, received berylspoke.Tokens) {
	account := queue.account(started.Organisation, 0)
	queue.charge(account, received-started.Charged)
	account.reserved -= started.Reserved
	account.running--
	if received > 0 {
		account.estimator.observe(received)
	}
	started.Charged = received
	queue.restoreOrder(account)
}

// idleTimeout is the time without arrivals after which an idle account is dropped. It is
// shorter than the ledger's reportTimeout, so that the ledger still knows the dropped
// account's generation and never answers with a total of an earlier one.
const idleTimeout = time.Minute

// Forget drops the accounts without requests whose last arrival is older than idleTimeout,
// so that memory use grows with the active organisations and not with the declared ones.
func (queue *Queue) Forget(now time.Time) {
	for id, account := range queue.accounts {
		if account.heapIndex < 0 && account.running == 0 && now.Sub(account.lastArrival) > idleTimeout {
			delete(queue.accounts, id)
			delete(queue.dirty, id)
		}
	}
}

// Remove removes a waiting request, for example because its caller disconnected. It
// reports whether the request was waiting.
func (queue *Queue) Remove(organisation berylspoke.OrganisationID, id berylspoke.RequestID) bool {
	account := queue.account(organisation, 0)
	for i, request := range account.waiting {
		if request.Request == id {
			account.waiting = append(account.waiting[:i:i], account.waiting[i+1:]...)
			queue.waiting--
			queue.restoreOrder(account)
			return true
		}
	}
	return false
}

// Expire removes and returns the requests whose deadline has passed.
func (queue *Queue) Expire(now time.Time) []QueuedRequest {
	var expired []QueuedRequest
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
			queue.restoreOrder(account)
		}
	}
	return expired
}

// Tags returns the estimated tags of the next count requests in ascending order. The first
// request of an organisation that has nothing running here is reported with a tag lower by
// slack, the margin within which entry daemons may reuse slots. Otherwise it would wait
// until a flooding organisation has used up that margin.
func (queue *Queue) Tags(count int, slack berylspoke.Tag) []berylspoke.Tag {
	if len(queue.backlog) == 0 {
		return nil
	}
	queue.raiseLagging()
	lowest := queue.lowest(count)
	var tags []berylspoke.Tag
	for _, account := range lowest {
		tag := account.tag()
		for i, request := range account.waiting[:min(count, len(account.waiting))] {
			reportedTag := tag
			if i == 0 && account.running == 0 {
				reportedTag -= slack
			}
			tags = append(tags, reportedTag)
			tag += account.weight.Normalise(account.estimator.estimate(request.Hint))
		}
	}
	sort.Slice(tags, func(i, j int) bool { return tags[i] < tags[j] })
	return tags[:min(count, len(tags))]
}

// lowest returns the count accounts with the lowest tags. It searches the heap from the
// root and expands only accounts that it returns, so that it need not sort the backlog.
func (queue *Queue) lowest(count int) []*account {
	var found []*account
	frontier := []int{0}
	for len(frontier) > 0 && len(found) < count {
		best := 0
		for i := range frontier {
			if queue.backlog.Less(frontier[i], frontier[best]) {
				best = i
			}
		}
		index := frontier[best]
		frontier = append(frontier[:best], frontier[best+1:]...)
		found = append(found, queue.backlog[index])
		for child := 2*index + 1; child <= 2*index+2 && child < len(queue.backlog); child++ {
			frontier = append(frontier, child)
		}
	}
	return found
}
