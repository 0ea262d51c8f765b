package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliahoist/pool"
)

// message is a copy of an order on its way.
type message struct {
	order   Order
	running bool // the sender still waits for the answer
}

// engine is an endpoint that does as its orders say, without checking its memory.
type engine struct {
	pool.Endpoint
	instance int
	leaving  bool
	fence    int64
	sequence int64
	resident map[Item]int64
	results  map[string]Result
	first    map[string]time.Duration // first execution
	network  []message
	stale    []Report
	lags     bool   // reports are up to 5 s old
	cached   Report // the last one given
}

func (e *engine) execute(now time.Duration, o Order, fail bool) Result {
	if e.Fenced {
		if o.Fence < e.fence || o.Fence == e.fence && o.Sequence <= e.sequence {
			return Rejected
		}
		e.fence, e.sequence = o.Fence, o.Sequence
	}
	if _, ok := e.first[o.ID]; !ok {
		e.first[o.ID] = now
	}
	result := Applied
	switch {
	case fail:
		result = Rejected
	case o.Kind == Load:
		e.resident[o.Item()] = o.Memory
	case o.Kind == Unload:
		delete(e.resident, o.Item())
	}
	e.results[o.ID] = result
	return result
}

// answer returns the report that the endpoint gives now: an earlier one while its reports lag.
func (e *engine) answer(now time.Duration) Report {
	if !e.lags || e.cached.Instance != fmt.Sprint(e.instance) || now-e.cached.Asked > 5*time.Second {
		e.cached = e.report(now)
	}
	r := e.cached
	r.Asked = now
	return r
}

func (e *engine) report(now time.Duration) Report {
	r := Report{Instance: fmt.Sprint(e.instance), Asked: now, Fence: e.fence, Leaving: e.leaving}
	for item, memory := range e.resident {
		r.Resident = append(r.Resident, Resident{Item: item, Memory: memory})
	}
	for id, result := range e.results {
		r.Results = append(r.Results, OrderResult{id, result})
	}
	return r
}

// world is a pool, its manager and the network between them.
type world struct {
	now     time.Duration
	number  int64
	pool    pool.Pool
	manager *Manager
	engines []*engine
	rows    map[string][]Record
	unsent  func() bool // whether recording an order fails
}

func newWorld(endpoints, models int, size func(int) int64) *world {
	w := &world{number: 1, rows: make(map[string][]Record)}
	for n := range models {
		w.pool.Models = append(w.pool.Models, pool.Model{
			Name: fmt.Sprint("m", n), Version: "1", Memory: size(n),
			Adapters: []pool.Adapter{{Name: "a", Version: "1", Memory: 3}},
		})
	}
	for n := range endpoints {
		e := pool.Endpoint{Name: fmt.Sprint("e", n), Domain: fmt.Sprint("d", n%3), Memory: 100, Fenced: n%2 == 0}
		w.pool.Endpoints = append(w.pool.Endpoints, e)
		w.engines = append(w.engines, &engine{
			Endpoint: e, resident: make(map[Item]int64), results: make(map[string]Result), first: make(map[string]time.Duration),
		})
	}
	w.manager = New(0, Settings{}, 1, nil)
	w.manager.SetPool(w.pool)
	return w
}

func (w *world) engine(name string) *engine {
	return w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.Name == name })]
}

// plan returns the manager's orders after recording them, without those that cannot be recorded.
func (w *world) plan() []Order {
	orders := w.manager.Plan(w.now)
	for _, e := range w.engines {
		w.rows[e.Name] = w.manager.Records(e.Name)
	}
	return slices.DeleteFunc(orders, func(o Order) bool {
		if w.unsent != nil && w.unsent() {
			w.manager.Unsent(w.now, o.ID)
			return true
		}
		w.manager.Sent(w.now, o.ID)
		return false
	})
}

// deliver carries out the n-th message of an endpoint.
func (w *world) deliver(e *engine, n int, answered, fail bool) {
	m := e.network[n]
	e.network = slices.Delete(e.network, n, n+1)
	result := e.execute(w.now, m.order, fail)
	switch {
	case m.running && answered:
		w.manager.Answered(w.now, m.order.ID, result)
	case m.running:
		w.manager.Lost(w.now, m.order.ID)
	}
}

// lose ends the wait for a message that stays on its way.
func (w *world) lose(e *engine, n int) {
	if e.network[n].running {
		e.network[n].running = false
		w.manager.Lost(w.now, e.network[n].order.ID)
	}
}

func (w *world) restart(e *engine) {
	e.instance++
	e.fence, e.sequence = 0, 0
	clear(e.resident)
	clear(e.results)
	// What has left the sender for good reached the former process only.
	e.network = slices.DeleteFunc(e.network, func(m message) bool { return !m.running })
}

func (w *world) takeOver() {
	w.number++
	var records []Record
	for _, e := range w.engines {
		records = append(records, w.rows[e.Name]...)
		for n := range e.network {
			e.network[n].running = false
		}
	}
	w.manager = New(w.now, Settings{}, w.number, records)
	w.manager.SetPool(w.pool)
}

// advance lets time pass; duplicates arrive no later than 55 s after the first execution.
func (w *world) advance(d time.Duration) {
	w.now += d
	for _, e := range w.engines {
		e.network = slices.DeleteFunc(e.network, func(m message) bool {
			first, ok := e.first[m.order.ID]
			return ok && !m.running && w.now-first > 55*time.Second
		})
	}
}

// overcommitted names an endpoint with more in memory than it has.
func (w *world) overcommitted() string {
	for _, e := range w.engines {
		sum := int64(0)
		for _, memory := range e.resident {
			sum += memory
		}
		if sum > e.Memory {
			return fmt.Sprintf("%s (fenced %t) holds %d of %d: %v", e.Name, e.Fenced, sum, e.Memory, e.resident)
		}
	}
	return ""
}

// settle runs without faults and returns a model that is resident nowhere at the end.
func (w *world) settle(steps int) string {
	w.unsent = nil
	for _, e := range w.engines {
		e.leaving, e.lags = false, false
		for len(e.network) > 0 {
			w.deliver(e, 0, true, false)
		}
	}
	for range steps {
		w.advance(time.Second)
		for _, e := range w.engines {
			w.manager.Observe(w.now, e.Name, e.report(w.now))
		}
		for _, o := range w.plan() {
			e := w.engine(o.Endpoint)
			e.network = append(e.network, message{o, true})
			w.deliver(e, len(e.network)-1, true, false)
		}
		if over := w.overcommitted(); over != "" {
			return over
		}
	}
	for _, model := range w.pool.Models {
		if w.holders(current(model)) == 0 {
			return model.Name
		}
	}
	return ""
}

func (w *world) holders(item Item) int {
	count := 0
	for _, e := range w.engines {
		if _, ok := e.resident[item]; ok {
			count++
		}
	}
	return count
}

func (w *world) step(t *rapid.T) {
	e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "endpoint")]
	quarter := func() bool { return rapid.IntRange(0, 3).Draw(t, "quarter") == 0 }
	chance := func() bool { return rapid.Bool().Draw(t, "chance") }
	switch action := rapid.IntRange(0, 20).Draw(t, "action"); action {
	case 0, 1, 2, 3:
		w.advance(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
	case 4, 5, 6, 7, 8:
		w.unsent = quarter
		for _, o := range w.plan() {
			e := w.engine(o.Endpoint)
			switch rapid.IntRange(0, 5).Draw(t, "delivery") {
			case 0:
				w.manager.Lost(w.now, o.ID)
			case 1:
				e.network = append(e.network, message{o, true})
			case 2:
				e.network = append(e.network, message{o, true}, message{o, false})
			default:
				e.network = append(e.network, message{o, true})
				w.deliver(e, len(e.network)-1, chance(), false)
			}
		}
	case 9, 10:
		if len(e.network) > 0 {
			w.deliver(e, rapid.IntRange(0, len(e.network)-1).Draw(t, "n"), chance(), quarter())
		}
	case 11:
		if len(e.network) > 0 {
			w.lose(e, rapid.IntRange(0, len(e.network)-1).Draw(t, "n"))
		}
	case 12:
		e.stale = append(e.stale, e.report(w.now))
	case 13:
		if len(e.stale) > 0 {
			w.manager.Observe(w.now, e.Name, e.stale[rapid.IntRange(0, len(e.stale)-1).Draw(t, "n")])
		}
	case 20:
		e.lags = !e.lags
	case 14:
		if quarter() {
			w.restart(e)
		}
	case 15:
		switch {
		case chance():
			w.takeOver()
		case chance():
			e.leaving = !e.leaving
		}
	case 16:
		n := rapid.IntRange(0, len(w.pool.Models)-1).Draw(t, "model")
		w.pool.Models = slices.Clone(w.pool.Models)
		w.pool.Models[n].Version += "x"
		w.manager.SetPool(w.pool)
	default:
		for _, e := range w.engines {
			w.manager.Observe(w.now, e.Name, e.answer(w.now))
		}
	}
}

// Guards against memory overcommitted by orders lost, late or doubled, by
// restarts, takeovers and endpoints that ignore fencing numbers, and against
// a ledger that such faults leave blocked.
func TestPropertyMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(4, 5, func(n int) int64 { return 25 + int64(n*4) })
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			w.step(t)
			if over := w.overcommitted(); over != "" {
				t.Fatalf("overcommitted: %s", over)
			}
		}
		if missing := w.settle(400); missing != "" {
			t.Fatalf("after the faults: %s", missing)
		}
	})
}
