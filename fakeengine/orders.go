package fakeengine

import (
	"fmt"
	"net/http"
	"sync"
)

// maxDone bounds the results that the engine remembers.
const maxDone = 256

// Order is the parameters of a load or unload.
type Order struct {
	Kind     Kind   `json:"kind"`
	Version  string `json:"version"`
	Fence    int64  `json:"fence"`
	Sequence int64  `json:"sequence"` // 0: not checked
	Order    string `json:"order"`    // id
	Memory   int64  `json:"memory"`   // bytes
	Model    string `json:"model"`    // of an adapter
}

// Results of orders.
const (
	Carried = "done"
	Refused = "refused"
	Failed  = "failed"
)

// Done is an order that the engine has answered definitively.
type Done struct {
	Order  string `json:"order"`
	Result string `json:"result"`
}

// orders holds the fencing state and the results of recent orders.
type orders struct {
	mutex    sync.Mutex
	fence    int64
	sequence int64                    // the highest seen with fence
	running  map[string]chan struct{} // by id, on a fenced engine; closed when the order has ended
	done     []Done
	problems map[string]*problem // of refused and failed orders in done
}

func newOrders() *orders {
	return &orders{running: map[string]chan struct{}{}, problems: map[string]*problem{}}
}

// confirm raises the highest number seen.
func (o *orders) confirm(fence int64) *problem {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.raise(fence)
}

func (o *orders) raise(fence int64) *problem {
	if fence < o.fence {
		return &problem{http.StatusConflict, staleFence, fmt.Sprintf("fence %d is below %d", fence, o.fence)}
	}
	if fence > o.fence {
		o.fence, o.sequence = fence, 0
	}
	return nil
}

// admit runs start under the lock when the order may be carried out, so that no order with a lower
// number starts once a higher one is confirmed. A fenced engine refuses any pair of fence and sequence
// that is not above the highest seen; an order that was answered before gets the same answer, and a
// copy of one that is running gets its answer when it has ended.
func (o *orders) admit(order Order, fenced bool, start func()) (Done, *problem) {
	for {
		done, refusal, running := o.enter(order, fenced, start)
		if running == nil {
			return done, refusal
		}
		<-running
	}
}

// enter is admit for orders that are not running; for those it returns a channel that closes at their end.
func (o *orders) enter(order Order, fenced bool, start func()) (Done, *problem, <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !fenced {
		o.fence = max(o.fence, order.Fence)
		start()
		return Done{}, nil, nil
	}
	if refusal := o.raise(order.Fence); refusal != nil {
		done, refusal := o.refuse(order, refusal)
		return done, refusal, nil
	}
	if running := o.running[order.Order]; running != nil {
		return Done{}, nil, running
	}
	if done, ok := o.find(order.Order); ok {
		return done, o.problems[order.Order], nil
	}
	if order.Sequence > 0 && order.Sequence <= o.sequence {
		done, refusal := o.refuse(order, &problem{http.StatusConflict, staleSequence,
			fmt.Sprintf("sequence %d is not above %d", order.Sequence, o.sequence)})
		return done, refusal, nil
	}
	o.sequence = max(o.sequence, order.Sequence)
	if order.Order != "" {
		o.running[order.Order] = make(chan struct{})
	}
	start()
	return Done{}, nil, nil
}

func (o *orders) refuse(order Order, refusal *problem) (Done, *problem) {
	done, ok := o.find(order.Order)
	if !ok && o.running[order.Order] == nil {
		done = Done{Order: order.Order, Result: Refused}
		o.put(done, refusal)
	}
	return done, refusal
}

func (o *orders) find(id string) (Done, bool) {
	if id == "" {
		return Done{}, false
	}
	for _, done := range o.done {
		if done.Order == id {
			return done, true
		}
	}
	return Done{}, false
}

// finish records the result.
func (o *orders) finish(order Order, result string, refusal *problem) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.put(Done{Order: order.Order, Result: result}, refusal)
	if running := o.running[order.Order]; running != nil {
		delete(o.running, order.Order)
		close(running)
	}
}

func (o *orders) put(done Done, refusal *problem) {
	if done.Order == "" {
		return
	}
	delete(o.problems, done.Order)
	if refusal != nil {
		o.problems[done.Order] = refusal
	}
	for i, old := range o.done {
		if old.Order == done.Order {
			o.done[i] = done
			return
		}
	}
	if len(o.done) == maxDone {
		delete(o.problems, o.done[0].Order)
		o.done = append(o.done[:0:0], o.done[1:]...)
	}
	o.done = append(o.done, done)
}

func (o *orders) report() (fence int64, done []Done) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.fence, append([]Done{}, o.done...)
}
