package bench

import (
	"slices"
	"strconv"
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/placement"
	"magnoliahoist/pool"
)

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	model         string
	prefix        uint64
	pendingPrompt int // prompt tokens that are neither cached nor prefilled
	outputTokens  int // output tokens that the request generates in full
	generated     int
	lastTokenAt   time.Duration
	maxGap        time.Duration // longest time between two output tokens
	firstTokenAt  time.Duration
	canceled      bool
	onFinish      func(endpoint.Outcome)
}

// engine models an endpoint with continuous batching: each step of the batch generates one token of every prefilled attempt.
type engine struct {
	*clock
	pool.Endpoint
	down          bool
	failing       bool // fails every attempt, but reports its state and carries out orders
	incarnation   int
	resident      map[placement.Item]int64
	loading       map[placement.Item]int64
	results       []placement.OrderResult
	fencingNumber int64
	prefixCache   []uint64 // hashes of cached prefixes, the most recently used last
	waiting       []*attempt
	batch         []*attempt
	stepRunning   bool
	overcommitted bool // resident and loading models exceeded the memory at some time
}

func newEngine(c *clock, e pool.Endpoint) *engine {
	return &engine{clock: c, Endpoint: e, resident: map[placement.Item]int64{}, loading: map[placement.Item]int64{}}
}

// startAttempt starts an attempt and passes its outcome to onFinish.
func (e *engine) startAttempt(a *attempt, adapter string) {
	if e.down || e.failing {
		e.after(connectionRefusedDelay, func() { a.onFinish(endpoint.Failed) })
		return
	}
	if !e.isResident(a.model, "") {
		a.onFinish(endpoint.Refused)
		return
	}
	if adapter != "" && !e.isResident(a.model, adapter) {
		e.after(missingAdapterDelay, func() { e.enqueue(a) })
		return
	}
	e.enqueue(a)
}

// enqueue adds an attempt to those waiting for the batch.
func (e *engine) enqueue(a *attempt) {
	if e.down {
		a.onFinish(endpoint.Failed)
		return
	}
	e.waiting = append(e.waiting, a)
	e.startStep()
}

// isResident reports whether a model, or an adapter when one is given, is in memory.
func (e *engine) isResident(model, adapter string) bool {
	for item := range e.resident {
		if item.Model == model && item.Adapter == adapter {
			return true
		}
	}
	return false
}

// startStep fills the batch from the waiting attempts, prefills prompts up to promptChunkTokens, and schedules the end of the step.
// It does nothing while a step is running or when no attempt is left.
func (e *engine) startStep() {
	if e.stepRunning {
		return
	}
	e.batch = slices.DeleteFunc(e.batch, func(a *attempt) bool { return a.canceled })
	for len(e.batch) < e.Slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !a.canceled {
			a.pendingPrompt -= e.usePrefix(a.prefix)
			e.batch = append(e.batch, a)
		}
	}
	if len(e.batch) == 0 {
		return
	}
	models := map[string]bool{}
	tokensLeft := promptChunkTokens
	for _, a := range e.batch {
		models[a.model] = true
		prefilled := min(a.pendingPrompt, tokensLeft)
		a.pendingPrompt -= prefilled
		tokensLeft -= prefilled
	}
	duration := stepBaseTime + time.Duration(len(models))*stepTimePerModel + time.Duration(len(e.batch))*stepTimePerAttempt +
		time.Duration(promptChunkTokens-tokensLeft)*stepTimePerPromptToken
	e.stepRunning = true
	incarnation := e.incarnation
	e.after(duration, func() {
		if incarnation == e.incarnation {
			e.finishStep()
		}
	})
}

// usePrefix returns how many tokens of a prefix are cached, and makes the prefix the most recently used one.
func (e *engine) usePrefix(prefix uint64) int {
	cachedTokens := 0
	if index := slices.Index(e.prefixCache, prefix); index >= 0 {
		e.prefixCache = slices.Delete(e.prefixCache, index, index+1)
		cachedTokens = prefixTokens
	}
	e.prefixCache = append(e.prefixCache, prefix)
	if len(e.prefixCache)*prefixTokens > prefixCacheTokens {
		e.prefixCache = e.prefixCache[1:]
	}
	return cachedTokens
}

// finishStep generates one token of every prefilled attempt, ends those that are complete, and starts the next step.
func (e *engine) finishStep() {
	e.stepRunning = false
	var ended []*attempt
	e.batch = slices.DeleteFunc(e.batch, func(a *attempt) bool {
		if a.pendingPrompt > 0 || a.canceled {
			return a.canceled
		}
		if a.generated == 0 {
			a.firstTokenAt = e.now
		} else {
			a.maxGap = max(a.maxGap, e.now-a.lastTokenAt)
		}
		a.lastTokenAt = e.now
		a.generated++
		if a.generated < a.outputTokens {
			return false
		}
		ended = append(ended, a)
		return true
	})
	for _, a := range ended {
		a.onFinish(endpoint.Done)
	}
	e.startStep()
}

// crash takes the endpoint down and discards everything in its memory.
func (e *engine) crash() {
	e.down = true
	e.incarnation++
	e.stepRunning = false
	lost := append(e.batch, e.waiting...)
	e.batch, e.waiting, e.prefixCache, e.results, e.fencingNumber = nil, nil, nil, nil, 0
	clear(e.resident)
	clear(e.loading)
	for _, a := range lost {
		if !a.canceled {
			a.onFinish(endpoint.Interrupted)
		}
	}
}

// executeOrder carries out an order and passes the result to respond. It does not call respond when the endpoint is down, crashes meanwhile, or rejects the
// order's fencing number.
func (e *engine) executeOrder(o placement.Order, respond func(placement.Result)) {
	if e.down || e.ChecksFencing && o.FencingNumber < e.fencingNumber {
		return
	}
	e.fencingNumber = max(e.fencingNumber, o.FencingNumber)
	incarnation := e.incarnation
	finishAfter := func(d time.Duration, apply func(), result placement.Result) {
		e.after(d, func() {
			if incarnation != e.incarnation {
				return
			}
			apply()
			e.results = append(e.results, placement.OrderResult{OrderID: o.ID, Result: result})
			respond(result)
		})
	}
	item := o.Item()
	switch {
	case o.Kind == placement.Role:
		finishAfter(0, func() {}, placement.Applied)
	case o.Kind == placement.Unload:
		finishAfter(unloadTime, func() { delete(e.resident, item) }, placement.Applied)
	case e.resident[item] > 0 || e.loading[item] > 0:
		finishAfter(0, func() {}, placement.Applied)
	default:
		e.loading[item] = o.Memory
		if e.usedMemory() > e.Memory {
			e.overcommitted = true
		}
		duration := modelLoadTime
		if item.Adapter != "" {
			duration = adapterLoadTime
		}
		finishAfter(duration, func() { delete(e.loading, item); e.resident[item] = o.Memory }, placement.Applied)
	}
}

// usedMemory returns the memory of resident and loading models and adapters.
func (e *engine) usedMemory() int64 {
	var sum int64
	for _, memory := range e.resident {
		sum += memory
	}
	for _, memory := range e.loading {
		sum += memory
	}
	return sum
}

// placementReport returns the endpoint's report to the placement manager.
func (e *engine) placementReport() placement.Report {
	r := placement.Report{Instance: strconv.Itoa(e.incarnation), RequestedAt: e.now, FencingNumber: e.fencingNumber, Results: slices.Clone(e.results)}
	for item, memory := range e.resident {
		r.Resident = append(r.Resident, placement.ResidentItem{Item: item, Memory: memory})
	}
	for item, memory := range e.loading {
		r.Resident = append(r.Resident, placement.ResidentItem{Item: item, Memory: memory, Loading: true})
	}
	return r
}

// residentModels returns the resident models with their adapters, sorted by name, as reported to hosts.
func (e *engine) residentModels() []endpoint.ResidentModel {
	var list []endpoint.ResidentModel
	for item := range e.resident {
		if item.Adapter == "" {
			list = append(list, endpoint.ResidentModel{Model: item.Model, Version: item.Version})
		}
	}
	slices.SortFunc(list, func(a, b endpoint.ResidentModel) int {
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
