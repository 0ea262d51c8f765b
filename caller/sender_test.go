package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// scripted answers every request on a connection with the next of the answers, and closes the
// connection after the last one. An empty answer leaves the request without one.
func scripted(t *testing.T, answers ...string) (address string, requests, opened *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests, opened = &atomic.Int64{}, &atomic.Int64{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for _, answer := range answers {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					requests.Add(1)
					if answer == "" {
						reader.ReadByte()
						return
					}
					io.WriteString(connection, answer)
				}
			}()
		}
	}()
	return listener.Addr().String(), requests, opened
}

const (
	wholeAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	streamAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)

// TestSenderReuse guards against calls on a connection that the endpoint has closed, or on which
// something is left of the former answer, and against opening one for every call.
func TestSenderReuse(t *testing.T) {
	for name, test := range map[string]struct {
		answers []string
		calls   int64
		opened  int64
	}{
		"kept":              {[]string{wholeAnswer, wholeAnswer, wholeAnswer}, 3, 1},
		"end unread":        {[]string{streamAnswer, streamAnswer, streamAnswer}, 3, 1},
		"closed":            {[]string{wholeAnswer}, 3, 3},
		"more than asked":   {[]string{wholeAnswer + wholeAnswer, wholeAnswer}, 2, 2},
		"end never sent":    {[]string{strings.TrimSuffix(streamAnswer, "0\r\n\r\n"), streamAnswer}, 2, 2},
		"to be closed":      {[]string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", wholeAnswer}, 2, 2},
		"informed before":   {[]string{"HTTP/1.1 103 Early Hints\r\n\r\n" + wholeAnswer, wholeAnswer}, 2, 1},
		"closed before end": {[]string{wholeAnswer, wholeAnswer}, 4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, requests, opened := scripted(t, test.answers...)
			s := newSender()
			for range test.calls {
				response, sent, err := s.send(context.Background(), address, "a-1", "", outgoing{method: http.MethodPost, target: "/x", body: []byte("{}")})
				c.Assert(err, qt.IsNil)
				c.Assert(sent, qt.IsTrue)
				two := make([]byte, 2)
				_, err = io.ReadFull(response.Body, two)
				c.Assert(err, qt.IsNil)
				c.Assert(string(two), qt.Equals, "ok")
				complete(response.Body)
				response.Body.Close()
				time.Sleep(20 * time.Millisecond) // the endpoint closes its side
			}
			c.Assert(requests.Load(), qt.Equals, test.calls)
			c.Assert(opened.Load(), qt.Equals, test.opened)
		})
	}
}

// TestSenderOnce guards against sending a call again by itself when its answer is lost, and against
// waiting for an endpoint after the caller has gone.
func TestSenderOnce(t *testing.T) {
	c := qt.New(t)
	address, requests, _ := scripted(t, wholeAnswer, "")
	s := newSender()
	out := outgoing{method: http.MethodGet, target: "/x"}
	response, _, err := s.send(context.Background(), address, "a-1", "", out)
	c.Assert(err, qt.IsNil)
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, sent, err := s.send(ctx, address, "a-2", "", out)
	c.Assert(err, qt.IsNotNil)
	c.Assert(sent, qt.IsTrue)
	c.Assert(requests.Load(), qt.Equals, int64(2))
}

// TestSenderHead guards against a caller's text that adds a line to a request.
func TestSenderHead(t *testing.T) {
	for name, out := range map[string]outgoing{
		"target": {method: "GET", target: "/x HTTP/1.1\r\nHost: other"},
		"space":  {method: "GET", target: "/x y"},
		"method": {method: "GET /x", target: "/"},
		"header": {method: "GET", target: "/", header: http.Header{"Accept": {"a\r\nX-Priority: 9"}}},
		"name":   {method: "GET", target: "/", header: http.Header{"Accept\n": {"a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, requests, _ := scripted(t, wholeAnswer)
			_, sent, err := newSender().send(context.Background(), address, "a-1", "", out)
			c.Assert(err, qt.ErrorIs, errSyntax)
			c.Assert(sent, qt.IsFalse)
			c.Assert(requests.Load(), qt.Equals, int64(0))
		})
	}
}
