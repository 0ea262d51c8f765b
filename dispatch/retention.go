package dispatch

import (
	"math"
	"time"

	"magnoliahoist/catalog"
)

const (
	// flowWindow is the time constant of the average of the prompt tokens that this host sends to an endpoint.
	flowWindow = 5 * time.Second
	// defaultRequestTokens is the assumed memory of a running request until this host has sent one, in tokens.
	defaultRequestTokens = 2_500.0
	// requestTokensWeight is the weight of a new request in the moving average of their memory.
	requestTokensWeight = 0.1
	// maxRetention bounds how long a prompt is assumed to be held, also by an engine whose memory is not known.
	maxRetention = time.Minute
)

// memoryUse is what this host knows of the use of an engine's memory for tokens.
type memoryUse struct {
	flow          float64 // prompt tokens a second that this host has sent, averaged over flowWindow at flowAt
	flowAt        time.Duration
	requestTokens float64 // moving average of the tokens of a request; 0 before the first
}

// addRequest counts a request with prompt tokens to be read and the most tokens that it holds.
func (m *memoryUse) addRequest(now time.Duration, uncached, tokens int64) {
	m.flow = m.flowNow(now) + float64(uncached)/flowWindow.Seconds()
	m.flowAt = now
	if m.requestTokens == 0 {
		m.requestTokens = float64(tokens)
	}
	m.requestTokens += requestTokensWeight * (float64(tokens) - m.requestTokens)
}

func (m *memoryUse) flowNow(now time.Duration) float64 {
	return m.flow * math.Exp(-float64(now-m.flowAt)/float64(flowWindow))
}

// retention returns how long the engine is expected to hold a prompt part after this host's last use of it. It evicts the least
// recently used parts when running requests or new prompts need the memory. Without spare memory nothing is held; otherwise the
// spare memory is divided by the rate at which this host sends new tokens. The tokens of other hosts don't count: the parts that
// requests have in common are used by those hosts as well, which keeps them from being evicted in the same measure.
func (ep *endpoint) retention(now time.Duration, engine *catalog.Engine) time.Duration {
	if engine == nil || engine.KVCacheTokens <= 0 {
		return maxRetention
	}
	requestTokens := ep.memory.requestTokens
	if requestTokens == 0 {
		requestTokens = defaultRequestTokens
	}
	running := ep.running + ep.othersRunning(now)
	spare := float64(engine.KVCacheTokens) - float64(running)*requestTokens
	if spare <= 0 {
		return 0
	}
	return time.Duration(min(spare/max(ep.memory.flowNow(now), 1), maxRetention.Seconds()) * float64(time.Second))
}
