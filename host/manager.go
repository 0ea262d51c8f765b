package host

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"magnoliahoist/order"
	"magnoliahoist/placement"
	"magnoliahoist/pool"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// observePeriod is the time between two reads of every endpoint's load.
const observePeriod = time.Second

// manager manages the endpoints of one pool under one number of its lease. It is kept while the
// lease's row shows this number, since a second manager under it would use sequence numbers again.
type manager struct {
	host     *Host
	pool     string
	number   int64
	ctx      context.Context // ends when the lease is lost
	cancel   context.CancelFunc
	client   *http.Client  // for reports
	bound    *order.Bound  // for orders
	observed chan struct{} // says that there is a newer view

	// Used by direct only. One driver counts all writes under the number, by which it knows its own.
	driver     *order.Driver
	recorded   map[string][]placement.Record
	taken      bool
	superseded bool
	sequence   int64 // used by an earlier takeover under the same number
	sends      sync.WaitGroup

	mu        sync.Mutex      // guards what follows; it may be held when Host.mu is taken
	sending   context.Context // of requests with orders; ends when the lease may not be used
	endSends  context.CancelFunc
	placement *placement.Manager
	loads     []state.Load
	instances map[string]string     // ids of the processes that gave the last reports, by endpoint
	demands   map[string]hostDemand // by member id
}

func (h *Host) newManager(pool string, number int64) *manager {
	m := &manager{
		host:      h,
		pool:      pool,
		number:    number,
		client:    &http.Client{Transport: platformTransport()},
		bound:     order.NewBound(),
		observed:  make(chan struct{}, 1),
		instances: map[string]string{},
		demands:   map[string]hostDemand{},
	}
	m.driver = order.New(h.table, m.bound.Client(), pool, number)
	m.ctx, m.cancel = context.WithCancel(h.tomb.Context(context.Background()))
	m.sending, m.endSends = context.WithCancel(m.ctx)
	return m
}

// start runs the manager until stop.
func (m *manager) start() {
	m.host.run(func(context.Context) { m.observe() })
	m.host.run(func(context.Context) { m.direct() })
}

// stop gives up the pool at once: no order is sent afterwards, and running requests end.
func (m *manager) stop() {
	m.cancel()
	m.client.CloseIdleConnections()
	m.bound.Close()
}

// pause ends running requests with orders while the lease may not be used.
func (m *manager) pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endSends()
	m.sending, m.endSends = context.WithCancel(m.ctx)
}

// usable reports whether the lease may be used now, under the manager's number. It is asked
// immediately before each order is sent.
func (m *manager) usable() bool {
	if m.ctx.Err() != nil {
		return false
	}
	m.host.mu.Lock()
	defer m.host.mu.Unlock()
	number, held := m.host.state.Lease(m.host.Now(), m.pool)
	return held && number == m.number
}

// entry returns the pool's entry of the table in force.
func (m *manager) entry() (pool.Pool, bool) { return m.host.View().PoolByName(m.pool) }

// direct places models whenever the endpoints have been observed.
func (m *manager) direct() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.observed:
		}
		if !m.superseded && m.usable() && m.takeOver() {
			m.place()
		}
	}
}

// takeOver rewrites the pool's rows under the manager's number; nothing is sent before that has succeeded.
func (m *manager) takeOver() bool {
	if m.taken {
		return true
	}
	entry, _ := m.entry()
	names := make([]string, len(entry.Endpoints))
	for n, e := range entry.Endpoints {
		names[n] = e.Name
	}
	ctx, cancel := context.WithTimeout(m.ctx, takeOverTimeout)
	defer cancel()
	records, err := m.driver.TakeOver(ctx, names)
	if err != nil {
		m.failed(err)
		return false
	}
	next := placement.New(m.host.Now(), m.host.placementSettings(), m.number, records)
	next.Skip(m.sequence)
	next.SetPool(entry)
	m.recorded = map[string][]placement.Record{}
	for _, r := range records {
		m.recorded[r.Order.Endpoint] = append(m.recorded[r.Order.Endpoint], r)
	}
	m.taken = true
	m.mu.Lock()
	m.placement = next
	m.mu.Unlock()
	m.host.record(timeline.Event{Kind: timeline.Taken, Note: "lease of pool " + m.pool + ", number " + strconv.FormatInt(m.number, 10)})
	m.host.log.Info("host: lease taken", "pool", m.pool, "number", m.number, "orders", len(records))
	return true
}

// placementSettings divides the limits of the weight store among the model pools, since their
// managers may run on different hosts.
func (h *Host) placementSettings() placement.Settings {
	pools := 0
	for _, entry := range h.View().Pools() {
		if isModelPool(entry) {
			pools++
		}
	}
	pools = max(pools, 1)
	s := h.settings.Placement
	return placement.Settings{
		WeightRate:    s.Rate / float64(pools),
		WeightFull:    max(s.Full/pools, 1),
		AdapterKnee:   max(s.Knee/pools, 1),
		ReplicaTokens: s.Replica,
	}
}
