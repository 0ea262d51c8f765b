package bench

import (
	"slices"
	"strconv"
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/placement"
	"magnoliahoist/pool"
)

// job is one attempt at an endpoint.
type job struct {
	model    string
	prefix   uint64
	unread   int // prompt tokens that are not read
	answer   int // tokens to generate
	made     int
	last     time.Duration
	gap      time.Duration // longest between two tokens
	first    time.Duration
	canceled bool
	done     func(endpoint.Outcome)
}

// engine is the stand-in for an endpoint: a batch that makes one token of every call a step.
type engine struct {
	*clock
	pool.Endpoint
	down     bool
	failing  bool // fails every call but reports and carries out orders
	life     int
	resident map[placement.Item]int64
	loading  map[placement.Item]int64
	results  []placement.OrderResult
	fence    int64
	cache    []uint64 // prefixes, the most recent last
	waiting  []*job
	batch    []*job
	stepping bool
	over     bool // memory was overcommitted
}

func newEngine(c *clock, e pool.Endpoint) *engine {
	return &engine{clock: c, Endpoint: e, resident: map[placement.Item]int64{}, loading: map[placement.Item]int64{}}
}

// accept takes an attempt; the outcome is reported through the job.
func (e *engine) accept(j *job, adapter string) {
	if e.down || e.failing {
		e.after(failureDelay, func() { j.done(endpoint.Failed) })
		return
	}
	if !e.holds(j.model, "") {
		j.done(endpoint.Refused)
		return
	}
	if adapter != "" && !e.holds(j.model, adapter) {
		e.after(adapterWait, func() { e.join(j) })
		return
	}
	e.join(j)
}

func (e *engine) join(j *job) {
	if e.down {
		j.done(endpoint.Failed)
		return
	}
	e.waiting = append(e.waiting, j)
	e.step()
}

func (e *engine) holds(model, adapter string) bool {
	for item := range e.resident {
		if item.Model == model && item.Adapter == adapter {
			return true
		}
	}
	return false
}

// step runs the batch once.
func (e *engine) step() {
	if e.stepping {
		return
	}
	e.batch = slices.DeleteFunc(e.batch, func(j *job) bool { return j.canceled })
	for len(e.batch) < e.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !j.canceled {
			j.unread -= e.cached(j.prefix)
			e.batch = append(e.batch, j)
		}
	}
	if len(e.batch) == 0 {
		return
	}
	models := map[string]bool{}
	chunk := promptChunk
	for _, j := range e.batch {
		models[j.model] = true
		read := min(j.unread, chunk)
		j.unread -= read
		chunk -= read
	}
	length := stepBase + time.Duration(len(models))*stepModel + time.Duration(len(e.batch))*stepCall +
		time.Duration(promptChunk-chunk)*promptToken
	e.stepping = true
	life := e.life
	e.after(length, func() {
		if life == e.life {
			e.stepped()
		}
	})
}

// cached returns the tokens of the prefix that need no reading, and keeps the prefix.
func (e *engine) cached(prefix uint64) int {
	hit := 0
	if at := slices.Index(e.cache, prefix); at >= 0 {
		e.cache = slices.Delete(e.cache, at, at+1)
		hit = prefixLength
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache)*prefixLength > cacheTokens {
		e.cache = e.cache[1:]
	}
	return hit
}

func (e *engine) stepped() {
	e.stepping = false
	var ended []*job
	e.batch = slices.DeleteFunc(e.batch, func(j *job) bool {
		if j.unread > 0 || j.canceled {
			return j.canceled
		}
		if j.made == 0 {
			j.first = e.now
		} else {
			j.gap = max(j.gap, e.now-j.last)
		}
		j.last = e.now
		j.made++
		if j.made < j.answer {
			return false
		}
		ended = append(ended, j)
		return true
	})
	for _, j := range ended {
		j.done(endpoint.Done)
	}
	e.step()
}

// fail loses the endpoint with everything in its memory.
func (e *engine) fail() {
	e.down = true
	e.life++
	e.stepping = false
	lost := append(e.batch, e.waiting...)
	e.batch, e.waiting, e.cache, e.results, e.fence = nil, nil, nil, nil, 0
	clear(e.resident)
	clear(e.loading)
	for _, j := range lost {
		if !j.canceled {
			j.done(endpoint.Cut)
		}
	}
}

// order carries out an order and calls back with its result.
func (e *engine) order(o placement.Order, answer func(placement.Result)) {
	if e.down || e.Fenced && o.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, o.Fence)
	life := e.life
	finish := func(d time.Duration, apply func(), result placement.Result) {
		e.after(d, func() {
			if life != e.life {
				return
			}
			apply()
			e.results = append(e.results, placement.OrderResult{Order: o.ID, Result: result})
			answer(result)
		})
	}
	item := o.Item()
	switch {
	case o.Kind == placement.Role:
		finish(0, func() {}, placement.Applied)
	case o.Kind == placement.Unload:
		finish(unload, func() { delete(e.resident, item) }, placement.Applied)
	case e.resident[item] > 0 || e.loading[item] > 0:
		finish(0, func() {}, placement.Applied)
	default:
		e.loading[item] = o.Memory
		if e.used() > e.Memory {
			e.over = true
		}
		length := modelLoad
		if item.Adapter != "" {
			length = adapterLoad
		}
		finish(length, func() { delete(e.loading, item); e.resident[item] = o.Memory }, placement.Applied)
	}
}

func (e *engine) used() int64 {
	var sum int64
	for _, memory := range e.resident {
		sum += memory
	}
	for _, memory := range e.loading {
		sum += memory
	}
	return sum
}

// report returns what the endpoint says of itself to placement.
func (e *engine) report() placement.Report {
	r := placement.Report{Instance: strconv.Itoa(e.life), Asked: e.now, Fence: e.fence, Results: slices.Clone(e.results)}
	for item, memory := range e.resident {
		r.Resident = append(r.Resident, placement.Resident{Item: item, Memory: memory})
	}
	for item, memory := range e.loading {
		r.Resident = append(r.Resident, placement.Resident{Item: item, Memory: memory, Loading: true})
	}
	return r
}

// holding returns the resident models as hosts learn of them.
func (e *engine) holding() []endpoint.Holding {
	var list []endpoint.Holding
	for item := range e.resident {
		if item.Adapter == "" {
			list = append(list, endpoint.Holding{Model: item.Model, Version: item.Version})
		}
	}
	slices.SortFunc(list, func(a, b endpoint.Holding) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	for i := range list {
		for item := range e.resident {
			if item.Model == list[i].Model && item.Adapter != "" {
				list[i].Adapters = append(list[i].Adapters, item.Adapter)
			}
		}
		slices.Sort(list[i].Adapters)
	}
	return list
}
