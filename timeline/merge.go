package timeline

import (
	"cmp"
	"fmt"
	"slices"
)

// Log is what is known of one host's events.
type Log struct {
	Host    string  `json:"host"`
	After   uint64  `json:"after,omitempty"` // sequence number after which events were asked for
	Events  []Event `json:"events"`
	Ended   Stamp   `json:"ended,omitzero"`    // when the host was found to have ended without handing over its ring
	Missing string  `json:"missing,omitempty"` // why a living host's events could not be had
}

// Merge puts the events of several hosts in one order with causes before effects.
// An event that two logs contain appears once. Where a host's events are missing the
// result has an event of kind Gap.
func Merge(logs []Log) []Event {
	byHost := map[string]Log{}
	for _, one := range logs {
		known, seen := byHost[one.Host]
		if !seen || one.After < known.After {
			known.After = one.After
		}
		known.Host = one.Host
		known.Events = append(slices.Clip(known.Events), one.Events...)
		known.Missing = cmp.Or(known.Missing, one.Missing)
		if one.Ended.Compare(known.Ended) > 0 {
			known.Ended = one.Ended
		}
		byHost[one.Host] = known
	}
	var merged []Event
	for _, one := range byHost {
		merged = append(merged, one.filled()...)
	}
	slices.SortFunc(merged, order)
	return merged
}

func order(a, b Event) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Sequence, b.Sequence))
}

// filled returns the events of one host in order, without duplicates and with its gaps.
func (l Log) filled() []Event {
	events := slices.Clone(l.Events)
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	events = slices.CompactFunc(events, func(a, b Event) bool { return a.Sequence != 0 && a.Sequence == b.Sequence })
	var list []Event
	last := Event{Sequence: l.After}
	for _, e := range events {
		if e.Sequence > last.Sequence+1 {
			list = append(list, l.gap(e.Stamp, fmt.Sprintf("%d events before this one are no longer kept", e.Sequence-last.Sequence-1)))
		}
		list = append(list, e)
		last = e
	}
	if !l.Ended.IsZero() && last.Kind != Ended {
		at := l.Ended
		if at.Compare(last.Stamp) <= 0 {
			at = last.Stamp.next()
		}
		list = append(list, l.gap(at, "the host ended; its events that were not read before are lost"))
	}
	if l.Missing != "" {
		list = append(list, l.gap(last.Stamp.next(), "the host's later events are missing: "+l.Missing))
	}
	return list
}

// gap has sequence number 0, so that it sorts before an event with the same stamp.
func (l Log) gap(at Stamp, note string) Event {
	return Event{Stamp: at, Host: l.Host, Kind: Gap, Note: note}
}
