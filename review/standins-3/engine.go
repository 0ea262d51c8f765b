package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 400 * time.Millisecond

// engine is a stand-in for a sound model engine, or for a plain service when it has no model.
type engine struct {
	id, service, software string
	events                int           // of a stream
	step                  time.Duration // between two events, and the time of a plain request
	store                 *store
	record                *record
	listener              net.Listener
	server                *http.Server
	born                  int64

	mu       sync.Mutex
	models   []string
	seq      int64
	state    string // ready or draining
	orders   []string
	runCount map[string]int
	ended    bool
	stop     chan struct{}
}

// startEngine starts an engine that registers itself in the store.
func startEngine(s *store, rec *record, id, service, software string, models []string, events int, step time.Duration) *engine {
	e := &engine{
		id: id, service: service, software: software, models: models, events: events, step: step, store: s, record: rec,
		listener: listen(), born: time.Now().UnixMilli(), state: "ready", runCount: map[string]int{}, stop: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("GET /healthz", e.serveHealth)
	mux.HandleFunc("/", e.serveRequest)
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(e.listener)
	go e.beat()
	rec.event("engine %s of %s, software %s, starts", id, service, software)
	return e
}

func (e *engine) beat() {
	e.register()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.register()
		case <-e.stop:
			return
		}
	}
}

// register writes the engine's entry.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	list := []map[string]any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": "z1", "version": e.software, "slots": 64, "state": e.state,
		"cold_ms": 0, "seq": e.seq, "stage": "mixed", "models": list, "born": e.born, "available": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	})
}

// drain reports that the engine leaves.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.register()
	e.record.event("engine %s reports draining", e.id)
}

// vanish removes the engine's entry without a report of draining. The engine goes on serving for a time, and then ends.
func (e *engine) vanish(serving time.Duration) {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	close(e.stop)
	e.store.remove("servers", e.id)
	e.record.event("the entry of engine %s is removed", e.id)
	time.AfterFunc(serving, func() {
		e.server.Close()
		e.record.event("engine %s has left", e.id)
	})
}

// exit ends the engine. Its entry is removed, because it has left.
func (e *engine) exit() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	close(e.stop)
	e.store.remove("servers", e.id)
	e.server.Close()
	e.record.event("engine %s has left", e.id)
}

func (e *engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *engine) serveReport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []map[string]any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	json.NewEncoder(w).Encode(map[string]any{"stage": "mixed", "models": list, "active": false, "seq": e.seq, "queued": 0, "running": 0,
		"kv_used": 0, "kv_total": 131945, "handles": 0, "pending": []string{}, "born": e.born})
}

// serveOrder carries out an order at once.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Opcode, Model, Adapter, Owner string
		Expected                      *int64
		Fence                         int64 `json:"fence_token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Owner == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.event("engine %s gets the order %s %s from %s, fence %d", e.id, o.Opcode, o.Model, o.Owner, o.Fence)
	if o.Expected != nil && *o.Expected != e.seq {
		w.WriteHeader(http.StatusConflict)
		return
	}
	held := -1
	for n, m := range e.models {
		if m == o.Model {
			held = n
		}
	}
	switch {
	case o.Adapter != "":
		w.WriteHeader(http.StatusBadRequest)
		return
	case o.Opcode == "load" && held >= 0, o.Opcode == "unload" && held < 0:
		return
	case o.Opcode == "load":
		e.models = append(e.models, o.Model)
	default:
		e.models = append(e.models[:held], e.models[held+1:]...)
	}
	e.seq++
	w.WriteHeader(http.StatusAccepted)
}

// serveRequest runs a client's request.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	e.mu.Lock()
	leaving := e.state != "ready"
	e.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	e.runCount[id]++
	e.mu.Unlock()
	e.record.event("engine %s (%s) runs %s %s, after event %d", e.id, e.software, r.URL.Path, id, after)
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	w.Header().Set("X-Response-Stamp", "stamp."+e.id+"."+id)
	if r.Header.Get("X-Model") == "" {
		e.pause(ctx)
		fmt.Fprintf(w, "%s ran %s\n", e.id, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	control := http.NewResponseController(w)
	for n := after + 1; n <= e.events; n++ {
		e.pause(ctx)
		fmt.Fprintf(w, "id: %d\ndata: piece %d by %s software %s\n\n", n, n, e.id, e.software)
		control.Flush()
	}
	e.record.event("engine %s has run %s to its end", e.id, id)
}

// pause waits for one step; it breaks the connection off if the caller leaves or the deadline passes.
func (e *engine) pause(ctx context.Context) {
	timer := time.NewTimer(e.step)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}
