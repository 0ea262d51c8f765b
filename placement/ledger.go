package placement

import (
	"time"

	"magnoliahoist/pool"
)

// ledger is the memory of one endpoint: everything resident and everything
// that an order which is not known to be dead may still load.
type ledger struct {
	pool.Endpoint
	present   bool // in the pools table
	reported  bool
	instance  string
	asked     time.Duration
	leaving   bool
	confirmed bool // has confirmed the manager's fencing number
	unsized   bool // holds an item of unknown size
	resident  map[Item]int64
	loading   map[Item]bool // resident but not serving
	orders    []*pending
	retryAt   time.Duration
}

// charged returns the memory that an item takes or may take.
func (l *ledger) charged(item Item) int64 {
	most := l.resident[item]
	for _, o := range l.orders {
		if o.Kind != Role && o.Item() == item {
			most = max(most, o.Memory)
		}
	}
	return most
}

// used returns the memory that is resident or reserved.
func (l *ledger) used() int64 {
	if l.unsized {
		return l.Memory
	}
	sum := int64(0)
	for item := range l.resident {
		sum += l.charged(item)
	}
	for n, o := range l.orders {
		if _, ok := l.resident[o.Item()]; ok || o.Kind == Role || l.repeated(n) {
			continue
		}
		sum += l.charged(o.Item())
	}
	return sum
}

// repeated reports whether an earlier order concerns the same item.
func (l *ledger) repeated(n int) bool {
	for _, o := range l.orders[:n] {
		if o.Kind != Role && o.Item() == l.orders[n].Item() {
			return true
		}
	}
	return false
}

// fits reports whether the item can be loaded without overcommitting the memory.
func (l *ledger) fits(item Item, memory int64) bool {
	return l.used()+max(memory-l.charged(item), 0) <= l.Memory
}

// unknown returns the number of orders without a result.
func (l *ledger) unknown() int {
	count := 0
	for _, o := range l.orders {
		if !o.known {
			count++
		}
	}
	return count
}

// holds reports whether the item serves and no order removes it.
func (l *ledger) holds(item Item) bool {
	if _, ok := l.resident[item]; !ok || l.loading[item] {
		return false
	}
	for _, o := range l.orders {
		if o.Kind == Load && !o.known && o.Item() == item {
			return false // may still be loading
		}
	}
	return !l.unloading(item)
}

func (l *ledger) unloading(item Item) bool {
	for _, o := range l.orders {
		if o.Kind == Unload && o.Item() == item && (!o.known || o.result == Applied && !o.shown) {
			return true
		}
	}
	return false
}

// coming reports whether an order is expected to make the item resident.
func (l *ledger) coming(now, limit time.Duration, item Item) bool {
	for _, o := range l.orders {
		if o.Kind != Load || o.Item() != item {
			continue
		}
		if !o.known && !o.ended && now-o.issued < limit || o.known && o.result == Applied && !o.shown {
			return true
		}
	}
	return false
}

// freeing returns the memory that orders without effect yet will free.
func (l *ledger) freeing() int64 {
	sum := int64(0)
	counted := make(map[Item]bool)
	for _, o := range l.orders {
		if o.Kind != Unload || counted[o.Item()] {
			continue
		}
		counted[o.Item()] = true
		if _, ok := l.resident[o.Item()]; !ok || l.unloading(o.Item()) {
			sum += l.charged(o.Item())
		}
	}
	return sum
}

// observe applies a report and drops the orders that it shows to be dead.
func (l *ledger) observe(r Report, size func(Item) int64, number int64, s *Settings) {
	if r.Asked < l.asked {
		return
	}
	if l.reported && l.instance != r.Instance {
		l.restart()
	}
	for _, result := range r.Results {
		for _, o := range l.orders {
			if o.ID == result.Order {
				o.settle(r.Asked, result.Result)
				o.shown = true
			}
		}
	}
	if l.Fenced && r.Fence >= number {
		l.confirm(r.Asked, number)
	}
	for _, o := range l.orders {
		confirmed := l.Fenced && r.Fence >= number && o.old && o.Fence < number
		o.shown = o.shown || o.known && (confirmed || r.Asked >= o.resultAt+s.Lag)
	}
	l.unsized = false
	resident := make(map[Item]int64, len(r.Resident))
	l.loading = make(map[Item]bool)
	for _, item := range r.Resident {
		memory := max(item.Memory, size(item.Item), l.charged(item.Item))
		l.unsized = l.unsized || memory == 0
		resident[item.Item] = memory
		if item.Loading {
			l.loading[item.Item] = true
		}
	}
	l.resident = resident
	l.reported, l.instance, l.asked, l.leaving = true, r.Instance, r.Asked, r.Leaving
	l.drop(s.Settle)
}

// restart drops the orders that only the former process can have received:
// those whose request had ended before that process answered a report. When a
// predecessor's request ends is not known: it may be paused before its send.
func (l *ledger) restart() {
	l.confirmed = false
	kept := l.orders[:0]
	for _, o := range l.orders {
		if o.old || !o.ended || o.endedAt > l.asked {
			kept = append(kept, o)
		}
	}
	l.orders = kept
	l.resident = nil
}

// drop removes the orders whose effect the last report shows. On an endpoint
// that ignores fencing numbers a late duplicate may still arrive within settle.
func (l *ledger) drop(settle time.Duration) {
	if l.Fenced {
		settle = 0
	}
	kept := l.orders[:0]
	for _, o := range l.orders {
		if !o.shown || !o.ended || l.asked < max(o.resultAt, o.endedAt)+settle {
			kept = append(kept, o)
		}
	}
	l.orders = kept
}

// confirm settles the orders with a lower fencing number: they can no longer be carried out.
func (l *ledger) confirm(at time.Duration, number int64) {
	l.confirmed = true
	for _, o := range l.orders {
		if o.old && o.Fence < number {
			o.settle(at, Rejected)
		}
	}
}
