package dispatch

import (
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/speed"
	"magnoliahoist/warmup"
)

const (
	// prefillRate is the assumed prefill rate of a model engine, in prompt tokens a second: nine tenths of its rate while it
	// also decodes, so that running streams continue. The measured slowness of each endpoint corrects it.
	prefillRate = 15_000.0
	// minPendingShare is the share of the prompt tokens of attempts without a first token that counts as pending however long
	// ago they were sent, because an engine that has not responded has not finished their prefill.
	minPendingShare = 0.3
	// slownessWeight is the weight of a new measurement in the moving average of an endpoint's slowness, which stays between
	// minSlowness and maxSlowness.
	slownessWeight = 0.2
	minSlowness    = 0.2
	maxSlowness    = 20.0
	// othersLoadMaxAge is how long a load report of the other hosts counts. Several reports arrive within this time.
	othersLoadMaxAge = 2 * time.Second
	// failuresToEject is the number of consecutive failures after which an endpoint is ejected: the first time for
	// minEjection, then each time for twice as long, up to maxEjection.
	failuresToEject = 3
	minEjection     = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	// adapterOrderTimeout is the time after which an order to load an adapter is sent again if its result is not known yet.
	adapterOrderTimeout = time.Second
)

// adapterOrder is the state of an order to load an adapter.
type adapterOrder struct {
	orderedAt time.Duration // when the order was sent, or when it succeeded
	loaded    bool          // the order succeeded; the endpoint's registration may not show it yet
}

// endpoint is what the host knows of one process of an endpoint.
type endpoint struct {
	directory.Endpoint
	warmup             warmup.Engine
	hash               uint64
	models             map[string]bool
	adapters           map[Adapter]bool
	adapterOrders      map[Adapter]adapterOrder
	usedAdapters       map[Adapter]bool       // by attempts since the last TakeLoads
	running            int                    // running attempts of this host
	awaitingFirstToken Backlog                // prompt tokens of this host's attempts that have no first token yet
	pending            [urgencyLevels]float64 // estimate at pendingAt of those prompt tokens that are not prefilled yet
	pendingAt          time.Duration
	othersLoad         Load
	othersLoadAt       time.Duration
	slowness           float64      // measured time to first token divided by the estimate at slowness 1
	prefill            speed.Sample // measured by this host since the last TakeLoads
	failuresInRow      int
	ejection           time.Duration            // length of the last ejection; 0 after a success
	ejectedUntil       time.Duration            // end of the last ejection
	restUntil          time.Duration            // the endpoint has asked this host to send it nothing until then
	trials             int                      // running attempts of this host that try a suspected prompt part
	absentSince        map[string]time.Duration // by model: when the endpoint responded that it does not hold the model
	promptCache        *promptCache
	memory             memoryUse
}

func newEndpoint(now time.Duration, e directory.Endpoint) *endpoint {
	return &endpoint{
		Endpoint:      e,
		hash:          hashString(e.ID),
		pendingAt:     now,
		slowness:      1,
		adapterOrders: map[Adapter]adapterOrder{},
		usedAdapters:  map[Adapter]bool{},
		absentSince:   map[string]time.Duration{},
		promptCache:   newPromptCache(),
	}
}

// hashString returns a hash that is the same in all processes, so that all hosts rank endpoints and holders alike.
func hashString(text string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return mixBits(h)
}

// mixBits returns a hash of a number (splitmix64).
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// update replaces the endpoint's registration and forgets the adapter orders that it makes obsolete.
func (ep *endpoint) update(now time.Duration, e directory.Endpoint) {
	ep.Endpoint = e
	ep.warmup.Register(e.ReceivedAt, e.ColdFor)
	ep.models = make(map[string]bool, len(e.Models))
	ep.adapters = map[Adapter]bool{}
	for _, m := range e.Models {
		ep.models[m.Name] = true
		for _, a := range m.Adapters {
			ep.adapters[Adapter{m.Name, a}] = true
		}
	}
	for key, order := range ep.adapterOrders {
		if ep.adapters[key] || order.loaded && now-order.orderedAt > 3*adapterOrderTimeout {
			delete(ep.adapterOrders, key)
		}
	}
}

// servesModel reports whether requests for a model may go to the endpoint: it holds the model, is not about to unload it, and
// has not responded lately that the model is absent.
func (ep *endpoint) servesModel(now time.Duration, model string) bool {
	if !ep.models[model] || ep.othersLoad.Retiring == model && now-ep.othersLoadAt < othersLoadMaxAge {
		return false
	}
	since, absent := ep.absentSince[model]
	return !absent || now-since > absentModelTime
}

// absentModelTime is how long a model counts as absent after the endpoint responded so. The endpoint's registration is up to
// date by then.
const absentModelTime = 2500 * time.Millisecond

// hasAdapter reports whether the endpoint has loaded an adapter, by its registration or by an order that succeeded. It is
// true for requests without an adapter.
func (ep *endpoint) hasAdapter(key Adapter) bool {
	return key.Adapter == "" || ep.adapters[key] || ep.adapterOrders[key].loaded
}

// acceptsAdapterOrders reports whether the endpoint accepts orders to load an adapter. It rejects them while it loads a model.
func (ep *endpoint) acceptsAdapterOrders(now time.Duration) bool {
	return !ep.othersLoad.Loading || now-ep.othersLoadAt >= othersLoadMaxAge
}

// available reports whether attempts may be sent to the endpoint: it takes requests and is neither ejected nor resting.
func (ep *endpoint) available(now time.Duration) bool {
	return ep.TakesRequests() && now >= ep.ejectedUntil && !ep.resting(now)
}

// resting reports whether the endpoint has asked for rest that is not over.
func (ep *endpoint) resting(now time.Duration) bool { return now < ep.restUntil }

// advancePending subtracts the prompt tokens that the endpoint is estimated to have prefilled since the last call, the most
// urgent ones first. At each level, at least minPendingShare of the prompt tokens without a first token stay pending.
func (ep *endpoint) advancePending(now time.Duration) {
	prefilled := prefillRate / ep.slowness * (now - ep.pendingAt).Seconds()
	ep.pendingAt = now
	for level := range ep.pending {
		minPending := minPendingShare * float64(ep.awaitingFirstToken[level])
		pending := max(min(ep.pending[level], float64(ep.awaitingFirstToken[level])), minPending)
		done := min(pending-minPending, prefilled)
		ep.pending[level] = pending - done
		prefilled -= done
	}
}

// pendingBefore returns the pending prompt tokens of this host that are prefilled before those of a new request at a level.
func (ep *endpoint) pendingBefore(now time.Duration, level int) float64 {
	ep.advancePending(now)
	sum := 0.0
	for _, tokens := range ep.pending[:level+1] {
		sum += tokens
	}
	return sum
}

// othersPendingBefore returns the pending prompt tokens of other hosts that are prefilled before those of a new request at a
// level.
func (ep *endpoint) othersPendingBefore(now time.Duration, level int) float64 {
	age := now - ep.othersLoadAt
	if age > othersLoadMaxAge {
		return 0
	}
	return max(float64(ep.othersLoad.Backlog.PendingBefore(level))-prefillRate/ep.slowness*age.Seconds(), 0)
}

// othersRunning returns the number of running attempts of other hosts.
func (ep *endpoint) othersRunning(now time.Duration) int {
	if now-ep.othersLoadAt > othersLoadMaxAge {
		return 0
	}
	return ep.othersLoad.Running
}

// setOthersLoad stores the load that other hosts put on the endpoint.
func (ep *endpoint) setOthersLoad(now time.Duration, load Load) {
	ep.othersLoad, ep.othersLoadAt = load, now
	if load.Slowness > 0 {
		ep.slowness = min(max(load.Slowness, minSlowness), maxSlowness)
	}
}

// startAttempt counts a new attempt with prompt tokens to prefill.
func (ep *endpoint) startAttempt(now time.Duration, level int, tokens int64) {
	ep.advancePending(now)
	ep.pending[level] += float64(tokens)
	ep.awaitingFirstToken[level] += tokens
	ep.running++
}

// endPrefill removes the prompt tokens of an attempt that has its first token, or that ended without one.
func (ep *endpoint) endPrefill(now time.Duration, level int, tokens int64) {
	ep.awaitingFirstToken[level] = max(ep.awaitingFirstToken[level]-tokens, 0)
	ep.advancePending(now)
}

// finishAttempt counts the end of an attempt and ejects the endpoint if needed.
func (ep *endpoint) finishAttempt(now time.Duration, outcome Outcome) {
	ep.running = max(ep.running-1, 0)
	switch outcome {
	case Done:
		ep.failuresInRow, ep.ejection = 0, 0
	case Failure, ResponseLost, ResponseTimedOut, NotSent:
		if !ep.resting(now) { // an endpoint that asks for rest has not failed
			ep.countFailure(now, outcome)
		}
	case Misdirected, Refused, Cancelled, Withdrawn, NoRoom:
	}
}

// countFailure counts a failure. It ejects the endpoint after failuresToEject consecutive failures, and at once when no
// connection could be made.
func (ep *endpoint) countFailure(now time.Duration, outcome Outcome) {
	ep.failuresInRow++
	if ep.failuresInRow < failuresToEject && outcome != NotSent {
		return
	}
	ep.ejection = min(max(2*ep.ejection, minEjection), maxEjection)
	ep.ejectedUntil = now + ep.ejection
	ep.failuresInRow = failuresToEject - 1 // after the ejection, one more failure ejects the endpoint again
}

// updateSlowness adds a measurement to the endpoint's slowness: the measured time to first token and its estimate.
func (ep *endpoint) updateSlowness(measured, estimated time.Duration) {
	if estimated <= 0 {
		return
	}
	ratio := min(max(float64(measured)/float64(estimated)*ep.slowness, minSlowness), maxSlowness)
	ep.slowness += slownessWeight * (ratio - ep.slowness)
}
