package residency_test

import (
	"fmt"
	"testing"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/residency"
)

// largePool returns a planner of 145 engines and 242 models, the size of the largest pool in use, and the engines. All
// models have demand, and no engine holds a tenth of them.
func largePool() (*residency.Planner, []directory.Endpoint) {
	const engines, models = 145, 242
	spec := catalog.Engine{Slots: 64, WeightsMB: engineMegabytes, AdapterSlots: adapterSlots, LoadsPerSecond: 20, Models: map[string]catalog.Model{}}
	demand := map[string]float64{}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		spec.Models[name] = catalog.Model{Name: name, WeightsMB: modelMegabytes, LoadTime: 8 * time.Second, DiskLoadTime: 2 * time.Second, HostMemoryLoadTime: time.Second, AdapterCount: 9, AdapterMB: 1}
		demand[name] = float64(9_000 + 40*(models-i))
	}
	list := make([]directory.Endpoint, engines)
	for i := range list {
		list[i] = directory.Endpoint{ID: fmt.Sprintf("e%03d", i), Pool: "p", StartedAt: 1}
		for k := range 3 {
			list[i].Models = append(list[i].Models, directory.Model{Name: fmt.Sprintf("m%d", (3*i+k)%(models*9/10))})
		}
	}
	p := residency.New(0, 0)
	p.SetPool(catalog.Pool{Name: "p", Engine: &spec})
	p.SetEndpoints(0, list)
	for now := 18 * time.Second; now < 20*time.Second; now += 250 * time.Millisecond {
		for _, e := range p.DueReports(now) {
			r := residency.Report{RequestedAt: now}
			for _, m := range e.Models {
				r.Models = append(r.Models, residency.Model{Name: m.Name, Adapters: m.Adapters})
			}
			p.ApplyReport(now, e.ID, r)
		}
	}
	p.AddDemand(20*time.Second, demand)
	return p, list
}

// BenchmarkNext measures the planning that the lease holder of the largest pool does after each order and report.
func BenchmarkNext(b *testing.B) {
	p, list := largePool()
	b.ReportAllocs()
	now := 21 * time.Second
	for range b.N {
		now += 100 * time.Millisecond
		p.SetEndpoints(now, list)
		p.DueReports(now)
		p.DueOrders(now)
	}
}
