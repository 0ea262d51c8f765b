package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/connection"
	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/platform"
)

const (
	// maxAnswerBytes bounds an answer that is held before it is handed to the caller.
	maxAnswerBytes = 16 << 20
	// heldShare is the part of the process's memory that all answers held at once may use.
	heldShare = 0.25
)

// Errors of an attempt.
const (
	errSilent  = errors.ConstError("endpoint is silent") // no answer came in time
	errEndless = errors.ConstError("answer is too long")
)

// wholeAnswer is an endpoint's complete answer.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write hands the answer to the caller and returns its status.
func (a *wholeAnswer) write(w http.ResponseWriter) int {
	platform.CopyAnswerHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
	return a.status
}

// attempt sends a request to one endpoint and hands its answer to the caller. It reports whether the request has
// been answered.
func (h *Host) attempt(parent context.Context, t *task, send dispatch.Send) bool {
	t.last, t.sent = send, h.Now()
	h.metrics.waited.Observe((t.sent - t.arrived).Seconds())
	finished := dispatch.Finished{Number: t.number}
	left := send.Until - h.Now()
	if left <= 0 {
		h.end(parent, t)
		return true
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if send.Silence > 0 {
		timer := time.AfterFunc(send.Silence, func() { cancel(errSilent) })
		defer timer.Stop()
	}
	started, began := h.Now(), time.Now()
	out := platform.EncodeAttempt(t.request, send, left, t.resume)
	out.Allowed = func() bool { return h.serves(send.Endpoint) }
	answer, err := h.connections.Exchange(ctx, out)
	if err != nil {
		return h.failed(parent, ctx, t, err)
	}
	defer answer.Close()
	finished.Took = h.Now() - started
	t.sending = started - send.Chosen + answer.Sent.Sub(began)
	h.metrics.sending.Observe(t.sending.Seconds())
	verdict := platform.Judge(answer.Response)
	finished.Outcome, finished.Back = verdict.Outcome, verdict.Back
	if !verdict.Usable {
		h.discard(answer, verdict.Outcome)
		h.finish(t, finished, nil)
		return false
	}
	if send.Route.Stream && answer.StatusCode == http.StatusOK {
		return h.stream(parent, ctx, t, answer)
	}
	return h.whole(parent, ctx, t, answer, finished)
}

// serves reports whether an endpoint that was chosen is still registered and does not leave.
func (h *Host) serves(e directory.Endpoint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, is := h.directory.Endpoint(e.ID)
	return is && known.Same(e) && !known.Leaving
}

// discard reads the short answer of an endpoint that did not run the request, so that the connection can be used
// again. A connection with an answer that is not the endpoint's own is closed.
func (h *Host) discard(answer *connection.Answer, outcome dispatch.Outcome) {
	if outcome == dispatch.Lost {
		answer.Spoil()
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxAnswerBytes)); err != nil {
		h.log.Debug("entry: unable to read a refusal", "error", err)
	}
}

// finish reports the end of an attempt.
func (h *Host) finish(t *task, f dispatch.Finished, cause error) {
	if f.Outcome != dispatch.Done {
		h.log.Info("entry: attempt failed", "request", t.request.ID, "attempt", t.last.Attempt, "endpoint", t.last.Endpoint.ID,
			"outcome", f.Outcome.String(), "took", f.Took.String(), "begun", t.begun, "error", cause)
	}
	h.metrics.attempts.WithLabelValues(f.Outcome.String()).Inc()
	h.Apply(f)
}

// failed ends an attempt without a usable answer.
func (h *Host) failed(parent, ctx context.Context, t *task, err error) bool {
	if parent.Err() != nil {
		h.end(parent, t)
		return true
	}
	f := dispatch.Finished{Number: t.number, Outcome: dispatch.Lost}
	switch {
	case errors.Is(err, connection.ErrUnsent):
		f.Outcome = dispatch.Unsent
	case errors.Is(err, connection.ErrFull):
		f.Outcome = dispatch.Refused
	case errors.Is(context.Cause(ctx), errSilent):
		f.Outcome = dispatch.Silent
	}
	h.finish(t, f, err)
	return false
}

// whole reads a complete answer before it hands it over, so that one cut short never reaches the caller.
func (h *Host) whole(parent, ctx context.Context, t *task, answer *connection.Answer, f dispatch.Finished) bool {
	held := &heldReader{source: answer, all: &h.held, most: int64(heldShare * float64(h.settings.Memory*megabyte))}
	defer held.release()
	body, err := io.ReadAll(held)
	if err != nil {
		return h.failed(parent, ctx, t, errors.WithType(errors.Annotate(err, "entry: unable to read an answer"), connection.ErrBroken))
	}
	got := &wholeAnswer{status: answer.StatusCode, header: answer.Header, body: body}
	if f.Outcome == dispatch.Failure {
		t.held = got
		h.finish(t, f, nil)
		return false
	}
	h.finish(t, f, nil)
	status := got.write(t.writer)
	h.metrics.answered.WithLabelValues("whole").Inc()
	h.metrics.whole.Observe(f.Took.Seconds())
	h.log.Info("entry: answered", "request", t.request.ID, "status", status, "account", t.last.Account, "work", t.request.Describe(),
		"endpoint", t.last.Endpoint.ID, "attempt", t.last.Attempt, "after", (h.Now() - t.arrived).String(), "sending", t.sending.String(), "took", f.Took.String())
	return true
}

// heldReader reads an answer that is held in memory, up to bounds for one answer and for all of them.
type heldReader struct {
	source io.Reader
	all    *atomic.Int64 // bytes of all answers held
	most   int64         // of all
	held   int64
}

// Read reads from the source.
func (r *heldReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.held += int64(n)
	if r.all.Add(int64(n)) > max(r.most, maxAnswerBytes) || r.held > maxAnswerBytes {
		return n, errEndless
	}
	return n, err
}

// release says that the answer is no longer held.
func (r *heldReader) release() { r.all.Add(-r.held) }

// stream hands the events of a stream over as they come.
func (h *Host) stream(parent, ctx context.Context, t *task, answer *connection.Answer) bool {
	w := t.writer
	control := http.NewResponseController(w)
	if !t.begun {
		if err := control.SetWriteDeadline(time.Now().Add(t.until - h.Now() + writeSlack)); err != nil {
			h.log.Warn("entry: unable to bound writing", "request", t.request.ID, "error", err)
		}
	}
	var events eventBuffer
	buffer := make([]byte, 4<<10)
	reported := false
	for {
		n, err := answer.Read(buffer)
		if whole := events.add(buffer[:n]); len(whole) > 0 {
			if !reported {
				reported = true
				t.first = h.Now() - t.sent
				h.metrics.countFirst(t.first, t.last.Wait)
				h.Apply(dispatch.First{Number: t.number})
			}
			t.begin(answer)
			if _, failed := w.Write(whole); failed != nil {
				h.Apply(dispatch.Left{Number: t.number})
				return true
			}
			if failed := control.Flush(); failed != nil {
				h.Apply(dispatch.Left{Number: t.number})
				return true
			}
			t.resume = events.last
		}
		if events.tooLong() {
			answer.Spoil()
			return h.broken(parent, ctx, t, errEndless)
		}
		if err == nil {
			continue
		}
		if err == io.EOF && events.empty() {
			return h.streamed(t, answer)
		}
		return h.broken(parent, ctx, t, err)
	}
}

// begin sets the header of the answer from the first endpoint that has something to hand over. An attempt that fails
// before leaves no trace in a later answer.
func (t *task) begin(answer *connection.Answer) {
	if t.begun {
		return
	}
	t.begun = true
	platform.CopyAnswerHeader(t.writer.Header(), answer.Header)
	t.writer.WriteHeader(answer.StatusCode)
}

// streamed ends a stream that is complete.
func (h *Host) streamed(t *task, answer *connection.Answer) bool {
	h.finish(t, dispatch.Finished{Number: t.number, Outcome: dispatch.Done, Begun: true}, nil)
	t.begin(answer)
	h.metrics.answered.WithLabelValues("stream").Inc()
	h.log.Info("entry: streamed", "request", t.request.ID, "status", answer.StatusCode, "account", t.last.Account, "work", t.request.Describe(),
		"endpoint", t.last.Endpoint.ID, "attempt", t.last.Attempt, "after", (h.Now() - t.arrived).String(), "last", t.resume, "estimate", t.last.Wait.String(), "first", t.first.String(),
		"urgency", t.last.Urgency, "waited", (t.sent - t.arrived).String(), "sending", t.sending.String())
	return true
}

// broken ends an attempt whose stream broke off. Another endpoint may go on where the route allows it, but not when
// events without an id were handed over: it would begin anew, and the pieces of two runs would be joined.
func (h *Host) broken(parent, ctx context.Context, t *task, err error) bool {
	if parent.Err() != nil {
		h.end(parent, t)
		return true
	}
	outcome := dispatch.Lost
	if errors.Is(context.Cause(ctx), errSilent) {
		outcome = dispatch.Silent
	}
	if t.begun && t.resume == "" {
		h.finish(t, dispatch.Finished{Number: t.number, Outcome: outcome, Begun: true}, err)
		h.refuse(t, dispatch.Refuse{Number: t.number, Account: t.last.Account, Route: t.last.Route.Name, Reason: dispatch.Broken, Ran: dispatch.RanUnknown})
		return true
	}
	h.finish(t, dispatch.Finished{Number: t.number, Outcome: outcome}, err)
	return false
}
