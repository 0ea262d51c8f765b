package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/directory"
	"magnoliahoist/platform/fakeplatform"
)

// ask sends a stream request to a host and returns the status and the header of the response.
func ask(t *testing.T, host *httptest.Server, id string) (int, http.Header) {
	t.Helper()
	response, _, _ := askFor(t, host, fakeplatform.Request{ID: id, Path: "/once/1", CallerTimeout: 5 * time.Second})
	return response.StatusCode, response.Header
}

// answered is the response of an engine that serves a stream without events.
func answered(r *http.Request) string { return fakeplatform.StreamResponseHead(r) + "0\r\n\r\n" }

// TestLeavingInAnswer guards against requests to an engine that has said in an answer that it leaves, whatever its registration
// says before, after or anew.
func TestLeavingInAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		after func(h *Host, leaving directory.Endpoint) // what happens to the engine's registration after the answer
		used  bool                                      // the engine is used again
	}{
		"no change": {func(*Host, directory.Endpoint) {}, false},
		"ready in the table": {func(h *Host, leaving directory.Endpoint) {
			register(h, leaving)
		}, false},
		"lapsed and registered again": {func(h *Host, leaving directory.Endpoint) {
			unregister(h, leaving.ID)
			register(h, leaving)
		}, false},
		"restarted": {func(h *Host, leaving directory.Endpoint) {
			leaving.StartedAt++
			register(h, leaving)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			leaving, other := newScriptedEndpoint(t, fakeplatform.LeavingResponse), newScriptedEndpoint(t, answered)
			h, host := newHostAndServer(t)
			registration := directory.Endpoint{ID: "leaving", Address: leaving.address, StartedAt: 1}
			register(h, registration)
			status, _ := ask(t, host, "r0")
			qt.Assert(t, status, qt.Equals, http.StatusOK)
			register(h, directory.Endpoint{ID: "other", Address: other.address, StartedAt: 1})
			test.after(h, registration)
			for n := range 20 {
				ask(t, host, fmt.Sprint("r", n+1))
			}
			qt.Check(t, len(leaving.received()) > 1, qt.Equals, test.used, qt.Commentf("%d requests", len(leaving.received())))
			qt.Check(t, len(other.received()) > 0, qt.IsTrue)
		})
	}
}

// TestRest guards against requests to an engine in the time for which it has asked for none, and against an engine that is left
// unused after that time.
func TestRest(t *testing.T) {
	for name, test := range map[string]struct {
		seconds string
		notRun  bool
		rests   bool
	}{
		"not run":         {"1", true, true},
		"fraction":        {"0.9", true, true},
		"signed":          {"1", false, true},
		"no number":       {"soon", true, false},
		"negative":        {"-1", true, false},
		"not a finite":    {"NaN", true, false},
		"without any end": {"1e300", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			// The engine closes the connection after each response. If it did not say so, the host could send the next request before it
			// sees that, and would have to respond with 502.
			resting := newScriptedEndpoint(t, func(r *http.Request) string {
				return strings.Replace(fakeplatform.RestResponse(r, test.seconds, test.notRun), "\r\n", "\r\nConnection: close\r\n", 1)
			})
			h, host := newHostAndServer(t)
			registration := directory.Endpoint{ID: "resting", Address: resting.address, StartedAt: 1}
			register(h, registration)
			began := time.Now()
			for n := range 5 {
				status, _ := ask(t, host, fmt.Sprint("r", n))
				qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
				unregister(h, registration.ID)
				register(h, registration)
			}
			if test.rests {
				qt.Check(t, time.Since(began) < 800*time.Millisecond, qt.IsTrue, qt.Commentf("refusals that are known took %v", time.Since(began)))
			}
			received := len(resting.received())
			qt.Check(t, received == 1, qt.Equals, test.rests, qt.Commentf("%d requests", received))
			time.Sleep(time.Until(began.Add(1100 * time.Millisecond)))
			ask(t, host, "later")
			qt.Check(t, len(resting.received()) > received, qt.Equals, test.seconds != "1e300", qt.Commentf("%d requests", len(resting.received())))
		})
	}
}

// TestRestRefusal guards against callers that are told to come back before an engine can take them.
func TestRestRefusal(t *testing.T) {
	resting := newScriptedEndpoint(t, func(r *http.Request) string { return fakeplatform.RestResponse(r, "3", true) })
	_, host := newHostAndServer(t, resting)
	for n := range 2 {
		status, header := ask(t, host, fmt.Sprint("r", n))
		qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
		var seconds float64
		fmt.Sscan(header.Get("Retry-After"), &seconds)
		qt.Check(t, seconds > 2 && seconds <= 3, qt.IsTrue, qt.Commentf("Retry-After: %s", header.Get("Retry-After")))
	}
}

// TestLateRefusal guards against a caller that is told "not run" although the endpoint runs its request: the endpoint has written
// an earlier refusal once more on a kept connection.
func TestLateRefusal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader, refusal := bufio.NewReader(conn), ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if refusal == "" {
				refusal = fakeplatform.RestResponse(request, "0", true)
				io.WriteString(conn, refusal)
				continue
			}
			io.WriteString(conn, refusal+fakeplatform.StreamResponseHead(request)+chunk("id: 1\ndata: a\n\n")+"0\r\n\r\n")
		}
	}()
	host := newHost(t, &scriptedEndpoint{address: listener.Addr().String()})
	status, _ := ask(t, host, "r1")
	qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
	status, _ = ask(t, host, "r2")
	qt.Check(t, status, qt.Equals, http.StatusOK)
}
