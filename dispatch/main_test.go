package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
)

// Pools of the tests, and the only API key.
const (
	engines  = "engines"
	services = "services"
	apiKey   = "secret"
)

// harness drives the state machine of a host.
type harness struct {
	t          testing.TB
	state      *dispatch.State
	now        time.Duration // time of the next event
	lastNumber uint64        // number of the last request
}

// newRoutes returns two routes for streams of generations and three for calls.
func newRoutes() []catalog.Route {
	return []catalog.Route{
		{Name: "draft", Host: "h", Prefix: "/draft/", Stream: true, Repeat: catalog.AtMostOnce, MaxAttempts: 1, ResponseTarget: 800 * time.Millisecond,
			EventGapTarget: 400 * time.Millisecond, Timeout: 15 * time.Second, Pools: []catalog.WeightedPool{{Pool: engines, Weight: 1}}},
		{Name: "free", Host: "h", Prefix: "/free/", Stream: true, Resumable: true, Repeat: catalog.AtMostOnce, MaxAttempts: 2, ResponseTarget: 6 * time.Second,
			Priority: 2, Timeout: 15 * time.Second, Pools: []catalog.WeightedPool{{Pool: engines, Weight: 1}}},
		{Name: "stamp", Host: "h", Prefix: "/stamp/", Repeat: catalog.AtMostOnce, MaxAttempts: 2, ResponseTarget: 150 * time.Millisecond,
			Timeout: 800 * time.Millisecond, Pools: []catalog.WeightedPool{{Pool: services, Weight: 1}}},
		{Name: "lookup", Host: "h", Prefix: "/lookup/", Repeat: catalog.Idempotent, MaxAttempts: 2, ResponseTarget: 150 * time.Millisecond,
			Timeout: 800 * time.Millisecond, Pools: []catalog.WeightedPool{{Pool: services, Weight: 1}}},
		{Name: "open", Host: "h", Prefix: "/open/", Open: true, Repeat: catalog.Idempotent, MaxAttempts: 1, Pools: []catalog.WeightedPool{{Pool: services, Weight: 1}}},
	}
}

// newDocument returns a version of the configuration.
func newDocument(version int64) catalog.Document {
	return catalog.Document{
		Version:   version,
		Accounts:  []catalog.Account{{Name: "yards", CountsTokens: true, DefaultTokens: 200, Rate: 1e6, Burst: 1e6}},
		KeyOwners: map[catalog.Digest]string{catalog.DigestOf(apiKey): "yards"},
		Routes:    newRoutes(),
		Pools: []catalog.Pool{
			{Name: engines, Engine: &catalog.Engine{Slots: 64, Models: map[string]catalog.Model{"m": {Name: "m", AdapterCount: 2}}}},
			{Name: services},
		},
	}
}

// newHarness returns a host with a configuration, two engines that hold the model m, and two services.
func newHarness(t testing.TB) *harness { return newNamedHarness(t, "self") }

// newNamedHarness is newHarness for a host with a name.
func newNamedHarness(t testing.TB, name string) *harness {
	h := &harness{t: t, state: dispatch.New(dispatch.Settings{Host: name, Domain: "near", RetryShare: 0.2, RetryFloor: 5, RetryWindow: 10 * time.Second})}
	h.now = time.Minute
	h.apply(dispatch.MembersChanged{Members: []dispatch.Member{{Name: name, ID: "1"}}})
	h.apply(dispatch.ConfigurationChanged{Catalog: catalog.New(newDocument(1))})
	h.apply(dispatch.EndpointsChanged{Endpoints: newEndpoints()})
	h.apply(dispatch.AdapterOrdersChanged{Pool: engines, Possible: true})
	h.now += time.Minute // long enough to earn the account's burst
	return h
}

// newEndpoints returns two engines that hold the model m, and two services in different failure domains.
func newEndpoints() []directory.Endpoint {
	held := []directory.Model{{Name: "m"}}
	return []directory.Endpoint{
		{ID: "e1", Pool: engines, Address: "10.0.0.1:80", Domain: "near", Slots: 64, Models: held},
		{ID: "e2", Pool: engines, Address: "10.0.0.2:80", Domain: "near", Slots: 64, Models: held},
		{ID: "s1", Pool: services, Address: "10.0.0.3:80", Domain: "near", Slots: 2},
		{ID: "s2", Pool: services, Address: "10.0.0.4:80", Domain: "far", Slots: 2},
	}
}

// apply applies an event at h.now and returns a copy of the effects.
func (h *harness) apply(event dispatch.Event) []dispatch.Effect {
	return append([]dispatch.Effect(nil), h.state.Apply(h.now, event)...)
}

// arrive applies the arrival of a request and returns its number and the effects.
func (h *harness) arrive(path string, work intake.Work) (uint64, []dispatch.Effect) {
	h.lastNumber++
	request := &intake.Request{ID: fmt.Sprint("r", h.lastNumber), Host: "h", Path: path, Key: catalog.DigestOf(apiKey), HasKey: true, Work: work}
	return h.lastNumber, h.apply(dispatch.RequestArrived{Number: h.lastNumber, Request: request})
}

// generation returns a request for the model m with a prompt of 1,000 tokens.
func generation(adapter string) intake.Generation {
	return intake.Generation{Model: "m", Adapter: adapter, PromptTokens: 1000, MaxOutputTokens: 100}
}

// finish ends the running attempt of a request.
func (h *harness) finish(number uint64, outcome dispatch.Outcome) []dispatch.Effect {
	return h.apply(dispatch.AttemptFinished{Number: number, Outcome: outcome})
}

// findSend returns the first sent attempt among effects and whether there is one.
func findSend(effects []dispatch.Effect) (dispatch.SendAttempt, bool) {
	for _, e := range effects {
		if send, ok := e.(dispatch.SendAttempt); ok {
			return send, true
		}
	}
	return dispatch.SendAttempt{}, false
}

// findRefusal returns the first refusal among effects and whether there is one.
func findRefusal(effects []dispatch.Effect) (dispatch.RefuseRequest, bool) {
	for _, e := range effects {
		if refuse, ok := e.(dispatch.RefuseRequest); ok {
			return refuse, true
		}
	}
	return dispatch.RefuseRequest{}, false
}
