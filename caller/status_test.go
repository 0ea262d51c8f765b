package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLongHead guards against a faulty endpoint that makes the host hold megabytes of a response's head for each request.
func TestLongHead(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 1<<20))
	}))
	defer server.Close()
	for _, atMostOnce := range []bool{false, true} {
		response, _, err := newSender().send(context.Background(), server.Listener.Addr().String(), "a", "", endpointRequest{method: http.MethodGet, target: "/", atMostOnce: atMostOnce})
		if err == nil {
			response.Body.Close()
		}
		c.Check(err, qt.IsNotNil)
	}
}

// TestInvalidStatus guards against an endpoint's response with a status that HTTP does not define, such as 000, that is forwarded.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				conn.Read(make([]byte, 4<<10))
				fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 0\r\n\r\n", status)
			}()
			response, sent, err := newSender().send(context.Background(), listener.Addr().String(), "a", "", endpointRequest{method: http.MethodGet, target: "/", atMostOnce: true})
			if err == nil {
				response.Body.Close()
			}
			c.Check(err, qt.IsNotNil)
			c.Check(sent, qt.IsTrue)
		})
	}
}
