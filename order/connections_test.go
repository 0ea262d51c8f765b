package order

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an order that reaches another process than the one whose report the sender has received.
func TestBound(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	serve := func(listener net.Listener, name string) *httptest.Server {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) }))
		server.Listener = listener
		server.Start()
		return server
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	first := serve(listener, "first")
	connections := NewConnections()
	defer connections.Close()
	send := func() (string, error) {
		sendContext, found := connections.Take(ctx, address)
		c.Assert(found, qt.IsTrue)
		request, err := http.NewRequestWithContext(sendContext, http.MethodPost, "http://"+address+"/", strings.NewReader("{}"))
		c.Assert(err, qt.IsNil)
		response, err := connections.Client().Do(request)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		return string(data), err
	}
	c.Assert(connections.Open(ctx, address), qt.IsNil)
	_, found := connections.Take(ctx, address)
	c.Assert(found, qt.IsFalse) // no report has arrived since Open
	connections.Confirm(address)
	body, err := send()
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "first")

	first.CloseClientConnections()
	first.Close()
	listener, err = net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	second := serve(listener, "second")
	defer second.Close()
	_, err = send()
	c.Assert(err, qt.IsNotNil)

	connections.Discard(address)
	_, found = connections.Take(ctx, address)
	c.Assert(found, qt.IsFalse)
	_, err = connections.Client().Post("http://"+address+"/", "application/json", nil)
	c.Assert(err, qt.ErrorMatches, ".*no connection from before the last report")
}
