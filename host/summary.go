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
	// summaryPeriod is the time between two requests for a pool's summary.
	summaryPeriod = time.Second
	// summaryLife is the age beyond which the holder's reports are not passed on.
	summaryLife = 3 * time.Second
)

// watchSummaries asks the lease holders of the model pools for their summaries once a second.
// Without a summary the host relies on what it knows; loads lose their weight with their age.
func (h *Host) watchSummaries() error {
	return h.every(summaryPeriod, h.askSummaries)
}

func (h *Host) askSummaries() {
	view := h.View()
	for _, entry := range view.Pools() {
		if row, found := view.LeaseOf(entry.Name); found && isModelPool(entry) && row.Holder != h.id {
			h.askSummary(view, entry.Name, row.Holder)
		}
	}
}

func (h *Host) askSummary(view *replica.View, pool, holder string) {
	member, known := view.MemberByID(holder)
	if !known {
		return
	}
	h.run(func(ctx context.Context) { h.readSummary(ctx, pool, member) })
}

// readSummary applies what the lease holder knows of a pool.
func (h *Host) readSummary(ctx context.Context, pool string, holder replica.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	started := h.Now()
	answer, err := h.peers.Summary(ctx, target(holder.ID, holder.Address), h.sender(), pool, h.demandsOf(pool))
	if err != nil {
		h.log.Debug("host: unable to read summary", "pool", pool, "error", err)
		return
	}
	h.observe(answer.GetReply().GetStamp())
	if row, found := h.View().LeaseOf(pool); !found || row.Holder != holder.ID || len(answer.GetLoads()) == 0 {
		return
	}
	h.Apply(state.Reported{Pool: pool, Endpoints: loadsOf(started, answer.GetLoads())})
}

// loadsOf decodes a summary that was asked for at a time.
func loadsOf(asked time.Duration, loads []*peer.EndpointLoad) []state.Load {
	list := make([]state.Load, len(loads))
	for n, l := range loads {
		list[n] = state.Load{
			Endpoint: l.GetEndpoint(),
			Report: endpoint.Report{
				Running: int(l.GetRunning()),
				Waiting: int(l.GetWaiting()),
				Taken:   asked - time.Duration(l.GetAge()),
			},
			Leaving: l.GetLeaving(),
		}
		for _, held := range l.GetHoldings() {
			list[n].Holding = append(list[n].Holding,
				endpoint.Holding{Model: held.GetModel(), Version: held.GetVersion(), Adapters: held.GetAdapters()})
		}
	}
	return list
}

// Summary returns what this host knows of a pool's endpoints when it may use the pool's lease.
func (s *peerService) Summary(ctx context.Context, r *peer.SummaryRequest) (*peer.SummaryResponse, error) {
	response := &peer.SummaryResponse{Reply: s.reply(r.GetHeader())}
	m := s.host.managers.of(r.GetPool())
	if m == nil || !m.usable() {
		return response, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := s.host.Now()
	m.noteDemand(now, r)
	for _, load := range m.loads {
		if age := now - load.Report.Taken; age <= summaryLife {
			response.Loads = append(response.Loads, encodeLoad(load, age))
		}
	}
	return response, nil
}

// noteDemand records the demand on another host. The lock is held.
func (m *manager) noteDemand(now time.Duration, r *peer.SummaryRequest) {
	d := hostDemand{at: now, tokens: make(map[string]float64, len(r.GetDemands()))}
	for _, one := range r.GetDemands() {
		d.tokens[one.GetModel()] += max(one.GetTokens(), 0)
	}
	m.demands[r.GetHeader().GetFrom()] = d
}

func encodeLoad(load state.Load, age time.Duration) *peer.EndpointLoad {
	message := &peer.EndpointLoad{
		Endpoint: load.Endpoint,
		Running:  int64(load.Report.Running),
		Waiting:  int64(load.Report.Waiting),
		Age:      int64(age),
		Leaving:  load.Leaving,
	}
	for _, held := range load.Holding {
		message.Holdings = append(message.Holdings, &peer.Holding{Model: held.Model, Version: held.Version, Adapters: held.Adapters})
	}
	return message
}
