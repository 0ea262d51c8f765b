package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fault"
	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/process"
	"magnoliahoist/soak"
)

// The deployment of a play.
const (
	events     = 5
	lease      = 300 * time.Millisecond
	grace      = 8 * time.Second
	trust      = 10 * time.Second
	eventPause = 10 * time.Millisecond
	loadTime   = 100 * time.Millisecond
	slowTime   = 100 * time.Millisecond
	lateTime   = 1500 * time.Millisecond
	lostCount  = 20 // answers lost by one failure
	// stopSlack is added to the grace period: the machine is shared.
	stopSlack = 3 * time.Second
)

// usualSizes are those of the seeds that each run of the tests plays.
var usualSizes = soak.Sizes{Hosts: 3, Engines: 2, Services: 2, Endpoints: 4}

// host is one host with the proxies before and behind it.
type host struct {
	name    string
	file    string
	callers string // address
	ready   string
	store   *soak.Proxy
	peers   *soak.Proxy

	restart sync.Mutex // held while the process is replaced
	mu      sync.Mutex
	process *process.Process
}

func (h *host) current() *process.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// endpoint is a stand-in for an endpoint with the proxy before it.
type endpoint struct {
	id      string
	process *process.Process
	proxy   *soak.Proxy
}

// world is a deployment that faults are played against.
type world struct {
	t         *testing.T
	sizes     soak.Sizes
	started   time.Time
	store     *process.Process
	hosts     []*host
	endpoints []*endpoint
	client    *http.Client

	operator sync.Mutex // held while a configuration is written
	mu       sync.Mutex
	version  int64
	keys     []string
	acked    time.Duration
	findings []string
}

func newWorld(t *testing.T, sizes soak.Sizes) *world {
	w := &world{t: t, sizes: sizes, keys: []string{"k1", "k2"}, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	w.store = w.standin("store", "store", struct{}{})
	for n := range sizes.Endpoints {
		w.addEndpoint(n)
	}
	w.configure()
	for n := range sizes.Hosts {
		w.addHost(n)
	}
	for _, h := range w.hosts {
		w.await(h.name+" is ready", func() bool { return w.isReady(h) })
	}
	w.started = time.Now()
	return w
}

// now returns the time since the start of the play.
func (w *world) now() time.Duration { return time.Since(w.started) }

func (w *world) start(name string, args ...string) *process.Process {
	p, err := process.Start(name, binary, args...)
	qt.Assert(w.t, err, qt.IsNil)
	w.t.Cleanup(p.Kill)
	return p
}

func (w *world) standin(name, kind string, options any) *process.Process {
	data, err := json.Marshal(options)
	qt.Assert(w.t, err, qt.IsNil)
	return w.start(name, "standin", kind, "--options", string(data))
}

func (w *world) proxy(target func() string) *soak.Proxy {
	p, err := soak.NewProxy(target)
	qt.Assert(w.t, err, qt.IsNil)
	w.t.Cleanup(p.Close)
	return p
}

// addEndpoint starts an endpoint that registers the address of its proxy.
func (w *world) addEndpoint(n int) {
	e := &endpoint{id: soak.EndpointID(n)}
	e.proxy = w.proxy(func() string { return e.process.Address() })
	settings := fakeplatform.Settings{ID: e.id, Service: "app", Zone: "z1", Store: w.store.Address(), Address: e.proxy.Address(), Slots: 6, Events: events}
	if n < w.sizes.Engines {
		settings.Service, settings.Slots, settings.Places, settings.Adapters = "llm", 64, 3, 2
		settings.Models = [][]string{{"m1", "m2"}, {"m1"}}[n%2]
		settings.Pause, settings.Load = document.Duration(eventPause), document.Duration(loadTime)
	}
	e.process = w.standin(e.id, "endpoint", settings)
	w.endpoints = append(w.endpoints, e)
}

func (w *world) freeAddress() string {
	address, err := process.FreeAddress()
	qt.Assert(w.t, err, qt.IsNil)
	return address
}

func (w *world) addHost(n int) {
	h := &host{name: fmt.Sprint("host", n), callers: w.freeAddress(), ready: w.freeAddress()}
	peers := w.freeAddress()
	h.store = w.proxy(w.store.Address)
	h.peers = w.proxy(func() string { return peers })
	settings, err := json.Marshal(map[string]any{
		"name": h.name, "domain": "z1", "callers": h.callers, "ready": h.ready, "peers": peers, "reachable": h.peers.Address(),
		"operators": w.freeAddress(), "store": h.store.Address(), "lease": lease.String(), "grace": grace.String(), "trust": trust.String(),
	})
	qt.Assert(w.t, err, qt.IsNil)
	h.file = filepath.Join(w.t.TempDir(), h.name+".json")
	qt.Assert(w.t, os.WriteFile(h.file, settings, 0o600), qt.IsNil)
	h.process = w.start(h.name, "entry", "--config", h.file)
	w.hosts = append(w.hosts, h)
}

func (w *world) isReady(h *host) bool {
	response, err := w.client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) await(what string, holds func() bool) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("waited in vain: %s", what)
}

// find notes a broken promise that callers and endpoints don't show.
func (w *world) find(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findings = append(w.findings, fmt.Sprintf(format, values...))
}

// configure writes a version of the configuration until the store shows it.
func (w *world) configure() {
	w.operator.Lock()
	defer w.operator.Unlock()
	w.mu.Lock()
	w.version++
	c := fakeplatform.Configuration(w.version, w.keys...)
	w.mu.Unlock()
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["attempts"] = 2 // so that a request that must not be repeated could be
	}
	c["tenants"] = append(c["tenants"].([]any), map[string]any{
		"name": "t2", "api_keys": []string{limitedKey}, "unit": "tokens", "plain_tokens": limitedCost, "rate_per_s": limitedRate, "burst": limitedBurst,
	})
	value, err := json.Marshal(c)
	qt.Assert(w.t, err, qt.IsNil)
	w.await("the configuration is acknowledged", func() bool {
		row, err := fakeplatform.ReadRow(w.client, w.store.Address(), "op", "config")
		if err != nil || bytes.Equal(row.Value, value) {
			return err == nil
		}
		return fakeplatform.ReplaceRow(w.client, w.store.Address(), "op", "config", value, row.Version) == nil
	})
}

func (w *world) withdraw() {
	w.mu.Lock()
	w.keys = []string{"k1"}
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	w.acked = w.now()
	w.mu.Unlock()
}

// setFaults puts faults of a stand-in in force.
func (w *world) setFaults(p *process.Process, faults fault.Faults) {
	data, err := json.Marshal(faults)
	qt.Check(w.t, err, qt.IsNil)
	response, err := w.client.Post("http://"+p.Address()+fault.Path, "application/json", bytes.NewReader(data))
	if err != nil {
		return // a stand-in that is frozen; all faults end with the play
	}
	response.Body.Close()
}

func faultsOf(f soak.Failure) fault.Faults {
	switch f {
	case soak.Down:
		return fault.Faults{Down: true}
	case soak.Slow:
		return fault.Faults{Slow: document.Duration(slowTime)}
	case soak.LoseReplies:
		return fault.Faults{LoseReply: lostCount}
	case soak.LateWrites:
		return fault.Faults{LateWrite: document.Duration(lateTime)}
	case soak.CutStreams:
		return fault.Faults{CutStream: lostCount}
	case soak.SwapReplies:
		return fault.Faults{SwapReply: lostCount}
	case soak.Full:
		return fault.Faults{Full: true}
	case soak.LateOrders:
		return fault.Faults{LateOrder: document.Duration(lateTime)}
	default:
		return fault.Faults{}
	}
}

// play carries out one step from its beginning to its end.
func (w *world) play(s soak.Step) {
	time.Sleep(s.At - w.now())
	switch a := s.Act.(type) {
	case soak.KillHost:
		w.replace(w.hosts[a.Host], s.For, func(p *process.Process) { p.Kill() })
	case soak.StopHost:
		w.replace(w.hosts[a.Host], 0, w.stop)
	case soak.PauseHost:
		p := w.hosts[a.Host].current()
		p.Freeze()
		time.Sleep(s.For)
		p.Thaw()
	case soak.PauseEndpoint:
		p := w.endpoints[a.Endpoint].process
		p.Freeze()
		time.Sleep(s.For)
		p.Thaw()
	case soak.HangUpHost:
		w.hosts[a.Host].current().Signal(syscall.SIGHUP)
	case soak.Disturb:
		p := w.link(a)
		p.Set(a.Trouble)
		time.Sleep(s.For)
		p.Set(soak.Untroubled)
	case soak.Isolate:
		for _, h := range w.hosts {
			h.store.Set(soak.Silent)
			h.peers.Set(soak.Silent)
		}
		time.Sleep(s.For)
		for _, h := range w.hosts {
			h.store.Set(soak.Untroubled)
			h.peers.Set(soak.Untroubled)
		}
	case soak.FailStore:
		w.fail(w.store, a.Failure, s.For)
	case soak.FailEndpoint:
		w.fail(w.endpoints[a.Endpoint].process, a.Failure, s.For)
	case soak.LeaveEndpoint:
		w.tell(w.endpoints[a.Endpoint].process, "/leave")
		time.Sleep(s.For)
		w.tell(w.endpoints[a.Endpoint].process, "/restart")
	case soak.Withdraw:
		w.withdraw()
	case soak.Reconfigure:
		w.configure()
	}
}

func (w *world) link(d soak.Disturb) *soak.Proxy {
	switch d.Link {
	case soak.StoreLink:
		return w.hosts[d.Index].store
	case soak.PeerLink:
		return w.hosts[d.Index].peers
	default:
		return w.endpoints[d.Index].proxy
	}
}

func (w *world) fail(p *process.Process, f soak.Failure, d time.Duration) {
	if f == soak.Compact {
		w.tell(p, "/compact")
		return
	}
	w.setFaults(p, faultsOf(f))
	time.Sleep(d)
	w.setFaults(p, fault.Faults{})
}

// tell has a stand-in do something. One that is frozen or down is told later, with the end of the faults.
func (w *world) tell(p *process.Process, path string) {
	if response, err := w.client.Post("http://"+p.Address()+path, "", nil); err == nil {
		response.Body.Close()
	}
}

// stop asks a host to stop and waits for its end. A pause that overlaps makes it longer.
func (w *world) stop(p *process.Process) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Done():
		if p.Err() != nil {
			w.find("%s ended its planned stop with %v", p.Name(), p.Err())
		}
	case <-time.After(grace + stopSlack + mostPause):
		w.find("%s did not stop within its grace period", p.Name())
		p.Kill()
	}
}

// replace ends a host's process and starts another in its place. A process that has ended by itself is a finding.
func (w *world) replace(h *host, after time.Duration, end func(*process.Process)) {
	h.restart.Lock()
	defer h.restart.Unlock()
	p := h.current()
	w.checkRuns(h)
	end(p)
	time.Sleep(after)
	next, err := process.Start(h.name, binary, "entry", "--config", h.file)
	if err != nil {
		w.find("%s does not start again: %v", h.name, err)
		return
	}
	w.t.Cleanup(next.Kill)
	w.keepLog(p)
	h.mu.Lock()
	h.process = next
	h.mu.Unlock()
}

func (w *world) checkRuns(h *host) {
	p := h.current()
	select {
	case <-p.Done():
		w.find("%s ended by itself: %v", h.name, p.Err())
	default:
	}
}

// mend ends all faults.
func (w *world) mend() {
	w.setFaults(w.store, fault.Faults{})
	for _, e := range w.endpoints {
		e.process.Thaw()
		e.proxy.Set(soak.Untroubled)
		w.setFaults(e.process, fault.Faults{})
		w.tell(e.process, "/restart")
	}
	for _, h := range w.hosts {
		h.current().Thaw()
		h.store.Set(soak.Untroubled)
		h.peers.Set(soak.Untroubled)
	}
}

// histories returns what the endpoints have done.
func (w *world) histories() map[string]fakeplatform.History {
	all := map[string]fakeplatform.History{}
	for _, e := range w.endpoints {
		response, err := w.client.Get("http://" + e.process.Address() + "/runs")
		qt.Assert(w.t, err, qt.IsNil)
		var history fakeplatform.History
		err = json.NewDecoder(response.Body).Decode(&history)
		response.Body.Close()
		qt.Assert(w.t, err, qt.IsNil)
		all[e.id] = history
	}
	return all
}

// keepLog writes the log of a process that has ended, where logs are wanted.
func (w *world) keepLog(p *process.Process) {
	if *logs == "" {
		return
	}
	name := filepath.Join(*logs, filepath.Base(w.t.Name())+"-"+p.Name()+".log")
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		w.t.Logf("unable to keep a log: %v", err)
		return
	}
	defer file.Close()
	io.WriteString(file, p.Log())
}
