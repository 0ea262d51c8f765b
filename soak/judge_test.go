package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/soak"
)

const stream = "id: 1\ndata: r1\n\nid: 2\ndata: r1\n\n"

func promises() soak.Promises {
	return soak.Promises{Events: 2, Rate: 10, Burst: 20, Cost: 10, Limited: "k3", Patience: time.Second, Withdrawn: "k2",
		InTouch: 2 * time.Second, Trust: 10 * time.Second, Lease: 300 * time.Millisecond, Drain: 2 * time.Second, Contact: 3 * time.Second}
}

// TestJudge guards against a judge that does not see a broken promise, or sees one where there is none.
func TestJudge(t *testing.T) {
	good := soak.Asked{ID: "r1", Route: "draft", Path: "/draft/1", Key: "k1", Status: 200, Signed: true, Whole: true, Answer: stream}
	run := fakeplatform.Run{ID: "r1", Path: "/draft/1"}
	for name, test := range map[string]struct {
		change func(p *soak.Play)
		broken int
	}{
		"good":             {func(*soak.Play) {}, 0},
		"foreign run":      {func(p *soak.Play) { p.Asked = nil }, 1},
		"twice":            {func(p *soak.Play) { p.Endpoints["e1"] = fakeplatform.History{Runs: []*fakeplatform.Run{&run}} }, 1},
		"refused and ran":  {func(p *soak.Play) { p.Asked[0].Status, p.Asked[0].Signed = 503, false }, 1},
		"other body":       {func(p *soak.Play) { p.Asked[0].Body = "x" }, 1},
		"unsigned success": {func(p *soak.Play) { p.Asked[0].Signed = false }, 1},
		"signed failure":   {func(p *soak.Play) { p.Asked[0].Status = 500 }, 1},
		"denied":           {func(p *soak.Play) { p.Asked[0].Status, p.Asked[0].Signed = 401, false }, 1},
		"answer of other":  {func(p *soak.Play) { p.Asked[0].Answer = "id: 1\ndata: r2\n\nid: 2\ndata: r2\n\n" }, 1},
		"event twice":      {func(p *soak.Play) { p.Asked[0].Answer = "id: 1\ndata: r1\n\n" + stream }, 1},
		"event missing":    {func(p *soak.Play) { p.Asked[0].Answer = "id: 1\ndata: r1\n\n" }, 1},
		"cut":              {func(p *soak.Play) { p.Asked[0].Answer, p.Asked[0].Whole = "id: 1\n", false }, 0},
		"withdrawn key":    {func(p *soak.Play) { p.Asked[0].Key, p.Asked[0].Sent, p.Acked = "k2", 4*time.Second, time.Second }, 1},
		"just withdrawn":   {func(p *soak.Play) { p.Asked[0].Key, p.Asked[0].Sent, p.Acked = "k2", 3*time.Second, time.Second }, 0},
		"withdrawn, cut off": {func(p *soak.Play) {
			p.Asked[0].Key, p.Asked[0].Sent, p.Acked = "k2", 4*time.Second, time.Second
			p.Steps = []soak.Step{{At: time.Second, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Trouble: soak.Silent}}}
		}, 0},
		"overfull":        {func(p *soak.Play) { p.Endpoints["e1"] = fakeplatform.History{Crashed: true} }, 1},
		"two holders":     {func(p *soak.Play) { p.Endpoints["e1"] = history(order("a", 1, 0), order("b", 2, 200)) }, 1},
		"same lease":      {func(p *soak.Play) { p.Endpoints["e1"] = history(order("a", 1, 0), order("b", 1, 900)) }, 1},
		"goes back":       {func(p *soak.Play) { p.Endpoints["e1"] = history(order("b", 2, 0), order("a", 1, 900)) }, 1},
		"handed over":     {func(p *soak.Play) { p.Endpoints["e1"] = history(order("a", 1, 0), order("b", 2, 400)) }, 0},
		"left":            {func(p *soak.Play) { p.Endpoints["e0"] = leaving(1000, 0, 3500) }, 1},
		"leaves":          {func(p *soak.Play) { p.Endpoints["e0"] = leaving(1000, 0, 2500) }, 0},
		"left, then anew": {func(p *soak.Play) { p.Endpoints["e0"] = leaving(1000, 3200, 3500) }, 0},
		"left, host cut off": {func(p *soak.Play) {
			p.Endpoints["e0"] = leaving(1000, 0, 3500)
			p.Steps = []soak.Step{{At: 0, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Trouble: soak.Silent}}}
		}, 0},
		"left, other host cut off": {func(p *soak.Play) {
			p.Endpoints["e0"] = leaving(1000, 0, 3500)
			p.Steps = []soak.Step{{At: 0, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Index: 1, Trouble: soak.Silent}}}
		}, 1},
		"left, request held up": {func(p *soak.Play) {
			p.Endpoints["e0"] = leaving(1000, 0, 3500)
			p.Asked[0].Sent = 900 * time.Millisecond
			p.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Trouble: soak.Silent}}}
		}, 0},
		"left, link disturbed, asked late": {func(p *soak.Play) {
			p.Endpoints["e0"] = leaving(1000, 0, 3500)
			p.Asked[0].Sent = 3100 * time.Millisecond
			p.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Trouble: soak.Silent}}}
		}, 1},
		"left, other link disturbed": {func(p *soak.Play) {
			p.Endpoints["e0"] = leaving(1000, 0, 3500)
			p.Asked[0].Sent = 900 * time.Millisecond
			p.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Index: 1, Trouble: soak.Silent}}}
		}, 1},
		"over its rate": {func(p *soak.Play) {
			p.Asked[0].Key = "k3"
			var more fakeplatform.History
			for _, id := range []string{"r2", "r3", "r4"} {
				a := good
				a.ID, a.Key, a.Route, a.Answer = id, "k3", "lookup", id
				p.Asked = append(p.Asked, a)
				more.Runs = append(more.Runs, &fakeplatform.Run{ID: id, Path: "/draft/1"})
			}
			p.Endpoints["e1"] = more
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := soak.Play{Promises: promises(), Asked: []soak.Asked{good}, Began: time.UnixMilli(0), Endpoints: map[string]fakeplatform.History{"e0": {Runs: []*fakeplatform.Run{&run}}}}
			test.change(&p)
			broken := p.Judge()
			qt.Check(t, broken, qt.HasLen, test.broken, qt.Commentf("%q", broken))
		})
	}
}

func history(orders ...fakeplatform.Order) fakeplatform.History {
	return fakeplatform.History{Orders: orders}
}

// leaving returns the history of an endpoint that leaves, with a run that began at a time, all in milliseconds.
func leaving(from, to, began int64) fakeplatform.History {
	run := fakeplatform.Run{ID: "r1", Path: "/draft/1", Began: began}
	return fakeplatform.History{Runs: []*fakeplatform.Run{&run}, Left: []fakeplatform.Leave{{From: from, To: to}}}
}

func order(owner string, fence, at int64) fakeplatform.Order {
	return fakeplatform.Order{Owner: owner, Fence: fence, At: at}
}
