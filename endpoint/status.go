package endpoint

import "time"

// Status describes one endpoint for display.
type Status struct {
	Endpoint      Endpoint
	OwnCalls      int      // this host's calls in flight
	Models        []string // names of the resident models
	Ejected       bool
	Leaving       bool
	ModelsKnown   bool          // the endpoint has reported its resident models
	ReportTakenAt time.Duration // of the last load report; 0 without one
}

// Statuses returns the status of every endpoint.
func (v *View) Statuses() []Status {
	var list []Status
	for i := range v.entries {
		e := &v.entries[i]
		if e.removed {
			continue
		}
		status := Status{Endpoint: e.Endpoint, OwnCalls: e.ownCalls, Ejected: e.ejected, Leaving: e.leaving, ModelsKnown: e.modelsKnown, ReportTakenAt: e.reportTakenAt}
		for _, held := range e.resident {
			status.Models = append(status.Models, held.Model)
		}
		list = append(list, status)
	}
	return list
}

// AppendEjected appends the names of the ejected endpoints, which get no calls except probes.
func (v *View) AppendEjected(names []string) []string {
	for i := range v.entries {
		if e := &v.entries[i]; !e.removed && e.ejected {
			names = append(names, e.Name)
		}
	}
	return names
}
