package fakeengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"goji.io/pat"

	"magnoliahoist/fault"
)

// maxOrderBytes bounds the body of an order, and of other requests that control the engine.
const maxOrderBytes = 64 << 10

// orderFunc carries out an order for the model or adapter with the name. It returns the result and, if the
// order was refused or failed, the problem.
type orderFunc func(name string, o Order) (OrderResult, *problem)

func (e *Engine) serveLoadOrder(w http.ResponseWriter, r *http.Request) {
	e.serveOrder(w, r, e.loadResident)
}
func (e *Engine) serveUnloadOrder(w http.ResponseWriter, r *http.Request) {
	e.serveOrder(w, r, e.unloadResident)
}

// serveOrder decodes the order, applies the faults that affect orders, and carries the order out.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, execute orderFunc) {
	var body struct {
		Parameters Order `json:"parameters"`
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	order, name := body.Parameters, pat.Param(r, "name")
	if err == nil && order.Kind == Adapter && order.Model == "" {
		err = fmt.Errorf("adapter %q names no model", name)
	}
	if err == nil && order.Memory < 0 {
		err = fmt.Errorf("memory %d is negative", order.Memory)
	}
	if err != nil {
		(&problem{http.StatusBadRequest, badRequest, err.Error()}).write(w)
		return
	}
	if e.Faults.Consume(fault.LoseOrder) {
		fault.Abort()
	}
	delay := time.Duration(e.Faults.Faults().LateOrder)
	if e.Faults.Consume(fault.DoubleOrder) {
		defer e.lifecycle.After(delay, func() { execute(name, order) })
	} else if delay > 0 {
		e.lifecycle.After(delay, func() { execute(name, order) })
		fault.Abort()
	}
	e.executeOrder(w, r, name, order, execute)
}

// executeOrder carries out the order and responds with its result. The order is carried out to its end even
// if the sender closes the connection.
func (e *Engine) executeOrder(w http.ResponseWriter, r *http.Request, name string, order Order, execute orderFunc) {
	var result OrderResult
	var refusal *problem
	ended := make(chan struct{})
	if !e.lifecycle.Go(func() {
		defer close(ended)
		result, refusal = execute(name, order)
	}) {
		fault.Abort()
	}
	ctx, cancel := e.requestContext(r)
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
		fault.Abort()
	}
	if e.Faults.Consume(fault.LoseReply) {
		fault.Abort()
	}
	if refusal != nil {
		refusal.write(w)
		return
	}
	writeJSON(w, result)
}

// loadResident carries out an order to load.
func (e *Engine) loadResident(name string, o Order) (OrderResult, *problem) {
	var item *memoryItem
	var isNew bool
	var refusal *problem
	earlier, rejection := e.orders.admit(o, e.checksFencingNumbers(), func() {
		item, isNew, refusal = e.memory.reserve(ResidentItem{Kind: o.Kind, Name: name, Version: o.Version, Model: o.Model, Memory: o.Memory})
	})
	if rejection != nil || earlier.Result != "" {
		return earlier, rejection
	}
	if refusal != nil {
		return e.finishOrder(o, ResultRefused, refusal)
	}
	if isNew {
		err := e.simulateLoad(name, o)
		e.memory.finishLoad(item, err == nil)
		if err != nil {
			return e.finishOrder(o, ResultFailed, &problem{http.StatusBadGateway, loadFailed, err.Error()})
		}
		return e.finishOrder(o, ResultDone, nil)
	}
	select {
	case <-item.loadEnded:
	case <-e.lifecycle.Context().Done():
	}
	if !e.memory.isReady(item) {
		return e.finishOrder(o, ResultFailed, &problem{http.StatusBadGateway, loadFailed, "the load that was under way has failed"})
	}
	return e.finishOrder(o, ResultDone, nil)
}

// unloadResident carries out an order to unload. It waits until all that matches has left the memory.
func (e *Engine) unloadResident(name string, o Order) (OrderResult, *problem) {
	var unloading, loading []*memoryItem
	r := ResidentItem{Kind: o.Kind, Name: name, Version: o.Version, Model: o.Model}
	earlier, rejection := e.orders.admit(o, e.checksFencingNumbers(), func() { unloading, loading = e.memory.startUnload(r) })
	if rejection != nil || earlier.Result != "" {
		return earlier, rejection
	}
	for len(unloading)+len(loading) > 0 {
		for _, item := range loading {
			if !e.waitForEnd(item.loadEnded) {
				return e.finishOrder(o, ResultFailed, &problem{http.StatusServiceUnavailable, loadFailed, "the engine is stopping"})
			}
		}
		for _, item := range unloading {
			if !e.waitForEnd(item.unloadEnded) {
				return e.finishOrder(o, ResultFailed, &problem{http.StatusServiceUnavailable, loadFailed, "the engine is stopping"})
			}
		}
		if len(loading) == 0 {
			break
		}
		unloading, loading = e.memory.startUnload(r)
	}
	if o.Kind == Model {
		e.publish(CacheEvent{Kind: CacheCleared, Model: name})
	}
	return e.finishOrder(o, ResultDone, nil)
}

// waitForEnd waits until the channel is closed; it returns false if the engine stopped first.
func (e *Engine) waitForEnd(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-e.lifecycle.Context().Done():
		return false
	}
}

func (e *Engine) finishOrder(o Order, result string, refusal *problem) (OrderResult, *problem) {
	e.orders.finish(o, result, refusal)
	return OrderResult{OrderID: o.ID, Result: result}, refusal
}

// checksFencingNumbers reports whether the engine refuses orders with an old fencing number or sequence.
func (e *Engine) checksFencingNumbers() bool {
	return e.settings.CheckFencingNumbers && !e.Faults.Faults().IgnoreFence
}

// simulateLoad takes the time of a load: that of the settings for an adapter, and that of fetching the
// weights if the settings name a weight store. A change of role takes no time.
func (e *Engine) simulateLoad(name string, o Order) error {
	ctx := e.lifecycle.Context()
	if o.Kind == Adapter && !fault.Sleep(ctx, e.settings.AdapterLoadTime) {
		return ctx.Err()
	}
	if e.settings.WeightStore == "" || o.Kind == Role {
		return nil
	}
	baseURL := e.settings.WeightStore
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	query := url.Values{"version": {o.Version}, "kind": {o.Kind.String()}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/weights/"+url.PathEscape(name)+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := e.settings.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the weight store answered %s", response.Status)
	}
	return nil
}

// serveFence confirms a fencing number: from then on, orders with a lower one are refused.
func (e *Engine) serveFence(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Fence int64 `json:"fence"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&request); err != nil {
		(&problem{http.StatusBadRequest, badRequest, err.Error()}).write(w)
		return
	}
	if !e.checksFencingNumbers() {
		(&problem{http.StatusNotFound, fencingNotChecked, "this engine does not check fencing numbers"}).write(w)
		return
	}
	if refusal := e.orders.confirmFencingNumber(request.Fence); refusal != nil {
		refusal.write(w)
		return
	}
	writeJSON(w, request)
}
