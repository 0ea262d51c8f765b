package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/lease"
	"magnoliahoist/residency"
	"magnoliahoist/table"
)

const (
	// leaseRenewInterval is the time between renewals of a lease.
	leaseRenewInterval = 800 * time.Millisecond
	// leaseHoldDuration is how long after the start of its last successful renewal a holder may send orders.
	leaseHoldDuration = 1800 * time.Millisecond
	// handoverMargin is added to the minimum time between orders of two hosts (setting "lease"), for network delay and
	// clock drift.
	handoverMargin = 400 * time.Millisecond
	// leaseReadInterval is the minimum time between a deputy's reads of the leases while a holder does not respond.
	// It doubles with each later stage of the succession, up to maxLeaseReadInterval.
	leaseReadInterval    = 250 * time.Millisecond
	maxLeaseReadInterval = 4 * time.Second
	// leaseStageDelay is by how much later each stage of the succession acquires a free lease. It is above
	// leaseReadInterval, so that a stage has read the row before the next one may write it.
	leaseStageDelay = 300 * time.Millisecond
	// planInterval is how often a holder plans the orders of its pools.
	planInterval = 100 * time.Millisecond
)

// holding is the state of a lease that this host holds. The lock of Host guards it.
type holding struct {
	planner   *residency.Planner
	fetches   map[uint64]chan bool // by fetch id: receives whether the adapter can be used
	lastFetch uint64               // id of the last fetch
	loads     *dispatch.LoadReports
}

// runHolder renews leases, acquires free ones, and sends the orders of the pools whose lease this host holds.
func (h *Host) runHolder() error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-h.planWake:
		}
		h.mu.Lock()
		for _, name := range h.enginePools() {
			h.maintainPool(name)
		}
		h.mu.Unlock()
	}
}

// enginePools returns the names of the pools of model engines. The caller holds the lock.
func (h *Host) enginePools() []string {
	c := h.catalog.Load()
	if c == nil || !h.fleet.loaded {
		return nil
	}
	var names []string
	for _, name := range c.Pools() {
		if p, _ := c.PoolByName(name); p.Engine != nil {
			names = append(names, name)
		}
	}
	return names
}

// maintainPool renews or acquires a pool's lease if that is due, and plans the pool's orders while this host may send
// them. The caller holds the lock.
func (h *Host) maintainPool(pool string) {
	now := sinceBoot()
	poolLease := h.leaseOf(pool)
	if h.fleet.client != nil && !h.stopping() {
		poolLease.SetStage(h.stageOf(pool))
		if action, row, revision := poolLease.NextWrite(now); action != lease.NoWrite {
			h.spawn(func(ctx context.Context) { h.writeLease(ctx, pool, poolLease, action, row, revision) })
		}
	}
	if !poolLease.MayAct(now) {
		h.dropHolding(pool)
		return
	}
	h.plan(pool, poolLease)
}

// leaseOf returns this host's view of a pool's lease. The caller holds the lock.
func (h *Host) leaseOf(pool string) *lease.RenewedLease {
	poolLease := h.fleet.leases[pool]
	if poolLease == nil {
		settings := lease.RenewalSettings{RenewInterval: leaseRenewInterval, HoldDuration: leaseHoldDuration, HandoverGap: h.settings.HandoverGap.Std() + handoverMargin, StageDelay: leaseStageDelay}
		poolLease = lease.NewRenewedLease(settings, h.fleet.self.ID)
		h.fleet.leases[pool] = poolLease
	}
	return poolLease
}

// readLeases reads the leases from the store while it is unknown whether each has an active holder. Hosts to which the
// holder responds don't read them, because the platform charges for every call to the store.
func (h *Host) readLeases(ctx context.Context) {
	if !h.leaseReadDue() {
		return
	}
	startedAt := sinceBoot()
	snapshot, err := h.store.ReadAll(ctx, leaseTable)
	if err != nil {
		h.log.Info("entry: unable to read the leases", "error", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	rows := map[string]table.Row{}
	for _, row := range snapshot.Rows {
		rows[strings.TrimPrefix(row.Key, leasePrefix)] = row
	}
	for _, pool := range h.enginePools() {
		h.observeLease(pool, h.leaseOf(pool), rows[pool], lease.Read{Started: startedAt, Ended: sinceBoot(), Revision: snapshot.Revision, Clock: snapshot.Clock})
	}
}

// leaseReadDue reports whether the leases must be read now, and records the time of that read.
func (h *Host) leaseReadDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := sinceBoot()
	for _, pool := range h.enginePools() {
		poolLease := h.leaseOf(pool)
		if now-h.fleet.leasesReadAt < leaseReadPause(h.stageOf(pool)) {
			continue
		}
		if !poolLease.RowKnown() || !poolLease.MayAct(now) && h.respondingHolder(pool) == "" {
			h.fleet.leasesReadAt = now
			return true
		}
	}
	return false
}

// observeLease passes a lease's row, zero if there is none, to its lease.RenewedLease and logs a change of the holder. The
// caller holds the lock.
func (h *Host) observeLease(pool string, poolLease *lease.RenewedLease, row table.Row, read lease.Read) {
	var content lease.Record
	if row.Revision > 0 {
		if err := json.Unmarshal(row.Value, &content); err != nil {
			h.log.Warn("entry: unable to decode a lease", "pool", pool, "error", err)
		}
	}
	before := poolLease.Holder()
	poolLease.Observe(read, content, row.Revision)
	if poolLease.Holder() != before {
		delete(h.fleet.unresponsiveSince, pool)
		delete(h.fleet.namedHolders, pool)
		h.log.Info("entry: lease holder changed", "pool", pool, "holder", poolLease.Holder(), "number", poolLease.FencingNumber(), "revision", table.VersionOf(row.Revision))
	}
}

// writeLease writes a renewed, acquired or released lease.
func (h *Host) writeLease(ctx context.Context, pool string, poolLease *lease.RenewedLease, action lease.Action, row lease.Record, revision int64) {
	value, err := json.Marshal(row)
	if err != nil {
		panic("entry: unable to encode a lease: " + err.Error()) // a struct of plain fields can always be encoded
	}
	key := leasePrefix + pool
	result, err := h.store.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: key, Revision: revision}},
		Writes:   []table.Write{{Key: key, Value: value}},
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	poolLease.RecordWrite(row, result.Revision, err == nil && result.Committed)
	switch {
	case err != nil:
		h.log.Warn("entry: unable to write a lease", "pool", pool, "action", action.String(), "error", err)
	case action == lease.Acquire:
		h.log.Info("entry: lease acquisition", "pool", pool, "action", action.String(), "committed", result.Committed, "number", row.FencingNumber, "revision", table.VersionOf(result.Revision))
	}
}

// dropHolding drops the state of a lease that is no longer held and fails the waiting fetches. The caller holds the
// lock.
func (h *Host) dropHolding(pool string) {
	held := h.holdings[pool]
	if held == nil {
		return
	}
	delete(h.holdings, pool)
	clear(h.fleet.lastHeard) // the next holding starts its member timeouts anew
	for _, result := range held.fetches {
		result <- false
	}
	h.log.Warn("entry: lease expired or was released", "pool", pool)
}

// plan starts the reports and orders that are due for a pool. The caller holds the lock.
func (h *Host) plan(pool string, poolLease *lease.RenewedLease) {
	now := h.Now()
	held := h.holdings[pool]
	if held == nil {
		held = &holding{planner: residency.New(now, h.registry.followedSince), fetches: map[uint64]chan bool{}, loads: dispatch.NewLoadReports()}
		h.holdings[pool] = held
	}
	spec, _ := h.catalog.Load().PoolByName(pool)
	held.planner.SetPool(spec)
	held.planner.SetEndpoints(now, h.endpointsOf(pool))
	held.planner.SetSlowness(held.loads.Slowness(now))
	for _, e := range held.planner.DueReports(now) {
		h.spawn(func(ctx context.Context) { h.fetchReport(ctx, pool, held, e) })
	}
	for _, o := range held.planner.DueOrders(now) {
		h.spawn(func(ctx context.Context) { h.sendOrder(ctx, pool, held, poolLease, o) })
	}
	h.deliverOutcomes(held)
}

// endpointsOf returns the registered endpoints of a pool. The caller holds the lock.
func (h *Host) endpointsOf(pool string) []directory.Endpoint {
	var list []directory.Endpoint
	for _, e := range h.directory.Endpoints() {
		if e.Pool == pool {
			list = append(list, e)
		}
	}
	return list
}

func (h *Host) fetchReport(ctx context.Context, pool string, held *holding, e directory.Endpoint) {
	requestedAt := h.Now()
	report, err := h.engines.FetchReport(ctx, e)
	report.RequestedAt = requestedAt
	if err != nil {
		h.log.Info("entry: unable to get the report of an endpoint", "pool", pool, "endpoint", e.ID, "error", err)
		return
	}
	h.log.Debug("entry: endpoint report", "pool", pool, "endpoint", e.ID, "sequence", report.Sequence, "active", report.Active, "pending", fmt.Sprint(report.PendingAdapters),
		"born", report.StartedAt, "registered", e.StartedAt, "models", fmt.Sprint(report.Models), "from", fmt.Sprint(e.Models))
	h.mu.Lock()
	held.planner.ApplyReport(h.Now(), e.ID, report)
	h.mu.Unlock()
	h.wakePlanner()
}

// sendOrder sends one order if this host still holds the lease.
func (h *Host) sendOrder(ctx context.Context, pool string, held *holding, poolLease *lease.RenewedLease, o residency.Order) {
	h.mu.Lock()
	mayAct, number := poolLease.MayAct(sinceBoot()), poolLease.FencingNumber()
	h.mu.Unlock()
	if !mayAct {
		return
	}
	result, err := h.engines.SendOrder(ctx, o, number)
	h.metrics.orders.WithLabelValues(o.Kind.String(), result.String()).Inc()
	h.log.Info("entry: order sent", "pool", pool, "endpoint", o.Endpoint, "kind", o.Kind.String(), "model", o.Model, "adapter", o.Adapter,
		"expected", o.ExpectedSequence, "number", number, "why", o.Reason, "result", result.String(), "error", err)
	h.mu.Lock()
	held.planner.ApplyResult(h.Now(), o, result)
	h.deliverOutcomes(held)
	h.mu.Unlock()
	h.wakePlanner()
}

// wakePlanner makes runHolder plan its pools at once.
func (h *Host) wakePlanner() {
	select {
	case h.planWake <- struct{}{}:
	default:
	}
}

// deliverOutcomes sends the known results to the fetches that wait for them. The caller holds the lock.
func (h *Host) deliverOutcomes(held *holding) {
	for _, outcome := range held.planner.TakeOutcomes() {
		result := held.fetches[outcome.Request.ID]
		delete(held.fetches, outcome.Request.ID)
		switch {
		case result == nil:
		case outcome.Delay > 0:
			time.AfterFunc(outcome.Delay, func() { result <- outcome.Loaded })
		default:
			result <- outcome.Loaded
		}
	}
}

// holderOf returns the id of the host that holds a pool's lease, or "" if there is none.
func (h *Host) holderOf(pool string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.believedHolder(pool)
}
