package system_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leaveBound is drain_ms of the platform: later than that, an endpoint that has said that it leaves gets no request.
const leaveBound = 2 * time.Second

// holder returns the host that holds the lease of the model engines, once all hosts say so.
func (s *site) holder() int {
	s.t.Helper()
	found := -1
	s.await("all hosts know the holder", func() bool {
		ids := map[string]int{}
		for n := range s.hosts {
			ids[s.statusOf(n).ID] = n
		}
		for n := range s.hosts {
			of, known := ids[s.statusOf(n).Leases["llm"]]
			if !known || n > 0 && of != found {
				return false
			}
			found = of
		}
		return true
	})
	return found
}

// leave has an endpoint say that it leaves.
func (s *site) leave(endpoint *running) {
	s.t.Helper()
	response, err := s.client.Post("http://"+endpoint.address()+"/leave", "", nil)
	qt.Assert(s.t, err, qt.IsNil)
	response.Body.Close()
}

// TestPlatformLeavingUnderOutdatedHolder guards against hosts with contact to the store that send requests to an
// endpoint that has left, because the host that tells them of endpoints hears nothing new itself.
func TestPlatformLeavingUnderOutdatedHolder(t *testing.T) {
	parallel(t)
	s := newSite(t, 3)
	holder := s.holder()
	time.Sleep(2 * time.Second) // all hosts are told by the holder
	s.links[holder].cut()
	time.Sleep(200 * time.Millisecond)
	s.leave(s.apps[0])
	time.Sleep(leaveBound)
	for range 10 {
		for n := range s.hosts {
			if n == holder {
				continue
			}
			got := s.ask(asked{host: n, path: "/lookup/1", key: "k1"})
			qt.Assert(t, got.status, qt.Equals, 200)
			qt.Check(t, strings.HasPrefix(got.body, "s1 "), qt.IsTrue, qt.Commentf("host %d, holder %d: %s", n, holder, got.body))
		}
		time.Sleep(50 * time.Millisecond)
	}
}
