package queue

// minWeight, in tokens a second, replaces weights that are lower or not a number.
const minWeight = 1e-3

// entry is a waiting item and its positions in the heaps that contain it.
type entry struct {
	item          Item
	account       *account
	class         *class
	arrival       uint64
	classIndex    int // position in class.waiting; -1 after removal
	deadlineIndex int // position in Queue.byDeadline; -1 without a deadline
}

// account holds the waiting items of one client account and its place in the fair order.
type account struct {
	classes     heap[*class] // classes with waiting items, ordered by their heads
	classByName map[string]*class
	tokens      int64   // sum over the waiting items
	startTag    float64 // virtual start time of the head; the virtual finish time of the last item when none waits
	busyPeriod  uint64  // busy period in which startTag was set
	arrival     uint64  // number of the arrival that made the account active; orders accounts with equal start tags
	activeIndex int     // position in Queue.activeAccounts; -1 when no item waits
}

// class holds the items of one client account that wait for the same endpoints.
type class struct {
	waiting heap[*entry]
	index   int // position in account.classes; -1 when no item waits
}

func newAccount() *account {
	return &account{activeIndex: -1, classByName: map[string]*class{}, classes: heap[*class]{
		before:   classBefore,
		setIndex: func(c *class, at int) { c.index = at },
	}}
}

func newClass() *class {
	return &class{index: -1, waiting: heap[*entry]{
		before:   entryBefore,
		setIndex: func(e *entry, at int) { e.classIndex = at },
	}}
}

func (a *account) push(e *entry) {
	c := a.classByName[e.item.Class]
	if c == nil {
		c = newClass()
		a.classByName[e.item.Class] = c
	}
	e.class = c
	c.waiting.push(e)
	if c.index < 0 {
		a.classes.push(c)
	} else {
		a.classes.fix(c.index)
	}
	a.tokens += e.item.Tokens
}

func (a *account) remove(e *entry) {
	c := e.class
	c.waiting.remove(e.classIndex)
	if len(c.waiting.list) == 0 {
		a.classes.remove(c.index)
	} else {
		a.classes.fix(c.index)
	}
	a.tokens -= e.item.Tokens
}

// classBefore orders classes by their heads.
func classBefore(a, b *class) bool { return entryBefore(a.waiting.list[0], b.waiting.list[0]) }

// entryBefore orders the items of one account: higher priority first, then the earlier deadline (items without a
// deadline last), then the earlier arrival.
func entryBefore(a, b *entry) bool {
	if a.item.Priority != b.item.Priority {
		return a.item.Priority > b.item.Priority
	}
	if x, y := a.item.Deadline, b.item.Deadline; x != y {
		return y == 0 || x != 0 && x < y
	}
	return a.arrival < b.arrival
}

// accountBefore orders active accounts by start tag, then by arrival.
func accountBefore(a, b *account) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.arrival < b.arrival
}

// virtualCost returns the virtual time that serving an item takes: its tokens divided by its weight.
func virtualCost(i Item) float64 {
	weight := i.Weight
	if !(weight > minWeight) {
		weight = minWeight
	}
	return float64(max(i.Tokens, 1)) / weight
}
