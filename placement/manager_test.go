package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/pool"
)

// smallModel returns the size of a model that fits ten times into an endpoint.
func smallModel(int) int64 { return 10 }

// Guards against models without a replica while others have two, at every step of the first placement, and against both
// replicas of a model in one failure domain.
func TestPlanPlacesEveryModelBeforeSecondReplicas(t *testing.T) {
	sim := newSimulation(6, 12, smallModel)
	for range 60 {
		qt.Assert(t, sim.runFaultless(1), qt.Not(qt.Matches), "e.*")
		once, twice := 0, 0
		for _, model := range sim.pool.Models {
			switch sim.holders(tableItem(model)) {
			case 0:
			case 1:
				once++
			default:
				twice++
			}
		}
		qt.Assert(t, twice == 0 || once+twice == 12, qt.IsTrue)
	}
	for _, model := range sim.pool.Models {
		domains := make(map[string]bool)
		for _, e := range sim.endpoints {
			if _, ok := e.resident[tableItem(model)]; ok {
				domains[e.Domain] = true
			}
		}
		qt.Assert(t, len(domains), qt.Equals, 2, qt.Commentf(model.Name))
	}
}

// Guards against a model without a replica during a version change, after a lower replica count, or while an endpoint leaves.
func TestPlanKeepsModelsReachable(t *testing.T) {
	for name, change := range map[string]func(sim *simulation){
		"version": func(sim *simulation) {
			models := append([]pool.Model(nil), sim.pool.Models...)
			for n := range models {
				models[n].Version = "2"
			}
			sim.pool.Models = models
		},
		"fewer replicas": func(sim *simulation) {
			models := append([]pool.Model(nil), sim.pool.Models...)
			for n := range models {
				models[n].Replicas = 1
			}
			sim.pool.Models = models
		},
		"leaving": func(sim *simulation) { sim.endpoints[1].leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4, 6, smallModel)
			qt.Assert(t, sim.runFaultless(200), qt.Equals, "")
			change(sim)
			sim.manager.SetPool(sim.pool)
			leaving := sim.endpoints[1].leaving
			for range 300 {
				sim.runFaultless(0)
				sim.endpoints[1].leaving = leaving
				sim.runSecond(t)
				for _, model := range sim.pool.Models {
					held := sim.holders(Item{Model: model.Name, Version: "1"}) + sim.holders(Item{Model: model.Name, Version: "2"})
					qt.Assert(t, held > 0, qt.IsTrue, qt.Commentf(model.Name))
				}
			}
			for _, model := range sim.pool.Models {
				count := 0
				for _, e := range sim.endpoints {
					if _, ok := e.resident[tableItem(model)]; ok && !e.leaving {
						count++
					}
				}
				want := max(model.Replicas, 1)
				if model.Replicas == 0 {
					want = 2
				}
				qt.Assert(t, count, qt.Equals, want, qt.Commentf(model.Name))
			}
		})
	}
}

// runSecond advances the time by one second without faults and checks that no endpoint is overcommitted.
func (sim *simulation) runSecond(t *testing.T) {
	sim.advance(time.Second)
	for _, e := range sim.endpoints {
		sim.manager.ApplyReport(sim.now, e.Name, e.report(sim.now))
	}
	for _, o := range sim.plan() {
		e := sim.endpoint(o.Endpoint)
		e.inTransit = append(e.inTransit, sentOrder{o, true})
		sim.deliver(e, len(e.inTransit)-1, true, false)
	}
	qt.Assert(t, sim.overcommittedEndpoint(), qt.Equals, "")
}

// Guards against more model loads than the weight store allows, and against more adapter loads than the limit.
func TestPlanBoundsLoads(t *testing.T) {
	sim := newSimulation(20, 40, smallModel)
	sim.manager.settings.MaxAdapterLoads = 7
	inFlight := make(map[bool]int)
	for second := range 30 {
		sim.advance(time.Second)
		for _, e := range sim.endpoints {
			sim.manager.ApplyReport(sim.now, e.Name, e.report(sim.now))
		}
		for _, o := range sim.plan() {
			if o.Kind == Load {
				inFlight[o.Adapter != ""]++
			} else {
				sim.manager.ResultReceived(sim.now, o.ID, Applied)
			}
		}
		qt.Assert(t, float64(inFlight[false]) <= 1.5*float64(second+1)+1, qt.IsTrue)
		qt.Assert(t, inFlight[false] <= 10, qt.IsTrue)
		qt.Assert(t, inFlight[true] <= 7, qt.IsTrue)
	}
	qt.Assert(t, inFlight[false], qt.Equals, 10)
}

// Guards against replicas that are added and removed with every change of demand.
func TestReplicasFollowDemandWithHysteresis(t *testing.T) {
	sim := newSimulation(6, 1, smallModel)
	sim.manager.settings.TokensPerReplica = 100
	model := sim.pool.Models[0]
	for _, test := range []struct {
		at      time.Duration
		demand  float64
		targets int
	}{
		{0, 100, 2},
		{time.Second, 310, 4},
		{2 * time.Second, 1000, 6},
		{3 * time.Second, 310, 6},
		{4 * time.Second, 90, 6},
		{100 * time.Second, 90, 6},
	} {
		sim.manager.SetDemand(test.at, "m0", test.demand)
		qt.Assert(t, sim.manager.targetReplicas(model), qt.Equals, test.targets, qt.Commentf("%v", test))
	}
	for second := range 3000 {
		sim.manager.SetDemand(time.Duration(100+second)*time.Second, "m0", 90)
	}
	qt.Assert(t, sim.manager.targetReplicas(model), qt.Equals, 2)
}

// Guards against a takeover that reuses memory which an order of the previous lease holder may still take.
func TestTakeoverKeepsRecordedOrdersReserved(t *testing.T) {
	for name, test := range map[string]struct {
		fenced bool
		event  func(m *Manager) // after the takeover and the first report
		memory int64            // reserved at the end, in bytes
	}{
		"unconfirmed": {true, func(*Manager) {}, 90},
		"confirmed":   {true, func(m *Manager) { m.FencingNumberConfirmed(2, "e", 5) }, 0},
		"confirmed, lagging report": {true, func(m *Manager) {
			m.FencingNumberConfirmed(2, "e", 5)
			m.ApplyReport(3, "e", Report{Instance: "a", RequestedAt: 3})
		}, 90},
		"lower confirmed":        {true, func(m *Manager) { m.FencingNumberConfirmed(2, "e", 4) }, 90},
		"number ignored":         {false, func(m *Manager) { m.FencingNumberConfirmed(2, "e", 5) }, 90},
		"report with number":     {true, func(m *Manager) { m.ApplyReport(2, "e", Report{Instance: "a", RequestedAt: 2, FencingNumber: 5}) }, 0},
		"report, number ignored": {false, func(m *Manager) { m.ApplyReport(2, "e", Report{Instance: "a", RequestedAt: 2, FencingNumber: 5}) }, 90},
		"restart":                {false, func(m *Manager) { m.ApplyReport(2, "e", Report{Instance: "b", RequestedAt: 2}) }, 90},
		"rejected, late duplicate": {false, func(m *Manager) {
			m.ApplyReport(2, "e", Report{Instance: "a", RequestedAt: 2, Results: []OrderResult{{"4-1", Rejected}}})
		}, 90},
		"rejected, settled": {false, func(m *Manager) {
			m.ApplyReport(2, "e", Report{Instance: "a", RequestedAt: 2, Results: []OrderResult{{"4-1", Rejected}}})
			m.ApplyReport(time.Hour, "e", Report{Instance: "a", RequestedAt: time.Hour})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			o := Order{ID: "4-1", Endpoint: "e", Kind: Load, Model: "m", Version: "1", Memory: 90, FencingNumber: 4, Sequence: 1}
			m := New(0, Settings{}, 5, []Record{{Order: o}})
			m.SetPool(pool.Pool{Endpoints: []pool.Endpoint{{Name: "e", Memory: 100, ChecksFencing: test.fenced}}})
			m.ApplyReport(1, "e", Report{Instance: "a", RequestedAt: 1})
			test.event(m)
			m.ApplyReport(2*time.Hour, "e", Report{Instance: "b", RequestedAt: 0}) // ignored: requested before the last report
			if test.memory == 0 {
				now := max(m.ledgers["e"].reportRequestedAt, 3)
				m.ApplyReport(now, "e", Report{Instance: m.ledgers["e"].instance, RequestedAt: now, FencingNumber: 5})
			}
			qt.Assert(t, m.UsedMemory("e"), qt.Equals, test.memory)
		})
	}
}

// Guards against two orders without a result on an endpoint that ignores fencing numbers.
func TestPlanSendsOneOrderWhereFencingIsIgnored(t *testing.T) {
	sim := newSimulation(2, 6, smallModel)
	sim.manager.settings.ModelLoadRate = 100
	for range 30 {
		sim.advance(time.Second)
		for _, e := range sim.endpoints {
			sim.manager.ApplyReport(sim.now, e.Name, e.report(sim.now))
		}
		sim.plan()
		qt.Assert(t, sim.manager.ledgers["e1"].openOrders() <= 1, qt.IsTrue)
	}
	qt.Assert(t, sim.manager.ledgers["e1"].openOrders(), qt.Equals, 1)
}

// BenchmarkPlan measures one planning pass of a settled pool.
func BenchmarkPlan(b *testing.B) {
	for _, size := range [][2]int{{12, 20}, {18, 30}, {190, 100}} {
		b.Run(fmt.Sprintf("endpoints=%d/models=%d", size[0], size[1]), func(b *testing.B) {
			sim := newSimulation(size[0], size[1], smallModel)
			sim.manager.settings.ModelLoadRate = 1000
			sim.manager.settings.MaxModelLoads = 1000
			sim.runFaultless(100)
			b.ReportAllocs()
			for b.Loop() {
				sim.manager.Plan(sim.now)
			}
		})
	}
}
