// Package bench measures the policy of the hosts' state machines and of placement on a virtual clock, against a simple model of endpoints.
package bench

import (
	"container/heap"
	"time"
)

// timer is a function that is due at a virtual time. Timers for the same time run in the order of seq.
type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

// timers is a heap of timers, the next one first.
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

// clock is a virtual clock: time moves on only from one timer to the next.
type clock struct {
	now    time.Duration
	seq    uint64
	timers timers
}

// after schedules a function after a delay.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.timers, timer{c.now + d, c.seq, run})
}

// every runs a function periodically, first after one period, until it returns false.
func (c *clock) every(period time.Duration, run func() bool) {
	c.after(period, func() {
		if run() {
			c.every(period, run)
		}
	})
}

// runUntil runs all timers that are due by the given time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.run()
	}
}
