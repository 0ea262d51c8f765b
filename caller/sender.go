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
	kept   *http.Transport // keeps connections
	single *http.Transport // a new connection for each call
}

func newSender() *sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	kept := &http.Transport{
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
	return &sender{kept: kept, single: single}
}

// send sends one attempt. Sent reports whether any byte of it may have left.
func (s *sender) send(ctx context.Context, address, attempt, resume string, out outgoing) (*http.Response, bool, error) {
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
	transport := s.kept
	if out.once {
		transport = s.single
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
