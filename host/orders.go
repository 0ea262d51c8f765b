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
	// takeoverTimeout is the timeout for rewriting all rows of a pool.
	takeoverTimeout = 30 * time.Second
	// orderTimeout is the timeout of one order. It is long because a load may wait for the weight store.
	orderTimeout = time.Minute
	// orderSpacing is the pause between two orders to the same endpoint if the first has no result yet. An endpoint refuses
	// orders that arrive out of sequence.
	orderSpacing = 20 * time.Millisecond
)

// planAndSend runs a placement pass: it plans orders, records them in the rows of the pool and sends them. After the first
// failed write no further order is sent.
func (m *poolManager) planAndSend() {
	entry, known := m.poolEntry()
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
	var writeErr error
	for _, e := range entry.Endpoints {
		orders := byEndpoint[e.Name]
		if len(orders) == 0 && slices.Equal(m.recordedOrders[e.Name], records[e.Name]) {
			continue
		}
		if writeErr == nil {
			writeErr = m.writeRecords(e.Name, records[e.Name])
		}
		if writeErr != nil {
			m.markNotSent(orders)
			continue
		}
		m.sendInSequence(e.Address, orders)
	}
	if writeErr != nil {
		m.handleWriteError(writeErr)
	}
}

// writeRecords writes the row with an endpoint's orders. Orders may be sent only after that has succeeded.
func (m *poolManager) writeRecords(endpoint string, records []placement.Record) error {
	ctx, cancel := context.WithTimeout(m.ctx, platformTimeout)
	defer cancel()
	if err := m.driver.Record(ctx, endpoint, records); err != nil {
		delete(m.recordedOrders, endpoint)
		return err
	}
	m.recordedOrders[endpoint] = records
	return nil
}

// handleWriteError handles a failed write of the pool's rows: it stops placement after a takeover by another host, and
// repeats the takeover if an earlier lease holder wrote a row.
func (m *poolManager) handleWriteError(err error) {
	switch {
	case errors.Is(err, order.ErrSuperseded):
		m.superseded = true
	case errors.Is(err, order.ErrWrittenByEarlierHolder) && m.takenOver:
		m.resetTakeover()
	}
	m.host.log.Warn("host: unable to record orders", "pool", m.pool, "number", m.fencingNumber, "error", err)
}

// resetTakeover waits until all requests with orders have ended and makes the next placement pass take the pool over again.
func (m *poolManager) resetTakeover() {
	m.openSends.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usedSequence = m.placement.LastSequence()
	m.placement, m.takenOver = nil, false
}

// markNotSent tells the placement manager that orders were not sent.
func (m *poolManager) markNotSent(orders []placement.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range orders {
		m.placement.OrderNotSent(m.host.Now(), o.ID)
	}
}

// sendInSequence starts sending an endpoint's orders by ascending sequence number. It waits at most orderSpacing for the
// result of one before it sends the next.
func (m *poolManager) sendInSequence(address string, orders []placement.Order) {
	slices.SortFunc(orders, func(a, b placement.Order) int { return int(a.Sequence - b.Sequence) })
	m.openSends.Add(len(orders))
	go func() {
		for _, o := range orders {
			done := make(chan struct{})
			go func() {
				defer m.openSends.Done()
				defer close(done)
				m.sendOrder(address, o)
			}()
			select {
			case <-done:
			case <-time.After(orderSpacing):
			}
		}
	}()
}

// sendOrder sends one recorded order, unless startSend forbids it, and passes the result to the placement manager.
func (m *poolManager) sendOrder(address string, o placement.Order) {
	m.recordOrder(timeline.Ordered, o)
	sendCtx, started := m.startSend(address, o)
	if !started {
		m.recordOrder(timeline.Lost, o)
		return
	}
	ctx, cancel := context.WithTimeout(sendCtx, orderTimeout)
	defer cancel()
	result, err := m.driver.Send(ctx, address, o)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.placement.ResultUnknown(m.host.Now(), o.ID)
		m.recordOrder(timeline.Lost, o)
		m.host.log.Debug("host: unable to get the result of an order", "order", o.ID, "endpoint", o.Endpoint, "error", err)
		return
	}
	m.placement.ResultReceived(m.host.Now(), o.ID, result)
	if result == placement.Rejected {
		m.recordOrder(timeline.Rejected, o)
		m.host.log.Info("host: order rejected", "order", o.ID, "endpoint", o.Endpoint)
		return
	}
	m.recordOrder(timeline.Confirmed, o)
	if o.Kind != placement.Role && o.Adapter == "" {
		m.host.metrics.CountModelOrder(m.pool)
	}
}

// startSend marks the order as being sent and returns the context for its request. If the lease may not be used, or if no
// connection is left that was opened before the endpoint's last report, it marks the order as not sent and returns false.
func (m *poolManager) startSend(address string, o placement.Order) (context.Context, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mayUseLease() {
		if sendCtx, found := m.connections.Take(m.sendCtx, address); found {
			m.placement.RequestStarted(m.host.Now(), o.ID)
			return sendCtx, true
		}
	}
	m.placement.OrderNotSent(m.host.Now(), o.ID)
	return nil, false
}

// recordOrder adds an event of an order to the timeline.
func (m *poolManager) recordOrder(kind timeline.Kind, o placement.Order) {
	note := o.Kind.String()
	for _, part := range []string{o.Model, o.Adapter, o.Version} {
		if part != "" {
			note += " " + part
		}
	}
	// Order ids are unique only within a pool.
	m.host.record(timeline.Event{Kind: kind, Order: m.pool + "/" + o.ID, Endpoint: o.Endpoint, Note: note})
}
