package entry

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/budget"
	"magnoliahoist/connection"
	"magnoliahoist/platform"
)

const (
	// maxResponseBytes bounds a response that is buffered before it is sent to the caller.
	maxResponseBytes = 16 << 20
	// A caller may take readGrace and the time of the response's bytes at minReadRate to read a whole response, but no longer than
	// maxReadTime. The kernel takes short responses at once, so that the bounds concern callers that don't read.
	readGrace   = 5 * time.Second
	minReadRate = 64 << 10 // bytes a second
	maxReadTime = 30 * time.Second
	// streamStall is how long a caller may leave a stream unread once the kernel's buffers are full; up to half as long again, because the
	// deadline is not set for each event. Endpoints cut off streams that stay unread for some seconds.
	streamStall = 2 * time.Second
	// freeEventBytes is what a stream may hold of an incomplete event outside the budget; endpoints send events below 1 KB.
	freeEventBytes = 16 << 10
	// roomWait is how long the reading of a response waits for room, and roomInterval how often it looks. An endpoint has already done the
	// work for it.
	roomWait     = time.Second
	roomInterval = 20 * time.Millisecond
)

// bufferedResponse is an endpoint's complete response. Its body is in pieces.
type bufferedResponse struct {
	status int
	header http.Header
	body   [][]byte
}

// readResponse reads the whole body of a response within the budget. A much smaller response may take its room; drop then ends the attempt.
func (h *Host) readResponse(ctx context.Context, t *task, incoming *connection.Response, drop func()) ([][]byte, error) {
	h.memory.answer(t, drop)
	body, err := h.readResponsePieces(ctx, t, incoming)
	if !h.memory.answered(t) {
		h.memory.report(t, noRoomAnswer)
		err = errNoAnswerRoom
	}
	if err != nil {
		h.releaseResponse(t, body)
		return nil, err
	}
	return body, nil
}

// readResponsePieces reads the pieces of a response. With an error it returns those that it has read.
func (h *Host) readResponsePieces(ctx context.Context, t *task, incoming *connection.Response) ([][]byte, error) {
	var body [][]byte
	var received int64
	for {
		remaining := int64(-1)
		if incoming.ContentLength >= 0 {
			remaining = incoming.ContentLength - received
		}
		piece, err := h.readResponsePiece(ctx, t, incoming, pieceSize(received, remaining))
		received += int64(len(piece))
		if len(piece) > 0 {
			body = append(body, piece)
		}
		if err == nil && received > maxResponseBytes {
			err = errResponseTooLong
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// readResponsePiece reads the next piece of a response. It waits up to roomWait for room.
func (h *Host) readResponsePiece(ctx context.Context, t *task, incoming io.Reader, size int64) ([]byte, error) {
	for waited := time.Duration(0); !h.memory.grow(t, budget.Response, size); waited += roomInterval {
		if waited >= roomWait || ctx.Err() != nil || !h.memory.fits(t, budget.Response, size) {
			h.memory.report(t, noRoomAnswer)
			return nil, errNoAnswerRoom
		}
		time.Sleep(roomInterval)
	}
	piece := make([]byte, size)
	for filled := 0; ; {
		n, err := incoming.Read(piece[filled:])
		filled += n
		if filled == 0 && err != nil {
			h.memory.release(t, budget.Response, size)
			return nil, err
		}
		if err != nil || filled == len(piece) {
			return piece[:filled], err
		}
	}
}

// releaseResponse releases a response's memory.
func (h *Host) releaseResponse(t *task, body [][]byte) {
	for _, piece := range body {
		h.memory.release(t, budget.Response, int64(cap(piece)))
	}
}

// sendWhole sends a response to the caller and returns its status. If the caller does not read it in time, it closes the connection.
func (h *Host) sendWhole(t *task, r *bufferedResponse) int {
	length := 0
	for _, piece := range r.body {
		length += len(piece)
	}
	platform.CopyResponseHeader(t.writer.Header(), r.header)
	t.writer.Header().Set("Content-Length", strconv.Itoa(length))
	h.boundWrite(t, length)
	h.memory.send(t)
	t.writer.WriteHeader(r.status)
	for i, piece := range r.body {
		if _, err := t.writer.Write(piece); errors.Is(err, os.ErrDeadlineExceeded) {
			h.memory.report(t, slowReader)
			h.breakOff(t)
		}
		if r.body[i] = nil; i < len(r.body)-1 { // the end of the request releases the last one
			h.memory.release(t, budget.Response, int64(cap(piece)))
			h.memory.progress(t)
		}
	}
	return r.status
}

// boundWrite sets the time until which the caller must have read a response of some bytes.
func (h *Host) boundWrite(t *task, length int) {
	within := min(readGrace+time.Duration(length)*time.Second/minReadRate, maxReadTime)
	if err := http.NewResponseController(t.writer).SetWriteDeadline(time.Now().Add(within)); err != nil {
		h.log.Debug("entry: unable to set the write deadline", "request", t.request.ID, "error", err)
	}
}

// streamWriter sends the events of a stream to the caller.
type streamWriter struct {
	host    *Host
	task    *task
	control *http.ResponseController
	until   time.Time // end of the request with writeGrace
	armedAt time.Time // when the write deadline was last set
	held    int64     // bytes of an incomplete event that the budget covers
	covered bool      // the budget may drop the response
	drop    func()    // ends the attempt
}

// newStreamWriter returns a writer for the events of an attempt, which drop ends. The caller must call release.
func (h *Host) newStreamWriter(t *task, drop func()) *streamWriter {
	return &streamWriter{host: h, task: t, drop: drop, control: http.NewResponseController(t.writer), until: time.Now().Add(t.deadline - h.Now() + writeGrace)}
}

// send sends events. If the caller does not read them in time or has left, it ends the request and closes the connection.
func (w *streamWriter) send(events []byte) error {
	w.arm()
	if _, err := w.task.writer.Write(events); err != nil {
		return err
	}
	return w.control.Flush()
}

// arm sets the write deadline if it was not set within streamStall/2. It must be called before each write, also before the end of the
// stream, which may come long after the last event.
func (w *streamWriter) arm() {
	now := time.Now()
	if now.Sub(w.armedAt) <= streamStall/2 {
		return
	}
	w.armedAt = now
	deadline := now.Add(streamStall + streamStall/2)
	if w.until.Before(deadline) {
		deadline = w.until
	}
	if err := w.control.SetWriteDeadline(deadline); err != nil {
		w.host.log.Warn("entry: unable to set the write deadline", "request", w.task.request.ID, "error", err)
	}
}

// hold lets the stream hold an incomplete event of some bytes. It returns false if there is no room.
func (w *streamWriter) hold(bytes int) bool {
	missing := int64(bytes) - freeEventBytes - w.held
	if missing <= 0 {
		return true
	}
	missing = max(missing, freeEventBytes)
	if !w.covered {
		w.covered = true
		w.host.memory.answer(w.task, w.drop)
	}
	if !w.host.memory.grow(w.task, budget.Response, missing) {
		w.host.memory.report(w.task, noRoomAnswer)
		return false
	}
	w.held += missing
	return true
}

// release releases the memory of an incomplete event.
func (w *streamWriter) release() {
	if !w.covered {
		return
	}
	if !w.host.memory.answered(w.task) {
		w.host.memory.report(w.task, noRoomAnswer)
	}
	w.host.memory.release(w.task, budget.Response, w.held)
}
