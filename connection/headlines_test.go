package connection_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"magnoliahoist/connection"
)

// TestHeadLines guards against a head of many short lines, which takes 20 times its size in memory once it is decoded, and against a
// short head that is refused because of the lines of the body after it.
func TestHeadLines(t *testing.T) {
	for name, test := range map[string]struct {
		lines int
		body  string
		fails bool
	}{
		"few":                     {100, "ok", false},
		"few, many in the body":   {100, strings.Repeat("\n", 10_000), false},
		"many":                    {10_000, "ok", true},
		"more than a read buffer": {1_000, "ok", true},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				var head strings.Builder
				fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n", id, len(test.body))
				for n := range test.lines {
					fmt.Fprintf(&head, "%x:\r\n", n)
				}
				io.WriteString(c, head.String()+"\r\n"+test.body)
				io.Copy(io.Discard, r)
			})
			body, err := exchange(t, connection.New(settings), newRequest(address, "1", []byte("x")))
			qt.Check(t, errors.Is(err, connection.ErrNoResponse), qt.Equals, test.fails, qt.Commentf("%v", err))
			if !test.fails {
				qt.Check(t, body, qt.Equals, test.body)
			}
		})
	}
}
