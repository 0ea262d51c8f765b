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

	"magnoliahoist/fault"
	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/process"
)

// Waits of the tests on the platform.
const (
	// settleLimit bounds the time until hosts have learned what a test waits for.
	settleLimit = 60 * time.Second
	pollPause   = 20 * time.Millisecond
)

// site is a small deployment of the platform whose endpoints register themselves.
type site struct {
	t       *testing.T
	store   *running
	links   []*link // of the hosts to the store
	hosts   []*running
	callers []string // addresses of the hosts for callers
	ready   []string
	status  []string // addresses of the hosts for operators
	engines []*running
	apps    []*running
	client  *http.Client
	version int64
	next    atomic.Int64 // number of the next request
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := process.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	return address
}

// platformStandin runs a stand-in of the platform.
func platformStandin(t *testing.T, name, kind string, options any) *running {
	t.Helper()
	data, err := json.Marshal(options)
	qt.Assert(t, err, qt.IsNil)
	return start(t, name, "standin", kind, "--options", string(data))
}

// newSite starts hosts with two engines and two services, and waits until all hosts serve.
func newSite(t *testing.T, hosts int) *site {
	t.Helper()
	s := &site{t: t, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}}
	s.store = platformStandin(t, "store", "store", struct{}{})
	for n, models := range [][]string{{"m1", "m2"}, {"m1"}} {
		s.engines = append(s.engines, platformStandin(t, fmt.Sprint("engine", n), "endpoint", fakeplatform.Settings{
			ID: fmt.Sprint("e", n), Service: "llm", Zone: "z1", Store: s.store.address(), Slots: 64, Models: models, MaxModels: 3, MaxAdapters: 2,
		}))
	}
	for n := range 2 {
		s.apps = append(s.apps, platformStandin(t, fmt.Sprint("app", n), "endpoint", fakeplatform.Settings{
			ID: fmt.Sprint("s", n), Service: "app", Zone: "z1", Store: s.store.address(), Slots: 6,
		}))
	}
	s.configure()
	for n := range hosts {
		s.startHost(fmt.Sprint("host", n))
	}
	for n := range hosts {
		s.await(fmt.Sprint("host ", n, " is ready"), func() bool { return s.isReady(n) })
	}
	return s
}

// startHost runs an entry host.
func (s *site) startHost(name string) {
	s.t.Helper()
	callers, ready, operators := freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	link := newLink(s.t, s.store.address())
	s.links = append(s.links, link)
	settings, err := json.Marshal(map[string]any{
		"name": name, "domain": "z1", "callers": callers, "ready": ready, "peers": freeAddress(s.t), "operators": operators,
		"store": link.address(), "lease": "300ms", "grace": "8s",
	})
	qt.Assert(s.t, err, qt.IsNil)
	file := filepath.Join(s.t.TempDir(), name+".json")
	qt.Assert(s.t, os.WriteFile(file, settings, 0o600), qt.IsNil)
	s.hosts = append(s.hosts, start(s.t, name, "entry", "--config", file))
	s.callers = append(s.callers, callers)
	s.ready = append(s.ready, ready)
	s.status = append(s.status, operators)
}

func (s *site) isReady(n int) bool {
	response, err := s.client.Get("http://" + s.ready[n] + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func (s *site) await(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(settleLimit); time.Now().Before(end); time.Sleep(pollPause) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("waited in vain: %s", what)
}

// configure writes a configuration with the keys, or with k1 when there are none.
func (s *site) configure(keys ...string) {
	s.t.Helper()
	if len(keys) == 0 {
		keys = []string{"k1"}
	}
	s.version++
	value, err := json.Marshal(fakeplatform.Configuration(s.version, keys...))
	qt.Assert(s.t, err, qt.IsNil)
	s.put("op", "config", value)
}

// put writes a row to the store.
func (s *site) put(table, key string, value []byte) {
	s.t.Helper()
	qt.Assert(s.t, fakeplatform.PutRow(s.client, s.store.address(), table, key, value), qt.IsNil)
}

// asked is a caller's request.
type asked struct {
	host   int
	path   string
	key    string
	model  string
	tokens string
	body   string
}

// answered is what a caller got.
type answered struct {
	id     string
	status int
	header http.Header
	body   string
	whole  bool
}

// ask sends a request to a host.
func (s *site) ask(a asked) answered {
	s.t.Helper()
	id := fmt.Sprintf("%s-%d", strings.ReplaceAll(s.t.Name(), "/", "-"), s.next.Add(1))
	tokens := a.tokens
	if a.model != "" {
		tokens = "100,10"
	}
	request, err := fakeplatform.Request{
		ID: id, Host: "h", Path: a.path, Key: a.key, Model: a.model, Tokens: tokens, CallerTimeout: 5 * time.Second, Body: a.body,
	}.HTTPRequest(s.callers[a.host])
	qt.Assert(s.t, err, qt.IsNil)
	response, err := s.client.Do(request)
	if err != nil {
		return answered{id: id}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answered{id: id, status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil}
}

// runsOf returns how a request was run, over all endpoints.
func (s *site) runsOf(id string) []fakeplatform.Run {
	s.t.Helper()
	var runs []fakeplatform.Run
	for _, p := range append(append([]*running{}, s.engines...), s.apps...) {
		response, err := s.client.Get("http://" + p.address() + "/runs")
		if err != nil {
			continue // an endpoint that a test has ended
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

// TestPlatformPath guards the whole path in separate processes: callers, hosts, the store and endpoints that register
// themselves.
func TestPlatformPath(t *testing.T) {
	parallel(t)
	s := newSite(t, 2)
	for name, test := range map[string]struct {
		asked  asked
		status int
		runs   int
	}{
		"stream":           {asked{path: "/draft/1", key: "k1", model: "m1"}, 200, 1},
		"stream, adapter":  {asked{path: "/draft/1", key: "k1", model: "m2/a1"}, 200, 1},
		"call":             {asked{path: "/stamp/1?x=1", key: "k1", body: "stamp"}, 200, 1},
		"other host":       {asked{host: 1, path: "/lookup/1", key: "k1"}, 200, 1},
		"open":             {asked{path: "/open/1"}, 200, 1},
		"no key":           {asked{path: "/stamp/1"}, 401, 0},
		"unknown key":      {asked{path: "/stamp/1", key: "k2"}, 401, 0},
		"no route":         {asked{path: "/else/1", key: "k1"}, 404, 0},
		"unknown model":    {asked{path: "/draft/1", key: "k1", model: "m9"}, 503, 0},
		"body too large":   {asked{path: "/stamp/1", key: "k1", body: strings.Repeat("x", 70000)}, 413, 0},
		"malformed tokens": {asked{path: "/draft/1", key: "k1", tokens: "x"}, 400, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := s.ask(test.asked)
			if name == "stream, adapter" {
				s.await("the adapter is served", func() bool { got = s.ask(test.asked); return got.status == http.StatusOK })
			}
			qt.Assert(t, got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
			qt.Check(t, got.whole, qt.IsTrue)
			runs := s.runsOf(got.id)
			qt.Assert(t, runs, qt.HasLen, test.runs)
			if test.runs == 0 {
				return
			}
			qt.Check(t, runs[0].Path, qt.Equals, test.asked.path)
			qt.Check(t, runs[0].Body, qt.Equals, test.asked.body)
			qt.Check(t, runs[0].HasCallerKey, qt.IsFalse)
			qt.Check(t, runs[0].Account == "t1", qt.Equals, test.asked.key != "")
			qt.Check(t, fakeplatform.HasResponseStamp(got.header), qt.IsTrue)
			if test.asked.model != "" {
				qt.Check(t, eventIDs(got.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
			}
		})
	}
}

// TestPlatformFaultyAnswers guards against answers of others, cut streams that look whole, and calls that run twice.
func TestPlatformFaultyAnswers(t *testing.T) {
	parallel(t)
	s := newSite(t, 1)
	all := append(append([]*running{}, s.engines...), s.apps...)
	for name, test := range map[string]struct {
		faults fault.Faults
		asked  asked
		status int  // 0 when the answer must not be whole
		runs   int  // at most
		whole  bool // all events came once
	}{
		"once, answer lost":      {fault.Faults{LoseReply: 1}, asked{path: "/stamp/1", key: "k1"}, 502, 1, false},
		"once, foreign answer":   {fault.Faults{SwapReply: 1}, asked{path: "/stamp/1", key: "k1"}, 504, 1, false},
		"once, full":             {fault.Faults{Full: true}, asked{path: "/stamp/1", key: "k1"}, 503, 0, false},
		"idempotent, lost":       {fault.Faults{LoseReply: 1}, asked{path: "/lookup/1", key: "k1"}, 0, 2, false},
		"stream, cut":            {fault.Faults{CutStream: 1}, asked{path: "/draft/1", key: "k1", model: "m2"}, 0, 1, false},
		"stream, lost":           {fault.Faults{LoseReply: 1}, asked{path: "/draft/1", key: "k1", model: "m2"}, 502, 1, false},
		"resumable stream, cut":  {fault.Faults{CutStream: 1}, asked{path: "/free/1", key: "k1", model: "m1"}, 200, 2, true},
		"resumable stream, full": {fault.Faults{Full: true}, asked{path: "/free/1", key: "k1", model: "m1"}, 503, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			// A stream that is cut at one engine may be cut at the next one too: only one of them fails.
			setFaults(t, fault.Faults{}, all...)
			if test.whole {
				setFault(t, s.engines[0].address(), test.faults)
			} else {
				setFaults(t, test.faults, all...)
			}
			got := s.ask(test.asked)
			setFaults(t, fault.Faults{}, all...)
			runs := s.runsOf(got.id)
			qt.Check(t, len(runs) <= test.runs, qt.IsTrue, qt.Commentf("%v", runs))
			switch {
			case test.whole:
				qt.Check(t, got.whole, qt.IsTrue)
				qt.Check(t, eventIDs(got.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
			case test.status == 0 && test.asked.model != "":
				qt.Check(t, got.whole, qt.IsFalse, qt.Commentf("%s", got.body))
			case test.status != 0:
				qt.Check(t, got.status, qt.Equals, test.status)
				qt.Check(t, fakeplatform.HasResponseStamp(got.header), qt.IsFalse)
			}
		})
	}
}

// TestPlatformConfiguration guards against hosts that miss a change: a key that is withdrawn, a route that moves, and
// a change that comes while the history of the store is dropped.
func TestPlatformConfiguration(t *testing.T) {
	parallel(t)
	s := newSite(t, 3)
	s.configure("k3")
	for n := range s.hosts {
		s.await("the key is withdrawn", func() bool { return s.ask(asked{host: n, path: "/stamp/1", key: "k1"}).status == 401 })
		qt.Check(t, s.ask(asked{host: n, path: "/stamp/1", key: "k3"}).status, qt.Equals, 200)
	}
	response, err := s.client.Post("http://"+s.store.address()+"/compact", "", nil)
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	s.configure()
	for n := range s.hosts {
		s.await("the newest keys are in force", func() bool { return s.ask(asked{host: n, path: "/stamp/1", key: "k1"}).status == 200 })
	}
}

// TestPlatformLeaving guards against work for an endpoint that has said that it leaves.
func TestPlatformLeaving(t *testing.T) {
	parallel(t)
	s := newSite(t, 2)
	s.leave(s.apps[0])
	time.Sleep(leaveBound)
	for n := range 20 {
		got := s.ask(asked{host: n % 2, path: "/lookup/1", key: "k1"})
		qt.Assert(t, got.status, qt.Equals, 200)
		qt.Check(t, strings.HasPrefix(got.body, "s1 "), qt.IsTrue, qt.Commentf("%s", got.body))
	}
}

// TestPlatformStoreDown guards against hosts that stop serving while the store is away, and against hosts that don't
// learn what changed when it is back.
func TestPlatformStoreDown(t *testing.T) {
	parallel(t)
	s := newSite(t, 2)
	setFault(t, s.store.address(), fault.Faults{Refuse: true})
	for n := range 30 {
		qt.Check(t, s.ask(asked{host: n % 2, path: "/stamp/1", key: "k1"}).status, qt.Equals, 200)
		time.Sleep(50 * time.Millisecond)
	}
	setFault(t, s.store.address(), fault.Faults{})
	s.configure("k3")
	for n := range s.hosts {
		s.await("the key is withdrawn", func() bool { return s.ask(asked{host: n, path: "/stamp/1", key: "k1"}).status == 401 })
	}
}

// TestPlatformHolderKilled guards against a pool without orders after the host that gave them was killed.
func TestPlatformHolderKilled(t *testing.T) {
	parallel(t)
	s := newSite(t, 2)
	served := func(n int, adapter string) bool {
		return s.ask(asked{host: n, path: "/draft/1", key: "k1", model: "m1/" + adapter}).status == 200
	}
	s.await("adapters are loaded", func() bool { return served(0, "a1") })
	s.hosts[0].Kill()
	s.await("the other host loads adapters", func() bool { return served(1, "a2") })
	s.await("adapters make room for each other", func() bool { return served(1, "a3") && served(1, "a1") })
	for _, e := range s.engines {
		response, err := s.client.Get("http://" + e.address() + "/runs")
		qt.Assert(t, err, qt.IsNil)
		var state struct{ Crashed bool }
		qt.Check(t, json.NewDecoder(response.Body).Decode(&state), qt.IsNil)
		response.Body.Close()
		qt.Check(t, state.Crashed, qt.IsFalse, qt.Commentf("more adapters than places"))
	}
}

// hostStatus is what a host says of itself.
type hostStatus struct {
	ID      string
	Members []string
	Leases  map[string]string // id of the holder by pool
}

// statusOf returns the status of a host; nothing when it does not answer.
func (s *site) statusOf(n int) hostStatus {
	var status hostStatus
	response, err := s.client.Get("http://" + s.status[n] + "/v1/status")
	if err != nil {
		return hostStatus{}
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return hostStatus{}
	}
	return status
}

// members returns the hosts that a host knows.
func (s *site) members(n int) []string { return s.statusOf(n).Members }

// TestPlatformHostGone guards against parts of allowances that stay with a host that is gone for good, and against
// removing hosts that live.
func TestPlatformHostGone(t *testing.T) {
	parallel(t)
	s := newSite(t, 3)
	s.await("all are members", func() bool { return len(s.members(0)) == 3 })
	s.hosts[2].Kill()
	s.await("the row of the dead host is removed", func() bool { return len(s.members(0)) == 2 && len(s.members(1)) == 2 })
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, len(s.members(0)), qt.Equals, 2)
	}
	qt.Check(t, s.ask(asked{host: 1, path: "/stamp/1", key: "k1"}).status, qt.Equals, 200)
}

// TestPlatformStop guards against a planned stop that cuts off requests, and against a host that counts as ready while
// it stops.
func TestPlatformStop(t *testing.T) {
	parallel(t)
	s := newSite(t, 2)
	slow := platformStandin(t, "slow", "endpoint", fakeplatform.Settings{
		ID: "slow", Service: "llm", Zone: "z1", Store: s.store.address(), Slots: 64, Models: []string{"m2"}, MaxModels: 3, ResponseDelay: 300_000_000,
	})
	s.engines = append(s.engines, slow)
	results := make(chan answered, 8)
	for range cap(results) {
		go func() { results <- s.ask(asked{path: "/draft/1", key: "k1", model: "m1"}) }()
	}
	s.hosts[0].Signal(os.Interrupt)
	s.await("the host says that it is not ready", func() bool { return !s.isReady(0) })
	for range cap(results) {
		got := <-results
		if got.status == 200 {
			qt.Check(t, got.whole, qt.IsTrue)
			qt.Check(t, eventIDs(got.body), qt.HasLen, 5)
		}
	}
	select {
	case <-s.hosts[0].Done():
	case <-time.After(settleLimit):
		t.Fatal("the host has not stopped")
	}
	qt.Check(t, s.ask(asked{host: 1, path: "/stamp/1", key: "k1"}).status, qt.Equals, 200)
}

// TestPlatformStrangeRows guards against rows of others in the endpoints' table, and a configuration that can't be
// read, that stop a host from serving.
func TestPlatformStrangeRows(t *testing.T) {
	parallel(t)
	s := newSite(t, 1)
	s.put("servers", "stranger", []byte{0xff, 0xfe})
	s.put("servers", "other", []byte(`{"service":7}`))
	s.put("op", "config", []byte(`{"version":"x"}`))
	s.put("op", "note", []byte(`note`))
	time.Sleep(500 * time.Millisecond)
	qt.Check(t, s.ask(asked{path: "/stamp/1", key: "k1"}).status, qt.Equals, 200)
	s.configure("k9")
	s.await("a later configuration is in force", func() bool { return s.ask(asked{path: "/stamp/1", key: "k9"}).status == 200 })
}
