package endpoint

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// twoEndpoints returns a view of the endpoints a and b in different failure domains, which both hold the model m.
func twoEndpoints() *View {
	v := New(Settings{Seed: 1})
	v.SetEndpoints(0, []Endpoint{
		{Name: "a", Pool: "p", Domain: "x", Slots: 4},
		{Name: "b", Pool: "p", Domain: "y", Slots: 4},
	})
	for _, name := range []string{"a", "b"} {
		v.SetResidentModels(name, []ResidentModel{{Model: "m", Version: "1"}})
	}
	return v
}

// pickName returns the name of the chosen endpoint; empty for none.
func pickName(v *View, now time.Duration, w Requirements) string {
	i, ok := v.Pick(now, w)
	if !ok {
		return ""
	}
	return v.EndpointAt(i).Name
}

// failAttempts makes attempts fail on the endpoint with the index.
func failAttempts(v *View, now time.Duration, i, times int) {
	for range times {
		v.StartAttempt(now, i, 1)
		v.FinishAttempt(now, i, 1, Failed)
	}
}

// TestPickChoosesEndpoint guards against choices that ignore load, failure domain, resident models or the endpoint's state.
func TestPickChoosesEndpoint(t *testing.T) {
	m := Requirements{Model: "m", Pool: "p"}
	for description, test := range map[string]struct {
		change   func(v *View)
		required Requirements
		name     string
	}{
		"own failure domain": {func(*View) {}, Requirements{Model: "m", Domain: "y"}, "b"},
		"own calls":          {func(v *View) { v.StartAttempt(0, 0, 1) }, m, "b"},
		"own tokens":         {func(v *View) { v.StartAttempt(0, 0, 9000); v.StartAttempt(0, 1, 1) }, m, "b"},
		"report":             {func(v *View) { v.SetReport(0, "a", Report{Running: 2}) }, m, "b"},
		"adapter": {func(v *View) {
			v.SetResidentModels("b", []ResidentModel{{Model: "m", Version: "1", Adapters: []string{"ad"}}})
		}, Requirements{Model: "m", Adapter: "ad", Domain: "x"}, "b"},
		"version":                  {func(v *View) { v.SetResidentModels("b", []ResidentModel{{Model: "m", Version: "2"}}) }, Requirements{Model: "m", Version: "2", Domain: "x"}, "b"},
		"version not held":         {func(*View) {}, Requirements{Model: "m", Version: "9", Domain: "x"}, "a"},
		"leaving":                  {func(v *View) { v.SetLeaving("a", true) }, Requirements{Model: "m", Domain: "x"}, "b"},
		"all leaving":              {func(v *View) { v.SetLeaving("a", true); v.SetLeaving("b", true) }, m, ""},
		"excluded":                 {func(*View) {}, Requirements{Model: "m", Domain: "x", Exclude: []int{0}}, "b"},
		"ejected":                  {func(v *View) { failAttempts(v, 0, 0, 5) }, Requirements{Model: "m", Domain: "x"}, "b"},
		"last not ejected":         {func(v *View) { v.SetLeaving("b", true); failAttempts(v, 0, 0, 50) }, m, "a"},
		"last holder stays":        {func(v *View) { v.SetResidentModels("b", nil); failAttempts(v, 0, 0, 50) }, m, "a"},
		"service":                  {func(v *View) { v.SetLeaving("a", true) }, Requirements{Pool: "p"}, "b"},
		"unknown model":            {func(*View) {}, Requirements{Model: "n"}, ""},
		"other pool":               {func(*View) {}, Requirements{Model: "m", Pool: "q"}, ""},
		"configured, not reported": {func(v *View) { v.SetConfiguredModels("p", []string{"n"}) }, Requirements{Model: "n"}, ""},
		"removed":                  {func(v *View) { v.SetEndpoints(0, []Endpoint{{Name: "b", Pool: "p", Slots: 4}}) }, Requirements{Model: "m", Domain: "x"}, "b"},
	} {
		t.Run(description, func(t *testing.T) {
			v := twoEndpoints()
			test.change(v)
			qt.Assert(t, pickName(v, 0, test.required), qt.Equals, test.name)
		})
	}
}

// TestConfiguredModelIsReachableUntilReported guards against configured models that get no calls before the first report of their pool, and
// against calls to an endpoint that has reported without the model.
func TestConfiguredModelIsReachableUntilReported(t *testing.T) {
	v := twoEndpoints()
	v.SetEndpoints(0, []Endpoint{{Name: "a", Pool: "p", Slots: 4}, {Name: "c", Pool: "p", Slots: 4}})
	v.SetConfiguredModels("p", []string{"n"})
	qt.Assert(t, pickName(v, 0, Requirements{Model: "n", Pool: "p"}), qt.Equals, "c")
	v.SetResidentModels("a", []ResidentModel{{Model: "n"}})
	qt.Assert(t, pickName(v, 0, Requirements{Model: "n"}), qt.Equals, "a")
	v.SetResidentModels("a", nil)
	v.SetResidentModels("c", nil)
	qt.Assert(t, pickName(v, 0, Requirements{Model: "n"}), qt.Equals, "")
}

// TestPickLimitsCalls guards against more calls than slots, against own calls that are counted again as part of a report, and
// against an outdated report that keeps requests in the queue.
func TestPickLimitsCalls(t *testing.T) {
	v := twoEndpoints()
	v.SetLeaving("b", true)
	for range 3 {
		v.StartAttempt(0, 0, 1)
	}
	v.SetReport(time.Second, "a", Report{Running: 3, TakenAt: time.Second})
	qt.Assert(t, pickName(v, time.Second, Requirements{Model: "m"}), qt.Equals, "a")
	v.SetReport(time.Second, "a", Report{Running: 4, TakenAt: time.Second})
	qt.Assert(t, pickName(v, time.Second, Requirements{Model: "m"}), qt.Equals, "")
	qt.Assert(t, pickName(v, 5*time.Second, Requirements{Model: "m"}), qt.Equals, "a")
	v.StartAttempt(5*time.Second, 0, 1)
	qt.Assert(t, pickName(v, 5*time.Second, Requirements{Model: "m"}), qt.Equals, "")
}

// TestEjectedEndpointGetsOneProbe guards against several probes at once and against an ejection time that does not double.
func TestEjectedEndpointGetsOneProbe(t *testing.T) {
	v := twoEndpoints()
	failAttempts(v, 0, 0, 5)
	w := Requirements{Model: "m", Domain: "y"}
	now := time.Duration(0)
	for _, ejection := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		qt.Assert(t, pickName(v, now+ejection-1, w), qt.Equals, "b")
		now += ejection
		qt.Assert(t, pickName(v, now, w), qt.Equals, "a")
		v.StartAttempt(now, 0, 1)
		qt.Assert(t, pickName(v, now, w), qt.Equals, "b")
		v.FinishAttempt(now, 0, 1, Failed)
	}
	now += 8 * time.Second
	v.StartAttempt(now, 0, 1)
	v.FinishAttempt(now, 0, 1, Done)
	qt.Assert(t, pickName(v, now, Requirements{Model: "m", Domain: "x"}), qt.Equals, "a")
}

// TestPrefixKeepsEndpoint guards against prefixes that move to another endpoint when an unrelated one leaves. Only prefixes with the
// leaving endpoint among their neighbours may move: 500 * 4/170 on average, a quarter of which prefer the new neighbour.
func TestPrefixKeepsEndpoint(t *testing.T) {
	v := manyEndpoints(170, 20)
	for e := range 170 {
		v.SetReport(0, fmt.Sprint("e", e), Report{})
	}
	before := make(map[uint64]int)
	for prefix := uint64(1); prefix <= 500; prefix++ {
		before[prefix], _ = v.Pick(0, Requirements{Model: "m0", Prefix: prefix})
	}
	v.SetLeaving("e0", true)
	moved := 0
	for prefix, i := range before {
		if now, _ := v.Pick(0, Requirements{Model: "m0", Prefix: prefix}); now != i && i != 0 {
			moved++
		}
	}
	qt.Assert(t, moved <= 12, qt.IsTrue, qt.Commentf("%d moved", moved))
}

// TestRetryBudgetIsATenth guards against retries that multiply the load while attempts fail.
func TestRetryBudgetIsATenth(t *testing.T) {
	v := twoEndpoints()
	allowed := 0
	for range 1000 {
		v.StartAttempt(0, 0, 1)
		v.FinishAttempt(0, 0, 1, Failed)
		if v.AllowRetry(0) {
			v.StartAttempt(0, 0, 1)
			v.FinishAttempt(0, 0, 1, Failed)
			allowed++
		}
	}
	qt.Assert(t, allowed >= 95 && allowed <= 102, qt.IsTrue, qt.Commentf("%d", allowed))
	qt.Assert(t, v.AllowRetry(time.Hour), qt.IsTrue)
}

// TestCountersSurviveChange guards against counters that are lost, or counted for another endpoint, when the pools table changes during a call.
func TestCountersSurviveChange(t *testing.T) {
	v := twoEndpoints()
	v.StartAttempt(0, 0, 1)
	v.SetEndpoints(0, []Endpoint{{Name: "b", Pool: "p", Slots: 4}})
	v.SetEndpoints(0, []Endpoint{{Name: "b", Pool: "p", Slots: 4}, {Name: "c", Pool: "p", Slots: 4}})
	qt.Assert(t, v.EndpointAt(0).Name, qt.Equals, "a")
	v.FinishAttempt(0, 0, 1, Done)
	qt.Assert(t, v.entries[2].ownCalls, qt.Equals, 0)
	v.SetEndpoints(0, []Endpoint{{Name: "d", Pool: "p", Slots: 4}})
	qt.Assert(t, v.EndpointAt(0).Name, qt.Equals, "d")
	qt.Assert(t, pickName(v, 0, Requirements{Pool: "p"}), qt.Equals, "d")
}

// manyEndpoints returns a view of endpoints in 9 failure domains that all hold the model m0, and each other model on two endpoints.
func manyEndpoints(endpoints, models int) *View {
	v := New(Settings{Seed: 1})
	var list []Endpoint
	for e := range endpoints {
		list = append(list, Endpoint{Name: fmt.Sprint("e", e), Pool: "p", Domain: fmt.Sprint("d", e%9), Slots: 16})
	}
	v.SetEndpoints(0, list)
	for e := range endpoints {
		var resident []ResidentModel
		for m := range models {
			if m == 0 || m%endpoints == e || (m+1)%endpoints == e {
				resident = append(resident, ResidentModel{Model: fmt.Sprint("m", m), Version: "1", Adapters: []string{"a"}})
			}
		}
		v.SetResidentModels(list[e].Name, resident)
		v.SetReport(0, list[e].Name, Report{Running: e % 7})
	}
	return v
}

// TestPickDoesNotAllocate guards against memory allocations in Pick, which runs for every attempt.
func TestPickDoesNotAllocate(t *testing.T) {
	v := manyEndpoints(170, 20)
	w := Requirements{Model: "m0", Adapter: "a", Version: "1", Pool: "p", Prefix: 7, Domain: "d1", Tokens: 256, Exclude: []int{3}}
	qt.Assert(t, testing.AllocsPerRun(100, func() { v.Pick(0, w) }), qt.Equals, 0.0)
}

// BenchmarkPick measures the choice of an endpoint and the counting of its attempt.
func BenchmarkPick(b *testing.B) {
	for _, endpoints := range []int{4, 22, 170, 1700} {
		for _, models := range []int{20, 870} {
			b.Run(fmt.Sprintf("endpoints=%d/models=%d", endpoints, models), func(b *testing.B) {
				v := manyEndpoints(endpoints, models)
				w := Requirements{Model: "m0", Adapter: "a", Version: "1", Pool: "p", Domain: "d1", Tokens: 256}
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					w.Prefix = uint64(n + 1)
					i, ok := v.Pick(time.Second, w)
					if !ok {
						b.Fatal("no endpoint")
					}
					v.StartAttempt(time.Second, i, 256)
					v.FinishAttempt(time.Second, i, 256, Done)
				}
			})
		}
	}
}
