// Package origin remembers which software version began each stream, and which versions have lately been in service, so that a stream
// that a caller takes up goes on at an endpoint of the version that began it. It performs no I/O and has no clock.
package origin

import (
	"hash/fnv"
	"time"
)

const (
	// Retention is how long streams, and versions whose endpoints have gone, are remembered. Streams last for less, and callers take
	// them up within seconds.
	Retention = time.Minute
	// maxStreams bounds the streams of a ledger. The oldest are dropped first.
	maxStreams = 20000
)

// Version is a software version of the endpoints of a pool.
type Version struct{ Pool, Software string }

// Key identifies a stream by the ID of the request that brought its first event.
type Key uint64

// KeyOf returns the key of the stream whose first event a request brought. All hosts compute the same key.
func KeyOf(requestID string) Key {
	hash := fnv.New64a()
	hash.Write([]byte(requestID)) // never fails
	return Key(hash.Sum64())
}

// Ledger says which version began each stream of a host. It is not safe for concurrent use.
type Ledger struct {
	streams map[Key]stream
	order   []Key // oldest first
}

// stream is what a ledger knows of a stream.
type stream struct {
	version Version
	begunAt time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{streams: map[Key]stream{}} }

// Begin records that a version has begun a stream.
func (l *Ledger) Begin(now time.Duration, key Key, version Version) {
	if _, known := l.streams[key]; !known {
		l.order = append(l.order, key)
	}
	l.streams[key] = stream{version: version, begunAt: now}
	for len(l.order) > 0 && (len(l.order) > maxStreams || now-l.streams[l.order[0]].begunAt > Retention) {
		delete(l.streams, l.order[0])
		l.order = l.order[1:]
	}
}

// Find returns the version that began a stream; false if it is not known.
func (l *Ledger) Find(key Key) (Version, bool) {
	s, known := l.streams[key]
	return s.version, known
}
