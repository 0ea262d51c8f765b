package connection_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"magnoliahoist/connection"
)

var settings = connection.Settings{ConnectTimeout: time.Second, IdleTimeout: time.Minute, AckTimeout: 5 * time.Second}

// serve accepts connections and runs the handler with each one and its number, which counts from 1. It returns the address.
func serve(t *testing.T, handler func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handler(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request and returns the value of its Id header.
func readRequest(r *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return "", err
	}
	return request.Header.Get("Id"), nil
}

// writeResponse writes a response with the Id header and the body.
func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newRequest returns a request with the Id header; it accepts only responses with the same one.
func newRequest(address, id string, body []byte) connection.Request {
	return connection.Request{
		Address: address, Process: "process", Method: http.MethodPost, Body: [][]byte{body[:len(body)/2], body[len(body)/2:]},
		Head:    []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, len(body))),
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

// exchange sends a request and returns the body of its response.
func exchange(t *testing.T, p *connection.Pool, request connection.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := p.Exchange(ctx, request)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// TestExchange guards against responses to other requests, truncated responses that are taken for complete ones, and reuse of
// connections on which the endpoint broke the protocol.
func TestExchange(t *testing.T) {
	for name, test := range map[string]struct {
		handler func(n int, c net.Conn, r *bufio.Reader)
		bodies  []string // of the responses to two requests; "!" and part of the error's text if it fails
		opened  uint64   // connections
	}{
		"connection is reused": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
					writeResponse(c, id, "for "+id)
				}
			}, []string{"for 1", "for 2"}, 1,
		},
		"stray response before the right one": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
					writeResponse(c, "other", "stray")
					writeResponse(c, id, "for "+id)
				}
			}, []string{"for 1", "for 2"}, 2,
		},
		"response within a long stray one": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				const skipped = 1 << 20
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n%s", 2*skipped, strings.Repeat("x", skipped))
				writeResponse(c, id, "part of the stray one")
				io.Copy(io.Discard, r)
			}, []string{"!unable to read the response", "!unable to read the response"}, 2,
		},
		"second response after the right one": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
					writeResponse(c, id, "for "+id)
					writeResponse(c, id, "duplicate")
				}
			}, []string{"for 1", "for 2"}, 2,
		},
		"truncated response": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", id)
			}, []string{"!unexpected EOF", "!unexpected EOF"}, 2,
		},
		"no response": {
			func(_ int, c net.Conn, r *bufio.Reader) { readRequest(r) },
			[]string{"!unable to read the response", "!unable to read the response"}, 2,
		},
		"not HTTP": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(c, "rubbish\r\n\r\n")
			}, []string{"!unable to read the response", "!unable to read the response"}, 2,
		},
		"body delimited by the end of the connection": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nto the end", id)
			}, []string{"to the end", "to the end"}, 2,
		},
		"endpoint closes an idle connection": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				id, _ := readRequest(r)
				writeResponse(c, id, "for "+id)
			}, []string{"for 1", "for 2"}, 2,
		},
		"Connection: close": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", id)
				}
			}, []string{"ok", "ok"}, 2,
		},
		"Keep-Alive timeout of 0": {
			func(_ int, c net.Conn, r *bufio.Reader) {
				for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", id)
				}
			}, []string{"ok", "ok"}, 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, test.handler)
			pool := connection.New(settings)
			for i, want := range test.bodies {
				body, err := exchange(t, pool, newRequest(address, fmt.Sprint(i+1), []byte("x")))
				if text, fails := strings.CutPrefix(want, "!"); fails {
					qt.Check(t, err, qt.ErrorMatches, ".*"+text+".*")
				} else {
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, body, qt.Equals, want)
				}
				time.Sleep(20 * time.Millisecond) // time for the endpoint to close the connection
			}
			qt.Check(t, pool.OpenedTotal(), qt.Equals, test.opened)
		})
	}
}

// TestUnsent guards against ErrNoResponse ("may have run") when no byte was sent, and ErrUnsent ("not run") when some were.
func TestUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	refused := listener.Addr().String()
	listener.Close()
	pool := connection.New(settings)
	_, err = exchange(t, pool, newRequest(refused, "1", nil))
	qt.Check(t, errors.Is(err, connection.ErrUnsent), qt.IsTrue)
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) { readRequest(r) })
	_, err = exchange(t, pool, newRequest(address, "1", nil))
	qt.Check(t, errors.Is(err, connection.ErrNoResponse), qt.IsTrue)
}

// TestNoLongerAllowed guards against a request that is sent although its endpoint announced its shutdown while the connection
// was being opened.
func TestNoLongerAllowed(t *testing.T) {
	got := make(chan string, 1)
	address := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if id, err := readRequest(r); err == nil {
			got <- id
		}
	})
	pool := connection.New(settings)
	request := newRequest(address, "1", nil)
	request.MaySend = func() bool { return pool.OpenedTotal() == 0 }
	_, err := exchange(t, pool, request)
	qt.Check(t, errors.Is(err, connection.ErrWithdrawn), qt.IsTrue, qt.Commentf("%v", err))
	select {
	case id := <-got:
		t.Fatalf("request %s was sent, want none", id)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestEndlessHead guards against a faulty endpoint that exhausts the host's memory or processor time with a head, or a
// sequence of informational responses, without end.
func TestEndlessHead(t *testing.T) {
	const kernelBuffers = 32 << 20 // bound on the bytes that are sent and not yet read
	for name, endless := range map[string]string{
		"one line":               strings.Repeat("x", 1024),
		"lines":                  "X-Line: " + strings.Repeat("x", 1014) + "\r\n",
		"informational response": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nX-First: ")
				if !strings.HasPrefix(endless, "x") {
					io.WriteString(c, "a\r\n")
				}
				if strings.HasPrefix(endless, "HTTP") {
					io.WriteString(c, "\r\n")
				}
				total := 0
				for total < 128<<20 {
					n, err := io.WriteString(c, endless)
					total += n
					if err != nil {
						break
					}
				}
				sent <- total
			})
			pool := connection.New(settings)
			_, err := exchange(t, pool, newRequest(address, "1", nil))
			qt.Check(t, errors.Is(err, connection.ErrNoResponse), qt.IsTrue, qt.Commentf("%v", err))
			total := <-sent
			qt.Check(t, total < kernelBuffers, qt.IsTrue, qt.Commentf("the host accepted %d bytes, want fewer than 32 MB", total))
		})
	}
}

// TestEarlyAnswer guards against a request that is sent in place of the rest of a long body: after an endpoint has responded
// before it had read the whole body, the connection must not be reused.
func TestEarlyAnswer(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(c, request.Header.Get("Id"), "early")
		time.Sleep(100 * time.Millisecond)
		io.Copy(io.Discard, request.Body)
		for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
			writeResponse(c, id, "duplicate")
		}
	})
	pool := connection.New(settings)
	long := make([]byte, 32<<20)
	body, err := exchange(t, pool, newRequest(address, "1", long))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, body, qt.Equals, "early")
	body, err = exchange(t, pool, newRequest(address, "2", []byte("x")))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, body, qt.Equals, "early")
	qt.Check(t, pool.OpenedTotal(), qt.Equals, uint64(2))
}

// TestOwner guards against an idle connection that is reused for another process at the same address.
func TestOwner(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
			writeResponse(c, id, "ok")
		}
	})
	pool := connection.New(settings)
	first := newRequest(address, "1", nil)
	_, err := exchange(t, pool, first)
	qt.Assert(t, err, qt.IsNil)
	other := newRequest(address, "2", nil)
	other.Process = "another process"
	_, err = exchange(t, pool, other)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, pool.OpenedTotal(), qt.Equals, uint64(2))
}

// TestBound guards against more connections to an endpoint than the request allows.
func TestBound(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		time.Sleep(time.Second)
	})
	pool := connection.New(settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request := newRequest(address, "1", nil)
	request.MaxConnections = 1
	started := make(chan struct{})
	go func() {
		close(started)
		pool.Exchange(ctx, request)
	}()
	<-started
	for range 100 {
		if pool.OpenedTotal() == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := exchange(t, pool, request)
	qt.Check(t, errors.Is(err, connection.ErrConnectionLimit), qt.IsTrue)
}

// TestCancel guards against a connection that stays open after the context of its exchange has ended.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		r.ReadByte()
		close(closed)
	})
	pool := connection.New(settings)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Exchange(ctx, newRequest(address, "1", nil))
	qt.Check(t, errors.Is(err, connection.ErrNoResponse), qt.IsTrue)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open 5 s after the context ended")
	}
}
