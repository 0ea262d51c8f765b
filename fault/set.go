package fault

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Path is the URL path at which the faults of a Set are read (GET) and replaced (POST).
const Path = "/fault"

// maxBodyBytes bounds the body of a request that replaces the faults.
const maxBodyBytes = 64 << 10

// Set holds the faults of one stand-in. It is safe for concurrent use.
type Set struct {
	replaceMutex sync.Mutex // held while the faults are replaced and the watchers called, so that watchers see replacements in order
	mutex        sync.Mutex
	faults       Faults
	watchers     []func(Faults)
}

// NewSet returns a set with no fault switched on.
func NewSet() *Set { return &Set{} }

// Replace replaces all faults and then calls the watchers.
func (s *Set) Replace(f Faults) {
	s.replaceMutex.Lock()
	defer s.replaceMutex.Unlock()
	s.mutex.Lock()
	s.faults = f
	watchers := s.watchers
	s.mutex.Unlock()
	for _, watcher := range watchers {
		watcher(f)
	}
}

// Watch registers a function that is called after every replacement. It must not call Replace.
func (s *Set) Watch(watcher func(Faults)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchers = append(s.watchers, watcher)
}

// Faults returns the current faults.
func (s *Set) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Consume reports whether the fault of a counter affects the current operation, and decrements the counter if so.
func (s *Set) Consume(c Counter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remaining := s.faults.remaining(c)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// ServeHTTP responds to GET with the current faults. POST replaces them, and the response holds the new ones.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		var f Faults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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

// Wrap returns a handler that serves the set at Path, applies Slow, Down and Refuse to all other requests and passes those that
// are not stopped by a fault to the next handler. When the lifetime ends, the connections of requests that are being delayed
// are closed.
func (s *Set) Wrap(lifetime context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			s.ServeHTTP(w, r)
			return
		}
		if delay := time.Duration(s.Faults().Slow); delay > 0 {
			s.delayRequest(lifetime, r, delay)
		}
		f := s.Faults()
		if f.Down {
			Abort()
		}
		if f.Refuse {
			// Endpoints repeat the id of the request in every response.
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

// delayRequest delays a request. It closes the connection if the lifetime ends or the client disconnects meanwhile.
func (s *Set) delayRequest(lifetime context.Context, r *http.Request, delay time.Duration) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(lifetime, cancel)()
	if !Sleep(ctx, delay) {
		Abort()
	}
}

// Abort ends the calling handler and closes the connection of its request, even in the middle of a response.
func Abort() { panic(http.ErrAbortHandler) }

// Sleep waits for the duration and reports true, or false as soon as the context has ended.
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
