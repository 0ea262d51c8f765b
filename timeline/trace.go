package timeline

import (
	"encoding/json"
	"io"
)

// traceEvent is one event of the Chrome trace event format.
type traceEvent struct {
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

// Phases of a traceEvent.
const (
	phaseBegin    = "b" // begin of an asynchronous span
	phaseEnd      = "e" // end of an asynchronous span
	phaseInstant  = "i"
	phaseMetadata = "M"
)

// WriteTrace writes the events in the Chrome trace event format: a process for each host, a span for each request and each
// attempt, and an instant for each event. Times are relative to the first event. A span whose end is missing stays open.
func WriteTrace(w io.Writer, events []Event) error {
	traceEvents := []traceEvent{}
	processIDs := map[string]int{}
	for _, e := range events {
		if processIDs[e.Host] == 0 {
			processIDs[e.Host] = len(processIDs) + 1
			traceEvents = append(traceEvents, traceEvent{Name: "process_name", Phase: phaseMetadata, Process: processIDs[e.Host], Args: map[string]any{"name": e.Host}})
		}
		at := float64(e.Timestamp.Wall-events[0].Timestamp.Wall) / 1000
		traceEvents = append(traceEvents, spanEvents(e, at, processIDs[e.Host])...)
		traceEvents = append(traceEvents, traceEvent{Name: e.Kind.String(), Category: "event", Phase: phaseInstant, Time: at, Process: processIDs[e.Host], Scope: "p", Args: eventArgs(e)})
	}
	return json.NewEncoder(w).Encode(map[string]any{"traceEvents": traceEvents, "displayTimeUnit": "ms"})
}

// spanEvents returns the begin or end of the span of a request or attempt that the event marks, if any. The time at is in
// microseconds.
func spanEvents(e Event, at float64, process int) []traceEvent {
	request := traceEvent{Name: "request", Category: "request", Time: at, Process: process, ID: e.Request}
	attempt := traceEvent{Name: "attempt " + e.Endpoint, Category: "attempt", Time: at, Process: process, ID: e.Attempt}
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
	var list []traceEvent
	for _, span := range []traceEvent{request, attempt} {
		if span.Phase != "" && span.ID != "" {
			list = append(list, span)
		}
	}
	return list
}

// eventArgs returns the fields of an event that are set, by name.
func eventArgs(e Event) map[string]any {
	values := map[string]any{"stamp": e.Timestamp.String(), "request": e.Request, "attempt": e.Attempt, "endpoint": e.Endpoint,
		"account": e.Account, "order": e.Order, "note": e.Note}
	for name, value := range values {
		if value == "" {
			delete(values, name)
		}
	}
	if e.Change != 0 {
		values["change"] = e.Change
	}
	return values
}
