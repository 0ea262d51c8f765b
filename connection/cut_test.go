package connection_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/connection"
)

// TestCutAtEachByte guards against a response that is taken for complete although its endpoint closed the connection at some byte of its
// head or body. A body that ends with the connection has no cut that can be told from its end, so that only its head is cut.
func TestCutAtEachByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nKeep-Alive: timeout=10\r\n"
	for name, test := range map[string]struct {
		response string
		cuts     int
	}{
		"length":                       {head + "Content-Length: 10\r\n\r\n0123456789", 0},
		"chunks":                       {head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n", 0},
		"chunks, trailer":              {head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\na\r\n0123456789\r\n0\r\nA: b\r\n\r\n", 0},
		"end of connection":            {head + "\r\n0123456789", len(head) + 1},
		"bare line feeds":              {"HTTP/1.1 200 OK\nId: 1\nContent-Length: 10\n\n0123456789", 0},
		"after an informational head":  {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head + "Content-Length: 10\r\n\r\n0123456789", 0},
		"after a response to another":  {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nno" + head + "Content-Length: 10\r\n\r\n0123456789", 0},
		"folded line":                  {head + "A: b\r\n c\r\nContent-Length: 10\r\n\r\n0123456789", 0},
		"length after the other lines": {head + "A: b\r\nContent-Length: 10\r\nContent-Type: text/plain\r\n\r\n0123456789", 0},
	} {
		for _, bodyBytes := range []int{1, 1 << 20} {
			t.Run(fmt.Sprint(name, ", body of ", bodyBytes), func(t *testing.T) {
				cuts := test.cuts
				if cuts == 0 {
					cuts = len(test.response) - 1
				}
				var cut atomic.Int64
				address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.WriteString(c, test.response[:cut.Load()])
					c.(*net.TCPConn).CloseWrite()
					io.Copy(io.Discard, request.Body)
				})
				body := make([]byte, bodyBytes)
				for at := range cuts {
					cut.Store(int64(at))
					got, err := exchange(t, connection.New(settings), newRequest(address, "1", body))
					qt.Assert(t, err, qt.IsNotNil, qt.Commentf("cut after %q: %q", test.response[:at], got))
				}
				cut.Store(int64(len(test.response)))
				got, err := exchange(t, connection.New(settings), newRequest(address, "1", body))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, got, qt.Equals, "0123456789")
			})
		}
	}
}
