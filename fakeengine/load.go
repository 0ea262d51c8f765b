package fakeengine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Load is the engine's report.
type Load struct {
	Instance string     `json:"instance"`
	Running  int        `json:"running"`
	Waiting  int        `json:"waiting"`
	Free     int64      `json:"free"` // bytes
	Resident []Resident `json:"resident"`
	Orders   []Done     `json:"orders"` // the most recent last
	Fence    int64      `json:"fence"`  // the highest number seen
	Leaving  bool       `json:"leaving"`
}

// SetLeaving makes the engine report that it is about to go.
func (e *Engine) SetLeaving(leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = leaving
}

// Load returns the report as of now.
func (e *Engine) Load() Load {
	e.mutex.Lock()
	leaving := e.leaving
	e.mutex.Unlock()
	report := Load{Instance: e.settings.Instance, Leaving: leaving}
	report.Running, report.Waiting = e.batch.load()
	report.Resident, report.Free = e.memory.list()
	report.Fence, report.Orders = e.orders.report()
	return report
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(e.Faults.Faults().Lag)
	e.mutex.Lock()
	if e.last != nil && e.lastAge.Below(lag) {
		old := *e.last
		e.mutex.Unlock()
		answer(w, old)
		return
	}
	e.mutex.Unlock()
	report := e.Load()
	e.mutex.Lock()
	e.last = &report
	e.lastAge.Start()
	e.mutex.Unlock()
	answer(w, report)
}

// indexed is an entry of the KServe repository index.
type indexed struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
}

func (e *Engine) serveIndex(w http.ResponseWriter, _ *http.Request) {
	states := map[Phase]string{Ready: "READY", Loading: "LOADING", Unloading: "UNLOADING"}
	residents, _ := e.memory.list()
	list := make([]indexed, 0, len(residents))
	for _, r := range residents {
		list = append(list, indexed{Name: r.Name, Version: r.Version, State: states[r.State]})
	}
	answer(w, list)
}

func (e *Engine) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Leaving bool `json:"leaving"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder)).Decode(&request); err != nil {
		(&problem{http.StatusBadRequest, badRequest, err.Error()}).write(w)
		return
	}
	e.SetLeaving(request.Leaving)
	answer(w, request)
}
