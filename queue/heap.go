package queue

// heap is a binary heap whose elements know their position.
type heap[T any] struct {
	list   []T
	before func(a, b T) bool
	place  func(e T, at int) // records the position; -1 when e is not in the heap
}

func (h *heap[T]) push(e T) {
	h.list = append(h.list, e)
	h.place(e, len(h.list)-1)
	h.up(len(h.list) - 1)
}

// remove takes out the element at a position.
func (h *heap[T]) remove(at int) {
	var zero T
	last := len(h.list) - 1
	h.swap(at, last)
	h.place(h.list[last], -1)
	h.list[last] = zero
	h.list = h.list[:last]
	if at < last {
		h.fix(at)
	}
}

// fix restores the order after the element at a position changed.
func (h *heap[T]) fix(at int) {
	if !h.up(at) {
		h.down(at)
	}
}

func (h *heap[T]) up(at int) bool {
	moved := false
	for at > 0 {
		parent := (at - 1) / 2
		if !h.before(h.list[at], h.list[parent]) {
			break
		}
		h.swap(at, parent)
		at, moved = parent, true
	}
	return moved
}

func (h *heap[T]) down(at int) {
	for {
		child := 2*at + 1
		if child >= len(h.list) {
			return
		}
		if right := child + 1; right < len(h.list) && h.before(h.list[right], h.list[child]) {
			child = right
		}
		if !h.before(h.list[child], h.list[at]) {
			return
		}
		h.swap(at, child)
		at = child
	}
}

func (h *heap[T]) swap(a, b int) {
	h.list[a], h.list[b] = h.list[b], h.list[a]
	h.place(h.list[a], a)
	h.place(h.list[b], b)
}
