// Package fakeservice is a stand-in for a plain HTTP service of the platform's users.
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

// maxBody is the most bytes of a call.
const maxBody = 16 << 20

// Settings of a service; the zero value is a service without faults.
type Settings struct {
	Name   string     // repeated in answers
	Faults *fault.Set // nil: a set of its own
}

// Call counts the executions of one call.
type Call struct {
	Path  string `json:"path"`
	Key   string `json:"key"`  // Idempotency-Key
	Body  string `json:"body"` // SHA-256, hexadecimal
	Count int    `json:"count"`
}

// Service is the stand-in. It executes every call that arrives and does not look for repetitions,
// so that a call sent twice shows.
type Service struct {
	Faults *fault.Set
	name   string
	part   *fault.Part
	mutex  sync.Mutex
	calls  []Call
	index  map[Call]int // place in calls, by call with Count 0
	looked int64
	seen   []http.Header
}

// maxHeaders bounds the request headers remembered for checks.
const maxHeaders = 1024

// New returns a running service.
func New(s Settings) *Service {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Service{Faults: s.Faults, name: s.Name, part: fault.NewPart(), index: map[Call]int{}}
}

// Handler answers lookups, calls, GET /debug/calls, GET /debug/headers and the faults.
func (s *Service) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/tags/:id"), s.serveTag)
	for _, path := range []string{"/stamps/", "/bookings/", "/payments/"} {
		mux.HandleFunc(pat.Post(path+"*"), s.serveCall)
	}
	outer := goji.NewMux()
	outer.HandleFunc(pat.Get("/debug/calls"), func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Calls()) })
	outer.HandleFunc(pat.Get("/debug/headers"), func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Headers()) })
	outer.Handle(pat.New("/*"), s.Faults.Wrap(s.part.Context(), mux))
	return outer
}

// Serve answers requests on the listener until Stop.
func (s *Service) Serve(l net.Listener) error { return s.part.Serve(l, s.Handler()) }

// Stop ends the service.
func (s *Service) Stop() { s.part.Stop() }

// Done is closed when the service has stopped.
func (s *Service) Done() <-chan struct{} { return s.part.Done() }

// Calls returns the executions so far, in the order of the first of each.
func (s *Service) Calls() []Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Call{}, s.calls...)
}

// Lookups returns the number of lookups so far.
func (s *Service) Lookups() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.looked
}

// Headers returns the headers of the last requests, oldest first.
func (s *Service) Headers() []http.Header {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]http.Header{}, s.seen...)
}

func (s *Service) serveTag(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.looked++
	s.remember(r)
	s.mutex.Unlock()
	if s.Faults.Take(fault.LoseReply) {
		fault.Abort()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	answer(w, map[string]string{"id": pat.Param(r, "id"), "service": s.name, "state": "inspected"})
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, `{"error":{"type":"bad request"}}`, http.StatusBadRequest)
		return
	}
	digest := sha256.Sum256(body)
	call := Call{Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Body: hex.EncodeToString(digest[:])}
	done := s.execute(call, r)
	if s.Faults.Take(fault.LoseReply) {
		fault.Abort()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	answer(w, done)
}

func (s *Service) execute(call Call, r *http.Request) Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remember(r)
	i, ok := s.index[call]
	if !ok {
		i = len(s.calls)
		s.index[call] = i
		s.calls = append(s.calls, call)
	}
	s.calls[i].Count++
	return s.calls[i]
}

func (s *Service) remember(r *http.Request) {
	if len(s.seen) == maxHeaders {
		s.seen = append(s.seen[:0:0], s.seen[1:]...)
	}
	s.seen = append(s.seen, r.Header.Clone())
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
