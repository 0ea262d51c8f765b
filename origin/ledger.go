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

// Ledger says which version began each stream. It is not safe for concurrent use.
type Ledger struct {
	streams map[Key]stream
	order   []Key // oldest first
	added   int   // streams that began at this host since the ledger was created
}

// stream is what a ledger knows of a stream.
type stream struct {
	version Version
	addedAt time.Duration
	own     bool // it began at this host, or at an earlier process of it
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{streams: map[Key]stream{}} }

// Begin records that a version has begun a stream at this host.
func (l *Ledger) Begin(now time.Duration, key Key, version Version) {
	l.add(now, key, stream{version: version, addedAt: now, own: true})
	l.added++
}

// Learn records a stream that another host knows. It is own if an earlier process of this host has begun it.
func (l *Ledger) Learn(now time.Duration, key Key, version Version, own bool) {
	if _, known := l.streams[key]; !known {
		l.add(now, key, stream{version: version, addedAt: now, own: own})
	}
}

func (l *Ledger) add(now time.Duration, key Key, s stream) {
	if _, known := l.streams[key]; !known {
		l.order = append(l.order, key)
	}
	l.streams[key] = s
	for len(l.order) > 0 && (len(l.order) > maxStreams || now-l.streams[l.order[0]].addedAt > Retention) {
		delete(l.streams, l.order[0])
		l.order = l.order[1:]
	}
}

// Find returns the version that began a stream; false if it is not known.
func (l *Ledger) Find(key Key) (Version, bool) {
	s, known := l.streams[key]
	return s.version, known
}

// Added returns how many streams have begun at this host.
func (l *Ledger) Added() int { return l.added }

// Own returns the newest streams of this host, at most count, by their version.
func (l *Ledger) Own(now time.Duration, count int) map[Version][]Key {
	own := map[Version][]Key{}
	for n := len(l.order) - 1; n >= 0 && count > 0; n-- {
		key := l.order[n]
		if s := l.streams[key]; s.own && now-s.addedAt <= Retention {
			own[s.version] = append(own[s.version], key)
			count--
		}
	}
	return own
}
