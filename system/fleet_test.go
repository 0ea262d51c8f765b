package system_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliahoist/dev"
	"magnoliahoist/document"
	"magnoliahoist/fakeengine"
	"magnoliahoist/fault"
	"magnoliahoist/operator"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// Secret between the hosts and credential of the operators of the fleet under test.
const (
	testSecret     = "0123456789abcdef"
	testCredential = "fedcba9876543210"
)

// waitTimeout is the longest time that the tests wait for an expected event. It is a generous timeout, not a target.
const waitTimeout = 60 * time.Second

// fleet is a complete deployment in separate processes: stand-ins of the platform services, engines, services and hosts.
type fleet struct {
	t               *testing.T
	tableService    *testProcess
	objects         *testProcess
	hostList        *testProcess
	engines         []*testProcess
	services        []*testProcess
	hosts           []*testProcess
	operatorClients []*operator.Client
	keys            map[string]string // API keys by account
}

// layout defines the processes of a fleet and the addresses at which they find each other.
type layout struct {
	hostCount       int
	engineOptions   dev.Options
	fencedEngines   []bool                                            // for each engine, whether it checks fencing numbers; the length is the number of engines
	emptyEngines    bool                                              // the engines start without resident models
	tableAddress    func(host int, address string) string             // returns the address at which a host finds the table service, given its real address
	editTables      func(routes *route.Table, pools *pool.Table)      // changes the tables before they are applied
	editSettings    func(number int, settings hostSettings)           // changes a host's settings
	endpointAddress func(kind string, number int, addr string) string // returns the address of an endpoint in the pools table, given its real address
}

// Memory of the test's model and of each engine, in bytes.
const (
	modelMemory  = 10 << 30
	engineMemory = 24 << 30
)

var domains = []string{"fukuoka", "kumamoto", "nagasaki", "kagoshima"}

func residentModels() []fakeengine.ResidentItem {
	return []fakeengine.ResidentItem{{Kind: fakeengine.Model, Name: "inspect-7b", Version: "1", Memory: modelMemory}}
}

// newFleet starts all processes, applies the tables and issues a key for each account.
func newFleet(t *testing.T, l layout) *fleet {
	t.Helper()
	f := &fleet{t: t, keys: map[string]string{}}
	f.tableService = startStandin(t, "table", "table", dev.Options{})
	f.objects = startStandin(t, "objects", "objects", dev.Options{})
	f.hostList = startStandin(t, "hosts", "hosts", dev.Options{})
	for i, fenced := range l.fencedEngines {
		o := l.engineOptions
		o.Fenced, o.Memory, o.Resident = fenced, engineMemory, residentModels()
		if l.emptyEngines {
			o.Resident = nil
		}
		o.Instance = fmt.Sprintf("engine-%d", i)
		f.engines = append(f.engines, startStandin(t, o.Instance, "engine", o))
	}
	for i := range 2 {
		f.services = append(f.services, startStandin(t, fmt.Sprintf("service-%d", i), "service", dev.Options{}))
	}
	for i := range l.hostCount {
		f.addHost(l, i)
	}
	f.awaitFresh()
	f.applyTables(l)
	return f
}

// addHost starts a host and adds it to the fleet; number selects its failure domain and its links.
func (f *fleet) addHost(l layout, number int) *testProcess {
	f.t.Helper()
	address := f.tableService.address()
	if l.tableAddress != nil {
		address = l.tableAddress(number, address)
	}
	settings := hostSettings{
		"domain":     domains[number%len(domains)],
		"listen":     map[string]string{"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
		"platform":   map[string]string{"table": address, "objects": f.objects.address(), "hosts": f.hostList.address()},
		"secret":     testSecret,
		"credential": testCredential,
		"lag":        "500ms",
	}
	if l.editSettings != nil {
		l.editSettings(number, settings)
	}
	h := startHost(f.t, fmt.Sprintf("host-%d-%d", number, len(f.hosts)), settings)
	f.hosts = append(f.hosts, h)
	f.operatorClients = append(f.operatorClients, operator.NewClient(h.word("operators"), testCredential, &http.Client{Timeout: 30 * time.Second}))
	return h
}

// awaitFresh waits until every host is fresh and knows all members.
func (f *fleet) awaitFresh() {
	f.t.Helper()
	for i := range f.hosts {
		f.eventually("the host is fresh and lists all members", func() bool {
			status, err := f.operatorClients[i].Status(context.Background())
			return err == nil && status.State == operator.Serving && len(status.Members) == len(f.hosts)
		})
	}
}

func (f *fleet) buildTables(l layout) (route.Table, pool.Table) {
	link := l.endpointAddress
	if link == nil {
		link = func(_ string, _ int, address string) string { return address }
	}
	routes, err := route.Parse([]byte(fleetRoutes))
	if err != nil {
		f.t.Fatal(err)
	}
	pools := pool.Table{Pools: []pool.Pool{
		{Name: "inspection", Kind: route.Model, Models: []pool.Model{{Name: "inspect-7b", Version: "1", Memory: modelMemory, Replicas: len(f.engines)}}},
		{Name: "registry", Kind: route.Service},
	}}
	for i, e := range f.engines {
		pools.Pools[0].Endpoints = append(pools.Pools[0].Endpoints, pool.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Address: link("engine", i, e.address()), Domain: domains[i%len(domains)],
			Memory: engineMemory, Slots: 16, ChecksFencing: l.fencedEngines[i],
		})
	}
	for i, s := range f.services {
		pools.Pools[1].Endpoints = append(pools.Pools[1].Endpoints, pool.Endpoint{
			Name: fmt.Sprintf("service-%d", i), Address: link("service", i, s.address()), Domain: domains[i%len(domains)], Slots: 64,
		})
	}
	return routes, pools
}

// fleetRoutes is the routes table of the tests.
const fleetRoutes = `{"accounts": [
  {"name": "yards", "rate": 100000, "burst": 200000}, {"name": "docks", "rate": 100000, "burst": 200000}, {"name": "small", "rate": 200, "burst": 2000}],
 "routes": [
  {"name": "history", "model": "inspect-7b", "pool": "inspection", "accounts": ["yards", "small"], "tokens": 400, "wait": "5s"},
  {"name": "public", "model": "inspect-7b", "pool": "inspection", "open": true, "account": "docks", "tokens": 64, "wait": "5s"},
  {"name": "tags", "kind": "service", "prefix": "/tags/", "pool": "registry", "accounts": ["yards"], "calls": "idempotent"},
  {"name": "stamps", "kind": "service", "prefix": "/stamps/", "pool": "registry", "accounts": ["yards"], "calls": "once"},
  {"name": "bookings", "kind": "service", "prefix": "/bookings/", "pool": "registry", "accounts": ["docks"], "calls": "plain"}]}`

func (f *fleet) applyTables(l layout) {
	f.t.Helper()
	routes, pools := f.buildTables(l)
	if l.editTables != nil {
		l.editTables(&routes, &pools)
	}
	ctx := context.Background()
	change, err := f.operatorClients[0].Put(ctx, operator.Pools, "test-pools", 0, encode(f.t, pools))
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.operatorClients[0].Put(ctx, operator.Routes, "test-routes", change.Revision, encode(f.t, routes)); err != nil {
		f.t.Fatal(err)
	}
	for _, a := range routes.Accounts {
		f.keys[a.Name] = f.issueKey(a.Name).Key
	}
	for i := range f.hosts {
		f.eventually("the host serves a chat", func() bool {
			response := f.chat(i, f.keys["yards"], "ready", 1)
			return response.status == http.StatusOK
		})
	}
}

func (f *fleet) issueKey(account string) operator.IssuedKey {
	f.t.Helper()
	issued, err := f.operatorClients[0].IssueKey(context.Background(), operator.KeyRequest{Account: account})
	if err != nil {
		f.t.Fatal(err)
	}
	return issued
}

// eventually waits until the condition holds, and fails the test with its description after waitTimeout.
func (f *fleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("condition not met: %s (waited %s)", description, waitTimeout)
}

// callerResponse is the response that a caller received. Its field run is the header X-Run; err is set if there was no complete response.
type callerResponse struct {
	status int
	run    string
	body   string
	header http.Header
	err    error
}

var callers = &http.Client{Timeout: 2 * time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// ask sends one request to the callers' listener of a host and returns the response.
func (f *fleet) ask(host int, method, path, key, body string, header map[string]string) callerResponse {
	request, err := http.NewRequest(method, "http://"+f.hosts[host].word("callers")+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := callers.Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header.Get("X-Run"), string(data), response.Header, err}
}

func (f *fleet) chat(host int, key, prompt string, tokens int) callerResponse {
	return f.chatModel(host, key, "history", prompt, tokens)
}

func (f *fleet) chatModel(host int, key, model, prompt string, tokens int) callerResponse {
	return f.ask(host, http.MethodPost, "/v1/chat/completions", key, chatBodyFor(model, prompt, tokens, false), nil)
}

func (f *fleet) stamp(host int, id, body string) callerResponse {
	return f.ask(host, http.MethodPost, "/stamps/", f.keys["yards"], body, map[string]string{"Idempotency-Key": id})
}

func chatBody(prompt string, tokens int, stream bool) string {
	return chatBodyFor("history", prompt, tokens, stream)
}

func chatBodyFor(model, prompt string, tokens int, stream bool) string {
	data, _ := json.Marshal(map[string]any{
		"model": model, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return string(data)
}

// wantText returns the text that an engine generates for a chat prompt.
func wantText(prompt string, tokens int) string {
	return fakeengine.ResponseText("inspect-7b", "", fakeengine.ChatPrompt([]fakeengine.Message{{Role: "user", Content: prompt}}), tokens)
}

// setFault replaces the injected faults of a stand-in.
func setFault(t *testing.T, address string, faults fault.Faults) {
	t.Helper()
	response, err := http.Post("http://"+address+"/fault", "application/json", bytes.NewReader(encode(t, faults)))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		data, _ := io.ReadAll(response.Body)
		t.Fatalf("unable to set faults at a stand-in: %s %s", response.Status, data)
	}
}

// getJSON sends GET to a stand-in and decodes its JSON response.
func getJSON(t *testing.T, address, path string, target any) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		t.Fatal(err)
	}
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// fastEngine configures an engine that responds without delay.
var fastEngine = dev.Options{Slots: 16}

// slowEngine configures an engine that takes 20 ms a token, so that faults can be injected during its streams.
var slowEngine = dev.Options{Slots: 16, PerToken: document.Duration(20 * time.Millisecond)}
