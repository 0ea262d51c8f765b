package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/platform/fakeplatform"
)

// TestEarlyAnswerThatIsReset guards against a part of a response that reaches the caller as complete: the endpoint responds without a
// length before it has read the request's body, and resets the connection halfway. The fault was seen in one of three tries.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	const tries = 16
	for name, test := range map[string]struct{ path, kind, sent string }{
		"whole response": {"/whole/1", "text/plain", "half of a resp"},
		"stream":         {"/once/1", "text/event-stream", "id: 1\ndata: a\n\n"},
		"resumable":      {"/free/1", "text/event-stream", "id: 1\ndata: a\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := listenRaw(t, func(c *net.TCPConn, r *http.Request) {
				io.WriteString(c, fakeplatform.CloseDelimitedHead(r, 200, test.kind)+test.sent)
				time.Sleep(20 * time.Millisecond) // until the host has read the response
				c.SetLinger(0)
			})
			for i := range tries {
				host := newHost(t, &scriptedEndpoint{address: address}) // a new one has not ejected the endpoint
				response, body, err := askFor(t, host, fakeplatform.Request{ID: fmt.Sprint("r", i), Path: test.path, CallerTimeout: 2 * time.Second, Body: strings.Repeat("x", 1<<20)})
				qt.Assert(t, response.StatusCode == http.StatusOK && err == nil, qt.IsFalse, qt.Commentf("try %d: a complete success with the body %q", i, body))
			}
		})
	}
}
