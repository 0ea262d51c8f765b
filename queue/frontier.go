package queue

// pushFrontier adds a position of list to a binary heap of positions.
func pushFrontier(heap []int, list []*account, at int) []int {
	heap = append(heap, at)
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !accountBefore(list[heap[i]], list[heap[parent]]) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
	return heap
}

// popFrontier drops the first position of a binary heap of positions.
func popFrontier(heap []int, list []*account) []int {
	last := len(heap) - 1
	heap[0] = heap[last]
	heap = heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return heap
		}
		if right := child + 1; right < last && accountBefore(list[heap[right]], list[heap[child]]) {
			child = right
		}
		if !accountBefore(list[heap[child]], list[heap[i]]) {
			return heap
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}
