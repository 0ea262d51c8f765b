package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
)

// TestChoose guards against work for endpoints that leave, lack the model or fail.
func TestChoose(t *testing.T) {
	for name, test := range map[string]struct {
		before func(b *bench)
		path   string
		work   intake.Work
		want   string // endpoint; empty for a refusal
	}{
		"nearer service":   {func(*bench) {}, "/stamp/1", intake.Call{}, "s1"},
		"leaving service":  {func(b *bench) { b.leave("s1") }, "/stamp/1", intake.Call{}, "s2"},
		"leaving engine":   {func(b *bench) { b.leave("e1") }, "/draft/1", generation(""), "e2"},
		"no model":         {func(*bench) {}, "/draft/1", intake.Generation{Model: "absent", Prompt: 10}, ""},
		"busy others":      {func(b *bench) { b.observe("e1", 30_000) }, "/draft/1", generation(""), "e2"},
		"busy others too":  {func(b *bench) { b.observe("e2", 30_000) }, "/draft/1", generation(""), "e1"},
		"model retiring":   {func(b *bench) { b.retire("e1") }, "/draft/1", generation(""), "e2"},
		"not connectable":  {func(b *bench) { b.fail("s1", dispatch.Unsent, 1) }, "/stamp/1", intake.Call{}, "s2"},
		"failing in a row": {func(b *bench) { b.fail("s1", dispatch.Failure, 3) }, "/stamp/1", intake.Call{}, "s2"},
		"failed once":      {func(b *bench) { b.fail("s1", dispatch.Failure, 1) }, "/stamp/1", intake.Call{}, "s1"},
		"all ejected": {func(b *bench) {
			b.fail("s1", dispatch.Unsent, 1)
			b.fail("s2", dispatch.Unsent, 1)
		}, "/stamp/1", intake.Call{}, "s1"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			test.before(b)
			_, effects := b.arrive(test.path, test.work)
			send, _ := sendOf(effects)
			qt.Check(t, send.Endpoint.ID, qt.Equals, test.want)
			if test.want == "" {
				refuse, _ := refusalOf(effects)
				qt.Check(t, refuse.Reason, qt.Equals, dispatch.NoModel)
			}
		})
	}
}

func (b *bench) leave(id string) {
	list := endpoints()
	for i := range list {
		list[i].Leaving = list[i].ID == id
	}
	b.apply(dispatch.Registered{Endpoints: list})
}

func (b *bench) observe(id string, backlog int64) {
	b.apply(dispatch.Observed{Pool: engines, Loads: []dispatch.Load{{Endpoint: id, Running: 1, Backlog: dispatch.Backlog{backlog}}}})
}

func (b *bench) retire(id string) {
	b.apply(dispatch.Observed{Pool: engines, Loads: []dispatch.Load{{Endpoint: id, Retiring: "m"}}})
}

// fail lets attempts at an endpoint fail; attempts that went elsewhere succeed.
func (b *bench) fail(id string, outcome dispatch.Outcome, times int) {
	for range 20 {
		if times == 0 {
			return
		}
		number, effects := b.arrive("/open/1", intake.Call{})
		send, sent := sendOf(effects)
		if !sent {
			b.t.Fatal("no attempt")
		}
		if send.Endpoint.ID == id {
			b.finish(number, outcome)
			times--
			continue
		}
		defer b.finish(number, dispatch.Done) // keeps the other endpoint busier
	}
}

// TestLearnsFromCallersWhoLeave guards against an engine that has become so slow that its callers leave before the
// first token, and that goes on getting requests because only answers told how fast it is.
func TestLearnsFromCallersWhoLeave(t *testing.T) {
	b := newBench(t)
	slow := 0
	for n := range 40 {
		number, effects := b.arrive("/draft/1", generation(""))
		send, sent := sendOf(effects)
		qt.Assert(t, sent, qt.IsTrue)
		if send.Endpoint.ID == "e1" {
			if n >= 20 {
				slow++
			}
			b.now += 3 * time.Second
			b.apply(dispatch.Left{Number: number})
			continue
		}
		b.now += send.Wait
		b.apply(dispatch.First{Number: number})
		b.finish(number, dispatch.Done)
	}
	qt.Check(t, slow <= 2, qt.IsTrue, qt.Commentf("%d of 20", slow))
}

// TestSessionAffinity guards against prompts of one session that are spread over engines, each of which reads the
// shared parts anew.
func TestSessionAffinity(t *testing.T) {
	b := newBench(t)
	seen := map[string]int{}
	for n := range 20 {
		work := generation("")
		work.Parts = []intake.Part{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 200}, {ID: uint64(100 + n), Tokens: 500}}
		number, effects := b.arrive("/draft/1", work)
		send, _ := sendOf(effects)
		seen[send.Endpoint.ID]++
		b.now += send.Wait
		b.apply(dispatch.First{Number: number})
		b.finish(number, dispatch.Done)
	}
	qt.Check(t, len(seen), qt.Equals, 1, qt.Commentf("%v", seen))
}

// TestLateLane guards against requests that can't be in time any more and delay those that can: they are sent with the
// least urgency, and refused at once when they would not be answered before their callers leave.
func TestLateLane(t *testing.T) {
	for name, test := range map[string]struct {
		backlog int64
		urgency int
		reason  dispatch.Reason
	}{
		"in time":  {5_000, 1, 0},
		"late":     {25_000, 7, 0},
		"hopeless": {90_000, 0, dispatch.Overloaded},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.observe("e1", test.backlog)
			b.apply(dispatch.Observed{Pool: engines, Loads: []dispatch.Load{
				{Endpoint: "e1", Running: 1, Backlog: dispatch.Backlog{test.backlog}},
				{Endpoint: "e2", Running: 1, Backlog: dispatch.Backlog{test.backlog}},
			}})
			_, effects := b.arrive("/draft/1", generation(""))
			send, sent := sendOf(effects)
			qt.Check(t, sent, qt.Equals, test.urgency > 0)
			qt.Check(t, send.Urgency, qt.Equals, test.urgency)
		})
	}
}

// TestAdapterFetch guards against an order for each request that waits for the same adapter, and against requests that
// are forgotten when the order fails.
func TestAdapterFetch(t *testing.T) {
	b := newBench(t)
	first, effects := b.arrive("/free/1", generation("a1"))
	fetch, is := effects[0].(dispatch.Fetch)
	qt.Assert(t, is, qt.IsTrue)
	second, effects := b.arrive("/free/1", generation("a1"))
	qt.Check(t, effects, qt.HasLen, 0)
	effects = b.apply(dispatch.Fetched{Pool: engines, Endpoint: fetch.Endpoint, Model: "m", Adapter: "a1", Loaded: true})
	qt.Check(t, effects, qt.HasLen, 2)
	for i, number := range []uint64{first, second} {
		send, is := effects[i].(dispatch.Send)
		qt.Assert(t, is, qt.IsTrue)
		qt.Check(t, send.Number, qt.Equals, number)
		qt.Check(t, send.Endpoint.ID, qt.Equals, fetch.Endpoint)
		b.apply(dispatch.First{Number: number})
		b.finish(number, dispatch.Done)
	}
	_, effects = b.arrive("/free/1", generation("a1"))
	_, sent := sendOf(effects)
	qt.Check(t, sent, qt.IsTrue, qt.Commentf("the adapter is known to be loaded"))

	_, effects = b.arrive("/free/1", generation("a2"))
	fetch = effects[0].(dispatch.Fetch)
	effects = b.apply(dispatch.Fetched{Pool: engines, Endpoint: fetch.Endpoint, Model: "m", Adapter: "a2"})
	other, is := effects[0].(dispatch.Fetch)
	qt.Assert(t, is, qt.IsTrue, qt.Commentf("%v", effects))
	qt.Check(t, other.Endpoint, qt.Not(qt.Equals), fetch.Endpoint)
}

// TestAdapterOfLoadingEngine guards against asking for an adapter on an engine that refuses it because it loads a
// model, and against holding the request when there is no other engine.
func TestAdapterOfLoadingEngine(t *testing.T) {
	for name, test := range map[string]struct {
		loading []dispatch.Load
		want    string // engine that is asked; empty for a refusal
	}{
		"one":       {[]dispatch.Load{{Endpoint: "e1", Loading: true}}, "e2"},
		"the other": {[]dispatch.Load{{Endpoint: "e2", Loading: true}}, "e1"},
		"both":      {[]dispatch.Load{{Endpoint: "e1", Loading: true}, {Endpoint: "e2", Loading: true}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.apply(dispatch.Observed{Pool: engines, Loads: test.loading})
			_, effects := b.arrive("/free/1", generation("a1"))
			fetch, asked := effects[0].(dispatch.Fetch)
			qt.Check(t, asked, qt.Equals, test.want != "")
			qt.Check(t, fetch.Endpoint, qt.Equals, test.want)
			_, refused := refusalOf(effects)
			qt.Check(t, refused, qt.Equals, test.want == "")
		})
	}
}

// TestAdapterWithoutHolder guards against waiting for an adapter that nobody can order.
func TestAdapterWithoutHolder(t *testing.T) {
	b := newBench(t)
	b.apply(dispatch.Orderable{Pool: engines, Possible: false})
	_, effects := b.arrive("/draft/1", generation("a1"))
	refuse, refused := refusalOf(effects)
	qt.Assert(t, refused, qt.IsTrue)
	qt.Check(t, refuse.Retry > 0, qt.IsTrue)
}
