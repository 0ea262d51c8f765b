// Package bench measures the policy of the reducers on a virtual clock against a small model of endpoints.
package bench

import (
	"container/heap"
	"time"
)

// timer is something that happens at a virtual time.
type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

// clock is the virtual clock.
type clock struct {
	now  time.Duration
	seq  uint64
	list timers
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.list, timer{c.now + d, c.seq, run})
}

// every runs something periodically until it returns false.
func (c *clock) every(period time.Duration, run func() bool) {
	c.after(period, func() {
		if run() {
			c.every(period, run)
		}
	})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.list) > 0 && c.list[0].at <= end {
		t := heap.Pop(&c.list).(timer)
		c.now = t.at
		t.run()
	}
}
