package lease

import (
	"time"

	"magnoliahoist/table"
)

// maxClockAge is how long a reading of the table service's clock is extrapolated. In that time, clocks drift apart by
// less than 300 ms, which is below the margin that hosts add to HandoverGap.
const maxClockAge = 10 * time.Minute

// Record is the content of the row of a lease that its holder renews.
type Record struct {
	Holder        string `json:"holder"`             // id of the process
	FencingNumber int64  `json:"number"`             // rises with each new holder: above every revision of the table before
	Era           int64  `json:"era,omitempty"`      // of the table service when the write was decided
	Renewal       int64  `json:"renewal"`            // counts the renewals and the release by this holder
	DecidedAt     int64  `json:"at"`                 // milliseconds on the table service's clock, not before the decision to write the row; 0: unknown
	Released      bool   `json:"released,omitempty"` // the holder has given the lease up
}

// Read is a read of the table that contains a lease's row.
type Read struct {
	Started  time.Duration // local time
	Ended    time.Duration // local time
	Revision int64         // of the table
	Clock    time.Duration // of the table service, at the time of the read
}

// RenewalSettings are the durations of a lease that its holder renews.
type RenewalSettings struct {
	RenewInterval time.Duration // between two renewals
	HoldDuration  time.Duration // for which the holder may act after the start of its last renewal
	HandoverGap   time.Duration // shortest time between the last action of one holder and the first action of the next
	StageDelay    time.Duration // by which each stage of the succession acquires a free lease later than the one before
}

// Action is the kind of write that is due for a lease's row.
type Action int

//go:generate go tool stringer -type=Action -linecomment -output=action_string.go

// Actions of a lease. Renew and Acquire write the row under the condition that its revision is unchanged.
const (
	NoWrite Action = iota // stay
	Renew                 // renew
	Acquire               // acquire
)

// RenewedLease is one process's view of a lease whose holder renews the lease's row. All times are those of a local clock that
// also advances while the machine is suspended. The holder may act until HoldDuration after the start of its last
// successful renewal. Another process acquires the lease when the row has been unchanged for HoldDuration and
// HandoverGap together.
//
// A table service that is restored from a backup loses renewals and changes of the holder, and gives revisions a higher era. Until the
// row has been written in the new era it says nothing about the present holder. A process that may act goes on, until HoldDuration after
// its last renewal in the old era, and writes its own row again; the others wait as if the holder had renewed the lease just before they
// read the row. The type is not safe for concurrent use.
type RenewedLease struct {
	settings       RenewalSettings
	self           string
	stage          int           // of this process in the succession
	row            Record        // as last read or written
	revision       int64         // of the row; 0: absent
	tableRevision  int64         // latest revision of the table at which the row was read or written
	inherited      bool          // the row was not written in the present era of the table service
	rowLost        bool          // this process may act, and its row is to be written again
	read           bool          // the row was read before
	rowKnown       bool          // row and revision are current as far as known; false before the first read and after a failed write
	changedAt      time.Duration // local time of the row's last change, or when it was first seen
	lastReadAt     time.Duration // end of the last read of the row
	mayActUntil    time.Duration // this process may act before this time
	lastWriteAt    time.Duration // start of this process's last write
	lastWrite      Record        // content of this process's last write
	serviceClock   time.Duration // reading of the table service's clock, taken at serviceClockAt or later
	serviceClockAt time.Duration // local time
	writePending   bool          // the result of the last write has not been recorded
}

// NewRenewedLease returns the lease as seen by the process with the id self, which hasn't read the row yet.
func NewRenewedLease(settings RenewalSettings, self string) *RenewedLease {
	return &RenewedLease{settings: settings, self: self}
}

// Observe records a read of the row, which has the revision 0 if it is absent. The table service's clock and the row's timestamp
// tell how long the row has been unchanged, so that a process that has just started need not watch the row that long itself.
func (l *RenewedLease) Observe(read Read, row Record, revision int64) {
	era := table.EraOf(read.Revision)
	sameEra := l.read && era == table.EraOf(l.tableRevision)
	if era < table.EraOf(l.tableRevision) {
		return
	}
	l.tableRevision, l.read = max(l.tableRevision, read.Revision), true
	l.lastReadAt = read.Ended
	l.serviceClock, l.serviceClockAt = read.Clock, read.Started
	if l.rowKnown && sameEra && revision <= l.revision {
		return
	}
	unchanged := sameEra && revision == l.revision
	l.revision, l.rowKnown = revision, true
	l.inherited = isInherited(era, row, revision)
	if l.inherited && l.MayAct(read.Ended) {
		l.rowLost = true
		return
	}
	l.row, l.rowLost = row, false
	if !l.inherited || !unchanged {
		l.changedAt = read.Ended
	}
	if decidedAt := time.Duration(row.DecidedAt) * time.Millisecond; !l.inherited && decidedAt > 0 && read.Clock > decidedAt {
		l.changedAt = read.Ended - (read.Clock - decidedAt)
	}
	switch {
	case row.Holder != l.self:
		l.mayActUntil = 0
	case row == l.lastWrite && !row.Released && !l.inherited:
		l.mayActUntil = max(l.mayActUntil, l.lastWriteAt+l.settings.HoldDuration) // this process's write took effect, but its result was lost
	}
}

// isInherited reports whether a row that was read in an era comes from an earlier one: from a backup, or from a write that was decided
// before the restoration and took effect after it. An absent row may have been lost.
func isInherited(era int64, row Record, revision int64) bool {
	if revision == 0 {
		return era > table.FirstEra
	}
	return row.Era < era
}

// SetStage sets this process's stage in the succession, 0 for the process that acquires a free lease first.
func (l *RenewedLease) SetStage(stage int) { l.stage = stage }

// MayAct reports whether this process may act as the holder now.
func (l *RenewedLease) MayAct(now time.Duration) bool {
	return l.row.Holder == l.self && now < l.mayActUntil
}

// RowKnown reports whether the row's content is known. Otherwise the row must be read: at the start, and after a write that
// failed or whose result is unknown.
func (l *RenewedLease) RowKnown() bool { return l.rowKnown }

// ForgetRow makes the row unknown, after the table service was restored. It doesn't end the right to act.
func (l *RenewedLease) ForgetRow() { l.rowKnown = false }

// FencingNumber returns the fencing number of the current holder.
func (l *RenewedLease) FencingNumber() int64 { return l.row.FencingNumber }

// Holder returns the process id of the current holder; empty when there is none.
func (l *RenewedLease) Holder() string {
	if l.row.Released {
		return ""
	}
	return l.row.Holder
}

// NextWrite returns the write that is due: its kind, the row's new content, and the revision that the row must still have.
// Report its result with RecordWrite.
func (l *RenewedLease) NextWrite(now time.Duration) (Action, Record, int64) {
	if !l.rowKnown || l.writePending {
		return NoWrite, Record{}, 0
	}
	if l.row.Holder == l.self && !l.row.Released && now < l.mayActUntil {
		if !l.rowLost && now-l.lastWriteAt < l.settings.RenewInterval {
			return NoWrite, Record{}, 0
		}
		return l.beginWrite(now, Renew, Record{Holder: l.self, FencingNumber: l.row.FencingNumber, Renewal: l.row.Renewal + 1})
	}
	if l.lastReadAt-l.changedAt < l.takeoverWait() {
		return NoWrite, Record{}, 0
	}
	return l.beginWrite(now, Acquire, Record{Holder: l.self, FencingNumber: max(l.row.FencingNumber, l.tableRevision) + 1})
}

// takeoverWait returns how long the row must have been unchanged before this process may acquire the lease.
func (l *RenewedLease) takeoverWait() time.Duration {
	wait := time.Duration(l.stage) * l.settings.StageDelay
	switch {
	case l.inherited:
		return wait + l.settings.HoldDuration + l.settings.HandoverGap
	case l.revision == 0:
		return wait
	case l.row.Released:
		return wait + l.settings.HandoverGap
	default:
		return wait + l.settings.HoldDuration + l.settings.HandoverGap
	}
}

// beginWrite records the start of a write and returns it.
func (l *RenewedLease) beginWrite(now time.Duration, action Action, row Record) (Action, Record, int64) {
	row.DecidedAt, row.Era = l.serviceTime(now), table.EraOf(l.tableRevision)
	l.writePending, l.lastWriteAt, l.lastWrite = true, now, row
	return action, row, l.revision
}

// serviceTime returns a time on the table service's clock, in milliseconds, that is not before now. It returns 0 when
// the last reading of that clock is older than maxClockAge.
func (l *RenewedLease) serviceTime(now time.Duration) int64 {
	if now-l.serviceClockAt > maxClockAge {
		return 0
	}
	return (l.serviceClock + now - l.serviceClockAt).Milliseconds() + 1
}

// RecordWrite records the result of a write; committed is false when the write failed or its result is unknown. Such a write
// doesn't allow this process to act, and the row must be read to learn whether the write took effect.
func (l *RenewedLease) RecordWrite(row Record, revision int64, committed bool) {
	l.writePending = false
	if !committed || table.EraOf(revision) != row.Era || revision < l.revision {
		l.rowKnown = false // the row must be read before the next write
		return
	}
	l.row, l.revision, l.changedAt, l.inherited, l.rowLost = row, revision, l.lastWriteAt, false, false
	l.tableRevision = max(l.tableRevision, revision)
	if !row.Released {
		l.mayActUntil = l.lastWriteAt + l.settings.HoldDuration
	}
}

// Release ends this process's right to act. It returns the write that gives the lease up and the revision that the row
// must still have, and false when this process doesn't hold the lease.
func (l *RenewedLease) Release(now time.Duration) (Record, int64, bool) {
	if !l.MayAct(now) {
		return Record{}, 0, false
	}
	l.mayActUntil, l.lastWrite = 0, Record{}
	return Record{Holder: l.self, FencingNumber: l.row.FencingNumber, Era: table.EraOf(l.tableRevision), Renewal: l.row.Renewal + 1, DecidedAt: l.serviceTime(now), Released: true}, l.revision, true
}
