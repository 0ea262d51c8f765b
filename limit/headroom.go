package limit

import "sort"

// maxMinima is the highest number of entries in a headroom record. When it is reached, pairs of neighbouring entries are merged
// to the lower value, which can only make credits smaller.
const maxMinima = 4096

// minimum holds the least headroom since each of the events with a number above that of the previous entry, up to event.
type minimum struct {
	event uint64
	value float64 // tokens
}

// headroom records how far a bucket's level has stayed below its capacity since each take and each end of a loan (the events).
// The entries ascend strictly by event and by value, because the least headroom since a later event is never lower than that
// since an earlier one.
type headroom struct {
	minima    []minimum
	lastEvent uint64 // number of the last event
}

// lowerTo lowers all higher minima to the present headroom, in tokens.
func (h *headroom) lowerTo(value float64) {
	n := len(h.minima)
	for n > 0 && h.minima[n-1].value >= value {
		n--
	}
	if n == len(h.minima) {
		return // not lower than any minimum
	}
	h.minima = append(h.minima[:n], minimum{h.lastEvent, value})
}

// addEvent adds an event with the headroom just after it, and returns the event's number.
func (h *headroom) addEvent(value float64) uint64 {
	h.lowerTo(value)
	h.lastEvent++
	if n := len(h.minima); n > 0 && h.minima[n-1].value >= value {
		h.minima[n-1].event = h.lastEvent
		return h.lastEvent
	}
	if len(h.minima) == maxMinima {
		h.merge()
	}
	h.minima = append(h.minima, minimum{h.lastEvent, value})
	return h.lastEvent
}

// credit returns the smaller of tokens and the least headroom since the event, and lowers the recorded headroom from the event on
// by the result, as if the level had been higher by it since then. The same headroom is thus never credited twice.
func (h *headroom) credit(event uint64, tokens float64) float64 {
	first := sort.Search(len(h.minima), func(i int) bool { return h.minima[i].event >= event })
	if first == len(h.minima) {
		return 0
	}
	tokens = max(0, min(tokens, h.minima[first].value))
	for i := first; i < len(h.minima); i++ {
		h.minima[i].value -= tokens
	}
	kept := first
	for kept > 0 && h.minima[kept-1].value >= h.minima[first].value {
		kept--
	}
	h.minima = append(h.minima[:kept], h.minima[first:]...)
	return tokens
}

// merge halves the number of entries: of each pair it keeps the later event and the lower value.
func (h *headroom) merge() {
	n := 0
	for i := 0; i < len(h.minima); i += 2 {
		last := min(i+1, len(h.minima)-1)
		h.minima[n] = minimum{h.minima[last].event, h.minima[i].value}
		n++
	}
	h.minima = h.minima[:n]
}
