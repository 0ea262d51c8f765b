// Package caller serves the HTTP API of callers: completions by models, and calls to plain services.
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

// Backend is the host that the server runs on.
type Backend interface {
	Observer
	// OpenRequest passes a new request to the state machine. The channel delivers its RecordIntent, SendAttempt and RefuseRequest effects;
	// AbortRequest calls cancel instead.
	OpenRequest(arrived state.RequestArrived, cancel context.CancelCauseFunc) <-chan state.Effect
	// CloseRequest stops the delivery of effects for a request.
	CloseRequest(request uint64)
	// Apply passes an event to the state machine.
	Apply(event state.Event)
	// Now returns the host's monotonic time, the clock of the state machine.
	Now() time.Duration
	// View returns the host's copy of the shared state.
	View() *replica.View
	// Fresh reports whether the host's copy of the shared state is fresh.
	Fresh() bool
}

// Limits bound the size and duration of requests.
type Limits struct {
	MaxBodyBytes int64         // largest body of a request, in bytes
	CallTimeout  time.Duration // from the arrival of a request to the end of its response
}

// Server handles the requests of callers.
type Server struct {
	backend        Backend
	calls          *call.Calls
	limits         atomic.Pointer[Limits]
	hostID         string // member id of this host, the prefix of request ids
	sender         *sender
	log            hclog.Logger
	requestNumbers requestCounter
	objects        *object.Client
	recording      sync.WaitGroup // goroutines that record outcomes
}

// New returns a server for callers; host is the member id of this host.
func New(backend Backend, calls *call.Calls, objects *object.Client, limits Limits, host string, log hclog.Logger) *Server {
	s := &Server{
		backend: backend,
		calls:   calls,
		objects: objects,
		hostID:  host,
		sender:  newSender(),
		log:     log.Named("caller"),
	}
	s.limits.Store(&limits)
	return s
}

// SetLimits sets the limits of requests that arrive from now on.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Handler returns the handler for all paths of the API.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/models"), s.listModels)
	mux.HandleFunc(pat.Post("/v1/completions"), s.serveCompletion)
	mux.HandleFunc(pat.Post("/v1/chat/completions"), s.serveCompletion)
	mux.HandleFunc(pat.New("/*"), s.serveServiceCall)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// For a target without a path, such as "*", the router would write an error response of another format.
		if !strings.HasPrefix(r.URL.Path, "/") {
			badRequest("malformed_path", "the request needs a path").write(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
