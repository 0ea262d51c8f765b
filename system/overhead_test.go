package system_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
	"magnoliahoist/dev"
	"magnoliahoist/host"
	"magnoliahoist/operator"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// overheadTime is the duration of each measurement; if it is zero, only a few calls are made and checked.
var overheadTime = flag.Duration("overhead", 0, "measure a host's overhead, this long for each number of callers")

const (
	overheadRounds = 10  // rounds of direct calls followed by calls through the host
	overheadSlots  = 512 // more than callers, so that no call waits for a slot
	overheadTokens = 16
	overheadRate   = 1e9 // tokens a second, above what the calls can use
	overheadPrompt = "Summarise the inspections of ladder 4711."
)

// measuredPath is one path to the engine, directly or through a host, with its measurements.
type measuredPath struct {
	address, key, model string
	total, firstByte    *hdrhistogram.Histogram // nanoseconds
	allocs, calls       uint64
}

func newMeasuredPath(address, key, model string) *measuredPath {
	p := &measuredPath{address: address, key: key, model: model}
	p.reset()
	return p
}

func (p *measuredPath) reset() {
	p.total, p.firstByte = hdrhistogram.New(1000, int64(time.Minute), 3), hdrhistogram.New(1000, int64(time.Minute), 3)
	p.allocs, p.calls = 0, 0
}

// call makes one call, checks that its response contains want, and returns the times until the first byte and until the end of the response body.
func (p *measuredPath) call(client *http.Client, body, want string) (first, total time.Duration, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	if p.key != "" {
		request.Header.Set("Authorization", "Bearer "+p.key)
	}
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.Peek(1); err != nil {
		return 0, 0, err
	}
	first = time.Since(start)
	data, err := io.ReadAll(reader)
	total = time.Since(start)
	if err == nil && (response.StatusCode != http.StatusOK || !strings.Contains(string(data), want)) {
		err = fmt.Errorf("%s: %s", response.Status, data)
	}
	return first, total, err
}

// run makes calls from a number of concurrent callers for the given duration; each caller makes at least one call.
func (p *measuredPath) run(client *http.Client, callers int, stream bool, duration time.Duration) error {
	body := strings.Replace(chatBody(overheadPrompt, overheadTokens, stream), `"history"`, `"`+p.model+`"`, 1)
	expected := wantText(overheadPrompt, overheadTokens)
	if stream {
		expected = "[DONE]"
	}
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	end := time.Now().Add(duration)
	for range callers {
		group.Go(func() {
			total, first := hdrhistogram.New(1000, int64(time.Minute), 3), hdrhistogram.New(1000, int64(time.Minute), 3)
			var err error
			for err == nil {
				var f, w time.Duration
				f, w, err = p.call(client, body, expected)
				total.RecordValue(int64(w))
				first.RecordValue(int64(f))
				if !time.Now().Before(end) {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			p.total.Merge(total)
			p.firstByte.Merge(first)
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	p.allocs += after.Mallocs - before.Mallocs
	p.calls = uint64(p.total.TotalCount())
	return failed
}

// measureOverhead measures both paths in alternating rounds, so that other load on the machine affects both alike.
func measureOverhead(t *testing.T, location string, direct, through *measuredPath) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadSlots}}
	defer client.CloseIdleConnections()
	for _, stream := range []bool{false, true} {
		for _, callers := range []int{1, 16, 128} {
			for round := -1; round < overheadRounds; round++ { // the first round opens the connections
				if round == 0 {
					direct.reset()
					through.reset()
				}
				for _, p := range []*measuredPath{direct, through} {
					if err := p.run(client, callers, stream, *overheadTime/(2*overheadRounds)); err != nil {
						t.Fatal(err)
					}
				}
			}
			logOverhead(t, location, stream, callers, direct, through)
		}
	}
}

func logOverhead(t *testing.T, location string, stream bool, callers int, direct, through *measuredPath) {
	kind := "whole"
	if stream {
		kind = "stream"
	}
	microseconds := func(ns int64) float64 { return float64(ns) / 1000 }
	d, h := direct.total, through.total
	t.Logf("%s %-6s %3d callers: median %6.0f -> %6.0f us (ratio %.2f), p99 %6.0f -> %6.0f us (ratio %.2f), first +%.0f us, calls %d, %d%s",
		location, kind, callers,
		microseconds(d.ValueAtQuantile(50)), microseconds(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(50))/float64(d.ValueAtQuantile(50)),
		microseconds(d.ValueAtQuantile(99)), microseconds(h.ValueAtQuantile(99)), float64(h.ValueAtQuantile(99))/float64(d.ValueAtQuantile(99)),
		microseconds(through.firstByte.ValueAtQuantile(50)-direct.firstByte.ValueAtQuantile(50)), d.TotalCount(), h.TotalCount(),
		allocations(location, direct, through))
}

// allocations returns the host's allocations for each call, or "" if the host runs in another process, where they cannot be counted.
func allocations(location string, direct, through *measuredPath) string {
	if location != "inside" {
		return ""
	}
	return fmt.Sprintf(", host allocations %.0f", float64(through.allocs)/float64(through.calls)-float64(direct.allocs)/float64(direct.calls))
}

// raiseLimits sets rates, bursts and slots high enough that no call of the measurement is refused or waits.
func raiseLimits(routes *route.Table, pools *pool.Table) {
	for i := range routes.Accounts {
		routes.Accounts[i].Rate, routes.Accounts[i].Burst = overheadRate, overheadRate
	}
	for i := range pools.Pools[0].Endpoints {
		pools.Pools[0].Endpoints[i].Slots = overheadSlots
	}
}

// TestOverhead guards against wrong or incomplete responses when many callers send requests at once; with
// -overhead it measures what a host in a process of its own adds to a call.
func TestOverhead(t *testing.T) {
	engine := fastEngine
	engine.Slots = overheadSlots
	f := newFleet(t, layout{hostCount: 1, engineOptions: engine, fencedEngines: []bool{true}, editTables: raiseLimits})
	measureOverhead(t, "processes", newMeasuredPath(f.engines[0].address(), "", "inspect-7b"), newMeasuredPath(f.hosts[0].word("callers"), f.keys["yards"], "history"))
}

// TestOverheadInside is TestOverhead with host and engine in the process of the callers: the host's allocations are those of
// a call through the host less those of a direct call.
func TestOverheadInside(t *testing.T) {
	f := &fleet{t: t, keys: map[string]string{}}
	startInProcess := func(kind string, o dev.Options) string {
		standin, err := dev.NewStandin(kind, o)
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go standin.Serve(listener)
		t.Cleanup(func() {
			standin.Stop()
			<-standin.Done()
		})
		return listener.Addr().String()
	}
	engine := fastEngine
	engine.Slots, engine.Memory, engine.Resident = overheadSlots, engineMemory, residentModels()
	address := startInProcess("engine", engine)
	settings := config.Default()
	settings.Domain, settings.Credential, settings.Secret = domains[0], testCredential, testSecret
	settings.Listen = config.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	settings.Platform.Table, settings.Platform.Objects, settings.Platform.Hosts = startInProcess("table", dev.Options{}), startInProcess("objects", dev.Options{}), startInProcess("hosts", dev.Options{})
	h, err := host.New(settings, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.Kill()
		<-h.Done()
	})
	callers, operators, _ := h.Addresses()
	f.operatorClients = []*operator.Client{operator.NewClient(operators, testCredential, &http.Client{Timeout: waitTimeout})}
	f.eventually("host serves", func() bool { return h.Ready() })
	routes, pools := f.buildTables(layout{})
	pools.Pools[0].Models[0].Replicas = 1
	pools.Pools[0].Endpoints = []pool.Endpoint{{Name: "engine-0", Address: address, Domain: domains[0], Memory: engineMemory, Slots: overheadSlots, ChecksFencing: true}}
	raiseLimits(&routes, &pools)
	routes.Routes, pools.Pools = routes.Routes[:2], pools.Pools[:1]
	change, err := f.operatorClients[0].Put(context.Background(), operator.Pools, "test-pools", 0, encode(t, pools))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.operatorClients[0].Put(context.Background(), operator.Routes, "test-routes", change.Revision, encode(t, routes)); err != nil {
		t.Fatal(err)
	}
	through := newMeasuredPath(callers, f.issueKey("yards").Key, "history")
	f.eventually("host serves", func() bool { return through.run(http.DefaultClient, 1, false, 0) == nil })
	measureOverhead(t, "inside", newMeasuredPath(address, "", "inspect-7b"), through)
}
