package entry

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/connection"
	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
	"magnoliahoist/platform"
)

// Errors of an attempt.
const (
	errNoResponse      = errors.ConstError("endpoint did not respond in time")
	errResponseTooLong = errors.ConstError("response is too long")
	errNoAnswerRoom    = errors.ConstError("no memory for the response")
	errOutdated        = errors.ConstError("registrations of endpoints are not known to be current")
	errBrokenOff       = errors.ConstError("response ended with the connection of an endpoint that has gone, or before an event")
)

// attempt sends a request to one endpoint and relays its response to the caller. It reports whether the request is
// finished; otherwise another attempt may follow.
func (h *Host) attempt(parent context.Context, t *task, send dispatch.SendAttempt) bool {
	t.lastSend, t.sentAt, t.responseStarted = send, h.Now(), false
	h.metrics.waited.Observe((t.sentAt - t.arrived).Seconds())
	result := dispatch.AttemptFinished{Number: t.number}
	remaining := send.Deadline - h.Now()
	if remaining <= 0 {
		h.abort(parent, t)
		return true
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if send.ResponseTimeout > 0 {
		timer := time.AfterFunc(send.ResponseTimeout, func() { cancel(errNoResponse) })
		defer timer.Stop()
	}
	if !h.mayGoOn(parent, t) {
		h.reportAttempt(t, dispatch.AttemptFinished{Number: t.number, Outcome: dispatch.Withdrawn}, errOutdated)
		return false
	}
	h.recordVersion(t)
	started, began := h.Now(), time.Now()
	encoded := platform.EncodeAttempt(t.request, send, remaining, t.lastEventID)
	encoded.MaySend = func() bool { return h.maySend(t.number, send.Endpoint) }
	response, err := h.connections.Exchange(ctx, encoded)
	if err != nil {
		return h.failAttempt(parent, ctx, t, err)
	}
	defer response.Close()
	result.TimeToFirstByte = h.Now() - started
	t.sendingTime = started - send.ChosenAt + response.SentAt.Sub(began)
	h.metrics.sending.Observe(t.sendingTime.Seconds())
	h.heedNotice(send.Endpoint, platform.DecodeNotice(response.Response))
	class := platform.ClassifyResponse(response.Response)
	result.Outcome, result.RetryAfter = class.Outcome, class.RetryAfter
	if !class.Usable {
		h.discardBody(response, class.Outcome)
		h.reportAttempt(t, result, nil)
		return false
	}
	if t.headWritten && !t.continues(response) {
		response.DiscardOnClose()
		h.reportAttempt(t, dispatch.AttemptFinished{Number: t.number, Outcome: dispatch.Failure}, nil)
		return false
	}
	if send.Route.Stream && response.StatusCode == http.StatusOK {
		return h.relayStream(parent, ctx, cancel, t, response)
	}
	return h.relayWhole(parent, ctx, cancel, t, response, result)
}

// maySend reports whether a request may still be sent to a chosen endpoint: the endpoint is registered and takes requests, and the
// state machine has not learned anything against it since.
func (h *Host) maySend(number uint64, e directory.Endpoint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, registered := h.directory.Endpoint(e.ID)
	return registered && known.SameProcess(e) && known.TakesRequests() && h.state.MaySend(h.Now(), number)
}

// heedNotice applies what an endpoint's response says of the endpoint: it leaves, it is cold, or it wants no requests for some
// time.
func (h *Host) heedNotice(e directory.Endpoint, notice platform.Notice) {
	if notice == (platform.Notice{}) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if notice.Rest > 0 {
		h.log.Info("entry: endpoint asked for rest", "endpoint", e.ID, "for", notice.Rest.String())
		h.apply(dispatch.EndpointResting{Endpoint: e, For: notice.Rest})
	}
	if notice.Cold > 0 {
		h.apply(dispatch.EndpointCold{Endpoint: e, For: notice.Cold})
	}
	if notice.Leaving && h.directory.MarkLeaving(h.Now(), e) {
		h.log.Info("entry: endpoint said in a response that it leaves", "endpoint", e.ID, "address", e.Address)
		h.publishEndpoints()
	}
}

// discardBody reads the short response of an endpoint that did not run the request, so that the connection can be
// reused. If the response is not the endpoint's own, it marks the connection to be closed instead.
func (h *Host) discardBody(response *connection.Response, outcome dispatch.Outcome) {
	if outcome == dispatch.ResponseLost {
		response.DiscardOnClose()
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response, maxResponseBytes)); err != nil {
		h.log.Debug("entry: unable to discard a response body", "error", err)
	}
}

// reportAttempt logs and counts the end of an attempt and reports it to the state machine.
func (h *Host) reportAttempt(t *task, result dispatch.AttemptFinished, cause error) {
	if result.Outcome != dispatch.Done {
		h.log.Info("entry: attempt failed", "request", t.request.ID, "attempt", t.lastSend.Attempt, "endpoint", t.lastSend.Endpoint.ID, "software", t.lastSend.Endpoint.Software,
			"outcome", result.Outcome.String(), "took", result.TimeToFirstByte.String(), "begun", t.headWritten, "started", t.responseStarted, "parts", t.request.DescribeParts(), "error", cause)
	}
	h.metrics.attempts.WithLabelValues(result.Outcome.String()).Inc()
	h.Apply(result)
	if result.EndpointCrashed {
		h.shareCrash(t)
	}
}

// failAttempt ends an attempt without a usable response and reports whether the request is finished.
func (h *Host) failAttempt(parent, ctx context.Context, t *task, err error) bool {
	if parent.Err() != nil {
		h.abort(parent, t)
		return true
	}
	result := dispatch.AttemptFinished{Number: t.number, Outcome: dispatch.ResponseLost}
	switch {
	case errors.Is(err, connection.ErrUnsent):
		result.Outcome = dispatch.NotSent
	case errors.Is(err, connection.ErrWithdrawn):
		result.Outcome = dispatch.Withdrawn
	case errors.Is(err, connection.ErrConnectionLimit):
		result.Outcome = dispatch.Refused
	case errors.Is(err, errNoAnswerRoom):
		result.Outcome = dispatch.NoRoom
	case errors.Is(context.Cause(ctx), errNoResponse):
		result.Outcome = dispatch.ResponseTimedOut
	default:
		result.EndpointCrashed = h.endpointCrashed(ctx, t)
	}
	h.reportAttempt(t, result, err)
	return false
}

// endpointCrashed reports whether the endpoint of the last attempt has ended: it has closed the connection of a generation
// before it began to answer, and refuses new ones.
func (h *Host) endpointCrashed(ctx context.Context, t *task) bool {
	if _, isGeneration := t.request.Work.(intake.Generation); !isGeneration || t.responseStarted {
		return false
	}
	return h.connections.Refuses(ctx, t.lastSend.Endpoint.Address)
}

// relayWhole buffers the complete response before it sends it, so that a truncated response never reaches the caller.
// It reports whether the request is finished.
func (h *Host) relayWhole(parent, ctx context.Context, cancel context.CancelCauseFunc, t *task, incoming *connection.Response, result dispatch.AttemptFinished) bool {
	body, err := h.readResponse(ctx, t, incoming, func() { cancel(errNoAnswerRoom) })
	if err == nil && h.endedByCrash(ctx, t, incoming) {
		h.releaseResponse(t, body)
		err = errBrokenOff
	}
	if err != nil {
		return h.failAttempt(parent, ctx, t, errors.WithType(errors.Annotate(err, "entry: unable to read a response"), connection.ErrNoResponse))
	}
	response := &bufferedResponse{status: incoming.StatusCode, header: incoming.Header, body: body}
	incoming.Close() // a slow caller must not hold the endpoint's connection
	if result.Outcome == dispatch.Failure {
		if t.failure != nil {
			h.releaseResponse(t, t.failure.body)
		}
		t.failure = response
		h.reportAttempt(t, result, nil)
		return false
	}
	h.reportAttempt(t, result, nil)
	h.memory.releaseBody(t)
	status := h.sendWhole(t, response)
	h.metrics.responses.WithLabelValues("whole").Inc()
	h.metrics.wholeResponse.Observe(result.TimeToFirstByte.Seconds())
	h.log.Info("entry: answered", "request", t.request.ID, "status", status, "account", t.lastSend.Account, "work", t.request.Describe(),
		"endpoint", t.lastSend.Endpoint.ID, "attempt", t.lastSend.Attempt, "after", (h.Now() - t.arrived).String(), "sending", t.sendingTime.String(), "took", result.TimeToFirstByte.String())
	return true
}

// endedByCrash reports whether the body of a response that ends with its connection ended because the endpoint has gone.
func (h *Host) endedByCrash(ctx context.Context, t *task, response *connection.Response) bool {
	return response.EndsWithConnection() && h.connections.Refuses(ctx, t.lastSend.Endpoint.Address)
}

// relayStream sends the events of a stream to the caller as they arrive. It reports whether the request is finished.
func (h *Host) relayStream(parent, ctx context.Context, cancel context.CancelCauseFunc, t *task, response *connection.Response) bool {
	w := h.newStreamWriter(t, func() { cancel(errNoAnswerRoom) })
	defer w.release()
	var events eventBuffer
	buffer := make([]byte, 4<<10)
	reported := false
	for {
		n, err := response.Read(buffer)
		if complete := events.add(buffer[:n]); len(complete) > 0 {
			if !reported {
				reported = true
				t.responseStarted = true
				t.firstEventTime = h.Now() - t.sentAt
				h.awaitRecord(ctx, t)
				h.noteOrigin(t)
				h.metrics.observeFirstEvent(t.firstEventTime, t.lastSend.EstimatedWait)
				h.Apply(dispatch.ResponseStarted{Number: t.number})
			}
			t.writeHead(response)
			if writeErr := w.send(complete); writeErr != nil {
				if errors.Is(writeErr, os.ErrDeadlineExceeded) {
					h.memory.report(t, slowReader)
				}
				h.Apply(dispatch.RequestAbandoned{Number: t.number})
				h.breakOff(t)
			}
			t.lastEventID = events.lastID
			if t.request.Body != nil && !t.mayBeSentAgain() && response.RequestWritten() {
				h.memory.releaseBody(t)
			}
		}
		if events.tooLong() {
			response.DiscardOnClose()
			return h.failStream(parent, ctx, t, errResponseTooLong)
		}
		if !w.hold(len(events.pending)) {
			response.DiscardOnClose()
			return h.failStream(parent, ctx, t, errNoAnswerRoom)
		}
		if err == nil {
			continue
		}
		if err == io.EOF && response.EndsWithConnection() && (!t.responseStarted || h.endedByCrash(ctx, t, response)) {
			return h.failStream(parent, ctx, t, errBrokenOff)
		}
		if err == io.EOF && events.empty() {
			w.arm()
			return h.finishStream(t, response)
		}
		return h.failStream(parent, ctx, t, err)
	}
}

// mayBeSentAgain reports whether another attempt may follow the running one, which has sent events to the caller. An event with an id,
// from which the stream can be resumed, may come later.
func (t *task) mayBeSentAgain() bool { return t.lastSend.Route.Retryable() }

// writeHead sends status and header of the first endpoint that has an event to send. An attempt that fails before that
// leaves no trace in a later response.
func (t *task) writeHead(response *connection.Response) {
	if t.headWritten {
		return
	}
	t.headWritten = true
	platform.CopyResponseHeader(t.writer.Header(), response.Header)
	t.writer.WriteHeader(response.StatusCode)
}

// continues reports whether a response continues the stream that the caller has received the beginning of.
func (t *task) continues(response *connection.Response) bool {
	return response.StatusCode == http.StatusOK && mediaType(response.Header) == mediaType(t.writer.Header())
}

// mediaType returns the content type of a header without its parameters.
func mediaType(h http.Header) string {
	media, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

// finishStream ends a complete stream.
func (h *Host) finishStream(t *task, response *connection.Response) bool {
	h.reportAttempt(t, dispatch.AttemptFinished{Number: t.number, Outcome: dispatch.Done, ResponseStarted: true}, nil)
	t.writeHead(response)
	h.metrics.responses.WithLabelValues("stream").Inc()
	h.log.Info("entry: streamed", "request", t.request.ID, "status", response.StatusCode, "account", t.lastSend.Account, "work", t.request.Describe(),
		"endpoint", t.lastSend.Endpoint.ID, "software", t.lastSend.Endpoint.Software, "attempt", t.lastSend.Attempt, "parts", t.request.DescribeParts(), "after", (h.Now() - t.arrived).String(), "last", t.lastEventID, "estimate", t.lastSend.EstimatedWait.String(), "first", t.firstEventTime.String(),
		"urgency", t.lastSend.Urgency, "waited", (t.sentAt - t.arrived).String(), "sending", t.sendingTime.String())
	return true
}

// failStream ends an attempt whose stream broke off and reports whether the request is finished. Another endpoint may
// resume the stream where the route allows it, but not if events without an id were sent: the other endpoint would
// start from the beginning, and the caller would get parts of two runs joined.
func (h *Host) failStream(parent, ctx context.Context, t *task, err error) bool {
	if parent.Err() != nil {
		h.abort(parent, t)
		return true
	}
	outcome := dispatch.ResponseLost
	switch {
	case errors.Is(err, errNoAnswerRoom), errors.Is(context.Cause(ctx), errNoAnswerRoom):
		outcome = dispatch.NoRoom
	case errors.Is(context.Cause(ctx), errNoResponse):
		outcome = dispatch.ResponseTimedOut
	}
	if t.headWritten && t.lastEventID == "" {
		h.reportAttempt(t, dispatch.AttemptFinished{Number: t.number, Outcome: outcome, ResponseStarted: true}, err)
		h.refuse(t, dispatch.RefuseRequest{Number: t.number, Account: t.lastSend.Account, Route: t.lastSend.Route.Name, Reason: dispatch.AttemptFailed, Ran: dispatch.RanUnknown})
		return true
	}
	crashed := outcome == dispatch.ResponseLost && h.endpointCrashed(ctx, t)
	h.reportAttempt(t, dispatch.AttemptFinished{Number: t.number, Outcome: outcome, EndpointCrashed: crashed}, err)
	return false
}
