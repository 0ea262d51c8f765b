package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliahoist/pool"
)

// sentOrder is one copy of an order in transit to an endpoint.
type sentOrder struct {
	order   Order
	awaited bool // the sender still waits for the response to this copy
}

// simEndpoint simulates an endpoint that carries out its orders without checking its memory.
type simEndpoint struct {
	pool.Endpoint
	instance       int
	leaving        bool
	fencingNumber  int64
	sequence       int64
	resident       map[Item]int64
	results        map[string]Result
	firstExecution map[string]time.Duration // by order id
	inTransit      []sentOrder
	savedReports   []Report // delivered late
	reportsLag     bool     // reports are up to 5 s old
	laggingReport  Report   // report that is given again while reportsLag
}

// execute carries out an order, or rejects it as a failure if reject is set.
func (e *simEndpoint) execute(now time.Duration, o Order, reject bool) Result {
	if e.ChecksFencing {
		if o.FencingNumber < e.fencingNumber || o.FencingNumber == e.fencingNumber && o.Sequence <= e.sequence {
			return Rejected
		}
		e.fencingNumber, e.sequence = o.FencingNumber, o.Sequence
	}
	if _, ok := e.firstExecution[o.ID]; !ok {
		e.firstExecution[o.ID] = now
	}
	result := Applied
	switch {
	case reject:
		result = Rejected
	case o.Kind == Load:
		e.resident[o.Item()] = o.Memory
	case o.Kind == Unload:
		delete(e.resident, o.Item())
	}
	e.results[o.ID] = result
	return result
}

// currentReport returns the report that the endpoint gives now. While its reports lag, that is an earlier one.
func (e *simEndpoint) currentReport(now time.Duration) Report {
	if !e.reportsLag || e.laggingReport.Instance != fmt.Sprint(e.instance) || now-e.laggingReport.RequestedAt > 5*time.Second {
		e.laggingReport = e.report(now)
	}
	r := e.laggingReport
	r.RequestedAt = now
	return r
}

// report returns a report of the current state.
func (e *simEndpoint) report(now time.Duration) Report {
	r := Report{Instance: fmt.Sprint(e.instance), RequestedAt: now, FencingNumber: e.fencingNumber, Leaving: e.leaving}
	for item, memory := range e.resident {
		r.Resident = append(r.Resident, ResidentItem{Item: item, Memory: memory})
	}
	for id, result := range e.results {
		r.Results = append(r.Results, OrderResult{id, result})
	}
	return r
}

// simulation is a pool of simulated endpoints, its manager and the network between them.
type simulation struct {
	now           time.Duration
	fencingNumber int64
	pool          pool.Pool
	manager       *Manager
	endpoints     []*simEndpoint
	rows          map[string][]Record // by endpoint
	recordFails   func() bool         // reports whether recording an order fails; nil for never
}

func newSimulation(endpoints, models int, size func(int) int64) *simulation {
	sim := &simulation{fencingNumber: 1, rows: make(map[string][]Record)}
	for n := range models {
		sim.pool.Models = append(sim.pool.Models, pool.Model{
			Name: fmt.Sprint("m", n), Version: "1", Memory: size(n),
			Adapters: []pool.Adapter{{Name: "a", Version: "1", Memory: 3}},
		})
	}
	for n := range endpoints {
		e := pool.Endpoint{Name: fmt.Sprint("e", n), Domain: fmt.Sprint("d", n%3), Memory: 100, ChecksFencing: n%2 == 0}
		sim.pool.Endpoints = append(sim.pool.Endpoints, e)
		sim.endpoints = append(sim.endpoints, &simEndpoint{
			Endpoint: e, resident: make(map[Item]int64), results: make(map[string]Result), firstExecution: make(map[string]time.Duration),
		})
	}
	sim.manager = New(0, Settings{}, 1, nil)
	sim.manager.SetPool(sim.pool)
	return sim
}

func (sim *simulation) endpoint(name string) *simEndpoint {
	return sim.endpoints[slices.IndexFunc(sim.endpoints, func(e *simEndpoint) bool { return e.Name == name })]
}

// plan records the manager's orders and returns those that were recorded.
func (sim *simulation) plan() []Order {
	orders := sim.manager.Plan(sim.now)
	for _, e := range sim.endpoints {
		sim.rows[e.Name] = sim.manager.Records(e.Name)
	}
	return slices.DeleteFunc(orders, func(o Order) bool {
		if sim.recordFails != nil && sim.recordFails() {
			sim.manager.OrderNotSent(sim.now, o.ID)
			return true
		}
		sim.manager.RequestStarted(sim.now, o.ID)
		return false
	})
}

// deliver executes the n-th order in transit to an endpoint. The sender gets the response only if responded is set.
func (sim *simulation) deliver(e *simEndpoint, n int, responded, reject bool) {
	m := e.inTransit[n]
	e.inTransit = slices.Delete(e.inTransit, n, n+1)
	result := e.execute(sim.now, m.order, reject)
	switch {
	case m.awaited && responded:
		sim.manager.ResultReceived(sim.now, m.order.ID, result)
	case m.awaited:
		sim.manager.ResultUnknown(sim.now, m.order.ID)
	}
}

// loseResponse ends the sender's wait for the response to the n-th order. The order stays in transit.
func (sim *simulation) loseResponse(e *simEndpoint, n int) {
	if e.inTransit[n].awaited {
		e.inTransit[n].awaited = false
		sim.manager.ResultUnknown(sim.now, e.inTransit[n].order.ID)
	}
}

// restart replaces the endpoint's process by a new one that holds nothing.
func (sim *simulation) restart(e *simEndpoint) {
	e.instance++
	e.fencingNumber, e.sequence = 0, 0
	clear(e.resident)
	clear(e.results)
	// Orders whose request has ended can have reached only the previous process.
	e.inTransit = slices.DeleteFunc(e.inTransit, func(m sentOrder) bool { return !m.awaited })
}

// takeOver replaces the manager by one with the next fencing number, which starts from the recorded rows.
func (sim *simulation) takeOver() {
	sim.fencingNumber++
	var records []Record
	for _, e := range sim.endpoints {
		records = append(records, sim.rows[e.Name]...)
		for n := range e.inTransit {
			e.inTransit[n].awaited = false
		}
	}
	sim.manager = New(sim.now, Settings{}, sim.fencingNumber, records)
	sim.manager.SetPool(sim.pool)
}

// advance moves the time forward. Duplicates of an order are dropped 55 s after its first execution.
func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	for _, e := range sim.endpoints {
		e.inTransit = slices.DeleteFunc(e.inTransit, func(m sentOrder) bool {
			first, ok := e.firstExecution[m.order.ID]
			return ok && !m.awaited && sim.now-first > 55*time.Second
		})
	}
}

// overcommittedEndpoint describes an endpoint that holds more than its memory, or returns an empty string.
func (sim *simulation) overcommittedEndpoint() string {
	for _, e := range sim.endpoints {
		sum := int64(0)
		for _, memory := range e.resident {
			sum += memory
		}
		if sum > e.Memory {
			return fmt.Sprintf("%s (fenced %t) holds %d of %d: %v", e.Name, e.ChecksFencing, sum, e.Memory, e.resident)
		}
	}
	return ""
}

// runFaultless advances the time by steps seconds without faults. It describes an overcommitted endpoint, or names a model that no
// endpoint holds at the end, or returns an empty string.
func (sim *simulation) runFaultless(steps int) string {
	sim.recordFails = nil
	for _, e := range sim.endpoints {
		e.leaving, e.reportsLag = false, false
		for len(e.inTransit) > 0 {
			sim.deliver(e, 0, true, false)
		}
	}
	for range steps {
		sim.advance(time.Second)
		for _, e := range sim.endpoints {
			sim.manager.ApplyReport(sim.now, e.Name, e.report(sim.now))
		}
		for _, o := range sim.plan() {
			e := sim.endpoint(o.Endpoint)
			e.inTransit = append(e.inTransit, sentOrder{o, true})
			sim.deliver(e, len(e.inTransit)-1, true, false)
		}
		if overcommitted := sim.overcommittedEndpoint(); overcommitted != "" {
			return overcommitted
		}
	}
	for _, model := range sim.pool.Models {
		if sim.holders(tableItem(model)) == 0 {
			return model.Name
		}
	}
	return ""
}

// holders returns the number of endpoints that hold the item.
func (sim *simulation) holders(item Item) int {
	count := 0
	for _, e := range sim.endpoints {
		if _, ok := e.resident[item]; ok {
			count++
		}
	}
	return count
}

// step runs one random action: time passing, planning, a fault, a report, a takeover or a new version.
func (sim *simulation) step(t *rapid.T) {
	e := sim.endpoints[rapid.IntRange(0, len(sim.endpoints)-1).Draw(t, "endpoint")]
	quarter := func() bool { return rapid.IntRange(0, 3).Draw(t, "quarter") == 0 }
	chance := func() bool { return rapid.Bool().Draw(t, "chance") }
	switch action := rapid.IntRange(0, 20).Draw(t, "action"); action {
	case 0, 1, 2, 3:
		sim.advance(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
	case 4, 5, 6, 7, 8:
		sim.recordFails = quarter
		for _, o := range sim.plan() {
			e := sim.endpoint(o.Endpoint)
			switch rapid.IntRange(0, 5).Draw(t, "delivery") {
			case 0:
				sim.manager.ResultUnknown(sim.now, o.ID)
			case 1:
				e.inTransit = append(e.inTransit, sentOrder{o, true})
			case 2:
				e.inTransit = append(e.inTransit, sentOrder{o, true}, sentOrder{o, false})
			default:
				e.inTransit = append(e.inTransit, sentOrder{o, true})
				sim.deliver(e, len(e.inTransit)-1, chance(), false)
			}
		}
	case 9, 10:
		if len(e.inTransit) > 0 {
			sim.deliver(e, rapid.IntRange(0, len(e.inTransit)-1).Draw(t, "n"), chance(), quarter())
		}
	case 11:
		if len(e.inTransit) > 0 {
			sim.loseResponse(e, rapid.IntRange(0, len(e.inTransit)-1).Draw(t, "n"))
		}
	case 12:
		e.savedReports = append(e.savedReports, e.report(sim.now))
	case 13:
		if len(e.savedReports) > 0 {
			sim.manager.ApplyReport(sim.now, e.Name, e.savedReports[rapid.IntRange(0, len(e.savedReports)-1).Draw(t, "n")])
		}
	case 20:
		e.reportsLag = !e.reportsLag
	case 14:
		if quarter() {
			sim.restart(e)
		}
	case 15:
		switch {
		case chance():
			sim.takeOver()
		case chance():
			e.leaving = !e.leaving
		}
	case 16:
		n := rapid.IntRange(0, len(sim.pool.Models)-1).Draw(t, "model")
		sim.pool.Models = slices.Clone(sim.pool.Models)
		sim.pool.Models[n].Version += "x"
		sim.manager.SetPool(sim.pool)
	default:
		for _, e := range sim.endpoints {
			sim.manager.ApplyReport(sim.now, e.Name, e.currentReport(sim.now))
		}
	}
}

// Guards against memory overcommitted by lost, late or duplicated orders, restarts, takeovers and endpoints that ignore fencing
// numbers, and against reservations that such faults leave behind for good.
func TestPropertyMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(4, 5, func(n int) int64 { return 25 + int64(n*4) })
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			sim.step(t)
			if overcommitted := sim.overcommittedEndpoint(); overcommitted != "" {
				t.Fatalf("overcommitted: %s", overcommitted)
			}
		}
		if missing := sim.runFaultless(400); missing != "" {
			t.Fatalf("not recovered 400 s after the last fault: %s", missing)
		}
	})
}
