package dispatch

import (
	"time"

	"magnoliahoist/directory"
)

const (
	// readRate is the prompt tokens a second up to which a model engine is filled: nine tenths of what it reads while it
	// also decodes, so that running streams go on. The slowness
	// that is learned for each endpoint corrects it.
	readRate = 15_000.0
	// leastBacklog is the part of the prompts without a first token that counts as unread however long ago they
	// were sent, because an engine that is silent has not read them.
	leastBacklog = 0.3
	// slowWeight is the weight of a new observation of an endpoint's slowness.
	slowWeight = 0.2
	// observedLife is how long the load reported by other hosts counts; reports come several times in it.
	observedLife = 2 * time.Second
	// failuresToEject in a row leave an endpoint out for ejection, doubled each time up to ejectionLimit.
	failuresToEject = 3
	ejection        = 500 * time.Millisecond
	ejectionLimit   = 4 * time.Second
	// fetchPatience is how long an adapter order may take before it is asked for again.
	fetchPatience = time.Second
)

// fetch is the state of an adapter that was asked for.
type fetch struct {
	asked  time.Duration
	loaded bool // it was loaded, though the registration doesn't show it yet
}

// node is what the host knows of one endpoint process.
type node struct {
	directory.Endpoint
	hash     uint64
	models   map[string]bool
	adapters map[Adapter]bool
	fetches  map[Adapter]fetch
	used     map[Adapter]bool // since the last report
	running  int              // attempts of this host
	unread   Backlog          // prompt tokens of attempts without a first token
	backlog  [levels]float64  // the part of them that is estimated to be unread
	at       time.Duration    // of backlog
	others   Load
	othersAt time.Duration
	slow     float64 // measured against estimated time to the first token
	failures int     // in a row
	ejected  time.Duration
	until    time.Duration // end of the ejection
	absent   map[string]time.Duration
	cache    *cache
}

func newNode(now time.Duration, e directory.Endpoint) *node {
	return &node{
		Endpoint: e,
		hash:     hashText(e.ID),
		at:       now,
		slow:     1,
		fetches:  map[Adapter]fetch{},
		used:     map[Adapter]bool{},
		absent:   map[string]time.Duration{},
		cache:    newCache(),
	}
}

// hashText returns a hash that is the same on all hosts.
func hashText(text string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return mix(h)
}

// mix spreads the bits of a number (splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// register takes what the endpoint says of itself.
func (n *node) register(now time.Duration, e directory.Endpoint) {
	n.Endpoint = e
	n.models = make(map[string]bool, len(e.Models))
	n.adapters = map[Adapter]bool{}
	for _, m := range e.Models {
		n.models[m.Name] = true
		for _, a := range m.Adapters {
			n.adapters[Adapter{m.Name, a}] = true
		}
	}
	for k, f := range n.fetches {
		if n.adapters[k] || f.loaded && now-f.asked > 3*fetchPatience {
			delete(n.fetches, k)
		}
	}
}

// holds reports whether the endpoint serves a model now.
func (n *node) holds(now time.Duration, model string) bool {
	if !n.models[model] || n.others.Retiring == model && now-n.othersAt < observedLife {
		return false
	}
	since, missing := n.absent[model]
	return !missing || now-since > absentLife
}

// absentLife is how long a model counts as absent after the endpoint said so; its registration follows within that.
const absentLife = 2500 * time.Millisecond

// hasAdapter reports whether the adapter is resident as far as known.
func (n *node) hasAdapter(k Adapter) bool {
	return k.Adapter == "" || n.adapters[k] || n.fetches[k].loaded
}

// takesAdapters reports whether an adapter can be ordered for the endpoint. An endpoint that loads a model refuses.
func (n *node) takesAdapters(now time.Duration) bool {
	return !n.others.Loading || now-n.othersAt >= observedLife
}

// usable reports whether the endpoint may get work.
func (n *node) usable(now time.Duration) bool { return !n.Leaving && now >= n.until }

// drain lets the endpoint read since the last call, the most urgent prompts first. Prompts without a first token
// count as unread in part however long ago they were sent, because an engine that is silent has not read them.
func (n *node) drain(now time.Duration) {
	read := readRate / n.slow * (now - n.at).Seconds()
	n.at = now
	for level := range n.backlog {
		least := leastBacklog * float64(n.unread[level])
		left := max(min(n.backlog[level], float64(n.unread[level])), least)
		taken := min(left-least, read)
		n.backlog[level] = left - taken
		read -= taken
	}
}

// backlogBefore returns the prompt tokens of this host that are read before those of a request at the level.
func (n *node) backlogBefore(now time.Duration, level int) float64 {
	n.drain(now)
	sum := 0.0
	for _, tokens := range n.backlog[:level+1] {
		sum += tokens
	}
	return sum
}

// othersBefore returns the unread prompt tokens of other hosts that are read before those of a request.
func (n *node) othersBefore(now time.Duration, level int) float64 {
	age := now - n.othersAt
	if age > observedLife {
		return 0
	}
	return max(float64(n.others.Backlog.Before(level))-readRate/n.slow*age.Seconds(), 0)
}

// othersRunning returns the attempts of other hosts.
func (n *node) othersRunning(now time.Duration) int {
	if now-n.othersAt > observedLife {
		return 0
	}
	return n.others.Running
}

func (n *node) observe(now time.Duration, l Load) { n.others, n.othersAt = l, now }

// start counts an attempt that has prompt tokens to read.
func (n *node) start(now time.Duration, level int, unread int64) {
	n.drain(now)
	n.backlog[level] += float64(unread)
	n.unread[level] += unread
	n.running++
}

// read says that the prompt of an attempt has been read, or will not be.
func (n *node) read(now time.Duration, level int, unread int64) {
	n.unread[level] = max(n.unread[level]-unread, 0)
	n.drain(now)
}

// finish counts the end of an attempt.
func (n *node) finish(now time.Duration, outcome Outcome) {
	n.running = max(n.running-1, 0)
	switch outcome {
	case Done:
		n.failures, n.ejected = 0, 0
	case Failure, Lost, Silent, Unsent:
		n.fail(now, outcome)
	case Misplaced, Refused, Cancelled:
	}
}

// fail counts a failure and ejects the endpoint after some in a row, at once when it doesn't take connections.
func (n *node) fail(now time.Duration, outcome Outcome) {
	n.failures++
	if n.failures < failuresToEject && outcome != Unsent {
		return
	}
	n.ejected = min(max(2*n.ejected, ejection), ejectionLimit)
	n.until = now + n.ejected
	n.failures = failuresToEject - 1 // one more failure ejects again
}

// learn takes the measured against the estimated time to the first token.
func (n *node) learn(measured, estimated time.Duration) {
	if estimated <= 0 {
		return
	}
	ratio := min(max(float64(measured)/float64(estimated)*n.slow, 1), 20)
	n.slow += slowWeight * (ratio - n.slow)
}
