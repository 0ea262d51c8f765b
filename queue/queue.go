// Package queue orders waiting requests fairly between client accounts.
//
// The package performs no I/O and has neither a clock nor locks. Points in time are monotonic durations since the start
// of the process; amounts are tokens.
package queue

import "time"

// maxIdleAccounts is the number of accounts kept when no item waits, so that a light load does not allocate an account
// for each request.
const maxIdleAccounts = 1024

// maxReadyCalls bounds the classes of one account for which Next calls ready, so that the cost of Next does not grow with
// the number of models.
const maxReadyCalls = 8

// Item is a waiting request.
type Item struct {
	ID       uint64        // unique among waiting items
	Account  string        // client account of the request
	Class    string        // items of an account that need the same endpoints have the same class
	Weight   float64       // the account's rate in tokens a second
	Tokens   int64         // upper bound of the request's cost
	Priority int           // items of higher priority go first within their account
	Deadline time.Duration // time from which the item is expired; 0 for no deadline
}

// Queue is a start-time fair queue whose cost unit is tokens. The next start tag of an account is its previous start tag
// plus the served tokens divided by the weight, and at least the virtual time, which is the start tag of the item served
// last. The account with the lowest start tag goes first. A Queue is not safe for concurrent use.
type Queue struct {
	virtualTime     float64
	busyPeriod      uint64 // number of the current busy period; start tags set in earlier periods count as 0
	arrivals        uint64
	accounts        map[string]*account
	entries         map[uint64]*entry
	activeAccounts  heap[*account]
	byDeadline      heap[*entry]
	expired         []Item // expired items that Expire has not returned yet
	accountFrontier []int  // scratch space of Next: positions in activeAccounts
	classFrontier   []int  // scratch space of Next: positions in the classes of an account
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		accounts:       map[string]*account{},
		entries:        map[uint64]*entry{},
		activeAccounts: heap[*account]{before: accountBefore, setIndex: func(a *account, at int) { a.activeIndex = at }},
		byDeadline: heap[*entry]{
			before:   func(a, b *entry) bool { return a.item.Deadline < b.item.Deadline },
			setIndex: func(e *entry, at int) { e.deadlineIndex = at },
		},
	}
}

// Len returns the number of waiting items, without those already found to be expired.
func (q *Queue) Len() int { return len(q.entries) }

// Backlog returns the sum of the tokens of an account's waiting items.
func (q *Queue) Backlog(name string) int64 {
	if a := q.accounts[name]; a != nil {
		return a.tokens
	}
	return 0
}

// Push adds an item. It ignores an item whose ID is that of a waiting item.
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
	e := &entry{item: i, account: a, arrival: q.arrivals, deadlineIndex: -1}
	q.entries[i.ID] = e
	a.push(e)
	if i.Deadline != 0 {
		q.byDeadline.push(e)
	}
	if a.activeIndex >= 0 {
		return
	}
	if a.busyPeriod != q.busyPeriod {
		a.busyPeriod, a.startTag = q.busyPeriod, 0
	}
	a.startTag = max(a.startTag, q.virtualTime)
	a.arrival = q.arrivals
	q.activeAccounts.push(a)
}

// Next removes and returns the first item in fair order that is ready. It considers the heads of the first maxReadyCalls
// classes of each account and returns false only when none of them is ready. Within an account, it calls ready for the
// head of a class only after the heads of all classes before it were not ready. Items past their deadline are not
// returned but left to Expire. The cost is logarithmic in the number of waiting accounts and in the number of skipped
// accounts. An account gains no credit for the service that it missed while it was skipped.
func (q *Queue) Next(now time.Duration, ready func(Item) bool) (Item, bool) {
	q.moveExpired(now)
	e := q.firstReady(ready)
	if e == nil {
		return Item{}, false
	}
	a := e.account
	q.virtualTime = max(q.virtualTime, a.startTag)
	a.startTag = q.virtualTime + virtualCost(e.item)
	q.activeAccounts.fix(a.activeIndex)
	q.detach(e)
	return e.item, true
}

// Remove removes the item with an ID, expired or not, and reports whether there was one.
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

// Expire removes and returns the items whose deadline is not after now. It returns each item once.
func (q *Queue) Expire(now time.Duration) []Item {
	q.moveExpired(now)
	expired := q.expired
	q.expired = nil
	return expired
}

// moveExpired moves the items whose deadline is not after now from the heaps to q.expired.
func (q *Queue) moveExpired(now time.Duration) {
	for len(q.byDeadline.list) > 0 && q.byDeadline.list[0].item.Deadline <= now {
		e := q.byDeadline.list[0]
		q.detach(e)
		q.expired = append(q.expired, e.item)
	}
}

// firstReady searches the heap of active accounts in fair order without changing it, so that skipped accounts keep their
// place. It returns nil when no item is ready.
func (q *Queue) firstReady(ready func(Item) bool) *entry {
	list := q.activeAccounts.list
	frontier := q.accountFrontier[:0]
	if len(list) > 0 {
		frontier = append(frontier, 0)
	}
	var first *entry
	for len(frontier) > 0 && first == nil {
		position := frontier[0]
		frontier = popFrontier(frontier, list, accountBefore)
		first = q.firstReadyOf(list[position], ready)
		for child := 2*position + 1; child <= 2*position+2 && child < len(list); child++ {
			frontier = pushFrontier(frontier, list, accountBefore, child)
		}
	}
	q.accountFrontier = frontier[:0]
	return first
}

// firstReadyOf returns the first ready head among the account's first maxReadyCalls classes; nil when none is ready.
func (q *Queue) firstReadyOf(a *account, ready func(Item) bool) *entry {
	list := a.classes.list
	frontier := append(q.classFrontier[:0], 0)
	var first *entry
	for calls := 0; len(frontier) > 0 && calls < maxReadyCalls; calls++ {
		position := frontier[0]
		frontier = popFrontier(frontier, list, classBefore)
		if head := list[position].waiting.list[0]; ready(head.item) {
			first = head
			break
		}
		for child := 2*position + 1; child <= 2*position+2 && child < len(list); child++ {
			frontier = pushFrontier(frontier, list, classBefore, child)
		}
	}
	q.classFrontier = frontier[:0]
	return first
}

// detach removes an entry from the maps and heaps, and ends the busy period when no entry is left.
func (q *Queue) detach(e *entry) {
	a := e.account
	delete(q.entries, e.item.ID)
	a.remove(e)
	if e.deadlineIndex >= 0 {
		q.byDeadline.remove(e.deadlineIndex)
	}
	if len(a.classes.list) == 0 {
		q.activeAccounts.remove(a.activeIndex)
	}
	if len(q.entries) > 0 {
		return
	}
	q.virtualTime = 0
	q.busyPeriod++
	if len(q.accounts) > maxIdleAccounts {
		clear(q.accounts)
	}
}
