package timeline

// Ring keeps the latest events of a host. It is not safe for concurrent use.
type Ring struct {
	events []Event
	added  uint64
}

// NewRing returns a ring for size events, at least one.
func NewRing(size int) *Ring { return &Ring{events: make([]Event, max(size, 1))} }

// Add keeps the event in place of the oldest one and returns it with its sequence number.
func (r *Ring) Add(e Event) Event {
	r.added++
	e.Sequence = r.added
	r.events[(r.added-1)%uint64(len(r.events))] = e
	return e
}

// After returns the kept events with sequence numbers above the one given, oldest first.
func (r *Ring) After(sequence uint64) []Event {
	first := uint64(1)
	if size := uint64(len(r.events)); r.added > size {
		first = r.added - size + 1
	}
	first = max(first, sequence+1)
	if sequence >= r.added {
		return nil
	}
	list := make([]Event, 0, r.added-first+1)
	for n := first; n <= r.added; n++ {
		list = append(list, r.events[(n-1)%uint64(len(r.events))])
	}
	return list
}
