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

// maxBodyBytes bounds a request in bytes; a pools table of the target size has about 1 MB.
const maxBodyBytes = 16 << 20

// Server is the HTTP interface for operators.
type Server struct {
	backend    Backend
	credential string
	log        hclog.Logger
	metrics    http.Handler
}

// New returns a server. An empty credential admits everyone who reaches the listener,
// which settings allow on loopback only.
func New(backend Backend, credential string, log hclog.Logger) *Server {
	return &Server{backend: backend, credential: credential, log: log, metrics: promhttp.Handler()}
}

// WithMetrics returns a server that answers /metrics with the handler in place of the
// default registry.
func (s Server) WithMetrics(handler http.Handler) *Server {
	s.metrics = handler
	return &s
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/health"), s.getHealth)
	mux.Handle(pat.Get("/metrics"), s.metrics)
	for _, endpoint := range []struct {
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
		mux.Handle(endpoint.pattern, s.authorize(endpoint.pattern, endpoint.serve, endpoint.change))
	}
	otherPaths := pat.New("/*")
	mux.Handle(otherPaths, s.authorize(otherPaths, func(http.ResponseWriter, *http.Request) error {
		return &Failure{Status: http.StatusNotFound, Type: "missing", Message: "the path does not exist, or not with this method", Run: runNo}
	}, false))
	return mux
}

// authorize admits operators only and writes errors. It logs the pattern, not the path, because
// a path may contain a key that was given in place of its id.
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

// isAuthorized compares digests, so that the time taken depends neither on the content nor on
// the length of the credential. Without a credential, requests by web pages are refused:
// a browser on the same machine would send them on behalf of any site.
func (s *Server) isAuthorized(r *http.Request) bool {
	if s.credential == "" {
		return r.Header.Get("Origin") == ""
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(s.credential))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1 && strings.EqualFold(scheme, "Bearer")
}

// readBody returns the body of a request.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &Failure{Status: http.StatusRequestEntityTooLarge, Type: "large", Message: "the body exceeds 16 MiB", Run: runNo}
	}
	if err != nil {
		return nil, &Failure{Status: http.StatusBadRequest, Type: "invalid", Message: "unable to read the body", Run: runNo}
	}
	return data, nil
}

// writeJSON answers with a JSON body. Once the status is out an error can't be reported, and
// it means that the operator has gone.
func writeJSON(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
	return nil
}
