package catalog

import (
	"crypto/sha256"
	"time"
)

// Digest is the SHA-256 of a key; the key itself is not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	Header int           // bytes
	Body   int64         // bytes
	Read   time.Duration // for a request's header
	Idle   time.Duration // between two requests of a connection
}

// Account is a client account with its allowance.
type Account struct {
	Name     string
	Priority int     // 0 is the most urgent
	Ranked   bool    // Priority takes the place of the route's
	Rate     float64 // units a second over all hosts; 0 for no limit
	Burst    float64 // units
	Tokens   bool    // units are tokens, else requests
	Plain    int64   // tokens of a call that states none
}

// Cost returns the units of a request with the number of tokens.
func (a Account) Cost(tokens int64) int64 {
	switch {
	case !a.Tokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return max(a.Plain, 1)
	}
}

// Repeat says how often a request may run.
type Repeat int

//go:generate go tool stringer -type=Repeat -linecomment -output=repeat_string.go

const (
	// Idempotent requests may run any number of times.
	Idempotent Repeat = iota // idempotent
	// Once marks requests that may run at most once.
	Once // once
)

// Share is a pool's part of a route's traffic.
type Share struct {
	Pool   string
	Weight int
}

// Route says where requests of a host and path go, and under which rules.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Shares   []Share
	Repeat   Repeat
	Stream   bool
	Resume   bool // a stream may go on at another endpoint
	Open     bool // needs no key
	Sticky   bool // requests share parts of their prompts
	Priority int  // 0 is the most urgent
	Attempts int  // endpoints that one request may be sent to
	Timeout  time.Duration
	Goal     time.Duration // to the answer, or to the first event of a stream
	Pause    time.Duration // longest between two events
}

// Repeatable reports whether a request that may have run may be sent again.
func (r Route) Repeatable() bool { return r.Repeat == Idempotent && !r.Stream || r.Stream && r.Resume }

// PoolFor returns the pool that serves a request, chosen by weight from a point between 0 and 1.
func (r Route) PoolFor(point float64) (string, bool) {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	left := point * float64(total)
	for _, s := range r.Shares {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Pool, true
		}
	}
	return r.Shares[len(r.Shares)-1].Pool, true
}

// Pool is a set of endpoints that serve the same requests.
type Pool struct {
	Name        string
	Health      string // path of the health check
	Connections int    // that one endpoint accepts from all callers
	Engine      *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	Slots    int     // requests in a batch
	Memory   int64   // tokens that running requests and cached prompts share
	Weights  float64 // megabytes for models and adapters
	Adapters int     // places for adapters
	Loads    float64 // loads a second that the weight store allows over all engines
	Host     float64 // megabytes of weights kept in the engine's host memory
	Disk     float64 // megabytes of weights kept on the engine's disk
	Models   map[string]Model
}

// Model is a model that the engines of a pool can load.
type Model struct {
	Name     string
	Weights  float64       // megabytes
	Load     time.Duration // from the weight store
	Warm     time.Duration // from the engine's host memory
	Disk     time.Duration // from the engine's disk
	Adapters int
	Adapter  float64 // megabytes of one adapter
}
