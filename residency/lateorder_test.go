package residency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/directory"
	"magnoliahoist/residency"
)

// newPlanner returns a planner with one engine that holds the models, and the registration of the engine. The planner has no report yet.
func newPlanner(models ...residency.Model) (*residency.Planner, directory.Endpoint) {
	p := residency.New(0, -time.Minute)
	p.SetPool(testPool())
	registration := directory.Endpoint{ID: "e1", Pool: "p", Address: "10.0.0.1:80", Slots: 64, StartedAt: 1}
	for _, m := range models {
		registration.Models = append(registration.Models, directory.Model{Name: m.Name, Adapters: m.Adapters})
	}
	p.SetEndpoints(0, []directory.Endpoint{registration})
	return p, registration
}

// kindsOf returns the kinds of orders.
func kindsOf(orders []residency.Order) []residency.Kind {
	var kinds []residency.Kind
	for _, o := range orders {
		kinds = append(kinds, o.Kind)
	}
	return kinds
}

// TestAdapterInTransit guards against an order for more adapters than an engine has slots: an order without a response was carried out
// late, and the engine is still loading its adapter at the time that a report shows.
func TestAdapterInTransit(t *testing.T) {
	p, _ := newPlanner(residency.Model{Name: "m1", Adapters: []string{"a1", "a2", "a3"}})
	held := []residency.Model{{Name: "m1", Adapters: []string{"a1", "a2", "a3"}}}
	now := time.Second
	p.ApplyReport(now, "e1", residency.Report{Models: held, StartedAt: 1, RequestedAt: now})
	p.RequestAdapter(now, residency.AdapterRequest{ID: 1, Endpoint: "e1", Model: "m1", Adapter: "a4"})
	for _, result := range []residency.Result{residency.Unanswered, residency.Conflict} { // the engine carries out the first order, late
		orders := p.DueOrders(now)
		qt.Assert(t, kindsOf(orders), qt.DeepEquals, []residency.Kind{residency.LoadAdapter})
		p.ApplyResult(now, orders[0], result)
		now += time.Second
	}
	p.ApplyReport(now, "e1", residency.Report{Models: held, Sequence: 1, PendingAdapters: []residency.Adapter{{Model: "m1", Name: "a4"}}, StartedAt: 1, RequestedAt: now})
	p.RequestAdapter(now, residency.AdapterRequest{ID: 2, Endpoint: "e1", Model: "m1", Adapter: "a5"})
	qt.Check(t, kindsOf(p.DueOrders(now)), qt.DeepEquals, []residency.Kind{residency.UnloadAdapter})
}

// TestUnloadInUse guards against an order for more adapters than an engine has slots: an adapter in use is unloaded only when its
// requests have ended, and takes its slot until then.
func TestUnloadInUse(t *testing.T) {
	full := []residency.Model{{Name: "m1", Adapters: []string{"a1", "a2", "a3", "a4"}}, {Name: "m2"}, {Name: "m3"}}
	p, registration := newPlanner(full...)
	now := time.Second
	p.ApplyReport(now, "e1", residency.Report{Models: full, StartedAt: 1, RequestedAt: now})
	p.RequestAdapter(now, residency.AdapterRequest{ID: 1, Endpoint: "e1", Model: "m1", Adapter: "a5"})
	orders := p.DueOrders(now)
	qt.Assert(t, kindsOf(orders), qt.DeepEquals, []residency.Kind{residency.UnloadAdapter})
	p.ApplyResult(now, orders[0], residency.Accepted)
	qt.Check(t, p.DueOrders(now), qt.HasLen, 0)

	now += time.Second
	qt.Assert(t, p.DueReports(now), qt.HasLen, 1)
	p.ApplyReport(now, "e1", residency.Report{Models: full, Sequence: 1, StartedAt: 1, RequestedAt: now})
	qt.Check(t, p.DueOrders(now), qt.HasLen, 0, qt.Commentf("the report still shows the adapter"))

	now += time.Second
	qt.Assert(t, p.DueReports(now), qt.HasLen, 1)
	p.SetEndpoints(now, []directory.Endpoint{registration})
	p.ApplyReport(now, "e1", residency.Report{Models: []residency.Model{{Name: "m1", Adapters: []string{"a2", "a3", "a4"}}, {Name: "m2"}, {Name: "m3"}}, Sequence: 1, StartedAt: 1, RequestedAt: now})
	qt.Check(t, kindsOf(p.DueOrders(now)), qt.DeepEquals, []residency.Kind{residency.LoadAdapter})
}

// TestUncountedUnload guards against an engine that never gets an order again: it did not hold the adapter that it was ordered to unload
// and did not count the order, so that its reports show a lower sequence than the planner expects.
func TestUncountedUnload(t *testing.T) {
	full := []residency.Model{{Name: "m1", Adapters: []string{"a1", "a2", "a3", "a4"}}, {Name: "m2"}, {Name: "m3"}}
	p, _ := newPlanner(full...)
	now := time.Second
	p.ApplyReport(now, "e1", residency.Report{Models: full, StartedAt: 1, RequestedAt: now})
	p.RequestAdapter(now, residency.AdapterRequest{ID: 1, Endpoint: "e1", Model: "m1", Adapter: "a5"})
	for _, result := range []residency.Result{residency.AlreadyDone, residency.Conflict} { // the unload, and the load that expects too much
		orders := p.DueOrders(now)
		qt.Assert(t, orders, qt.HasLen, 1)
		p.ApplyResult(now, orders[0], result)
	}
	now += time.Second
	qt.Assert(t, p.DueReports(now), qt.HasLen, 1)
	p.ApplyReport(now, "e1", residency.Report{Models: []residency.Model{{Name: "m1", Adapters: []string{"a2", "a3", "a4"}}, {Name: "m2"}, {Name: "m3"}}, StartedAt: 1, RequestedAt: now})
	p.RequestAdapter(now, residency.AdapterRequest{ID: 2, Endpoint: "e1", Model: "m1", Adapter: "a5"})
	orders := p.DueOrders(now)
	qt.Assert(t, kindsOf(orders), qt.DeepEquals, []residency.Kind{residency.LoadAdapter})
	qt.Check(t, orders[0].ExpectedSequence, qt.Equals, int64(0))
}

// TestUncountedUnloadBesideLateOrder guards against an order for more than an engine's memory holds: the engine did not count an unload,
// and an earlier order that was given up without a response, and that expects the same sequence, would make up the difference.
func TestUncountedUnloadBesideLateOrder(t *testing.T) {
	models := []residency.Model{{Name: "m1", Adapters: []string{"a1", "a2", "a3", "a4"}}, {Name: "m2"}}
	p, _ := newPlanner(models...)
	now := time.Second
	p.ApplyReport(now, "e1", residency.Report{Models: models, StartedAt: 1, RequestedAt: now})
	for _, result := range []residency.Result{residency.Unanswered, residency.Denied} { // the order is given up, and may still be carried out
		orders := p.DueOrders(now)
		qt.Assert(t, kindsOf(orders), qt.DeepEquals, []residency.Kind{residency.LoadModel})
		p.ApplyResult(now, orders[0], result)
		now += time.Second
	}
	p.ApplyReport(now, "e1", residency.Report{Models: models, StartedAt: 1, RequestedAt: now})
	p.RequestAdapter(now, residency.AdapterRequest{ID: 1, Endpoint: "e1", Model: "m1", Adapter: "a5"})
	orders := p.DueOrders(now)
	qt.Assert(t, kindsOf(orders), qt.DeepEquals, []residency.Kind{residency.UnloadAdapter})
	p.ApplyResult(now, orders[0], residency.AlreadyDone)
	qt.Check(t, p.DueOrders(now), qt.HasLen, 0, qt.Commentf("the sequence is not known"))
	now += time.Second
	qt.Check(t, p.DueReports(now), qt.HasLen, 1)
}
