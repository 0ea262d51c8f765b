package endpoint

import "time"

// Status is what a view knows of one endpoint.
type Status struct {
	Endpoint Endpoint
	Running  int // calls of this host
	Models   []string
	Ejected  bool
	Leaving  bool
	Reported bool          // has said what it holds
	Taken    time.Duration // time of the last load report; 0 without one
}

// Inspect returns what is known of every endpoint.
func (v *View) Inspect() []Status {
	var list []Status
	for i := range v.entries {
		e := &v.entries[i]
		if e.gone {
			continue
		}
		status := Status{Endpoint: e.Endpoint, Running: e.calls, Ejected: e.ejected, Leaving: e.leaving, Reported: e.reported, Taken: e.taken}
		for _, held := range e.holding {
			status.Models = append(status.Models, held.Model)
		}
		list = append(list, status)
	}
	return list
}

// AppendEjected appends the names of the endpoints that get no calls after failures, but for a probe.
func (v *View) AppendEjected(names []string) []string {
	for i := range v.entries {
		if e := &v.entries[i]; !e.gone && e.ejected {
			names = append(names, e.Name)
		}
	}
	return names
}
