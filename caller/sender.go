package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Connection settings towards endpoints.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 60 * time.Second
	idlePerEndpoint  = 512
	responseBufBytes = 16 << 10
	// largeBody is the size of a request's body above which it may not fit into the buffers of the
	// connection, so that writing it could wait for an endpoint that has answered already.
	largeBody = 64 << 10
)

// outgoing is a request for an endpoint.
type outgoing struct {
	method string
	target string // path and query
	body   []byte
	header http.Header
	once   bool // must not be sent twice
}

// sender sends attempts to endpoints.
type sender struct {
	connections *connections    // for most calls
	large       *http.Transport // for large bodies, which an endpoint may answer before it has read them
	single      *http.Transport // a new connection for each call
}

func newSender() *sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	large := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      responseBufBytes,
		DisableCompression:  true,
	}
	// A kept connection may have been closed by the endpoint just now; whether a call that
	// was written to it has run could not be told.
	single := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &sender{connections: newConnections(dialer.DialContext), large: large, single: single}
}

// send sends one attempt. Sent reports whether any byte of it may have left. Nothing is sent twice.
func (s *sender) send(ctx context.Context, address, attempt, resume string, out outgoing) (*http.Response, bool, error) {
	if out.once {
		return s.roundTrip(ctx, s.single, address, attempt, resume, out)
	}
	if len(out.body) > largeBody {
		return s.roundTrip(ctx, s.large, address, attempt, resume, out)
	}
	c, err := s.connections.get(ctx, address)
	if err != nil {
		return nil, false, err
	}
	if c.head, err = appendHead(c.head[:0], address, attempt, resume, out); err != nil {
		c.net.Close()
		return nil, false, err
	}
	response, err := c.exchange(ctx, out.method, out.body, func(c *connection) { s.connections.put(address, c) })
	if err != nil {
		c.net.Close()
	}
	return response, true, err
}

// roundTrip sends one attempt by a transport.
func (s *sender) roundTrip(ctx context.Context, transport *http.Transport, address, attempt, resume string, out outgoing) (*http.Response, bool, error) {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), out.method, "http://"+address+out.target, nil)
	if err != nil {
		return nil, false, err
	}
	if len(out.body) > 0 {
		// GetBody stays unset, so that the transport never sends the body a second time by itself.
		request.Body = io.NopCloser(bytes.NewReader(out.body))
		request.ContentLength = int64(len(out.body))
	}
	for name, values := range out.header {
		request.Header[name] = values
	}
	request.Header[idHeader] = []string{attempt}
	request.Header["User-Agent"] = nil
	if resume != "" {
		request.Header["Last-Event-Id"] = []string{resume}
	}
	response, err := transport.RoundTrip(request)
	return response, sent, err
}

// allowedHeaders are the headers of a caller that endpoints see.
var allowedHeaders = []string{"Content-Type", "Accept"}

// answerHeaders are the headers of an endpoint that callers see.
var answerHeaders = []string{"Content-Type", "Cache-Control", "Etag", "Location"}

// forwardHeader returns the headers for an endpoint: an allow-list, so that no key passes.
func forwardHeader(from http.Header, idempotencyKey string) http.Header {
	header := make(http.Header, len(allowedHeaders)+1)
	for _, name := range allowedHeaders {
		if values := from[name]; len(values) > 0 {
			header[name] = values[:1]
		}
	}
	if idempotencyKey != "" {
		// The transport repeats a call that failed on a kept connection when it sees this header
		// in its canonical form; on the wire the case makes no difference.
		header["idempotency-key"] = []string{idempotencyKey}
	}
	return header
}
