package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/connection"
)

// Settings of connections to endpoints.
const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 60 * time.Second
	maxIdlePerEndpoint = 512
	readBufferBytes    = 16 << 10
	maxHeadBytes       = 64 << 10 // of a response; net/http allows 10 MB
)

// endpointRequest is an HTTP request to an endpoint.
type endpointRequest struct {
	method     string
	target     string // path and query
	body       []byte
	header     http.Header
	atMostOnce bool // a second sending could run the call twice
}

// sender sends attempts to endpoints.
type sender struct {
	pooled   *http.Transport // reuses connections
	unpooled *http.Transport // opens a new connection for each request
}

func newSender() *sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         readBufferBytes,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
	// An endpoint may close an idle connection just when a request is written to it; the host could not tell whether that
	// request was run.
	unpooled := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &sender{pooled: pooled, unpooled: unpooled}
}

// send sends one attempt and returns the endpoint's response. The bool reports whether the endpoint may have received any of the
// request. A lastEventID asks for the events of a stream after that one.
func (s *sender) send(ctx context.Context, address, attemptID, lastEventID string, out endpointRequest) (*http.Response, bool, error) {
	maybeSent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), out.method, "http://"+address+out.target, nil)
	if err != nil {
		return nil, false, err
	}
	if len(out.body) > 0 {
		// Without GetBody the transport can't send the body a second time by itself.
		request.Body = io.NopCloser(bytes.NewReader(out.body))
		request.ContentLength = int64(len(out.body))
	}
	for name, values := range out.header {
		request.Header[name] = values
	}
	request.Header[requestIDHeader] = []string{attemptID}
	request.Header["User-Agent"] = nil
	if lastEventID != "" {
		request.Header["Last-Event-Id"] = []string{lastEventID}
	}
	transport := s.pooled
	if out.atMostOnce {
		transport = s.unpooled
	}
	response, err := transport.RoundTrip(request)
	if err == nil && !connection.IsFinalStatus(response.StatusCode) {
		response.Body.Close()
		return nil, maybeSent, errors.Errorf("caller: response has the invalid status %q", response.Status)
	}
	return response, maybeSent, err
}

// forwardedRequestHeaders are the headers of a caller's request that are forwarded to endpoints.
var forwardedRequestHeaders = []string{"Content-Type", "Accept"}

// forwardedResponseHeaders are the headers of an endpoint's response that are forwarded to callers.
var forwardedResponseHeaders = []string{"Content-Type", "Cache-Control", "Etag", "Location"}

// forwardHeader returns the headers of the request to an endpoint. Only an allow-list is forwarded, so that the caller's key
// never is.
func forwardHeader(callerHeader http.Header, idempotencyKey string) http.Header {
	header := make(http.Header, len(forwardedRequestHeaders)+1)
	for _, name := range forwardedRequestHeaders {
		if values := callerHeader[name]; len(values) > 0 {
			header[name] = values[:1]
		}
	}
	if idempotencyKey != "" {
		// The transport retries a request that failed on a reused connection if it finds this header under its canonical name.
		// For the endpoint the case of the name makes no difference.
		header["idempotency-key"] = []string{idempotencyKey}
	}
	return header
}
