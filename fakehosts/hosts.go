// Package fakehosts is a stand-in for the platform's list of hosts.
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

// maxList is the most bytes of a list.
const maxList = 1 << 20

// Settings of a list; the zero value is an empty list without faults.
type Settings struct {
	Hosts  []Host
	Faults *fault.Set // nil: a set of its own
}

// Host is one entry of the list.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Hosts is the stand-in.
type Hosts struct {
	Faults *fault.Set
	part   *fault.Part
	mutex  sync.Mutex
	list   []Host
	stale  []Host // the list as of the moment Stale was set; nil when it is not set
}

// New returns the list with its first entries.
func New(s Settings) *Hosts {
	if s.Faults == nil {
		s.Faults = fault.NewSet()
	}
	h := &Hosts{Faults: s.Faults, part: fault.NewPart(), list: append([]Host{}, s.Hosts...)}
	h.Faults.Watch(h.changed)
	h.changed(s.Faults.Faults())
	return h
}

func (h *Hosts) changed(f fault.Faults) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case !f.Stale:
		h.stale = nil
	case h.stale == nil:
		h.stale = h.list
	}
}

// Replace sets the entries.
func (h *Hosts) Replace(list []Host) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.list = append([]Host{}, list...)
}

// List returns the entries that are served, the old ones while the list is stale.
func (h *Hosts) List() []Host {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.stale != nil {
		return append([]Host{}, h.stale...)
	}
	return append([]Host{}, h.list...)
}

// Handler answers GET /v1/hosts with the list and PUT /v1/hosts by replacing it, and the faults.
// A PUT works also while the list is down.
func (h *Hosts) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/hosts"), func(w http.ResponseWriter, _ *http.Request) { answer(w, h.List()) })
	outer := goji.NewMux()
	outer.HandleFunc(pat.Put("/v1/hosts"), h.servePut)
	outer.Handle(pat.New("/*"), h.Faults.Wrap(h.part.Context(), mux))
	return outer
}

// Serve answers requests on the listener until Stop.
func (h *Hosts) Serve(l net.Listener) error { return h.part.Serve(l, h.Handler()) }

// Stop ends the list.
func (h *Hosts) Stop() { h.part.Stop() }

// Done is closed when the list has stopped.
func (h *Hosts) Done() <-chan struct{} { return h.part.Done() }

func (h *Hosts) servePut(w http.ResponseWriter, r *http.Request) {
	var list []Host
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxList)).Decode(&list); err != nil {
		http.Error(w, "fakehosts: unable to read the list: "+err.Error(), http.StatusBadRequest)
		return
	}
	h.Replace(list)
	answer(w, h.List())
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
