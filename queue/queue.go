// Package queue orders waiting requests fairly between client accounts.
//
// The package performs no I/O and holds no clock or lock. Durations are monotonic
// times since the start of the process; amounts are tokens.
package queue

import "time"

// maxIdle is the number of accounts kept when nothing waits, so that a light load
// does not allocate an account for each request.
const maxIdle = 1024

// maxClasses is how many classes of an account Next asks about, so that its cost does not grow with the models.
const maxClasses = 8

// Item is a request that waits.
type Item struct {
	ID       uint64        // unique among waiting items
	Account  string        // client account that is served
	Class    string        // of the account's items; those of one class need the same endpoints
	Weight   float64       // the account's rate in tokens a second
	Tokens   int64         // upper bound of the request's cost
	Priority int           // higher goes first within the account
	Deadline time.Duration // time from which the item is expired; 0: none
}

// Queue is a start-time fair queue by tokens. An account's next start tag is its
// previous one plus tokens by weight, and at least the virtual time, which is the
// start tag of the item served last. The account with the lowest tag goes first.
type Queue struct {
	virtual  float64
	period   uint64 // busy period; tags of earlier ones count as 0
	arrivals uint64
	accounts map[string]*account
	entries  map[uint64]*entry
	active   heap[*account]
	expiry   heap[*entry]
	expired  []Item // expired items that Next has found
	frontier []int  // scratch of Next, positions of accounts
	heads    []int  // scratch of Next, positions of an account's classes
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		accounts: map[string]*account{},
		entries:  map[uint64]*entry{},
		active:   heap[*account]{before: accountBefore, place: func(a *account, at int) { a.active = at }},
		expiry: heap[*entry]{
			before: func(a, b *entry) bool { return a.item.Deadline < b.item.Deadline },
			place:  func(e *entry, at int) { e.inExpiry = at },
		},
	}
}

// Len returns the number of items that wait, without those known to be expired.
func (q *Queue) Len() int { return len(q.entries) }

// Backlog returns the tokens that wait for an account.
func (q *Queue) Backlog(name string) int64 {
	if a := q.accounts[name]; a != nil {
		return a.tokens
	}
	return 0
}

// Push adds an item. An item whose id already waits is ignored.
func (q *Queue) Push(i Item) {
	if q.entries[i.ID] != nil {
		return
	}
	a := q.accounts[i.Account]
	if a == nil {
		a = newAccount()
		q.accounts[i.Account] = a
	}
	q.arrivals++
	e := &entry{item: i, account: a, arrival: q.arrivals, inExpiry: -1}
	q.entries[i.ID] = e
	a.push(e)
	if i.Deadline != 0 {
		q.expiry.push(e)
	}
	if a.active >= 0 {
		return
	}
	if a.period != q.period {
		a.period, a.start = q.period, 0
	}
	a.start = max(a.start, q.virtual)
	a.arrival = q.arrivals
	q.active.push(a)
}

// Next removes and returns the first item in fair order that is ready among the heads
// of each account's first classes; it returns false only when none is. Within an
// account, a class is asked about only after those before it were not ready. Items past their deadline are
// left to Expire. The cost is logarithmic in the accounts that wait and in those
// skipped. An account that was skipped does not save up service meanwhile.
func (q *Queue) Next(now time.Duration, ready func(Item) bool) (Item, bool) {
	q.expire(now)
	e := q.firstReady(ready)
	if e == nil {
		return Item{}, false
	}
	a := e.account
	q.virtual = max(q.virtual, a.start)
	a.start = q.virtual + cost(e.item)
	q.active.fix(a.active)
	q.detach(e)
	return e.item, true
}

// Remove removes an item and reports whether it waited.
func (q *Queue) Remove(id uint64) bool {
	if e := q.entries[id]; e != nil {
		q.detach(e)
		return true
	}
	for n, i := range q.expired {
		if i.ID == id {
			q.expired = append(q.expired[:n], q.expired[n+1:]...)
			return true
		}
	}
	return false
}

// Expire removes and returns the items whose deadline is not after now, each once.
func (q *Queue) Expire(now time.Duration) []Item {
	q.expire(now)
	out := q.expired
	q.expired = nil
	return out
}

func (q *Queue) expire(now time.Duration) {
	for len(q.expiry.list) > 0 && q.expiry.list[0].item.Deadline <= now {
		e := q.expiry.list[0]
		q.detach(e)
		q.expired = append(q.expired, e.item)
	}
}

// firstReady searches the heap of active accounts best first, so that skipped
// accounts stay in place.
func (q *Queue) firstReady(ready func(Item) bool) *entry {
	list := q.active.list
	found := q.frontier[:0]
	if len(list) > 0 {
		found = append(found, 0)
	}
	var first *entry
	for len(found) > 0 && first == nil {
		at := found[0]
		found = popFrontier(found, list, accountBefore)
		first = q.readyOf(list[at], ready)
		for child := 2*at + 1; child <= 2*at+2 && child < len(list); child++ {
			found = pushFrontier(found, list, accountBefore, child)
		}
	}
	q.frontier = found[:0]
	return first
}

// readyOf returns the first ready head among the account's first classes.
func (q *Queue) readyOf(a *account, ready func(Item) bool) *entry {
	list := a.classes.list
	found := append(q.heads[:0], 0)
	var first *entry
	for tries := 0; len(found) > 0 && tries < maxClasses; tries++ {
		at := found[0]
		found = popFrontier(found, list, classBefore)
		if head := list[at].waiting.list[0]; ready(head.item) {
			first = head
			break
		}
		for child := 2*at + 1; child <= 2*at+2 && child < len(list); child++ {
			found = pushFrontier(found, list, classBefore, child)
		}
	}
	q.heads = found[:0]
	return first
}

// detach takes an entry out of all indexes and ends the busy period when it was
// the last.
func (q *Queue) detach(e *entry) {
	a := e.account
	delete(q.entries, e.item.ID)
	a.remove(e)
	if e.inExpiry >= 0 {
		q.expiry.remove(e.inExpiry)
	}
	if len(a.classes.list) == 0 {
		q.active.remove(a.active)
	}
	if len(q.entries) > 0 {
		return
	}
	q.virtual = 0
	q.period++
	if len(q.accounts) > maxIdle {
		clear(q.accounts)
	}
}
