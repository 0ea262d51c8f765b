package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/dispatch"
	"magnoliahoist/platform"
	"magnoliahoist/platform/fakeplatform"
)

// askRaw sends a stream request to a host on a connection of its own, in a version of HTTP, and returns the response with its body
// and the error at its end.
func askRaw(t *testing.T, address, path, version string) (*http.Response, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	request, err := fakeplatform.Request{ID: "r1", Host: "h", Path: path, Model: "m", Tokens: "100,10", CallerTimeout: 4 * time.Second}.HTTPRequest(address)
	qt.Assert(t, err, qt.IsNil)
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s %s\r\nHost: h\r\nContent-Length: 0\r\n", path, version)
	qt.Assert(t, request.Header.Write(&head), qt.IsNil)
	_, err = io.WriteString(conn, head.String()+"\r\n")
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestErrorAfterBrokenStream guards against a failure of the endpoint that resumes a stream that reaches the caller within the
// stream, and against a stream that looks complete because of it.
func TestErrorAfterBrokenStream(t *testing.T) {
	const begun = "id: 1\ndata: a\n\n"
	for name, second := range map[string]func(r *http.Request) string{
		"400": func(r *http.Request) string { return fakeplatform.WholeResponse(r, 400, "text/plain", "bad") },
		"404": func(r *http.Request) string { return fakeplatform.WholeResponse(r, 404, "text/plain", "gone") },
		"500": func(r *http.Request) string { return fakeplatform.WholeResponse(r, 500, "text/plain", "failed") },
		"204": func(r *http.Request) string { return fakeplatform.WholeResponse(r, 204, "text/plain", "") },
		"201 with events": func(r *http.Request) string {
			return fakeplatform.WholeResponse(r, 201, "text/event-stream", "id: 2\ndata: b\n\n")
		},
		"200 without events": func(r *http.Request) string { return fakeplatform.WholeResponse(r, 200, "text/plain", "no stream\n\n") },
		"503":                func(r *http.Request) string { return fakeplatform.RestResponse(r, "1", true) },
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", "+version, func(t *testing.T) {
				respond := func(r *http.Request) string {
					if fakeplatform.LastEventID(r) == "1" {
						return second(r)
					}
					return fakeplatform.StreamResponseHead(r) + chunk(begun)
				}
				host := newHost(t, newScriptedEndpoint(t, respond), newScriptedEndpoint(t, respond))
				response, body, err := askRaw(t, host.Listener.Addr().String(), "/free/1", version)
				qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
				qt.Check(t, body, qt.Equals, begun)
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("the stream looks complete"))
			})
		}
	}
}

// TestResumedWithOtherParameters guards against a stream that breaks because the endpoint that resumes it writes the content type in
// another way.
func TestResumedWithOtherParameters(t *testing.T) {
	const begun, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	respond := func(r *http.Request) string {
		if fakeplatform.LastEventID(r) == "1" {
			return fakeplatform.WholeResponse(r, 200, "Text/Event-Stream; charset=utf-8", rest)
		}
		return fakeplatform.StreamResponseHead(r) + chunk(begun)
	}
	host := newHost(t, newScriptedEndpoint(t, respond), newScriptedEndpoint(t, respond))
	_, body, err := askRaw(t, host.Listener.Addr().String(), "/free/1", "HTTP/1.1")
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, body, qt.Equals, begun+rest)
}

// TestStreamEnds guards against a stream without length or chunks that is taken for complete although it was broken off, and the
// reverse, for callers of both versions of HTTP.
func TestStreamEnds(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, test := range map[string]struct {
		body     string // sent by the endpoint
		reset    bool   // the endpoint resets the connection at the end
		status   int
		complete bool
	}{
		"whole":                 {event, false, http.StatusOK, true},
		"within an event":       {event + "id: 2\nda", false, http.StatusOK, false},
		"after a line":          {event + "id: 2\ndata: b\n", false, http.StatusOK, false},
		"reset":                 {event, true, http.StatusOK, false},
		"no event":              {"", false, http.StatusBadGateway, true},
		"reset before an event": {"", true, http.StatusBadGateway, true},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", "+version, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				qt.Assert(t, err, qt.IsNil)
				defer listener.Close()
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					io.WriteString(conn, fakeplatform.CloseDelimitedHead(request, 200, "text/event-stream")+test.body)
					if test.reset {
						time.Sleep(50 * time.Millisecond) // until the host has read the body
						conn.(*net.TCPConn).SetLinger(0)
					}
				}()
				host := newHost(t, &scriptedEndpoint{address: listener.Addr().String()})
				response, body, err := askRaw(t, host.Listener.Addr().String(), "/once/1", version)
				qt.Check(t, response.StatusCode, qt.Equals, test.status)
				qt.Check(t, err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
				if test.status == http.StatusOK {
					qt.Check(t, body, qt.Equals, event)
				}
			})
		}
	}
}

// TestNoAnswerByAccident guards against an empty success that the HTTP server sends by itself when a request ends without a response: its
// deadline passed while the machine was suspended, so that no timer has fired yet, or its caller has closed one direction of the
// connection.
func TestNoAnswerByAccident(t *testing.T) {
	t.Run("deadline passed while suspended", func(t *testing.T) {
		h, _ := newHostAndServer(t)
		request, err := fakeplatform.Request{ID: "r1", Host: "h", Path: "/once/1", Model: "m", Tokens: "100,10"}.HTTPRequest("127.0.0.1:1")
		qt.Assert(t, err, qt.IsNil)
		decoded, err := platform.DecodeRequest(request)
		qt.Assert(t, err, qt.IsNil)
		recorder := httptest.NewRecorder()
		finished := h.attempt(context.Background(), &task{number: 1, request: decoded, writer: recorder}, dispatch.SendAttempt{Number: 1, Deadline: h.Now() - time.Second})
		qt.Check(t, finished, qt.IsTrue)
		qt.Check(t, recorder.Code, qt.Equals, http.StatusGatewayTimeout)
	})
	t.Run("caller closed one direction", func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		host := newHost(t, newScriptedEndpoint(t, func(*http.Request) string {
			<-release
			return ""
		}))
		conn, err := net.Dial("tcp", host.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		qt.Assert(t, conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		request, err := fakeplatform.Request{ID: "r1", Host: "h", Path: "/once/1", Model: "m", Tokens: "100,10", CallerTimeout: 4 * time.Second}.HTTPRequest("h")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, request.Write(conn), qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		got, _ := io.ReadAll(conn)
		qt.Check(t, string(got), qt.Equals, "")
	})
}
