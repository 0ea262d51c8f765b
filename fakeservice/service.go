// Package fakeservice is a stand-in for an HTTP service of the platform's users, for tests and the demo
// mode.
package fakeservice

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"

	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/fault"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 16 << 20

// Settings are the settings of a Service. The zero value is a service without a name or faults.
type Settings struct {
	Name   string     // name of the service in its responses to lookups
	Faults *fault.Set // nil: a new set
}

// Call identifies a call by its path, idempotency key and body, and counts its executions.
type Call struct {
	Path           string `json:"path"`
	IdempotencyKey string `json:"key"`  // value of the Idempotency-Key header
	BodyDigest     string `json:"body"` // SHA-256 digest of the body, hexadecimal
	Executions     int    `json:"count"`
}

// Service is a stand-in for an HTTP service. It executes every call that arrives and, unlike an idempotent
// service, does not recognize repeated calls, so that the counts show a call that was sent twice. It is
// safe for concurrent use.
type Service struct {
	Faults    *fault.Set
	name      string
	lifecycle *fault.Lifecycle
	mutex     sync.Mutex
	calls     []Call
	index     map[Call]int // positions in calls, by the call with a count of 0
	lookups   int64
	headers   []http.Header
}

// maxKeptHeaders bounds the number of requests whose headers are kept for tests.
const maxKeptHeaders = 1024

// New returns a running service.
func New(s Settings) *Service {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Service{Faults: s.Faults, name: s.Name, lifecycle: fault.NewLifecycle(), index: map[Call]int{}}
}

// Handler serves lookups (GET /tags/{id}), calls (POST below /stamps/, /bookings/ and /payments/), the
// faults at fault.Path, and GET /debug/calls and /debug/headers, which no fault affects.
func (s *Service) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/tags/:id"), s.serveTag)
	for _, path := range []string{"/stamps/", "/bookings/", "/payments/"} {
		mux.HandleFunc(pat.Post(path+"*"), s.serveCall)
	}
	outer := goji.NewMux()
	outer.HandleFunc(pat.Get("/debug/calls"), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	outer.HandleFunc(pat.Get("/debug/headers"), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Headers()) })
	outer.Handle(pat.New("/*"), s.Faults.Wrap(s.lifecycle.Context(), mux))
	return outer
}

// Serve handles requests on the listener until Stop is called.
func (s *Service) Serve(l net.Listener) error { return s.lifecycle.Serve(l, s.Handler()) }

// Stop stops the service.
func (s *Service) Stop() { s.lifecycle.Stop() }

// Done returns a channel that is closed when the service has stopped.
func (s *Service) Done() <-chan struct{} { return s.lifecycle.Done() }

// Calls returns the distinct calls so far with their counts, in the order of their first execution.
func (s *Service) Calls() []Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Call{}, s.calls...)
}

// Lookups returns the number of lookups so far.
func (s *Service) Lookups() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lookups
}

// Headers returns the headers of the latest lookups and calls, oldest first.
func (s *Service) Headers() []http.Header {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]http.Header{}, s.headers...)
}

func (s *Service) serveTag(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.lookups++
	s.recordHeaders(r)
	s.mutex.Unlock()
	if s.Faults.Consume(fault.LoseReply) {
		fault.Abort()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	writeJSON(w, map[string]string{"id": pat.Param(r, "id"), "service": s.name, "state": "inspected"})
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, `{"error":{"type":"bad request"}}`, http.StatusBadRequest)
		return
	}
	digest := sha256.Sum256(body)
	call := Call{Path: r.URL.Path, IdempotencyKey: r.Header.Get("Idempotency-Key"), BodyDigest: hex.EncodeToString(digest[:])}
	executed := s.execute(call, r)
	if s.Faults.Consume(fault.LoseReply) {
		fault.Abort()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	writeJSON(w, executed)
}

// execute counts an execution of the call and returns the call with its count so far.
func (s *Service) execute(call Call, r *http.Request) Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordHeaders(r)
	i, ok := s.index[call]
	if !ok {
		i = len(s.calls)
		s.index[call] = i
		s.calls = append(s.calls, call)
	}
	s.calls[i].Executions++
	return s.calls[i]
}

// recordHeaders keeps the headers of the request and drops the oldest ones beyond maxKeptHeaders. The
// caller must hold the mutex.
func (s *Service) recordHeaders(r *http.Request) {
	if len(s.headers) == maxKeptHeaders {
		s.headers = append(s.headers[:0:0], s.headers[1:]...)
	}
	s.headers = append(s.headers, r.Header.Clone())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
