// Package fakeweights is a stand-in for the platform's weight store, limited in rate and concurrency.
package fakeweights

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/fault"
)

// Settings of a store.
type Settings struct {
	Rate    float64       // loads of models admitted a second; 0: no limit
	Full    int           // loads at once at full speed, slower in proportion beyond; 0: no limit
	Load    time.Duration // of a model at full speed
	Adapter time.Duration // of an adapter below the knee
	Knee    int           // adapter loads in flight beyond which they slow down in proportion; 0: none
	Faults  *fault.Set    // nil: a set of its own
}

// Count is what the store has served.
type Count struct {
	Loads    int64 `json:"loads"`    // models
	Adapters int64 `json:"adapters"` // adapters
	Peak     int   `json:"peak"`     // most loads of models at once
	Flight   int   `json:"flight"`   // most loads of adapters at once
}

// Store is the stand-in.
type Store struct {
	Faults   *fault.Set
	settings Settings
	part     *fault.Part
	mutex    sync.Mutex
	next     time.Time // when the rate admits the next load
	models   int       // in flight
	adapters int       // in flight
	count    Count
}

// New returns a running store.
func New(s Settings) *Store {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Store{Faults: s.Faults, settings: s, part: fault.NewPart()}
}

// Handler answers GET /weights/{model}?version=...&kind=model|adapter, GET /count and the faults.
func (s *Store) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/weights/:name"), s.serveWeights)
	outer := goji.NewMux()
	outer.HandleFunc(pat.Get("/count"), func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Count()) })
	outer.Handle(pat.New("/*"), s.Faults.Wrap(s.part.Context(), mux))
	return outer
}

// Serve answers requests on the listener until Stop.
func (s *Store) Serve(l net.Listener) error { return s.part.Serve(l, s.Handler()) }

// Stop ends the store.
func (s *Store) Stop() { s.part.Stop() }

// Done is closed when the store has stopped.
func (s *Store) Done() <-chan struct{} { return s.part.Done() }

// Count returns what the store has served so far.
func (s *Store) Count() Count {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.part.Context(), cancel)()
	adapter := r.URL.Query().Get("kind") == "adapter"
	if !adapter && !fault.Sleep(ctx, s.admit(time.Now())) {
		fault.Abort()
	}
	took := s.begin(adapter)
	ok := fault.Sleep(ctx, took)
	s.end(adapter, ok)
	if !ok {
		fault.Abort()
	}
	answer(w, map[string]string{"name": pat.Param(r, "name"), "version": r.URL.Query().Get("version")})
}

// admit returns how long the load waits for the rate.
func (s *Store) admit(now time.Time) time.Duration {
	if s.settings.Rate <= 0 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next.Before(now) {
		s.next = now
	}
	wait := s.next.Sub(now)
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.settings.Rate))
	return wait
}

// begin counts the load and returns how long it takes with what is in flight at its start.
func (s *Store) begin(adapter bool) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if adapter {
		s.adapters++
		s.count.Flight = max(s.count.Flight, s.adapters)
		return slowed(s.settings.Adapter, s.adapters, s.settings.Knee)
	}
	s.models++
	s.count.Peak = max(s.count.Peak, s.models)
	return slowed(s.settings.Load, s.models, s.settings.Full)
}

func (s *Store) end(adapter, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if adapter {
		s.adapters--
	} else {
		s.models--
	}
	switch {
	case ok && adapter:
		s.count.Adapters++
	case ok:
		s.count.Loads++
	}
}

func slowed(full time.Duration, flight, knee int) time.Duration {
	if knee <= 0 || flight <= knee {
		return full
	}
	return full * time.Duration(flight) / time.Duration(knee)
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
