package system_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/pool"
	"magnoliahoist/table"
)

// orderDelay is longer than a takeover, so that a delayed order arrives after its sender has lost the lease.
const orderDelay = 30 * time.Second

// Guards against a new lease holder that uses memory for which an order of the former holder, or a duplicate of that order,
// is still in flight to an engine that ignores fencing numbers.
func TestProveOrderOutlivesItsSender(t *testing.T) {
	late := document.Duration(orderDelay)
	for name, test := range map[string]struct {
		faults fault.Faults
		frozen bool
	}{
		"late, killed":    {fault.Faults{LateOrder: late}, false},
		"late, frozen":    {fault.Faults{LateOrder: late}, true},
		"doubled, killed": {fault.Faults{LateOrder: late, DoubleOrder: 1}, false},
		"doubled, frozen": {fault.Faults{LateOrder: late, DoubleOrder: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testOrderOutlivesSender(t, test.faults, test.frozen)
		})
	}
}

// testOrderOutlivesSender orders a second replica onto the engine that ignores fencing numbers, kills or freezes the lease holder, and
// then changes the model's version, for which the engine has enough memory only if the old order is not carried out.
func testOrderOutlivesSender(t *testing.T, faults fault.Faults, frozen bool) {
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 3, engineOptions: fastEngine, fencedEngines: []bool{false, true}, emptyEngines: true, editTables: withSecondModel(1)})
	f.eventually("models are placed", func() bool { return f.allResident("1", "inspect-7b", "script-8b") && f.servesBothModels(0) })
	missing := "inspect-7b"
	if f.hasResident(0, missing, "1") {
		missing = "script-8b"
	}
	c.Assert(f.hasResident(0, missing, "1"), qt.IsFalse)
	holder, number := f.leaseHolder("inspection")
	other := (holder + 1) % len(f.hosts)
	setFault(t, f.engines[0].address(), faults)
	f.editModels(holder, "replicas", func(models []pool.Model) {
		for n := range models {
			models[n].Replicas = 2
		}
	})
	f.eventually("the order to load the second replica is recorded", func() bool { return f.orderRecorded("engine-0", missing) })
	sent := time.Now()
	time.Sleep(500 * time.Millisecond) // the record is written before the order is sent
	if frozen {
		f.hosts[holder].Pause()
	} else {
		f.hosts[holder].Kill()
	}
	setFault(t, f.engines[0].address(), fault.Faults{})
	f.editModels(other, "version", func(models []pool.Model) {
		for n := range models {
			if models[n].Name == missing {
				models[n].Version = "2"
			}
		}
	})
	f.eventually("another host takes over", func() bool {
		_, next := f.leaseHolder("inspection")
		return next > number
	})
	c.Assert(time.Since(sent) < orderDelay, qt.IsTrue, qt.Commentf("the takeover took longer than the delay of the order, so the test checked nothing"))
	f.eventually("the new version is placed", func() bool { return f.allResident("2", missing) })
	time.Sleep(time.Until(sent.Add(orderDelay + 3*time.Second)))
	if frozen {
		f.hosts[holder].Resume()
		time.Sleep(3 * time.Second) // the former holder continues the operations that it had started
	}
	f.eventually("both models are served", func() bool { return f.servesBothModels(other) })
	f.checkMemory()
}

// orderRecorded reports whether the endpoint's row in the table service contains an order for the model.
func (f *fleet) orderRecorded(endpoint, model string) bool {
	key := "order/inspection/" + endpoint
	rows, err := table.New(f.tableService.address(), http.DefaultClient).Read(context.Background(), key, 0)
	return err == nil && len(rows.Rows) > 0 && strings.Contains(string(rows.Rows[0].Value), `"`+model+`"`)
}
