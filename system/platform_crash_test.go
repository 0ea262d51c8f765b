package system_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/fault"
	"magnoliahoist/operator"
	"magnoliahoist/platform/fakeplatform"
)

// Bounds of the platform on requests whose prompt part crashes engines.
const (
	// contactTime is the time after the fifth crash from which at most lateRequests requests with the part may reach engines.
	contactTime  = 3 * time.Second
	freeCrashes  = 5
	lateRequests = 3
)

// deadlyPart is the id of the prompt part that crashes engines.
const deadlyPart = "dead01"

// crashLog is what the engines saw of requests with the deadly part.
type crashLog struct {
	crashes  []int64 // Unix milliseconds
	arrivals []int64 // of requests with the deadly part, Unix milliseconds
}

// crashLog reads the engines' histories once all engines are back.
func (s *site) crashLog() crashLog {
	s.t.Helper()
	var log crashLog
	for _, engine := range s.engines {
		var history fakeplatform.History
		s.eventually("engine is back", func() bool {
			response, err := s.client.Get("http://" + engine.address() + "/runs")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return json.NewDecoder(response.Body).Decode(&history) == nil
		})
		log.crashes = append(log.crashes, history.Crashes...)
		for _, run := range history.Runs {
			if strings.Contains(run.Parts, deadlyPart) {
				log.arrivals = append(log.arrivals, run.StartedAt)
			}
		}
	}
	slices.Sort(log.crashes)
	slices.Sort(log.arrivals)
	return log
}

// lateArrivals returns how many requests with the deadly part reached engines later than contactTime after the fifth crash, or
// after the last one if there were fewer.
func (l crashLog) lateArrivals() int {
	if len(l.crashes) == 0 {
		return 0
	}
	bound := l.crashes[min(len(l.crashes), freeCrashes)-1] + contactTime.Milliseconds()
	late := 0
	for _, at := range l.arrivals {
		if at > bound {
			late++
		}
	}
	return late
}

// TestPlatformPartThatCrashesEngines guards against hosts that go on sending requests with a prompt part that crashes each engine,
// and against the refusal of sound requests that share a client account and other parts with them.
func TestPlatformPartThatCrashesEngines(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 3)
	for range 4 {
		s.startEngine("m1")
	}
	s.leaseHolder()
	time.Sleep(time.Second) // until all hosts know the engines
	setFaults(t, fault.Faults{DeadlyPart: deadlyPart}, s.engines...)
	sound, served := 0, 0
	start := time.Now()
	for n := 0; time.Since(start) < 4*contactTime; n++ {
		host := n % len(s.hosts)
		s.ask(siteRequest{host: host, path: "/draft/1", key: "k1", model: "m1", parts: fmt.Sprintf("aa01:10,bb01:10,%s:10,c%x:10", deadlyPart, n)})
		got := s.ask(siteRequest{host: host, path: "/draft/1", key: "k1", model: "m1", parts: fmt.Sprintf("aa01:10,bb01:10,d%x:10", n)})
		if time.Since(start) > 3*contactTime {
			sound++
			if got.status == 200 && got.complete {
				served++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	log := s.crashLog()
	t.Logf("%d crashes, %d arrivals, %d late, sound requests served late in the test: %d of %d", len(log.crashes), len(log.arrivals), log.lateArrivals(), served, sound)
	qt.Check(t, log.lateArrivals() <= lateRequests, qt.IsTrue, qt.Commentf("late arrivals: %d", log.lateArrivals()))
	qt.Check(t, 2*served >= sound, qt.IsTrue, qt.Commentf("served %d of %d", served, sound))
}

// quarantine returns the prompt parts that a host suspects, as "PART blocked" or "PART suspected".
func (s *site) quarantine(n int) []string {
	s.t.Helper()
	client := operator.NewClient(s.operatorAddresses[n], "", s.client)
	list, err := client.Quarantine(context.Background())
	if err != nil {
		return nil
	}
	parts := []string{}
	for _, p := range list {
		state := "suspected"
		if p.Blocked {
			state = "blocked"
		}
		parts = append(parts, p.Part+" "+state)
	}
	return parts
}

// TestPlatformQuarantine guards against hosts that disagree on a blocked part, against a fleet that has forgotten it after all hosts
// were killed, and against a block that operators can't lift.
func TestPlatformQuarantine(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 2)
	for range 3 {
		s.startEngine("m1")
	}
	s.leaseHolder()
	time.Sleep(time.Second) // until all hosts know the engines
	setFaults(t, fault.Faults{DeadlyPart: deadlyPart}, s.engines...)
	sound := siteRequest{path: "/draft/1", key: "k1", model: "m1", parts: "aa01:10,bb01:10,d0:10"}
	crashes := 0
	s.eventually("the part is blocked for long on all hosts", func() bool {
		s.ask(siteRequest{host: crashes % 2, path: "/draft/1", key: "k1", model: "m1", parts: fmt.Sprintf("aa01:10,bb01:10,%s:10,c%x:10", deadlyPart, crashes)})
		s.ask(sound)
		crashes++
		time.Sleep(50 * time.Millisecond)
		return len(s.crashLog().crashes) >= 4 && slices.Contains(s.quarantine(0), deadlyPart+" blocked") && slices.Contains(s.quarantine(1), deadlyPart+" blocked")
	})
	time.Sleep(3 * time.Second) // until the lease holder has written it to the store
	for n := range 2 {
		s.hosts[n].Kill()
	}
	s.startHost("host2")
	s.startHost("host3")
	for n := 2; n < 4; n++ {
		s.eventually("a host that has started knows the part", func() bool { return slices.Contains(s.quarantine(n), deadlyPart+" blocked") })
		s.eventually("a host that has started is ready", func() bool { return s.isReady(n) })
	}
	before := len(s.crashLog().arrivals)
	got := s.ask(siteRequest{host: 2, path: "/draft/1", key: "k1", model: "m1", parts: "aa01:10," + deadlyPart + ":10,c1:10"})
	qt.Check(t, got.status, qt.Equals, 503)
	qt.Check(t, got.header.Get("Retry-After"), qt.Equals, "")
	qt.Check(t, len(s.crashLog().arrivals), qt.Equals, before)
	sound.host = 3
	s.eventually("sound requests are served", func() bool { return s.ask(sound).status == 200 })
	setFaults(t, fault.Faults{}, s.engines...)
	qt.Check(t, operator.NewClient(s.operatorAddresses[2], "", s.client).LiftPart(context.Background(), "llm", deadlyPart), qt.IsNil)
	for n := 2; n < 4; n++ {
		s.eventually("the part is lifted on all hosts", func() bool { return len(s.quarantine(n)) == 0 })
	}
	s.eventually("requests with the part are served", func() bool {
		return s.ask(siteRequest{host: 3, path: "/draft/1", key: "k1", model: "m1", parts: "aa01:10," + deadlyPart + ":10,c1:10"}).status == 200
	})
}
