package system_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/platform/fakeplatform"
)

// Bounds of the platform on requests to cold engines, and the rate and time of the tests.
const (
	coldExcess = 1.5
	coldSlack  = 5
	coldRate   = 4.0
	coldTime   = 8 * time.Second
)

// putColdConfiguration writes a version of the configuration whose engines are cold after their start.
func (s *site) putColdConfiguration() {
	s.t.Helper()
	s.version++
	configuration := fakeplatform.Configuration(s.version, "k1")
	engines := configuration["services"].([]any)[0].(map[string]any)
	engines["cold_s"], engines["cold_per_s"] = coldTime.Seconds(), coldRate
	value, err := json.Marshal(configuration)
	qt.Assert(s.t, err, qt.IsNil)
	s.putRow("op", "config", value)
	for n := range s.hosts {
		s.eventually("the configuration is in force", func() bool { return s.statusOf(n).Configuration == s.version })
	}
}

// startColdEngine starts an engine that is cold after its start.
func (s *site) startColdEngine(id string, models ...string) *testProcess {
	s.t.Helper()
	engine := startPlatformStandin(s.t, id, "endpoint", fakeplatform.Settings{
		ID: id, Service: "llm", Zone: "z1", Store: s.store.address(), Slots: 64, Models: models, MaxModels: 3, MaxAdapters: 2,
		Downtime: document.Duration(engineDowntime), ColdTime: document.Duration(coldTime),
	})
	s.engines = append(s.engines, engine)
	return engine
}

// history reads what an endpoint has done.
func (s *site) history(endpoint *testProcess) fakeplatform.History {
	s.t.Helper()
	var history fakeplatform.History
	s.eventually("the endpoint responds", func() bool {
		response, err := s.client.Get("http://" + endpoint.address() + "/runs")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return json.NewDecoder(response.Body).Decode(&history) == nil
	})
	return history
}

// mostInOneSecond returns the largest number of requests that reached an endpoint in one second between two times, in Unix
// milliseconds, and their total number.
func mostInOneSecond(history fakeplatform.History, from, to int64) (most, total int) {
	var times []int64
	for _, run := range history.Runs {
		if run.StartedAt >= from && run.StartedAt < to {
			times = append(times, run.StartedAt)
		}
	}
	slices.Sort(times)
	first := 0
	for last, at := range times {
		for at-times[first] >= 1000 {
			first++
		}
		most = max(most, last-first+1)
	}
	return most, len(times)
}

// askFast sends a number of requests in parallel through each host until the returned function is called.
func (s *site) askFast(hosts []int, request siteRequest) (stop func()) {
	var stops []func()
	for range 4 {
		stops = append(stops, s.askSteadily(hosts, request))
	}
	return sync.OnceFunc(func() {
		for _, stop := range stops {
			stop()
		}
	})
}

// TestPlatformColdEngine guards against more requests to a cold engine than it tolerates: one that starts, one that crashes under load
// and restarts, and one that becomes cold while its failure domain is evacuated; also when the lease holder is killed and when the store does not respond. It also
// guards against a cold engine that gets no requests, and against an engine that is held back once it is not cold any more.
func TestPlatformColdEngine(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 3)
	s.putColdConfiguration()
	hosts := []int{0, 1, 2}
	stop := s.askFast(hosts, siteRequest{path: "/draft/1", key: "k1", model: "m1"})
	defer stop()
	time.Sleep(time.Second)
	engine := s.startColdEngine("cold", "m1")
	bound := int(coldRate*coldExcess) + coldSlack
	check := func(what string, from int64, length time.Duration) {
		s.t.Helper()
		time.Sleep(time.Until(time.UnixMilli(from).Add(length)))
		most, total := mostInOneSecond(s.history(engine), from, from+length.Milliseconds())
		t.Logf("%s: at most %d requests in one second, %d in %s; bound %d", what, most, total, length, bound)
		qt.Check(t, most <= bound, qt.IsTrue, qt.Commentf("%s: %d requests in one second", what, most))
		qt.Check(t, total > 0, qt.IsTrue, qt.Commentf("%s", what))
	}
	warm := func(what string) {
		s.t.Helper()
		s.eventually(what, func() bool {
			now := time.Now().UnixMilli()
			most, _ := mostInOneSecond(s.history(engine), now-2000, now)
			return most > 2*bound
		})
	}
	check("start", time.Now().UnixMilli(), coldTime-500*time.Millisecond)
	warm("the engine is not cold any more")

	setFaults(t, fault.Faults{DeadlyPart: deadlyPart}, engine)
	sessions := 0
	s.eventually("the engine crashes", func() bool {
		sessions++ // each prefers another engine
		s.ask(siteRequest{path: "/draft/1", key: "k1", model: "m1", parts: fmt.Sprintf("c%x:10,%s:10,d1:10", sessions, deadlyPart)})
		return len(s.history(engine).Crashes) > 0
	})
	setFaults(t, fault.Faults{}, engine)
	check("crash", s.history(engine).Crashes[0]+1, engineDowntime+coldTime-500*time.Millisecond)
	warm("the engine is not cold any more after its crash")

	s.putRow("op", "evacuate/z1", nil)
	time.Sleep(evacuationBound)
	s.post(engine, "/cool")
	s.removeRow("op", "evacuate/z1")
	check("returned to service", time.Now().UnixMilli(), 3*time.Second)
	known := time.Now().UnixMilli()
	s.hosts[s.leaseHolder()].Kill()
	for _, l := range s.links {
		l.cutBoth()
	}
	check("without lease holder and store", known, coldTime-4*time.Second)
}
