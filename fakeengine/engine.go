// Package fakeengine is a stand-in for a model engine, for tests and the demo mode. It responds to
// completion requests with text that is derived from the request, and carries out orders to load and
// unload models and adapters within a simulated memory.
package fakeengine

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/fault"
)

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	Faults          *fault.Set
	settings        Settings
	lifecycle       *fault.Lifecycle
	batch           *batch
	memory          *memory
	orders          *orderLog
	events          *eventLog
	generations     *resumableGenerations
	requests        requestRing
	requestsWithKey atomic.Int64

	mutex          sync.Mutex
	serving        context.Context    // parent of the contexts of all requests; ends when the Down fault is set, and is then replaced
	cutOffRequests context.CancelFunc // ends serving
	leaving        bool
	lastReport     *LoadReport // served again while it is younger than the Lag fault
	lastReportAge  fault.Stopwatch
}

// New returns a running engine. Residents of the settings that exceed the memory are left out.
func New(s Settings) *Engine {
	if s.Instance == "" {
		s.Instance = rand.Text()
	}
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	if s.Client == nil {
		s.Client = &http.Client{}
	}
	e := &Engine{Faults: s.Faults, settings: s, lifecycle: fault.NewLifecycle(), batch: &batch{slots: s.Slots},
		memory: &memory{size: s.Memory}, orders: newOrderLog(), events: newEventLog(),
		generations: &resumableGenerations{byAttempt: map[string]*generation{}}}
	e.serving, e.cutOffRequests = context.WithCancel(e.lifecycle.Context())
	s.Faults.Watch(e.faultsChanged)
	for _, r := range s.Resident {
		if item, isNew, refusal := e.memory.reserve(r); refusal == nil && isNew {
			e.memory.finishLoad(item, true)
		}
	}
	return e
}

// faultsChanged cuts off all running requests when the Down fault is set.
func (e *Engine) faultsChanged(f fault.Faults) {
	if !f.Down {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cutOffRequests()
	e.serving, e.cutOffRequests = context.WithCancel(e.lifecycle.Context())
}

// Handler serves completion requests, orders, reports, and the faults at fault.Path. The faults do not
// affect the paths by which tests inspect and control the engine: those below /debug and PUT /v2/leaving.
func (e *Engine) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/completions"), e.serveCompletion)
	mux.HandleFunc(pat.Post("/v1/chat/completions"), e.serveCompletion)
	mux.HandleFunc(pat.Post("/v2/repository/models/:name/load"), e.serveLoadOrder)
	mux.HandleFunc(pat.Post("/v2/repository/models/:name/unload"), e.serveUnloadOrder)
	mux.HandleFunc(pat.Post("/v2/repository/index"), e.serveIndex)
	mux.HandleFunc(pat.Post("/v2/fence"), e.serveFence)
	mux.HandleFunc(pat.Get("/v2/load"), e.serveLoad)
	mux.HandleFunc(pat.Get("/v2/cache/events"), e.serveEvents)
	outer := goji.NewMux()
	outer.HandleFunc(pat.Get("/debug/requests"), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Requests()) })
	outer.HandleFunc(pat.Get("/debug/memory"), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.MemoryUsage()) })
	outer.HandleFunc(pat.Get("/debug/keys"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"keys": e.RequestsWithKey()})
	})
	outer.HandleFunc(pat.Put("/v2/leaving"), e.serveLeaving)
	outer.Use(e.countRequestsWithKey)
	outer.Handle(pat.New("/*"), e.Faults.Wrap(e.lifecycle.Context(), mux))
	return outer
}

// Serve handles requests on the listener until Stop is called.
func (e *Engine) Serve(l net.Listener) error { return e.lifecycle.Serve(l, e.Handler()) }

// Stop stops the engine; it cuts off running requests and ends running orders as failed.
func (e *Engine) Stop() { e.lifecycle.Stop() }

// Done returns a channel that is closed when the engine has stopped.
func (e *Engine) Done() <-chan struct{} { return e.lifecycle.Done() }

// Requests returns the latest completion requests, oldest first.
func (e *Engine) Requests() []RequestRecord { return e.requests.records() }

// RequestsWithKey returns the number of requests, on any path, with a header that can carry a client's key.
func (e *Engine) RequestsWithKey() int64 { return e.requestsWithKey.Load() }

// countRequestsWithKey is the middleware that counts requests with a header that can carry a client's key.
func (e *Engine) countRequestsWithKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, field := range []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Cookie"} {
			if r.Header.Get(field) != "" {
				e.requestsWithKey.Add(1)
				break
			}
		}
		next.ServeHTTP(w, r)
	})
}

// MemoryUsage returns how the engine's memory is used and has been used since its start.
func (e *Engine) MemoryUsage() MemoryUsage {
	e.memory.mutex.Lock()
	defer e.memory.mutex.Unlock()
	return MemoryUsage{Size: e.memory.size, Used: e.memory.used, Peak: e.memory.peak, RefusedLoads: e.memory.refusedLoads}
}

// PeakMemory returns the highest use of memory since the start in bytes, counting loads that were refused.
func (e *Engine) PeakMemory() int64 { return e.MemoryUsage().Peak }

// RefusedLoads returns the number of loads that were refused for lack of memory.
func (e *Engine) RefusedLoads() int64 { return e.MemoryUsage().RefusedLoads }

// MemoryUsage holds the use of an engine's memory. Peak counts loads that were refused, so that an order that
// would have overcommitted the memory shows in it.
type MemoryUsage struct {
	Size         int64 `json:"size"`       // bytes
	Used         int64 `json:"used"`       // bytes
	Peak         int64 `json:"peak"`       // bytes
	RefusedLoads int64 `json:"violations"` // loads refused because they would have exceeded Size
}

// requestContext returns a context that ends with the request, when the engine stops or when the Down
// fault is set.
func (e *Engine) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	e.mutex.Lock()
	serving := e.serving
	e.mutex.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(serving, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
