package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
	"magnoliahoist/platform"
	"magnoliahoist/residency"
	"magnoliahoist/speed"
	"magnoliahoist/table"
)

// Bounds of the interval at which hosts send their load to the lease holders and get the load of the other hosts. The lease holder
// answers every host, and its traffic grows with hosts times endpoints, so the interval grows by loadExchangeStep for each host above
// smallFleet.
const (
	minLoadExchangeInterval = 100 * time.Millisecond
	maxLoadExchangeInterval = 300 * time.Millisecond
	loadExchangeStep        = 1150 * time.Microsecond
	smallFleet              = 30
)

// loadExchangeInterval returns the interval for a number of hosts.
func loadExchangeInterval(hosts int) time.Duration {
	return min(minLoadExchangeInterval+loadExchangeStep*time.Duration(max(hosts-smallFleet, 0)), maxLoadExchangeInterval)
}

// runLoadExchange exchanges load until the host stops.
func (h *Host) runLoadExchange() error {
	for {
		h.mu.Lock()
		interval := loadExchangeInterval(len(h.fleet.members))
		h.mu.Unlock()
		h.sleep(interval)
		select {
		case <-h.tomb.Dying():
			return nil
		default:
			h.exchangeLoads()
		}
	}
}

// exchangeLoads sends this host's demand and load to the lease holder of each pool and gets the load of the other
// hosts.
func (h *Host) exchangeLoads() {
	h.mu.Lock()
	pools := h.enginePools()
	h.mu.Unlock()
	for _, pool := range pools {
		h.updateOrderable(pool)
		h.exchangePoolLoad(pool)
	}
}

// exchangePoolLoad exchanges load for one pool. It does nothing while an earlier exchange has not ended, so that calls to a
// slow host don't pile up; what is to be reported then waits for the next exchange.
func (h *Host) exchangePoolLoad(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fleet.exchanging[pool] {
		return
	}
	if h.holdings[pool] != nil {
		others, _ := h.recordUse(pool, h.fleet.self.ID, h.takeUse(pool))
		h.apply(dispatch.LoadsReported{Pool: pool, Loads: others})
		return
	}
	to, known := h.exchangeTarget(pool)
	client := h.fleet.client
	if !known || client == nil {
		h.markUnresponsive(pool)
		return
	}
	use := h.takeUse(pool)
	request := &peer.SummaryRequest{
		Pool: pool, Demands: demandsToWire(use.demand), Loads: loadsToWire(use.loads), Unserved: adaptersToWire(use.unserved),
		EndpointsAfter: h.registry.revision, MembersAfter: h.fleet.rows.revision, Deputies: true,
	}
	h.fleet.exchanging[pool] = true
	sent := h.addCrashes(request, to.ID)
	asHolder := to.ID == h.believedHolder(pool)
	h.spawn(func(ctx context.Context) {
		response, err := client.ReportLoad(ctx, to, h.sender(), request)
		h.receiveCrashes(to.ID, sent, response, err)
		h.handleExchange(pool, to.ID, asHolder, response, err)
	})
}

// takeUse returns this host's use of a pool since the last call. The caller holds the lock.
func (h *Host) takeUse(pool string) poolUse {
	return poolUse{demand: h.state.TakeDemand(pool), loads: h.state.TakeLoads(h.Now(), pool), unserved: h.state.TakeUnserved(pool)}
}

// handleExchange applies the response of a lease holder or deputy, which is the host with the id from. asHolder says that
// this host took it for the lease holder when it sent the request.
func (h *Host) handleExchange(pool, from string, asHolder bool, response *peer.SummaryResponse, err error) {
	h.mu.Lock()
	delete(h.fleet.exchanging, pool)
	if asHolder && from == h.believedHolder(pool) {
		h.countExchange(pool, from, response, err)
	}
	h.mu.Unlock()
	if err != nil {
		h.log.Debug("entry: unable to exchange load", "pool", pool, "with", from, "error", err)
		return
	}
	h.mu.Lock()
	h.markView(from, response.GetMembers().GetRevision())
	h.mu.Unlock()
	source := from
	if response.GetDeputy() {
		source = deputySource
	}
	h.applyReportedChanges(source, response)
	h.noteConfiguration(source, response.GetConfiguration())
	if response.GetDeputy() {
		h.noteDeputyResponse(pool, from, response.GetHolder())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if from != h.believedHolder(pool) {
		h.fleet.namedHolders[pool] = from // a deputy that has acquired the lease since
	}
	delete(h.fleet.unresponsiveSince, pool)
	h.apply(dispatch.LoadsReported{Pool: pool, Loads: loadsFromWire(response.GetLoads())})
}

// applyReportedChanges merges the changes of endpoints and hosts that a lease holder or deputy reports. The source is the
// holder's id or deputySource.
func (h *Host) applyReportedChanges(source string, response *peer.SummaryResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mergeHolderChanges(platform.EndpointTable, &h.registry.tableCopy, source, response.GetEndpoints(), h.applyEndpointRows) {
		h.directory.SetReachable(h.Now())
	}
	h.mergeHolderChanges(fleetTable, &h.fleet.rows, source, response.GetMembers(), h.applyFleetRows)
}

// mergeHolderChanges merges the changes of one table that a lease holder reports, and reports whether the copy now
// counts as current. Changes without a confirmation time confirm nothing. The caller holds the lock.
func (h *Host) mergeHolderChanges(name string, c *tableCopy, holder string, changes *peer.Changes, changed func(rows []table.Row)) bool {
	currentAt, dated := h.store.LocalTime(time.Duration(changes.GetClock()))
	if !dated {
		currentAt = c.holderCurrentAt
	}
	now := h.Now()
	fresh, current := c.mergeFromHolder(now, min(currentAt, now), changes)
	if current {
		h.setSource(name, c, holder)
	}
	if len(fresh) > 0 {
		changed(fresh)
	}
	return current
}

// updateOrderable tells the state machine when it changes whether adapters can be ordered for a pool.
func (h *Host) updateOrderable(pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	holder := h.respondingHolder(pool)
	possible := holder != "" && h.fleet.failedExchanges[holder] == 0
	if possible != h.orderable[pool] {
		h.orderable[pool] = possible
		h.log.Info("entry: availability of adapter orders changed", "pool", pool, "possible", possible, "holder", h.believedHolder(pool))
		h.apply(dispatch.AdapterOrdersChanged{Pool: pool, Possible: possible})
	}
}

// poolUse is what one host reports of its callers' use of a pool.
type poolUse struct {
	demand   map[string]float64 // prompt tokens by model
	loads    []dispatch.Load
	unserved []dispatch.Adapter // adapters that no endpoint could load
}

// recordUse records a host's use of a pool. It returns the load of all other hosts, with the notices
// about engines that registrations don't contain. It returns false if this host does not hold the lease or if the lease
// expired while the machine was suspended. The caller holds the lock.
func (h *Host) recordUse(pool, from string, use poolUse) ([]dispatch.Load, bool) {
	held := h.holdings[pool]
	if held == nil || !h.leaseOf(pool).MayAct(sinceBoot()) {
		return nil, false
	}
	now := h.Now()
	held.planner.AddDemand(now, use.demand)
	for _, a := range use.unserved {
		held.planner.RecordUnserved(now, a.Model, a.Adapter)
	}
	for _, l := range use.loads {
		for _, a := range l.UsedAdapters {
			held.planner.RecordAdapterUse(now, l.Endpoint, a.Model, a.Adapter)
		}
	}
	h.markHeard(from)
	return addNotices(held.loads.Exchange(now, from, use.loads), held.planner.Notices(now)), true
}

// addNotices adds the planner's notices about engines to the load.
func addNotices(loads []dispatch.Load, notices map[string]residency.Notice) []dispatch.Load {
	for i := range loads {
		if n, found := notices[loads[i].Endpoint]; found {
			loads[i].Retiring, loads[i].Loading = n.Retiring, n.ChangingModel
			delete(notices, loads[i].Endpoint)
		}
	}
	for endpoint, n := range notices {
		loads = append(loads, dispatch.Load{Endpoint: endpoint, Retiring: n.Retiring, Loading: n.ChangingModel})
	}
	return loads
}

func demandsToWire(tokens map[string]float64) []*peer.Demand {
	list := make([]*peer.Demand, 0, len(tokens))
	for _, model := range slices.Sorted(maps.Keys(tokens)) {
		list = append(list, &peer.Demand{Model: model, Tokens: tokens[model]})
	}
	return list
}

func demandsFromWire(wire []*peer.Demand) map[string]float64 {
	tokens := make(map[string]float64, len(wire))
	for _, d := range wire {
		if d.GetTokens() > 0 { // false for NaN
			tokens[d.GetModel()] = min(d.GetTokens(), maxReportedTokens)
		}
	}
	return tokens
}

// Bounds on the numbers in a load report of another host. They are far above those of any host, and small enough that the sums over
// all hosts are in range.
const (
	maxReportedTokens   = 1e9 // of demand or backlog
	maxReportedRunning  = 1e5
	maxReportedDuration = time.Hour
)

// clampReported returns a number of a load report, moved into the range from 0 to a bound.
func clampReported(value, bound int64) int64 { return min(max(value, 0), bound) }

// reportedMicroseconds returns a duration of a load report.
func reportedMicroseconds(value int64) time.Duration {
	return time.Duration(clampReported(value, maxReportedDuration.Microseconds())) * time.Microsecond
}

// slownessUnit is how many units of the field slowness on the wire make up slowness 1.
const slownessUnit = 1000

func loadsToWire(loads []dispatch.Load) []*peer.EndpointLoad {
	list := make([]*peer.EndpointLoad, 0, len(loads))
	for _, l := range loads {
		wire := &peer.EndpointLoad{Endpoint: l.Endpoint, Running: int64(l.Running), Backlog: l.Backlog[:], Retiring: l.Retiring, Loading: l.Loading}
		wire.Holdings = adaptersToWire(l.UsedAdapters)
		wire.PrefillMeasured, wire.PrefillExpected = l.Prefill.Measured.Microseconds(), l.Prefill.Expected.Microseconds()
		wire.Slowness = int64(l.Slowness * slownessUnit)
		list = append(list, wire)
	}
	return list
}

func loadsFromWire(wire []*peer.EndpointLoad) []dispatch.Load {
	list := make([]dispatch.Load, 0, len(wire))
	for _, w := range wire {
		l := dispatch.Load{Endpoint: w.GetEndpoint(), Running: int(clampReported(w.GetRunning(), maxReportedRunning)), Retiring: w.GetRetiring(), Loading: w.GetLoading()}
		for level, tokens := range w.GetBacklog()[:min(len(w.GetBacklog()), len(l.Backlog))] {
			l.Backlog[level] = clampReported(tokens, maxReportedTokens)
		}
		l.UsedAdapters = adaptersFromWire(w.GetHoldings())
		l.Prefill = speed.Sample{Measured: reportedMicroseconds(w.GetPrefillMeasured()), Expected: reportedMicroseconds(w.GetPrefillExpected())}
		l.Slowness = float64(w.GetSlowness()) / slownessUnit
		list = append(list, l)
	}
	return list
}

func adaptersToWire(adapters []dispatch.Adapter) []*peer.Holding {
	list := make([]*peer.Holding, 0, len(adapters))
	for _, a := range adapters {
		list = append(list, &peer.Holding{Model: a.Model, Adapters: []string{a.Adapter}})
	}
	return list
}

func adaptersFromWire(wire []*peer.Holding) []dispatch.Adapter {
	var list []dispatch.Adapter
	for _, held := range wire {
		for _, adapter := range held.GetAdapters() {
			list = append(list, dispatch.Adapter{Model: held.GetModel(), Adapter: adapter})
		}
	}
	return list
}
