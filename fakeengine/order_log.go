package fakeengine

import (
	"fmt"
	"net/http"
	"sync"
)

// maxOrderResults bounds the number of order results that the engine keeps and reports.
const maxOrderResults = 256

// Order holds the parameters of an order to load or unload.
type Order struct {
	Kind          Kind   `json:"kind"`
	Version       string `json:"version"`
	FencingNumber int64  `json:"fence"`
	Sequence      int64  `json:"sequence"` // 0: not checked
	ID            string `json:"order"`
	Memory        int64  `json:"memory"` // bytes to reserve
	Model         string `json:"model"`  // model that the adapter belongs to; empty for a model or role
}

// Results of orders.
const (
	ResultDone    = "done"    // carried out
	ResultRefused = "refused" // not carried out
	ResultFailed  = "failed"  // started but failed
)

// OrderResult is the final result of an order.
type OrderResult struct {
	OrderID string `json:"order"`
	Result  string `json:"result"` // one of the results above
}

// orderLog holds the highest fencing number and sequence that the engine has seen, and the results of recent
// orders.
type orderLog struct {
	mutex                sync.Mutex
	highestFencingNumber int64
	highestSequence      int64                    // highest sequence seen with the highest fencing number
	running              map[string]chan struct{} // running orders by id, only if fencing numbers are checked; closed when the order has ended
	results              []OrderResult            // oldest first
	problems             map[string]*problem      // of the refused and failed orders in results, by order id
}

func newOrderLog() *orderLog {
	return &orderLog{running: map[string]chan struct{}{}, problems: map[string]*problem{}}
}

// confirmFencingNumber raises the highest fencing number seen, so that orders with lower ones are refused from
// now on. It returns a problem if a higher one has been seen.
func (o *orderLog) confirmFencingNumber(fencingNumber int64) *problem {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.raiseFencingNumber(fencingNumber)
}

// raiseFencingNumber is confirmFencingNumber for callers that hold the mutex.
func (o *orderLog) raiseFencingNumber(fencingNumber int64) *problem {
	if fencingNumber < o.highestFencingNumber {
		return &problem{http.StatusConflict, staleFencingNumber, fmt.Sprintf("fence %d is below %d", fencingNumber, o.highestFencingNumber)}
	}
	if fencingNumber > o.highestFencingNumber {
		o.highestFencingNumber, o.highestSequence = fencingNumber, 0
	}
	return nil
}

// admit calls start if the order may be carried out. It does so under the mutex, so that no order with a
// lower fencing number starts after a higher one has been confirmed. With checkFencing, an order is refused
// if its pair of fencing number and sequence is not above the highest pair seen. A copy of an order that has
// ended gets the result of that order, and a copy of a running order waits for its result.
func (o *orderLog) admit(order Order, checkFencing bool, start func()) (OrderResult, *problem) {
	for {
		earlier, refusal, running := o.tryAdmit(order, checkFencing, start)
		if running == nil {
			return earlier, refusal
		}
		<-running
	}
}

// tryAdmit does what admit does, but for a copy of a running order it does not wait: it returns a channel that
// is closed when that order has ended.
func (o *orderLog) tryAdmit(order Order, checkFencing bool, start func()) (OrderResult, *problem, <-chan struct{}) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !checkFencing {
		o.highestFencingNumber = max(o.highestFencingNumber, order.FencingNumber)
		start()
		return OrderResult{}, nil, nil
	}
	if refusal := o.raiseFencingNumber(order.FencingNumber); refusal != nil {
		earlier, refusal := o.recordRefusal(order, refusal)
		return earlier, refusal, nil
	}
	if running := o.running[order.ID]; running != nil {
		return OrderResult{}, nil, running
	}
	if earlier, ok := o.findResult(order.ID); ok {
		return earlier, o.problems[order.ID], nil
	}
	if order.Sequence > 0 && order.Sequence <= o.highestSequence {
		earlier, refusal := o.recordRefusal(order, &problem{http.StatusConflict, staleSequence,
			fmt.Sprintf("sequence %d is not above %d", order.Sequence, o.highestSequence)})
		return earlier, refusal, nil
	}
	o.highestSequence = max(o.highestSequence, order.Sequence)
	if order.ID != "" {
		o.running[order.ID] = make(chan struct{})
	}
	start()
	return OrderResult{}, nil, nil
}

// recordRefusal records that the order was refused, unless an order with the same id has a result or is
// running. It returns the recorded result.
func (o *orderLog) recordRefusal(order Order, refusal *problem) (OrderResult, *problem) {
	result, ok := o.findResult(order.ID)
	if !ok && o.running[order.ID] == nil {
		result = OrderResult{OrderID: order.ID, Result: ResultRefused}
		o.putResult(result, refusal)
	}
	return result, refusal
}

func (o *orderLog) findResult(id string) (OrderResult, bool) {
	if id == "" {
		return OrderResult{}, false
	}
	for _, result := range o.results {
		if result.OrderID == id {
			return result, true
		}
	}
	return OrderResult{}, false
}

// finish records the result of an order and wakes the copies of the order that wait for it.
func (o *orderLog) finish(order Order, result string, refusal *problem) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.putResult(OrderResult{OrderID: order.ID, Result: result}, refusal)
	if running := o.running[order.ID]; running != nil {
		delete(o.running, order.ID)
		close(running)
	}
}

// putResult stores the result in place of an earlier result of the same order or, if there is none, as the newest
// one; it then drops the oldest if there would be more than maxOrderResults. Orders without an id are not recorded.
func (o *orderLog) putResult(result OrderResult, refusal *problem) {
	if result.OrderID == "" {
		return
	}
	delete(o.problems, result.OrderID)
	if refusal != nil {
		o.problems[result.OrderID] = refusal
	}
	for i, old := range o.results {
		if old.OrderID == result.OrderID {
			o.results[i] = result
			return
		}
	}
	if len(o.results) == maxOrderResults {
		delete(o.problems, o.results[0].OrderID)
		o.results = append(o.results[:0:0], o.results[1:]...)
	}
	o.results = append(o.results, result)
}

// report returns the highest fencing number seen and the results of recent orders, oldest first.
func (o *orderLog) report() (fencingNumber int64, results []OrderResult) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.highestFencingNumber, append([]OrderResult{}, o.results...)
}
