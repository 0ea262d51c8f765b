package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/lease"
	"magnoliahoist/peer"
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
	// summaryPeriod is how often hosts tell the holder of their load and learn that of the others.
	summaryPeriod = 200 * time.Millisecond
	// loadLife is how long a host's load counts.
	loadLife = 2 * time.Second
	// fetchLimit bounds the wait for an adapter.
	fetchLimit = 600 * time.Millisecond
)

// holding is the state of a lease that this host holds. The host's lock guards it.
type holding struct {
	planner *residency.Planner
	tickets map[uint64]chan bool
	next    uint64
	loads   map[string]reported // by id of the host
}

// reported is the load of one host.
type reported struct {
	at    time.Duration
	loads []dispatch.Load
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
		held = &holding{planner: residency.New(now), tickets: map[uint64]chan bool{}, loads: map[string]reported{}}
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

// fetchHere loads an adapter on an endpoint of a pool whose lease this host holds and reports whether it can be used.
func (h *Host) fetchHere(ctx context.Context, pool string, a dispatch.Adapter, endpoint string) bool {
	h.mu.Lock()
	held := h.holdings[pool]
	if held == nil {
		h.mu.Unlock()
		return false
	}
	held.next++
	answer := make(chan bool, 1)
	held.tickets[held.next] = answer
	held.planner.Want(h.Now(), residency.Ticket{ID: held.next, Endpoint: endpoint, Model: a.Model, Adapter: a.Adapter})
	h.settle(held)
	h.mu.Unlock()
	h.wake()
	timer := time.NewTimer(fetchLimit)
	defer timer.Stop()
	select {
	case loaded := <-answer:
		return loaded
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// fetch asks the holder of the pool's lease for an adapter.
func (h *Host) fetch(ctx context.Context, e dispatch.Fetch) {
	a := dispatch.Adapter{Model: e.Model, Adapter: e.Adapter}
	loaded := false
	holder := h.holderOf(e.Pool)
	client, to, known := h.peerByID(holder)
	started := h.Now()
	switch {
	case holder == h.fleet.self.ID:
		loaded = h.fetchHere(ctx, e.Pool, a, e.Endpoint)
	case known:
		answer, err := client.Fetch(ctx, to, h.sender(), e.Pool, e.Endpoint, e.Model, e.Adapter)
		if err != nil {
			h.log.Info("entry: unable to ask for an adapter", "pool", e.Pool, "holder", holder, "error", err)
		}
		loaded = answer.GetLoaded()
	}
	h.metrics.fetched.Observe((h.Now() - started).Seconds())
	h.log.Info("entry: fetched", "pool", e.Pool, "endpoint", e.Endpoint, "model", e.Model, "adapter", e.Adapter, "holder", holder,
		"loaded", loaded, "took", (h.Now() - started).String())
	h.Apply(dispatch.Fetched{Pool: e.Pool, Endpoint: e.Endpoint, Model: e.Model, Adapter: e.Adapter, Loaded: loaded})
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

// summarize tells the holder of each pool the demand and load of this host and takes the load of the others.
func (h *Host) summarize(ctx context.Context) {
	h.mu.Lock()
	pools := h.enginePools()
	h.mu.Unlock()
	for _, pool := range pools {
		h.mu.Lock()
		request := &peer.SummaryRequest{Header: &peer.Header{From: h.fleet.self.ID}, Pool: pool}
		request.Demands = demandsOf(h.state.Demand(pool))
		request.Loads = loadsOf(h.state.Loads(h.Now(), pool))
		request.After = h.registry.revision
		h.mu.Unlock()
		holder := h.holderOf(pool)
		h.noteHolder(pool)
		if holder == h.fleet.self.ID {
			loads, _ := h.exchange(request)
			h.Apply(dispatch.Observed{Pool: pool, Loads: loadsFrom(loads)})
			continue
		}
		client, to, known := h.peerByID(holder)
		if !known {
			h.answered(pool, false)
			continue
		}
		h.run(func(ctx context.Context) {
			answer, err := client.Report(ctx, to, h.sender(), request)
			h.answered(pool, err == nil)
			if err != nil {
				h.log.Debug("entry: unable to exchange load", "pool", pool, "holder", holder, "error", err)
				return
			}
			h.takeRegistrations(request.GetAfter(), answer)
			h.Apply(dispatch.Observed{Pool: pool, Loads: loadsFrom(answer.GetLoads())})
		})
	}
}

// noteHolder tells the reducer whether adapters can be ordered for a pool.
func (h *Host) noteHolder(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	term := h.termOf(pool)
	_, missed := h.fleet.missed[pool]
	possible := h.holdings[pool] != nil || term.Holder() != "" && term.Holder() != h.fleet.self.ID && !missed
	if possible != h.orderable[pool] {
		h.orderable[pool] = possible
		h.log.Info("entry: adapters can be ordered", "pool", pool, "possible", possible, "holder", term.Holder())
		h.apply(dispatch.Orderable{Pool: pool, Possible: possible})
	}
}

// answered notes whether the holder of a pool's lease has answered.
func (h *Host) answered(pool string, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered {
		delete(h.fleet.missed, pool)
		return
	}
	if _, missed := h.fleet.missed[pool]; !missed {
		h.fleet.missed[pool] = sinceBoot()
	}
}

// exchange takes one host's demand and load and returns the load of all others. It reports false when this host
// does not hold the lease.
func (h *Host) exchange(r *peer.SummaryRequest) ([]*peer.EndpointLoad, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holdings[r.GetPool()]
	if held == nil {
		return nil, false
	}
	now := h.Now()
	tokens := make(map[string]float64, len(r.GetDemands()))
	for _, d := range r.GetDemands() {
		tokens[d.GetModel()] = d.GetTokens()
	}
	held.planner.AddDemand(now, tokens)
	loads := loadsFrom(r.GetLoads())
	for _, l := range loads {
		for _, a := range l.Used {
			held.planner.Used(now, l.Endpoint, a.Model, a.Adapter)
		}
	}
	from := r.GetHeader().GetFrom()
	held.loads[from] = reported{at: now, loads: loads}
	return withRetiring(loadsOf(held.othersLoad(now, from)), held.planner.Retiring()), true
}

// withRetiring adds the models that must not be used any more.
func withRetiring(loads []*peer.EndpointLoad, retiring map[string]string) []*peer.EndpointLoad {
	for _, l := range loads {
		if model, is := retiring[l.Endpoint]; is {
			l.Retiring = model
			delete(retiring, l.Endpoint)
		}
	}
	for endpoint, model := range retiring {
		loads = append(loads, &peer.EndpointLoad{Endpoint: endpoint, Retiring: model})
	}
	return loads
}

// othersLoad sums the load of all hosts but one.
func (held *holding) othersLoad(now time.Duration, except string) []dispatch.Load {
	sums := map[string]dispatch.Load{}
	for id, r := range held.loads {
		if now-r.at > loadLife {
			delete(held.loads, id)
			continue
		}
		if id == except {
			continue
		}
		for _, l := range r.loads {
			sum := sums[l.Endpoint]
			sum.Endpoint = l.Endpoint
			sum.Running += l.Running
			for level, tokens := range l.Backlog {
				sum.Backlog[level] += tokens
			}
			sums[l.Endpoint] = sum
		}
	}
	list := make([]dispatch.Load, 0, len(sums))
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, sums[name])
	}
	return list
}

func demandsOf(tokens map[string]float64) []*peer.Demand {
	list := make([]*peer.Demand, 0, len(tokens))
	for _, model := range slices.Sorted(maps.Keys(tokens)) {
		list = append(list, &peer.Demand{Model: model, Tokens: tokens[model]})
	}
	return list
}

func loadsOf(loads []dispatch.Load) []*peer.EndpointLoad {
	list := make([]*peer.EndpointLoad, 0, len(loads))
	for _, l := range loads {
		wire := &peer.EndpointLoad{Endpoint: l.Endpoint, Running: int64(l.Running), Backlog: l.Backlog[:]}
		for _, a := range l.Used {
			wire.Holdings = append(wire.Holdings, &peer.Holding{Model: a.Model, Adapters: []string{a.Adapter}})
		}
		list = append(list, wire)
	}
	return list
}

func loadsFrom(wire []*peer.EndpointLoad) []dispatch.Load {
	list := make([]dispatch.Load, 0, len(wire))
	for _, w := range wire {
		l := dispatch.Load{Endpoint: w.GetEndpoint(), Running: int(w.GetRunning()), Retiring: w.GetRetiring()}
		copy(l.Backlog[:], w.GetBacklog())
		for _, held := range w.GetHoldings() {
			for _, adapter := range held.GetAdapters() {
				l.Used = append(l.Used, dispatch.Adapter{Model: held.GetModel(), Adapter: adapter})
			}
		}
		list = append(list, l)
	}
	return list
}
