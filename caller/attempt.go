package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"magnoliahoist/endpoint"
	"magnoliahoist/route"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// maxAnswerBytes bounds a whole answer that is held before it is handed to the caller.
const maxAnswerBytes = 16 << 20

// attempt sends a request to one endpoint and hands its whole answer, or its stream, to the caller.
func (s *Server) attempt(ctx context.Context, w http.ResponseWriter, t *task, send state.Send) answer {
	id := t.name + "-" + strconv.Itoa(send.Attempt)
	failed := answer{event: state.Finished{Request: t.id, Outcome: endpoint.Failed, Used: -1, Retry: true}}
	out, err := t.build(send)
	if err != nil {
		return failed
	}
	// The process may have been stopped since the reducer decided; the decision must still hold.
	if s.backend.Now() >= send.Until {
		failed.event.Outcome = endpoint.Absent
		return failed
	}
	s.sending(t, &send, id)
	response, sent, err := s.sender.send(ctx, send.Endpoint.Address, id, "", out)
	failed.event.Sent = sent
	if err != nil {
		return s.failure(ctx, failed)
	}
	defer response.Body.Close()
	if response.Header.Get(idHeader) != id {
		s.log.Warn("caller: unable to use answer of another attempt", "attempt", id, "endpoint", send.Endpoint.Name)
		return failed
	}
	if outcome, refused := refusedBy(response, send.Route); refused {
		failed.event.Outcome = outcome
		failed.event.Sent = false
		return failed
	}
	if response.StatusCode >= http.StatusInternalServerError && send.Route.Repeatable() {
		return failed
	}
	if isStream(response) && send.Route.Kind == route.Model {
		return s.stream(ctx, w, t, send, id, out, response)
	}
	return s.whole(ctx, w, t, send, response, failed)
}

// failure tells an attempt that failed from one that the caller or the host ended.
func (s *Server) failure(ctx context.Context, failed answer) answer {
	if ctx.Err() != nil {
		failed.event.Outcome = endpoint.Cancelled
		failed.event.Retry = false
	}
	return failed
}

// refusedBy reports whether an endpoint certainly did not run the request, and how the attempt ended.
func refusedBy(response *http.Response, r route.Route) (endpoint.Outcome, bool) {
	if r.Kind == route.Model && response.StatusCode == http.StatusNotFound {
		return endpoint.Absent, true
	}
	return endpoint.Refused, response.Header.Get(runHeader) == state.RunNo.String()
}

func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// whole reads a complete answer before any of it is handed on.
func (s *Server) whole(ctx context.Context, w http.ResponseWriter, t *task, send state.Send, response *http.Response, failed answer) answer {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return failed // the end of the answer could not be told from a cut
	}
	body, err := readAnswer(response)
	if err != nil || len(body) > maxAnswerBytes {
		failed.event.Outcome = endpoint.Cut
		return s.failure(ctx, failed)
	}
	used := send.Route.Tokens
	if send.Route.Kind == route.Model {
		var parsed usageBody
		if json.Unmarshal(body, &parsed) != nil {
			failed.event.Outcome = endpoint.Cut
			return failed
		}
		used = t.arrive.Prompt + parsed.Usage.CompletionTokens
		t.track.made = parsed.Usage.CompletionTokens
	}
	t.track.whole = true
	s.attemptEvent(t, timeline.First, &send, "")
	s.finishOnce(t, response, body)
	writeAnswer(w, response, body)
	return answer{
		event:   state.Finished{Request: t.id, Outcome: endpoint.Done, Sent: true, Used: used},
		started: true,
	}
}

func readAnswer(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= maxAnswerBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
}

// usageBody is what the host reads of a completion's answer.
type usageBody struct {
	Usage struct {
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func writeAnswer(w http.ResponseWriter, response *http.Response, body []byte) {
	header := w.Header()
	for _, name := range answerHeaders {
		if values := response.Header[name]; len(values) > 0 {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.StatusCode)
	w.Write(body)
}
