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

// reportInterval is how often the load reports of all endpoints are read.
const reportInterval = time.Second

// poolManager loads and unloads the models of one pool under one fencing number of its lease. It is kept as long as the
// lease's row contains this number, also while the lease may not be used: a second manager under the same number would
// reuse sequence numbers.
type poolManager struct {
	host          *Host
	pool          string
	fencingNumber int64
	ctx           context.Context // ends when the lease is lost
	cancel        context.CancelFunc
	reportClient  *http.Client       // for load reports
	connections   *order.Connections // for orders
	newReports    chan struct{}      // signals that new reports were applied

	// The following fields are used by runPlacement and the functions that it calls. The same driver is used for all writes
	// under the fencing number: it numbers them and recognizes its own writes by that.
	driver         *order.Driver
	recordedOrders map[string][]placement.Record // what the rows of the pool contain, by endpoint
	takenOver      bool
	superseded     bool  // a host with a higher fencing number has taken the pool over
	usedSequence   int64 // last sequence number used before the takeover was repeated
	openSends      sync.WaitGroup

	mu          sync.Mutex      // guards the following fields; Host.mu may be locked while it is held
	sendCtx     context.Context // context of the requests with orders; ends when the lease may not be used
	cancelSends context.CancelFunc
	placement   *placement.Manager
	loads       []state.EndpointLoad
	instances   map[string]string     // id of the endpoint process in the last report, by endpoint
	hostDemands map[string]hostDemand // by member id
}

// newPoolManager returns a manager that is not started yet.
func (h *Host) newPoolManager(pool string, fencingNumber int64) *poolManager {
	m := &poolManager{
		host:          h,
		pool:          pool,
		fencingNumber: fencingNumber,
		reportClient:  &http.Client{Transport: newTransport()},
		connections:   order.NewConnections(),
		newReports:    make(chan struct{}, 1),
		instances:     map[string]string{},
		hostDemands:   map[string]hostDemand{},
	}
	m.driver = order.New(h.table, m.connections.Client(), pool, fencingNumber)
	m.ctx, m.cancel = context.WithCancel(h.tomb.Context(context.Background()))
	m.sendCtx, m.cancelSends = context.WithCancel(m.ctx)
	return m
}

// start starts the goroutines of the manager. They end after stop.
func (m *poolManager) start() {
	m.host.spawn(func(context.Context) { m.runReports() })
	m.host.spawn(func(context.Context) { m.runPlacement() })
}

// stop ends the manager at once: it cancels running requests, and no order is sent afterwards.
func (m *poolManager) stop() {
	m.cancel()
	m.reportClient.CloseIdleConnections()
	m.connections.Close()
}

// abortSends cancels all running requests with orders. Orders can be sent again once the lease may be used.
func (m *poolManager) abortSends() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelSends()
	m.sendCtx, m.cancelSends = context.WithCancel(m.ctx)
}

// mayUseLease reports whether the host may use the lease now and its fencing number is still the manager's. It is called
// immediately before each order is sent.
func (m *poolManager) mayUseLease() bool {
	if m.ctx.Err() != nil {
		return false
	}
	m.host.mu.Lock()
	defer m.host.mu.Unlock()
	fencingNumber, held := m.host.state.LeaseFencingNumber(m.host.Now(), m.pool)
	return held && fencingNumber == m.fencingNumber
}

// poolEntry returns the pool's entry in the current pools table, and false if there is none.
func (m *poolManager) poolEntry() (pool.Pool, bool) { return m.host.View().PoolByName(m.pool) }

// runPlacement takes the pool over and then runs a placement pass whenever new reports were applied.
func (m *poolManager) runPlacement() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.newReports:
		}
		if !m.superseded && m.mayUseLease() && m.takeOver() {
			m.planAndSend()
		}
	}
}

// takeOver rewrites the pool's rows under the manager's fencing number, unless it has done so before, and reports whether it
// succeeded. No order may be sent before that.
func (m *poolManager) takeOver() bool {
	if m.takenOver {
		return true
	}
	entry, _ := m.poolEntry()
	names := make([]string, len(entry.Endpoints))
	for n, e := range entry.Endpoints {
		names[n] = e.Name
	}
	ctx, cancel := context.WithTimeout(m.ctx, takeoverTimeout)
	defer cancel()
	records, err := m.driver.TakeOver(ctx, names)
	if err != nil {
		m.handleWriteError(err)
		return false
	}
	manager := placement.New(m.host.Now(), m.host.placementSettings(), m.fencingNumber, records)
	manager.RaiseSequence(m.usedSequence)
	manager.SetPool(entry)
	m.recordedOrders = map[string][]placement.Record{}
	for _, r := range records {
		m.recordedOrders[r.Order.Endpoint] = append(m.recordedOrders[r.Order.Endpoint], r)
	}
	m.takenOver = true
	m.mu.Lock()
	m.placement = manager
	m.mu.Unlock()
	m.host.record(timeline.Event{Kind: timeline.Taken, Note: "lease of pool " + m.pool + ", number " + strconv.FormatInt(m.fencingNumber, 10)})
	m.host.log.Info("host: lease taken", "pool", m.pool, "number", m.fencingNumber, "orders", len(records))
	return true
}

// placementSettings returns the settings of one pool's placement. The limits of the weight store are divided among the model
// pools, because their managers may run on different hosts.
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
		ModelLoadRate:    s.ModelLoadRate / float64(pools),
		MaxModelLoads:    max(s.MaxModelLoads/pools, 1),
		MaxAdapterLoads:  max(s.MaxAdapterLoads/pools, 1),
		TokensPerReplica: s.TokensPerReplica,
	}
}
