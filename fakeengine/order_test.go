package fakeengine_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fakeengine"
	"magnoliahoist/fault"
)

// sendOrder sends an order for version 1 of a model and returns the status of the response.
func (e testEngine) sendOrder(action, name, id string, fencingNumber, sequence, memory int64) int {
	status, _ := e.send("/v2/repository/models/"+name+"/"+action, fmt.Sprintf(
		`{"parameters":{"kind":"model","version":"1","fence":%d,"sequence":%d,"order":%q,"memory":%d}}`, fencingNumber, sequence, id, memory))
	return status
}

// Guards against an engine that carries out an order that it must refuse, and against a load refused for
// lack of memory that the memory's counts do not show.
func TestOrders(t *testing.T) {
	c := qt.New(t)
	type step struct {
		verb, name, id                  string
		fencingNumber, sequence, memory int64
		status                          int
	}
	cases := map[string]struct {
		checkFencingNumbers bool
		steps               []step
		used                int64
		refusedLoads        int64
	}{
		"beyond memory": {true, []step{
			{"load", "n", "1", 1, 1, 60, 507}, {"load", "n", "2", 1, 2, 50, 200}}, 100, 1},
		"old fence": {true, []step{
			{"load", "n", "1", 2, 1, 10, 200}, {"load", "o", "2", 1, 2, 10, 409}}, 60, 0},
		"old fence not checked": {false, []step{
			{"load", "n", "1", 2, 1, 10, 200}, {"load", "o", "2", 1, 2, 10, 200}}, 70, 0},
		"late copy after unload": {true, []step{
			{"load", "n", "1", 1, 1, 10, 200}, {"unload", "n", "2", 1, 2, 0, 200}, {"load", "n", "1", 1, 1, 10, 200}}, 50, 0},
		"late copy not checked": {false, []step{
			{"load", "n", "1", 1, 1, 10, 200}, {"unload", "n", "2", 1, 2, 0, 200}, {"load", "n", "1", 1, 1, 10, 200}}, 60, 0},
		"old sequence": {true, []step{
			{"unload", "n", "2", 1, 2, 0, 200}, {"load", "n", "1", 1, 1, 10, 409}}, 50, 0},
		"old sequence, another model": {true, []step{
			{"load", "n", "2", 1, 2, 10, 200}, {"load", "o", "1", 1, 1, 10, 409}}, 60, 0},
		"same sequence": {true, []step{
			{"load", "n", "1", 1, 1, 10, 200}, {"load", "o", "2", 1, 1, 10, 409}}, 60, 0},
		"lower sequence, higher fence": {true, []step{
			{"load", "n", "1", 1, 9, 10, 200}, {"load", "o", "2", 2, 1, 10, 200}}, 70, 0},
		"loaded twice": {true, []step{
			{"load", "n", "1", 1, 1, 10, 200}, {"load", "n", "2", 1, 2, 10, 200}}, 60, 0},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			e := startEngine(c.TB, fakeengine.Settings{CheckFencingNumbers: test.checkFencingNumbers})
			for i, s := range test.steps {
				c.Assert(e.sendOrder(s.verb, s.name, s.id, s.fencingNumber, s.sequence, s.memory), qt.Equals, s.status, qt.Commentf("step %d", i))
			}
			c.Assert(e.MemoryUsage().Used, qt.Equals, test.used)
			c.Assert(e.RefusedLoads(), qt.Equals, test.refusedLoads)
			c.Assert(e.PeakMemory() > 100, qt.Equals, test.refusedLoads > 0)
		})
	}
}

// Guards against an order that is carried out after a higher fencing number was confirmed.
func TestFence(t *testing.T) {
	c := qt.New(t)
	e := startEngine(t, fakeengine.Settings{CheckFencingNumbers: true})
	e.Faults.Replace(fault.Faults{LateOrder: document.Duration(20 * time.Millisecond)})
	c.Assert(e.sendOrder("load", "n", "1", 1, 1, 10), qt.Equals, 0)
	status, _ := e.send("/v2/fence", `{"fence":2}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	waitUntil(c, func() bool { return len(e.LoadReport().OrderResults) == 1 })
	c.Assert(e.LoadReport().OrderResults[0], qt.Equals, fakeengine.OrderResult{OrderID: "1", Result: fakeengine.ResultRefused})
	status, _ = e.send("/v2/fence", `{"fence":1}`)
	c.Assert(status, qt.Equals, http.StatusConflict)
	e.Faults.Replace(fault.Faults{IgnoreFence: true})
	status, _ = e.send("/v2/fence", `{"fence":3}`)
	c.Assert(status, qt.Equals, http.StatusNotFound)
	c.Assert(e.sendOrder("load", "n", "2", 1, 1, 10), qt.Equals, http.StatusOK)
}

// Guards against order faults that do not have the effect on the order that they describe.
func TestOrderFaults(t *testing.T) {
	c := qt.New(t)
	const delay = document.Duration(10 * time.Millisecond)
	// copyDelay leaves time for an order that must reach the engine before the second copy of the first one does.
	const copyDelay = document.Duration(300 * time.Millisecond)
	cases := map[string]struct {
		faults fault.Faults
		status int
		used   int64
	}{
		"lost":       {fault.Faults{LoseOrder: 1}, 0, 50},
		"late":       {fault.Faults{LateOrder: delay}, 0, 60},
		"reply lost": {fault.Faults{LoseReply: 1}, 0, 60},
		"doubled":    {fault.Faults{DoubleOrder: 1, LateOrder: copyDelay}, 200, 60},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			e := startEngine(c.TB, fakeengine.Settings{})
			e.Faults.Replace(test.faults)
			c.Assert(e.sendOrder("load", "n", "1", 1, 1, 10), qt.Equals, test.status)
			waitUntil(c, func() bool { return e.MemoryUsage().Used == test.used })
			if name == "doubled" {
				e.Faults.Replace(fault.Faults{})
				c.Assert(e.sendOrder("unload", "n", "2", 1, 2, 0), qt.Equals, http.StatusOK)
				// An engine that does not check fencing numbers carries out the second copy after the unload.
				waitUntil(c, func() bool { return e.MemoryUsage().Used == test.used })
			}
		})
	}
}

// Guards against memory that becomes free while a request still uses it.
func TestUnloadWaits(t *testing.T) {
	c := qt.New(t)
	e := startEngine(t, fakeengine.Settings{TimeToFirstToken: 50 * time.Millisecond})
	ended := make(chan int, 1)
	go func() {
		status, _ := e.send("/v1/completions", `{"model":"m","prompt":"p"}`)
		ended <- status
	}()
	waitUntil(c, func() bool { return e.LoadReport().Running == 1 })
	c.Assert(e.sendOrder("unload", "m", "1", 1, 1, 0), qt.Equals, http.StatusOK)
	c.Assert(e.LoadReport().Running, qt.Equals, 0)
	c.Assert(<-ended, qt.Equals, http.StatusOK)
	c.Assert(e.MemoryUsage().Used, qt.Equals, int64(10))
}
