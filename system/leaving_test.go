package system_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/fakehosts"
	"magnoliahoist/fault"
)

// leavingWithin is the time within which hosts must stop sending new requests to a leaving endpoint.
const leavingWithin = 3 * time.Second

// putHosts replaces the platform's host list.
func (f *fleet) putHosts(list []fakehosts.Host) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+f.hostList.address()+"/v1/hosts", bytes.NewReader(encode(f.t, list)))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		f.t.Fatalf("unable to replace the host list: %s", response.Status)
	}
}

// Guards against new requests to an endpoint that the platform's host list marks as leaving, also when the list becomes
// stale or unavailable, or is read by a host that starts later.
func TestProveLeavingEndpoint(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	l := layout{hostCount: 3, engineOptions: fastEngine, fencedEngines: []bool{true, true}}
	f := newFleet(t, l)
	list := []fakehosts.Host{
		{Name: "engine-0", Address: f.engines[0].address(), State: fakehosts.Leaving},
		{Name: "engine-1", Address: f.engines[1].address(), State: fakehosts.Live},
		{Name: "service-0", Address: f.services[0].address(), State: fakehosts.Leaving},
		{Name: "service-1", Address: f.services[1].address(), State: fakehosts.Live},
	}
	sendRequests := func(name string) {
		runConcurrently(12, func(i int) {
			host := i % len(f.hosts)
			a := f.chat(host, f.keys["yards"], fmt.Sprintf("%s %d", name, i), 3)
			c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
			stamp := f.stamp(host, fmt.Sprintf("%s-%d", name, i), "{}")
			c.Check(stamp.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", stamp))
		})
	}
	checkNoRequests := func(name string) {
		c.Helper()
		before := f.requestsAt(0)
		sendRequests(name)
		c.Check(f.requestsAt(0), qt.Equals, before, qt.Commentf("%s", name))
	}
	sendRequests("before")
	c.Assert(f.requestsAt(0) > 0, qt.IsTrue)
	f.putHosts(list)
	time.Sleep(leavingWithin)
	checkNoRequests("leaving")
	setFaults(t, fault.Faults{Stale: true}, f.hostList)
	checkNoRequests("stale")
	f.addHost(l, 3)
	f.eventually("the new host serves", func() bool { return f.chat(3, f.keys["yards"], "new", 1).status == http.StatusOK })
	time.Sleep(leavingWithin)
	checkNoRequests("new host")
	setFaults(t, fault.Faults{Down: true}, f.hostList)
	time.Sleep(leavingWithin)
	checkNoRequests("down")
	setFaults(t, fault.Faults{}, f.hostList)
	list[0].State, list[2].State = fakehosts.Live, fakehosts.Live
	f.putHosts(list)
	time.Sleep(leavingWithin)
	before := f.requestsAt(0)
	sendRequests("back")
	c.Assert(f.requestsAt(0) > before, qt.IsTrue)
}

// requestsAt returns the number of requests that the engine and the service with the given number received, in sum.
func (f *fleet) requestsAt(number int) int {
	f.t.Helper()
	var requests, headers []any
	getJSON(f.t, f.engines[number].address(), "/debug/requests", &requests)
	getJSON(f.t, f.services[number].address(), "/debug/headers", &headers)
	return len(requests) + len(headers)
}
