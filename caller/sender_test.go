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

// Guards against the transport sending a call a second time by itself when a connection breaks, also
// one with an empty body and an idempotency key, which net/http holds to be repeatable.
func TestSendOnce(t *testing.T) {
	tests := map[string]outgoing{
		"once, body":       {method: http.MethodPost, body: []byte("{}"), once: true},
		"once, empty body": {method: http.MethodPost, once: true},
		"kept, empty body": {method: http.MethodPost},
		"kept, body":       {method: http.MethodPost, body: []byte("{}")},
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
			warm, _, err := s.send(context.Background(), server.Listener.Addr().String(), "w", "", outgoing{method: http.MethodGet, target: "/warm"})
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

// Guards against a new connection for every stream, and against a stream whose end the endpoint holds back.
func TestReadEnd(t *testing.T) {
	tests := map[string]struct {
		hold   bool
		opened int64
	}{
		"ended":     {false, 1},
		"held back": {true, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var opened atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.WriteString(w, "x")
				w.(http.Flusher).Flush()
				if test.hold {
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
				response, _, err := s.send(context.Background(), server.Listener.Addr().String(), "a", "", outgoing{method: http.MethodGet, target: "/"})
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
