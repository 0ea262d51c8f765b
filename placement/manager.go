package placement

import (
	"fmt"
	"slices"
	"time"

	"magnoliahoist/pool"
)

// Manager places the models of one pool. It is not safe for concurrent use.
type Manager struct {
	settings   Settings
	started    time.Duration
	number     int64
	sequence   int64
	superseded bool
	pool       pool.Pool
	models     map[string]pool.Model
	ledgers    map[string]*ledger
	names      []string // endpoints in the order of the table
	demands    map[string]*demand
	weights    weights
}

// New returns the manager of the lease's holder with the fencing number. The
// records are the orders in the pool's rows: each stays reserved until it is
// known to be dead.
func New(now time.Duration, s Settings, number int64, records []Record) *Manager {
	m := &Manager{
		settings: s.WithDefaults(),
		started:  now,
		number:   number,
		models:   make(map[string]pool.Model),
		ledgers:  make(map[string]*ledger),
		demands:  make(map[string]*demand),
	}
	m.weights = weights{at: now, tokens: 1}
	for _, r := range records {
		if r.Order.Fence == number {
			m.sequence = max(m.sequence, r.Order.Sequence)
		}
		if r.Order.Kind == Role {
			continue // reserves nothing
		}
		o := &pending{Order: r.Order, old: r.Order.Fence < number, sent: true, issued: now, ended: true, endedAt: now}
		if r.Known {
			o.settle(now, Applied)
		}
		l := m.ledgerOf(r.Order.Endpoint)
		l.orders = append(l.orders, o)
	}
	return m
}

func (m *Manager) ledgerOf(endpoint string) *ledger {
	l := m.ledgers[endpoint]
	if l == nil {
		l = &ledger{Endpoint: pool.Endpoint{Name: endpoint}, asked: m.started}
		m.ledgers[endpoint] = l
	}
	return l
}

// SetPool replaces the table entry of the pool. The ledger of an endpoint
// that is removed is kept, since the endpoint may come back with its contents.
func (m *Manager) SetPool(p pool.Pool) {
	m.pool = p
	clear(m.models)
	for _, model := range p.Models {
		m.models[model.Name] = model
	}
	for _, l := range m.ledgers {
		l.present = false
	}
	m.names = nil
	for _, e := range p.Endpoints {
		l := m.ledgerOf(e.Name)
		l.Endpoint, l.present = e, true
		m.names = append(m.names, e.Name)
	}
}

// Observe applies an endpoint's report.
func (m *Manager) Observe(now time.Duration, endpoint string, r Report) {
	l := m.ledgers[endpoint]
	if l == nil {
		return
	}
	r.Asked = min(r.Asked, now)
	if l.Fenced && r.Fence > m.number {
		m.superseded = true
	}
	l.observe(r, m.size, m.number, &m.settings)
}

// size returns the memory of an item by the table, or 0 if the table does not have this version.
func (m *Manager) size(item Item) int64 {
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

// order returns the reserved order with the id and its ledger.
func (m *Manager) order(id string) (*ledger, *pending) {
	for _, l := range m.ledgers {
		for _, o := range l.orders {
			if o.ID == id {
				return l, o
			}
		}
	}
	return nil, nil
}

// Sent notes that a request for the order is about to start.
func (m *Manager) Sent(now time.Duration, id string) {
	if _, o := m.order(id); o != nil {
		o.sent, o.ended = true, false
	}
}

// Unsent notes that an order returned by Plan is not sent, as when its record
// could not be written. If it was sent before, it may still take effect.
func (m *Manager) Unsent(now time.Duration, id string) {
	l, o := m.order(id)
	if o == nil {
		return
	}
	if o.sent {
		m.Lost(now, id)
		return
	}
	l.orders = slices.DeleteFunc(l.orders, func(other *pending) bool { return other == o })
	l.retryAt = now + m.settings.Backoff
}

// Answered notes the endpoint's definitive answer. The memory stays reserved until a report shows the effect.
func (m *Manager) Answered(now time.Duration, id string, r Result) {
	l, o := m.order(id)
	if o == nil {
		return
	}
	o.ended, o.endedAt = true, now
	o.settle(now, r)
	if r == Rejected {
		l.retryAt = now + m.settings.Backoff
	} else if l.Fenced && o.Fence == m.number {
		l.confirm(now, m.number)
	}
}

// Lost notes that the request for the order ended without an answer: the order may still take effect.
func (m *Manager) Lost(now time.Duration, id string) {
	if _, o := m.order(id); o != nil {
		o.ended, o.endedAt = true, now
	}
}

// Confirmed notes that an endpoint that checks fencing numbers has seen the
// number, so that it refuses every order with a lower one.
func (m *Manager) Confirmed(now time.Duration, endpoint string, fence int64) {
	if l := m.ledgers[endpoint]; l != nil && l.Fenced && fence >= m.number {
		l.confirm(now, m.number)
	}
}

// Records returns what the endpoint's row must hold before any order is sent.
func (m *Manager) Records(endpoint string) []Record {
	l := m.ledgers[endpoint]
	if l == nil {
		return nil
	}
	records := make([]Record, len(l.orders))
	for n, o := range l.orders {
		records[n] = Record{Order: o.Order, Known: o.known}
	}
	return records
}

// Memory returns the bytes that are resident or reserved on an endpoint.
func (m *Manager) Memory(endpoint string) int64 {
	if l := m.ledgers[endpoint]; l != nil {
		return l.used()
	}
	return 0
}

// Sequence returns the last sequence number used.
func (m *Manager) Sequence() int64 { return m.sequence }

// Skip makes later orders use sequence numbers, and thus ids, above one that was used before.
func (m *Manager) Skip(sequence int64) { m.sequence = max(m.sequence, sequence) }

// issue reserves the memory of a new order and returns it.
func (m *Manager) issue(now time.Duration, l *ledger, kind Kind, item Item, memory int64) Order {
	m.sequence++
	o := Order{
		ID: fmt.Sprintf("%d-%d", m.number, m.sequence), Endpoint: l.Name, Kind: kind,
		Model: item.Model, Adapter: item.Adapter, Version: item.Version, Memory: memory,
		Fence: m.number, Sequence: m.sequence,
	}
	l.orders = append(l.orders, &pending{Order: o, issued: now})
	return o
}
