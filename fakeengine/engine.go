// Package fakeengine is a stand-in for a model engine: it answers completions with text derived
// from the request, and carries out orders within its memory.
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

// Engine is the stand-in.
type Engine struct {
	Faults      *fault.Set
	settings    Settings
	part        *fault.Part
	batch       *batch
	memory      *memory
	orders      *orders
	events      *events
	generations *generations
	requests    ring
	keys        atomic.Int64

	mutex   sync.Mutex
	alive   context.Context // ends when Down is set, and with it every running request
	kill    context.CancelFunc
	leaving bool
	last    *Load // the report served while it is younger than Lag
	lastAge fault.Stopwatch
}

// New returns a running engine.
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
	e := &Engine{Faults: s.Faults, settings: s, part: fault.NewPart(), batch: &batch{slots: s.Slots},
		memory: &memory{size: s.Memory}, orders: newOrders(), events: newEvents(),
		generations: &generations{all: map[string]*generation{}}}
	e.alive, e.kill = context.WithCancel(e.part.Context())
	s.Faults.Watch(e.changed)
	for _, r := range s.Resident {
		if one, fresh, refusal := e.memory.reserve(r); refusal == nil && fresh {
			e.memory.loaded(one, true)
		}
	}
	return e
}

// changed cuts off every running request when the engine goes down.
func (e *Engine) changed(f fault.Faults) {
	if !f.Down {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.kill()
	e.alive, e.kill = context.WithCancel(e.part.Context())
}

// Handler answers callers, orders, reports and the faults. The faults do not affect /debug and
// PUT /v2/leaving, by which a test controls the engine.
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
	outer.HandleFunc(pat.Get("/debug/requests"), func(w http.ResponseWriter, _ *http.Request) { answer(w, e.Requests()) })
	outer.HandleFunc(pat.Get("/debug/memory"), func(w http.ResponseWriter, _ *http.Request) { answer(w, e.Memory()) })
	outer.HandleFunc(pat.Get("/debug/keys"), func(w http.ResponseWriter, _ *http.Request) { answer(w, map[string]int64{"keys": e.Keys()}) })
	outer.HandleFunc(pat.Put("/v2/leaving"), e.serveLeaving)
	outer.Use(e.countKeys)
	outer.Handle(pat.New("/*"), e.Faults.Wrap(e.part.Context(), mux))
	return outer
}

// Serve answers requests on the listener until Stop.
func (e *Engine) Serve(l net.Listener) error { return e.part.Serve(l, e.Handler()) }

// Stop ends the engine and cuts off what is running.
func (e *Engine) Stop() { e.part.Stop() }

// Done is closed when the engine has stopped.
func (e *Engine) Done() <-chan struct{} { return e.part.Done() }

// Requests returns the last requests of callers, oldest first.
func (e *Engine) Requests() []Record { return e.requests.list() }

// Keys returns how many requests, on any path, came with a header that carries a key.
func (e *Engine) Keys() int64 { return e.keys.Load() }

func (e *Engine) countKeys(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, field := range []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Cookie"} {
			if r.Header.Get(field) != "" {
				e.keys.Add(1)
				break
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Memory tells how the engine's memory has been used since its start.
func (e *Engine) Memory() Memory {
	e.memory.mutex.Lock()
	defer e.memory.mutex.Unlock()
	return Memory{Size: e.memory.size, Used: e.memory.used, Peak: e.memory.peak, Violations: e.memory.violations}
}

// Peak returns the most bytes ever asked for at once, refused loads included.
func (e *Engine) Peak() int64 { return e.Memory().Peak }

// Violations returns how many loads were refused for lack of memory.
func (e *Engine) Violations() int64 { return e.Memory().Violations }

// Memory is in bytes, except Violations, the number of loads beyond Size. Peak includes refused
// loads, so that an order that would have overcommitted the memory shows in it.
type Memory struct {
	Size       int64 `json:"size"`
	Used       int64 `json:"used"`
	Peak       int64 `json:"peak"`
	Violations int64 `json:"violations"`
}

// scope returns a context that ends with the request, the engine or a Down fault.
func (e *Engine) scope(r *http.Request) (context.Context, context.CancelFunc) {
	e.mutex.Lock()
	alive := e.alive
	e.mutex.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(alive, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
