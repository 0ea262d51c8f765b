package fakeengine

import (
	"container/heap"
	"context"
	"sync"
)

// batch models continuous batching: as many requests as there are slots run at once, and the rest waits, highest
// priority first and then in order of arrival.
type batch struct {
	mutex       sync.Mutex
	slots       int
	running     int
	lastArrival uint64
	waiting     waiterHeap
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority  int           // the highest is admitted first
	arrival   uint64        // position in the order of arrival
	heapIndex int           // index in the heap, -1 after admission
	admitted  chan struct{} // closed on admission
}

// waiterHeap implements heap.Interface; the waiter to be admitted next is on top.
type waiterHeap []*waiter

func (w waiterHeap) Len() int { return len(w) }
func (w waiterHeap) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}
func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i, j
}
func (w *waiterHeap) Push(x any) {
	pushed := x.(*waiter)
	pushed.heapIndex = len(*w)
	*w = append(*w, pushed)
}
func (w *waiterHeap) Pop() any {
	last := len(*w) - 1
	popped := (*w)[last]
	popped.heapIndex = -1
	*w = (*w)[:last]
	return popped
}

// acquireSlot waits for a slot; it returns false, without a slot, if the context ended first.
func (b *batch) acquireSlot(ctx context.Context, priority int) bool {
	b.mutex.Lock()
	if b.running < b.slots {
		b.running++
		b.mutex.Unlock()
		return true
	}
	b.lastArrival++
	queued := &waiter{priority: priority, arrival: b.lastArrival, admitted: make(chan struct{})}
	heap.Push(&b.waiting, queued)
	b.mutex.Unlock()
	select {
	case <-queued.admitted:
		return true
	case <-ctx.Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if queued.heapIndex >= 0 {
		heap.Remove(&b.waiting, queued.heapIndex)
		return false
	}
	b.passSlotOn()
	return false
}

// releaseSlot gives back the slot of a request.
func (b *batch) releaseSlot() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.passSlotOn()
}

// passSlotOn gives the slot to the next waiter, or frees it if there is none. The caller must hold the mutex.
func (b *batch) passSlotOn() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(heap.Pop(&b.waiting).(*waiter).admitted)
}

// counts returns the numbers of requests in slots and of those waiting for one.
func (b *batch) counts() (running, waiting int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.running, len(b.waiting)
}
