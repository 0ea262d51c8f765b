package system_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/fault"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// Guards against responses that reach the wrong caller while many callers send requests at once and endpoints swap
// responses and cut streams.
func TestProveOwnAnswer(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 2, engineOptions: fastEngine, fencedEngines: []bool{true, true}})
	faults := map[string]fault.Faults{
		"none":    {},
		"swapped": {SwapReply: 20},
		"cut":     {CutStream: 20},
		"both":    {CutStream: 10, SwapReply: 10},
		"lost":    {LoseReply: 10},
	}
	for name, injected := range faults {
		c.Run(name, func(c *qt.C) {
			setFaults(t, injected, f.engines...)
			complete := make([]int, 16)
			runConcurrently(len(complete), func(caller int) {
				for i := range 10 {
					prompt, tokens := fmt.Sprintf("%s %d %d", name, caller, i), 5+(caller+i)%20
					stream := i%2 == 0
					a := f.ask(caller%2, http.MethodPost, "/v1/chat/completions", f.keys["yards"], chatBody(prompt, tokens, stream), nil)
					got, done := chatText(a.body), a.status == http.StatusOK
					if stream && done {
						got, done = streamText(a.body)
						c.Check(done || strings.Contains(a.body, `"error":{"type":`), qt.IsTrue, qt.Commentf("%+v", a))
						c.Check(strings.HasPrefix(wantText(prompt, tokens), got), qt.IsTrue, qt.Commentf("%+v", a))
					}
					if done {
						complete[caller]++
						c.Check(got, qt.Equals, wantText(prompt, tokens), qt.Commentf("%+v", a))
					}
				}
			})
			setFaults(t, fault.Faults{}, f.engines...)
			if name == "none" {
				for _, count := range complete {
					c.Check(count, qt.Equals, 10)
				}
			}
		})
	}
}

// Guards against a stream that, after a cut, does not resume at the exact position where it was cut.
func TestProveCutStreamResumes(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 1, engineOptions: fastEngine, fencedEngines: []bool{true, true}})
	for i := range 20 {
		prompt, tokens := fmt.Sprintf("resume %d", i), 1+5*i
		setFaults(t, fault.Faults{CutStream: 1 + i%2}, f.engines...)
		a := f.ask(0, http.MethodPost, "/v1/chat/completions", f.keys["yards"], chatBody(prompt, tokens, true), nil)
		got, done := streamText(a.body)
		c.Check(done, qt.IsTrue, qt.Commentf("%+v", a))
		c.Check(got, qt.Equals, wantText(prompt, tokens))
	}
}

// Guards against a stream that ends as if complete when its endpoint is killed, and against a stream that restarts
// from the beginning at another endpoint after part of it was forwarded to the caller.
func TestProveStreamOfDeadEndpoint(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 1, engineOptions: slowEngine, fencedEngines: []bool{true, true}})
	prompts := make([]string, 8)
	streams := make([]<-chan string, len(prompts))
	for i := range prompts {
		prompts[i] = fmt.Sprintf("dead %d", i)
		lines, cancel := f.openStream(0, f.keys["yards"], prompts[i], 200)
		defer cancel()
		streams[i] = lines
	}
	time.Sleep(time.Second)
	f.engines[0].Kill()
	interrupted := 0
	for i, lines := range streams {
		body := f.readRemaining(lines)
		got, done := streamText(body)
		c.Check(strings.HasPrefix(wantText(prompts[i], 200), got), qt.IsTrue, qt.Commentf("%s", body))
		if done {
			c.Check(got, qt.Equals, wantText(prompts[i], 200))
			continue
		}
		interrupted++
		c.Check(body, qt.Contains, `"error":{"type":`)
		c.Check(strings.Contains(body, "[DONE]"), qt.IsFalse)
	}
	c.Assert(interrupted > 0, qt.IsTrue)
	after := f.chat(0, f.keys["yards"], "after", 5)
	c.Assert(chatText(after.body), qt.Equals, wantText("after", 5), qt.Commentf("%+v", after))
}

// Guards against forwarding a truncated non-streamed response as if it were complete, for each way in which HTTP marks the end of a body.
func TestProveCutAnswer(t *testing.T) {
	parallelFleet(t)
	c := qt.New(t)
	const complete = `{"id": 1, "state": "inspected"}`
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
		switch {
		case strings.HasPrefix(r.URL.Path, "/tags/length"):
			head += "Content-Length: 100\r\n\r\n" + complete
		case strings.HasPrefix(r.URL.Path, "/tags/chunked"):
			head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(complete), complete)
		case strings.HasPrefix(r.URL.Path, "/tags/chunk"):
			head += "Transfer-Encoding: chunked\r\n\r\n80\r\n" + complete
		case strings.HasPrefix(r.URL.Path, "/tags/close"):
			head += "Connection: close\r\n\r\n" + complete
		case strings.HasPrefix(r.URL.Path, "/tags/header"):
			head = "HTTP/1.1 200 OK\r\nContent-Le"
		case strings.HasPrefix(r.URL.Path, "/tags/nothing"):
			head = ""
		default:
			head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(complete), complete)
		}
		io.WriteString(connection, head)
	}))
	t.Cleanup(endpoint.Close)
	f := newFleet(t, layout{hostCount: 1, engineOptions: fastEngine, fencedEngines: []bool{true}, editTables: func(_ *route.Table, pools *pool.Table) {
		pools.Pools[1].Endpoints = pools.Pools[1].Endpoints[:1]
		pools.Pools[1].Endpoints[0].Address = strings.TrimPrefix(endpoint.URL, "http://")
	}})
	for _, cut := range []string{"length", "chunked", "chunk", "close", "header", "nothing"} {
		c.Run(cut, func(c *qt.C) {
			a := f.ask(0, http.MethodGet, "/tags/"+cut, f.keys["yards"], "", nil)
			c.Check(a.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%+v", a))
			c.Check(a.run, qt.Equals, "unknown")
			c.Check(a.body, qt.Not(qt.Contains), "inspected")
		})
	}
	response := f.ask(0, http.MethodGet, "/tags/whole", f.keys["yards"], "", nil)
	c.Assert(response.body, qt.Equals, complete, qt.Commentf("%+v", response))
}
