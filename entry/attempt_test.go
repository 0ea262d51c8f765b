package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/catalog"
	"magnoliahoist/config"
	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/document"
	"magnoliahoist/platform/fakeplatform"
)

// scriptedEndpoint sends the same bytes in response to every request and then closes the connection.
type scriptedEndpoint struct {
	address  string
	response func(request *http.Request) string

	mu       sync.Mutex
	requests []*http.Request
}

func newScriptedEndpoint(t *testing.T, response func(*http.Request) string) *scriptedEndpoint {
	endpoint := &scriptedEndpoint{response: response}
	endpoint.address = listenRaw(t, endpoint.serve)
	return endpoint
}

func (s *scriptedEndpoint) serve(conn *net.TCPConn, request *http.Request) {
	s.mu.Lock()
	s.requests = append(s.requests, request)
	s.mu.Unlock()
	io.WriteString(conn, s.response(request))
}

// listenRaw listens at an address, which it returns. It passes each connection, after it has read the head of a request, to the handler
// and then closes it.
func listenRaw(t *testing.T, handle func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					handle(conn.(*net.TCPConn), request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func (s *scriptedEndpoint) received() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// newHost returns a host that serves streams from the given engines, without a store and without other hosts.
func newHost(t *testing.T, engines ...*scriptedEndpoint) *httptest.Server {
	_, server := newHostAndServer(t, engines...)
	return server
}

// newHostAndServer is newHost for tests that use the host itself, too.
func newHostAndServer(t *testing.T, engines ...*scriptedEndpoint) (*Host, *httptest.Server) {
	h := New(config.Entry{Name: "self", Domain: "near", Retries: config.Retries{Ratio: 0.2, MinRetries: 10, Window: document.Duration(10 * time.Second)}}, hclog.NewNullLogger())
	shares := []catalog.WeightedPool{{Pool: "p", Weight: 1}}
	h.Apply(dispatch.ConfigurationChanged{Catalog: catalog.New(catalog.Document{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Open: true, Stream: true, Repeat: catalog.AtMostOnce, MaxAttempts: 2, ResponseTarget: time.Second, Timeout: 5 * time.Second, Pools: shares},
			{Name: "whole", Host: "h", Prefix: "/whole/", Open: true, Repeat: catalog.AtMostOnce, MaxAttempts: 2, ResponseTarget: time.Second, Timeout: 5 * time.Second, Pools: shares},
			{Name: "free", Host: "h", Prefix: "/free/", Open: true, Stream: true, Resumable: true, Repeat: catalog.AtMostOnce, MaxAttempts: 2, ResponseTarget: time.Second, Timeout: 5 * time.Second, Pools: shares},
		},
		Pools: []catalog.Pool{{Name: "p", Engine: &catalog.Engine{Slots: 8, Models: map[string]catalog.Model{"m": {Name: "m"}}}}},
	})})
	h.Apply(dispatch.MembersChanged{Members: []dispatch.Member{{Name: "self", ID: "1"}}})
	for n, e := range engines {
		register(h, directory.Endpoint{ID: fmt.Sprint("e", n), Address: e.address})
	}
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnContext = withConn
	server.Start()
	t.Cleanup(server.Close)
	return h, server
}

// register registers an engine of which the ID, the address, and the time of its start if any are given.
func register(h *Host, e directory.Endpoint) {
	e.Pool, e.Domain, e.Slots, e.Models = "p", "near", 8, []directory.Model{{Name: "m"}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.Apply(h.Now(), []directory.Change{{ID: e.ID, Endpoint: e}})
	h.publishEndpoints()
}

// unregister removes the registration of an engine.
func unregister(h *Host, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.Apply(h.Now(), []directory.Change{{ID: id, Removed: true}})
	h.publishEndpoints()
}

// askFor sends a request for the model m to a host and returns the response with its body, and the error at the end of the body.
func askFor(t *testing.T, host *httptest.Server, r fakeplatform.Request) (*http.Response, string, error) {
	t.Helper()
	r.Host, r.Model, r.Tokens = "h", "m", "100,10"
	request, err := r.HTTPRequest(host.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestEndlessAnswer guards against a faulty endpoint that sends an endless event or an endless whole response until the
// host runs out of memory, and against a stream that looks complete although the host cut it off.
func TestEndlessAnswer(t *testing.T) {
	const (
		piece         = 64 << 10
		kernelBuffers = 32 << 20 // upper bound on bytes that were sent but not read
	)
	for name, test := range map[string]struct {
		sentStatus  int    // status of the endpoint's response
		contentType string // content type of the endpoint's response
		bodyStart   string // start of the response's body
		status      int    // status that the caller gets
	}{
		"event":          {http.StatusOK, "text/event-stream", "id: 1\ndata: a\n\ndata: ", http.StatusOK},
		"first event":    {http.StatusOK, "text/event-stream", "data: ", http.StatusBadGateway},
		"whole response": {http.StatusInternalServerError, "text/plain", "", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer listener.Close()
			sent := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				incoming, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				io.WriteString(conn, fakeplatform.CloseDelimitedHead(incoming, test.sentStatus, test.contentType)+test.bodyStart)
				total, junk := 0, make([]byte, piece)
				for total < 128<<20 {
					n, err := conn.Write(junk)
					total += n
					if err != nil {
						break
					}
				}
				sent <- total
			}()
			host := newHost(t, &scriptedEndpoint{address: listener.Addr().String()})
			began := time.Now()
			request, err := fakeplatform.Request{ID: "r1", Host: "h", Path: "/once/1", Model: "m", Tokens: "100,10", CallerTimeout: 5 * time.Second}.HTTPRequest(host.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			response, err := http.DefaultClient.Do(request)
			qt.Assert(t, err, qt.IsNil)
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			qt.Check(t, response.StatusCode, qt.Equals, test.status)
			qt.Check(t, err == nil, qt.Equals, test.status != http.StatusOK, qt.Commentf("%v", err))
			qt.Check(t, time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("given up after %v", time.Since(began)))
			total := <-sent
			qt.Check(t, total < maxResponseBytes+kernelBuffers, qt.IsTrue, qt.Commentf("the host took %d bytes", total))
		})
	}
}

// TestBrokenStream guards against a failure response that carries an endpoint's signature, against a truncated stream
// that looks complete, and against joining parts of two runs.
func TestBrokenStream(t *testing.T) {
	for name, test := range map[string]struct {
		path        string
		respond     func(r *http.Request) string
		status      int
		runs        int
		lastEventID string // last event id sent with the last run
		body        string
	}{
		"before an event":            {"/once/1", fakeplatform.StreamResponseHead, http.StatusBadGateway, 1, "", ""},
		"before an event, resumable": {"/free/1", fakeplatform.StreamResponseHead, http.StatusBadGateway, 2, "", ""},
		"within an event": {"/once/1", func(r *http.Request) string {
			return fakeplatform.StreamResponseHead(r) + chunk("id: 1\ndata: a\n\nid: 2\nda")
		},
			http.StatusOK, 1, "", "id: 1\ndata: a\n\n"},
		"resumed": {"/free/1", func(r *http.Request) string {
			if fakeplatform.LastEventID(r) == "1" {
				return fakeplatform.StreamResponseHead(r) + chunk("id: 2\ndata: b\n\n")
			}
			return fakeplatform.StreamResponseHead(r) + chunk("id: 1\ndata: a\n\nid: 2\nda")
		}, http.StatusOK, 2, "1", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"without ids": {"/free/1", func(r *http.Request) string { return fakeplatform.StreamResponseHead(r) + chunk("data: a\n\nda") }, http.StatusOK, 1, "", "data: a\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			engines := []*scriptedEndpoint{newScriptedEndpoint(t, test.respond), newScriptedEndpoint(t, test.respond)}
			host := newHost(t, engines...)
			request, err := fakeplatform.Request{ID: "r1", Host: "h", Path: test.path, Model: "m", Tokens: "100,10", CallerTimeout: 5 * time.Second}.HTTPRequest(host.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			response, err := http.DefaultClient.Do(request)
			qt.Assert(t, err, qt.IsNil)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			qt.Check(t, response.StatusCode, qt.Equals, test.status)
			requests := append(engines[0].received(), engines[1].received()...)
			qt.Check(t, len(requests), qt.Equals, test.runs)
			if test.status != http.StatusOK {
				qt.Check(t, fakeplatform.HasResponseStamp(response.Header), qt.IsFalse)
				return
			}
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("the stream looks complete"))
			qt.Check(t, string(body), qt.Equals, test.body)
			resumed := ""
			for _, r := range requests {
				resumed += fakeplatform.LastEventID(r)
			}
			qt.Check(t, resumed, qt.Equals, test.lastEventID)
		})
	}
}
