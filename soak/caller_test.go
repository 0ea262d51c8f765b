package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/soak"
)

// What callers do.
const (
	callersPerHost = 6
	// fewCallers is the number of callers of a host in a large deployment: all processes share one machine.
	fewCallers   = 2
	largeFleet   = 10 // hosts
	callerPause  = 25 * time.Millisecond
	patience     = 2 * time.Second
	limitedKey   = "k3"
	limitedCost  = 10.0
	limitedRate  = 100.0
	limitedBurst = 200.0
	// withdrawnShare is the part of the requests that are made with the key that is withdrawn.
	withdrawnShare = 0.2
)

// kinds are the requests of callers.
var kinds = []fakeplatform.Request{
	{Path: "/draft/1", Model: "m1", Tokens: "100,10"},
	{Path: "/draft/2", Model: "m2/a1", Tokens: "100,10"},
	{Path: "/draft/3", Model: "m2/a2", Tokens: "100,10"},
	{Path: "/free/1", Model: "m1", Tokens: "100,10"},
	{Path: "/free/2", Model: "m1/a3", Tokens: "100,10"},
	{Path: "/stamp/1?x=1", Body: "stamp"},
	{Path: "/lookup/1", Body: "lookup"},
	{Path: "/open/1"},
}

// caller sends requests to one host, one after another, over connections that it keeps until they end.
type caller struct {
	world  *world
	host   int
	name   string
	client *http.Client
	random *rand.Rand
	asked  []soak.Asked
}

func (w *world) newCaller(host, n int, seed uint64) *caller {
	return &caller{
		world: w, host: host, name: fmt.Sprintf("h%dc%d", host, n),
		client: &http.Client{Timeout: patience + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		random: rand.New(rand.NewPCG(seed, uint64(1000*host+n))),
	}
}

// run sends requests until the end of the play.
func (c *caller) run(end <-chan struct{}, next func() fakeplatform.Request) {
	for {
		select {
		case <-end:
			c.client.CloseIdleConnections()
			return
		case <-time.After(callerPause):
		}
		c.ask(next())
	}
}

// any returns a request of any kind.
func (c *caller) any() fakeplatform.Request {
	request := kinds[c.random.IntN(len(kinds))]
	request.Key = "k1"
	if c.random.Float64() < withdrawnShare {
		request.Key = "k2"
	}
	if routeOf(request.Path) == "open" {
		request.Key = ""
	}
	return request
}

// limited returns a request of the limited account; its caller asks for more than the account's rate.
func limited() fakeplatform.Request {
	return fakeplatform.Request{Path: "/lookup/2", Body: "limited", Key: limitedKey}
}

// ask sends one request and notes its answer.
func (c *caller) ask(r fakeplatform.Request) soak.Asked {
	r.ID, r.Host, r.Patience = fmt.Sprintf("%s-%d", c.name, len(c.asked)), "h", patience
	a := soak.Asked{ID: r.ID, Host: c.host, Route: routeOf(r.Path), Path: r.Path, Key: r.Key, Body: r.Body, Sent: c.world.now()}
	c.exchange(r, &a)
	a.Ended = c.world.now()
	c.asked = append(c.asked, a)
	return a
}

func (c *caller) exchange(r fakeplatform.Request, a *soak.Asked) {
	request, err := r.HTTP(c.world.hosts[c.host].callers)
	if err != nil {
		c.world.find("unable to make a request: %v", err)
		return
	}
	response, err := c.client.Do(request)
	if err != nil {
		return // no answer promises nothing
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.Status, a.Signed, a.Whole, a.Answer = response.StatusCode, fakeplatform.Signed(response.Header), err == nil, string(body)
}

func routeOf(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return path
}

// crowd is all callers of a play.
type crowd struct {
	callers []*caller
	end     chan struct{}
	running sync.WaitGroup
}

func (w *world) newCrowd(seed uint64) *crowd {
	c := &crowd{end: make(chan struct{})}
	callers := callersPerHost
	if len(w.hosts) >= largeFleet {
		callers = fewCallers
	}
	for host := range w.hosts {
		for n := range callers {
			one := w.newCaller(host, n, seed)
			c.callers = append(c.callers, one)
			next := one.any
			if n == 0 {
				next = limited
			}
			c.running.Go(func() { one.run(c.end, next) })
		}
	}
	return c
}

// stop ends the callers and returns what they asked.
func (c *crowd) stop() []soak.Asked {
	close(c.end)
	c.running.Wait()
	var asked []soak.Asked
	for _, one := range c.callers {
		asked = append(asked, one.asked...)
	}
	return asked
}
