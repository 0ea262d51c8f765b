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

// Pools, routes and keys of the tests.
const (
	engines  = "engines"
	services = "services"
	key      = "secret"
)

// bench drives a reducer and keeps what it asked for.
type bench struct {
	t      testing.TB
	state  *dispatch.State
	now    time.Duration
	number uint64
}

func routes() []catalog.Route {
	return []catalog.Route{
		{Name: "draft", Host: "h", Prefix: "/draft/", Stream: true, Repeat: catalog.Once, Attempts: 1, Goal: 800 * time.Millisecond,
			Pause: 400 * time.Millisecond, Timeout: 15 * time.Second, Shares: []catalog.Share{{Pool: engines, Weight: 1}}},
		{Name: "free", Host: "h", Prefix: "/free/", Stream: true, Resume: true, Repeat: catalog.Once, Attempts: 2, Goal: 6 * time.Second,
			Priority: 2, Timeout: 15 * time.Second, Shares: []catalog.Share{{Pool: engines, Weight: 1}}},
		{Name: "stamp", Host: "h", Prefix: "/stamp/", Repeat: catalog.Once, Attempts: 2, Goal: 150 * time.Millisecond,
			Timeout: 800 * time.Millisecond, Shares: []catalog.Share{{Pool: services, Weight: 1}}},
		{Name: "lookup", Host: "h", Prefix: "/lookup/", Repeat: catalog.Idempotent, Attempts: 2, Goal: 150 * time.Millisecond,
			Timeout: 800 * time.Millisecond, Shares: []catalog.Share{{Pool: services, Weight: 1}}},
		{Name: "open", Host: "h", Prefix: "/open/", Open: true, Repeat: catalog.Idempotent, Attempts: 1, Shares: []catalog.Share{{Pool: services, Weight: 1}}},
	}
}

func document(version int64) catalog.Document {
	return catalog.Document{
		Version:  version,
		Accounts: []catalog.Account{{Name: "yards", Tokens: true, Plain: 200, Rate: 1e6, Burst: 1e6}},
		Keys:     map[catalog.Digest]string{catalog.DigestOf(key): "yards"},
		Routes:   routes(),
		Pools: []catalog.Pool{
			{Name: engines, Engine: &catalog.Engine{Slots: 64, Models: map[string]catalog.Model{"m": {Name: "m", Adapters: 2}}}},
			{Name: services},
		},
	}
}

// newBench returns a host with a configuration, two engines that hold the model m, and two services.
func newBench(t testing.TB) *bench {
	b := &bench{t: t, state: dispatch.New(dispatch.Settings{Host: "self", Domain: "near", RetryShare: 0.2, RetryFloor: 5, RetryWindow: 10 * time.Second})}
	b.now = time.Minute
	b.apply(dispatch.Joined{Members: []dispatch.Member{{Name: "self", ID: "1"}}})
	b.apply(dispatch.Configured{Catalog: catalog.New(document(1))})
	b.apply(dispatch.Registered{Endpoints: endpoints()})
	b.apply(dispatch.Orderable{Pool: engines, Possible: true})
	b.now += time.Minute // the account's burst is earned
	return b
}

func endpoints() []directory.Endpoint {
	held := []directory.Model{{Name: "m"}}
	return []directory.Endpoint{
		{ID: "e1", Pool: engines, Address: "10.0.0.1:80", Domain: "near", Slots: 64, Models: held},
		{ID: "e2", Pool: engines, Address: "10.0.0.2:80", Domain: "near", Slots: 64, Models: held},
		{ID: "s1", Pool: services, Address: "10.0.0.3:80", Domain: "near", Slots: 2},
		{ID: "s2", Pool: services, Address: "10.0.0.4:80", Domain: "far", Slots: 2},
	}
}

// apply applies an event and returns a copy of its effects.
func (b *bench) apply(event dispatch.Event) []dispatch.Effect {
	return append([]dispatch.Effect(nil), b.state.Apply(b.now, event)...)
}

// arrive sends a request and returns its number with the effects.
func (b *bench) arrive(path string, work intake.Work) (uint64, []dispatch.Effect) {
	b.number++
	request := &intake.Request{ID: fmt.Sprint("r", b.number), Host: "h", Path: path, Key: catalog.DigestOf(key), HasKey: true, Work: work}
	return b.number, b.apply(dispatch.Arrive{Number: b.number, Request: request})
}

func generation(adapter string) intake.Generation {
	return intake.Generation{Model: "m", Adapter: adapter, Prompt: 1000, Output: 100}
}

// finish ends the running attempt of a request.
func (b *bench) finish(number uint64, outcome dispatch.Outcome) []dispatch.Effect {
	return b.apply(dispatch.Finished{Number: number, Outcome: outcome})
}

// sendOf returns the attempt among effects.
func sendOf(effects []dispatch.Effect) (dispatch.Send, bool) {
	for _, e := range effects {
		if send, is := e.(dispatch.Send); is {
			return send, true
		}
	}
	return dispatch.Send{}, false
}

// refusalOf returns the refusal among effects.
func refusalOf(effects []dispatch.Effect) (dispatch.Refuse, bool) {
	for _, e := range effects {
		if refuse, is := e.(dispatch.Refuse); is {
			return refuse, true
		}
	}
	return dispatch.Refuse{}, false
}
