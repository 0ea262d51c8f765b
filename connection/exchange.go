package connection

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// readerSize holds the head of an answer or several events of a stream.
	readerSize = 4 << 10
	// directBody is the size in bytes up to which a request is written in one call. A longer body is written
	// beside reading, because an endpoint may answer before it has read all of it.
	directBody = 8 << 10
	// idleMargin is left of the time for which an endpoint keeps an idle connection.
	idleMargin = 700 * time.Millisecond
	// maxHeadBytes bounds what is read of an answer until its head is whole, provisional answers included. Endpoints send
	// heads below 1 KB; one in trouble may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxStrays is how many answers to other requests are skipped before a connection is given up.
	maxStrays = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
)

// reader reads answers and bounds their heads.
type reader struct {
	*bufio.Reader
	source *headBound
}

func newReader(source io.Reader) *reader {
	bound := &headBound{source: source}
	return &reader{bufio.NewReaderSize(bound, readerSize), bound}
}

// headBound reads from a source, while a head is read only up to a number of bytes.
type headBound struct {
	source io.Reader
	head   bool
	left   int
}

// errEndless means that the head of an answer is longer than any that an endpoint sends.
const errEndless = errors.ConstError("head of the answer is too long")

// Read reads from the source.
func (b *headBound) Read(buffer []byte) (int, error) {
	if !b.head {
		return b.source.Read(buffer)
	}
	if b.left <= 0 {
		return 0, errEndless
	}
	n, err := b.source.Read(buffer[:min(len(buffer), b.left)])
	b.left -= n
	return n, err
}

// readHead reads the head of an answer.
func (r *reader) readHead(request *http.Request) (*http.Response, error) {
	r.source.head, r.source.left = true, maxHeadBytes
	defer func() { r.source.head = false }()
	for {
		response, err := http.ReadResponse(r.Reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// Outgoing is a request as it goes over the wire.
type Outgoing struct {
	Address string // IP number and port
	Owner   string // endpoint process that is meant; connections are not shared between processes
	Method  string
	Head    []byte // request line and header, with the empty line
	Body    []byte
	Most    int // connections of this host to the endpoint; 0 for no bound
	// Allowed reports whether the request may still be sent, once there is a connection; nil when it always may.
	Allowed func() bool
	// Mine reports whether an answer is to this request; others are skipped.
	Mine func(*http.Response) bool
}

// Answer is an endpoint's answer. Its body must be read or closed.
type Answer struct {
	*http.Response
	Sent    time.Time // when the request, or the first part of a long one, had been written
	conn    *conn
	stop    func() bool
	written chan error // result of the writer, nil when the request was written at once
	whole   bool       // the body was read to its end
	spoiled bool       // the connection must not be used again
}

// Exchange sends a request and returns the head of the answer. The error is ErrUnsent when no byte has left, also when
// the request was no longer allowed, ErrFull when no connection may be opened, ErrBroken otherwise; the context's end
// breaks the exchange off.
func (p *Pool) Exchange(ctx context.Context, out Outgoing) (*Answer, error) {
	c, err := p.take(ctx, out.Address, out.Owner, out.Most)
	if err != nil {
		return nil, err
	}
	if out.Allowed != nil && !out.Allowed() {
		c.discard()
		return nil, errors.Annotate(ErrUnsent, "connection: request is no longer allowed")
	}
	a := &Answer{conn: c}
	a.stop = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	if err := a.write(out); err != nil {
		a.abandon()
		return nil, err
	}
	a.Sent = time.Now()
	if err := a.readHead(out); err != nil {
		a.abandon()
		return nil, errors.WithType(errors.Annotate(err, "connection: unable to read the answer"), ErrBroken)
	}
	return a, nil
}

// write sends the request, a long body beside the reading of the answer.
func (a *Answer) write(out Outgoing) error {
	if len(out.Body) > directBody {
		a.written = make(chan error, 1)
		go func() {
			_, err := a.conn.Write(append(out.Head, out.Body...))
			a.written <- err
		}()
		return nil
	}
	n, err := a.conn.Write(append(out.Head, out.Body...))
	if err == nil {
		return nil
	}
	kind := ErrBroken
	if n == 0 {
		kind = ErrUnsent
	}
	return errors.WithType(errors.Annotate(err, "connection: unable to write the request"), kind)
}

// readHead reads the head of the answer and skips answers to other requests.
func (a *Answer) readHead(out Outgoing) error {
	request := &http.Request{Method: out.Method}
	for strays := 0; strays <= maxStrays; {
		response, err := a.conn.reader.readHead(request)
		if err != nil {
			return err
		}
		if out.Mine == nil || out.Mine(response) {
			a.Response = response
			return nil
		}
		a.spoiled = true
		strays++
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil || response.Close {
			return errors.New("answer to another request")
		}
	}
	return errors.New("answers to other requests")
}

// Read reads the body.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.Response.Body.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Spoil makes Close close the connection.
func (a *Answer) Spoil() { a.spoiled = true }

// Close keeps the connection for later exchanges when the answer was read to its end, and closes it otherwise.
func (a *Answer) Close() {
	if !a.whole || a.spoiled || a.Response.Close || a.conn.reader.Buffered() > 0 || !a.hasWritten() {
		a.abandon()
		return
	}
	if !a.stop() {
		a.conn.discard() // the context has ended meanwhile
		return
	}
	a.conn.keep(idleLife(a.Response.Header, a.conn.pool.settings.Idle))
}

// hasWritten reports whether the whole request has been written.
func (a *Answer) hasWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// abandon closes the connection.
func (a *Answer) abandon() {
	a.stop()
	a.conn.discard()
}

// idleLife returns how long a connection may stay idle by what the endpoint says.
func idleLife(header http.Header, unstated time.Duration) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return unstated
}
