package queue

// pushFrontier adds a position of list to heap, a binary heap of positions ordered by the elements of list at them.
func pushFrontier[T any](heap []int, list []T, before func(a, b T) bool, position int) []int {
	heap = append(heap, position)
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !before(list[heap[i]], list[heap[parent]]) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
	return heap
}

// popFrontier removes the first position of heap, a binary heap of positions ordered by the elements of list at them.
func popFrontier[T any](heap []int, list []T, before func(a, b T) bool) []int {
	last := len(heap) - 1
	heap[0] = heap[last]
	heap = heap[:last]
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= last {
			return heap
		}
		if right := child + 1; right < last && before(list[heap[right]], list[heap[child]]) {
			child = right
		}
		if !before(list[heap[child]], list[heap[parent]]) {
			return heap
		}
		heap[parent], heap[child] = heap[child], heap[parent]
		parent = child
	}
}
