// Package fakeobject is an in-memory stand-in for the platform's object store, for tests and the demo
// mode.
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

// maxObjectBytes bounds the size of an object.
const maxObjectBytes = 64 << 20

// Settings are the settings of a Store. The zero value is a store without faults.
type Settings struct {
	Faults *fault.Set // nil: a new set
}

// Store is a stand-in for the object store. It is safe for concurrent use.
type Store struct {
	Faults    *fault.Set
	lifecycle *fault.Lifecycle
	mutex     sync.Mutex
	objects   map[string][]byte // by URL path
}

// New returns a running store without objects.
func New(s Settings) *Store {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Store{Faults: s.Faults, lifecycle: fault.NewLifecycle(), objects: map[string][]byte{}}
}

// Handler serves GET and PUT of objects, with the conditions If-None-Match: * and If-Match, and the faults
// at fault.Path.
func (s *Store) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/*"), s.serveGet)
	mux.HandleFunc(pat.Put("/*"), s.servePut)
	return s.Faults.Wrap(s.lifecycle.Context(), mux)
}

// Serve handles requests on the listener until Stop is called.
func (s *Store) Serve(l net.Listener) error { return s.lifecycle.Serve(l, s.Handler()) }

// Stop stops the store.
func (s *Store) Stop() { s.lifecycle.Stop() }

// Done returns a channel that is closed when the store has stopped.
func (s *Store) Done() <-chan struct{} { return s.lifecycle.Done() }

// entityTag returns the entity tag of an object: a digest of its content, in quotes.
func entityTag(data []byte) string {
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
	w.Header().Set("ETag", entityTag(data))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

// servePut responds with 412 if a condition does not hold. The LoseReply fault closes the connection after the
// object has been written.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.put(r, data) {
		http.Error(w, "the object has another entity tag", http.StatusPreconditionFailed)
		return
	}
	if s.Faults.Consume(fault.LoseReply) {
		fault.Abort()
	}
	w.Header().Set("ETag", entityTag(data))
	w.WriteHeader(http.StatusNoContent)
}

// put writes the object if the conditions in the request's header hold; otherwise it returns false.
func (s *Store) put(r *http.Request, data []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, exists := s.objects[r.URL.Path]
	if r.Header.Get("If-None-Match") == "*" && exists {
		return false
	}
	if tag := r.Header.Get("If-Match"); tag != "" && (!exists || (tag != "*" && tag != entityTag(old))) {
		return false
	}
	s.objects[r.URL.Path] = data
	return true
}
