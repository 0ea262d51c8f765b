package entry

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/budget"
	"magnoliahoist/dispatch"
	"magnoliahoist/platform"
)

const (
	// defaultMaxBodyBytes bounds a request's body until a configuration sets the bound.
	defaultMaxBodyBytes = 4 << 20
	// A body may take bodyGrace and the time of its bytes at minBodyRate, but no longer than maxBodyTime and its caller's deadline.
	// Callers within the limits wait 1.5 to 15 s for the whole response and send 28 KB at once.
	bodyGrace   = 10 * time.Second
	minBodyRate = 64 << 10 // bytes a second
	maxBodyTime = 30 * time.Second
	// Bodies and responses are read in pieces. One of unknown length starts with minPieceBytes, and each piece is twice as long as the one
	// before, so that many short ones hold little and a long one has few pieces.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
	// bodyMargin is what a body of unknown length may hold beyond its bytes: the rest of its last piece.
	bodyMargin = 2 * maxPieceBytes
	// maxBodyFraction is the largest fraction of the host's memory for one body.
	maxBodyFraction = 0.3
	// refusedBodyTimeout and refusedBodyBytes bound how much of a body is read after it was refused.
	refusedBodyTimeout = 500 * time.Millisecond
	refusedBodyBytes   = 256 << 10
	// noRoomRetryAfter is the retry-after of a request for which there was no memory. Requests end within seconds.
	noRoomRetryAfter = time.Second
	// callerBufferBytes is the size of the kernel's buffers of a caller's connection in each direction. By default they grow to several
	// megabytes, which the platform counts as memory of the host.
	callerBufferBytes = 64 << 10
	// endpointBufferBytes is the same for connections to endpoints, of which there are fewer.
	endpointBufferBytes = 256 << 10
)

// Errors of a request whose body can't be read.
const (
	errTooLarge = errors.ConstError("body is too large")
	errNoRoom   = errors.ConstError("no memory for the body")
	errEvicted  = errors.ConstError("body was evicted")
)

// pieceSize returns the size of the next piece of a body or response after some bytes. The number of bytes that remain is negative if it
// is unknown.
func pieceSize(received, remaining int64) int64 {
	if remaining >= 0 {
		return min(max(remaining, 1), maxPieceBytes)
	}
	return min(max(received, minPieceBytes), maxPieceBytes)
}

// bodyDeadline returns the time until which the next part of a body must arrive.
func bodyDeadline(began time.Time, received int64, limit time.Duration) time.Time {
	return began.Add(min(bodyGrace+time.Duration(received)*time.Second/minBodyRate, limit))
}

// maxBodyBytes returns the size of the largest body: the configuration's, but no more than a part of the memory. The budget is raised to
// four thirds of it, and must stay below the collector's limit.
func (h *Host) maxBodyBytes() int64 {
	largest := int64(defaultMaxBodyBytes)
	if c := h.catalog.Load(); c != nil && c.Limits().MaxBodyBytes > 0 {
		largest = c.Limits().MaxBodyBytes
	}
	if h.settings.MemoryMB > 0 {
		largest = min(largest, int64(maxBodyFraction*float64(h.settings.MemoryMB*megabyte)))
	}
	return largest
}

// readBody reads the whole body into the request, within the budget. The errors are errTooLarge, errNoRoom, errEvicted and those of the
// connection.
func (h *Host) readBody(t *task) error {
	r, maxBytes := t.request.HTTPRequest, h.maxBodyBytes()
	if r.ContentLength > maxBytes {
		return errTooLarge
	}
	if r.ContentLength == 0 {
		return nil
	}
	limit := maxBodyTime
	if t.request.CallerTimeout > 0 {
		limit = min(limit, t.request.CallerTimeout)
	}
	began, received := time.Now(), int64(0)
	h.memory.receive(t, maxBytes+bodyMargin)
	for {
		if open, err := h.memory.extend(t, bodyDeadline(began, received, limit)); !open {
			return errEvicted
		} else if err != nil {
			return errors.Annotate(err, "entry: unable to set the read deadline of a request body")
		}
		remaining := int64(-1)
		if r.ContentLength > 0 {
			remaining = r.ContentLength - received
		}
		piece, err := h.readPiece(t, min(pieceSize(received, remaining), maxBytes+1-received))
		received += int64(len(piece))
		if len(piece) > 0 {
			t.request.Body = append(t.request.Body, piece)
		}
		switch {
		case received > maxBytes:
			return errTooLarge
		case err == io.EOF || received == r.ContentLength:
			if !h.memory.complete(t) {
				return errEvicted
			}
			return errors.Annotate(http.NewResponseController(t.writer).SetReadDeadline(time.Time{}), "entry: unable to clear the read deadline")
		case err != nil:
			return errors.Annotate(err, "entry: unable to read a request body")
		}
	}
}

// readPiece reads the next piece of a task's body. The error is io.EOF at the end of the body, errNoRoom, errEvicted or one of the
// connection.
func (h *Host) readPiece(t *task, size int64) ([]byte, error) {
	if !h.memory.grow(t, budget.Body, size) {
		if !h.memory.progress(t) {
			return nil, errEvicted
		}
		return nil, errNoRoom
	}
	piece := make([]byte, size)
	for filled := 0; ; {
		n, err := t.request.HTTPRequest.Body.Read(piece[filled:])
		filled += n
		if !h.memory.progress(t) {
			return nil, errEvicted
		}
		if err != nil || filled == len(piece) {
			return piece[:filled], err
		}
	}
}

// refuseByHeader refuses a request that is refused whatever its body is, without holding its body. It reports whether it did.
func (h *Host) refuseByHeader(t *task) bool {
	h.mu.Lock()
	refusal, refused := h.state.RefusalByHeader(h.Now(), h.arrival(t))
	h.mu.Unlock()
	if refused {
		h.refuseUnread(t, func() { h.refuse(t, refusal) })
	}
	return refused
}

// refuseBody ends a request whose body could not be read.
func (h *Host) refuseBody(t *task, err error) {
	h.memory.close(t)
	t.request.Body = nil
	var cause shortage
	refuse := func() {
		refusal := dispatch.RefuseRequest{Number: t.number, Reason: dispatch.Overloaded, RetryAfter: noRoomRetryAfter}
		platform.WriteRefusal(t.writer, refusal.Reason, refusal.Ran, refusal.RetryAfter)
		h.metrics.countRefusal(refusal)
	}
	switch {
	case errors.Is(err, errTooLarge):
		cause, refuse = bodyTooLarge, func() { http.Error(t.writer, string(errTooLarge), http.StatusRequestEntityTooLarge) }
	case errors.Is(err, errNoRoom):
		cause = noRoom
	case errors.Is(err, errEvicted):
		cause = bodyEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		cause, refuse = bodyTooSlow, func() { http.Error(t.writer, "body took too long", http.StatusRequestTimeout) }
	default:
		h.log.Info("entry: unable to read a request body", "request", t.request.ID, "error", err)
		panic(http.ErrAbortHandler)
	}
	h.memory.report(t, cause)
	h.refuseUnread(t, refuse)
}

// refuseUnread responds to a request whose body is not read. A short body is discarded first, so that the connection can be kept. Of
// another one, a part is discarded after the response: closing a connection with unread bytes resets it, and the caller may lose the
// response.
func (h *Host) refuseUnread(t *task, respond func()) {
	h.boundWrite(t, 0)
	body, control := t.request.HTTPRequest.Body, http.NewResponseController(t.writer)
	if err := control.SetReadDeadline(time.Now().Add(refusedBodyTimeout)); err != nil {
		h.log.Debug("entry: unable to set the read deadline of a refused request body", "error", err)
	}
	if length := t.request.HTTPRequest.ContentLength; length >= 0 && length <= refusedBodyBytes {
		if _, err := io.Copy(io.Discard, body); err == nil {
			respond()
			return
		}
	}
	t.writer.Header().Set("Connection", "close")
	respond()
	if control.Flush() != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, body, refusedBodyBytes); err != nil && err != io.EOF {
		h.log.Debug("entry: unable to discard the rest of a refused request body", "error", err)
	}
}

// boundBuffers bounds the kernel's buffers of a caller's connection.
func (h *Host) boundBuffers(conn net.Conn) {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return
	}
	for _, set := range []func(int) error{tcp.SetReadBuffer, tcp.SetWriteBuffer} {
		if err := set(callerBufferBytes); err != nil {
			h.log.Debug("entry: unable to bound the buffers of a connection", "error", err)
		}
	}
}
