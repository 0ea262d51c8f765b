package placement

import (
	"fmt"
	"slices"
	"time"

	"magnoliahoist/pool"
)

// Manager decides which endpoints of one pool load and unload which models and adapters. It is not safe for concurrent use.
type Manager struct {
	settings      Settings
	started       time.Duration
	fencingNumber int64 // fencing number of the lease holder
	sequence      int64 // last sequence number used
	superseded    bool  // an endpoint has reported a higher fencing number
	pool          pool.Pool
	models        map[string]pool.Model // by name
	ledgers       map[string]*ledger    // by endpoint, also of endpoints removed from the table
	endpoints     []string              // names in the order of the table
	demands       map[string]*demand    // by model
	loadLimiter   loadLimiter
}

// New returns the manager of the lease holder with this fencing number. The records are the orders in the pool's rows. The
// memory of each stays reserved until a later effect of the order is excluded.
func New(now time.Duration, s Settings, fencingNumber int64, records []Record) *Manager {
	m := &Manager{
		settings:      s.WithDefaults(),
		started:       now,
		fencingNumber: fencingNumber,
		models:        make(map[string]pool.Model),
		ledgers:       make(map[string]*ledger),
		demands:       make(map[string]*demand),
	}
	m.loadLimiter = loadLimiter{refilledAt: now, tokens: 1}
	for _, r := range records {
		if r.Order.FencingNumber == fencingNumber {
			m.sequence = max(m.sequence, r.Order.Sequence)
		}
		if r.Order.Kind == Role {
			continue // reserves no memory
		}
		o := &reservedOrder{Order: r.Order, inherited: r.Order.FencingNumber < fencingNumber, sent: true, issuedAt: now, requestEnded: true, requestEndedAt: now}
		if r.HasResult {
			o.setResult(now, Applied)
		}
		l := m.ledgerOf(r.Order.Endpoint)
		l.orders = append(l.orders, o)
	}
	return m
}

// ledgerOf returns the endpoint's ledger, which it creates if there is none.
func (m *Manager) ledgerOf(endpoint string) *ledger {
	l := m.ledgers[endpoint]
	if l == nil {
		l = &ledger{Endpoint: pool.Endpoint{Name: endpoint}, reportRequestedAt: m.started}
		m.ledgers[endpoint] = l
	}
	return l
}

// SetPool replaces the table entry of the pool. The ledger of a removed endpoint is kept, since the endpoint may return with
// the same items in memory.
func (m *Manager) SetPool(p pool.Pool) {
	m.pool = p
	clear(m.models)
	for _, model := range p.Models {
		m.models[model.Name] = model
	}
	for _, l := range m.ledgers {
		l.inTable = false
	}
	m.endpoints = nil
	for _, e := range p.Endpoints {
		l := m.ledgerOf(e.Name)
		l.Endpoint, l.inTable = e, true
		m.endpoints = append(m.endpoints, e.Name)
	}
}

// ApplyReport applies an endpoint's report. Reports of endpoints that were never in the table are ignored.
func (m *Manager) ApplyReport(now time.Duration, endpoint string, r Report) {
	l := m.ledgers[endpoint]
	if l == nil {
		return
	}
	r.RequestedAt = min(r.RequestedAt, now)
	if l.ChecksFencing && r.FencingNumber > m.fencingNumber {
		m.superseded = true
	}
	l.applyReport(r, m.tableMemory, m.fencingNumber, &m.settings)
}

// tableMemory returns an item's size in bytes by the table, or 0 if the table doesn't list the item in this version.
func (m *Manager) tableMemory(item Item) int64 {
	model, ok := m.models[item.Model]
	switch {
	case !ok:
	case item.Adapter == "":
		if model.Version == item.Version {
			return model.Memory
		}
	default:
		for _, a := range model.Adapters {
			if a.Name == item.Adapter && a.Version == item.Version {
				return a.Memory
			}
		}
	}
	return 0
}

// findOrder returns the reserved order with the id and its ledger, or nil if there is none.
func (m *Manager) findOrder(id string) (*ledger, *reservedOrder) {
	for _, l := range m.ledgers {
		for _, o := range l.orders {
			if o.ID == id {
				return l, o
			}
		}
	}
	return nil, nil
}

// RequestStarted notes that a request for the order is about to start. It must be called before the request.
func (m *Manager) RequestStarted(now time.Duration, id string) {
	if _, o := m.findOrder(id); o != nil {
		o.sent, o.requestEnded = true, false
	}
}

// OrderNotSent notes that an order returned by Plan is not sent, for instance because its record could not be written. If an earlier
// request was sent, the order may still take effect and stays reserved.
func (m *Manager) OrderNotSent(now time.Duration, id string) {
	l, o := m.findOrder(id)
	if o == nil {
		return
	}
	if o.sent {
		m.ResultUnknown(now, id)
		return
	}
	l.orders = slices.DeleteFunc(l.orders, func(other *reservedOrder) bool { return other == o })
	l.retryAt = now + m.settings.RejectionBackoff
}

// ResultReceived notes the endpoint's definitive response to an order. The memory stays reserved until a report shows the effect.
func (m *Manager) ResultReceived(now time.Duration, id string, r Result) {
	l, o := m.findOrder(id)
	if o == nil {
		return
	}
	o.requestEnded, o.requestEndedAt = true, now
	o.setResult(now, r)
	if r == Rejected {
		l.retryAt = now + m.settings.RejectionBackoff
	} else if l.ChecksFencing && o.FencingNumber == m.fencingNumber {
		l.confirmFencingNumber(now, m.fencingNumber)
	}
}

// ResultUnknown notes that the request for the order ended without a definitive response: the order may still take effect.
func (m *Manager) ResultUnknown(now time.Duration, id string) {
	if _, o := m.findOrder(id); o != nil {
		o.requestEnded, o.requestEndedAt = true, now
	}
}

// FencingNumberConfirmed notes that an endpoint has seen a fencing number. If the endpoint checks fencing numbers, it refuses all orders
// with lower ones from then on.
func (m *Manager) FencingNumberConfirmed(now time.Duration, endpoint string, fencingNumber int64) {
	if l := m.ledgers[endpoint]; l != nil && l.ChecksFencing && fencingNumber >= m.fencingNumber {
		l.confirmFencingNumber(now, m.fencingNumber)
	}
}

// Records returns the orders that the endpoint's row must hold before any order is sent to the endpoint.
func (m *Manager) Records(endpoint string) []Record {
	l := m.ledgers[endpoint]
	if l == nil {
		return nil
	}
	records := make([]Record, len(l.orders))
	for n, o := range l.orders {
		records[n] = Record{Order: o.Order, HasResult: o.hasResult}
	}
	return records
}

// UsedMemory returns the bytes that are resident or reserved on an endpoint.
func (m *Manager) UsedMemory(endpoint string) int64 {
	if l := m.ledgers[endpoint]; l != nil {
		return l.usedMemory()
	}
	return 0
}

// LastSequence returns the last sequence number that was used.
func (m *Manager) LastSequence() int64 { return m.sequence }

// RaiseSequence makes later orders use higher sequence numbers than the given one, so that their ids differ from ids used before.
func (m *Manager) RaiseSequence(sequence int64) { m.sequence = max(m.sequence, sequence) }

// newOrder returns a new order and reserves its memory, in bytes.
func (m *Manager) newOrder(now time.Duration, l *ledger, kind Kind, item Item, memory int64) Order {
	m.sequence++
	o := Order{
		ID: fmt.Sprintf("%d-%d", m.fencingNumber, m.sequence), Endpoint: l.Name, Kind: kind,
		Model: item.Model, Adapter: item.Adapter, Version: item.Version, Memory: memory,
		FencingNumber: m.fencingNumber, Sequence: m.sequence,
	}
	l.orders = append(l.orders, &reservedOrder{Order: o, issuedAt: now})
	return o
}
