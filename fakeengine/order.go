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

// maxOrder is the most bytes of an order.
const maxOrder = 64 << 10

// work carries out one order and returns its answer.
type work func(name string, o Order) (Done, *problem)

func (e *Engine) serveLoadOrder(w http.ResponseWriter, r *http.Request) { e.serveOrder(w, r, e.load) }
func (e *Engine) serveUnloadOrder(w http.ResponseWriter, r *http.Request) {
	e.serveOrder(w, r, e.unload)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, carry work) {
	var body struct {
		Parameters Order `json:"parameters"`
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrder))
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
	if e.Faults.Take(fault.LoseOrder) {
		fault.Abort()
	}
	late := time.Duration(e.Faults.Faults().LateOrder)
	if e.Faults.Take(fault.DoubleOrder) {
		defer e.part.After(late, func() { carry(name, order) })
	} else if late > 0 {
		e.part.After(late, func() { carry(name, order) })
		fault.Abort()
	}
	e.answerOrder(w, r, name, order, carry)
}

// answerOrder carries out the order to its end even when its sender has gone.
func (e *Engine) answerOrder(w http.ResponseWriter, r *http.Request, name string, order Order, carry work) {
	var done Done
	var refusal *problem
	ended := make(chan struct{})
	if !e.part.Go(func() {
		defer close(ended)
		done, refusal = carry(name, order)
	}) {
		fault.Abort()
	}
	ctx, cancel := e.scope(r)
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
		fault.Abort()
	}
	if e.Faults.Take(fault.LoseReply) {
		fault.Abort()
	}
	if refusal != nil {
		refusal.write(w)
		return
	}
	answer(w, done)
}

func (e *Engine) load(name string, o Order) (Done, *problem) {
	var one *held
	var fresh bool
	var refusal *problem
	done, stale := e.orders.admit(o, e.fenced(), func() {
		one, fresh, refusal = e.memory.reserve(Resident{Kind: o.Kind, Name: name, Version: o.Version, Model: o.Model, Memory: o.Memory})
	})
	if stale != nil || done.Result != "" {
		return done, stale
	}
	if refusal != nil {
		return e.finish(o, Refused, refusal)
	}
	if fresh {
		err := e.fetch(name, o)
		e.memory.loaded(one, err == nil)
		if err != nil {
			return e.finish(o, Failed, &problem{http.StatusBadGateway, loadFailed, err.Error()})
		}
		return e.finish(o, Carried, nil)
	}
	select {
	case <-one.ready:
	case <-e.part.Context().Done():
	}
	if !e.memory.resident(one) {
		return e.finish(o, Failed, &problem{http.StatusBadGateway, loadFailed, "the load that was under way has failed"})
	}
	return e.finish(o, Carried, nil)
}

func (e *Engine) unload(name string, o Order) (Done, *problem) {
	var leaving, loading []*held
	r := Resident{Kind: o.Kind, Name: name, Version: o.Version, Model: o.Model}
	done, stale := e.orders.admit(o, e.fenced(), func() { leaving, loading = e.memory.release(r) })
	if stale != nil || done.Result != "" {
		return done, stale
	}
	for len(leaving)+len(loading) > 0 {
		for _, h := range loading {
			if !e.wait(h.ready) {
				return e.finish(o, Failed, &problem{http.StatusServiceUnavailable, loadFailed, "the engine is stopping"})
			}
		}
		for _, h := range leaving {
			if !e.wait(h.idle) {
				return e.finish(o, Failed, &problem{http.StatusServiceUnavailable, loadFailed, "the engine is stopping"})
			}
		}
		if len(loading) == 0 {
			break
		}
		leaving, loading = e.memory.release(r)
	}
	if o.Kind == Model {
		e.publish(Event{Kind: Cleared, Model: name})
	}
	return e.finish(o, Carried, nil)
}

func (e *Engine) wait(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-e.part.Context().Done():
		return false
	}
}

func (e *Engine) finish(o Order, result string, refusal *problem) (Done, *problem) {
	e.orders.finish(o, result, refusal)
	return Done{Order: o.Order, Result: result}, refusal
}

func (e *Engine) fenced() bool { return e.settings.Fenced && !e.Faults.Faults().IgnoreFence }

// fetch takes the time of a load; models and adapters come from the weight store when one is set.
func (e *Engine) fetch(name string, o Order) error {
	ctx := e.part.Context()
	if o.Kind == Adapter && !fault.Sleep(ctx, e.settings.Adapter) {
		return ctx.Err()
	}
	if e.settings.Weights == "" || o.Kind == Role {
		return nil
	}
	base := e.settings.Weights
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	query := url.Values{"version": {o.Version}, "kind": {o.Kind.String()}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/weights/"+url.PathEscape(name)+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := e.settings.Client.Do(r)
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

func (e *Engine) serveFence(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Fence int64 `json:"fence"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder)).Decode(&request); err != nil {
		(&problem{http.StatusBadRequest, badRequest, err.Error()}).write(w)
		return
	}
	if !e.fenced() {
		(&problem{http.StatusNotFound, notFenced, "this engine does not check fencing numbers"}).write(w)
		return
	}
	if refusal := e.orders.confirm(request.Fence); refusal != nil {
		refusal.write(w)
		return
	}
	answer(w, request)
}
