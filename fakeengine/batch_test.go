package fakeengine

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against waiting requests that are not admitted by priority and then by arrival.
func TestBatchOrder(t *testing.T) {
	c := qt.New(t)
	b := &batch{slots: 1}
	c.Assert(b.acquireSlot(context.Background(), 0), qt.IsTrue)
	admitted := make(chan int, 4)
	var group sync.WaitGroup
	for i, priority := range []int{0, 2, 1, 2} {
		group.Go(func() {
			if b.acquireSlot(context.Background(), priority) {
				admitted <- i
				b.releaseSlot()
			}
		})
		waiting := 0
		for range 10000 {
			if _, waiting = b.counts(); waiting == i+1 {
				break
			}
			time.Sleep(100 * time.Microsecond)
		}
		c.Assert(waiting, qt.Equals, i+1)
	}
	b.releaseSlot()
	group.Wait()
	close(admitted)
	var order []int
	for i := range admitted {
		order = append(order, i)
	}
	c.Assert(order, qt.DeepEquals, []int{1, 3, 2, 0})
	running, waiting := b.counts()
	c.Assert(running+waiting, qt.Equals, 0)
}

// Guards against a slot that is lost when a caller gives up while it is being admitted.
func TestBatchLeave(t *testing.T) {
	c := qt.New(t)
	b := &batch{slots: 2}
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%2 == 0 {
				go cancel()
			}
			if b.acquireSlot(ctx, i%3) {
				b.releaseSlot()
			}
		})
	}
	group.Wait()
	running, waiting := b.counts()
	c.Assert(running+waiting, qt.Equals, 0)
}
