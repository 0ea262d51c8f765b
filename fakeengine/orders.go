package fakeengine

import (
	"fmt"
	"net/http"
	"strings"
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
	mutex     sync.Mutex
	fence     int64
	sequences map[string]mark // by resident
	done      []Done
	problems  map[string]*problem // of refused and failed orders in done
}

// mark is the highest pair of fence and sequence seen for a resident.
type mark struct{ fence, sequence int64 }

func newOrders() *orders {
	return &orders{sequences: map[string]mark{}, problems: map[string]*problem{}}
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
	o.fence = fence
	return nil
}

// admit runs start under the lock when the order may be carried out, so that no order with a lower
// number starts once a higher one is confirmed. On a fenced engine an order that was answered
// before gets the same answer, and a late copy of an earlier order for the resident is refused.
func (o *orders) admit(order Order, name string, fenced bool, start func()) (Done, *problem) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !fenced {
		o.fence = max(o.fence, order.Fence)
		start()
		return Done{}, nil
	}
	if refusal := o.raise(order.Fence); refusal != nil {
		return o.refuse(order, refusal)
	}
	if done, ok := o.find(order.Order); ok {
		return done, o.problems[order.Order]
	}
	key := strings.Join([]string{order.Kind.String(), order.Model, name, order.Version}, "\x00")
	seen := o.sequences[key]
	if order.Sequence > 0 && order.Fence == seen.fence && order.Sequence < seen.sequence {
		return o.refuse(order, &problem{http.StatusConflict, staleSequence,
			fmt.Sprintf("sequence %d is below %d", order.Sequence, seen.sequence)})
	}
	if order.Sequence > 0 {
		o.sequences[key] = mark{order.Fence, order.Sequence}
	}
	start()
	return Done{}, nil
}

func (o *orders) refuse(order Order, refusal *problem) (Done, *problem) {
	done, ok := o.find(order.Order)
	if !ok {
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
