package bench

import (
	"math"

	"magnoliahoist/endpoint"
	"magnoliahoist/placement"
	"magnoliahoist/state"
)

// place does the work of the lease holder for one period: reports, plan and orders, load for the other hosts.
func (r *run) place() {
	entry := modelPool(r.Pools)
	number, held := int64(0), false
	for _, x := range r.nodes {
		if !x.down {
			if n, ok := x.state.Lease(r.now, entry.Name); ok {
				number, held = n, true
			}
		}
	}
	if !held {
		return
	}
	if r.manager == nil || number != r.number {
		r.takeOver(number)
	}
	r.observe(entry.Name)
	decay := math.Exp(-reportPeriod.Seconds() / demandWindow.Seconds())
	for _, model := range entry.Models {
		r.manager.SetDemand(r.now, model.Name, r.asked[model.Name]/demandWindow.Seconds())
		r.asked[model.Name] *= decay
	}
	if r.variant.Static && r.now > warm {
		return
	}
	for _, o := range r.manager.Plan(r.now) {
		r.order(o)
	}
}

func (r *run) takeOver(number int64) {
	var records []placement.Record
	if r.manager != nil {
		for _, name := range r.names {
			records = append(records, r.manager.Records(name)...)
		}
	}
	r.number = number
	r.manager = placement.New(r.now, placement.Settings{
		WeightRate: r.Weights, WeightFull: r.Full, AdapterKnee: r.Knee, ReplicaTokens: replicaTokens,
	}, number, records)
	r.manager.SetPool(modelPool(r.Pools))
}

// observe hands the endpoints' reports to placement and, later, to the hosts.
func (r *run) observe(pool string) {
	reported := state.Reported{Pool: pool}
	for _, name := range r.names {
		e := r.engines[name]
		if e.down {
			continue
		}
		r.manager.Observe(r.now, name, e.report())
		e.results = nil
		reported.Endpoints = append(reported.Endpoints, state.Load{
			Endpoint: name,
			Report:   endpoint.Report{Running: len(e.batch), Waiting: len(e.waiting), Taken: r.now},
			Holding:  e.holding(),
		})
	}
	for _, x := range r.nodes {
		r.later(x, reportLag, reported)
	}
}

func (r *run) order(o placement.Order) {
	manager := r.manager
	manager.Sent(r.now, o.ID)
	if r.now >= warm && o.Kind == placement.Load && o.Adapter == "" {
		r.moves++
	}
	if r.random.Float64() < r.input.OrderLoss {
		r.after(reportPeriod, func() { manager.Lost(r.now, o.ID) })
		return
	}
	r.after(r.Delay, func() {
		e := r.engines[o.Endpoint]
		if e.down {
			manager.Lost(r.now, o.ID)
			return
		}
		e.order(o, func(result placement.Result) { manager.Answered(r.now, o.ID, result) })
	})
}
