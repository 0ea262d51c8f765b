package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	adapterSlots   = 8
	adapterStep    = 60 * time.Millisecond
	diskLoad       = 1700 * time.Millisecond // disk_s of the site
	crashDowntime  = 2 * time.Second
	lateAfter      = 11 * time.Second // orders are carried out 2 to 12 s late
	limitedTries   = 40
	limitedTryWait = 250 * time.Millisecond
)

// order is an order as an engine gets it.
type order struct {
	Opcode, Model, Adapter, Owner string
	Expected                      *int64
	Fence                         int64 `json:"fence_token"`
}

// adapterEngine is a stand-in for an engine that holds one model with adapters. It starts again under its id and address after a crash,
// and then holds nothing.
type adapterEngine struct {
	id, address string
	store       *store
	record      *record

	mu         sync.Mutex
	server     *http.Server // nil while it is down
	born       int64
	models     []string
	adapters   []string
	uses       map[string]int // running requests by adapter
	leaving    map[string]bool
	active     bool
	seq        int64
	orders     int
	unanswered int
	lateFor    string // adapter whose next load gets no answer and is carried out late
	overloaded bool   // it was ordered to load more adapters than it has slots
	lost       int    // requests that ran when that happened
	step       time.Duration
	arrivals   []arrival
}

// arrival is the arrival of an order at an engine.
type arrival struct {
	at    time.Time
	owner string
	fence int64
}

func startAdapterEngine(s *store, rec *record, id string, step time.Duration) *adapterEngine {
	l := listen()
	return startAdapterEngineBehind(s, rec, id, step, l, l.Addr().String())
}

// startAdapterEngineBehind starts an engine whose entry names another address than that of its listener.
func startAdapterEngineBehind(s *store, rec *record, id string, step time.Duration, l net.Listener, address string) *adapterEngine {
	e := &adapterEngine{id: id, address: address, store: s, record: rec, models: []string{"m1"}, step: step}
	e.start(l)
	go func() {
		for {
			e.register()
			time.Sleep(heartbeat)
		}
	}()
	return e
}

// start begins a process of the engine.
func (e *adapterEngine) start(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("POST /order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	e.mu.Lock()
	e.born, e.uses, e.leaving, e.seq, e.active = time.Now().UnixMilli(), map[string]int{}, map[string]bool{}, 0, false
	e.server = &http.Server{Handler: mux}
	server := e.server
	e.mu.Unlock()
	go server.Serve(l)
	e.register()
}

// crash ends the process with all that it runs, and starts another one after the downtime.
func (e *adapterEngine) crash() {
	e.mu.Lock()
	server := e.server
	e.server, e.models, e.adapters = nil, nil, nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	e.record.event("engine %s crashes", e.id)
	server.Close()
	time.AfterFunc(crashDowntime, func() {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			cannotRun("unable to listen again: %v", err)
		}
		e.start(l)
		e.record.event("engine %s starts again under its id, empty", e.id)
	})
}

// state returns the models as entries and reports list them. The caller holds the lock.
func (e *adapterEngine) state() []map[string]any {
	list := []map[string]any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": slices.Clone(e.adapters)})
	}
	return list
}

func (e *adapterEngine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	e.store.put("servers", e.id, map[string]any{
		"service": "llm", "address": e.address, "zone": "z1", "version": "v1", "slots": 64, "state": "ready", "cold_ms": 0, "seq": e.seq,
		"stage": "mixed", "models": e.state(), "born": e.born, "available": map[string]any{"in_memory": []string{}, "on_disk": []string{"m1"}},
	})
}

func (e *adapterEngine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"stage": "mixed", "models": e.state(), "active": e.active, "seq": e.seq, "queued": 0, "running": 0,
		"kv_used": 0, "kv_total": 131945, "handles": 0, "pending": []string{}, "born": e.born})
}

func (e *adapterEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Owner == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.orders++
	e.arrivals = append(e.arrivals, arrival{time.Now(), o.Owner, o.Fence})
	late := e.lateFor != "" && o.Opcode == "load" && o.Adapter == e.lateFor
	if late {
		e.lateFor = ""
		e.unanswered++
	}
	e.mu.Unlock()
	if late {
		e.record.event("engine %s: order %s gets no answer, to be carried out %v later", e.id, o.describe(), lateAfter)
		time.AfterFunc(lateAfter, func() {
			status := e.apply(o)
			e.record.event("engine %s: late order %s is carried out: %d", e.id, o.describe(), status)
		})
		panic(http.ErrAbortHandler)
	}
	status := e.apply(o)
	e.record.event("engine %s: order %s: %d", e.id, o.describe(), status)
	w.WriteHeader(status)
}

func (o order) describe() string {
	expected := int64(-1)
	if o.Expected != nil {
		expected = *o.Expected
	}
	return fmt.Sprintf("%s %s/%s expected %d by %s", o.Opcode, o.Model, o.Adapter, expected, o.Owner)
}

// apply carries an order out at the process that runs now.
func (e *adapterEngine) apply(o order) int {
	e.mu.Lock()
	if e.server == nil {
		e.mu.Unlock()
		return 0
	}
	defer e.mu.Unlock()
	holds := slices.Contains(e.models, o.Model)
	switch {
	case e.active, o.Expected != nil && *o.Expected != e.seq:
		return http.StatusConflict
	case o.Model != "m1", o.Adapter != "" && !holds:
		return http.StatusBadRequest
	case o.Adapter != "" && o.Opcode == "load":
		if slices.Contains(e.adapters, o.Adapter) {
			return http.StatusOK
		}
		e.adapters = append(e.adapters, o.Adapter)
		e.seq++
		if len(e.adapters) > adapterSlots {
			e.overloaded = true
			for _, n := range e.uses {
				e.lost += n
			}
			e.record.event("engine %s is ordered to load %d adapters, it has %d slots; %d requests run", e.id, len(e.adapters), adapterSlots, e.lost)
			go e.crash()
		}
		return http.StatusAccepted
	case o.Adapter != "":
		if !slices.Contains(e.adapters, o.Adapter) {
			return http.StatusOK
		}
		e.seq++
		if e.uses[o.Adapter] > 0 {
			e.leaving[o.Adapter] = true
			return http.StatusAccepted
		}
		e.drop(o.Adapter)
		return http.StatusOK
	case o.Opcode == "load" && holds, o.Opcode == "unload" && !holds:
		return http.StatusOK
	case o.Opcode == "unload":
		return http.StatusBadRequest // the service has one model only
	}
	e.seq++
	e.active = true
	born := e.born
	time.AfterFunc(diskLoad, func() {
		e.mu.Lock()
		if e.born == born && e.server != nil {
			e.models, e.active = []string{o.Model}, false
		}
		e.mu.Unlock()
		e.register()
	})
	return http.StatusAccepted
}

// drop removes an adapter. The caller holds the lock.
func (e *adapterEngine) drop(adapter string) {
	e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == adapter })
	delete(e.leaving, adapter)
}

func (e *adapterEngine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	served := slices.Contains(e.models, model) && (adapter == "" || slices.Contains(e.adapters, adapter) && !e.leaving[adapter])
	if expected := r.Header.Get("X-Expect-Instance"); !served || expected != "" && expected != e.id {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.uses[adapter]++
	born := e.born
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born != born {
			return
		}
		if e.uses[adapter]--; e.uses[adapter] == 0 && e.leaving[adapter] {
			e.drop(adapter)
		}
	}()
	w.Header().Set("X-Response-Stamp", "stamp."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= shortEvents; n++ {
		select {
		case <-time.After(e.step):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d by %s software v1\n\n", n, n, e.id)
		control.Flush()
	}
}

// lateOrder: an order to load an adapter gets no answer. It is carried out late, after the engine has crashed and started again under its
// id, at a moment when the new process has accepted as many orders as the one before had.
func lateOrder(f *fleet) bool {
	e := startAdapterEngine(f.store, f.record, "i-1", adapterStep)
	startEngine(f.store, f.record, "i-app-1", "app", "v1", nil, 0, 30*time.Millisecond)
	f.configure(7)
	f.startHosts(2)
	ask := func(adapter string) {
		for try := range limitedTries {
			q := streamRequest{id: fmt.Sprintf("%s-%d-%d", adapter, time.Now().UnixNano(), try), path: "/free/1", deadline: 5 * time.Second, model: "m1/" + adapter}
			if a := q.do(f.hosts[try%2].callers, nil); a.status == 200 && a.whole {
				return
			}
			time.Sleep(limitedTryWait)
		}
		cannotRun("no request for adapter %s was served", adapter)
	}
	for n := range adapterSlots {
		ask(fmt.Sprint("a", n+1))
	}
	if f.trouble {
		e.mu.Lock()
		e.lateFor = "a9"
		e.mu.Unlock()
	}
	began := time.Now()
	ask("a9") // takes the place of another adapter
	if f.trouble {
		e.crash()
	}
	var callers sync.WaitGroup
	for n := range adapterSlots { // callers of the eight adapters go on
		callers.Go(func() {
			for time.Since(began) < lateAfter+2*time.Second {
				e.mu.Lock()
				over := e.overloaded
				e.mu.Unlock()
				if over {
					return
				}
				ask(fmt.Sprint("a", n+1))
			}
		})
	}
	callers.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	summary := fmt.Sprintf("%d orders, %d without an answer; ordered to load more adapters than its slots: %v; requests cut off by the crash: %d", e.orders, e.unanswered, e.overloaded, e.lost)
	f.record.event("%s", summary)
	fmt.Println(summary)
	return e.overloaded
}
