package fakeengine

import (
	"encoding/json"
	"net/http"
	"time"
)

// LoadReport is the load report of an engine.
type LoadReport struct {
	Instance      string         `json:"instance"` // id of the engine process
	Running       int            `json:"running"`  // requests in slots
	Waiting       int            `json:"waiting"`  // requests waiting for a slot
	FreeMemory    int64          `json:"free"`     // bytes
	Resident      []ResidentItem `json:"resident"`
	OrderResults  []OrderResult  `json:"orders"`  // results of recent orders, the most recent last
	FencingNumber int64          `json:"fence"`   // highest fencing number seen
	Leaving       bool           `json:"leaving"` // whether the engine has announced that it shuts down
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = leaving
}

// LoadReport returns the current load report, without the Lag fault.
func (e *Engine) LoadReport() LoadReport {
	e.mutex.Lock()
	leaving := e.leaving
	e.mutex.Unlock()
	report := LoadReport{Instance: e.settings.Instance, Leaving: leaving}
	report.Running, report.Waiting = e.batch.counts()
	report.Resident, report.FreeMemory = e.memory.residents()
	report.FencingNumber, report.OrderResults = e.orders.report()
	return report
}

// serveLoad responds with a load report that the Lag fault may have aged.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(e.Faults.Faults().Lag)
	e.mutex.Lock()
	if e.lastReport != nil && e.lastReportAge.ElapsedBelow(lag) {
		recent := *e.lastReport
		e.mutex.Unlock()
		writeJSON(w, recent)
		return
	}
	e.mutex.Unlock()
	report := e.LoadReport()
	e.mutex.Lock()
	e.lastReport = &report
	e.lastReportAge.Start()
	e.mutex.Unlock()
	writeJSON(w, report)
}

// indexEntry is an entry of the KServe repository index.
type indexEntry struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
}

func (e *Engine) serveIndex(w http.ResponseWriter, _ *http.Request) {
	states := map[Phase]string{Ready: "READY", Loading: "LOADING", Unloading: "UNLOADING"}
	residents, _ := e.memory.residents()
	list := make([]indexEntry, 0, len(residents))
	for _, r := range residents {
		list = append(list, indexEntry{Name: r.Name, Version: r.Version, State: states[r.State]})
	}
	writeJSON(w, list)
}

func (e *Engine) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Leaving bool `json:"leaving"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&request); err != nil {
		(&problem{http.StatusBadRequest, badRequest, err.Error()}).write(w)
		return
	}
	e.SetLeaving(request.Leaving)
	writeJSON(w, request)
}
