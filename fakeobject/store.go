// Package fakeobject is a stand-in for the platform's object store, in memory.
package fakeobject

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"

	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/fault"
)

// maxObject is the most bytes of an object.
const maxObject = 64 << 20

// Settings of a store; the zero value is a store without faults.
type Settings struct {
	Faults *fault.Set // nil: a set of its own
}

// Store is the stand-in. The entity tag of an object is the digest of its content.
type Store struct {
	Faults  *fault.Set
	part    *fault.Part
	mutex   sync.Mutex
	objects map[string][]byte
}

// New returns an empty store.
func New(s Settings) *Store {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Store{Faults: s.Faults, part: fault.NewPart(), objects: map[string][]byte{}}
}

// Handler answers GET and PUT of objects, and the faults.
func (s *Store) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/*"), s.serveGet)
	mux.HandleFunc(pat.Put("/*"), s.servePut)
	return s.Faults.Wrap(s.part.Context(), mux)
}

// Serve answers requests on the listener until Stop.
func (s *Store) Serve(l net.Listener) error { return s.part.Serve(l, s.Handler()) }

// Stop ends the store.
func (s *Store) Stop() { s.part.Stop() }

// Done is closed when the store has stopped.
func (s *Store) Done() <-chan struct{} { return s.part.Done() }

func tagOf(data []byte) string {
	digest := sha256.Sum256(data)
	return `"` + hex.EncodeToString(digest[:16]) + `"`
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	data, ok := s.objects[r.URL.Path]
	s.mutex.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", tagOf(data))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.put(r, data) {
		http.Error(w, "the object has another entity tag", http.StatusPreconditionFailed)
		return
	}
	if s.Faults.Take(fault.LoseReply) {
		fault.Abort()
	}
	w.Header().Set("ETag", tagOf(data))
	w.WriteHeader(http.StatusNoContent)
}

// put writes the object when the conditions in the request's header hold.
func (s *Store) put(r *http.Request, data []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, exists := s.objects[r.URL.Path]
	if r.Header.Get("If-None-Match") == "*" && exists {
		return false
	}
	if tag := r.Header.Get("If-Match"); tag != "" && (!exists || (tag != "*" && tag != tagOf(old))) {
		return false
	}
	s.objects[r.URL.Path] = data
	return true
}
