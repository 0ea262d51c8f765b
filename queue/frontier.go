package queue

// pushFrontier adds a position of list to a binary heap of positions.
func pushFrontier[T any](heap []int, list []T, before func(a, b T) bool, at int) []int {
	heap = append(heap, at)
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

// popFrontier drops the first position of a binary heap of positions.
func popFrontier[T any](heap []int, list []T, before func(a, b T) bool) []int {
	last := len(heap) - 1
	heap[0] = heap[last]
	heap = heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return heap
		}
		if right := child + 1; right < last && before(list[heap[right]], list[heap[child]]) {
			child = right
		}
		if !before(list[heap[child]], list[heap[i]]) {
			return heap
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}
