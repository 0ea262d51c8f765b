package queue

// heap is a binary heap that tells each element its position, so that an element can be removed or moved.
type heap[T any] struct {
	list     []T
	before   func(a, b T) bool
	setIndex func(element T, index int) // records the element's position; -1 when it is removed
}

func (h *heap[T]) push(element T) {
	h.list = append(h.list, element)
	h.setIndex(element, len(h.list)-1)
	h.up(len(h.list) - 1)
}

// remove removes the element at a position.
func (h *heap[T]) remove(index int) {
	var zero T
	last := len(h.list) - 1
	h.swap(index, last)
	h.setIndex(h.list[last], -1)
	h.list[last] = zero
	h.list = h.list[:last]
	if index < last {
		h.fix(index)
	}
}

// fix restores the order after the element at a position changed.
func (h *heap[T]) fix(index int) {
	if !h.up(index) {
		h.down(index)
	}
}

// up moves the element at a position towards the root and reports whether it moved.
func (h *heap[T]) up(index int) bool {
	moved := false
	for index > 0 {
		parent := (index - 1) / 2
		if !h.before(h.list[index], h.list[parent]) {
			break
		}
		h.swap(index, parent)
		index, moved = parent, true
	}
	return moved
}

// down moves the element at a position towards the leaves.
func (h *heap[T]) down(index int) {
	for {
		child := 2*index + 1
		if child >= len(h.list) {
			return
		}
		if right := child + 1; right < len(h.list) && h.before(h.list[right], h.list[child]) {
			child = right
		}
		if !h.before(h.list[child], h.list[index]) {
			return
		}
		h.swap(index, child)
		index = child
	}
}

func (h *heap[T]) swap(a, b int) {
	h.list[a], h.list[b] = h.list[b], h.list[a]
	h.setIndex(h.list[a], a)
	h.setIndex(h.list[b], b)
}
