package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// maxHeadBytes bounds the status line and the headers of an answer.
	maxHeadBytes = 1 << 20
	// maxInterim bounds the informational answers (1xx) before the final one.
	maxInterim = 5
	// drainTime is how long the next call waits for the end of the former answer. The end follows the
	// last event at once, so it has nearly always arrived by then.
	drainTime = time.Millisecond
	// maxDrainBytes bounds what is read after the last event of a stream.
	maxDrainBytes = 4 << 10
)

// Errors of a connection to an endpoint.
var (
	errHead    = errors.New("caller: head of the answer is too long")
	errInterim = errors.New("caller: endpoint sends no final answer")
)

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// connection is a kept connection to an endpoint. One call at a time uses it, in the goroutine of
// that call: http.Transport hands each request and answer between three goroutines, which took more
// time than the endpoint's answer on loopback.
type connection struct {
	net    net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	head   []byte        // of the request, kept for its memory
	body   io.ReadCloser // of the last answer, when its end has not been read
	budget int           // bytes that the head of the answer may still take; less than 0: no bound
	idle   time.Time     // since when it is not in use
	expire func()
	closed bool // what the last look for the closing showed
	look   func(fd uintptr) bool
}

func newConnection(opened net.Conn) *connection {
	c := &connection{net: opened, budget: -1}
	c.reader = bufio.NewReaderSize(c, responseBufBytes)
	c.expire = func() { opened.SetDeadline(past) }
	if source, plain := opened.(syscall.Conn); plain {
		c.raw, _ = source.SyscallConn()
	}
	c.look = func(fd uintptr) bool {
		c.closed = !stillOpen(fd)
		return true
	}
	return c
}

// Read reads from the endpoint within the bound for heads.
func (c *connection) Read(p []byte) (int, error) {
	if c.budget == 0 {
		return 0, errHead
	}
	if c.budget > 0 {
		p = p[:min(len(p), c.budget)]
	}
	n, err := c.net.Read(p)
	if c.budget > 0 {
		c.budget -= n
	}
	return n, err
}

// reusable reports whether a kept connection is ready for another call: the former answer has ended,
// nothing follows it, and the endpoint has not closed the connection.
func (c *connection) reusable() bool {
	if c.body != nil && !c.drain() {
		return false
	}
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	return c.raw.Read(c.look) == nil && !c.closed
}

// drain reads the end of the former answer.
func (c *connection) drain() bool {
	c.net.SetReadDeadline(time.Now().Add(drainTime))
	n, err := io.Copy(io.Discard, io.LimitReader(c.body, maxDrainBytes))
	c.net.SetReadDeadline(time.Time{})
	c.body = nil
	return err == nil && n < maxDrainBytes
}

// exchange sends a request and reads the head of its answer.
func (c *connection) exchange(ctx context.Context, method string, body []byte, release func(*connection)) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.expire)
	if err := c.write(body); err != nil {
		stop()
		return nil, err
	}
	response, err := c.readHead(method)
	if err != nil {
		stop()
		return nil, err
	}
	response.Body = &answerBody{
		body: response.Body, from: c, stop: stop, release: release, keep: !response.Close, ended: response.ContentLength == 0 || response.Body == http.NoBody,
	}
	return response, nil
}

// write sends the head, and the body in the same packet where it is small.
func (c *connection) write(body []byte) error {
	if len(c.head)+len(body) <= responseBufBytes {
		c.head = append(c.head, body...)
		body = nil
	}
	if _, err := c.net.Write(c.head); err != nil || len(body) == 0 {
		return err
	}
	_, err := c.net.Write(body)
	return err
}

func (c *connection) readHead(method string) (*http.Response, error) {
	c.budget = maxHeadBytes
	defer func() { c.budget = -1 }()
	for range maxInterim {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errInterim
}

// answerBody is the body of an answer; closing it gives the connection back.
type answerBody struct {
	body    io.ReadCloser
	from    *connection
	stop    func() bool
	release func(*connection)
	keep    bool // the connection may be used again
	ended   bool // the end was read
	whole   bool // what remains unread is only the end
	closed  bool
}

// Read reads the body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.ended = true
	} else if err != nil {
		b.keep = false
	}
	return n, err
}

// Close ends the use of the connection. It is kept when the end of the answer was read, or is all
// that is missing and will be read by the next call.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	inTime := b.stop()
	if !inTime || !b.keep || !b.ended && !b.whole {
		return b.from.net.Close()
	}
	if !b.ended {
		b.from.body = b.body
	}
	b.release(b.from)
	return nil
}

// complete says that all of the answer but its end has been read.
func complete(body io.ReadCloser) {
	if b, kept := body.(*answerBody); kept {
		b.whole = true
	}
}
