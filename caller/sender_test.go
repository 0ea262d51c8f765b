package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a transport that sends a request a second time by itself when a connection breaks. net/http would retry a request with
// an empty body and an Idempotency-Key header.
func TestSendOnce(t *testing.T) {
	tests := map[string]endpointRequest{
		"once, body":         {method: http.MethodPost, body: []byte("{}"), atMostOnce: true},
		"once, empty body":   {method: http.MethodPost, atMostOnce: true},
		"reused, empty body": {method: http.MethodPost},
		"reused, body":       {method: http.MethodPost, body: []byte("{}")},
	}
	for name, out := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var arrived atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					return
				}
				arrived.Add(1)
				if connection, _, err := http.NewResponseController(w).Hijack(); err == nil {
					connection.(*net.TCPConn).SetLinger(0)
					connection.Close()
				}
			}))
			defer server.Close()
			s := newSender()
			warm, _, err := s.send(context.Background(), server.Listener.Addr().String(), "w", "", endpointRequest{method: http.MethodGet, target: "/warm"})
			c.Assert(err, qt.IsNil)
			warm.Body.Close()
			out.target, out.header = "/stamps/", forwardHeader(http.Header{}, "key-1")
			_, sent, err := s.send(context.Background(), server.Listener.Addr().String(), "a", "", out)
			c.Assert(err, qt.IsNotNil)
			c.Assert(sent, qt.IsTrue)
			c.Assert(arrived.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against opening a new connection for every stream, and against waiting for the end of a stream that the endpoint leaves open.
func TestReadEnd(t *testing.T) {
	tests := map[string]struct {
		leaveOpen bool
		opened    int64
	}{
		"ended":     {false, 1},
		"left open": {true, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var opened atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.WriteString(w, "x")
				w.(http.Flusher).Flush()
				if test.leaveOpen {
					<-r.Context().Done()
				}
			}))
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					opened.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			s := newSender()
			for range 2 {
				response, _, err := s.send(context.Background(), server.Listener.Addr().String(), "a", "", endpointRequest{method: http.MethodGet, target: "/"})
				c.Assert(err, qt.IsNil)
				_, err = io.ReadFull(response.Body, make([]byte, 1))
				c.Assert(err, qt.IsNil)
				readEnd(response.Body)
				response.Body.Close()
			}
			c.Assert(opened.Load(), qt.Equals, test.opened)
		})
	}
}
