package system_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/process"
)

// Timeout and poll interval of the tests against the platform.
const (
	// conditionTimeout is the longest time that a test waits for a condition.
	conditionTimeout = 60 * time.Second
	pollInterval     = 20 * time.Millisecond
)

// site is a small deployment with stand-ins of the platform, whose endpoints register themselves in the store.
type site struct {
	t                 *testing.T
	store             *testProcess
	links             []*link // from each host to the store
	peerLinks         []*link // to each host from the others, if the site is separable
	separable         bool    // hosts reach each other through links
	hosts             []*testProcess
	hostFiles         []string // settings of the hosts
	callerAddresses   []string // addresses of the hosts for callers
	readyAddresses    []string // addresses of the hosts for readiness checks
	operatorAddresses []string // addresses of the hosts for operators
	engines           []*testProcess
	apps              []*testProcess
	client            *http.Client
	version           int64
	requestCount      atomic.Int64 // requests sent so far, from which their IDs are made
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := process.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	return address
}

// startPlatformStandin starts a stand-in of the platform's store or of an endpoint.
func startPlatformStandin(t *testing.T, name, kind string, options any) *testProcess {
	t.Helper()
	data, err := json.Marshal(options)
	qt.Assert(t, err, qt.IsNil)
	return startProcess(t, name, "standin", kind, "--options", string(data))
}

// newSite starts the store, two engines, two services and a number of hosts, and waits until all hosts are ready.
func newSite(t *testing.T, hosts int) *site {
	t.Helper()
	return newSiteWith(t, hosts, func(s *site) {
		for _, models := range [][]string{{"m1", "m2"}, {"m1"}} {
			s.startEngine(models...)
		}
	})
}

// newSiteWith is newSite with other engines.
func newSiteWith(t *testing.T, hosts int, startEngines func(*site)) *site {
	t.Helper()
	s := &site{t: t, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}}
	s.store = startPlatformStandin(t, "store", "store", struct{}{})
	startEngines(s)
	for n := range 2 {
		s.apps = append(s.apps, startPlatformStandin(t, fmt.Sprint("app", n), "endpoint", fakeplatform.Settings{
			ID: fmt.Sprint("s", n), Service: "app", Zone: "z1", Store: s.store.address(), Slots: 6,
		}))
	}
	s.putConfiguration()
	for n := range hosts {
		s.startHost(fmt.Sprint("host", n))
	}
	for n := range hosts {
		s.eventually(fmt.Sprint("host ", n, " is ready"), func() bool { return s.isReady(n) })
	}
	return s
}

// engineDowntime is the time from a crash of an engine to its restart.
const engineDowntime = 2 * time.Second

// startEngine starts an engine that holds some models in the failure domain of the hosts.
func (s *site) startEngine(models ...string) { s.startEngineIn("z1", models...) }

// startEngineIn starts an engine that holds some models in a failure domain.
func (s *site) startEngineIn(domain string, models ...string) {
	s.t.Helper()
	s.startEngineWith(fakeplatform.Settings{Zone: domain, Models: models, Downtime: document.Duration(engineDowntime)})
}

// startEngineWith starts an engine with settings that only lack what all engines have in common.
func (s *site) startEngineWith(settings fakeplatform.Settings) {
	s.t.Helper()
	n := len(s.engines)
	settings.ID, settings.Service, settings.Store, settings.Slots, settings.MaxModels, settings.MaxAdapters = fmt.Sprint("e", n), "llm", s.store.address(), 64, 3, 2
	s.engines = append(s.engines, startPlatformStandin(s.t, fmt.Sprint("engine", n), "endpoint", settings))
}

// startHost starts an entry host with a link to the store.
func (s *site) startHost(name string) {
	s.t.Helper()
	callers, ready, operators := freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	link := newLink(s.t, s.store.address())
	s.links = append(s.links, link)
	peers, reachable := freeAddress(s.t), ""
	if s.separable {
		peerLink := newLink(s.t, peers)
		s.peerLinks = append(s.peerLinks, peerLink)
		reachable = peerLink.address()
	}
	settings, err := json.Marshal(map[string]any{
		"name": name, "domain": "z1", "callers": callers, "ready": ready, "peers": peers, "reachable": reachable, "operators": operators,
		"store": link.address(), "lease": "300ms", "grace": "8s",
	})
	qt.Assert(s.t, err, qt.IsNil)
	file := filepath.Join(s.t.TempDir(), name+".json")
	qt.Assert(s.t, os.WriteFile(file, settings, 0o600), qt.IsNil)
	s.hostFiles = append(s.hostFiles, file)
	s.hosts = append(s.hosts, startProcess(s.t, name, "entry", "--config", file))
	s.callerAddresses = append(s.callerAddresses, callers)
	s.readyAddresses = append(s.readyAddresses, ready)
	s.operatorAddresses = append(s.operatorAddresses, operators)
}

// restartHost starts a host that has ended once more.
func (s *site) restartHost(n int) {
	s.t.Helper()
	s.hosts[n] = startProcess(s.t, fmt.Sprint("host", n), "entry", "--config", s.hostFiles[n])
}

func (s *site) isReady(n int) bool {
	response, err := s.client.Get("http://" + s.readyAddresses[n] + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// eventually waits until the condition holds, and fails the test with its description after conditionTimeout.
func (s *site) eventually(description string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("condition not met: %s (waited %s)", description, conditionTimeout)
}

// putConfiguration writes the next version of the configuration, with the given keys or with k1 if none are given.
func (s *site) putConfiguration(keys ...string) {
	s.t.Helper()
	if len(keys) == 0 {
		keys = []string{"k1"}
	}
	s.version++
	value, err := json.Marshal(fakeplatform.Configuration(s.version, keys...))
	qt.Assert(s.t, err, qt.IsNil)
	s.putRow("op", "config", value)
}

// putRow writes a row to the store.
func (s *site) putRow(table, key string, value []byte) {
	s.t.Helper()
	qt.Assert(s.t, fakeplatform.PutRow(s.client, s.store.address(), table, key, value), qt.IsNil)
}

// post sends a control request without a body to a stand-in.
func (s *site) post(standin *testProcess, path string) {
	s.t.Helper()
	response, err := s.client.Post("http://"+standin.address()+path, "", nil)
	qt.Assert(s.t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(s.t, response.StatusCode, qt.Equals, http.StatusOK)
}

// siteRequest is a caller's request.
type siteRequest struct {
	host   int
	path   string
	key    string
	model  string
	tokens string
	parts  string
	body   string
	resume resumption
}

// resumption says which stream a request takes up; the zero value none.
type resumption struct {
	of    string // ID of the request that brought the first event
	after string // ID of the last event that was received
}

// siteResponse is the response that a caller received; complete reports whether its body arrived completely.
type siteResponse struct {
	id       string
	status   int
	header   http.Header
	body     string
	complete bool
}

// newRequestID returns an ID that no other request of the tests has.
func (s *site) newRequestID() string {
	return fmt.Sprintf("%s-%d", strings.ReplaceAll(s.t.Name(), "/", "-"), s.requestCount.Add(1))
}

// ask sends a request to a host.
func (s *site) ask(a siteRequest) siteResponse {
	s.t.Helper()
	id := s.newRequestID()
	tokens := a.tokens
	if a.model != "" {
		tokens = "100,10"
	}
	request, err := fakeplatform.Request{
		ID: id, Host: "h", Path: a.path, Key: a.key, Model: a.model, Tokens: tokens, Parts: a.parts, CallerTimeout: 5 * time.Second, Body: a.body,
		LastEventID: a.resume.after, Resumes: a.resume.of,
	}.HTTPRequest(s.callerAddresses[a.host])
	qt.Assert(s.t, err, qt.IsNil)
	response, err := s.client.Do(request)
	if err != nil {
		return siteResponse{id: id}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return siteResponse{id: id, status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil}
}

// runsOf returns the runs of a request at all endpoints.
func (s *site) runsOf(id string) []fakeplatform.Run {
	s.t.Helper()
	var runs []fakeplatform.Run
	for _, p := range append(append([]*testProcess{}, s.engines...), s.apps...) {
		response, err := s.client.Get("http://" + p.address() + "/runs")
		if err != nil {
			continue // an endpoint that the test has stopped
		}
		var list struct{ Runs []fakeplatform.Run }
		err = json.NewDecoder(response.Body).Decode(&list)
		response.Body.Close()
		qt.Assert(s.t, err, qt.IsNil)
		for _, r := range list.Runs {
			if r.ID == id {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// eventIDs returns the ids of the events in a stream.
func eventIDs(body string) []string {
	var ids []string
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestPlatformPath guards against faults anywhere on the path from callers through hosts to the store and to endpoints that
// register themselves, with each component in a separate process.
func TestPlatformPath(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 2)
	for name, test := range map[string]struct {
		request siteRequest
		status  int
		runs    int
	}{
		"stream":           {siteRequest{path: "/draft/1", key: "k1", model: "m1"}, 200, 1},
		"stream, adapter":  {siteRequest{path: "/draft/1", key: "k1", model: "m2/a1"}, 200, 1},
		"call":             {siteRequest{path: "/stamp/1?x=1", key: "k1", body: "stamp"}, 200, 1},
		"other host":       {siteRequest{host: 1, path: "/lookup/1", key: "k1"}, 200, 1},
		"open":             {siteRequest{path: "/open/1"}, 200, 1},
		"no key":           {siteRequest{path: "/stamp/1"}, 401, 0},
		"unknown key":      {siteRequest{path: "/stamp/1", key: "k2"}, 401, 0},
		"no route":         {siteRequest{path: "/else/1", key: "k1"}, 404, 0},
		"unknown model":    {siteRequest{path: "/draft/1", key: "k1", model: "m9"}, 503, 0},
		"body too large":   {siteRequest{path: "/stamp/1", key: "k1", body: strings.Repeat("x", 70000)}, 413, 0},
		"malformed tokens": {siteRequest{path: "/draft/1", key: "k1", tokens: "x"}, 400, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := s.ask(test.request)
			if name == "stream, adapter" {
				s.eventually("the adapter is served", func() bool { got = s.ask(test.request); return got.status == http.StatusOK })
			}
			qt.Assert(t, got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
			qt.Check(t, got.complete, qt.IsTrue)
			runs := s.runsOf(got.id)
			qt.Assert(t, runs, qt.HasLen, test.runs)
			if test.runs == 0 {
				return
			}
			qt.Check(t, runs[0].Path, qt.Equals, test.request.path)
			qt.Check(t, runs[0].Body, qt.Equals, test.request.body)
			qt.Check(t, runs[0].HasCallerKey, qt.IsFalse)
			qt.Check(t, runs[0].Account == "t1", qt.Equals, test.request.key != "")
			qt.Check(t, fakeplatform.HasResponseStamp(got.header), qt.IsTrue)
			if test.request.model != "" {
				qt.Check(t, eventIDs(got.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
			}
		})
	}
}

// TestPlatformFaultyAnswers guards against responses to other requests, cut streams that look complete, and calls that run twice.
func TestPlatformFaultyAnswers(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 1)
	all := append(append([]*testProcess{}, s.engines...), s.apps...)
	for name, test := range map[string]struct {
		faults   fault.Faults
		request  siteRequest
		status   int  // 0: not compared, and a response with a model must not be complete
		runs     int  // largest number of runs
		complete bool // the response must be complete, with each event once; only one engine is faulty
	}{
		"once, answer lost":      {fault.Faults{LoseReply: 1}, siteRequest{path: "/stamp/1", key: "k1"}, 502, 1, false},
		"once, foreign answer":   {fault.Faults{SwapReply: 1}, siteRequest{path: "/stamp/1", key: "k1"}, 504, 1, false},
		"once, full":             {fault.Faults{Full: true}, siteRequest{path: "/stamp/1", key: "k1"}, 503, 0, false},
		"idempotent, lost":       {fault.Faults{LoseReply: 1}, siteRequest{path: "/lookup/1", key: "k1"}, 0, 2, false},
		"stream, cut":            {fault.Faults{CutStream: 1}, siteRequest{path: "/draft/1", key: "k1", model: "m2"}, 0, 1, false},
		"stream, lost":           {fault.Faults{LoseReply: 1}, siteRequest{path: "/draft/1", key: "k1", model: "m2"}, 502, 1, false},
		"resumable stream, cut":  {fault.Faults{CutStream: 1}, siteRequest{path: "/free/1", key: "k1", model: "m1"}, 200, 2, true},
		"resumable stream, full": {fault.Faults{Full: true}, siteRequest{path: "/free/1", key: "k1", model: "m1"}, 503, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			// With faults at all engines a resumed stream could be cut again, so a stream that must complete gets one faulty engine only.
			setFaults(t, fault.Faults{}, all...)
			if test.complete {
				setFault(t, s.engines[0].address(), test.faults)
			} else {
				setFaults(t, test.faults, all...)
			}
			got := s.ask(test.request)
			setFaults(t, fault.Faults{}, all...)
			runs := s.runsOf(got.id)
			qt.Check(t, len(runs) <= test.runs, qt.IsTrue, qt.Commentf("%v", runs))
			switch {
			case test.complete:
				qt.Check(t, got.complete, qt.IsTrue)
				qt.Check(t, eventIDs(got.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
			case test.status == 0 && test.request.model != "":
				qt.Check(t, got.complete, qt.IsFalse, qt.Commentf("%s", got.body))
			case test.status != 0:
				qt.Check(t, got.status, qt.Equals, test.status)
				qt.Check(t, fakeplatform.HasResponseStamp(got.header), qt.IsFalse)
			}
		})
	}
}

// TestPlatformConfiguration guards against hosts that miss a change of the configuration: a withdrawn key, and
// a change that is written after the store has compacted its history.
func TestPlatformConfiguration(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 3)
	s.putConfiguration("k3")
	for n := range s.hosts {
		s.eventually("the key is withdrawn", func() bool { return s.ask(siteRequest{host: n, path: "/stamp/1", key: "k1"}).status == 401 })
		qt.Check(t, s.ask(siteRequest{host: n, path: "/stamp/1", key: "k3"}).status, qt.Equals, 200)
	}
	s.post(s.store, "/compact")
	s.putConfiguration()
	for n := range s.hosts {
		s.eventually("the keys written after the compaction are in force", func() bool { return s.ask(siteRequest{host: n, path: "/stamp/1", key: "k1"}).status == 200 })
	}
}

// TestPlatformLeaving guards against new requests to an endpoint that has announced that it leaves.
func TestPlatformLeaving(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 2)
	s.announceLeaving(s.apps[0])
	time.Sleep(leaveBound)
	for n := range 20 {
		got := s.ask(siteRequest{host: n % 2, path: "/lookup/1", key: "k1"})
		qt.Assert(t, got.status, qt.Equals, 200)
		qt.Check(t, strings.HasPrefix(got.body, "s1 "), qt.IsTrue, qt.Commentf("%s", got.body))
	}
}

// TestPlatformStoreDown guards against hosts that stop serving while the store is down, and against hosts that don't
// apply later changes once it is available again.
func TestPlatformStoreDown(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 2)
	setFault(t, s.store.address(), fault.Faults{Refuse: true})
	for n := range 30 {
		qt.Check(t, s.ask(siteRequest{host: n % 2, path: "/stamp/1", key: "k1"}).status, qt.Equals, 200)
		time.Sleep(50 * time.Millisecond)
	}
	setFault(t, s.store.address(), fault.Faults{})
	s.putConfiguration("k3")
	for n := range s.hosts {
		s.eventually("the key is withdrawn", func() bool { return s.ask(siteRequest{host: n, path: "/stamp/1", key: "k1"}).status == 401 })
	}
}

// TestPlatformHolderKilled guards against a pool that receives no orders after its lease holder was killed.
func TestPlatformHolderKilled(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 2)
	served := func(n int, adapter string) bool {
		return s.ask(siteRequest{host: n, path: "/draft/1", key: "k1", model: "m1/" + adapter}).status == 200
	}
	s.eventually("adapter a1 is loaded and served by host 0", func() bool { return served(0, "a1") })
	s.hosts[0].Kill()
	s.eventually("adapter a2 is loaded and served by host 1", func() bool { return served(1, "a2") })
	s.eventually("adapters a3 and a1 are loaded in place of others", func() bool { return served(1, "a3") && served(1, "a1") })
	for _, e := range s.engines {
		response, err := s.client.Get("http://" + e.address() + "/runs")
		qt.Assert(t, err, qt.IsNil)
		var state struct{ Crashed bool }
		qt.Check(t, json.NewDecoder(response.Body).Decode(&state), qt.IsNil)
		response.Body.Close()
		qt.Check(t, state.Crashed, qt.IsFalse, qt.Commentf("the engine crashed: more adapters were loaded than it has places"))
	}
}

// hostStatus contains the fields of a host's status that the tests read.
type hostStatus struct {
	ID            string
	Members       []string
	Leases        map[string]string // id of the holder by pool
	Endpoints     int
	Configuration int64
}

// statusOf returns the status of a host, or the zero value if the host does not respond.
func (s *site) statusOf(n int) hostStatus {
	var status hostStatus
	response, err := s.client.Get("http://" + s.operatorAddresses[n] + "/v1/status")
	if err != nil {
		return hostStatus{}
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return hostStatus{}
	}
	return status
}

// members returns the members that a host lists in its status.
func (s *site) members(n int) []string { return s.statusOf(n).Members }

// TestPlatformHostGone guards against a killed host that stays a member and keeps its parts of the accounts' rates, and against
// removing hosts that still run.
func TestPlatformHostGone(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 3)
	s.eventually("host 0 lists all 3 members", func() bool { return len(s.members(0)) == 3 })
	s.hosts[2].Kill()
	s.eventually("the member row of the killed host is removed", func() bool { return len(s.members(0)) == 2 && len(s.members(1)) == 2 })
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, len(s.members(0)), qt.Equals, 2)
	}
	qt.Check(t, s.ask(siteRequest{host: 1, path: "/stamp/1", key: "k1"}).status, qt.Equals, 200)
}

// TestPlatformStop guards against a planned stop that cuts off requests, and against a host that reports that it is ready
// while it stops.
func TestPlatformStop(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 2)
	slow := startPlatformStandin(t, "slow", "endpoint", fakeplatform.Settings{
		ID: "slow", Service: "llm", Zone: "z1", Store: s.store.address(), Slots: 64, Models: []string{"m2"}, MaxModels: 3, ResponseDelay: 300_000_000,
	})
	s.engines = append(s.engines, slow)
	results := make(chan siteResponse, 8)
	for range cap(results) {
		go func() { results <- s.ask(siteRequest{path: "/draft/1", key: "k1", model: "m1"}) }()
	}
	s.hosts[0].Signal(os.Interrupt)
	s.eventually("the stopping host reports that it is not ready", func() bool { return !s.isReady(0) })
	for range cap(results) {
		got := <-results
		if got.status == 200 {
			qt.Check(t, got.complete, qt.IsTrue)
			qt.Check(t, eventIDs(got.body), qt.HasLen, 5)
		}
	}
	select {
	case <-s.hosts[0].Done():
	case <-time.After(conditionTimeout):
		t.Fatalf("host 0 did not stop within %s", conditionTimeout)
	}
	qt.Check(t, s.ask(siteRequest{host: 1, path: "/stamp/1", key: "k1"}).status, qt.Equals, 200)
}

// TestPlatformStrangeRows guards against a host that stops serving because of foreign or malformed rows in the endpoints' table or
// a configuration that can't be decoded.
func TestPlatformStrangeRows(t *testing.T) {
	parallelFleet(t)
	s := newSite(t, 1)
	s.putRow("servers", "stranger", []byte{0xff, 0xfe})
	s.putRow("servers", "other", []byte(`{"service":7}`))
	s.putRow("op", "config", []byte(`{"version":"x"}`))
	s.putRow("op", "note", []byte(`note`))
	time.Sleep(500 * time.Millisecond)
	qt.Check(t, s.ask(siteRequest{path: "/stamp/1", key: "k1"}).status, qt.Equals, 200)
	s.putConfiguration("k9")
	s.eventually("a later configuration is in force", func() bool { return s.ask(siteRequest{path: "/stamp/1", key: "k9"}).status == 200 })
}
