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
	Rate    float64       // model loads admitted per second; 0: no limit
	Full    int           // model loads in flight at full speed; a load that starts beyond them takes longer in proportion; 0: no limit
	Load    time.Duration // duration of a model load at full speed
	Adapter time.Duration // duration of an adapter load at full speed
	Knee    int           // adapter loads in flight at full speed; a load that starts beyond them takes longer in proportion; 0: no limit
	Faults  *fault.Set    // nil: a new set
}

// Count holds the numbers of loads that the store has completed and their peaks.
type Count struct {
	Loads    int64 `json:"loads"`    // completed model loads
	Adapters int64 `json:"adapters"` // completed adapter loads
	Peak     int   `json:"peak"`     // most model loads at once
	Flight   int   `json:"flight"`   // most adapter loads at once
}

// Store is a stand-in for the weight store. It is safe for concurrent use.
type Store struct {
	Faults        *fault.Set
	settings      Settings
	lifecycle     *fault.Part
	mutex         sync.Mutex
	nextAdmission time.Time // time at which the rate admits the next model load
	modelLoads    int       // in flight
	adapterLoads  int       // in flight
	counts        Count
}

// New returns a running store.
func New(s Settings) *Store {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	return &Store{Faults: s.Faults, settings: s, lifecycle: fault.NewPart()}
}

// Handler serves GET /weights/{name}?version=...&kind=model|adapter, which responds when the load has
// ended, the faults at fault.Path, and GET /count, which no fault affects.
func (s *Store) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/weights/:name"), s.serveWeights)
	outer := goji.NewMux()
	outer.HandleFunc(pat.Get("/count"), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Count()) })
	outer.Handle(pat.New("/*"), s.Faults.Wrap(s.lifecycle.Context(), mux))
	return outer
}

// Serve handles requests on the listener until Stop is called.
func (s *Store) Serve(l net.Listener) error { return s.lifecycle.Serve(l, s.Handler()) }

// Stop stops the store and cuts off the loads in flight.
func (s *Store) Stop() { s.lifecycle.Stop() }

// Done returns a channel that is closed when the store has stopped.
func (s *Store) Done() <-chan struct{} { return s.lifecycle.Done() }

// Count returns the numbers of loads so far.
func (s *Store) Count() Count {
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
	if s.settings.Rate <= 0 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.nextAdmission.Before(now) {
		s.nextAdmission = now
	}
	wait := s.nextAdmission.Sub(now)
	s.nextAdmission = s.nextAdmission.Add(time.Duration(float64(time.Second) / s.settings.Rate))
	return wait
}

// startLoad counts the load as in flight and returns its duration, which depends on the number of loads in
// flight at its start.
func (s *Store) startLoad(adapter bool) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if adapter {
		s.adapterLoads++
		s.counts.Flight = max(s.counts.Flight, s.adapterLoads)
		return slowedLoadTime(s.settings.Adapter, s.adapterLoads, s.settings.Knee)
	}
	s.modelLoads++
	s.counts.Peak = max(s.counts.Peak, s.modelLoads)
	return slowedLoadTime(s.settings.Load, s.modelLoads, s.settings.Full)
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
		s.counts.Adapters++
	case loaded:
		s.counts.Loads++
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
