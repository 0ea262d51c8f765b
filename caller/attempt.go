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

// maxResponseBytes bounds a response that is read completely before it is forwarded to the caller. Streams are not bounded.
const maxResponseBytes = 16 << 20

// sendAttempt sends a request to one endpoint and forwards its response or its event stream to the caller.
func (s *Server) sendAttempt(ctx context.Context, w http.ResponseWriter, t *task, send state.SendAttempt) attemptResult {
	id := t.requestID + "-" + strconv.Itoa(send.Attempt)
	failed := attemptResult{event: state.AttemptFinished{Request: t.number, Outcome: endpoint.Failed, UsedTokens: -1, Retryable: true}}
	out, err := t.buildRequest(send)
	if err != nil {
		return failed
	}
	// This process may have been suspended since the state machine decided to send; after send.LatestStart the decision no longer holds.
	if s.backend.Now() >= send.LatestStart {
		failed.event.Outcome = endpoint.Absent
		return failed
	}
	s.recordAttemptStart(t, &send, id)
	response, sent, err := s.sender.send(ctx, send.Endpoint.Address, id, "", out)
	failed.event.Sent = sent
	if err != nil {
		return s.classifyFailure(ctx, failed)
	}
	defer response.Body.Close()
	if response.Header.Get(requestIDHeader) != id {
		s.log.Warn("caller: unable to use a response that carries the id of another attempt", "attempt", id, "endpoint", send.Endpoint.Name)
		return failed
	}
	if outcome, refused := notRunOutcome(response, send.Route); refused {
		failed.event.Outcome = outcome
		failed.event.Sent = false
		return failed
	}
	if response.StatusCode >= http.StatusInternalServerError && send.Route.Retryable() {
		return failed
	}
	if isStream(response) && send.Route.Kind == route.Model {
		return s.forwardStream(ctx, w, t, send, id, out, response)
	}
	return s.forwardWhole(ctx, w, t, send, response, failed)
}

// classifyFailure returns the result as cancelled if the caller or the host ended the request, or else as it is.
func (s *Server) classifyFailure(ctx context.Context, failed attemptResult) attemptResult {
	if ctx.Err() != nil {
		failed.event.Outcome = endpoint.Cancelled
		failed.event.Retryable = false
	}
	return failed
}

// notRunOutcome reports whether the response shows that the endpoint did not run the request, and returns the outcome of such an attempt.
func notRunOutcome(response *http.Response, r route.Route) (endpoint.Outcome, bool) {
	if r.Kind == route.Model && response.StatusCode == http.StatusNotFound {
		return endpoint.Absent, true
	}
	return endpoint.Refused, response.Header.Get(runHeader) == state.RunNo.String()
}

func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// forwardWhole reads the complete response before it forwards any of it to the caller.
func (s *Server) forwardWhole(ctx context.Context, w http.ResponseWriter, t *task, send state.SendAttempt, response *http.Response, failed attemptResult) attemptResult {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return failed // without a length or chunks, a complete body looks the same as a truncated one
	}
	body, err := readResponseBody(response)
	if err != nil || len(body) > maxResponseBytes {
		failed.event.Outcome = endpoint.Interrupted
		return s.classifyFailure(ctx, failed)
	}
	used := send.Route.Tokens
	if send.Route.Kind == route.Model {
		var parsed usageBody
		if json.Unmarshal(body, &parsed) != nil {
			failed.event.Outcome = endpoint.Interrupted
			return failed
		}
		used = t.arrival.PromptTokens + parsed.Usage.CompletionTokens
		t.stats.generated = parsed.Usage.CompletionTokens
	}
	t.stats.unstreamed = true
	s.recordAttemptEvent(t, timeline.First, &send, "")
	s.recordOutcome(t, response, body)
	writeResponse(w, response, body)
	return attemptResult{
		event:           state.AttemptFinished{Request: t.number, Outcome: endpoint.Done, Sent: true, UsedTokens: used},
		responseStarted: true,
	}
}

func readResponseBody(response *http.Response) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= maxResponseBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
}

// usageBody holds the fields that the host reads from the response to a completion.
type usageBody struct {
	Usage struct {
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func writeResponse(w http.ResponseWriter, response *http.Response, body []byte) {
	header := w.Header()
	for _, name := range forwardedResponseHeaders {
		if values := response.Header[name]; len(values) > 0 {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.StatusCode)
	w.Write(body)
}
