package limit

import "sort"

// maxMinima bounds the memory of the headroom record. Beyond it, neighbouring
// entries are merged to the lower value, which only makes credits smaller.
const maxMinima = 4096

// minimum states that the least headroom since every event numbered above the
// previous entry's seq, up to seq, is value.
type minimum struct {
	seq   uint64
	value float64 // tokens
}

// headroom answers how far a bucket has stayed below its cap since an event. The
// entries ascend strictly by seq and by value, because the least headroom since a
// later event is never lower than that since an earlier one.
type headroom struct {
	minima []minimum
	seq    uint64 // last event
}

// observe lowers all minima to the present headroom.
func (h *headroom) observe(value float64) {
	n := len(h.minima)
	for n > 0 && h.minima[n-1].value >= value {
		n--
	}
	if n == len(h.minima) {
		return // not lower than any minimum
	}
	h.minima = append(h.minima[:n], minimum{h.seq, value})
}

// record starts an event with the headroom just after it and returns its number.
func (h *headroom) record(value float64) uint64 {
	h.observe(value)
	h.seq++
	if n := len(h.minima); n > 0 && h.minima[n-1].value >= value {
		h.minima[n-1].seq = h.seq
		return h.seq
	}
	if len(h.minima) == maxMinima {
		h.merge()
	}
	h.minima = append(h.minima, minimum{h.seq, value})
	return h.seq
}

// credit returns the smaller of tokens and the least headroom since the event, and
// records the past as though the level had been higher by that from the event on.
func (h *headroom) credit(seq uint64, tokens float64) float64 {
	first := sort.Search(len(h.minima), func(i int) bool { return h.minima[i].seq >= seq })
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

// merge halves the entries, each pair to its lower value.
func (h *headroom) merge() {
	n := 0
	for i := 0; i < len(h.minima); i += 2 {
		last := min(i+1, len(h.minima)-1)
		h.minima[n] = minimum{h.minima[last].seq, h.minima[i].value}
		n++
	}
	h.minima = h.minima[:n]
}
