package origin

import (
	"slices"
	"time"
)

const (
	// segmentStreams and segmentAge bound a segment of the journal: each write contains the whole segment.
	segmentStreams = 256
	segmentAge     = 15 * time.Second
	// maxRemoved bounds the segments that one write removes.
	maxRemoved = 2
	// maxRecords bounds the records that are kept to write them again after the store has lost them. The oldest are dropped first.
	maxRecords = 2000
)

// Record says that a stream was sent to an endpoint of a version.
type Record struct {
	Key     Key
	Version Version
}

// entry is a record in the journal.
type entry struct {
	Record
	number  int // from 1, in the order of the entries
	addedAt time.Duration
}

// closedSegment is a segment that gets no further records. Its row is removed once none of its streams can be taken up any more.
type closedSegment struct {
	number   int
	closedAt time.Duration
}

//go:generate go tool stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is the outcome of a write of the journal.
type Outcome int

// Outcomes of a write.
const (
	Written    Outcome = iota // written
	NotWritten                // not written
	Unknown                   // unknown
)

// Journal holds the records that a host writes to the store before it passes on the first event of a stream that did not begin at the
// base version. A segment is one row and is written again as it grows. A write of unknown outcome may be carried out late, over a newer
// one, so that its segment is closed: its row then still contains the records that were written before. A journal is not safe for
// concurrent use.
type Journal struct {
	entries []entry // oldest first
	added   int     // number of the newest entry
	written int     // the entries up to this number are in the store
	segment int     // number of the current segment
	from    int     // number of the first entry of the current segment
	closed  []closedSegment
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{from: 1} }

// Add adds a record and returns its number. A later record of a stream replaces an earlier one.
func (j *Journal) Add(now time.Duration, r Record) int {
	if len(j.entries) == 0 || j.from > j.added {
		j.startSegment(now)
	}
	j.added++
	j.entries = append(j.entries, entry{Record: r, number: j.added, addedAt: now})
	if excess := len(j.entries) - maxRecords; excess > 0 {
		j.entries = slices.Delete(j.entries, 0, excess)
	}
	return j.added
}

// Written returns the number up to which records are in the store.
func (j *Journal) Written() int { return j.written }

// Write is a write of the journal: the whole current segment, and the segments whose rows are to be removed.
type Write struct {
	Segment int
	Records []Record // at most one of each stream
	Removed []int
	upTo    int // number of the newest entry
}

// Next returns the write that is due, if there is one.
func (j *Journal) Next(now time.Duration) (Write, bool) {
	if j.added > j.written && j.segmentFull(now) {
		j.closeSegment(now)
	}
	w := Write{Segment: j.segment, upTo: j.added}
	for _, s := range j.closed {
		if now-s.closedAt > Retention && len(w.Removed) < maxRemoved {
			w.Removed = append(w.Removed, s.number)
		}
	}
	if j.added > j.written {
		w.Records = j.current()
	}
	return w, len(w.Records) > 0 || len(w.Removed) > 0
}

// current returns the records of the current segment, the newest of each stream.
func (j *Journal) current() []Record {
	seen := map[Key]bool{}
	var records []Record
	for _, e := range slices.Backward(j.entries) {
		if e.number < j.from {
			break
		}
		if !seen[e.Key] {
			seen[e.Key] = true
			records = append(records, e.Record)
		}
	}
	slices.Reverse(records)
	return records
}

// segmentFull reports whether the current segment is too large or too old for further records.
func (j *Journal) segmentFull(now time.Duration) bool {
	first := slices.IndexFunc(j.entries, func(e entry) bool { return e.number >= j.from })
	return first >= 0 && j.written >= j.from && (len(j.entries)-first > segmentStreams || now-j.entries[first].addedAt > segmentAge)
}

// closeSegment makes the records that are not written the first ones of a new segment.
func (j *Journal) closeSegment(now time.Duration) {
	j.closed = append(j.closed, closedSegment{number: j.segment, closedAt: now})
	j.segment++
	j.from = j.written + 1
}

// startSegment drops the records of streams that can't be taken up any more. It is called while the current segment has no records.
func (j *Journal) startSegment(now time.Duration) {
	j.entries = slices.DeleteFunc(j.entries, func(e entry) bool { return now-e.addedAt > Retention })
}

// Settle records the outcome of a write.
func (j *Journal) Settle(now time.Duration, w Write, outcome Outcome) {
	switch outcome {
	case Written:
		j.written = max(j.written, w.upTo)
		j.closed = slices.DeleteFunc(j.closed, func(s closedSegment) bool { return slices.Contains(w.Removed, s.number) })
	case Unknown:
		if len(w.Records) > 0 && w.Segment == j.segment {
			j.closeSegment(now)
		}
	case NotWritten:
	}
}

// Restore makes the records of streams that may still be taken up count as not written, because the store may have lost them.
func (j *Journal) Restore(now time.Duration) {
	j.closeSegment(now)
	j.written = j.added
	for _, e := range slices.Backward(j.entries) {
		if now-e.addedAt > Retention {
			break
		}
		j.written = e.number - 1
	}
	j.from = j.written + 1
}
