package host

import (
	"context"
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/peer"
	"magnoliahoist/replica"
	"magnoliahoist/state"
)

const (
	// summaryInterval is how often the summary of a pool is requested.
	summaryInterval = time.Second
	// maxSummaryAge is the age beyond which the lease holder leaves a report out of its summary.
	maxSummaryAge = 3 * time.Second
)

// watchSummaries requests the summaries of the model pools from their lease holders once per summaryInterval. Without a new
// summary the host uses the loads that it knows, whose weight decreases with their age.
func (h *Host) watchSummaries() error {
	return h.runEvery(summaryInterval, h.requestSummaries)
}

// requestSummaries requests the summary of every model pool whose lease another host holds.
func (h *Host) requestSummaries() {
	view := h.View()
	for _, entry := range view.Pools() {
		if row, found := view.LeaseOf(entry.Name); found && isModelPool(entry) && row.Holder != h.id {
			h.requestSummary(view, entry.Name, row.Holder)
		}
	}
}

// requestSummary starts reading the summary of a pool from its lease holder, unless the holder is not a member.
func (h *Host) requestSummary(view *replica.View, pool, holder string) {
	member, known := view.MemberByID(holder)
	if !known {
		return
	}
	h.spawn(func(ctx context.Context) { h.readSummary(ctx, pool, member) })
}

// readSummary sends this host's demand to the lease holder of a pool, reads the loads of the pool's endpoints and passes them
// to the state machine. It ignores the loads if the holder has changed meanwhile.
func (h *Host) readSummary(ctx context.Context, pool string, holder replica.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	startedAt := h.Now()
	response, err := h.peers.Summary(ctx, peerTarget(holder.ID, holder.Address), h.peerSender(), pool, h.demandMessages(pool))
	if err != nil {
		h.log.Debug("host: unable to read the summary", "pool", pool, "error", err)
		return
	}
	h.advanceClock(response.GetReply().GetStamp())
	if row, found := h.View().LeaseOf(pool); !found || row.Holder != holder.ID || len(response.GetLoads()) == 0 {
		return
	}
	h.Apply(state.LoadsReported{Pool: pool, Endpoints: decodeLoads(startedAt, response.GetLoads())})
}

// decodeLoads converts the loads of a summary that was requested at requestedAt.
func decodeLoads(requestedAt time.Duration, loads []*peer.EndpointLoad) []state.EndpointLoad {
	list := make([]state.EndpointLoad, len(loads))
	for n, l := range loads {
		list[n] = state.EndpointLoad{
			Endpoint: l.GetEndpoint(),
			Report: endpoint.Report{
				Running: int(l.GetRunning()),
				Waiting: int(l.GetWaiting()),
				TakenAt: requestedAt - time.Duration(l.GetAge()),
			},
			Leaving: l.GetLeaving(),
		}
		for _, resident := range l.GetHoldings() {
			list[n].ResidentModels = append(list[n].ResidentModels,
				endpoint.ResidentModel{Model: resident.GetModel(), Version: resident.GetVersion(), Adapters: resident.GetAdapters()})
		}
	}
	return list
}

// Summary records the calling host's demand and returns the loads of a pool's endpoints. It returns no loads if this host
// may not use the pool's lease.
func (s *peerService) Summary(ctx context.Context, r *peer.SummaryRequest) (*peer.SummaryResponse, error) {
	response := &peer.SummaryResponse{Reply: s.reply(r.GetHeader())}
	m := s.host.poolManagers.forPool(r.GetPool())
	if m == nil || !m.mayUseLease() {
		return response, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := s.host.Now()
	m.recordDemand(now, r)
	for _, load := range m.loads {
		if age := now - load.Report.TakenAt; age <= maxSummaryAge {
			response.Loads = append(response.Loads, encodeLoad(load, age))
		}
	}
	return response, nil
}

// recordDemand records the demand that another host reports in its request. The caller must hold m.mu.
func (m *poolManager) recordDemand(now time.Duration, r *peer.SummaryRequest) {
	d := hostDemand{receivedAt: now, rates: make(map[string]float64, len(r.GetDemands()))}
	for _, demand := range r.GetDemands() {
		d.rates[demand.GetModel()] += max(demand.GetTokens(), 0)
	}
	m.hostDemands[r.GetHeader().GetFrom()] = d
}

// encodeLoad converts the load of an endpoint to a message; age is the age of its report.
func encodeLoad(load state.EndpointLoad, age time.Duration) *peer.EndpointLoad {
	message := &peer.EndpointLoad{
		Endpoint: load.Endpoint,
		Running:  int64(load.Report.Running),
		Waiting:  int64(load.Report.Waiting),
		Age:      int64(age),
		Leaving:  load.Leaving,
	}
	for _, resident := range load.ResidentModels {
		message.Holdings = append(message.Holdings, &peer.Holding{Model: resident.Model, Version: resident.Version, Adapters: resident.Adapters})
	}
	return message
}
