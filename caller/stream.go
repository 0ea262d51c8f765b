package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// maxResumes is how often an interrupted stream is resumed at the same endpoint.
const maxResumes = 2

// maxEventBytes bounds a line of a stream, and so the data of an event.
const maxEventBytes = 1 << 20

// maxOffsetDigits bounds the offset of an event so that it fits into an int64.
const maxOffsetDigits = 18

// firstOffset is the offset of a stream's first event.
const firstOffset = 1

// usageField is contained in the event in which the endpoint reports how many tokens it generated.
const usageField = `"usage":{`

// doneMark is the data of the last event of a complete stream.
const doneMark = "[DONE]"

// Errors of an endpoint's stream.
var (
	errIncomplete   = errors.New("caller: stream ended before its last event")
	errWrongAttempt = errors.New("caller: event or response does not belong to this attempt")
	errMissingEvent = errors.New("caller: event does not have the expected offset")
	errCallerWrite  = errors.New("caller: unable to write the stream to the caller")
)

// relay copies the event stream of an attempt to the caller and counts its events and tokens. It removes the event ids, which are
// of the form attempt:offset.
type relay struct {
	w            http.ResponseWriter
	flusher      http.Flusher
	onFirstEvent func() // called before the first event is written
	now          func() time.Duration
	timing       *tokenTiming
	attemptID    string
	nextOffset   int64  // offset of the next event to write
	generated    int64  // tokens generated so far
	started      bool   // the status and at least one event were written
	complete     bool   // the last event was written
	unflushed    bool   // events were written and not yet flushed
	lastWritten  []byte // buffer of the last event written, kept for reuse
}

// forwardStream copies the event stream of an attempt to the caller. It resumes an interrupted stream after the last event that was
// written, at the same endpoint.
func (s *Server) forwardStream(ctx context.Context, w http.ResponseWriter, t *task, send state.SendAttempt, id string, out endpointRequest, response *http.Response) attemptResult {
	flusher, _ := w.(http.Flusher)
	begin := func() { s.recordAttemptEvent(t, timeline.First, &send, "") }
	relay := &relay{w: w, flusher: flusher, onFirstEvent: begin, now: s.backend.Now, timing: &t.stats.timing, attemptID: id, nextOffset: firstOffset}
	err := relay.copyEvents(response.Body)
	if relay.complete {
		readEnd(response.Body)
	}
	for resumes := 0; errors.Is(err, errIncomplete) && ctx.Err() == nil && resumes < maxResumes; resumes++ {
		s.recordAttemptEvent(t, timeline.Resumed, &send, "")
		err = s.resumeStream(ctx, relay, send, id, out)
	}
	t.stats.generated = relay.generated
	// Used is -1, unknown, for an incomplete stream: the endpoint may have generated more tokens than arrived.
	finished := state.AttemptFinished{Request: t.number, Sent: true, UsedTokens: -1}
	switch {
	case relay.complete:
		finished.Outcome, finished.UsedTokens = endpoint.Done, t.arrival.PromptTokens+relay.generated
		return attemptResult{event: finished, responseStarted: true}
	case ctx.Err() != nil || errors.Is(err, errCallerWrite):
		finished.Outcome = endpoint.Cancelled
	default:
		finished.Outcome = endpoint.Interrupted
		finished.Retryable = !relay.started
	}
	if relay.started {
		relay.writeError(ctx)
	}
	return attemptResult{event: finished, responseStarted: relay.started}
}

// endOfStreamTimeout bounds the wait for the end of the body after the last event of a stream.
const endOfStreamTimeout = 20 * time.Millisecond

// readEnd reads what follows the last event, normally only the end of the body. The transport closes a connection whose response body
// was not read to the end, so that otherwise each stream would need a new connection.
func readEnd(body io.ReadCloser) {
	timer := time.AfterFunc(endOfStreamTimeout, func() { body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, 1)
}

// resumeStream requests the events after the last one that was written, and copies them.
func (s *Server) resumeStream(ctx context.Context, relay *relay, send state.SendAttempt, id string, out endpointRequest) error {
	response, _, err := s.sender.send(ctx, send.Endpoint.Address, id, relay.lastEventID(), out)
	if err != nil {
		return errIncomplete
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || response.Header.Get(requestIDHeader) != id || !isStream(response) {
		return errWrongAttempt
	}
	return relay.copyEvents(response.Body)
}

// lastEventID returns the id of the last event that was written. Offset 0 precedes the first event and asks for all.
func (r *relay) lastEventID() string {
	return r.attemptID + ":" + strconv.FormatInt(r.nextOffset-1, 10)
}

// copyEvents copies events until the stream is complete or fails. It flushes before it would wait for the endpoint, so that events
// which arrive together are sent together.
func (r *relay) copyEvents(body io.Reader) error {
	lines := lineReaders.Get().(*lineReader)
	defer lines.release()
	lines.reset(body)
	id, data := lines.id[:0], lines.data[:0]
	defer func() { lines.id, lines.data = id, data }()
	for {
		if !lines.hasBufferedLine() {
			r.flush()
		}
		line, err := lines.next()
		if err != nil {
			return errIncomplete
		}
		switch {
		case len(line) == 0:
			if len(data) == 0 {
				continue
			}
			if err := r.relayEvent(id, data); err != nil || r.complete {
				r.flush()
				return err
			}
			id, data = id[:0], data[:0]
		case bytes.HasPrefix(line, []byte("id:")):
			id = append(id[:0], bytes.TrimSpace(line[3:])...)
		case bytes.HasPrefix(line, []byte("data:")):
			data = append(data[:0], bytes.TrimSpace(line[5:])...)
		}
	}
}

// relayEvent writes an event if it is the next one of this attempt, and skips one that was written before.
func (r *relay) relayEvent(id, data []byte) error {
	attempt, offset, found := bytes.Cut(id, []byte(":"))
	if !found || string(attempt) != r.attemptID {
		return errWrongAttempt
	}
	eventOffset, valid := parseOffset(offset)
	if !valid || eventOffset > r.nextOffset {
		return errMissingEvent
	}
	if eventOffset < r.nextOffset {
		return nil // written before the stream was interrupted
	}
	r.nextOffset++
	r.complete = string(data) == doneMark
	r.countTokens(data)
	return r.writeEvent(data)
}

// countTokens counts one generated token per event, or takes the number that the endpoint reports in its usage field.
func (r *relay) countTokens(data []byte) {
	if r.complete {
		return
	}
	r.generated++
	r.timing.recordToken(r.now())
	var parsed usageBody
	if bytes.Contains(data, []byte(usageField)) && json.Unmarshal(data, &parsed) == nil && parsed.Usage.CompletionTokens > 0 {
		r.generated = parsed.Usage.CompletionTokens
	}
}

// parseOffset parses the offset of an event and reports whether it is valid.
func parseOffset(text []byte) (int64, bool) {
	if len(text) == 0 || len(text) > maxOffsetDigits {
		return 0, false
	}
	var n int64
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		n = n*10 + int64(digit-'0')
	}
	return n, true
}

// writeEvent writes the data of an event to the response, without flushing it.
func (r *relay) writeEvent(data []byte) error {
	if !r.started {
		r.started = true
		r.onFirstEvent()
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.Header().Set("Cache-Control", "no-cache")
		r.w.WriteHeader(http.StatusOK)
	}
	r.lastWritten = append(append(append(r.lastWritten[:0], "data: "...), data...), "\n\n"...)
	if _, err := r.w.Write(r.lastWritten); err != nil {
		return errCallerWrite
	}
	r.unflushed = true
	return nil
}

// flush sends the events that were written to the caller.
func (r *relay) flush() {
	if r.unflushed && r.flusher != nil {
		r.flusher.Flush()
	}
	r.unflushed = false
}

// writeError writes an error event at the end of a stream that has started, in place of doneMark.
func (r *relay) writeError(ctx context.Context) {
	reason := state.EndpointFailed
	if cause, byHost := context.Cause(ctx).(cancelReason); byHost {
		reason = state.Reason(cause)
	}
	r.writeEvent(refusalFor(reason, state.RunYes, 0).body())
	r.flush()
}
