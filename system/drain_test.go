package system_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/dev"
	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/operator"
)

// Guards against a planned stop that cuts off streams, chats or stamps, that leaves the host's part of an account's rate or its
// member row behind, or that refuses a request without marking it as not run.
func TestProvePlannedStop(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 4, engineOptions: dev.Options{Slots: 64, PerToken: document.Duration(20 * time.Millisecond)}, fencedEngines: []bool{true, true}})
	setFaults(t, fault.Faults{Slow: document.Duration(1500 * time.Millisecond)}, f.services...)
	stops := []func(host int){
		func(host int) { f.hosts[host].Signal(syscall.SIGTERM) },
		func(host int) { c.Check(f.operatorClients[host].Drain(context.Background()), qt.IsNil) },
	}
	for round, stop := range stops {
		host := 3 - round
		const callCount = 4
		streams := make([]<-chan string, callCount)
		for i := range streams {
			lines, cancel := f.openStream(host, f.keys["yards"], fmt.Sprintf("stream %d", i), 200)
			defer cancel()
			streams[i] = lines
		}
		chats, stamps := make([]callerResponse, callCount), make([]callerResponse, callCount)
		done := make(chan struct{})
		go func() {
			defer close(done)
			runConcurrently(2*callCount, func(i int) {
				if i < callCount {
					chats[i] = f.chat(host, f.keys["yards"], fmt.Sprintf("chat %d", i), 150)
				} else {
					stamps[i-callCount] = f.stamp(host, fmt.Sprintf("drain-%d-%d", round, i-callCount), "{}")
				}
			})
		}()
		time.Sleep(300 * time.Millisecond)
		stop(host)
		c.Check(f.chat(host, f.keys["yards"], "within the lag", 2).status, qt.Equals, http.StatusOK)
		health, err := f.operatorClients[host].Health(context.Background())
		c.Check(err, qt.IsNil)
		c.Check(health.State, qt.Equals, operator.Draining)
		time.Sleep(time.Second) // beyond the lag of 500 ms
		refused := f.chat(host, f.keys["yards"], "after the lag", 2)
		c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%+v", refused))
		c.Check(refused.run, qt.Equals, "no")
		<-done
		for i := range callCount {
			body := f.readRemaining(streams[i])
			got, complete := streamText(body)
			c.Check(complete, qt.IsTrue, qt.Commentf("%s", body))
			c.Check(got, qt.Equals, wantText(fmt.Sprintf("stream %d", i), 200))
			c.Check(chatText(chats[i].body), qt.Equals, wantText(fmt.Sprintf("chat %d", i), 150), qt.Commentf("%+v", chats[i]))
			c.Check(stamps[i].status, qt.Equals, http.StatusOK, qt.Commentf("%+v", stamps[i]))
			c.Check(f.executions(fmt.Sprintf("drain-%d-%d", round, i)), qt.Equals, 1)
		}
		select {
		case <-f.hosts[host].Done():
			c.Check(f.hosts[host].Err(), qt.IsNil)
		case <-time.After(waitTimeout):
			c.Fatalf("host %d did not stop within %s", host, waitTimeout)
		}
		f.hosts, f.operatorClients = f.hosts[:host], f.operatorClients[:host]
		f.awaitMembers(c, len(f.hosts), 3*time.Second)
	}
	// The parts of the stopped hosts start empty at the hosts that take them over and are full again after burst / rate.
	setFaults(t, fault.Faults{}, f.services...)
	time.Sleep(time.Duration(smallBurst/smallRate*float64(time.Second)) + 5*time.Second)
	began := time.Now()
	responses := make([]callerResponse, 4)
	runConcurrently(len(responses), func(i int) {
		responses[i] = f.chat(i%len(f.hosts), f.keys["small"], fmt.Sprintf("burst %d", i), 400)
	})
	for _, a := range responses {
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", a))
	}
	records := f.requestsSince(began)
	c.Assert(len(records), qt.Equals, len(responses))
	c.Assert(time.Duration(records[len(records)-1].ReceivedAt-records[0].ReceivedAt) < 2*time.Second, qt.IsTrue)
}

// awaitMembers waits until every host lists exactly count members, and fails the test after limit.
func (f *fleet) awaitMembers(c *qt.C, count int, limit time.Duration) {
	c.Helper()
	began := time.Now()
	for host := range f.hosts {
		for {
			status, err := f.operatorClients[host].Status(context.Background())
			if err == nil && len(status.Members) == count {
				break
			}
			if time.Since(began) > limit {
				c.Fatalf("host %d knows %d members, want %d", host, len(status.Members), count)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Guards against a planned stop that waits for the table service, or cuts off requests, while the table service is down.
func TestProvePlannedStopTableDown(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 3, engineOptions: slowEngine, fencedEngines: []bool{true}})
	lines, cancel := f.openStream(2, f.keys["yards"], "down", 150)
	defer cancel()
	setFaults(t, fault.Faults{Down: true}, f.tableService)
	f.hosts[2].Signal(syscall.SIGTERM)
	got, complete := streamText(f.readRemaining(lines))
	c.Assert(complete, qt.IsTrue)
	c.Assert(got, qt.Equals, wantText("down", 150))
	select {
	case <-f.hosts[2].Done():
	case <-time.After(waitTimeout):
		c.Fatalf("host 2 did not stop within %s", waitTimeout)
	}
	for host := range 2 {
		c.Check(f.chat(host, f.keys["yards"], "others serve", 2).status, qt.Equals, http.StatusOK)
	}
}
