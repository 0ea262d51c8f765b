package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/platform/fakeplatform"
)

// TestCutAtEachByte guards against an answer that reaches the caller as complete although its endpoint closed the connection at some byte
// of it: whole responses, streams, and the streams of endpoints that resume another one.
func TestCutAtEachByte(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	chunked := func(r *http.Request, events string) string {
		return fakeplatform.StreamResponseHead(r) + chunk(events) + "0\r\n\r\n"
	}
	for name, test := range map[string]struct {
		path    string
		respond func(r *http.Request) string
		cuts    func(response string) int // number of positions at which an end can be told from a cut
	}{
		"whole response":            {"/whole/1", func(r *http.Request) string { return fakeplatform.WholeResponse(r, 200, "text/plain", "whole") }, all},
		"whole response, no length": {"/whole/1", func(r *http.Request) string { return fakeplatform.CloseDelimitedHead(r, 200, "text/plain") + "whole" }, inHead},
		"stream":                    {"/once/1", func(r *http.Request) string { return chunked(r, first+second) }, all},
		"stream, no chunks": {"/once/1", func(r *http.Request) string {
			return fakeplatform.CloseDelimitedHead(r, 200, "text/event-stream") + first
		}, all},
		"resumed stream": {"/free/1", func(r *http.Request) string { return chunked(r, second) }, all},
		"resumed stream, no chunks": {"/free/1", func(r *http.Request) string {
			return fakeplatform.CloseDelimitedHead(r, 200, "text/event-stream") + second
		}, all},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			probe, err := fakeplatform.Request{ID: "r1", Path: test.path}.HTTPRequest("127.0.0.1:1")
			qt.Assert(t, err, qt.IsNil)
			for at := range test.cuts(test.respond(probe)) {
				respond := func(r *http.Request) string {
					if test.path == "/free/1" && fakeplatform.LastEventID(r) == "" {
						return fakeplatform.StreamResponseHead(r) + chunk(first)
					}
					return test.respond(r)[:at]
				}
				t.Run(fmt.Sprint(at), func(t *testing.T) {
					host := newHost(t, newScriptedEndpoint(t, respond), newScriptedEndpoint(t, respond))
					response, body, err := askFor(t, host, fakeplatform.Request{ID: "r1", Path: test.path, CallerTimeout: time.Second})
					qt.Check(t, response.StatusCode == http.StatusOK && err == nil, qt.IsFalse, qt.Commentf("a complete answer %q after %d bytes", body, at))
				})
			}
		})
	}
}

// all returns the length of a response.
func all(response string) int { return len(response) }

// inHead returns the length of the head of a response.
func inHead(response string) int { return strings.Index(response, "\r\n\r\n") + len("\r\n\r\n") - 1 }
