package connection_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/connection"
)

// TestEndWhileWriting guards against a truncated response without a length that is taken for complete because its connection was reset
// while the request was still being written: the kernel reports a reset only once, and the write may get the error. It also guards
// against the reverse, for an endpoint that closes its direction only and reads the rest of the request.
func TestEndWhileWriting(t *testing.T) {
	const sent = "the part of the response that was sent"
	for name, test := range map[string]struct {
		end      func(c *net.TCPConn, r io.Reader) // of the endpoint's connection
		complete bool
	}{
		"reset":           {func(c *net.TCPConn, _ io.Reader) { c.SetLinger(0) }, false},
		"closed, unread":  {func(*net.TCPConn, io.Reader) {}, false},
		"one direction":   {func(c *net.TCPConn, r io.Reader) { c.CloseWrite(); io.Copy(io.Discard, r) }, true},
		"reset, all read": {func(c *net.TCPConn, r io.Reader) { io.Copy(io.Discard, r); c.SetLinger(0) }, false},
		"closed all read": {func(_ *net.TCPConn, r io.Reader) { io.Copy(io.Discard, r) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			headRead := make(chan struct{})
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+sent)
				<-headRead
				test.end(c.(*net.TCPConn), request.Body)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := connection.New(settings).Exchange(ctx, newRequest(address, "1", make([]byte, 32<<20)))
			qt.Assert(t, err, qt.IsNil)
			defer response.Close()
			close(headRead)
			for !response.RequestWritten() && ctx.Err() == nil { // the write learns of the reset before the read
				time.Sleep(time.Millisecond)
			}
			body, err := io.ReadAll(response)
			qt.Check(t, string(body), qt.Equals, sent)
			qt.Check(t, err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
		})
	}
}
