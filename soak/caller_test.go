package soak_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/soak"
)

// Load of the callers.
const (
	callersPerHost = 6
	// callersPerHostLargeFleet replaces callersPerHost from largeFleetHosts hosts on, because all processes share one machine.
	callersPerHostLargeFleet = 2
	largeFleetHosts          = 10
	callerPause              = 25 * time.Millisecond
	callerTimeout            = 2 * time.Second
	limitedKey               = "k3"
	limitedTokensPerCall     = 10.0
	limitedRate              = 100.0
	limitedBurst             = 200.0
	// withdrawnKeyFraction is the fraction of the requests that carry the key that is withdrawn during the trial.
	withdrawnKeyFraction = 0.2
	// streamFraction is the fraction of the requests for streams that callers take up if they break, and leaveFraction that of these which the
	// callers leave. They take a stream up to maxTakeUps times, with a pause of takeUpPause, which doubles each time.
	streamFraction = 0.6
	leaveFraction  = 0.3
	maxTakeUps     = 4
	takeUpPause    = 100 * time.Millisecond
	// streamPath is the path of the streams that may be resumed.
	streamPath = "/free/1"
)

// requestKinds are the requests that callers choose from.
var requestKinds = []fakeplatform.Request{
	{Path: "/draft/1", Model: "m1", Tokens: "100,10"},
	{Path: "/draft/2", Model: "m2/a1", Tokens: "100,10"},
	{Path: "/draft/3", Model: "m2/a2", Tokens: "100,10"},
	{Path: "/free/1", Model: "m1", Tokens: "100,10"},
	{Path: "/free/2", Model: "m1/a3", Tokens: "100,10"},
	{Path: "/stamp/1?x=1", Body: "stamp"},
	{Path: "/lookup/1", Body: "lookup"},
	{Path: "/open/1"},
}

// caller sends requests to one host, one at a time, over a connection that it keeps alive.
type caller struct {
	deployment *deployment
	host       int
	name       string
	client     *http.Client
	random     *rand.Rand
	exchanges  []soak.Exchange
	leaveAfter int  // events, after which the caller leaves the next response; 0: it stays
	takesUp    bool // leaves some streams, and takes them up at any host
}

func (d *deployment) newCaller(host, n int, seed uint64) *caller {
	return &caller{
		deployment: d, host: host, name: fmt.Sprintf("h%dc%d", host, n),
		client: &http.Client{Timeout: callerTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		random: rand.New(rand.NewPCG(seed, uint64(1000*host+n))),
	}
}

// run sends requests until end is closed.
func (c *caller) run(end <-chan struct{}, next func() fakeplatform.Request) {
	for {
		select {
		case <-end:
			c.client.CloseIdleConnections()
			return
		case <-time.After(callerPause):
		}
		request := next()
		if c.takesUp && request.Key != limitedKey && c.random.Float64() < streamFraction {
			c.sendInParts(fakeplatform.Request{Path: streamPath, Model: "m1", Tokens: "100,10", Key: "k1"})
			continue
		}
		c.send(request)
	}
}

// randomRequest returns a random request of requestKinds with a key, where its route needs one.
func (c *caller) randomRequest() fakeplatform.Request {
	request := requestKinds[c.random.IntN(len(requestKinds))]
	request.Key = "k1"
	if c.random.Float64() < withdrawnKeyFraction {
		request.Key = "k2"
	}
	if routeOf(request.Path) == "open" {
		request.Key = ""
	}
	return request
}

// limitedRequest returns a request of the limited account. Its callers ask for more than the account's rate.
func limitedRequest() fakeplatform.Request {
	return fakeplatform.Request{Path: "/lookup/2", Body: "limited", Key: limitedKey}
}

// send sends one request and records the response.
func (c *caller) send(r fakeplatform.Request) soak.Exchange {
	r.ID, r.Host, r.CallerTimeout = fmt.Sprintf("%s-%d", c.name, len(c.exchanges)), "h", callerTimeout
	e := soak.Exchange{ID: r.ID, Host: c.host, Route: routeOf(r.Path), Path: r.Path, APIKey: r.Key, RequestBody: r.Body, Resumes: r.Resumes, SentAt: c.deployment.sinceStart()}
	c.exchange(r, &e)
	e.EndedAt = c.deployment.sinceStart()
	c.exchanges = append(c.exchanges, e)
	return e
}

// sendInParts sends a request for a stream and takes the stream up at any host if it breaks, or if the caller leaves it after some events.
func (c *caller) sendInParts(r fakeplatform.Request) {
	if c.random.Float64() < leaveFraction {
		c.leaveAfter = 1 + c.random.IntN(eventsPerStream-1)
	}
	begun := c.send(r)
	c.leaveAfter = 0
	if begun.Status != http.StatusOK || begun.LastEvent == "" || begun.Complete {
		return
	}
	r.Resumes, r.LastEventID = begun.ID, begun.LastEvent
	own := c.host
	defer func() { c.host = own }()
	for try := range maxTakeUps {
		c.host = c.random.IntN(len(c.deployment.hosts))
		if rest := c.send(r); rest.Status == http.StatusOK {
			return
		}
		time.Sleep(takeUpPause << try)
	}
}

// exchange performs the HTTP exchange and fills in the response.
func (c *caller) exchange(r fakeplatform.Request, e *soak.Exchange) {
	request, err := r.HTTPRequest(c.deployment.hosts[c.host].callerAddress)
	if err != nil {
		c.deployment.reportViolation("unable to create request %s for %s: %v", r.ID, r.Path, err)
		return
	}
	response, err := c.client.Do(request)
	if err != nil {
		return // without a response there is nothing to check; the status stays 0
	}
	defer response.Body.Close()
	body, err := c.readBody(response.Body)
	e.LeavingEndpoint = fakeplatform.LeavingEndpoint(response.Header)
	e.LastEvent = lastEvent(body)
	e.Status, e.HasResponseStamp, e.Complete, e.ResponseBody = response.StatusCode, fakeplatform.HasResponseStamp(response.Header), err == nil, string(body)
}

// errLeft is the error of a response that the caller has left.
var errLeft = errors.New("caller has left")

// readBody reads a response, or as many events as the caller waits for.
func (c *caller) readBody(body io.Reader) ([]byte, error) {
	if c.leaveAfter == 0 {
		return io.ReadAll(body)
	}
	var received []byte
	buffer := make([]byte, 4096)
	for bytes.Count(received, []byte("\n\n")) < c.leaveAfter {
		n, err := body.Read(buffer)
		received = append(received, buffer[:n]...)
		if err == io.EOF {
			return received, nil
		}
		if err != nil {
			return received, err
		}
	}
	return received, errLeft
}

// lastEvent returns the id of the last complete event in a stream; empty without one.
func lastEvent(body []byte) string {
	end := bytes.LastIndex(body, []byte("\n\n"))
	start := bytes.LastIndex(body[:max(end, 0)], []byte("id: "))
	if start < 0 {
		return ""
	}
	id, _, _ := bytes.Cut(body[start+len("id: "):], []byte("\n"))
	return string(id)
}

// routeOf returns the first segment of a path, which names the route.
func routeOf(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return path
}

// callerGroup holds all callers of a trial.
type callerGroup struct {
	callers    []*caller
	end        chan struct{}
	goroutines sync.WaitGroup
}

// startCallers starts the callers of every host. The first caller of each host uses the limited account.
func (d *deployment) startCallers(seed uint64, takeUp bool) *callerGroup {
	group := &callerGroup{end: make(chan struct{})}
	callers := callersPerHost
	if len(d.hosts) >= largeFleetHosts {
		callers = callersPerHostLargeFleet
	}
	for host := range d.hosts {
		for n := range callers {
			c := d.newCaller(host, n, seed)
			c.takesUp = takeUp
			group.callers = append(group.callers, c)
			next := c.randomRequest
			if n == 0 {
				next = limitedRequest
			}
			group.goroutines.Go(func() { c.run(group.end, next) })
		}
	}
	return group
}

// stop stops the callers and returns their requests with the responses.
func (g *callerGroup) stop() []soak.Exchange {
	close(g.end)
	g.goroutines.Wait()
	var exchanges []soak.Exchange
	for _, c := range g.callers {
		exchanges = append(exchanges, c.exchanges...)
	}
	return exchanges
}
