package connection_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"magnoliahoist/connection"
)

// TestInvalidStatus guards against a response whose status is none that HTTP defines and that is passed on or skipped: the bytes after a
// skipped head are read as the next response.
func TestInvalidStatus(t *testing.T) {
	const embedded = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 8\r\n\r\nembedded"
	for _, status := range []string{"000", "001", "099", "+99", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(embedded), embedded)
				io.Copy(io.Discard, r)
			})
			body, err := exchange(t, connection.New(settings), newRequest(address, "1", []byte("x")))
			qt.Check(t, errors.Is(err, connection.ErrNoResponse), qt.IsTrue, qt.Commentf("body %q, %v", body, err))
		})
	}
}
