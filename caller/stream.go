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

// maxResumes is how often a stream that was cut is resumed at the same endpoint.
const maxResumes = 2

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// maxOffsetDigits keeps an offset within 64 bits.
const maxOffsetDigits = 18

// firstOffset is the offset of a stream's first event.
const firstOffset = 1

// usageField marks the event in which the endpoint states the tokens of the answer.
const usageField = `"usage":{`

// doneMark ends a complete stream.
const doneMark = "[DONE]"

// Errors of an endpoint's stream.
var (
	errCut     = errors.New("caller: stream ended before it was complete")
	errCrossed = errors.New("caller: stream carries an event of another attempt")
	errGap     = errors.New("caller: stream lacks an event")
	errCaller  = errors.New("caller: unable to write to the caller")
)

// relay copies one endpoint's stream to the caller and keeps count of what passed.
type relay struct {
	w       http.ResponseWriter
	flusher http.Flusher
	begin   func() // called before the first event passes
	now     func() time.Duration
	pace    *pace
	attempt string
	next    int64 // offset of the event that is expected
	tokens  int64 // generated, as far as known
	started bool
	done    bool
	unsent  bool   // something is written and not yet sent
	written []byte // last event that was written, kept for its memory
}

// stream hands the events of an attempt to the caller, resuming a cut stream where it broke.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, t *task, send state.Send, id string, out outgoing, response *http.Response) answer {
	flusher, _ := w.(http.Flusher)
	begin := func() { s.attemptEvent(t, timeline.First, &send, "") }
	relay := &relay{w: w, flusher: flusher, begin: begin, now: s.backend.Now, pace: &t.track.pace, attempt: id, next: firstOffset}
	err := relay.copy(response.Body)
	if relay.done {
		readEnd(response.Body)
	}
	for resumes := 0; errors.Is(err, errCut) && ctx.Err() == nil && resumes < maxResumes; resumes++ {
		s.attemptEvent(t, timeline.Resumed, &send, "")
		err = s.resume(ctx, relay, send, id, out)
	}
	t.track.made = relay.tokens
	// The endpoint may have generated more than arrived of a stream that is not complete.
	finished := state.Finished{Request: t.id, Sent: true, Used: -1}
	switch {
	case relay.done:
		finished.Outcome, finished.Used = endpoint.Done, t.arrive.Prompt+relay.tokens
		return answer{event: finished, started: true}
	case ctx.Err() != nil || errors.Is(err, errCaller):
		finished.Outcome = endpoint.Cancelled
	default:
		finished.Outcome = endpoint.Cut
		finished.Retry = !relay.started
	}
	if relay.started {
		relay.fail(ctx)
	}
	return answer{event: finished, started: relay.started}
}

// endTimeout bounds the wait for the end of a stream whose last event has passed.
const endTimeout = 20 * time.Millisecond

// readEnd reads what follows the last event, usually nothing, because the transport closes a connection
// whose answer was not read to its end. Each stream would then need a new one.
func readEnd(body io.ReadCloser) {
	timer := time.AfterFunc(endTimeout, func() { body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, 1)
}

// resume asks the endpoint for the events after the last one that passed.
func (s *Server) resume(ctx context.Context, relay *relay, send state.Send, id string, out outgoing) error {
	response, _, err := s.sender.send(ctx, send.Endpoint.Address, id, relay.last(), out)
	if err != nil {
		return errCut
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || response.Header.Get(idHeader) != id || !isStream(response) {
		return errCrossed
	}
	return relay.copy(response.Body)
}

// last is the id of the last event that passed; offset 0 asks for all.
func (r *relay) last() string {
	return r.attempt + ":" + strconv.FormatInt(r.next-1, 10)
}

// copy passes events on until the stream is complete or breaks. Before it waits for the endpoint it
// sends what it has written, so that events which arrive together leave together.
func (r *relay) copy(body io.Reader) error {
	lines := lineReaders.Get().(*lineReader)
	defer lines.release()
	lines.reset(body)
	id, data := lines.id[:0], lines.data[:0]
	defer func() { lines.id, lines.data = id, data }()
	for {
		if !lines.ready() {
			r.flush()
		}
		line, err := lines.next()
		if err != nil {
			return errCut
		}
		switch {
		case len(line) == 0:
			if len(data) == 0 {
				continue
			}
			if err := r.event(id, data); err != nil || r.done {
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

// event checks that an event is the next one of this attempt and passes it on.
func (r *relay) event(id, data []byte) error {
	attempt, offset, found := bytes.Cut(id, []byte(":"))
	if !found || string(attempt) != r.attempt {
		return errCrossed
	}
	at, known := parseOffset(offset)
	if !known || at > r.next {
		return errGap
	}
	if at < r.next {
		return nil // passed before the stream was cut
	}
	r.next++
	r.done = string(data) == doneMark
	r.count(data)
	return r.pass(data)
}

// count keeps the number of generated tokens: one an event, until the endpoint states it.
func (r *relay) count(data []byte) {
	if r.done {
		return
	}
	r.tokens++
	r.pace.token(r.now())
	var parsed usageBody
	if bytes.Contains(data, []byte(usageField)) && json.Unmarshal(data, &parsed) == nil && parsed.Usage.CompletionTokens > 0 {
		r.tokens = parsed.Usage.CompletionTokens
	}
}

// parseOffset reads the offset of an event.
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

// pass writes an event; flush sends it.
func (r *relay) pass(data []byte) error {
	if !r.started {
		r.started = true
		r.begin()
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.Header().Set("Cache-Control", "no-cache")
		r.w.WriteHeader(http.StatusOK)
	}
	r.written = append(append(append(r.written[:0], "data: "...), data...), "\n\n"...)
	if _, err := r.w.Write(r.written); err != nil {
		return errCaller
	}
	r.unsent = true
	return nil
}

// flush sends what was written.
func (r *relay) flush() {
	if r.unsent && r.flusher != nil {
		r.flusher.Flush()
	}
	r.unsent = false
}

// fail ends a stream that has begun with an explicit error instead of the mark of completion.
func (r *relay) fail(ctx context.Context) {
	reason := state.Failed
	if cause, cut := context.Cause(ctx).(reasonError); cut {
		reason = state.Reason(cause)
	}
	r.pass(refusalFor(reason, state.RunYes, 0).body())
	r.flush()
}
