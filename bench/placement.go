package bench

import (
	"math"

	"magnoliahoist/endpoint"
	"magnoliahoist/placement"
	"magnoliahoist/state"
)

// runPlacement does the work of the placement lease's holder for one period: it hands the endpoints' reports to the placement manager and the
// hosts, plans, and sends the orders. Without a lease holder it does nothing.
func (r *run) runPlacement() {
	entry := modelPool(r.Pools)
	fencingNumber, found := int64(0), false
	for _, host := range r.nodes {
		if !host.down {
			if n, ok := host.state.LeaseFencingNumber(r.now, entry.Name); ok {
				fencingNumber, found = n, true
			}
		}
	}
	if !found {
		return
	}
	if r.manager == nil || fencingNumber != r.fencingNumber {
		r.takeOverPlacement(fencingNumber)
	}
	r.deliverReports(entry.Name)
	decay := math.Exp(-reportPeriod.Seconds() / demandWindow.Seconds())
	for _, model := range entry.Models {
		r.manager.SetDemand(r.now, model.Name, r.demandTokens[model.Name]/demandWindow.Seconds())
		r.demandTokens[model.Name] *= decay
	}
	if r.variant.StaticPlacement && r.now > warmUp {
		return
	}
	for _, o := range r.manager.Plan(r.now) {
		r.sendOrder(o)
	}
}

// takeOverPlacement starts a placement manager under a new fencing number with the records of the previous one.
func (r *run) takeOverPlacement(fencingNumber int64) {
	var records []placement.Record
	if r.manager != nil {
		for _, name := range r.engineNames {
			records = append(records, r.manager.Records(name)...)
		}
	}
	r.fencingNumber = fencingNumber
	r.manager = placement.New(r.now, placement.Settings{
		ModelLoadRate: r.ModelLoadRate, MaxModelLoads: r.MaxModelLoads, MaxAdapterLoads: r.MaxAdapterLoads, TokensPerReplica: tokensPerReplica,
	}, fencingNumber, records)
	r.manager.SetPool(modelPool(r.Pools))
}

// deliverReports hands the endpoints' reports to the placement manager at once and to the hosts after reportLag.
func (r *run) deliverReports(pool string) {
	reports := state.LoadsReported{Pool: pool}
	for _, name := range r.engineNames {
		e := r.engines[name]
		if e.down {
			continue
		}
		r.manager.ApplyReport(r.now, name, e.placementReport())
		e.results = nil
		reports.Endpoints = append(reports.Endpoints, state.EndpointLoad{
			Endpoint:       name,
			Report:         endpoint.Report{Running: len(e.batch), Waiting: len(e.waiting), TakenAt: r.now},
			ResidentModels: e.residentModels(),
		})
	}
	for _, host := range r.nodes {
		r.applyEventAfter(host, reportLag, reports)
	}
}

// sendOrder sends an order to its endpoint, or loses it with the probability that the input gives.
func (r *run) sendOrder(o placement.Order) {
	manager := r.manager
	manager.RequestStarted(r.now, o.ID)
	if r.now >= warmUp && o.Kind == placement.Load && o.Adapter == "" {
		r.modelLoads++
	}
	if r.random.Float64() < r.input.OrderLossProbability {
		r.after(reportPeriod, func() { manager.ResultUnknown(r.now, o.ID) })
		return
	}
	r.after(r.DomainDelay, func() {
		e := r.engines[o.Endpoint]
		if e.down {
			manager.ResultUnknown(r.now, o.ID)
			return
		}
		e.executeOrder(o, func(result placement.Result) { manager.ResultReceived(r.now, o.ID, result) })
	})
}
