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
	// renewPeriod is the time between two renewals of a lease.
	renewPeriod = 800 * time.Millisecond
	// guardTime is how long after the start of its last renewal a holder may send orders.
	guardTime = 1800 * time.Millisecond
	// handoverMargin is added to the least time between the orders of two hosts, for links and clocks.
	handoverMargin = 400 * time.Millisecond
	// leaseLook is the time between two reads of the leases while a holder does not answer.
	leaseLook = 500 * time.Millisecond
	// planPeriod is how often a holder looks at its pool.
	planPeriod = 100 * time.Millisecond
)

// holding is the state of a lease that this host holds. The host's lock guards it.
type holding struct {
	planner *residency.Planner
	tickets map[uint64]chan bool
	next    uint64
	loads   *dispatch.Loads
}

// hold renews leases, takes over those that are free, and sends the orders of pools whose lease this host holds.
func (h *Host) hold() error {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-ticker.C:
		case <-h.kick:
		}
		h.mu.Lock()
		for _, name := range h.enginePools() {
			h.tend(name)
		}
		h.mu.Unlock()
	}
}

// enginePools returns the pools of model engines. The caller holds the lock.
func (h *Host) enginePools() []string {
	c := h.catalog.Load()
	if c == nil || !h.fleet.read {
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

// tend does what is due for one pool. The caller holds the lock.
func (h *Host) tend(pool string) {
	now := sinceBoot()
	term := h.termOf(pool)
	if h.fleet.client != nil && !h.stopping() {
		if action, row, revision := term.Next(now); action != lease.Stay {
			h.run(func(ctx context.Context) { h.writeLease(ctx, pool, term, action, row, revision) })
		}
	}
	if !term.Acts(now) {
		h.abandon(pool)
		return
	}
	h.plan(pool, term)
}

// termOf returns the host's view of a pool's lease. The caller holds the lock.
func (h *Host) termOf(pool string) *lease.Term {
	term := h.fleet.terms[pool]
	if term == nil {
		settings := lease.TermSettings{Renew: renewPeriod, Guard: guardTime, Gap: h.settings.Lease.Std() + handoverMargin}
		term = lease.NewTerm(settings, h.fleet.self.ID)
		h.fleet.terms[pool] = term
	}
	return term
}

// lookAtLeases reads the leases while a holder is not known to act. Hosts that are answered by the holder don't read
// them, because every call to the store is paid for.
func (h *Host) lookAtLeases(ctx context.Context) {
	if !h.mustLook() {
		return
	}
	asked := sinceBoot()
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
		h.observeLease(pool, h.termOf(pool), rows[pool], asked, snapshot.Clock)
	}
}

// mustLook reports whether the leases are to be read now.
func (h *Host) mustLook() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := sinceBoot()
	if now-h.fleet.looked < leaseLook {
		return false
	}
	for _, pool := range h.enginePools() {
		term := h.termOf(pool)
		_, missed := h.fleet.missed[pool]
		if !term.Known() || !term.Acts(now) && (term.Holder() == "" || term.Holder() == h.fleet.self.ID || missed) {
			h.fleet.looked = now
			return true
		}
	}
	return false
}

// observeLease shows a lease's row, unset when there is none, to its term. The caller holds the lock.
func (h *Host) observeLease(pool string, term *lease.Term, row table.Row, asked, clock time.Duration) {
	var content lease.Tenancy
	if row.Revision > 0 {
		if err := json.Unmarshal(row.Value, &content); err != nil {
			h.log.Warn("entry: unable to read a lease", "pool", pool, "error", err)
		}
	}
	before := term.Holder()
	term.Observe(asked, sinceBoot(), content, row.Revision, clock)
	if term.Holder() != before {
		delete(h.fleet.missed, pool)
		h.log.Info("entry: lease changed hands", "pool", pool, "holder", term.Holder(), "number", term.Number(), "revision", row.Revision)
	}
}

// writeLease renews or takes over a lease.
func (h *Host) writeLease(ctx context.Context, pool string, term *lease.Term, action lease.Action, row lease.Tenancy, revision int64) {
	value, err := json.Marshal(row)
	if err != nil {
		panic("entry: unable to write a lease: " + err.Error()) // a struct of plain fields can always be written
	}
	key := leasePrefix + pool
	result, err := h.store.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: key, Revision: revision}},
		Writes:   []table.Write{{Key: key, Value: value}},
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	term.Written(row, result.Revision, err == nil && result.Committed)
	switch {
	case err != nil:
		h.log.Warn("entry: unable to write a lease", "pool", pool, "action", action.String(), "error", err)
	case action == lease.Acquire:
		h.log.Info("entry: lease", "pool", pool, "action", action.String(), "committed", result.Committed, "number", row.Number, "revision", result.Revision)
	}
}

// abandon ends the work of a holder whose lease is over. The caller holds the lock.
func (h *Host) abandon(pool string) {
	held := h.holdings[pool]
	if held == nil {
		return
	}
	delete(h.holdings, pool)
	clear(h.fleet.heard) // a later holding begins to look anew
	for _, answer := range held.tickets {
		answer <- false
	}
	h.log.Warn("entry: lease is over", "pool", pool)
}

// plan sends the orders that are due. The caller holds the lock.
func (h *Host) plan(pool string, term *lease.Term) {
	now := h.Now()
	held := h.holdings[pool]
	if held == nil {
		held = &holding{planner: residency.New(now, h.registry.known), tickets: map[uint64]chan bool{}, loads: dispatch.NewLoads()}
		h.holdings[pool] = held
	}
	spec, _ := h.catalog.Load().PoolByName(pool)
	held.planner.SetPool(spec)
	held.planner.SetEndpoints(now, h.endpointsOf(pool))
	for _, e := range held.planner.Reports(now) {
		h.run(func(ctx context.Context) { h.askReport(ctx, pool, held, e) })
	}
	for _, o := range held.planner.Next(now) {
		h.run(func(ctx context.Context) { h.sendOrder(ctx, pool, held, term, o) })
	}
	h.settle(held)
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

func (h *Host) askReport(ctx context.Context, pool string, held *holding, e directory.Endpoint) {
	asked := h.Now()
	report, err := h.engines.Report(ctx, e)
	report.Asked = asked
	if err != nil {
		h.log.Info("entry: unable to get a report", "pool", pool, "endpoint", e.ID, "error", err)
		return
	}
	h.log.Debug("entry: report", "pool", pool, "endpoint", e.ID, "sequence", report.Sequence, "active", report.Active, "pending", report.Pending,
		"born", report.Born, "registered", e.Born, "models", fmt.Sprint(report.Models), "from", fmt.Sprint(e.Models))
	h.mu.Lock()
	held.planner.Report(h.Now(), e.ID, report)
	h.mu.Unlock()
	h.wake()
}

// sendOrder sends one order if this host still holds the lease.
func (h *Host) sendOrder(ctx context.Context, pool string, held *holding, term *lease.Term, o residency.Order) {
	h.mu.Lock()
	acts, number := term.Acts(sinceBoot()), term.Number()
	h.mu.Unlock()
	if !acts {
		return
	}
	result, err := h.engines.Send(ctx, o, number)
	h.metrics.orders.WithLabelValues(o.Kind.String(), result.String()).Inc()
	h.log.Info("entry: order", "pool", pool, "endpoint", o.Endpoint, "kind", o.Kind.String(), "model", o.Model, "adapter", o.Adapter,
		"expected", o.Expected, "number", number, "why", o.Why, "result", result.String(), "error", err)
	h.mu.Lock()
	held.planner.Done(h.Now(), o, result)
	h.settle(held)
	h.mu.Unlock()
	h.wake()
}

// wake makes the holder look at its pools at once.
func (h *Host) wake() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// settle answers the tickets whose outcome is known. The caller holds the lock.
func (h *Host) settle(held *holding) {
	for _, s := range held.planner.Settled() {
		answer := held.tickets[s.Ticket.ID]
		delete(held.tickets, s.Ticket.ID)
		switch {
		case answer == nil:
		case s.Delay > 0:
			time.AfterFunc(s.Delay, func() { answer <- s.Loaded })
		default:
			answer <- s.Loaded
		}
	}
}

// holderOf returns the id of the host that holds a pool's lease; empty when there is none.
func (h *Host) holderOf(pool string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term := h.fleet.terms[pool]; term != nil {
		return term.Holder()
	}
	return ""
}
