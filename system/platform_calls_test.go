package system_test

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// storeCalls returns the numbers of successful direct calls to the store that a host has made, by the labels of the metric.
func (s *site) storeCalls(n int) map[string]float64 {
	s.t.Helper()
	response, err := s.client.Get("http://" + s.operatorAddresses[n] + "/metrics")
	qt.Assert(s.t, err, qt.IsNil)
	defer response.Body.Close()
	calls := map[string]float64{}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), "} ")
		if !strings.HasPrefix(name, "magnoliahoist_entry_store_calls_total{") || !strings.Contains(name, `result="done"`) || !strings.Contains(name, `way="direct"`) {
			continue
		}
		count, err := strconv.ParseFloat(value, 64)
		qt.Assert(s.t, err, qt.IsNil)
		calls[name] = count
	}
	return calls
}

// TestPlatformCallsInCalm guards against a number of store calls that grows with the number of hosts: without changes or faults,
// only the lease holder calls the store.
func TestPlatformCallsInCalm(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 3)
	holder := s.leaseHolder()
	time.Sleep(5 * time.Second) // until all hosts receive changes from the lease holder and their pending calls to the store have ended
	var before [3]map[string]float64
	for n := range s.hosts {
		before[n] = s.storeCalls(n)
	}
	time.Sleep(4 * time.Second)
	for n := range s.hosts {
		after := s.storeCalls(n)
		if n == holder {
			qt.Check(t, after, qt.Not(qt.DeepEquals), before[n])
			continue
		}
		qt.Check(t, after, qt.DeepEquals, before[n], qt.Commentf("host %d, holder %d", n, holder))
	}
}

// TestPlatformKeyUnderOutdatedHolder guards against a withdrawn key that is still accepted by hosts with contact to the
// store, because the lease holder, from which they receive changes, has lost contact with the store.
func TestPlatformKeyUnderOutdatedHolder(t *testing.T) {
	const applyBound = 2 * time.Second // config_apply_ms of the platform
	parallelFleet(t)
	s := newSite(t, 3)
	holder := s.leaseHolder()
	time.Sleep(2 * time.Second) // until all hosts receive changes from the lease holder
	s.links[holder].cutBoth()
	time.Sleep(200 * time.Millisecond)
	s.putConfiguration("k3")
	time.Sleep(applyBound)
	for n := range s.hosts {
		if n != holder {
			qt.Check(t, s.ask(siteRequest{host: n, path: "/stamp/1", key: "k1"}).status, qt.Equals, http.StatusUnauthorized)
			qt.Check(t, s.ask(siteRequest{host: n, path: "/stamp/1", key: "k3"}).status, qt.Equals, http.StatusOK)
		}
	}
}
