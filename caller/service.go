package caller

import (
	"crypto/sha256"
	"net/http"

	"magnoliahoist/call"
	"magnoliahoist/route"
	"magnoliahoist/state"
)

// serveServiceCall handles calls to plain services; the state machine finds the route by the path.
func (s *Server) serveServiceCall(w http.ResponseWriter, r *http.Request) {
	body, refused := s.readBody(w, r)
	if refused != nil {
		refused.write(w)
		return
	}
	if r.URL.Path != cleanPath(r.URL.Path) {
		badRequest("malformed_path", "the path must not contain empty or dot segments").write(w)
		return
	}
	key := bearerKey(r)
	idempotencyKey := r.Header.Get("Idempotency-Key")
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		badRequest("malformed_request", "Idempotency-Key is too long").write(w)
		return
	}
	header := forwardHeader(r.Header, idempotencyKey)
	if containsKey(s.backend.View(), key, r.URL, header, body) {
		badRequest("key_in_request", "the key may stand only in the Authorization header").write(w)
		return
	}
	t := s.newTask(key)
	t.arrival.Path = r.URL.Path
	t.arrival.HasIdempotencyKey = idempotencyKey != ""
	t.idempotencyKey = idempotencyKey
	t.digest = requestDigest(r, body)
	t.buildRequest = func(send state.SendAttempt) (endpointRequest, error) {
		return endpointRequest{
			method:     r.Method,
			target:     r.URL.RequestURI(),
			body:       body,
			header:     header,
			atMostOnce: send.Route.Calls != route.Idempotent,
		}, nil
	}
	s.serveRequest(w, r, t)
}

// requestDigest returns the digest of method, target and body, by which an idempotency key that is reused for another request is detected.
func requestDigest(r *http.Request, body []byte) call.Digest {
	hash := sha256.New()
	hash.Write([]byte(r.Method + " " + r.URL.RequestURI() + "\n"))
	hash.Write(body)
	return call.Digest(hash.Sum(nil))
}
