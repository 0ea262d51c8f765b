package system_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/platform/fakeplatform"
)

// newVersionedSite starts a site with engines of two software versions, e0 and e1 of v1 and e2 and e3 of v2. Streams last long enough
// to be broken off.
func newVersionedSite(t *testing.T, hosts int) *site {
	t.Helper()
	s := newSiteWith(t, hosts, func(s *site) {
		for _, version := range []string{"v1", "v1", "v2", "v2"} {
			s.startVersion(version)
		}
	})
	for n := range hosts {
		s.eventually("the host knows all engines", func() bool { return s.statusOf(n).Endpoints == 6 })
	}
	return s
}

// startVersion starts an engine of a software version.
func (s *site) startVersion(version string) {
	s.t.Helper()
	s.startEngineWith(fakeplatform.Settings{Zone: "z1", Models: []string{"m1"}, Version: version, ResponseDelay: document.Duration(50 * time.Millisecond), EventsPerStream: 20})
}

// versionsIn returns the software versions whose engines sent the events of a stream, in their order.
func versionsIn(bodies ...string) []string {
	var versions []string
	for _, body := range bodies {
		for _, line := range strings.Split(body, "\n") {
			if at := strings.LastIndex(line, " by "); at >= 0 && strings.HasPrefix(line, "data: ") {
				if version := line[at+len(" by "):]; len(versions) == 0 || versions[len(versions)-1] != version {
					versions = append(versions, version)
				}
			}
		}
	}
	return versions
}

// beginStream sends a request for a stream to a host and returns the events that arrive until the given number of them. It then leaves
// the connection, as a caller does whose connection breaks.
func (s *site) beginStream(host, events int) (id, body string) {
	s.t.Helper()
	id = s.newRequestID()
	request, err := fakeplatform.Request{
		ID: id, Host: "h", Path: "/free/1", Key: "k1", Model: "m1", Tokens: "100,10", CallerTimeout: 5 * time.Second,
	}.HTTPRequest(s.callerAddresses[host])
	qt.Assert(s.t, err, qt.IsNil)
	response, err := s.client.Do(request)
	if err != nil {
		return id, ""
	}
	defer response.Body.Close()
	var received bytes.Buffer
	buffer := make([]byte, 4096)
	for strings.Count(received.String(), "\n\n") < events {
		n, err := response.Body.Read(buffer)
		received.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	end := strings.LastIndex(received.String(), "\n\n") + 2
	return id, received.String()[:max(end, 0)]
}

// TestJoinedVersionsInResponse guards against a response that joins events from engines of two software versions: an engine breaks off
// and the host resumes the stream at another one.
func TestJoinedVersionsInResponse(t *testing.T) {
	parallelFleet(t)
	s := newVersionedSite(t, 1)
	resumed, complete := 0, 0
	for range 16 {
		setFaults(t, fault.Faults{CutStream: 1}, s.engines[0], s.engines[2])
		got := s.ask(siteRequest{path: "/free/1", key: "k1", model: "m1"})
		qt.Check(t, versionsIn(got.body), qt.HasLen, 1, qt.Commentf("%s", got.body))
		if len(s.runsOf(got.id)) > 1 {
			resumed++
			if got.complete && len(eventIDs(got.body)) == 20 {
				complete++
			}
		}
	}
	qt.Check(t, complete >= 4, qt.IsTrue, qt.Commentf("%d streams were resumed, %d of them completely", resumed, complete))
}

// TestJoinedVersionsOverRequests guards against a stream that a caller takes up and that goes on at an engine of another software version
// than the one that began it, at the host that served it before, at another one, after that one was killed, and after all hosts were
// killed at once.
func TestJoinedVersionsOverRequests(t *testing.T) {
	for name, test := range map[string]struct {
		kill        []int
		resumeAt    int
		oldGone     bool // the engines of v1 have left before the hosts are killed
		mustGoOn    bool // most streams must go on
		streamCount int
	}{
		"at the same host":                {nil, 0, false, true, 10},
		"at another host":                 {nil, 1, false, true, 10},
		"its host was killed":             {[]int{0}, 1, false, true, 10},
		"all hosts were killed":           {[]int{0, 1, 2}, 1, false, true, 10},
		"all killed, old version is gone": {[]int{0, 1, 2}, 1, true, false, 10},
	} {
		t.Run(name, func(t *testing.T) {
			parallelFleet(t)
			s := newVersionedSite(t, 3)
			s.leaseHolder()
			type begun struct{ id, body string }
			var streams []begun
			for range test.streamCount {
				id, body := s.beginStream(0, 3)
				qt.Assert(t, versionsIn(body), qt.HasLen, 1)
				streams = append(streams, begun{id, body})
			}
			time.Sleep(time.Second)
			if test.oldGone {
				for n, e := range s.engines[:2] {
					e.Kill()
					s.removeRow("servers", fmt.Sprint("e", n))
				}
				for n := range s.hosts {
					s.eventually("the hosts know that the engines have gone", func() bool { return s.statusOf(n).Endpoints == 4 })
				}
			}
			for _, n := range test.kill {
				s.hosts[n].Kill()
			}
			for _, n := range test.kill {
				s.restartHost(n)
			}
			for _, n := range test.kill {
				s.eventually("the host is ready again", func() bool { return s.isReady(n) })
			}
			rests := make([]siteResponse, len(streams))
			var taken sync.WaitGroup
			for n, b := range streams {
				ids := eventIDs(b.body)
				taken.Go(func() {
					rests[n] = s.ask(siteRequest{host: test.resumeAt, path: "/free/1", key: "k1", model: "m1", resume: resumption{b.id, ids[len(ids)-1]}})
				})
			}
			taken.Wait()
			wentOn := 0
			for n, b := range streams {
				if rests[n].status != http.StatusOK {
					continue
				}
				wentOn++
				qt.Check(t, versionsIn(b.body, rests[n].body), qt.HasLen, 1, qt.Commentf("stream %s", b.id))
			}
			if test.mustGoOn {
				qt.Check(t, wentOn >= test.streamCount/2, qt.IsTrue, qt.Commentf("%d of %d streams went on", wentOn, test.streamCount))
			}
		})
	}
}
