package timeline

import (
	"encoding/json"
	"io"
)

// record is one entry of the Chrome trace event format.
type record struct {
	Name     string         `json:"name"`
	Category string         `json:"cat,omitempty"`
	Phase    string         `json:"ph"`
	Time     float64        `json:"ts"` // microseconds
	Process  int            `json:"pid"`
	Thread   int            `json:"tid"`
	ID       string         `json:"id,omitempty"`
	Scope    string         `json:"s,omitempty"`
	Args     map[string]any `json:"args,omitempty"`
}

// Phases of the format.
const (
	phaseBegin    = "b" // of an asynchronous span
	phaseEnd      = "e"
	phaseInstant  = "i"
	phaseMetadata = "M"
)

// WriteTrace writes the events in the Chrome trace event format: one process a host, a span
// for each request and each attempt, and every event as an instant. Times count from the
// first event. A span whose end is missing stays open.
func WriteTrace(w io.Writer, events []Event) error {
	records := []record{}
	processes := map[string]int{}
	for _, e := range events {
		if processes[e.Host] == 0 {
			processes[e.Host] = len(processes) + 1
			records = append(records, record{Name: "process_name", Phase: phaseMetadata, Process: processes[e.Host], Args: map[string]any{"name": e.Host}})
		}
		at := float64(e.Stamp.Wall-events[0].Stamp.Wall) / 1000
		records = append(records, spans(e, at, processes[e.Host])...)
		records = append(records, record{Name: e.Kind.String(), Category: "event", Phase: phaseInstant, Time: at, Process: processes[e.Host], Scope: "p", Args: args(e)})
	}
	return json.NewEncoder(w).Encode(map[string]any{"traceEvents": records, "displayTimeUnit": "ms"})
}

// spans returns what an event begins or ends.
func spans(e Event, at float64, process int) []record {
	request := record{Name: "request", Category: "request", Time: at, Process: process, ID: e.Request}
	attempt := record{Name: "attempt " + e.Endpoint, Category: "attempt", Time: at, Process: process, ID: e.Attempt}
	switch e.Kind {
	case Received:
		request.Phase = phaseBegin
	case Answered, Refused, Cut:
		request.Phase = phaseEnd
	case Sent:
		attempt.Phase = phaseBegin
	case Finished, Failed:
		attempt.Phase = phaseEnd
	}
	var list []record
	for _, one := range []record{request, attempt} {
		if one.Phase != "" && one.ID != "" {
			list = append(list, one)
		}
	}
	return list
}

func args(e Event) map[string]any {
	all := map[string]any{"stamp": e.Stamp.String(), "request": e.Request, "attempt": e.Attempt, "endpoint": e.Endpoint,
		"account": e.Account, "order": e.Order, "note": e.Note}
	for name, value := range all {
		if value == "" {
			delete(all, name)
		}
	}
	if e.Change != 0 {
		all["change"] = e.Change
	}
	return all
}
