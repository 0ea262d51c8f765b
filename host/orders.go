package host

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/order"
	"magnoliahoist/placement"
	"magnoliahoist/timeline"
)

const (
	// takeOverTimeout bounds the rewriting of all rows of a pool.
	takeOverTimeout = 30 * time.Second
	// orderTimeout bounds one order: a load may wait for the weight store.
	orderTimeout = time.Minute
	// orderSpacing separates orders to one endpoint, which refuses those that arrive out of sequence.
	orderSpacing = 20 * time.Millisecond
)

// place plans, records and sends orders.
func (m *manager) place() {
	entry, known := m.entry()
	if !known {
		return
	}
	m.mu.Lock()
	m.setDemands()
	byEndpoint := map[string][]placement.Order{}
	for _, o := range m.placement.Plan(m.host.Now()) {
		byEndpoint[o.Endpoint] = append(byEndpoint[o.Endpoint], o)
	}
	records := map[string][]placement.Record{}
	for _, e := range entry.Endpoints {
		records[e.Name] = m.placement.Records(e.Name)
	}
	m.mu.Unlock()
	var failure error
	for _, e := range entry.Endpoints {
		orders := byEndpoint[e.Name]
		if len(orders) == 0 && slices.Equal(m.recorded[e.Name], records[e.Name]) {
			continue
		}
		if failure == nil {
			failure = m.write(e.Name, records[e.Name])
		}
		if failure != nil {
			m.unsent(orders)
			continue
		}
		m.dispatch(e.Address, orders)
	}
	if failure != nil {
		m.failed(failure)
	}
}

// write records what must be known of an endpoint's orders before they are sent.
func (m *manager) write(endpoint string, records []placement.Record) error {
	ctx, cancel := context.WithTimeout(m.ctx, platformTimeout)
	defer cancel()
	if err := m.driver.Record(ctx, endpoint, records); err != nil {
		delete(m.recorded, endpoint)
		return err
	}
	m.recorded[endpoint] = records
	return nil
}

// failed handles the reason why the pool's rows could not be written.
func (m *manager) failed(err error) {
	switch {
	case errors.Is(err, order.ErrSuperseded):
		m.superseded = true
	case errors.Is(err, order.ErrForeign) && m.taken:
		m.repeat()
	}
	m.host.log.Warn("host: unable to record orders", "pool", m.pool, "number", m.number, "error", err)
}

// repeat makes the next round take the pool over again, after all running requests have ended.
func (m *manager) repeat() {
	m.sends.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence = m.placement.Sequence()
	m.placement, m.taken = nil, false
}

func (m *manager) unsent(orders []placement.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range orders {
		m.placement.Unsent(m.host.Now(), o.ID)
	}
}

// dispatch sends an endpoint's orders in sequence, without waiting for the end of long ones.
func (m *manager) dispatch(address string, orders []placement.Order) {
	slices.SortFunc(orders, func(a, b placement.Order) int { return int(a.Sequence - b.Sequence) })
	m.sends.Add(len(orders))
	go func() {
		for _, o := range orders {
			ended := make(chan struct{})
			go func() {
				defer m.sends.Done()
				defer close(ended)
				m.send(address, o)
			}()
			select {
			case <-ended:
			case <-time.After(orderSpacing):
			}
		}
	}()
}

// send sends one recorded order, if the lease may be used at this moment.
func (m *manager) send(address string, o placement.Order) {
	m.recordOrder(timeline.Ordered, o)
	sending, usable := m.begin(address, o)
	if !usable {
		m.recordOrder(timeline.Lost, o)
		return
	}
	ctx, cancel := context.WithTimeout(sending, orderTimeout)
	defer cancel()
	result, err := m.driver.Send(ctx, address, o)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.placement.Lost(m.host.Now(), o.ID)
		m.recordOrder(timeline.Lost, o)
		m.host.log.Debug("host: order without result", "order", o.ID, "endpoint", o.Endpoint, "error", err)
		return
	}
	m.placement.Answered(m.host.Now(), o.ID, result)
	if result == placement.Rejected {
		m.recordOrder(timeline.Rejected, o)
		m.host.log.Info("host: order rejected", "order", o.ID, "endpoint", o.Endpoint)
		return
	}
	m.recordOrder(timeline.Confirmed, o)
	if o.Kind != placement.Role && o.Adapter == "" {
		m.host.metrics.CountMove(m.pool)
	}
}

// begin notes that the order's request starts now and returns the context for it. It returns false when
// the lease may not be used, or when no connection is left from before the endpoint's last report.
func (m *manager) begin(address string, o placement.Order) (context.Context, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.usable() {
		if sending, bound := m.bound.Take(m.sending, address); bound {
			m.placement.Sent(m.host.Now(), o.ID)
			return sending, true
		}
	}
	m.placement.Unsent(m.host.Now(), o.ID)
	return nil, false
}

func (m *manager) recordOrder(kind timeline.Kind, o placement.Order) {
	note := o.Kind.String()
	for _, part := range []string{o.Model, o.Adapter, o.Version} {
		if part != "" {
			note += " " + part
		}
	}
	// Ids of orders are unique within a pool only.
	m.host.record(timeline.Event{Kind: kind, Order: m.pool + "/" + o.ID, Endpoint: o.Endpoint, Note: note})
}
