package residency_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/directory"
	"magnoliahoist/residency"
)

// simulation drives a planner against simulated engines.
type simulation struct {
	planner     *residency.Planner
	engines     []*simEngine
	now         time.Duration
	outcome     func(o residency.Order) (lost, late bool) // lost: carried out, but the response is lost; late: carried out 3 s later, without a response
	orders      []residency.Order
	lastRequest uint64
}

func newSimulation(engines ...*simEngine) *simulation {
	sim := &simulation{planner: residency.New(0, 0), engines: engines, outcome: func(residency.Order) (bool, bool) { return false, false }}
	sim.planner.SetPool(testPool())
	return sim
}

// step advances the time by 100 ms and executes the orders that the planner returns.
func (sim *simulation) step() {
	sim.now += 100 * time.Millisecond
	var list []directory.Endpoint
	for _, e := range sim.engines {
		e.advance(sim.now)
		list = append(list, e.registration(sim.now))
	}
	sim.planner.SetEndpoints(sim.now, list)
	for _, e := range sim.planner.DueReports(sim.now) {
		sim.planner.ApplyReport(sim.now, e.ID, sim.engine(e.ID).report(sim.now))
	}
	for _, o := range sim.planner.DueOrders(sim.now) {
		sim.orders = append(sim.orders, o)
		lost, late := sim.outcome(o)
		switch {
		case late:
			e := sim.engine(o.Endpoint)
			e.delayed = append(e.delayed, delayedOrder{sim.now + 3*time.Second, o})
			sim.planner.ApplyResult(sim.now, o, residency.Unanswered)
		case lost:
			sim.engine(o.Endpoint).execute(sim.now, o)
			sim.planner.ApplyResult(sim.now, o, residency.Unanswered)
		default:
			sim.planner.ApplyResult(sim.now, o, sim.engine(o.Endpoint).execute(sim.now, o))
		}
	}
}

func (sim *simulation) engine(id string) *simEngine {
	for _, e := range sim.engines {
		if e.id == id {
			return e
		}
	}
	panic("no engine " + id)
}

// run advances the time by d with a demand in prompt tokens per second by model.
func (sim *simulation) run(d time.Duration, demand map[string]float64) {
	for end := sim.now + d; sim.now < end; {
		perStep := map[string]float64{}
		for m, rate := range demand {
			perStep[m] = rate / 10
		}
		sim.planner.AddDemand(sim.now, perStep)
		sim.step()
	}
}

func (sim *simulation) requestAdapter(endpoint, model, adapter string) {
	sim.lastRequest++
	sim.planner.RequestAdapter(sim.now, residency.AdapterRequest{ID: sim.lastRequest, Endpoint: endpoint, Model: model, Adapter: adapter})
}

// holders returns the number of engines that hold the model.
func (sim *simulation) holders(model string) int {
	count := 0
	for _, e := range sim.engines {
		if _, held := e.models[model]; held {
			count++
		}
	}
	return count
}

// TestNeverTooMuch guards against loading more than an engine's memory holds, with shifting demand, lost responses, orders that
// are carried out late, and engines that restart.
func TestNeverTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(newSimEngine("e1", "m1", "m2", "m3"), newSimEngine("e2", "m1", "m4"), newSimEngine("e3", "m1", "m5", "m6"))
		sim.outcome = func(residency.Order) (bool, bool) {
			switch rapid.IntRange(0, 7).Draw(t, "fate") {
			case 0:
				return true, false
			case 1:
				return false, true
			default:
				return false, false
			}
		}
		for range rapid.IntRange(5, 30).Draw(t, "turns") {
			model := fmt.Sprint("m", rapid.IntRange(1, 6).Draw(t, "model"))
			switch rapid.IntRange(0, 4).Draw(t, "turn") {
			case 0:
				sim.engines[rapid.IntRange(0, 2).Draw(t, "engine")].restart()
			case 1, 2:
				sim.requestAdapter(fmt.Sprint("e", rapid.IntRange(1, 3).Draw(t, "engine")), model, fmt.Sprint("a", rapid.IntRange(1, 9).Draw(t, "adapter")))
			}
			sim.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps"))*100*time.Millisecond, map[string]float64{model: 20_000})
			for _, e := range sim.engines {
				if e.overcommitted {
					t.Fatalf("%s was ordered to load more than its memory holds", e.id)
				}
			}
		}
	})
}

// TestFollowsDemand guards against a model that keeps one replica when its demand needs several, and against unloading
// the last replica of another model.
func TestFollowsDemand(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2", "m3"), newSimEngine("e2", "m1", "m4"), newSimEngine("e3", "m1", "m5", "m6"))
	sim.run(5*time.Second, map[string]float64{"m1": 5_000})
	sim.run(20*time.Second, map[string]float64{"m5": 20_000})
	qt.Check(t, sim.holders("m5") >= 2, qt.IsTrue, qt.Commentf("%d holders", sim.holders("m5")))
	for _, m := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		qt.Check(t, sim.holders(m) >= 1, qt.IsTrue, qt.Commentf("%s", m))
	}
}

// TestLastServingReplica guards against unloading the only serving replica of a model while another replica is still
// loading.
func TestLastServingReplica(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2", "m3"), newSimEngine("e2", "m1", "m4", "m2"), newSimEngine("e3", "m1", "m5", "m6"))
	sim.run(3*time.Second, map[string]float64{"m1": 5_000})
	for turn := range 12 {
		model := fmt.Sprint("m", 2+turn%5)
		for range 20 {
			sim.run(100*time.Millisecond, map[string]float64{model: 40_000})
			for _, m := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
				qt.Assert(t, sim.holders(m) >= 1, qt.IsTrue, qt.Commentf("%s at %v", m, sim.now))
			}
		}
	}
}

// TestEveryModelReachable guards against models that no engine holds after their only engine has restarted.
func TestEveryModelReachable(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2"), newSimEngine("e2", "m3", "m4"), newSimEngine("e3", "m5", "m6"))
	sim.run(3*time.Second, nil)
	sim.engines[2].restart()
	sim.run(25*time.Second, nil)
	for _, m := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		qt.Check(t, sim.holders(m) >= 1, qt.IsTrue, qt.Commentf("%s", m))
	}
}

// TestReplacesAtOnce guards against a model in use that stays without a replica because other engines restart:
// the planner waits for registrations only just after the host began to follow the registry.
func TestReplacesAtOnce(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2"), newSimEngine("e2", "m3", "m4"), newSimEngine("e3", "m5", "m6"))
	sim.run(12*time.Second, map[string]float64{"m1": 10_000})
	sim.engines[0].restart()
	restarts := 0
	for end := sim.now + 15*time.Second; sim.now < end; {
		sim.run(time.Second, map[string]float64{"m1": 10_000})
		if restarts++; restarts < 12 && restarts%3 == 0 {
			sim.engines[2].restart()
		}
	}
	qt.Check(t, sim.holders("m1") >= 1, qt.IsTrue)
}

// TestLastTwoReplicas guards against unloading both replicas of a model at the same time, each on the grounds that the other
// remains.
func TestLastTwoReplicas(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2", "m3"), newSimEngine("e2", "m1", "m2", "m4"), newSimEngine("e3", "m5", "m6"))
	demand := map[string]float64{"m1": 100, "m2": 8_000, "m5": 20_000, "m6": 20_000}
	sim.run(13*time.Second, demand)
	sim.engines = sim.engines[:2]
	for range 80 {
		sim.run(100*time.Millisecond, demand)
		qt.Assert(t, sim.holders("m1") >= 1, qt.IsTrue, qt.Commentf("%v: %v", sim.now, sim.orders))
	}
}

// TestTakeover guards against a new lease holder that waits for engines to register although it has long
// followed the registry and only some engines are being replaced.
func TestTakeover(t *testing.T) {
	engines := []*simEngine{newSimEngine("e1", "m1", "m2"), newSimEngine("e2", "m3", "m4"), newSimEngine("e3", "m5")}
	for i := range 12 {
		engines = append(engines, newSimEngine(fmt.Sprint("f", i), "m1", "m2", "m3"))
	}
	sim := newSimulation(engines...)
	sim.now = 30 * time.Second
	sim.planner = residency.New(sim.now, 0)
	sim.planner.SetPool(testPool())
	for range 6 {
		sim.run(500*time.Millisecond, map[string]float64{"m6": 20_000})
		engines[3].restart()
	}
	loads := 0
	for _, o := range sim.orders {
		if o.Kind == residency.LoadModel && o.Model == "m6" {
			loads++
		}
	}
	qt.Check(t, loads > 0, qt.IsTrue, qt.Commentf("%v", sim.orders))
}

// TestRetiresFirst guards against unloading a model before hosts have been told not to use it.
func TestRetiresFirst(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2", "m3"), newSimEngine("e2", "m1", "m2", "m3"))
	var retired time.Duration
	for sim.now < 20*time.Second {
		sim.run(100*time.Millisecond, map[string]float64{"m4": 20_000})
		if len(sim.planner.Notices(sim.now)["e1"].Retiring+sim.planner.Notices(sim.now)["e2"].Retiring) > 0 && retired == 0 {
			retired = sim.now
		}
		if len(sim.orders) > 0 {
			break
		}
	}
	qt.Assert(t, sim.orders, qt.Not(qt.HasLen), 0)
	qt.Check(t, sim.orders[0].Kind, qt.Equals, residency.UnloadModel)
	qt.Check(t, sim.now-retired >= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", sim.now-retired))
}

// TestStaleRegistration guards against overcommitted memory after a registration that is older than the last report and lacks
// a model loaded since: that model's memory then seems free for another load.
func TestStaleRegistration(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2"), newSimEngine("e2", "m3", "m4", "m5"))
	initial := sim.engines[0].registration(0)
	sim.run(3*time.Second, nil)
	for sim.now < 40*time.Second {
		sim.run(100*time.Millisecond, map[string]float64{"m6": 30_000, "m3": 30_000, "m4": 30_000})
		stale := initial
		stale.ReceivedAt = sim.now
		sim.planner.SetEndpoints(sim.now, []directory.Endpoint{stale, sim.engines[1].registration(sim.now)})
	}
	qt.Check(t, sim.engines[0].overcommitted, qt.IsFalse)
}

// TestLoadRate guards against more loads from the weight store than its rate allows.
func TestLoadRate(t *testing.T) {
	engines := make([]*simEngine, 12)
	for i := range engines {
		engines[i] = newSimEngine(fmt.Sprint("e", 10+i), "m1")
	}
	sim := newSimulation(engines...)
	const window = 5 * time.Second
	var loadStarts []time.Duration
	for sim.now < 20*time.Second {
		before := sim.storeLoads()
		sim.run(100*time.Millisecond, map[string]float64{"m2": 90_000, "m3": 90_000})
		for range sim.storeLoads() - before {
			loadStarts = append(loadStarts, sim.now)
		}
	}
	for i, from := range loadStarts {
		count := 0
		for _, start := range loadStarts[i:] {
			if start-from < window {
				count++
			}
		}
		qt.Check(t, float64(count) <= 1*window.Seconds()*1.1+3, qt.IsTrue, qt.Commentf("%d loads from %v", count, from))
	}
	qt.Check(t, len(loadStarts) > 5, qt.IsTrue)
}

func (sim *simulation) storeLoads() int {
	count := 0
	for _, e := range sim.engines {
		count += e.storeLoads
	}
	return count
}

// TestAdapters guards against adapter requests that never get an outcome, and against evicting an adapter in
// use.
func TestAdapters(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2", "m3"), newSimEngine("e2", "m4", "m5", "m6"))
	sim.run(3*time.Second, nil)
	loaded := map[uint64]bool{}
	for n := range 6 {
		sim.requestAdapter("e1", "m1", fmt.Sprint("a", n))
		sim.run(300*time.Millisecond, nil)
		sim.planner.RecordAdapterUse(sim.now, "e1", "m1", "a0")
		for _, outcome := range sim.planner.TakeOutcomes() {
			loaded[outcome.Request.ID] = outcome.Loaded
		}
	}
	for n := uint64(1); n <= 6; n++ {
		qt.Check(t, loaded[n], qt.IsTrue, qt.Commentf("request %d of %v", n, loaded))
	}
	qt.Check(t, sim.engines[0].adapters(), qt.Equals, adapterSlots)
	qt.Check(t, sim.engines[0].models["m1"][0], qt.Equals, "a0")
	sim.requestAdapter("e1", "absent", "a1")
	sim.requestAdapter("e9", "m1", "a1")
	for _, outcome := range sim.planner.TakeOutcomes() {
		qt.Check(t, outcome.Loaded, qt.IsFalse)
	}
}

// TestAdapterDuringLoad guards against adapter orders to an engine that refuses them because it is loading a model, and
// against callers that wait for such an adapter.
func TestAdapterDuringLoad(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2"), newSimEngine("e2", "m4", "m5", "m6"))
	for sim.engines[0].loading == "" && sim.now < time.Minute {
		sim.run(100*time.Millisecond, nil) // no engine holds m3
	}
	qt.Check(t, sim.planner.Notices(sim.now)["e1"].ChangingModel, qt.IsTrue)
	sim.orders = nil
	sim.requestAdapter("e1", "m1", "a1")
	outcomes := sim.planner.TakeOutcomes()
	qt.Assert(t, outcomes, qt.HasLen, 1)
	qt.Check(t, outcomes[0].Loaded, qt.IsFalse)
	for sim.now < time.Minute && sim.engines[0].loading != "" {
		sim.run(100*time.Millisecond, nil)
		qt.Assert(t, sim.orders, qt.HasLen, 0)
	}
	sim.run(time.Second, nil)
	sim.requestAdapter("e1", "m1", "a1")
	sim.run(time.Second, nil)
	qt.Check(t, sim.planner.TakeOutcomes()[0].Loaded, qt.IsTrue)
}

// TestUnansweredOrder guards against sending another order while the outcome of one without a response is unknown. The same order is
// sent again with the same expected sequence number, so that at most one of the two takes effect.
func TestUnansweredOrder(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2", "m3"), newSimEngine("e2", "m4", "m5", "m6"))
	sim.run(3*time.Second, nil)
	first := true
	sim.outcome = func(o residency.Order) (bool, bool) {
		lost := first && o.Kind == residency.LoadAdapter
		first = first && !lost
		return lost, false
	}
	sim.orders = nil
	sim.requestAdapter("e1", "m1", "a1")
	sim.run(2*time.Second, nil)
	sim.requestAdapter("e1", "m1", "a2")
	sim.run(2*time.Second, nil)
	var sent []residency.Order
	for _, o := range sim.orders {
		if o.Kind == residency.LoadAdapter && o.Adapter == "a1" {
			sent = append(sent, o)
		}
	}
	qt.Assert(t, len(sent) >= 2, qt.IsTrue)
	for _, o := range sent {
		qt.Check(t, o, qt.Equals, sent[0])
	}
	qt.Check(t, sim.engines[0].models["m1"], qt.DeepEquals, []string{"a1", "a2"})
}

// TestUnservedAdapter guards against an adapter that is not loaded for long because the only engine of its model changes its
// other models one after the other. Callers may wait for one model change, 1.5 s to unload and 8 s to load here, and return
// after 1.5 s.
func TestUnservedAdapter(t *testing.T) {
	sim := newSimulation(newSimEngine("e1", "m1", "m2", "m3"), newSimEngine("e2", "m2", "m3", "m4"), newSimEngine("e3", "m2", "m3", "m5"))
	const bound = 1500*time.Millisecond + 8*time.Second + 1500*time.Millisecond
	sim.run(3*time.Second, nil)
	longest, servedAt, served := time.Duration(0), sim.now, 0
	for turn := 0; sim.now < 3*time.Minute; turn++ {
		// Demand moves on before the models that it needs have been loaded.
		hot := fmt.Sprint("m", 2+turn/3%5)
		sim.requestAdapter("e1", "m1", fmt.Sprint("a", turn%9))
		sim.run(1500*time.Millisecond, map[string]float64{hot: 90_000, "m1": 300})
		for _, outcome := range sim.planner.TakeOutcomes() {
			if outcome.Loaded {
				served++
				servedAt = sim.now
				continue
			}
			sim.planner.RecordUnserved(sim.now, outcome.Request.Model, outcome.Request.Adapter)
		}
		longest = max(longest, sim.now-servedAt)
	}
	qt.Check(t, longest <= bound, qt.IsTrue, qt.Commentf("no adapter was loaded for %v, %d were loaded", longest, served))
}

// TestReportRate guards against a new lease holder that requests the reports of all engines at once and then has no processor
// time for other hosts, and against an engine whose report is never requested because others don't respond.
func TestReportRate(t *testing.T) {
	_, list := largePool()
	p := residency.New(0, 0)
	p.SetPool(testPool())
	p.SetEndpoints(0, list)
	requested := map[string]bool{}
	const window = 250 * time.Millisecond
	inWindow := 0
	for now := time.Second; now < 3*time.Second; now += 50 * time.Millisecond {
		if now%window == 0 {
			inWindow = 0
		}
		for _, e := range p.DueReports(now) {
			requested[e.ID] = true
			inWindow++
		}
		qt.Assert(t, inWindow <= 40, qt.IsTrue, qt.Commentf("%d requests from %v", inWindow, now))
	}
	qt.Check(t, requested, qt.HasLen, len(list))
}
