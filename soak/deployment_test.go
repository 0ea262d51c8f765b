package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
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

// Settings of the deployment of a trial.
const (
	eventsPerStream = 5
	handoverGap     = 300 * time.Millisecond
	gracePeriod     = 8 * time.Second
	trustPeriod     = 10 * time.Second
	responseDelay   = 10 * time.Millisecond
	// longResponseDelay replaces responseDelay where callers take up streams, so that more of them run when a host ends.
	longResponseDelay = 60 * time.Millisecond
	loadTime          = 100 * time.Millisecond
	slowDelay         = 100 * time.Millisecond
	releaseEngines    = 2 // that a release starts
	lateDelay         = 1500 * time.Millisecond
	faultyOperations  = 20 // operations that one failure affects
	// restTime is the time for which an endpoint asks for no requests.
	restTime = 2 * time.Second
	// storeAbsence is how long the store is away before it comes back from a copy.
	storeAbsence = 700 * time.Millisecond
	// stopMargin is added to the grace period because the machine is shared.
	stopMargin = 3 * time.Second
)

// usualSizes are the sizes of the deployment unless -hosts is set.
var usualSizes = soak.Sizes{Hosts: 3, Engines: 2, Services: 2, Endpoints: 4}

// host is a host's process with its addresses and the proxies on its links to the store and from its peers.
type host struct {
	name          string
	configFile    string
	callerAddress string
	readyAddress  string
	storeProxy    *soak.Proxy
	peerProxy     *soak.Proxy

	replacing sync.Mutex // held while the process is being replaced
	mu        sync.Mutex
	process   *process.Process
}

// currentProcess returns the process that serves as the host now.
func (h *host) currentProcess() *process.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// endpoint is a stand-in for an endpoint with the proxy on the link to it.
type endpoint struct {
	id      string
	process *process.Process
	proxy   *soak.Proxy

	mu       sync.Mutex
	listener string // address of the process; empty until it has started
}

// address returns the address of the process. A connection may reach the proxy before the process has started, from a host of an earlier
// deployment that knows the port.
func (e *endpoint) address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener
}

// setAddress sets the address of the process.
func (e *endpoint) setAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener = address
}

// deployment is a running deployment into which a trial injects faults.
type deployment struct {
	t             *testing.T
	sizes         soak.Sizes
	responseDelay time.Duration // before each event of a stream
	startedAt     time.Time
	store         *process.Process
	hosts         []*host
	endpoints     []*endpoint
	client        *http.Client

	configuring   sync.Mutex // held while a configuration is being written
	mu            sync.Mutex
	configVersion int64
	keys          []string
	withdrawnAt   time.Duration
	violations    []string
	released      map[string]fakeplatform.History // of the engines of releases, by ID
}

// newDeployment starts a deployment and waits until every host is ready.
func newDeployment(t *testing.T, sizes soak.Sizes, responseDelay time.Duration) *deployment {
	d := &deployment{t: t, responseDelay: responseDelay, sizes: sizes, keys: []string{"k1", "k2"}, released: map[string]fakeplatform.History{}, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	d.store = d.startStandin("store", "store", struct{}{})
	for n := range sizes.Endpoints {
		d.addEndpoint(n)
	}
	d.configure()
	for n := range sizes.Hosts {
		d.addHost(n)
	}
	for _, h := range d.hosts {
		d.waitUntil(h.name+" is ready", func() bool { return d.isReady(h) })
	}
	d.startedAt = time.Now()
	return d
}

// sinceStart returns the time since the start of the trial.
func (d *deployment) sinceStart() time.Duration { return time.Since(d.startedAt) }

// startProcess starts the binary under test; the process is killed at the end of the test.
func (d *deployment) startProcess(name string, args ...string) *process.Process {
	p, err := process.Start(name, binary, args...)
	qt.Assert(d.t, err, qt.IsNil)
	d.t.Cleanup(p.Kill)
	return p
}

// startStandin starts a stand-in of a kind with options that are encoded to JSON.
func (d *deployment) startStandin(name, kind string, options any) *process.Process {
	data, err := json.Marshal(options)
	qt.Assert(d.t, err, qt.IsNil)
	return d.startProcess(name, "standin", kind, "--options", string(data))
}

// startProxy starts a proxy that is closed at the end of the test.
func (d *deployment) startProxy(target func() string) *soak.Proxy {
	p, err := soak.NewProxy(target)
	qt.Assert(d.t, err, qt.IsNil)
	d.t.Cleanup(p.Close)
	return p
}

// addEndpoint starts the stand-in for an endpoint; the endpoint registers the address of its proxy in place of its own.
func (d *deployment) addEndpoint(n int) {
	e := &endpoint{id: soak.EndpointID(n)}
	e.proxy = d.startProxy(e.address)
	settings := fakeplatform.Settings{ID: e.id, Service: "app", Zone: "z1", Store: d.store.Address(), Address: e.proxy.Address(), Slots: 6, EventsPerStream: eventsPerStream}
	if n < d.sizes.Engines {
		settings.Service, settings.Slots, settings.MaxModels, settings.MaxAdapters = "llm", 64, 3, 2
		settings.Models = [][]string{{"m1", "m2"}, {"m1"}}[n%2]
		settings.ResponseDelay, settings.LoadTime = document.Duration(d.responseDelay), document.Duration(loadTime)
	}
	e.process = d.startStandin(e.id, "endpoint", settings)
	e.setAddress(e.process.Address())
	d.endpoints = append(d.endpoints, e)
}

func (d *deployment) freeAddress() string {
	address, err := process.FreeAddress()
	qt.Assert(d.t, err, qt.IsNil)
	return address
}

// addHost starts a host whose links to the store and from its peers pass through proxies.
func (d *deployment) addHost(n int) {
	h := &host{name: fmt.Sprint("host", n), callerAddress: d.freeAddress(), readyAddress: d.freeAddress()}
	peers := d.freeAddress()
	h.storeProxy = d.startProxy(d.store.Address)
	h.peerProxy = d.startProxy(func() string { return peers })
	settings, err := json.Marshal(map[string]any{
		"name": h.name, "domain": "z1", "callers": h.callerAddress, "ready": h.readyAddress, "peers": peers, "reachable": h.peerProxy.Address(),
		"operators": d.freeAddress(), "store": h.storeProxy.Address(), "lease": handoverGap.String(), "grace": gracePeriod.String(), "trust": trustPeriod.String(),
	})
	qt.Assert(d.t, err, qt.IsNil)
	h.configFile = filepath.Join(d.t.TempDir(), h.name+".json")
	qt.Assert(d.t, os.WriteFile(h.configFile, settings, 0o600), qt.IsNil)
	h.process = d.startProcess(h.name, "entry", "--config", h.configFile)
	d.hosts = append(d.hosts, h)
}

func (d *deployment) isReady(h *host) bool {
	response, err := d.client.Get("http://" + h.readyAddress + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntil waits until a condition holds and fails the test after a minute.
func (d *deployment) waitUntil(description string, condition func() bool) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("timed out after a minute: %s", description)
}

// reportViolation records a violation that does not show in the responses and endpoints' histories of a trial.
func (d *deployment) reportViolation(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, values...))
}

// configure writes the next version of the configuration.
func (d *deployment) configure() {
	d.configuring.Lock()
	defer d.configuring.Unlock()
	d.mu.Lock()
	d.configVersion++
	d.mu.Unlock()
	d.writeConfiguration()
}

// rewriteConfiguration writes the newest version of the configuration again, which a restored store may have lost.
func (d *deployment) rewriteConfiguration() {
	d.configuring.Lock()
	defer d.configuring.Unlock()
	d.writeConfiguration()
}

// writeConfiguration writes the newest version of the configuration until a read of the store returns it. The caller holds configuring.
func (d *deployment) writeConfiguration() {
	d.mu.Lock()
	c := fakeplatform.Configuration(d.configVersion, d.keys...)
	d.mu.Unlock()
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["attempts"] = 2 // so that a wrong retry of an at-most-once request would show
	}
	c["tenants"] = append(c["tenants"].([]any), map[string]any{
		"name": "t2", "api_keys": []string{limitedKey}, "unit": "tokens", "plain_tokens": limitedTokensPerCall, "rate_per_s": limitedRate, "burst": limitedBurst,
	})
	value, err := json.Marshal(c)
	qt.Assert(d.t, err, qt.IsNil)
	d.waitUntil("the configuration is acknowledged", func() bool {
		row, err := fakeplatform.ReadRow(d.client, d.store.Address(), "op", "config")
		if err != nil || bytes.Equal(row.Value, value) {
			return err == nil
		}
		return fakeplatform.ReplaceRow(d.client, d.store.Address(), "op", "config", value, row.Version) == nil
	})
}

// withdrawKey removes key k2 from the configuration and records when the store acknowledged it.
func (d *deployment) withdrawKey() {
	d.mu.Lock()
	d.keys = []string{"k1"}
	d.mu.Unlock()
	d.configure()
	d.mu.Lock()
	d.withdrawnAt = d.sinceStart()
	d.mu.Unlock()
}

// setFaults replaces the faults in force in a stand-in.
func (d *deployment) setFaults(p *process.Process, faults fault.Faults) {
	data, err := json.Marshal(faults)
	qt.Check(d.t, err, qt.IsNil)
	response, err := d.client.Post("http://"+p.Address()+fault.Path, "application/json", bytes.NewReader(data))
	if err != nil {
		return // the stand-in is suspended; clearFaults sets its faults again
	}
	response.Body.Close()
}

// faultsFor returns the faults that produce a failure in a stand-in.
func faultsFor(f soak.Failure) fault.Faults {
	switch f {
	case soak.Down:
		return fault.Faults{Down: true}
	case soak.Slow:
		return fault.Faults{Slow: document.Duration(slowDelay)}
	case soak.LoseReplies:
		return fault.Faults{LoseReply: faultyOperations}
	case soak.LateWrites:
		return fault.Faults{LateWrite: document.Duration(lateDelay)}
	case soak.CutStreams:
		return fault.Faults{CutStream: faultyOperations}
	case soak.SwapReplies:
		return fault.Faults{SwapReply: faultyOperations}
	case soak.Full:
		return fault.Faults{Full: true}
	case soak.Rest:
		return fault.Faults{Rest: document.Duration(restTime)}
	case soak.LateOrders:
		return fault.Faults{LateOrder: document.Duration(lateDelay)}
	default:
		return fault.Faults{}
	}
}

// runStep waits for the start of a step, applies it, and ends it after its duration.
func (d *deployment) runStep(s soak.Step) {
	time.Sleep(s.At - d.sinceStart())
	switch a := s.Act.(type) {
	case soak.KillHost:
		d.replaceHost(d.hosts[a.Host], s.For, func(p *process.Process) { p.Kill() })
	case soak.StopHost:
		d.replaceHost(d.hosts[a.Host], 0, d.stopHost)
	case soak.PauseHost:
		p := d.hosts[a.Host].currentProcess()
		p.Pause()
		time.Sleep(s.For)
		p.Resume()
	case soak.PauseEndpoint:
		p := d.endpoints[a.Endpoint].process
		p.Pause()
		time.Sleep(s.For)
		p.Resume()
	case soak.HangUpHost:
		d.hosts[a.Host].currentProcess().Signal(syscall.SIGHUP)
	case soak.Disturb:
		p := d.proxyFor(a)
		p.SetTrouble(a.Trouble)
		time.Sleep(s.For)
		p.SetTrouble(soak.Untroubled)
	case soak.Isolate:
		for _, h := range d.hosts {
			h.storeProxy.SetTrouble(soak.Silent)
			h.peerProxy.SetTrouble(soak.Silent)
		}
		time.Sleep(s.For)
		for _, h := range d.hosts {
			h.storeProxy.SetTrouble(soak.Untroubled)
			h.peerProxy.SetTrouble(soak.Untroubled)
		}
	case soak.FailStore:
		d.applyFailure(d.store, a.Failure, s.For)
	case soak.FailEndpoint:
		d.applyFailure(d.endpoints[a.Endpoint].process, a.Failure, s.For)
	case soak.LeaveEndpoint:
		d.post(d.endpoints[a.Endpoint].process, "/leave")
		time.Sleep(s.For)
		d.post(d.endpoints[a.Endpoint].process, "/restart")
	case soak.RestoreStore:
		d.post(d.store, "/backup")
		time.Sleep(s.For)
		d.post(d.store, fmt.Sprintf("/restore?absence=%s", storeAbsence))
		d.rewriteConfiguration()
	case soak.Release:
		d.release(a.Version, s.For)
	case soak.Withdraw:
		d.withdrawKey()
	case soak.Reconfigure:
		d.configure()
	}
}

// proxyFor returns the proxy on a link.
func (d *deployment) proxyFor(link soak.Disturb) *soak.Proxy {
	switch link.Link {
	case soak.StoreLink:
		return d.hosts[link.Index].storeProxy
	case soak.PeerLink:
		return d.hosts[link.Index].peerProxy
	default:
		return d.endpoints[link.Index].proxy
	}
}

// applyFailure injects a failure into a stand-in for a time; Compact has no duration.
func (d *deployment) applyFailure(p *process.Process, f soak.Failure, duration time.Duration) {
	if f == soak.Compact {
		d.post(p, "/compact")
		return
	}
	d.setFaults(p, faultsFor(f))
	time.Sleep(duration)
	d.setFaults(p, fault.Faults{})
}

// post sends a control request to a stand-in. An error is ignored: the stand-in may be suspended or down, and clearFaults restarts the endpoints.
func (d *deployment) post(p *process.Process, path string) {
	if response, err := d.client.Post("http://"+p.Address()+path, "", nil); err == nil {
		response.Body.Close()
	}
}

// stopHost asks a host's process to shut down and waits for its end. An overlapping pause prolongs the wait by up to maxPause.
func (d *deployment) stopHost(p *process.Process) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Done():
		if p.Err() != nil {
			d.reportViolation("%s failed on a planned shutdown: %v", p.Name(), p.Err())
		}
	case <-time.After(gracePeriod + stopMargin + maxPause):
		d.reportViolation("%s did not shut down within its grace period of %v", p.Name(), gracePeriod)
		p.Kill()
	}
}

// replaceHost ends a host's process and starts a new one after a delay. It reports a violation if the process has already ended by itself.
func (d *deployment) replaceHost(h *host, after time.Duration, end func(*process.Process)) {
	h.replacing.Lock()
	defer h.replacing.Unlock()
	p := h.currentProcess()
	d.checkRunning(h)
	end(p)
	time.Sleep(after)
	next, err := process.Start(h.name, binary, "entry", "--config", h.configFile)
	if err != nil {
		d.reportViolation("%s: unable to start it again: %v", h.name, err)
		return
	}
	d.t.Cleanup(next.Kill)
	d.saveLog(p)
	h.mu.Lock()
	h.process = next
	h.mu.Unlock()
}

// checkRunning reports a violation if a host's process has ended by itself.
func (d *deployment) checkRunning(h *host) {
	p := h.currentProcess()
	select {
	case <-p.Done():
		d.reportViolation("%s ended by itself: %v", h.name, p.Err())
	default:
	}
}

// clearFaults ends all faults: it resumes suspended processes, restores links and restarts endpoints that have left.
func (d *deployment) clearFaults() {
	d.setFaults(d.store, fault.Faults{})
	for _, e := range d.endpoints {
		e.process.Resume()
		e.proxy.SetTrouble(soak.Untroubled)
		d.setFaults(e.process, fault.Faults{})
		d.post(e.process, "/restart")
	}
	for _, h := range d.hosts {
		h.currentProcess().Resume()
		h.storeProxy.SetTrouble(soak.Untroubled)
		h.peerProxy.SetTrouble(soak.Untroubled)
	}
}

// histories fetches the histories of all endpoints, by endpoint ID.
func (d *deployment) histories() map[string]fakeplatform.History {
	all := maps.Clone(d.released)
	for _, e := range d.endpoints {
		all[e.id] = d.history(e.process)
	}
	return all
}

// history fetches the history of an endpoint.
func (d *deployment) history(p *process.Process) fakeplatform.History {
	response, err := d.client.Get("http://" + p.Address() + "/runs")
	qt.Assert(d.t, err, qt.IsNil)
	defer response.Body.Close()
	var history fakeplatform.History
	err = json.NewDecoder(response.Body).Decode(&history)
	qt.Assert(d.t, err, qt.IsNil)
	return history
}

// release starts engines of a software version. After the duration they leave, and end when hosts must have stopped using them.
func (d *deployment) release(version int, duration time.Duration) {
	started := map[string]*process.Process{}
	for n := range releaseEngines {
		id := fmt.Sprintf("e-%s-%d", soak.VersionName(version), n)
		started[id] = d.startStandin(id, "endpoint", fakeplatform.Settings{
			ID: id, Service: "llm", Zone: "z1", Store: d.store.Address(), Version: soak.VersionName(version), Slots: 64, MaxModels: 3, MaxAdapters: 2, Models: []string{"m1"},
			EventsPerStream: eventsPerStream, ResponseDelay: document.Duration(d.responseDelay), LoadTime: document.Duration(loadTime),
		})
	}
	time.Sleep(duration)
	for _, p := range started {
		d.post(p, "/leave")
	}
	time.Sleep(drainPeriod + recoveryTime)
	for id, p := range started {
		history := d.history(p)
		p.Kill()
		d.removeRegistration(id)
		d.mu.Lock()
		d.released[id] = history
		d.mu.Unlock()
	}
}

// removeRegistration removes the registration of an endpoint that has ended.
func (d *deployment) removeRegistration(id string) {
	d.waitUntil("the registration of "+id+" is removed", func() bool { return fakeplatform.RemoveRow(d.client, d.store.Address(), "servers", id) == nil })
}

// saveLog appends the log of a process to a file in the directory given by -logs; without -logs it does nothing.
func (d *deployment) saveLog(p *process.Process) {
	if *logs == "" {
		return
	}
	name := filepath.Join(*logs, filepath.Base(d.t.Name())+"-"+p.Name()+".log")
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		d.t.Logf("unable to save the log of %s: %v", p.Name(), err)
		return
	}
	defer file.Close()
	io.WriteString(file, p.Log())
}
