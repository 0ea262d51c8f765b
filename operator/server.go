package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	goji "goji.io"
	"goji.io/pat"
)

// maxBodyBytes bounds the body of a request or response; a pools table of the target size has about 1 MB.
const maxBodyBytes = 16 << 20

// Server serves the HTTP API for operators.
type Server struct {
	backend    Backend
	credential string
	log        hclog.Logger
	metrics    http.Handler
}

// New returns a server. With an empty credential it accepts requests of everyone who can connect; the settings allow that only for
// loopback addresses.
func New(backend Backend, credential string, log hclog.Logger) *Server {
	return &Server{backend: backend, credential: credential, log: log, metrics: promhttp.Handler()}
}

// WithMetrics returns a copy of the server that uses the handler for /metrics. New uses the default registry.
func (s Server) WithMetrics(handler http.Handler) *Server {
	s.metrics = handler
	return &s
}

// Handler returns the handler for all paths of the API.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/health"), s.getHealth)
	mux.Handle(pat.Get("/metrics"), s.metrics)
	for _, operation := range []struct {
		pattern *pat.Pattern
		serve   func(http.ResponseWriter, *http.Request) error
		change  bool
	}{
		{pat.Get("/v1/tables/routes"), s.getRoutes, false},
		{pat.Get("/v1/tables/pools"), s.getPools, false},
		{pat.Put("/v1/tables/routes"), s.putRoutes, true},
		{pat.Put("/v1/tables/pools"), s.putPools, true},
		{pat.Post("/v1/keys"), s.issueKey, true},
		{pat.Get("/v1/keys"), s.listKeys, false},
		{pat.Delete("/v1/keys/:id"), s.withdrawKey, true},
		{pat.Get("/v1/status"), s.getStatus, false},
		{pat.Get("/v1/changes/:revision"), s.getChange, false},
		{pat.Post("/v1/drain"), s.postDrain, true},
		{pat.Get("/v1/timeline"), s.getTimeline, false},
	} {
		mux.Handle(operation.pattern, s.authorize(operation.pattern, operation.serve, operation.change))
	}
	otherPaths := pat.New("/*")
	mux.Handle(otherPaths, s.authorize(otherPaths, func(http.ResponseWriter, *http.Request) error {
		return &Failure{Status: http.StatusNotFound, Type: "missing", Message: "the path does not exist, or not with this method", Run: runNo}
	}, false))
	return mux
}

// authorize returns a handler that calls serve for authorized requests and writes the errors that it returns. It logs the pattern and
// not the path, because a path may contain a key in place of its id.
func (s *Server) authorize(pattern *pat.Pattern, serve func(http.ResponseWriter, *http.Request) error, isChange bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		if !s.isAuthorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			(&Failure{Status: http.StatusUnauthorized, Type: "unauthorized", Message: "the operator credential is missing or wrong", Run: runNo}).write(w)
			return
		}
		if err := serve(w, r); err != nil {
			failure := toFailure(err, isChange)
			s.log.Warn("operator: unable to serve a request", "method", r.Method, "path", pattern, "status", failure.Status, "err", err)
			failure.write(w)
		}
	})
}

// isAuthorized reports whether a request carries the operator credential. It compares digests, so that the time taken depends neither
// on the content nor on the length of the credential. Without a configured credential it refuses requests of web pages, which a browser
// on the same machine would send on behalf of any site.
func (s *Server) isAuthorized(r *http.Request) bool {
	if s.credential == "" {
		return r.Header.Get("Origin") == ""
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(s.credential))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1 && strings.EqualFold(scheme, "Bearer")
}

// readBody reads the body of a request up to maxBodyBytes. The error is of type *Failure.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return nil, &Failure{Status: http.StatusRequestEntityTooLarge, Type: "large", Message: "the body exceeds 16 MiB", Run: runNo}
	}
	if err != nil {
		return nil, &Failure{Status: http.StatusBadRequest, Type: "invalid", Message: "unable to read the body", Run: runNo}
	}
	return data, nil
}

// writeJSON writes a response with a JSON body and returns nil. An error while writing means that the client closed the connection; it
// can't be reported after the status was sent.
func writeJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
	return nil
}
