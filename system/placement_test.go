package system_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fakeengine"
	"magnoliahoist/fault"
	"magnoliahoist/operator"
	"magnoliahoist/pool"
	"magnoliahoist/replica"
	"magnoliahoist/route"
	"magnoliahoist/table"
	"magnoliahoist/timeline"
)

// withSecondModel returns an edit that adds a second model with an adapter and a route for it. An engine has too little memory for
// new versions of both models beside the old ones.
func withSecondModel(replicas int) func(*route.Table, *pool.Table) {
	return func(routes *route.Table, pools *pool.Table) {
		models := &pools.Pools[0].Models
		(*models)[0].Replicas = replicas
		*models = append(*models, pool.Model{
			Name: "script-8b", Version: "1", Memory: modelMemory, Replicas: replicas,
			Adapters: []pool.Adapter{{Name: "casting", Version: "1", Memory: 1 << 28}},
		})
		added := routes.Routes[0]
		added.Name, added.Model, added.Adapter = "scripts", "script-8b", "casting"
		routes.Routes = append(routes.Routes, added)
	}
}

// servesBothModels reports whether a host serves chats of both models.
func (f *fleet) servesBothModels(host int) bool {
	for _, model := range []string{"history", "scripts"} {
		if f.chatModel(host, f.keys["yards"], model, "placed", 2).status != http.StatusOK {
			return false
		}
	}
	return true
}

// leaseHolder returns the index of the host that holds the pool's lease, or -1, and the fencing number of the lease.
func (f *fleet) leaseHolder(pool string) (holder int, number int64) {
	f.t.Helper()
	key := replica.KeyForLease(pool)
	rows, err := table.New(f.tableService.address(), http.DefaultClient).Read(context.Background(), key, 0)
	if err != nil || len(rows.Rows) == 0 {
		return -1, 0
	}
	var held replica.Lease
	if err := json.Unmarshal(rows.Rows[0].Value, &held); err != nil {
		f.t.Fatal(err)
	}
	for i, h := range f.hosts {
		if h.word("host") == held.Holder {
			return i, held.FencingNumber
		}
	}
	return -1, held.FencingNumber
}

// editModels applies an edit to the models of the first pool.
func (f *fleet) editModels(host int, id string, edit func(models []pool.Model)) {
	f.t.Helper()
	pools, revision, err := f.operatorClients[host].Pools(context.Background())
	if err != nil {
		f.t.Fatal(err)
	}
	edit(pools.Pools[0].Models)
	if _, err := f.operatorClients[host].Put(context.Background(), operator.Pools, id, revision, encode(f.t, pools)); err != nil {
		f.t.Fatal(err)
	}
}

// setModelVersions changes the version of every model of the first pool.
func (f *fleet) setModelVersions(host int, version string) {
	f.t.Helper()
	f.editModels(host, "upgrade-"+version, func(models []pool.Model) {
		for n := range models {
			models[n].Version = version
		}
	})
}

// hasResident reports whether the version of a model is resident in an engine and ready to serve.
func (f *fleet) hasResident(engine int, model, version string) bool {
	var load fakeengine.LoadReport
	getJSON(f.t, f.engines[engine].address(), "/v2/load", &load)
	for _, r := range load.Resident {
		if r.Kind == fakeengine.Model && r.Name == model && r.Version == version && r.State == fakeengine.Ready {
			return true
		}
	}
	return false
}

// allResident reports whether each of the models is resident, in the given version, in at least one engine.
func (f *fleet) allResident(version string, models ...string) bool {
	for _, model := range models {
		found := false
		for engine := range f.engines {
			found = found || f.hasResident(engine, model, version)
		}
		if !found {
			return false
		}
	}
	return true
}

// checkMemory fails the test if an engine was ever ordered to load more than its memory can hold.
func (f *fleet) checkMemory() {
	f.t.Helper()
	for n, e := range f.engines {
		var memory fakeengine.MemoryUsage
		getJSON(f.t, e.address(), "/debug/memory", &memory)
		qt.Assert(f.t, memory.RefusedLoads, qt.Equals, int64(0), qt.Commentf("engine %d: %+v", n, memory))
		qt.Assert(f.t, memory.Peak <= memory.Size, qt.IsTrue, qt.Commentf("engine %d: %+v", n, memory))
	}
}

// Guards against models that are not loaded onto empty engines, and against models that only the lease holder sends requests to.
func TestModelsAreLoadedOntoEmptyEngines(t *testing.T) {
	f := newFleet(t, layout{hostCount: 3, engineOptions: fastEngine, fencedEngines: []bool{true, false}, emptyEngines: true, editTables: withSecondModel(2)})
	for host := range f.hosts {
		f.eventually("host serves both models", func() bool { return f.servesBothModels(host) })
	}
	f.checkMemory()
	text := f.metrics(0) + f.metrics(1) + f.metrics(2)
	qt.Assert(t, text, qt.Contains, `magnoliahoist_moves_total{pool="inspection"}`)
	var events strings.Builder
	qt.Assert(t, f.operatorClients[0].Timeline(context.Background(), timeline.Filter{}, "json", &events), qt.IsNil)
	for _, kind := range []string{`"taken"`, `"ordered"`, `"confirmed"`} {
		qt.Assert(t, events.String(), qt.Contains, kind)
	}
}

// Guards against demand that the lease holder does not take into account: requests at another host must add a replica.
func TestDemandAddsReplica(t *testing.T) {
	f := newFleet(t, layout{hostCount: 2, engineOptions: fastEngine, fencedEngines: []bool{true, true}, emptyEngines: true, editTables: withSecondModel(1),
		editSettings: func(_ int, settings hostSettings) { settings["placement"] = map[string]any{"replica": 100} }})
	f.eventually("hosts serve", func() bool { return f.servesBothModels(0) && f.servesBothModels(1) })
	qt.Assert(t, f.hasResident(0, "inspect-7b", "1") && f.hasResident(1, "inspect-7b", "1"), qt.IsFalse)
	holder, _ := f.leaseHolder("inspection")
	f.eventually("a replica is added", func() bool {
		f.chat(1-holder, f.keys["yards"], "demand", 100)
		return f.hasResident(0, "inspect-7b", "1") && f.hasResident(1, "inspect-7b", "1")
	})
	f.checkMemory()
}

// metrics returns the metrics of a host.
func (f *fleet) metrics(host int) string {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+f.hosts[host].word("operators")+"/metrics", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testCredential)
	response, err := callers.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	return readBody(f.t, response)
}

// Guards against a takeover of the lease that overcommits an engine's memory, or that does not happen, when the
// lease holder is killed or frozen while orders are lost, delayed or duplicated.
func TestProveTakeoverOfPlacement(t *testing.T) {
	faults := map[string]fault.Faults{
		"late":       {LateOrder: document.Duration(1500 * time.Millisecond)},
		"doubled":    {DoubleOrder: 20, LateOrder: document.Duration(time.Second)},
		"lost":       {LoseOrder: 3},
		"reply lost": {LoseReply: 4},
		"lagging":    {Lag: document.Duration(2500 * time.Millisecond), DoubleOrder: 3, LateOrder: document.Duration(time.Second)},
	}
	for name, set := range faults {
		for _, frozen := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, frozen=%t", name, frozen), func(t *testing.T) {
				t.Parallel()
				testTakeover(t, set, frozen)
			})
		}
	}
}

// testTakeover kills or freezes the lease holder shortly after it has started to replace every model.
func testTakeover(t *testing.T, faults fault.Faults, frozen bool) {
	f := newFleet(t, layout{hostCount: 3, engineOptions: fastEngine, fencedEngines: []bool{true, false, true}, emptyEngines: true, editTables: withSecondModel(2)})
	f.eventually("models are placed", func() bool { return f.allResident("1", "inspect-7b", "script-8b") && f.servesBothModels(0) })
	holder, number := f.leaseHolder("inspection")
	for _, e := range f.engines {
		setFault(t, e.address(), faults)
	}
	f.setModelVersions(holder, "2")
	time.Sleep(1200 * time.Millisecond) // at least one placement pass of the holder
	if frozen {
		f.hosts[holder].Pause()
	} else {
		f.hosts[holder].Kill()
	}
	f.eventually("another host takes over", func() bool {
		_, next := f.leaseHolder("inspection")
		return next > number
	})
	f.eventually("the new versions are placed", func() bool { return f.allResident("2", "inspect-7b", "script-8b") })
	if frozen {
		f.hosts[holder].Resume()
		time.Sleep(3 * time.Second) // the former holder continues the operations that it had started
		f.eventually("the former holder serves", func() bool { return f.servesBothModels(holder) })
	}
	for host := range f.hosts {
		if frozen || host != holder {
			f.eventually("hosts serve both models", func() bool { return f.servesBothModels(host) })
		}
	}
	f.checkMemory()
}

// Guards against new requests to an endpoint that is leaving according to its own report or the platform's host list, and
// against a model that becomes unreachable when its only endpoint leaves.
func TestProveLeavingModel(t *testing.T) {
	for name, leave := range map[string]func(f *fleet, address string){
		"own report": func(f *fleet, address string) { f.putJSON(address, "/v2/leaving", `{"leaving": true}`) },
		"platform's list": func(f *fleet, address string) {
			f.putJSON(f.hostList.address(), "/v1/hosts", `[{"name": "leaving", "address": "`+address+`", "state": "leaving"}]`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testLeavingEndpoint(t, leave)
		})
	}
}

// putJSON sends a PUT request with a JSON body to a stand-in.
func (f *fleet) putJSON(address, path, document string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, strings.NewReader(document))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := callers.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	readBody(f.t, response)
}

func testLeavingEndpoint(t *testing.T, leave func(f *fleet, address string)) {
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 2, engineOptions: fastEngine, fencedEngines: []bool{true, true, true}, emptyEngines: true, editTables: withSecondModel(1)})
	f.eventually("hosts serve", func() bool { return f.servesBothModels(0) && f.servesBothModels(1) })
	leaving := 0
	for !f.hasResident(leaving, "inspect-7b", "1") {
		leaving++
	}
	leave(f, f.engines[leaving].address())
	began := time.Now()
	before := -1
	for time.Since(began) < 8*time.Second {
		for host := range f.hosts {
			response := f.chat(host, f.keys["yards"], "leaving", 2)
			c.Assert(response.status, qt.Equals, http.StatusOK, qt.Commentf("after %s: %+v", time.Since(began), response))
		}
		// The report is read once a second and forwarded to other hosts once a second; new requests must stop within 3 s.
		if before < 0 && time.Since(began) > 3*time.Second {
			before = f.requestCount(leaving)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Assert(f.requestCount(leaving), qt.Equals, before)
	c.Assert(f.servesBothModels(0) && f.servesBothModels(1), qt.IsTrue)
	f.checkMemory()
}

// requestCount returns the number of requests that an engine received.
func (f *fleet) requestCount(engine int) int {
	var all []fakeengine.RequestRecord
	getJSON(f.t, f.engines[engine].address(), "/debug/requests", &all)
	return len(all)
}

// readBody reads and closes the body of a response, and fails the test unless its status is 200.
func readBody(t *testing.T, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %v", response.Status, data, err)
	}
	return string(data)
}
