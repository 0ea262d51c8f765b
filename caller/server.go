// Package caller is the HTTP interface towards callers.
package caller

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/call"
	"magnoliahoist/object"
	"magnoliahoist/replica"
	"magnoliahoist/state"
)

// Backend is the host behind the interface.
type Backend interface {
	Observer
	// Open takes a request. Begin, Send and Refuse effects come over the channel; cancel is called on a Cut.
	Open(arrive state.Arrive, cancel context.CancelCauseFunc) <-chan state.Effect
	// Close forgets a request.
	Close(request uint64)
	// Apply reports an event.
	Apply(event state.Event)
	// Now returns the monotonic time of the host's events.
	Now() time.Duration
	// View returns the shared state as the host knows it.
	View() *replica.View
	// Fresh reports whether the host may rely on the shared state.
	Fresh() bool
}

// Limits bound what a caller may send.
type Limits struct {
	Body int64         // bytes of a request's body
	Call time.Duration // whole call
}

// Server answers callers.
type Server struct {
	backend Backend
	calls   *call.Calls
	limits  atomic.Pointer[Limits]
	host    string // prefix of request ids
	sender  *sender
	log     hclog.Logger
	ids     idSource
	objects *object.Client
	closing sync.WaitGroup
}

// New returns a server for callers; host is the id of this host's member.
func New(backend Backend, calls *call.Calls, objects *object.Client, limits Limits, host string, log hclog.Logger) *Server {
	s := &Server{
		backend: backend,
		calls:   calls,
		objects: objects,
		host:    host,
		sender:  newSender(),
		log:     log.Named("caller"),
	}
	s.limits.Store(&limits)
	return s
}

// SetLimits changes the limits for requests that arrive from now on.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Handler returns the routes of the interface.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/models"), s.listModels)
	mux.HandleFunc(pat.Post("/v1/completions"), s.complete)
	mux.HandleFunc(pat.Post("/v1/chat/completions"), s.complete)
	mux.HandleFunc(pat.New("/*"), s.service)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The router answers a target without a path, such as "*", in its own form.
		if !strings.HasPrefix(r.URL.Path, "/") {
			badRequest("malformed_path", "the request needs a path").write(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
