package caller

import (
	"bytes"
	"net/http"
	"strconv"

	"magnoliahoist/state"
)

// complete answers /v1/completions and /v1/chat/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
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
	key := bearer(r)
	header := forwardHeader(r.Header, "")
	// The path is one of two fixed ones, and the query is not passed on.
	if key != "" && bytes.Contains(body, []byte(key)) || headerCarriesKey(s.backend.View(), key, header) {
		badRequest("key_in_request", "the key may stand only in the Authorization header").write(w)
		return
	}
	t := s.newTask(key)
	t.arrive.Model = parsed.model
	t.arrive.Prompt = parsed.promptTokens()
	t.arrive.Limit = parsed.limit
	t.arrive.Prefix = parsed.prefix()
	path := r.URL.Path
	t.build = func(send state.Send) (outgoing, error) {
		out, err := parsed.bodyFor(send.Route.Model, send.Route.Adapter, send.Limit)
		header["X-Priority"] = []string{strconv.Itoa(send.Route.Priority)}
		return outgoing{method: http.MethodPost, target: path, body: out, header: header}, err
	}
	s.serve(w, r, t)
}

// newTask returns a request with its ids.
func (s *Server) newTask(key string) task {
	id := s.ids.next()
	return task{
		id:     id,
		name:   s.host + "-" + strconv.FormatUint(id, 36),
		arrive: state.Arrive{Request: id, Digest: digestOf(key)},
	}
}
