package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/platform/fakeplatform"
)

// TestInvalidStatus guards against an answer with a status that HTTP does not define, such as 000, that reaches the caller, and against
// a success that is found in the body after it.
func TestInvalidStatus(t *testing.T) {
	for name, path := range map[string]string{"whole response": "/whole/1", "stream": "/once/1", "resumable": "/free/1"} {
		for _, status := range []string{"000", "099", "101", "600", "999"} {
			t.Run(name+", "+status, func(t *testing.T) {
				address := listenRaw(t, func(c *net.TCPConn, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					embedded := fakeplatform.WholeResponse(r, 200, "text/event-stream", "id: 1\ndata: a\n\n")
					io.WriteString(c, strings.Replace(fakeplatform.WholeResponse(r, 200, "text/plain", embedded), "200 OK", status+" Odd", 1))
				})
				host := newHost(t, &scriptedEndpoint{address: address})
				response, _, _ := askFor(t, host, fakeplatform.Request{ID: "r1", Path: path, CallerTimeout: 2 * time.Second})
				qt.Check(t, response.StatusCode, qt.Equals, http.StatusBadGateway)
				qt.Check(t, fakeplatform.HasResponseStamp(response.Header), qt.IsFalse)
			})
		}
	}
}
