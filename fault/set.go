package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Path is where a Set is read (GET) and replaced (POST).
const Path = "/fault"

// maxBody is the most bytes read of a set of faults.
const maxBody = 64 << 10

// Set is the set of faults of one stand-in, safe for concurrent use.
type Set struct {
	order  sync.Mutex // held over a replacement, so that watchers see replacements in order
	mutex  sync.Mutex
	faults Faults
	watch  []func(Faults)
}

// NewSet returns a set without faults.
func NewSet() *Set { return &Set{} }

// Replace puts the faults in force and ends those that were set before.
func (s *Set) Replace(f Faults) {
	s.order.Lock()
	defer s.order.Unlock()
	s.mutex.Lock()
	s.faults = f
	watch := s.watch
	s.mutex.Unlock()
	for _, changed := range watch {
		changed(f)
	}
}

// Watch calls the function after every replacement; it must not replace the faults itself.
func (s *Set) Watch(changed func(Faults)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watch = append(s.watch, changed)
}

// Faults returns the faults in force.
func (s *Set) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Take tells whether the counter's fault affects this operation, and counts it down.
func (s *Set) Take(c Counter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := s.faults.counter(c)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// ServeHTTP answers GET with the faults in force and POST by replacing them.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		var f Faults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, "fault: unable to read the faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		s.Replace(f)
	default:
		http.Error(w, "fault: only GET and POST are allowed", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Faults())
}

// Wrap serves the set at Path and applies Slow, Down and Refuse to everything else. Requests that
// are being slowed are cut off when the context ends.
func (s *Set) Wrap(running context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			s.ServeHTTP(w, r)
			return
		}
		if slow := time.Duration(s.Faults().Slow); slow > 0 {
			s.slow(running, r, slow)
		}
		f := s.Faults()
		if f.Down {
			Abort()
		}
		if f.Refuse {
			// Endpoints repeat the id of the attempt in every answer.
			if id := r.Header.Get("X-Request-Id"); id != "" {
				w.Header().Set("X-Request-Id", id)
			}
			w.Header().Set("X-Run", "no")
			http.Error(w, `{"error":{"type":"unavailable","message":"not carried out","run":"no"}}`, http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// slow delays the request; it closes the connection when the stand-in stops or the caller leaves.
func (s *Set) slow(running context.Context, r *http.Request, d time.Duration) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(running, cancel)()
	if !Sleep(ctx, d) {
		Abort()
	}
}

// Abort closes the connection of the request that the calling handler serves.
func Abort() { panic(http.ErrAbortHandler) }

// Sleep waits and reports false when the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
