package placement

import (
	"time"

	"magnoliahoist/pool"
)

// ledger accounts for the memory of one endpoint: the resident items, and the items that an order may still load as long as
// a late effect of it isn't excluded.
type ledger struct {
	pool.Endpoint
	inTable                bool          // listed in the pools table
	reported               bool          // a report has arrived
	instance               string        // process that gave the last report
	reportRequestedAt      time.Duration // when the last report was requested
	leaving                bool
	fencingNumberConfirmed bool           // the endpoint has confirmed the manager's fencing number
	hasUnsizedItem         bool           // the endpoint holds an item of unknown size
	resident               map[Item]int64 // bytes
	loading                map[Item]bool  // resident but not serving
	orders                 []*reservedOrder
	retryAt                time.Duration // no new order is issued earlier
}

// itemMemory returns the bytes that an item takes, or may take if a reserved order is carried out.
func (l *ledger) itemMemory(item Item) int64 {
	memory := l.resident[item]
	for _, o := range l.orders {
		if o.Kind != Role && o.Item() == item {
			memory = max(memory, o.Memory)
		}
	}
	return memory
}

// usedMemory returns the bytes that are resident or reserved. With an item of unknown size, all memory counts as used.
func (l *ledger) usedMemory() int64 {
	if l.hasUnsizedItem {
		return l.Memory
	}
	sum := int64(0)
	for item := range l.resident {
		sum += l.itemMemory(item)
	}
	for n, o := range l.orders {
		if _, ok := l.resident[o.Item()]; ok || o.Kind == Role || l.hasEarlierOrder(n) {
			continue
		}
		sum += l.itemMemory(o.Item())
	}
	return sum
}

// hasEarlierOrder reports whether an order before the n-th one is for the same item.
func (l *ledger) hasEarlierOrder(n int) bool {
	for _, o := range l.orders[:n] {
		if o.Kind != Role && o.Item() == l.orders[n].Item() {
			return true
		}
	}
	return false
}

// fits reports whether an item of this size in bytes can be loaded without overcommitting the memory.
func (l *ledger) fits(item Item, memory int64) bool {
	return l.usedMemory()+max(memory-l.itemMemory(item), 0) <= l.Memory
}

// openOrders returns the number of orders without a result.
func (l *ledger) openOrders() int {
	count := 0
	for _, o := range l.orders {
		if !o.hasResult {
			count++
		}
	}
	return count
}

// serves reports whether the item serves requests and no order may be unloading it.
func (l *ledger) serves(item Item) bool {
	if _, ok := l.resident[item]; !ok || l.loading[item] {
		return false
	}
	for _, o := range l.orders {
		if o.Kind == Load && !o.hasResult && o.Item() == item {
			return false // the load may not be complete
		}
	}
	return !l.unloading(item)
}

// unloading reports whether an order may be unloading the item, or has unloaded it since the last report.
func (l *ledger) unloading(item Item) bool {
	for _, o := range l.orders {
		if o.Kind == Unload && o.Item() == item && (!o.hasResult || o.result == Applied && !o.effectReported) {
			return true
		}
	}
	return false
}

// loadExpected reports whether an order is expected to make the item resident: a running request younger than timeout, or an
// applied load that no report shows yet.
func (l *ledger) loadExpected(now, timeout time.Duration, item Item) bool {
	for _, o := range l.orders {
		if o.Kind != Load || o.Item() != item {
			continue
		}
		if !o.hasResult && !o.requestEnded && now-o.issuedAt < timeout || o.hasResult && o.result == Applied && !o.effectReported {
			return true
		}
	}
	return false
}

// memoryBeingFreed returns the bytes that unloads will free whose effect no report shows yet.
func (l *ledger) memoryBeingFreed() int64 {
	sum := int64(0)
	counted := make(map[Item]bool)
	for _, o := range l.orders {
		if o.Kind != Unload || counted[o.Item()] {
			continue
		}
		counted[o.Item()] = true
		if _, ok := l.resident[o.Item()]; !ok || l.unloading(o.Item()) {
			sum += l.itemMemory(o.Item())
		}
	}
	return sum
}

// applyReport applies a report and drops the orders that can have no later effect. A report requested before the last one is
// ignored. tableMemory returns an item's size by the table.
func (l *ledger) applyReport(r Report, tableMemory func(Item) int64, fencingNumber int64, s *Settings) {
	if r.RequestedAt < l.reportRequestedAt {
		return
	}
	if l.reported && l.instance != r.Instance {
		l.resetForNewProcess()
	}
	for _, result := range r.Results {
		for _, o := range l.orders {
			if o.ID == result.OrderID {
				o.setResult(r.RequestedAt, result.Result)
				o.effectReported = true
			}
		}
	}
	if l.ChecksFencing && r.FencingNumber >= fencingNumber {
		l.confirmFencingNumber(r.RequestedAt, fencingNumber)
	}
	for _, o := range l.orders {
		excluded := l.ChecksFencing && r.FencingNumber >= fencingNumber && o.inherited && o.FencingNumber < fencingNumber
		o.effectReported = o.effectReported || o.hasResult && (excluded || r.RequestedAt >= o.resultAt+s.ReportLag)
	}
	l.hasUnsizedItem = false
	resident := make(map[Item]int64, len(r.Resident))
	l.loading = make(map[Item]bool)
	for _, item := range r.Resident {
		memory := max(item.Memory, tableMemory(item.Item), l.itemMemory(item.Item))
		l.hasUnsizedItem = l.hasUnsizedItem || memory == 0
		resident[item.Item] = memory
		if item.Loading {
			l.loading[item.Item] = true
		}
	}
	l.resident = resident
	l.reported, l.instance, l.reportRequestedAt, l.leaving = true, r.Instance, r.RequestedAt, r.Leaving
	l.dropSettledOrders(s.LateDuplicateWindow)
}

// resetForNewProcess drops the orders that only the endpoint's previous process can have received: those whose request had
// ended before the last report of that process was requested. Orders of an earlier lease holder are kept, because it isn't
// known when their requests end: that host may be paused just before it sends one.
func (l *ledger) resetForNewProcess() {
	l.fencingNumberConfirmed = false
	remaining := l.orders[:0]
	for _, o := range l.orders {
		if o.inherited || !o.requestEnded || o.requestEndedAt > l.reportRequestedAt {
			remaining = append(remaining, o)
		}
	}
	l.orders = remaining
	l.resident = nil
}

// dropSettledOrders removes the orders whose effect the last report shows. On an endpoint that ignores fencing numbers, a late
// duplicate of an order may still arrive within duplicateWindow, so that its order is kept until then.
func (l *ledger) dropSettledOrders(duplicateWindow time.Duration) {
	if l.ChecksFencing {
		duplicateWindow = 0
	}
	remaining := l.orders[:0]
	for _, o := range l.orders {
		if !o.effectReported || !o.requestEnded || l.reportRequestedAt < max(o.resultAt, o.requestEndedAt)+duplicateWindow {
			remaining = append(remaining, o)
		}
	}
	l.orders = remaining
}

// confirmFencingNumber notes that the endpoint has confirmed the fencing number. It sets the result of orders with a lower number to
// Rejected, since the endpoint no longer carries them out.
func (l *ledger) confirmFencingNumber(at time.Duration, fencingNumber int64) {
	l.fencingNumberConfirmed = true
	for _, o := range l.orders {
		if o.inherited && o.FencingNumber < fencingNumber {
			o.setResult(at, Rejected)
		}
	}
}
