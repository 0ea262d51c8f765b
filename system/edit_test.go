package system_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/operator"
	"magnoliahoist/route"
)

// inForceTimeout is the longest time until an accepted edit is in force on every host (invariant I12).
const inForceTimeout = 10 * time.Second

// operatorFailure returns the host's error response to an operator, or the zero value if err is none.
func operatorFailure(err error) operator.Failure {
	if f, is := err.(*operator.Failure); is {
		return *f
	}
	return operator.Failure{}
}

// editedRoutes returns the host's routes table with the tokens of the route history replaced, and the revision of the table that it read.
func (f *fleet) editedRoutes(host int, tokens int64) (route.Table, int64) {
	f.t.Helper()
	routes, revision, err := f.operatorClients[host].Routes(context.Background())
	if err != nil {
		f.t.Fatal(err)
	}
	return withHistoryTokens(routes, tokens), revision
}

// withHistoryTokens returns a copy of the table with the tokens of the route history replaced.
func withHistoryTokens(routes route.Table, tokens int64) route.Table {
	routes.Routes = slices.Clone(routes.Routes)
	for i := range routes.Routes {
		if routes.Routes[i].Name == "history" {
			routes.Routes[i].Tokens = tokens
		}
	}
	return routes
}

// historyTokens returns the tokens of the route history in the host's routes table, or -1 if it cannot be read.
func (f *fleet) historyTokens(host int) int64 {
	routes, _, err := f.operatorClients[host].Routes(context.Background())
	if err != nil || len(routes.Routes) == 0 {
		return -1
	}
	for _, r := range routes.Routes {
		if r.Name == "history" {
			return r.Tokens
		}
	}
	return -1
}

// awaitHistoryTokens waits until every host has the tokens in force, and fails the test when inForceTimeout has passed since the given time.
func (f *fleet) awaitHistoryTokens(c *qt.C, since time.Time, tokens int64) {
	c.Helper()
	for host := range f.hosts {
		for f.historyTokens(host) != tokens {
			if time.Since(since) > inForceTimeout {
				c.Fatalf("host %d has %d tokens in force, want %d", host, f.historyTokens(host), tokens)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against accepting two edits that are based on the same revision, and against a conflict response that does not
// contain the current revision.
func TestProveRaceOfEdits(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 5, engineOptions: fastEngine, fencedEngines: []bool{true}})
	for round := range 4 {
		base, revision := f.editedRoutes(0, 100)
		changes := make([]operator.Change, len(f.hosts))
		errs := make([]error, len(f.hosts))
		began := time.Now()
		runConcurrently(len(f.hosts), func(host int) {
			edit := withHistoryTokens(base, int64(100+10*round+host))
			changes[host], errs[host] = f.operatorClients[host].Put(context.Background(), operator.Routes, fmt.Sprintf("race-%d-%d", round, host), revision, encode(t, edit))
		})
		winner := -1
		for host, err := range errs {
			if err == nil {
				c.Assert(winner, qt.Equals, -1, qt.Commentf("more than one edit was accepted"))
				winner = host
			}
		}
		c.Assert(winner >= 0, qt.IsTrue, qt.Commentf("%v", errs))
		for host, err := range errs {
			if host != winner {
				c.Assert(operatorFailure(err).Status, qt.Equals, http.StatusPreconditionFailed, qt.Commentf("%v", err))
				c.Assert(operatorFailure(err).CurrentRevision, qt.Equals, changes[winner].Revision)
			}
		}
		f.awaitHistoryTokens(c, began, int64(100+10*round+winner))
	}
}

// Guards against an accepted edit that does not come into force on a host that is cut off from the table service or was
// frozen, and against an edit that is undone by a late write or by a host that is replaced.
func TestProveEditInForce(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	var links []*link
	f := newFleet(t, layout{hostCount: 5, engineOptions: fastEngine, fencedEngines: []bool{true}, tableAddress: func(host int, address string) string {
		links = append(links, newLink(t, address))
		return links[host].address()
	}})
	put := func(host int, id string, tokens int64) (operator.Change, error) {
		edit, revision := f.editedRoutes(host, tokens)
		return f.operatorClients[host].Put(context.Background(), operator.Routes, id, revision, encode(t, edit))
	}
	links[4].cutBoth()
	links[3].cutFromTarget()
	began := time.Now()
	change, err := put(0, "cut-off", 111)
	c.Assert(err, qt.IsNil)
	c.Assert(change.Accepted, qt.IsTrue)
	f.awaitHistoryTokens(c, began, 111)
	links[3].restore()
	links[4].restore()

	f.hosts[2].Pause()
	began = time.Now()
	_, err = put(1, "frozen", 122)
	c.Assert(err, qt.IsNil)
	time.Sleep(4 * time.Second) // longer than the freshness window, so that the frozen host becomes stale
	f.hosts[2].Resume()
	f.awaitHistoryTokens(c, began, 122)

	// The response is lost but the edit is applied: sending it again with the same id returns its outcome.
	setFaults(t, fault.Faults{LoseReply: 1}, f.tableService)
	edit, revision := f.editedRoutes(0, 133)
	change, err = f.operatorClients[0].Put(context.Background(), operator.Routes, "lost-reply", revision, encode(t, edit))
	if err != nil {
		c.Assert(operatorFailure(err).Run, qt.Equals, "unknown", qt.Commentf("%v", err))
	}
	again, err := f.operatorClients[1].Put(context.Background(), operator.Routes, "lost-reply", revision, encode(t, edit))
	c.Assert(err, qt.IsNil)
	c.Assert(change.Revision == 0 || change.Revision == again.Revision, qt.IsTrue)
	f.awaitHistoryTokens(c, time.Now(), 133)

	// A write that takes effect late must not undo an edit that was accepted before it took effect.
	late, lateRevision := f.editedRoutes(0, 144)
	setFaults(t, fault.Faults{LateWrite: document.Duration(1500 * time.Millisecond)}, f.tableService)
	_, lateErr := f.operatorClients[0].Put(context.Background(), operator.Routes, "late", lateRevision, encode(t, late))
	setFaults(t, fault.Faults{}, f.tableService)
	change, err = put(1, "after-late", 155)
	for i := 0; i < 20 && err != nil; i++ {
		change, err = put(1, fmt.Sprintf("after-late-%d", i), 155)
	}
	c.Assert(err, qt.IsNil)
	began = time.Now()
	c.Assert(change.Accepted, qt.IsTrue)
	f.awaitHistoryTokens(c, began, 155)
	time.Sleep(2 * time.Second)
	for host := range f.hosts {
		c.Check(f.historyTokens(host), qt.Equals, int64(155))
	}
	c.Log("error of the edit that was written late:", lateErr)
	// A replaced host must not bring back a routes table that was in force earlier.
	before := f.hosts[4].word("peers")
	f.hosts[4].Kill()
	f.hosts, f.operatorClients = f.hosts[:4], f.operatorClients[:4]
	f.addHost(layout{editSettings: func(_ int, settings hostSettings) {
		settings["listen"] = map[string]string{"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": before}
	}}, 4)
	f.awaitHistoryTokens(c, time.Now(), 155)
	f.eventually("the replaced host serves", func() bool {
		return f.chat(4, f.keys["yards"], "replaced", 2).status == http.StatusOK
	})
	f.eventually("the member row of the killed host is removed", func() bool {
		status, err := f.operatorClients[4].Status(context.Background())
		return err == nil && len(status.Members) == 5
	})
}

// Guards against edits that are applied, or not refused as not run, and against failing chats, while the table service is down
// and a host is killed at the same time. Both faults happen twice.
func TestProveTwoFaultsAtOnce(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 5, engineOptions: fastEngine, fencedEngines: []bool{true, true}})
	edit, revision := f.editedRoutes(0, 123)
	for round := range 2 {
		setFaults(t, fault.Faults{Down: true}, f.tableService)
		f.hosts[4-round].Kill()
		for host := range 4 - round {
			_, err := f.operatorClients[host].Put(context.Background(), operator.Routes, fmt.Sprintf("down-%d-%d", round, host), revision, encode(t, edit))
			c.Check(operatorFailure(err).Run, qt.Equals, "no", qt.Commentf("%v", err))
		}
		time.Sleep(4 * time.Second) // longer than the freshness window
		for host := range 4 - round {
			response := f.chat(host, f.keys["yards"], fmt.Sprintf("round %d", round), 5)
			c.Check(response.status, qt.Equals, http.StatusOK, qt.Commentf("round %d host %d: %+v", round, host, response))
			c.Check(strings.HasPrefix(chatText(response.body), wantText(fmt.Sprintf("round %d", round), 5)), qt.IsTrue)
		}
		setFaults(t, fault.Faults{}, f.tableService)
		f.eventually("stamps work again", func() bool {
			return f.stamp(0, fmt.Sprintf("two-%d", round), "{}").status == http.StatusOK
		})
		c.Check(f.executions(fmt.Sprintf("two-%d", round)), qt.Equals, 1)
	}
	c.Assert(f.historyTokens(0), qt.Equals, int64(400))
}
