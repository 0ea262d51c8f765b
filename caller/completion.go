package caller

import (
	"bytes"
	"net/http"
	"strconv"

	"magnoliahoist/state"
)

// serveCompletion handles /v1/completions and /v1/chat/completions.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, refused := s.readBody(w, r)
	if refused != nil {
		refused.write(w)
		return
	}
	parsed, refused := parseCompletion(body)
	if refused != nil {
		refused.write(w)
		return
	}
	key := bearerKey(r)
	header := forwardHeader(r.Header, "")
	// The URL needs no check for the key: its path is one of two constants, and its query is not forwarded.
	if key != "" && bytes.Contains(body, []byte(key)) || headerContainsKey(s.backend.View(), key, header) {
		badRequest("key_in_request", "the key may stand only in the Authorization header").write(w)
		return
	}
	t := s.newTask(key)
	t.arrival.Model = parsed.model
	t.arrival.PromptTokens = parsed.promptTokens()
	t.arrival.CallerMaxTokens = parsed.maxTokens
	t.arrival.PrefixHash = parsed.prefixHash()
	path := r.URL.Path
	t.buildRequest = func(send state.SendAttempt) (endpointRequest, error) {
		out, err := parsed.bodyFor(send.Route.Model, send.Route.Adapter, send.MaxTokens)
		header["X-Priority"] = []string{strconv.Itoa(send.Route.Priority)}
		return endpointRequest{method: http.MethodPost, target: path, body: out, header: header}, err
	}
	s.serveRequest(w, r, t)
}

// newTask returns a task with a new request number and request id.
func (s *Server) newTask(key string) task {
	id := s.requestNumbers.next()
	return task{
		number:    id,
		requestID: s.hostID + "-" + strconv.FormatUint(id, 36),
		arrival:   state.RequestArrived{Request: id, KeyDigest: keyDigest(key)},
	}
}
