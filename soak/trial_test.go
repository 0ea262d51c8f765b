package soak_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/soak"
)

const completeStream = "id: 1\ndata: r1\n\nid: 2\ndata: r1\n\n"

func testGuarantees() soak.Guarantees {
	return soak.Guarantees{EventsPerStream: 2, LimitedRate: 10, LimitedBurst: 20, LimitedTokensPerCall: 10, LimitedKey: "k3", CallerTimeout: time.Second, WithdrawnKey: "k2",
		FreshnessWindow: 2 * time.Second, TrustPeriod: 10 * time.Second, MinOrderGap: 300 * time.Millisecond, DrainPeriod: 2 * time.Second, RecoveryTime: 3 * time.Second}
}

// TestViolations guards against checks that miss a violated guarantee or report one that was kept.
func TestViolations(t *testing.T) {
	good := soak.Exchange{ID: "r1", Route: "draft", Path: "/draft/1", APIKey: "k1", Status: 200, HasResponseStamp: true, Complete: true, ResponseBody: completeStream}
	run := fakeplatform.Run{ID: "r1", Path: "/draft/1"}
	for name, test := range map[string]struct {
		change     func(trial *soak.Trial)
		violations int
	}{
		"no violation":                {func(*soak.Trial) {}, 0},
		"run without request":         {func(trial *soak.Trial) { trial.Exchanges = nil }, 1},
		"ran twice":                   {func(trial *soak.Trial) { trial.Endpoints["e1"] = fakeplatform.History{Runs: []*fakeplatform.Run{&run}} }, 1},
		"refused and ran":             {func(trial *soak.Trial) { trial.Exchanges[0].Status, trial.Exchanges[0].HasResponseStamp = 503, false }, 1},
		"other body":                  {func(trial *soak.Trial) { trial.Exchanges[0].RequestBody = "x" }, 1},
		"success without stamp":       {func(trial *soak.Trial) { trial.Exchanges[0].HasResponseStamp = false }, 1},
		"failure with stamp":          {func(trial *soak.Trial) { trial.Exchanges[0].Status = 500 }, 1},
		"valid request rejected":      {func(trial *soak.Trial) { trial.Exchanges[0].Status, trial.Exchanges[0].HasResponseStamp = 401, false }, 1},
		"response to another request": {func(trial *soak.Trial) { trial.Exchanges[0].ResponseBody = "id: 1\ndata: r2\n\nid: 2\ndata: r2\n\n" }, 1},
		"event repeated":              {func(trial *soak.Trial) { trial.Exchanges[0].ResponseBody = "id: 1\ndata: r1\n\n" + completeStream }, 1},
		"event missing":               {func(trial *soak.Trial) { trial.Exchanges[0].ResponseBody = "id: 1\ndata: r1\n\n" }, 1},
		"stream interrupted": {func(trial *soak.Trial) {
			trial.Exchanges[0].ResponseBody, trial.Exchanges[0].Complete = "id: 1\n", false
		}, 0},
		"withdrawn key served": {func(trial *soak.Trial) {
			trial.Exchanges[0].APIKey, trial.Exchanges[0].SentAt, trial.WithdrawnAt = "k2", 4*time.Second, time.Second
		}, 1},
		"withdrawn key, within the bound": {func(trial *soak.Trial) {
			trial.Exchanges[0].APIKey, trial.Exchanges[0].SentAt, trial.WithdrawnAt = "k2", 3*time.Second, time.Second
		}, 0},
		"withdrawn key, host without contact": {func(trial *soak.Trial) {
			trial.Exchanges[0].APIKey, trial.Exchanges[0].SentAt, trial.WithdrawnAt = "k2", 4*time.Second, time.Second
			trial.Steps = []soak.Step{{At: time.Second, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Trouble: soak.Silent}}}
		}, 0},
		"request after a response that said leaving":            {func(trial *soak.Trial) { sayLeaving(trial, 3200, 3300, 0) }, 1},
		"request after a response that said leaving, in time":   {func(trial *soak.Trial) { sayLeaving(trial, 2900, 3300, 0) }, 0},
		"request after a response that said leaving, restarted": {func(trial *soak.Trial) { sayLeaving(trial, 3200, 3300, 3250) }, 0},
		"request after a response that said leaving, host suspended": {func(trial *soak.Trial) {
			sayLeaving(trial, 3200, 3300, 0)
			trial.Steps = []soak.Step{{At: 2 * time.Second, For: time.Second, Act: soak.PauseHost{}}}
		}, 0},
		"request after a response that said leaving, store silent": {func(trial *soak.Trial) {
			sayLeaving(trial, 3200, 3300, 0)
			trial.Steps = []soak.Step{{At: 0, For: 9 * time.Second, Act: soak.FailStore{Failure: soak.Down}}}
		}, 1},
		"requests in a rest": {func(trial *soak.Trial) { askForRest(trial, 600, 700, 800) }, 1},
		"requests in a rest, during the failure that causes it": {func(trial *soak.Trial) {
			askForRest(trial, 600, 700, 800)
			trial.Steps = []soak.Step{{At: 900 * time.Millisecond, For: time.Second, Act: soak.FailEndpoint{Endpoint: 9, Failure: soak.Rest}}}
		}, 1},
		"few requests in a rest": {func(trial *soak.Trial) { askForRest(trial, 100, 600, 700, 2100) }, 0},
		"requests in a rest, host restarted": {func(trial *soak.Trial) {
			askForRest(trial, 600, 700, 800)
			trial.Steps = []soak.Step{{At: time.Second, For: time.Second, Act: soak.KillHost{}}}
		}, 0},
		"requests in a rest, endpoint restarted before them": {func(trial *soak.Trial) {
			askForRest(trial, 600, 700, 800)
			restart(trial, 1550)
		}, 0},
		"requests in a rest, endpoint restarted after them": {func(trial *soak.Trial) {
			askForRest(trial, 600, 700, 800)
			restart(trial, 1900)
		}, 1},
		"requests in a rest, endpoint restarted before it": {func(trial *soak.Trial) {
			askForRest(trial, 600, 700, 800)
			restart(trial, 900)
		}, 1},
		"memory exceeded":                         {func(trial *soak.Trial) { trial.Endpoints["e1"] = fakeplatform.History{Crashed: true} }, 1},
		"two holders too close":                   {func(trial *soak.Trial) { trial.Endpoints["e1"] = history(order("a", 1, 0), order("b", 2, 200)) }, 1},
		"same fencing number":                     {func(trial *soak.Trial) { trial.Endpoints["e1"] = history(order("a", 1, 0), order("b", 1, 900)) }, 1},
		"lower fencing number":                    {func(trial *soak.Trial) { trial.Endpoints["e1"] = history(order("b", 2, 0), order("a", 1, 900)) }, 1},
		"lease handed over":                       {func(trial *soak.Trial) { trial.Endpoints["e1"] = history(order("a", 1, 0), order("b", 2, 400)) }, 0},
		"request after leaving":                   {func(trial *soak.Trial) { trial.Endpoints["e0"] = leaving(1000, 0, 3500) }, 1},
		"request while leaving, within the bound": {func(trial *soak.Trial) { trial.Endpoints["e0"] = leaving(1000, 0, 2500) }, 0},
		"request after leaving and restart":       {func(trial *soak.Trial) { trial.Endpoints["e0"] = leaving(1000, 3200, 3500) }, 0},
		"request after leaving, host without contact": {func(trial *soak.Trial) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Steps = []soak.Step{{At: 0, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Trouble: soak.Silent}}}
		}, 0},
		"request after leaving, another host without contact": {func(trial *soak.Trial) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Steps = []soak.Step{{At: 0, For: 2 * time.Second, Act: soak.Disturb{Link: soak.StoreLink, Index: 1, Trouble: soak.Silent}}}
		}, 1},
		"request after leaving, delayed on the link": {func(trial *soak.Trial) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Exchanges[0].SentAt = 900 * time.Millisecond
			trial.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Trouble: soak.Silent}}}
		}, 0},
		"request after leaving, link disturbed, sent too late": {func(trial *soak.Trial) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Exchanges[0].SentAt = 3100 * time.Millisecond
			trial.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Trouble: soak.Silent}}}
		}, 1},
		"request after leaving, another link disturbed": {func(trial *soak.Trial) {
			trial.Endpoints["e0"] = leaving(1000, 0, 3500)
			trial.Exchanges[0].SentAt = 900 * time.Millisecond
			trial.Steps = []soak.Step{{At: 500 * time.Millisecond, For: 3 * time.Second, Act: soak.Disturb{Link: soak.EndpointLink, Index: 1, Trouble: soak.Silent}}}
		}, 1},
		"rate exceeded": {func(trial *soak.Trial) {
			trial.Exchanges[0].APIKey = "k3"
			var more fakeplatform.History
			for _, id := range []string{"r2", "r3", "r4"} {
				e := good
				e.ID, e.APIKey, e.Route, e.ResponseBody = id, "k3", "lookup", id
				trial.Exchanges = append(trial.Exchanges, e)
				more.Runs = append(more.Runs, &fakeplatform.Run{ID: id, Path: "/draft/1"})
			}
			trial.Endpoints["e1"] = more
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			trial := soak.Trial{Guarantees: testGuarantees(), Exchanges: []soak.Exchange{good}, StartedAt: time.UnixMilli(0), Endpoints: map[string]fakeplatform.History{"e0": {Runs: []*fakeplatform.Run{&run}}}}
			test.change(&trial)
			violations := trial.Violations()
			qt.Check(t, violations, qt.HasLen, test.violations, qt.Commentf("%q", violations))
		})
	}
}

// history returns the history of an engine that received orders.
func history(orders ...fakeplatform.Order) fakeplatform.History {
	return fakeplatform.History{Orders: orders}
}

// leaving returns the history of an endpoint that left at from and restarted at to (0: never), with a run that began at startedAt; all in milliseconds.
func leaving(from, to, startedAt int64) fakeplatform.History {
	run := fakeplatform.Run{ID: "r1", Path: "/draft/1", StartedAt: startedAt}
	return fakeplatform.History{Runs: []*fakeplatform.Run{&run}, LeavePeriods: []fakeplatform.LeavePeriod{{From: from, To: to}}}
}

// sayLeaving adds a response at 1,000 that says that endpoint e9 leaves, and a request that was sent at sentAt and ran there at
// startedAt; the endpoint restarted at restart (0: never). All in milliseconds.
func sayLeaving(trial *soak.Trial, sentAt, startedAt, restart int64) {
	trial.Exchanges[0].LeavingEndpoint, trial.Exchanges[0].SentAt, trial.Exchanges[0].EndedAt = "e9", 900*time.Millisecond, time.Second
	late := soak.Exchange{ID: "r2", Route: "lookup", Path: "/lookup/1", SentAt: time.Duration(sentAt) * time.Millisecond}
	trial.Exchanges = append(trial.Exchanges, late)
	run := fakeplatform.Run{ID: "r2", Path: "/lookup/1", StartedAt: startedAt}
	// The host has no contact with the store, which excuses it from knowing the registration only.
	trial.Endpoints["e9"] = fakeplatform.History{Runs: []*fakeplatform.Run{&run}, LeavePeriods: []fakeplatform.LeavePeriod{{From: 2000, To: restart}}}
}

// askForRest adds a refusal by endpoint e9 at 1,000 that asks for rest of two seconds, and further refusals of requests of the same
// host at some times after it. All in milliseconds.
func askForRest(trial *soak.Trial, after ...int64) {
	rest := document.Duration(2 * time.Second)
	refusals := []fakeplatform.Refusal{{ID: "r1", At: 1000, Rest: rest}}
	for _, ms := range after {
		refusals = append(refusals, fakeplatform.Refusal{ID: "r1", At: 1000 + ms, Rest: document.Duration(time.Millisecond)})
	}
	trial.Endpoints["e9"] = fakeplatform.History{Refusals: refusals}
}

// restart adds a restart of endpoint e9 at a time, in milliseconds.
func restart(trial *soak.Trial, at int64) {
	history := trial.Endpoints["e9"]
	history.Restarts = append(history.Restarts, at)
	trial.Endpoints["e9"] = history
}

// order returns an order that was received at receivedAt, in milliseconds.
func order(owner string, fencingNumber, receivedAt int64) fakeplatform.Order {
	return fakeplatform.Order{Owner: owner, FencingNumber: fencingNumber, ReceivedAt: receivedAt}
}

// TestVersionViolations guards against a check that misses joined streams, or streams that are refused without need, or reports those that
// engines can't serve or that hosts out of touch refuse.
func TestVersionViolations(t *testing.T) {
	event := func(n int, version string) string {
		return fmt.Sprintf("id: %d\ndata: piece %d of r by %s\n\n", n, n, version)
	}
	release := soak.Step{At: 0, For: time.Minute, Act: soak.Release{Version: 2}}
	for name, test := range map[string]struct {
		streams    int
		rest       string // response body of the request that takes a stream up
		version    string // that began the streams
		steps      []soak.Step
		violations int
	}{
		"gone on":                         {12, event(2, "v1"), "v1", nil, 0},
		"joined":                          {3, event(2, "v2"), "v1", nil, 1},
		"few joined":                      {2, event(2, "v2"), "v1", nil, 0},
		"joined in an incomplete event":   {3, "id: 2\ndata: piece 2 of r by v2", "v1", nil, 0},
		"refused":                         {12, "", "v1", nil, 1},
		"few refused":                     {11, "", "v1", nil, 0},
		"refused, version in service":     {12, "", "v2", []soak.Step{release}, 1},
		"refused, version not in service": {12, "", "v2", nil, 0},
		"refused at a host out of touch":  {12, "", "v1", []soak.Step{{At: 9 * time.Second, For: time.Second, Act: soak.PauseHost{Host: 1}}}, 0},
		"refused, another host paused":    {12, "", "v1", []soak.Step{{At: 9 * time.Second, For: time.Second, Act: soak.PauseHost{Host: 2}}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			trial := soak.Trial{Guarantees: testGuarantees(), StartedAt: time.UnixMilli(0), Steps: test.steps}
			for n := range test.streams {
				begun := soak.Exchange{ID: fmt.Sprint("b", n), Route: "free", Path: "/free/1", APIKey: "k1", SentAt: 9 * time.Second, EndedAt: 10 * time.Second, ResponseBody: event(1, test.version)}
				rest := begun
				rest.ID, rest.Host, rest.Resumes, rest.SentAt, rest.EndedAt, rest.ResponseBody = fmt.Sprint("t", n), 1, begun.ID, 11*time.Second, 12*time.Second, test.rest
				trial.Exchanges = append(trial.Exchanges, begun, rest)
			}
			violations := trial.Violations()
			qt.Check(t, violations, qt.HasLen, test.violations, qt.Commentf("%q", violations))
		})
	}
}
