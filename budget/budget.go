// Package budget decides which requests may use a host's memory for bodies and responses. It has no clock, does no I/O and takes no
// locks: the caller passes the time since the start of the process and carries out evictions.
package budget

import "time"

//go:generate go tool stringer -type=Kind,Verdict -linecomment -output=budget_string.go

// Kind says what a request holds memory for.
type Kind int

// Kinds of memory.
const (
	Body     Kind = iota // body
	Response             // response
)

// kinds is the number of kinds.
const kinds = Response + 1

// Verdict says whether a request may hold more memory.
type Verdict int

// Verdicts.
const (
	Granted Verdict = iota // granted
	Pending                // pending: evicted requests still hold the memory, so that the request has to ask again
	Refused                // refused
)

// sendingStall is how long the caller of a response must not have read any of it before the response may be evicted. A response has
// cost an endpoint's work and can't be repeated, so that one that is being read is never evicted.
const sendingStall = time.Second

// stage says whom a share waits for.
type stage int

const (
	whole     stage = iota // for nobody, or for an endpoint
	receiving              // for the caller, which sends the body
	answering              // for an endpoint, which sends the response
	dropping               // for its owner, which gives up the response that it is receiving
	sending                // for the caller, which reads the response
	evicted                // gets nothing more, and holds what it has until it is closed
)

// Share is the part of a budget that one request holds. Its zero value holds nothing.
type Share struct {
	Owner          any // for the user of the package
	stage          stage
	held           [kinds]int64
	progressAt     time.Duration
	previous, next *Share // in the list of its stage
}

// Evicted reports whether the share was evicted.
func (s *Share) Evicted() bool { return s.stage == evicted }

// Dropped reports whether the response that the share is receiving must be given up.
func (s *Share) Dropped() bool { return s.stage == dropping }

// total returns the bytes that the share holds.
func (s *Share) total() int64 { return s.held[Body] + s.held[Response] }

// list contains the shares that wait for their callers, those without progress for the longest time first.
type list struct {
	first, last *Share
	held        int64 // bytes of all shares in the list
}

func (l *list) add(s *Share) {
	s.previous, s.next = l.last, nil
	if l.last != nil {
		l.last.next = s
	} else {
		l.first = s
	}
	l.last = s
	l.held += s.total()
}

func (l *list) remove(s *Share) {
	if s.previous != nil {
		s.previous.next = s.next
	} else {
		l.first = s.next
	}
	if s.next != nil {
		s.next.previous = s.previous
	} else {
		l.last = s.previous
	}
	s.previous, s.next = nil, nil
	l.held -= s.total()
}

// Budget bounds the bytes that all requests hold together.
type Budget struct {
	capacity  int64
	held      [kinds]int64
	leaving   int64 // bytes that evicted shares still hold, and those of dropped responses
	receiving list
	answering list
	sending   list
}

// New returns a budget of a number of bytes.
func New(capacity int64) *Budget { return &Budget{capacity: capacity} }

// Raise raises the capacity if one body of a number of bytes would not fit.
func (b *Budget) Raise(body int64) { b.capacity = max(b.capacity, body*4/3+1) }

// limit returns the bound on the bytes of all requests above which a kind gets none: a fourth of the capacity is only for responses,
// because a response without room has already cost an endpoint's work.
func (b *Budget) limit(kind Kind) int64 {
	if kind == Body {
		return b.capacity * 3 / 4
	}
	return b.capacity
}

// Capacity returns the bound on the bytes of all requests.
func (b *Budget) Capacity() int64 { return b.capacity }

// Held returns the bytes held for a kind.
func (b *Budget) Held(kind Kind) int64 { return b.held[kind] }

// Receive says that the share's request waits for the rest of its body.
func (b *Budget) Receive(now time.Duration, s *Share) { b.move(now, s, receiving) }

// Send says that the share's response is being sent to the caller.
func (b *Budget) Send(now time.Duration, s *Share) { b.move(now, s, sending) }

// Answer says that the share's response is being received from an endpoint.
func (b *Budget) Answer(now time.Duration, s *Share) { b.move(now, s, answering) }

// Complete says that the share's body or response is whole, or that its response was given up.
func (b *Budget) Complete(now time.Duration, s *Share) { b.move(now, s, whole) }

// Progress says that the caller has sent a part of the body or has read a part of the response.
func (b *Budget) Progress(now time.Duration, s *Share) {
	if s.stage != dropping {
		b.move(now, s, s.stage)
	}
}

// move gives a share that was not evicted a stage and the newest place in its list.
func (b *Budget) move(now time.Duration, s *Share, to stage) {
	if s.stage == evicted {
		return
	}
	b.leave(s)
	s.stage, s.progressAt = to, now
	if l := b.listOf(s); l != nil {
		l.add(s)
	}
}

// leave takes a share that was not evicted out of its stage.
func (b *Budget) leave(s *Share) {
	if l := b.listOf(s); l != nil {
		l.remove(s)
	}
	if s.stage == dropping {
		b.leaving -= s.held[Response]
	}
}

// listOf returns the list of the share's stage; nil if it has none.
func (b *Budget) listOf(s *Share) *list {
	switch s.stage {
	case receiving:
		return &b.receiving
	case answering:
		return &b.answering
	case sending:
		return &b.sending
	default:
		return nil
	}
}

// Grow lets a share hold more bytes. If there is no room, it evicts others: first bodies that are not whole, the one without progress
// for the longest time first, then responses that their callers don't read. For a response it then drops the largest ones that are being
// received, if they are far larger. It evicts nothing and refuses if that does not make enough room. The owners of the evicted shares must
// forget their memory and close the shares, and those of dropped responses forget the response; the verdict is Pending until they have.
func (b *Budget) Grow(now time.Duration, s *Share, kind Kind, bytes int64) ([]*Share, Verdict) {
	if s.stage == evicted || s.stage == dropping {
		return nil, Refused
	}
	missing := b.held[Body] + b.held[Response] + bytes - b.limit(kind)
	if missing <= 0 {
		b.add(s, kind, bytes)
		return nil, Granted
	}
	minDropped := b.capacity + 1 // nothing holds as much
	if kind == Response {
		minDropped = dropFactor * (s.held[Response] + bytes)
	}
	if missing -= b.leaving; missing > b.evictable(now, s)+b.droppable(s, minDropped) {
		return nil, Refused
	}
	out, missing := b.evict(now, s, missing)
	return append(out, b.drop(s, minDropped, missing)...), Pending
}

// dropFactor is how many times as large as another response one must be to be dropped for it. Responses of similar size would otherwise
// drop each other in turn.
const dropFactor = 4

// droppable returns the bytes of the other responses that are being received and hold at least a number of bytes.
func (b *Budget) droppable(s *Share, minHeld int64) int64 {
	bytes := int64(0)
	for other := b.answering.first; other != nil; other = other.next {
		if other != s && other.held[Response] >= minHeld {
			bytes += other.held[Response]
		}
	}
	return bytes
}

// drop drops other responses that hold at least a number of bytes, the largest first, until a number of bytes is free.
func (b *Budget) drop(keep *Share, minHeld, missing int64) []*Share {
	var out []*Share
	for missing > 0 {
		var largest *Share
		for s := b.answering.first; s != nil; s = s.next {
			if s != keep && s.held[Response] >= minHeld && (largest == nil || s.held[Response] > largest.held[Response]) {
				largest = s
			}
		}
		if largest == nil {
			break
		}
		b.answering.remove(largest)
		largest.stage = dropping
		b.leaving += largest.held[Response]
		missing -= largest.held[Response]
		out = append(out, largest)
	}
	return out
}

// evictable returns the bytes that can be freed for a share.
func (b *Budget) evictable(now time.Duration, s *Share) int64 {
	bytes := b.receiving.held
	if s.stage == receiving {
		bytes -= s.total()
	}
	for other := b.sending.first; other != nil && stalled(now, other); other = other.next {
		if other != s {
			bytes += other.total()
		}
	}
	return bytes
}

// stalled reports whether the caller of a response has not read any of it for sendingStall.
func stalled(now time.Duration, s *Share) bool { return now-s.progressAt >= sendingStall }

// evict evicts shares other than the given one until a number of bytes is free. It returns them and the bytes that are still missing.
func (b *Budget) evict(now time.Duration, keep *Share, missing int64) ([]*Share, int64) {
	var out []*Share
	for _, l := range []*list{&b.receiving, &b.sending} {
		for s := l.first; s != nil && missing > 0 && (l == &b.receiving || stalled(now, s)); {
			next := s.next
			if s != keep && s.total() > 0 {
				missing -= s.total()
				l.remove(s)
				s.stage = evicted
				b.leaving += s.total()
				out = append(out, s)
			}
			s = next
		}
	}
	return out, missing
}

// add adds bytes, which may be negative, to a share.
func (b *Budget) add(s *Share, kind Kind, bytes int64) {
	s.held[kind] += bytes
	b.held[kind] += bytes
	if l := b.listOf(s); l != nil {
		l.held += bytes
	}
	if s.stage == evicted || s.stage == dropping && kind == Response {
		b.leaving += bytes
	}
}

// Fits reports whether a share could hold more bytes of a kind if it were the only one.
func (b *Budget) Fits(s *Share, kind Kind, bytes int64) bool { return s.total()+bytes <= b.limit(kind) }

// Release lets a share hold fewer bytes, but not fewer than none.
func (b *Budget) Release(s *Share, kind Kind, bytes int64) { b.add(s, kind, -min(bytes, s.held[kind])) }

// ReleaseAll lets a share hold nothing of a kind.
func (b *Budget) ReleaseAll(s *Share, kind Kind) { b.add(s, kind, -s.held[kind]) }

// Close ends a share, which then holds nothing.
func (b *Budget) Close(s *Share) {
	for kind := range kinds {
		b.ReleaseAll(s, kind)
	}
	if s.stage != evicted {
		b.leave(s)
		s.stage = whole
	}
}
