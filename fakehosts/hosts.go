// Package fakehosts is an in-memory stand-in for the platform's list of hosts, for tests and the demo
// mode.
package fakehosts

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"

	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/fault"
)

// maxListBytes bounds the JSON body of a PUT request.
const maxListBytes = 1 << 20

// Settings are the settings of a Hosts list. The zero value is an empty list without faults.
type Settings struct {
	Hosts  []Host
	Faults *fault.Set // nil: a new set
}

// Host is one entry of the list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port
	State   State  `json:"state"`
}

// Hosts is a stand-in for the list of hosts. It is safe for concurrent use.
type Hosts struct {
	Faults    *fault.Set
	lifecycle *fault.Lifecycle
	mutex     sync.Mutex
	list      []Host
	staleList []Host // the list at the time at which the Stale fault was set; nil while it is not set
}

// New returns a running list with the hosts of the settings.
func New(s Settings) *Hosts {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	h := &Hosts{Faults: s.Faults, lifecycle: fault.NewLifecycle(), list: append([]Host{}, s.Hosts...)}
	h.Faults.Watch(h.faultsChanged)
	h.faultsChanged(s.Faults.Faults())
	return h
}

// faultsChanged keeps a copy of the list while the Stale fault is set.
func (h *Hosts) faultsChanged(f fault.Faults) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case !f.Stale:
		h.staleList = nil
	case h.staleList == nil:
		h.staleList = h.list
	}
}

// Replace replaces all entries of the list.
func (h *Hosts) Replace(list []Host) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.list = append([]Host{}, list...)
}

// List returns the entries that are served: while the Stale fault is set, those at the time it was set.
func (h *Hosts) List() []Host {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.staleList != nil {
		return append([]Host{}, h.staleList...)
	}
	return append([]Host{}, h.list...)
}

// Handler serves GET /v1/hosts, which returns the list, PUT /v1/hosts, which replaces it, and the faults
// at fault.Path. The faults do not affect PUT, so that a test can change the list while it is down.
func (h *Hosts) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/hosts"), func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.List()) })
	outer := goji.NewMux()
	outer.HandleFunc(pat.Put("/v1/hosts"), h.servePut)
	outer.Handle(pat.New("/*"), h.Faults.Wrap(h.lifecycle.Context(), mux))
	return outer
}

// Serve handles requests on the listener until Stop is called.
func (h *Hosts) Serve(l net.Listener) error { return h.lifecycle.Serve(l, h.Handler()) }

// Stop stops the list.
func (h *Hosts) Stop() { h.lifecycle.Stop() }

// Done returns a channel that is closed when the list has stopped.
func (h *Hosts) Done() <-chan struct{} { return h.lifecycle.Done() }

func (h *Hosts) servePut(w http.ResponseWriter, r *http.Request) {
	var list []Host
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxListBytes)).Decode(&list); err != nil {
		http.Error(w, "fakehosts: unable to read the list: "+err.Error(), http.StatusBadRequest)
		return
	}
	h.Replace(list)
	writeJSON(w, h.List())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
