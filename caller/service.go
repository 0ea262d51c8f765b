package caller

import (
	"crypto/sha256"
	"net/http"

	"magnoliahoist/call"
	"magnoliahoist/route"
	"magnoliahoist/state"
)

// service answers calls to plain services under the prefixes of their routes.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	body, refused := s.readBody(w, r)
	if refused != nil {
		refused.write(w)
		return
	}
	if r.URL.Path != cleanPath(r.URL.Path) {
		badRequest("malformed_path", "the path must not contain empty or dot segments").write(w)
		return
	}
	key := bearer(r)
	idempotencyKey := r.Header.Get("Idempotency-Key")
	if len(idempotencyKey) > maxKeyBytes {
		badRequest("malformed_request", "Idempotency-Key is too long").write(w)
		return
	}
	header := forwardHeader(r.Header, idempotencyKey)
	if carriesKey(s.backend.View(), key, r.URL, header, body) {
		badRequest("key_in_request", "the key may stand only in the Authorization header").write(w)
		return
	}
	t := s.newTask(key)
	t.arrive.Path = r.URL.Path
	t.arrive.Once = idempotencyKey != ""
	t.key = idempotencyKey
	t.digest = requestDigest(r, body)
	t.build = func(send state.Send) (outgoing, error) {
		return outgoing{
			method: r.Method,
			target: r.URL.RequestURI(),
			body:   body,
			header: header,
			once:   send.Route.Calls != route.Idempotent,
		}, nil
	}
	s.serve(w, r, t)
}

// requestDigest identifies what a call asks for, so that one key cannot stand for two requests.
func requestDigest(r *http.Request, body []byte) call.Digest {
	hash := sha256.New()
	hash.Write([]byte(r.Method + " " + r.URL.RequestURI() + "\n"))
	hash.Write(body)
	return call.Digest(hash.Sum(nil))
}
