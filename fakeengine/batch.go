package fakeengine

import (
	"container/heap"
	"context"
	"sync"
)

// batch models continuous batching: a number of requests run at once, the rest waits by priority.
type batch struct {
	mutex   sync.Mutex
	slots   int
	running int
	number  uint64
	waiting waiters
}

type waiter struct {
	priority int
	number   uint64
	index    int // in the heap, -1 once admitted
	admitted chan struct{}
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].number < w[j].number
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *waiters) Push(x any) {
	one := x.(*waiter)
	one.index = len(*w)
	*w = append(*w, one)
}
func (w *waiters) Pop() any {
	last := len(*w) - 1
	one := (*w)[last]
	one.index = -1
	*w = (*w)[:last]
	return one
}

// enter waits for a slot; it reports false when the context ended first.
func (b *batch) enter(ctx context.Context, priority int) bool {
	b.mutex.Lock()
	if b.running < b.slots {
		b.running++
		b.mutex.Unlock()
		return true
	}
	b.number++
	one := &waiter{priority: priority, number: b.number, admitted: make(chan struct{})}
	heap.Push(&b.waiting, one)
	b.mutex.Unlock()
	select {
	case <-one.admitted:
		return true
	case <-ctx.Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if one.index >= 0 {
		heap.Remove(&b.waiting, one.index)
		return false
	}
	b.pass()
	return false
}

func (b *batch) leave() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.pass()
}

// pass gives a slot to the next that waits, or frees it.
func (b *batch) pass() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(heap.Pop(&b.waiting).(*waiter).admitted)
}

func (b *batch) load() (running, waiting int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.running, len(b.waiting)
}
