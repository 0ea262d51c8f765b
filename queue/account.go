package queue

// minWeight replaces weights that are not positive, in tokens a second.
const minWeight = 1e-3

// entry is an item that waits.
type entry struct {
	item     Item
	account  *account
	class    *class
	arrival  uint64
	inQueue  int // position in the class's heap
	inExpiry int // position in the heap of deadlines, -1 without a deadline
}

// account is the items of one client account and its place in the fair order.
type account struct {
	classes heap[*class] // with items that wait, by their heads
	byName  map[string]*class
	tokens  int64   // sum over what waits
	start   float64 // start tag of the head; the finish tag of the last item when none waits
	period  uint64  // busy period in which start was set
	arrival uint64  // arrival that made the account active; breaks ties
	active  int     // position in the heap of active accounts, -1 when none waits
}

// class is the items of one client account that wait for the same endpoints.
type class struct {
	waiting heap[*entry]
	at      int // position in the account's heap, -1 when none waits
}

func newAccount() *account {
	return &account{active: -1, byName: map[string]*class{}, classes: heap[*class]{
		before: classBefore,
		place:  func(c *class, at int) { c.at = at },
	}}
}

func newClass() *class {
	return &class{at: -1, waiting: heap[*entry]{
		before: entryBefore,
		place:  func(e *entry, at int) { e.inQueue = at },
	}}
}

func (a *account) push(e *entry) {
	c := a.byName[e.item.Class]
	if c == nil {
		c = newClass()
		a.byName[e.item.Class] = c
	}
	e.class = c
	c.waiting.push(e)
	if c.at < 0 {
		a.classes.push(c)
	} else {
		a.classes.fix(c.at)
	}
	a.tokens += e.item.Tokens
}

func (a *account) remove(e *entry) {
	c := e.class
	c.waiting.remove(e.inQueue)
	if len(c.waiting.list) == 0 {
		a.classes.remove(c.at)
	} else {
		a.classes.fix(c.at)
	}
	a.tokens -= e.item.Tokens
}

// classBefore orders classes by their heads.
func classBefore(a, b *class) bool { return entryBefore(a.waiting.list[0], b.waiting.list[0]) }

// entryBefore orders the items of one account: higher priority first, then the
// earlier deadline (items without one last), then the earlier arrival.
func entryBefore(a, b *entry) bool {
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	if x, y := a.item.Deadline, b.item.Deadline; x != y {
		return y == 0 || x != 0 && x < y
	}
	return a.arrival < b.arrival
}

// accountBefore orders active accounts by start tag.
func accountBefore(a, b *account) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.arrival < b.arrival
}

// cost returns the virtual time that an item's service takes.
func cost(i Item) float64 {
	weight := i.Weight
	if !(weight > minWeight) {
		weight = minWeight
	}
	return float64(max(i.Tokens, 1)) / weight
}
