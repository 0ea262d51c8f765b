package catalog

import (
	"crypto/sha256"
	"time"
)

// Digest is the SHA-256 digest of a caller's key. The key itself is not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Limits bound the size of callers' requests and the time that callers may take.
type Limits struct {
	MaxHeaderBytes int           // largest header, in bytes
	MaxBodyBytes   int64         // largest body, in bytes
	HeaderTimeout  time.Duration // longest time to read a request's header
	IdleTimeout    time.Duration // longest time between two requests on a connection
}

// Account is a client account with its rate limit.
type Account struct {
	Name              string
	Priority          int     // 0 is the most urgent
	OverridesPriority bool    // Priority replaces that of the route
	Rate              float64 // units per second over all hosts; 0 for no limit
	Burst             float64 // units that may be spent at once
	CountsTokens      bool    // the unit is a token; otherwise it is a request
	DefaultTokens     int64   // tokens charged for a request that states none
}

// Cost returns the units charged for a request that states the number of tokens, 0 if it states none.
func (a Account) Cost(tokens int64) int64 {
	switch {
	case !a.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return max(a.DefaultTokens, 1)
	}
}

// Repeat says whether the requests of a route may run more than once.
type Repeat int

//go:generate go tool stringer -type=Repeat -linecomment -output=repeat_string.go

const (
	// Idempotent requests may run any number of times.
	Idempotent Repeat = iota // idempotent
	// AtMostOnce requests run at most once.
	AtMostOnce // once
)

// WeightedPool is a pool that serves a part of a route's requests, in proportion to its weight.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Route says which pools serve the requests for a host and path prefix, and by which rules.
type Route struct {
	Name              string
	Host              string
	Prefix            string // begins and ends with a slash
	Pools             []WeightedPool
	Repeat            Repeat
	Stream            bool          // responses are event streams
	Resumable         bool          // an interrupted stream may be resumed at another endpoint
	Open              bool          // requests need no key
	SharesPromptParts bool          // requests have parts of their prompts in common
	Priority          int           // 0 is the most urgent
	MaxAttempts       int           // how many endpoints one request may be sent to, at least 1
	Timeout           time.Duration // of a whole request; 0 if the route sets none
	ResponseTarget    time.Duration // target for the time to the response, or to the first event of a stream
	EventGapTarget    time.Duration // target for the longest time between two events of a stream
}

// Retryable reports whether a request may be sent again although it may have run.
func (r Route) Retryable() bool {
	return r.Repeat == Idempotent && !r.Stream || r.Stream && r.Resumable
}

// PoolFor returns the pool that serves a request, and whether there is one. The point, at least 0 and less than 1, selects the pool:
// each has an interval in proportion to its weight.
func (r Route) PoolFor(point float64) (string, bool) {
	total := 0
	for _, s := range r.Pools {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	remaining := point * float64(total)
	for _, s := range r.Pools {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Pool, true
		}
	}
	return r.Pools[len(r.Pools)-1].Pool, true
}

// Pool is a set of endpoints that serve the same requests.
type Pool struct {
	Name           string
	HealthPath     string
	MaxConnections int           // connections that one endpoint accepts from all hosts together; 0 for no limit
	Engine         *Engine       // nil for plain services
	ColdTime       time.Duration // for which an endpoint is cold after its start; 0 if the endpoints are never cold
	ColdRate       float64       // requests per second that a cold endpoint tolerates from all hosts; 0 for no limit
}

// Engine describes the model engines of a pool. All quantities but LoadsPerSecond are those of one engine.
type Engine struct {
	Slots          int              // requests that run at once, in one batch
	KVCacheTokens  int64            // tokens in the key-value cache, for running requests and cached prompts together
	WeightsMB      float64          // megabytes of memory for models and adapters
	AdapterSlots   int              // number of adapters that fit
	LoadsPerSecond float64          // loads per second that the weight store allows for all engines together
	HostMemoryMB   float64          // megabytes of weights cached in the main memory of the engine's machine
	DiskMB         float64          // megabytes of weights cached on the disk of the engine's machine
	Models         map[string]Model // by name
}

// Model is a model that the engines of a pool can load.
type Model struct {
	Name               string
	WeightsMB          float64       // megabytes
	LoadTime           time.Duration // to load it from the weight store
	HostMemoryLoadTime time.Duration // to load it from the machine's main memory
	DiskLoadTime       time.Duration // to load it from the machine's disk
	AdapterCount       int
	AdapterMB          float64 // megabytes of one adapter
}
