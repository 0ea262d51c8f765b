package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/soak"
)

const completeStream = "id: 1\ndata: r1\n\nid: 2\ndata: r1\n\n"

func testGuarantees() soak.Promises {
	return soak.Promises{Events: 2, Rate: 10, Burst: 20, Cost: 10, Limited: "k3", Patience: time.Second, Withdrawn: "k2",
		InTouch: 2 * time.Second, Trust: 10 * time.Second, Lease: 300 * time.Millisecond, Drain: 2 * time.Second, Contact: 3 * time.Second}
}

// TestViolations guards against checks that miss a violated guarantee or report one that was kept.
func TestViolations(t *testing.T) {
	good := soak.Asked{ID: "r1", Route: "draft", Path: "/draft/1", Key: "k1", Status: 200, Signed: true, Whole: true, Answer: completeStream}
	run := fakeplatform.Run{ID: "r1", Path: "/draft/1"}
	for name, test := range map[string]struct {
		change func(trial *soak.Play)
		broken int
	}{
		"no violation":                {func(*soak.Play) {}, 0},
		"run without request":         {func(trial *soak.Play) { trial.Asked = nil }, 1},
		"ran twice":                   {func(trial *soak.Play) { trial.Endpoints["e1"] = fakeplatform.History{Runs: []*fakeplatform.Run{&run}} }, 1},
		"refused and ran":             {func(trial *soak.Play) { trial.Asked[0].Status, trial.Asked[0].Signed = 503, false }, 1},
		"other body":                  {func(trial *soak.Play) { trial.Asked[0].Body = "x" }, 1},
		"unsigned success":            {func(trial *soak.Play) { trial.Asked[0].Signed = false }, 1},
		"signed failure":              {func(trial *soak.Play) { trial.Asked[0].Status = 500 }, 1},
		"valid request rejected":      {func(trial *soak.Play) { trial.Asked[0].Status, trial.Asked[0].Signed = 401, false }, 1},
		"response to another request": {func(trial *soak.Play) { trial.Asked[0].Answer = "id: 1\ndata: r2\n\nid: 2\ndata: r2\n\n" }, 1},
		"event repeated":              {func(trial *soak.Play) { trial.Asked[0].Answer = "id: 1\ndata: r1\n\n" + completeStream }, 1},
		"event missing":               {func(trial *soak.Play) { trial.Asked[0].Answer = "id: 1\ndata: r1\n\n" }, 1},
		"stream interrupted":          {func(trial *soak.Play) { trial.Asked[0].Answer, trial.Asked[0].Whole = "id: 1\n", false }, 0},
		"withdrawn key served": {func(trial *soak.Play) {
			trial.Asked[0].Key, trial.Asked[0].Sent, trial.Acked = "k2", 4*time.Second, time.Second
		}, 1},
		"withdrawn key, within the bound": {func(trial *soak.Play) {
			trial.Asked[0].Key, trial.Asked[0].Sent, trial.Acked = "k2", 3*time.Second, time.Second
		}, 0},
		"withdrawn key, host without contact": {func(trial *soak.Play) {
			trial.Asked[0].Key, trial.Asked[0].Sent, trial.Acked = "k2", 4*time.Second, time.Second
			trial.Steps = []soak.Step{{At: time.Second, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Trouble: soak.Silent}}}
		}, 0},
		"memory exceeded":                         {func(trial *soak.Play) { trial.Endpoints["e1"] = fakeplatform.History{Crashed: true} }, 1},
		"two holders too close":                   {func(trial *soak.Play) { trial.Endpoints["e1"] = history(order("a", 1, 0), order("b", 2, 200)) }, 1},
		"same fencing number":                     {func(trial *soak.Play) { trial.Endpoints["e1"] = history(order("a", 1, 0), order("b", 1, 900)) }, 1},
		"lower fencing number":                    {func(trial *soak.Play) { trial.Endpoints["e1"] = history(order("b", 2, 0), order("a", 1, 900)) }, 1},
		"lease handed over":                       {func(trial *soak.Play) { trial.Endpoints["e1"] = history(order("a", 1, 0), order("b", 2, 400)) }, 0},
		"request after leaving":                   {func(trial *soak.Play) { trial.Endpoints["e0"] = leaving(1000, 0, 3500) }, 1},
		"request while leaving, within the bound": {func(trial *soak.Play) { trial.Endpoints["e0"] = leaving(1000, 0, 2500) }, 0},
		"request after leaving and restart":       {func(trial *soak.Play) { trial.Endpoints["e0"] = leaving(1000, 3200, 3500) }, 0},
		"request after leaving, host without contact": {func(trial *soak.Play) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Steps = []soak.Step{{At: 0, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Trouble: soak.Silent}}}
		}, 0},
		"request after leaving, another host without contact": {func(trial *soak.Play) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Steps = []soak.Step{{At: 0, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Index: 1, Trouble: soak.Silent}}}
		}, 1},
		"request after leaving, delayed on the link": {func(trial *soak.Play) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Asked[0].Sent = 900 * time.Millisecond
			trial.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Trouble: soak.Silent}}}
		}, 0},
		"request after leaving, link disturbed, sent too late": {func(trial *soak.Play) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Asked[0].Sent = 3100 * time.Millisecond
			trial.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Trouble: soak.Silent}}}
		}, 1},
		"request after leaving, another link disturbed": {func(trial *soak.Play) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Asked[0].Sent = 900 * time.Millisecond
			trial.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Index: 1, Trouble: soak.Silent}}}
		}, 1},
		"rate exceeded": {func(trial *soak.Play) {
			trial.Asked[0].Key = "k3"
			var more fakeplatform.History
			for _, id := range []string{"r2", "r3", "r4"} {
				a := good
				a.ID, a.Key, a.Route, a.Answer = id, "k3", "lookup", id
				trial.Asked = append(trial.Asked, a)
				more.Runs = append(more.Runs, &fakeplatform.Run{ID: id, Path: "/draft/1"})
			}
			trial.Endpoints["e1"] = more
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			trial := soak.Play{Promises: testGuarantees(), Asked: []soak.Asked{good}, Began: time.UnixMilli(0), Endpoints: map[string]fakeplatform.History{"e0": {Runs: []*fakeplatform.Run{&run}}}}
			test.change(&trial)
			broken := trial.Judge()
			qt.Check(t, broken, qt.HasLen, test.broken, qt.Commentf("%q", broken))
		})
	}
}

// history returns the history of an engine that received orders.
func history(orders ...fakeplatform.Order) fakeplatform.History {
	return fakeplatform.History{Orders: orders}
}

// leaving returns the history of an endpoint that left at from and restarted at to (0: never), with a run that began at began; all in milliseconds.
func leaving(from, to, began int64) fakeplatform.History {
	run := fakeplatform.Run{ID: "r1", Path: "/draft/1", Began: began}
	return fakeplatform.History{Runs: []*fakeplatform.Run{&run}, Left: []fakeplatform.Leave{{From: from, To: to}}}
}

// order returns an order that was received at a time in milliseconds.
func order(owner string, fence, at int64) fakeplatform.Order {
	return fakeplatform.Order{Owner: owner, Fence: fence, At: at}
}
