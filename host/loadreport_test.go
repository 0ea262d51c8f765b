package host

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/endpoint"
	"magnoliahoist/peer"
	"magnoliahoist/placement"
)

const reportBody = `{"instance": "i", "running": 3, "waiting": 2, "fence": 7, "leaving": true,
 "resident": [
  {"kind": "model", "name": "m", "version": "1", "memory": 10, "state": "ready"},
  {"kind": "adapter", "name": "a", "version": "2", "model": "m", "memory": 1, "state": "ready"},
  {"kind": "adapter", "name": "b", "version": "2", "model": "m", "memory": 1, "state": "loading"},
  {"kind": "model", "name": "n", "version": "1", "memory": 20, "state": "unloading"},
  {"kind": "role", "name": "role", "state": "ready"}],
 "orders": [{"order": "7-1", "result": "done"}, {"order": "7-2", "result": "refused"}, {"order": "7-3", "result": "new word"}]}`

// TestReport guards against memory that is not counted because its model is not ready yet, against requests for a model that
// is not ready, and against a summary that loses data of the lease holder.
func TestReport(t *testing.T) {
	c := qt.New(t)
	r := loadReport{endpoint: "e", requestedAt: 5 * time.Second}
	c.Assert(json.Unmarshal([]byte(reportBody), &r), qt.IsNil)
	c.Assert(r.placementReport(), qt.DeepEquals, placement.Report{
		Instance: "i", RequestedAt: 5 * time.Second, FencingNumber: 7, Leaving: true,
		Resident: []placement.ResidentItem{
			{Item: placement.Item{Model: "m", Version: "1"}, Memory: 10},
			{Item: placement.Item{Model: "m", Adapter: "a", Version: "2"}, Memory: 1},
			{Item: placement.Item{Model: "m", Adapter: "b", Version: "2"}, Memory: 1, Loading: true},
			{Item: placement.Item{Model: "n", Version: "1"}, Memory: 20, Loading: true},
		},
		Results: []placement.OrderResult{{OrderID: "7-1", Result: placement.Applied}, {OrderID: "7-2", Result: placement.Rejected}},
	})
	load := r.endpointLoad()
	c.Assert(load.ResidentModels, qt.DeepEquals, []endpoint.ResidentModel{{Model: "m", Version: "1", Adapters: []string{"a"}}})
	sent := []*peer.EndpointLoad{encodeLoad(load, 2*time.Second)}
	received := decodeLoads(100*time.Second, sent)[0]
	c.Assert(received.Report.TakenAt, qt.Equals, 98*time.Second)
	received.Report.TakenAt = load.Report.TakenAt
	c.Assert(received, qt.DeepEquals, load)
}
