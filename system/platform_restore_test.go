package system_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/platform/fakeplatform"
)

// configurationBound is config_apply_ms of the platform: a change is in force later than this after the store has acknowledged it.
const configurationBound = 2 * time.Second

// storeAbsence is how long the store is away before it comes back from its backup.
const storeAbsence = 700 * time.Millisecond

// backUpStore makes the store keep a copy of itself.
func (s *site) backUpStore() { s.post(s.store, "/backup") }

// restoreStore makes the store come back from the copy that it kept.
func (s *site) restoreStore() { s.post(s.store, fmt.Sprintf("/restore?absence=%s", storeAbsence)) }

// rewriteConfiguration writes the newest version of the configuration once more.
func (s *site) rewriteConfiguration(keys ...string) {
	s.t.Helper()
	s.version--
	s.putConfiguration(keys...)
}

// TestRestoredConfiguration guards against a change that is not in force in time after the store has come back from a backup, and
// against a withdrawn key that is accepted again because the backup still has it.
func TestRestoredConfiguration(t *testing.T) {
	for name, test := range map[string]struct{ rewritten, cut, twice bool }{
		"lost change written again":    {rewritten: true},
		"only a newer change":          {},
		"one host without the store":   {rewritten: true, cut: true},
		"restored again at once":       {rewritten: true, twice: true},
		"both, only the newest change": {cut: true, twice: true},
	} {
		t.Run(name, func(t *testing.T) {
			parallelFleet(t)
			s := newSite(t, 3)
			holder := s.leaseHolder()
			s.backUpStore()
			s.putConfiguration("k2")
			for n := range s.hosts {
				s.eventually("the lost change is in force", func() bool {
					return s.ask(siteRequest{host: n, path: "/stamp/1", key: "k1"}).status == http.StatusUnauthorized
				})
			}
			time.Sleep(6 * time.Second) // the store's versions advance by the renewals of the lease
			if test.cut {
				s.links[(holder+1)%3].cutBoth()
			}
			s.restoreStore()
			if test.twice {
				s.restoreStore()
			}
			if test.rewritten {
				s.rewriteConfiguration("k2")
			}
			time.Sleep(300 * time.Millisecond)
			s.putConfiguration("k3")
			written := time.Now()
			for time.Since(written) < 3*configurationBound {
				for n := range s.hosts {
					for key, want := range map[string]int{"k1": http.StatusUnauthorized, "k2": http.StatusUnauthorized, "k3": http.StatusOK} {
						late := time.Since(written) > configurationBound
						if got := s.ask(siteRequest{host: n, path: "/stamp/1", key: key}).status; got != want && (late || key == "k1") {
							t.Fatalf("host %d of holder %d, key %s, %s after the change: status %d, want %d", n, holder, key, time.Since(written).Round(time.Millisecond), got, want)
						}
					}
				}
				time.Sleep(pollInterval)
			}
		})
	}
}

// TestRestoredConfigurationAtStart guards against a host that starts after the store has come back from a backup and serves a key that
// was withdrawn since the backup, although the other hosts know of it.
func TestRestoredConfigurationAtStart(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 3)
	s.leaseHolder()
	s.backUpStore()
	s.putConfiguration("k2")
	for n := range s.hosts {
		s.eventually("the lost change is in force", func() bool {
			return s.ask(siteRequest{host: n, path: "/stamp/1", key: "k1"}).status == http.StatusUnauthorized
		})
	}
	s.restoreStore()
	s.startHost("host3")
	s.eventually("the host is ready", func() bool { return s.isReady(3) })
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(pollInterval) {
		for key, want := range map[string]int{"k1": http.StatusUnauthorized, "k2": http.StatusOK} {
			if got := s.ask(siteRequest{host: 3, path: "/stamp/1", key: key}).status; got != want {
				t.Fatalf("key %s: status %d, want %d, %s after the host was ready", key, got, want, time.Since(start).Round(time.Millisecond))
			}
		}
	}
}

// checkFencingNumbers fails the test if two hosts have sent orders to any engine with the same fencing number, or if an engine
// received a lower number after a higher one.
func (s *site) checkFencingNumbers() (holders int) {
	s.t.Helper()
	owners := map[int64]string{}
	for n, e := range s.engines {
		var history fakeplatform.History
		getJSON(s.t, e.address(), "/runs", &history)
		highest := int64(0)
		for _, o := range history.Orders {
			if owner, known := owners[o.FencingNumber]; known && owner != o.Owner {
				s.t.Errorf("fencing number %d was used by %s and %s", o.FencingNumber, owner, o.Owner)
			}
			owners[o.FencingNumber] = o.Owner
			if o.FencingNumber < highest {
				s.t.Errorf("engine %d: fencing number %d after %d", n, o.FencingNumber, highest)
			}
			highest = max(highest, o.FencingNumber)
		}
	}
	names := map[string]bool{}
	for _, owner := range owners {
		names[owner] = true
	}
	return len(names)
}

// loadAdapter waits until a host serves an adapter, for which the lease holder orders an engine to load it.
func (s *site) loadAdapter(host int, model string) {
	s.t.Helper()
	s.eventually("host "+fmt.Sprint(host)+" serves "+model, func() bool {
		return s.ask(siteRequest{host: host, path: "/draft/1", key: "k1", model: model}).status == http.StatusOK
	})
}

// TestRestoredLease guards against two lease holders with the same fencing number: the store forgets a change of the holder, the
// new holder is lost, and the next one acquires the lease from the backup's row.
func TestRestoredLease(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 3)
	first := s.leaseHolder()
	s.loadAdapter((first+1)%3, "m1/a1")
	s.backUpStore()
	s.hosts[first].Kill()
	next := -1
	s.eventually("another host holds the lease", func() bool {
		for n := range s.hosts {
			if status := s.statusOf(n); n != first && status.ID != "" && status.Leases["llm"] == status.ID {
				next = n
			}
		}
		return next >= 0
	})
	last := 3 - first - next
	s.loadAdapter(last, "m1/a2")
	s.hosts[next].Kill()
	s.restoreStore()
	s.loadAdapter(last, "m1/a3")
	qt.Check(t, s.checkFencingNumbers(), qt.Equals, 3)
}
