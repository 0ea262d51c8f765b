package lease

import "time"

// maxClockAge is how long a reading of the table service's clock is extrapolated. In that time, clocks drift apart by
// less than 300 ms, which is below the margin that hosts add to HandoverGap.
const maxClockAge = 10 * time.Minute

// Tenancy is the content of the row of a lease that its holder renews.
type Tenancy struct {
	Holder   string `json:"holder"`             // id of the process
	Number   int64  `json:"number"`             // fencing number, increased by each new holder
	Renewal  int64  `json:"renewal"`            // counts the renewals and the release by this holder
	At       int64  `json:"at"`                 // milliseconds on the table service's clock, not before the decision to write the row; 0: unknown
	Released bool   `json:"released,omitempty"` // the holder has given the lease up
}

// TermSettings are the durations of a lease that its holder renews.
type TermSettings struct {
	Renew time.Duration // between two renewals
	Guard time.Duration // for which the holder may act after the start of its last renewal
	Gap   time.Duration // shortest time between the last action of one holder and the first action of the next
}

// Action is the kind of write that is due for a lease's row.
type Action int

//go:generate go tool stringer -type=Action -linecomment -output=action_string.go

// Actions of a lease. Renew and Acquire write the row under the condition that its revision is unchanged.
const (
	Stay    Action = iota // stay
	Renew                 // renew
	Acquire               // acquire
)

// Term is one process's view of a lease whose holder renews the lease's row. All times are those of a local clock that
// also advances while the machine is suspended. The holder may act until HoldDuration after the start of its last
// successful renewal. Another process acquires the lease when the row has been unchanged for HoldDuration and
// HandoverGap together. The type is not safe for concurrent use.
type Term struct {
	settings       TermSettings
	self           string
	row            Tenancy       // as last read or written
	revision       int64         // of the row; 0: absent
	rowKnown       bool          // row and revision are current as far as known; false before the first read and after a failed write
	changedAt      time.Duration // local time of the row's last change, or when it was first seen
	lastReadAt     time.Duration // end of the last read of the row
	mayActUntil    time.Duration // this process may act before this time
	lastWriteAt    time.Duration // start of this process's last write
	lastWrite      Tenancy       // content of this process's last write
	serviceClock   time.Duration // reading of the table service's clock, taken at serviceClockAt or later
	serviceClockAt time.Duration // local time
	writePending   bool          // the result of the last write has not been recorded
}

// NewTerm returns the lease as seen by the process with the id self, which hasn't read the row yet.
func NewTerm(settings TermSettings, self string) *Term {
	return &Term{settings: settings, self: self}
}

// Observe records a read of the row, which began at started and ended at now. An absent row has the revision 0.
// serviceClock is the table service's clock at the time of the read. Together with the row's timestamp it tells how long
// the row has been unchanged, so that a process that has just started need not watch the row that long itself.
func (t *Term) Observe(started, now time.Duration, row Tenancy, revision int64, serviceClock time.Duration) {
	t.lastReadAt = now
	t.serviceClock, t.serviceClockAt = serviceClock, started
	if t.rowKnown && revision <= t.revision {
		return
	}
	t.row, t.revision, t.changedAt, t.rowKnown = row, revision, now, true
	if decidedAt := time.Duration(row.At) * time.Millisecond; decidedAt > 0 && serviceClock > decidedAt {
		t.changedAt = now - (serviceClock - decidedAt)
	}
	switch {
	case row.Holder != t.self:
		t.mayActUntil = 0
	case row == t.lastWrite && !row.Released:
		t.mayActUntil = max(t.mayActUntil, t.lastWriteAt+t.settings.Guard) // this process's write took effect, but its result was lost
	}
}

// Acts reports whether this process may act as the holder now.
func (t *Term) Acts(now time.Duration) bool { return t.row.Holder == t.self && now < t.mayActUntil }

// Known reports whether the row's content is known. Otherwise the row must be read: at the start, and after a write that
// failed or whose result is unknown.
func (t *Term) Known() bool { return t.rowKnown }

// Number returns the fencing number of the current holder.
func (t *Term) Number() int64 { return t.row.Number }

// Holder returns the process id of the current holder; empty when there is none.
func (t *Term) Holder() string {
	if t.row.Released {
		return ""
	}
	return t.row.Holder
}

// Next returns the write that is due: its kind, the row's new content, and the revision that the row must still have.
// Report its result with RecordWrite.
func (t *Term) Next(now time.Duration) (Action, Tenancy, int64) {
	if !t.rowKnown || t.writePending {
		return Stay, Tenancy{}, 0
	}
	if t.row.Holder == t.self && !t.row.Released && now < t.mayActUntil {
		if now-t.lastWriteAt < t.settings.Renew {
			return Stay, Tenancy{}, 0
		}
		return t.beginWrite(now, Renew, Tenancy{Holder: t.self, Number: t.row.Number, Renewal: t.row.Renewal + 1})
	}
	if t.revision > 0 && t.lastReadAt-t.changedAt < t.takeoverWait() {
		return Stay, Tenancy{}, 0
	}
	return t.beginWrite(now, Acquire, Tenancy{Holder: t.self, Number: t.row.Number + 1})
}

// takeoverWait returns how long the row must have been unchanged before this process may acquire the lease.
func (t *Term) takeoverWait() time.Duration {
	if t.row.Released {
		return t.settings.Gap
	}
	return t.settings.Guard + t.settings.Gap
}

// beginWrite records the start of a write and returns it.
func (t *Term) beginWrite(now time.Duration, action Action, row Tenancy) (Action, Tenancy, int64) {
	row.At = t.serviceTime(now)
	t.writePending, t.lastWriteAt, t.lastWrite = true, now, row
	return action, row, t.revision
}

// serviceTime returns a time on the table service's clock, in milliseconds, that is not before now. It returns 0 when
// the last reading of that clock is older than maxClockAge.
func (t *Term) serviceTime(now time.Duration) int64 {
	if now-t.serviceClockAt > maxClockAge {
		return 0
	}
	return (t.serviceClock + now - t.serviceClockAt).Milliseconds() + 1
}

// Written records the result of a write; committed is false when the write failed or its result is unknown. Such a write
// doesn't allow this process to act, and the row must be read to learn whether the write took effect.
func (t *Term) Written(row Tenancy, revision int64, committed bool) {
	t.writePending = false
	if !committed || revision < t.revision {
		t.rowKnown = false // the row must be read before the next write
		return
	}
	t.row, t.revision, t.changedAt = row, revision, t.lastWriteAt
	if !row.Released {
		t.mayActUntil = t.lastWriteAt + t.settings.Guard
	}
}

// Release ends this process's right to act. It returns the write that gives the lease up and the revision that the row
// must still have, and false when this process doesn't hold the lease.
func (t *Term) Release(now time.Duration) (Tenancy, int64, bool) {
	if !t.Acts(now) {
		return Tenancy{}, 0, false
	}
	t.mayActUntil, t.lastWrite = 0, Tenancy{}
	return Tenancy{Holder: t.self, Number: t.row.Number, Renewal: t.row.Renewal + 1, At: t.serviceTime(now), Released: true}, t.revision, true
}
