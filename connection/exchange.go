package connection

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// readerSize is the size of a read buffer in bytes: enough for the head of a response or several events of a stream.
	readerSize = 4 << 10
	// maxSyncBodyBytes is the longest request body that is written before the response is read. A longer body is written
	// while the response is read, because an endpoint may respond before it has read the whole body.
	maxSyncBodyBytes = 8 << 10
	// idleMargin is subtracted from the idle timeout that an endpoint states, so that this host closes the connection first.
	idleMargin = 700 * time.Millisecond
	// maxHeadBytes bounds the head of a response, together with the informational (1xx) responses before it. Endpoints send
	// heads below 1 KB; a faulty one may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of the same. A decoded line takes some 150 bytes, however short it is.
	maxHeadLines = 256
	// maxStrayResponses is how many responses to other requests are skipped before the exchange fails.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of a skipped response.
	maxStrayBytes = 1 << 20
)

// responseReader reads responses and bounds the size of their heads.
type responseReader struct {
	*bufio.Reader
	limiter *headLimiter
}

func newResponseReader(source io.Reader) *responseReader {
	limiter := &headLimiter{source: yieldingReader{source}}
	return &responseReader{bufio.NewReaderSize(limiter, readerSize), limiter}
}

// headLimiter reads from a source. While a head is being read, it returns no more than the remaining number of bytes, and nothing after
// the remaining number of lines.
type headLimiter struct {
	source         io.Reader
	readingHead    bool
	remaining      int // bytes
	remainingLines int
}

// errHeadTooLong means that the head of a response exceeds maxHeadBytes or maxHeadLines.
const errHeadTooLong = errors.ConstError("head of the response exceeds 64 KB or 256 lines")

// Read reads from the source. The error is errHeadTooLong when a limit of the current head is used up.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	if !l.readingHead {
		return l.source.Read(buffer)
	}
	if l.remaining <= 0 || l.remainingLines <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(buffer[:min(len(buffer), l.remaining)])
	l.remaining -= n
	l.remainingLines -= bytes.Count(buffer[:n], []byte("\n")) // may include lines of the body, but then nothing more is read for the head
	return n, err
}

// yieldingReader reads from a source, and lets other goroutines run after each read that fills a read buffer. Otherwise an endpoint
// that sends faster than its bytes are decoded keeps a processor for a whole time slice of the scheduler, and exchanges with other
// endpoints wait for many of them.
type yieldingReader struct {
	source io.Reader
}

// Read reads from the source.
func (r yieldingReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	if n >= readerSize {
		runtime.Gosched()
	}
	return n, err
}

// IsFinalStatus reports whether a status is that of a final response. HTTP defines no status below 100 or above 599; a response with
// such a status, which net/http accepts, is malformed.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// isSkippedStatus reports whether a status is that of an informational response, after which another one follows. After 101, which no
// request asks for, the connection would no longer carry HTTP.
func isSkippedStatus(status int) bool {
	return status >= 100 && status <= 199 && status != http.StatusSwitchingProtocols
}

// readHead reads the head of the next final response and skips informational ones.
func (r *responseReader) readHead(request *http.Request) (*http.Response, error) {
	r.limiter.readingHead, r.limiter.remaining, r.limiter.remainingLines = true, maxHeadBytes, maxHeadLines
	defer func() { r.limiter.readingHead = false }()
	for {
		response, err := http.ReadResponse(r.Reader, request)
		switch {
		case err != nil:
			return nil, err
		case IsFinalStatus(response.StatusCode):
			return response, nil
		case !isSkippedStatus(response.StatusCode):
			return nil, errors.Errorf("response has the invalid status %q", response.Status)
		}
	}
}

// Request is an HTTP/1.1 request to an endpoint, with its head already encoded.
type Request struct {
	Address        string // IP address and port
	Process        string // identifies the endpoint process; requests to different processes never share a connection
	Method         string
	Head           []byte   // request line and header, with the empty line
	Body           [][]byte // in pieces, which must not change until the request is written
	MaxConnections int      // bound on the open connections of this host to the endpoint; 0 for no bound
	// MaySend is called once there is a connection and reports whether the request may still be sent; nil if it always may.
	MaySend func() bool
	// Matches reports whether a response belongs to this request; other responses are skipped. Nil accepts every response.
	Matches func(*http.Response) bool
}

// Response is an endpoint's response. The caller must call Close; Read reads the body.
type Response struct {
	*http.Response
	SentAt        time.Time // when the request was written; for a body above maxSyncBodyBytes, when writing began
	conn          *conn
	detachContext func() bool   // stops watching the context; false if the context has already ended
	written       chan struct{} // closed when the request is no longer being written; nil if it was written before the response was read
	writeErr      error         // error of the write, once written is closed
	bodyRead      bool          // the body was read to its end
	noReuse       bool          // the connection must not be used again
	closed        bool
}

// Exchange sends a request and returns the response with its body unread. The error is ErrUnsent if no byte was sent,
// ErrWithdrawn if the request was no longer allowed, ErrConnectionLimit if no further connection may be opened, and
// ErrNoResponse otherwise. When the context ends, pending reads and writes of the exchange fail.
func (p *Pool) Exchange(ctx context.Context, request Request) (*Response, error) {
	c, err := p.getConn(ctx, request.Address, request.Process, request.MaxConnections)
	if err != nil {
		return nil, err
	}
	if request.MaySend != nil && !request.MaySend() {
		c.discard()
		return nil, ErrWithdrawn
	}
	response := &Response{conn: c}
	response.detachContext = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // a past deadline ends reads and writes
	if err := response.write(request); err != nil {
		response.closeConn()
		return nil, err
	}
	response.SentAt = time.Now()
	if err := response.readHead(request); err != nil {
		response.closeConn()
		return nil, errors.WithType(errors.Annotate(err, "connection: unable to read the response"), ErrNoResponse)
	}
	return response, nil
}

// write sends the request. One with a body above maxSyncBodyBytes is written in a goroutine while the response is read.
func (r *Response) write(request Request) error {
	length := 0
	for _, piece := range request.Body {
		length += len(piece)
	}
	if length > maxSyncBodyBytes {
		r.written = make(chan struct{})
		go func() {
			defer close(r.written)
			buffers := append(net.Buffers{request.Head}, request.Body...)
			_, r.writeErr = buffers.WriteTo(r.conn.Conn)
		}()
		return nil
	}
	message := request.Head
	for _, piece := range request.Body {
		message = append(message, piece...)
	}
	n, err := r.conn.Write(message)
	if err == nil {
		return nil
	}
	sentinel := ErrNoResponse
	if n == 0 {
		sentinel = ErrUnsent
	}
	return errors.WithType(errors.Annotate(err, "connection: unable to write the request"), sentinel)
}

// readHead reads the head of the response and skips responses to other requests.
func (r *Response) readHead(request Request) error {
	httpRequest := &http.Request{Method: request.Method}
	for strays := 0; strays <= maxStrayResponses; {
		response, err := r.conn.reader.readHead(httpRequest)
		if err != nil {
			return err
		}
		if request.Matches == nil || request.Matches(response) {
			r.Response = response
			return nil
		}
		r.noReuse = true
		strays++
		// The next response begins where the body ends, which is not known of a longer one.
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes+1)); err != nil || n > maxStrayBytes || response.Close {
			return errors.New("response belongs to another request, and no further one follows it")
		}
	}
	return errors.New("too many responses to other requests")
}

// Read reads the body of the response. A body that ends with the connection is complete only if the whole request was written: the
// kernel reports a reset once, and if the write gets the error, the read sees the end of the connection.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.Response.Body.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	if r.EndsWithConnection() && r.written != nil {
		if <-r.written; r.writeErr != nil {
			return n, errors.Annotate(r.writeErr, "connection: response ended before the request was written")
		}
	}
	r.bodyRead = true
	return n, io.EOF
}

// EndsWithConnection reports whether the response has neither a length nor chunks, so that its body ends with the connection.
func (r *Response) EndsWithConnection() bool {
	return r.Response.Body != http.NoBody && r.Response.ContentLength < 0 && len(r.Response.TransferEncoding) == 0
}

// DiscardOnClose makes Close close the connection instead of keeping it for later exchanges.
func (r *Response) DiscardOnClose() { r.noReuse = true }

// Close keeps the connection for later exchanges if the whole request was written and the whole response was read, and
// closes it otherwise. It does nothing when called again.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.RequestWritten() || r.writeErr != nil || !r.bodyRead || r.noReuse || r.Response.Close || r.conn.reader.Buffered() > 0 {
		r.closeConn()
		return
	}
	if !r.detachContext() {
		r.conn.discard() // the context has ended, so the deadline of the connection has passed
		return
	}
	r.conn.putIdle(idleLifetime(r.Response.Header, r.conn.pool.settings.IdleTimeout))
}

// RequestWritten reports whether the request is no longer being written, so that its body is not needed for this exchange.
func (r *Response) RequestWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case <-r.written:
		return true
	default:
		return false
	}
}

// closeConn stops watching the context and closes the connection.
func (r *Response) closeConn() {
	r.detachContext()
	r.conn.discard()
}

// idleLifetime returns how long a connection may stay idle: the timeout of the endpoint's Keep-Alive header less idleMargin,
// or the default if the header states none.
func idleLifetime(header http.Header, defaultLifetime time.Duration) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultLifetime
}
