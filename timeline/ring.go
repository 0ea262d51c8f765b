package timeline

// Ring is a ring buffer of the latest events of a host. It is not safe for concurrent use.
type Ring struct {
	events []Event
	added  uint64 // events added so far, and the sequence number of the last one
}

// NewRing returns a ring that keeps size events, but at least one.
func NewRing(size int) *Ring { return &Ring{events: make([]Event, max(size, 1))} }

// Add stores the event, in place of the oldest one if the ring is full, and returns it with its sequence number.
func (r *Ring) Add(e Event) Event {
	r.added++
	e.Sequence = r.added
	r.events[(r.added-1)%uint64(len(r.events))] = e
	return e
}

// After returns the stored events whose sequence numbers are above the given one, oldest first.
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
