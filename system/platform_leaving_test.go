package system_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leaveBound is drain_ms of the platform: an endpoint gets no new request later than this after it has announced that it leaves.
const leaveBound = 2 * time.Second

// leaseHolder waits until all hosts agree on the holder of the lease of service llm, and returns its index.
func (s *site) leaseHolder() int {
	s.t.Helper()
	found := -1
	s.eventually("all hosts report the same holder of the lease of service llm", func() bool {
		ids := map[string]int{}
		for n := range s.hosts {
			ids[s.statusOf(n).ID] = n
		}
		for n := range s.hosts {
			index, known := ids[s.statusOf(n).Leases["llm"]]
			if !known || n > 0 && index != found {
				return false
			}
			found = index
		}
		return true
	})
	return found
}

// announceLeaving makes an endpoint announce that it leaves.
func (s *site) announceLeaving(endpoint *testProcess) {
	s.t.Helper()
	s.post(endpoint, "/leave")
}

// TestPlatformLeavingUnderOutdatedHolder guards against hosts with contact to the store that send requests to a leaving
// endpoint, because the lease holder, from which they receive changes, has lost contact with the store.
func TestPlatformLeavingUnderOutdatedHolder(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 3)
	holder := s.leaseHolder()
	time.Sleep(2 * time.Second) // until all hosts receive changes from the lease holder
	s.links[holder].cutBoth()
	time.Sleep(200 * time.Millisecond)
	s.announceLeaving(s.apps[0])
	time.Sleep(leaveBound)
	for range 10 {
		for n := range s.hosts {
			if n == holder {
				continue
			}
			got := s.ask(siteRequest{host: n, path: "/lookup/1", key: "k1"})
			qt.Assert(t, got.status, qt.Equals, 200)
			qt.Check(t, strings.HasPrefix(got.body, "s1 "), qt.IsTrue, qt.Commentf("host %d, holder %d: %s", n, holder, got.body))
		}
		time.Sleep(50 * time.Millisecond)
	}
}
