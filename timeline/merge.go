package timeline

import (
	"cmp"
	"fmt"
	"slices"
)

// Log holds the events of one host that were read.
type Log struct {
	Host          string    `json:"host"`
	After         uint64    `json:"after,omitempty"` // events up to this sequence number were not requested
	Events        []Event   `json:"events"`
	EndedAt       Timestamp `json:"ended,omitzero"`    // when other hosts noticed that the host had ended; zero while it runs
	MissingReason string    `json:"missing,omitempty"` // why the events of a running host could not be read; empty if they were
}

// Merge returns the events of several hosts in the order of their timestamps, causes before effects. An event that is in
// two logs appears once. Where events of a host are missing, the result has an event of kind Gap.
func Merge(logs []Log) []Event {
	byHost := map[string]Log{}
	for _, log := range logs {
		combined, found := byHost[log.Host]
		if !found || log.After < combined.After {
			combined.After = log.After
		}
		combined.Host = log.Host
		combined.Events = append(slices.Clip(combined.Events), log.Events...)
		combined.MissingReason = cmp.Or(combined.MissingReason, log.MissingReason)
		if log.EndedAt.Compare(combined.EndedAt) > 0 {
			combined.EndedAt = log.EndedAt
		}
		byHost[log.Host] = combined
	}
	var merged []Event
	for _, log := range byHost {
		merged = append(merged, log.withGaps()...)
	}
	slices.SortFunc(merged, compareEvents)
	return merged
}

// compareEvents orders events by timestamp, then by host and sequence number.
func compareEvents(a, b Event) int {
	return cmp.Or(a.Timestamp.Compare(b.Timestamp), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Sequence, b.Sequence))
}

// withGaps returns the events of the host by sequence number, without duplicates and with an event of kind Gap where some
// are missing.
func (l Log) withGaps() []Event {
	events := slices.Clone(l.Events)
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	events = slices.CompactFunc(events, func(a, b Event) bool { return a.Sequence != 0 && a.Sequence == b.Sequence })
	var list []Event
	last := Event{Sequence: l.After}
	for _, e := range events {
		if e.Sequence > last.Sequence+1 {
			list = append(list, l.newGap(e.Timestamp, fmt.Sprintf("%d events before this one are no longer kept", e.Sequence-last.Sequence-1)))
		}
		list = append(list, e)
		last = e
	}
	if !l.EndedAt.IsZero() && last.Kind != Ended {
		at := l.EndedAt
		if at.Compare(last.Timestamp) <= 0 {
			at = last.Timestamp.next()
		}
		list = append(list, l.newGap(at, "the host ended; its events that were not read before are lost"))
	}
	if l.MissingReason != "" {
		list = append(list, l.newGap(last.Timestamp.next(), "the host's later events are missing: "+l.MissingReason))
	}
	return list
}

// newGap returns an event of kind Gap. Its sequence number is 0, so that it sorts before an event of the host with the same
// timestamp.
func (l Log) newGap(at Timestamp, note string) Event {
	return Event{Timestamp: at, Host: l.Host, Kind: Gap, Note: note}
}
