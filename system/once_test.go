package system_test

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fakeservice"
	"magnoliahoist/fault"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// executionsByKey returns how often the services ran each call, by idempotency key, or by path for calls without a key.
func (f *fleet) executionsByKey() map[string]int {
	f.t.Helper()
	counts := map[string]int{}
	for _, s := range f.services {
		var calls []fakeservice.Call
		getJSON(f.t, s.address(), "/debug/calls", &calls)
		for _, call := range calls {
			name := call.IdempotencyKey
			if name == "" {
				name = call.Path
			}
			counts[name] += call.Executions
		}
	}
	return counts
}

// keyHistory contains the responses to all calls with one idempotency key.
type keyHistory struct {
	key       string
	responses []callerResponse
}

func (h keyHistory) succeeded() bool {
	for _, a := range h.responses {
		if a.status == http.StatusOK {
			return true
		}
	}
	return false
}

func (h keyHistory) onlyNotRun() bool {
	for _, a := range h.responses {
		if a.run != "no" {
			return false
		}
	}
	return true
}

// check compares the responses with the number of executions at the services: at most one, exactly one after a success, and
// none if every response says that the call did not run.
func (h keyHistory) check(c *qt.C, executions int) {
	comment := qt.Commentf("%s: %+v", h.key, h.responses)
	c.Check(executions <= 1, qt.IsTrue, comment)
	if h.succeeded() {
		c.Check(executions, qt.Equals, 1, comment)
	}
	if h.onlyNotRun() {
		c.Check(executions, qt.Equals, 0, comment)
	}
}

// Guards against a stamp that runs twice, that is reported as successful without having run, or that runs although the response
// says "not run". Meanwhile the table service and the services lose responses, writes take effect late, the table service
// is down, a host is frozen, and callers repeat their calls through other hosts.
func TestProveStampsUnderFaults(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 3, engineOptions: fastEngine, fencedEngines: []bool{true}})
	const seed, workers, each, tries = 11, 16, 4, 3
	t.Logf("seed %d", seed)
	late := document.Duration(700 * time.Millisecond)
	disturbances := []func(){
		func() { setFaults(t, fault.Faults{LoseReply: 3}, f.tableService) },
		func() { setFaults(t, fault.Faults{LateWrite: late}, f.tableService) },
		func() { setFaults(t, fault.Faults{LateWrite: late, Slow: late / 7}, f.tableService) },
		func() { setFaults(t, fault.Faults{LoseReply: 2}, f.services...) },
		func() { setFaults(t, fault.Faults{Refuse: true}, f.services[0]) },
		func() { setFaults(t, fault.Faults{Down: true}, f.tableService) },
		func() { setFaults(t, fault.Faults{Slow: late}, f.services...); f.hosts[2].Pause() },
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; i < 200; i++ {
			disturbances[i%len(disturbances)]()
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			f.hosts[2].Resume()
			setFaults(t, fault.Faults{}, append(f.services, f.tableService)...)
		}
	}()
	var mu sync.Mutex
	var all []keyHistory
	runConcurrently(workers, func(worker int) {
		random := rand.New(rand.NewSource(seed + int64(worker)))
		for i := range each {
			h := keyHistory{key: fmt.Sprintf("stamp-%d-%d", worker, i)}
			for try := 0; try < tries && !h.succeeded(); try++ {
				h.responses = append(h.responses, f.stamp(random.Intn(len(f.hosts)), h.key, `{"result": "passed"}`))
				time.Sleep(time.Duration(random.Intn(200)) * time.Millisecond)
			}
			mu.Lock()
			all = append(all, h)
			mu.Unlock()
		}
	})
	close(stop)
	<-stopped
	f.hosts[2].Resume()
	setFaults(t, fault.Faults{}, append(f.services, f.tableService)...)
	time.Sleep(2 * late.Std())
	counts, done := f.executionsByKey(), 0
	for _, h := range all {
		h.check(c, counts[h.key])
		done += counts[h.key]
	}
	c.Assert(done > len(all)/4, qt.IsTrue, qt.Commentf("only %d of %d stamps ran", done, len(all)))
}

// Guards against running a call twice when several hosts receive the same idempotency key at once, and against a repeated call
// that gets a response other than the first one.
func TestProveSameKeyAtOnce(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 3, engineOptions: fastEngine, fencedEngines: []bool{true}})
	setFaults(t, fault.Faults{Slow: document.Duration(300 * time.Millisecond)}, f.services...)
	for round := range 3 {
		h := keyHistory{key: fmt.Sprintf("same-%d", round), responses: make([]callerResponse, 9)}
		runConcurrently(len(h.responses), func(i int) { h.responses[i] = f.stamp(i%3, h.key, `{"ladder": 1}`) })
		for _, a := range h.responses {
			c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
			c.Assert(a.body, qt.Equals, h.responses[0].body)
		}
		h.check(c, f.executions(h.key))
		other := f.stamp(0, h.key, `{"ladder": 2}`)
		c.Assert(other.status, qt.Equals, http.StatusUnprocessableEntity)
		c.Assert(other.run, qt.Equals, "no")
		c.Assert(f.executions(h.key), qt.Equals, 1)
	}
}

// Guards against a second host that sends a stamp again after the first host was killed between writing the intent and
// recording the outcome, and against a frozen host that, once resumed, sends a stamp that it had decided to send before.
func TestProveStampHostKilledOrFrozen(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 4, engineOptions: fastEngine, fencedEngines: []bool{true}})
	setFaults(t, fault.Faults{Slow: document.Duration(time.Second)}, f.services...)
	histories := make([]keyHistory, 12)
	done := make(chan struct{})
	go func() {
		defer close(done)
		runConcurrently(len(histories), func(i int) {
			h := &histories[i]
			h.key = fmt.Sprintf("host-%d", i)
			time.Sleep(time.Duration(i/2) * 100 * time.Millisecond)
			h.responses = append(h.responses, f.stamp(2+i%2, h.key, "{}"))
		})
	}()
	time.Sleep(550 * time.Millisecond)
	f.hosts[2].Kill()
	f.hosts[3].Pause()
	repeated := make([]callerResponse, len(histories))
	runConcurrently(len(histories), func(i int) { repeated[i] = f.stamp(i%2, fmt.Sprintf("host-%d", i), "{}") })
	time.Sleep(time.Second)
	f.hosts[3].Resume()
	<-done
	runConcurrently(len(histories), func(i int) {
		h := &histories[i]
		h.responses = append(h.responses, repeated[i], f.stamp(i%2, h.key, "{}"))
	})
	for _, h := range histories {
		h.check(c, f.executions(h.key))
	}
}

// Guards against a call that the host or its HTTP transport sends a second time after the response was lost:
// plain calls and stamps, with and without a body, over reused connections.
func TestProveLostReplySentOnce(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 1, engineOptions: fastEngine, fencedEngines: []bool{true}})
	post := func(path, account, key, body string) callerResponse {
		header := map[string]string{}
		if key != "" {
			header["Idempotency-Key"] = key
		}
		return f.ask(0, http.MethodPost, path, f.keys[account], body, header)
	}
	cases := map[string]struct{ path, account, key, body string }{
		"plain":                 {"/bookings/a", "docks", "", "{}"},
		"plain, no body":        {"/bookings/b", "docks", "", ""},
		"plain, key, no body":   {"/bookings/c", "docks", "booking-c", ""},
		"plain, key, body":      {"/bookings/d", "docks", "booking-d", "{}"},
		"stamp":                 {"/stamps/e", "yards", "stamp-e", "{}"},
		"stamp, no body":        {"/stamps/f", "yards", "stamp-f", ""},
		"stamp, lower case key": {"/stamps/g", "yards", "stamp-g", ""},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			for i := range 4 { // opens connections to both services
				warm := post(fmt.Sprintf("%s-warm-%d", test.path, i), test.account, warmKey(test.key, i), test.body)
				c.Assert(warm.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", warm))
			}
			setFaults(t, fault.Faults{LoseReply: 8}, f.services...)
			response := post(test.path, test.account, test.key, test.body)
			c.Check(response.run, qt.Equals, "unknown", qt.Commentf("%+v", response))
			setFaults(t, fault.Faults{}, f.services...)
			name := test.key
			if name == "" {
				name = test.path
			}
			c.Check(f.executionsByKey()[name], qt.Equals, 1)
			if test.path[:8] == "/stamps/" {
				c.Check(post(test.path, test.account, test.key, test.body).run, qt.Equals, "unknown")
				c.Check(f.executionsByKey()[name], qt.Equals, 1)
			}
		})
	}
	missing := post("/stamps/h", "yards", "", "{}")
	c.Assert(missing.status, qt.Equals, http.StatusBadRequest)
	c.Assert(missing.run, qt.Equals, "no")
	c.Assert(f.executionsByKey()["/stamps/h"], qt.Equals, 0)
}

func warmKey(key string, i int) string {
	if key == "" {
		return ""
	}
	return fmt.Sprintf("%s-warm-%d", key, i)
}

// fullBacklogListener returns an address that accepts no connection: its backlog is full, so that a dial hangs.
func fullBacklogListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		if connection, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { connection.Close() })
		}
	}
	return address
}

// Guards against a refusal that says "not run" although a first attempt ran and its response was lost. The key is
// withdrawn before the next attempt is sent.
func TestProveNotRunAfterRetry(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 1, engineOptions: fastEngine, fencedEngines: []bool{true}, editTables: func(_ *route.Table, pools *pool.Table) {
		pools.Pools[1].Endpoints[1].Address = fullBacklogListener(t)
	}})
	for round := range 3 {
		issued := f.issueKey("yards")
		setFaults(t, fault.Faults{LoseReply: 100}, f.services[0])
		responses := make([]callerResponse, 12)
		done := make(chan struct{})
		go func() {
			defer close(done)
			runConcurrently(len(responses), func(i int) {
				responses[i] = f.ask(0, http.MethodGet, fmt.Sprintf("/tags/%d-%d", round, i), issued.Key, "", nil)
			})
		}()
		time.Sleep(500 * time.Millisecond)
		_, err := f.operatorClients[0].WithdrawKey(context.Background(), issued.ID)
		c.Assert(err, qt.IsNil)
		<-done
		var headers []http.Header
		getJSON(t, f.services[0].address(), "/debug/headers", &headers)
		for _, a := range responses {
			for _, header := range headers {
				if strings.HasPrefix(header.Get("X-Request-Id"), a.header.Get("X-Request-Id")+"-") {
					c.Check(a.run, qt.Not(qt.Equals), "no", qt.Commentf("%+v", a))
				}
			}
		}
	}
}

// Guards against a refusal that says "not run" although an endpoint ran the call or "unknown" although no endpoint accepted it,
// and against an idempotency key that cannot be used again after such a refusal.
func TestProveNotRunWhenRefused(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 2, engineOptions: fastEngine, fencedEngines: []bool{true}})
	checkRefused := func(name string) {
		c.Helper()
		stamp := f.stamp(0, name, "{}")
		c.Check(stamp.run, qt.Equals, "no", qt.Commentf("%+v", stamp))
		booking := f.ask(0, http.MethodPost, "/bookings/"+name, f.keys["docks"], "{}", nil)
		c.Check(booking.run, qt.Equals, "no", qt.Commentf("%+v", booking))
		c.Check(f.executionsByKey(), qt.HasLen, 0)
	}
	setFaults(t, fault.Faults{Refuse: true}, f.services...)
	checkRefused("refused")
	checkRefused("refused")
	setFaults(t, fault.Faults{}, f.services...)
	for host := range f.hosts {
		stamp := f.stamp(host, "refused", "{}")
		c.Check(stamp.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", stamp))
	}
	c.Check(f.executions("refused"), qt.Equals, 1)
}
