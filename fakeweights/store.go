// Package fakeweights is a stand-in for the platform's weight store, for tests and the demo mode. It limits
// the rate at which model loads start, and loads take longer when many are in flight.
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

// Settings are the settings of a Store. The zero value is a store without limits, delays or faults.
type Settings struct {
	ModelLoadRate         float64       // model loads admitted per second; 0: no limit
	FullSpeedModelLoads   int           // model loads in flight at full speed; a load that starts beyond them takes longer in proportion; 0: no limit
	ModelLoadTime         time.Duration // duration of a model load at full speed
	AdapterLoadTime       time.Duration // duration of an adapter load at full speed
	FullSpeedAdapterLoads int           // adapter loads in flight at full speed; a load that starts beyond them takes longer in proportion; 0: no limit
	Faults                *fault.Set    // nil: a new set
}

// LoadCounts holds the numbers of loads that the store has completed and their peaks.
type LoadCounts struct {
	ModelLoads       int64 `json:"loads"`    // completed
	AdapterLoads     int64 `json:"adapters"` // completed
	PeakModelLoads   int   `json:"peak"`     // most model loads at once
	PeakAdapterLoads int   `json:"flight"`   // most adapter loads at once
}

// Store is a stand-in for the weight store. It is safe for concurrent use.
type Store struct {
	Faults        *fault.Set
	settings      Settings
	lifecycle     *fault.Lifecycle
	mutex         sync.Mutex
	nextAdmission time.Time // time at which the rate admits the next model load
	modelLoads    int       // in flight
	adapterLoads  int       // in flight
	counts        LoadCounts
}

// New returns a running store.
func New(s Settings) *Store {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Store{Faults: s.Faults, settings: s, lifecycle: fault.NewLifecycle()}
}

// Handler serves GET /weights/{name}?version=...&kind=model|adapter, which responds when the load has
// ended, the faults at fault.Path, and GET /count, which no fault affects.
func (s *Store) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/weights/:name"), s.serveWeights)
	outer := goji.NewMux()
	outer.HandleFunc(pat.Get("/count"), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.LoadCounts()) })
	outer.Handle(pat.New("/*"), s.Faults.Wrap(s.lifecycle.Context(), mux))
	return outer
}

// Serve handles requests on the listener until Stop is called.
func (s *Store) Serve(l net.Listener) error { return s.lifecycle.Serve(l, s.Handler()) }

// Stop stops the store and cuts off the loads in flight.
func (s *Store) Stop() { s.lifecycle.Stop() }

// Done returns a channel that is closed when the store has stopped.
func (s *Store) Done() <-chan struct{} { return s.lifecycle.Done() }

// LoadCounts returns the numbers of loads so far.
func (s *Store) LoadCounts() LoadCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.lifecycle.Context(), cancel)()
	adapter := r.URL.Query().Get("kind") == "adapter"
	if !adapter && !fault.Sleep(ctx, s.admissionDelay(time.Now())) {
		fault.Abort()
	}
	loadTime := s.startLoad(adapter)
	loaded := fault.Sleep(ctx, loadTime)
	s.finishLoad(adapter, loaded)
	if !loaded {
		fault.Abort()
	}
	writeJSON(w, map[string]string{"name": pat.Param(r, "name"), "version": r.URL.Query().Get("version")})
}

// admissionDelay reserves the next model load that the rate admits and returns the time until then.
func (s *Store) admissionDelay(now time.Time) time.Duration {
	if s.settings.ModelLoadRate <= 0 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.nextAdmission.Before(now) {
		s.nextAdmission = now
	}
	wait := s.nextAdmission.Sub(now)
	s.nextAdmission = s.nextAdmission.Add(time.Duration(float64(time.Second) / s.settings.ModelLoadRate))
	return wait
}

// startLoad counts the load as in flight and returns its duration, which depends on the number of loads in
// flight at its start.
func (s *Store) startLoad(adapter bool) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if adapter {
		s.adapterLoads++
		s.counts.PeakAdapterLoads = max(s.counts.PeakAdapterLoads, s.adapterLoads)
		return slowedLoadTime(s.settings.AdapterLoadTime, s.adapterLoads, s.settings.FullSpeedAdapterLoads)
	}
	s.modelLoads++
	s.counts.PeakModelLoads = max(s.counts.PeakModelLoads, s.modelLoads)
	return slowedLoadTime(s.settings.ModelLoadTime, s.modelLoads, s.settings.FullSpeedModelLoads)
}

// finishLoad ends a load in flight and counts it as completed if it was not cut off.
func (s *Store) finishLoad(adapter, loaded bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if adapter {
		s.adapterLoads--
	} else {
		s.modelLoads--
	}
	switch {
	case loaded && adapter:
		s.counts.AdapterLoads++
	case loaded:
		s.counts.ModelLoads++
	}
}

// slowedLoadTime returns the duration of a load: fullSpeedTime as long as at most fullSpeedLoads are in
// flight, longer in proportion beyond. A fullSpeedLoads of 0 means no limit.
func slowedLoadTime(fullSpeedTime time.Duration, inFlight, fullSpeedLoads int) time.Duration {
	if fullSpeedLoads <= 0 || inFlight <= fullSpeedLoads {
		return fullSpeedTime
	}
	return fullSpeedTime * time.Duration(inFlight) / time.Duration(fullSpeedLoads)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
