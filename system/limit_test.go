package system_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/dev"
	"magnoliahoist/document"
	"magnoliahoist/fakeengine"
	"magnoliahoist/fault"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// Rate and burst of the account small in fleetRoutes.
const (
	smallRate  = 200.0
	smallBurst = 2000
)

// checkRate checks that the engines generated at most burst + rate * elapsed tokens in every interval that starts and ends
// with a request. Engines do not count the tokens of prompts, so the check needs no tolerance.
func checkRate(c *qt.C, records []fakeengine.RequestRecord, rate float64, burst int64) {
	c.Helper()
	for i, first := range records {
		var sum int64
		for _, last := range records[i:] {
			sum += last.GeneratedTokens
			elapsed := time.Duration(last.ReceivedAt - first.ReceivedAt)
			if allowed := float64(burst) + rate*elapsed.Seconds(); float64(sum) > allowed {
				c.Fatalf("%d tokens generated within %s, want at most %.0f (requests from index %d to ID %s)", sum, elapsed, allowed, i, last.ID)
			}
		}
	}
}

// requestsSince returns the requests that the engines started since the given time, ordered by start.
func (f *fleet) requestsSince(since time.Time) []fakeengine.RequestRecord {
	f.t.Helper()
	var all []fakeengine.RequestRecord
	for _, e := range f.engines {
		var records []fakeengine.RequestRecord
		getJSON(f.t, e.address(), "/debug/requests", &records)
		for _, r := range records {
			if r.ReceivedAt >= since.UnixNano() {
				all = append(all, r)
			}
		}
	}
	slices.SortFunc(all, func(a, b fakeengine.RequestRecord) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	return all
}

func totalTokens(records []fakeengine.RequestRecord) (sum int64) {
	for _, r := range records {
		sum += r.GeneratedTokens
	}
	return sum
}

// load is a number of callers that send requests without a pause until stopAndCount is called, with a count of the responses by status.
type load struct {
	f             *fleet
	stopping      atomic.Bool
	group         sync.WaitGroup
	mu            sync.Mutex
	countByStatus map[int]int
}

// startLoad starts callers; send gets the number of the caller and the number of its request. A caller waits 50 ms after a refusal.
func (f *fleet) startLoad(callers int, send func(caller, number int) callerResponse) *load {
	l := &load{f: f, countByStatus: map[int]int{}}
	for caller := range callers {
		l.group.Go(func() {
			for number := 0; number < 20000 && !l.stopping.Load(); number++ {
				a := send(caller, number)
				l.mu.Lock()
				l.countByStatus[a.status]++
				l.mu.Unlock()
				if a.status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	return l
}

func (l *load) stopAndCount() map[int]int {
	l.stopping.Store(true)
	l.group.Wait()
	return l.countByStatus
}

// Guards against more tokens than an account's limit while the hosts among which its rate is divided are
// killed, frozen, cut off from the table service and replaced, and while the table service is down.
func TestProveRateUnderHostFaults(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	var links []*link
	l := layout{hostCount: 5, engineOptions: fastEngine, fencedEngines: []bool{true, true},
		tableAddress: func(host int, address string) string {
			for len(links) <= host {
				links = append(links, newLink(t, address))
			}
			return links[host].address()
		}}
	f := newFleet(t, l)
	peers := f.hosts[1].word("peers")
	began := time.Now()
	running := f.startLoad(20, func(caller, number int) callerResponse {
		return f.chat([]int{0, 1, 2, 3, 4}[caller%5], f.keys["small"], fmt.Sprintf("%d %d", caller, number), 40)
	})
	time.Sleep(3 * time.Second)
	f.hosts[1].Kill()
	f.hosts[2].Pause()
	time.Sleep(2 * time.Second)
	links[3].cutBoth()
	time.Sleep(3 * time.Second)
	f.hosts[2].Resume()
	l.editSettings = func(_ int, settings hostSettings) {
		settings["listen"] = map[string]string{"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": peers}
	}
	running.stopAndCount()
	f.addHost(l, 1)
	running = f.startLoad(20, func(caller, number int) callerResponse {
		return f.chat([]int{0, 5, 2, 3, 4}[caller%5], f.keys["small"], fmt.Sprintf("%d %d", caller, number), 40)
	})
	links[3].restore()
	time.Sleep(2 * time.Second)
	setFaults(t, fault.Faults{Down: true}, f.tableService)
	time.Sleep(4 * time.Second)
	f.hosts[4].Pause()
	time.Sleep(3500 * time.Millisecond)
	setFaults(t, fault.Faults{}, f.tableService)
	f.hosts[4].Resume()
	time.Sleep(3 * time.Second)
	status := running.stopAndCount()
	records := f.requestsSince(began)
	elapsed := time.Since(began)
	t.Logf("responses by status: %v; %d tokens generated in %s", status, totalTokens(records), elapsed)
	checkRate(c, records, smallRate, smallBurst)
	c.Assert(totalTokens(records) > smallBurst, qt.IsTrue, qt.Commentf("the load did not exceed the burst, so the limit was not tested"))
}

// Guards against more tokens than an account's limit through retried requests and through streams that are cut or abandoned by
// the caller: tokens that an endpoint may have generated count even if the caller did not receive them.
func TestProveRateOfUnusedAnswers(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	const rate = 5 * smallRate
	var links []*link
	f := newFleet(t, layout{hostCount: 1, engineOptions: dev.Options{Slots: 16, PerToken: document.Duration(time.Millisecond)}, fencedEngines: []bool{true, true},
		editTables: func(routes *route.Table, _ *pool.Table) { routes.Accounts[2].Rate = rate },
		endpointAddress: func(kind string, _ int, address string) string {
			if kind != "engine" {
				return address
			}
			links = append(links, newLink(t, address))
			return links[len(links)-1].address()
		}})
	cases := map[string]struct {
		faults fault.Faults
		send   func(caller, number int) callerResponse
		links  func(*link) // cuts the connections to the engines; nil leaves them alone
	}{
		"swapped answers": {fault.Faults{SwapReply: 1 << 20}, func(caller, number int) callerResponse {
			return f.chat(0, f.keys["small"], fmt.Sprintf("swap %d %d", caller, number), 400)
		}, nil},
		"lost answers": {fault.Faults{LoseReply: 1 << 20}, func(caller, number int) callerResponse {
			return f.chat(0, f.keys["small"], fmt.Sprintf("lose %d %d", caller, number), 400)
		}, nil},
		"cut streams": {fault.Faults{CutStream: 1 << 20}, func(caller, number int) callerResponse {
			return f.ask(0, http.MethodPost, "/v1/chat/completions", f.keys["small"], chatBody(fmt.Sprintf("cut %d %d", caller, number), 400, true), nil)
		}, nil},
		"left streams": {fault.Faults{}, func(caller, number int) callerResponse {
			return f.abandonStream(0, f.keys["small"], fmt.Sprintf("leave %d %d", caller, number), 400)
		}, (*link).cutFromTarget},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			for i := range 200 { // raises the retry budget
				f.chat(0, f.keys["yards"], fmt.Sprint(i), 1)
			}
			time.Sleep(2 * time.Second) // until the burst is available again
			setFaults(t, test.faults, f.engines...)
			began := time.Now()
			running := f.startLoad(8, test.send)
			for range 5 {
				time.Sleep(100 * time.Millisecond)
				for _, l := range links {
					if test.links != nil {
						test.links(l)
					}
				}
				time.Sleep(700 * time.Millisecond)
				for _, l := range links {
					if test.links != nil {
						l.restore()
					}
				}
			}
			status := running.stopAndCount()
			setFaults(t, fault.Faults{}, f.engines...)
			records := f.requestsSince(began)
			c.Logf("responses by status: %v; %d tokens generated in %s", status, totalTokens(records), time.Since(began))
			c.Check(totalTokens(records) > 0, qt.IsTrue)
			checkRate(c, records, rate, smallBurst)
		})
	}
}

// abandonAfter is the time from the first bytes of a stream until its caller abandons it; the engine has generated all tokens by then.
const abandonAfter = 600 * time.Millisecond

// abandonStream starts a streamed chat, reads its first bytes and abandons it after abandonAfter.
func (f *fleet) abandonStream(host int, key, prompt string, tokens int) callerResponse {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.hosts[host].word("callers")+"/v1/chat/completions",
		strings.NewReader(chatBody(prompt, tokens, true)))
	if err != nil {
		return callerResponse{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := callers.Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	_, err = response.Body.Read(make([]byte, 16))
	time.Sleep(abandonAfter)
	return callerResponse{status: response.StatusCode, run: response.Header.Get("X-Run"), err: err}
}

// Guards against refusing requests of an account that is within its rate but whose callers all use one host, which
// holds a fifth of the account's rate, or none after other hosts have taken over its part.
func TestProveInsideRateOnOneHost(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 5, engineOptions: fastEngine, fencedEngines: []bool{true, true}})
	for _, host := range []int{0, 4} {
		// The whole burst at once, as soon as the parts of all hosts are full.
		time.Sleep(time.Duration(smallBurst / smallRate * float64(time.Second)))
		for i := range 18 {
			response := f.chat(host, f.keys["small"], fmt.Sprintf("burst %d", i), 80)
			c.Assert(response.status, qt.Equals, http.StatusOK, qt.Commentf("request %d: %+v", i, response))
		}
		// Then slightly below the rate of 200 tokens a second: 20 to 30 prompt tokens and 10 generated tokens, 4 times a second.
		for i := range 12 {
			response := f.chat(host, f.keys["small"], fmt.Sprintf("rate %d", i), 10)
			c.Assert(response.status, qt.Equals, http.StatusOK, qt.Commentf("request %d: %+v", i, response))
			time.Sleep(250 * time.Millisecond)
		}
	}
}
