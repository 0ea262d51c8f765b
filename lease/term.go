package lease

import "time"

// clockLife is how long a reading of the table service's clock is relied on: clocks drift apart by less than 300 ms in
// it, which is below the margin that hosts add to Gap.
const clockLife = 10 * time.Minute

// Tenancy is the content of a lease's row.
type Tenancy struct {
	Holder   string `json:"holder"` // id of the process
	Number   int64  `json:"number"` // higher for each holder
	Renewal  int64  `json:"renewal"`
	At       int64  `json:"at"` // milliseconds on the table service's clock before which the write was decided
	Released bool   `json:"released,omitempty"`
}

// TermSettings are the times of a lease that is kept by renewing its row.
type TermSettings struct {
	Renew time.Duration // between two renewals
	Guard time.Duration // after the start of the last renewal, in which the holder may act
	Gap   time.Duration // least time between the acts of two holders
}

// Action is what a term asks for.
type Action int

//go:generate go tool stringer -type=Action -linecomment -output=action_string.go

// Actions of a term. Each is a write of the row under the condition that its revision is unchanged.
const (
	Stay    Action = iota // stay
	Renew                 // renew
	Acquire               // acquire
)

// Term is one process's view of a lease whose row is renewed by its holder. Times come from a clock that goes on
// while the machine is suspended. A process may act while the last renewal that succeeded began less than Guard
// ago; another takes over when reads that are Guard and Gap apart have shown the row unchanged. Term is not safe for concurrent use.
type Term struct {
	settings TermSettings
	self     string
	row      Tenancy
	revision int64
	known    bool          // the row, or its absence, has been read
	changed  time.Duration // when the row was seen to change
	looked   time.Duration // when the row was read last
	acting   time.Duration // end of the time in which this process may act
	asked    time.Duration // start of the last write
	written  Tenancy       // content of the last write
	clock    time.Duration // of the table service, at least as late as it was at the local time read
	read     time.Duration
	pending  bool
}

// NewTerm returns the view of a process that knows nothing yet.
func NewTerm(settings TermSettings, self string) *Term {
	return &Term{settings: settings, self: self}
}

// Observe takes the row as of a revision; an absent row has the revision 0. The read began at the time asked and was
// answered at the time now; clock is the table service's clock at the answer. It dates the row's last write, so that a
// process that has just started need not watch it for as long.
func (t *Term) Observe(asked, now time.Duration, row Tenancy, revision int64, clock time.Duration) {
	t.looked = now
	t.clock, t.read = clock, asked
	if t.known && revision <= t.revision {
		return
	}
	t.row, t.revision, t.changed, t.known = row, revision, now, true
	if at := time.Duration(row.At) * time.Millisecond; at > 0 && clock > at {
		t.changed = now - (clock - at)
	}
	switch {
	case row.Holder != t.self:
		t.acting = 0
	case row == t.written && !row.Released:
		t.acting = max(t.acting, t.asked+t.settings.Guard) // the write whose result was lost
	}
}

// Acts reports whether this process may act now as the holder.
func (t *Term) Acts(now time.Duration) bool { return t.row.Holder == t.self && now < t.acting }

// Known reports whether the row's content is known. After a write without a known result it must be read again.
func (t *Term) Known() bool { return t.known }

// Number returns the number of the present holder.
func (t *Term) Number() int64 { return t.row.Number }

// Holder returns the id of the present holder; empty when there is none.
func (t *Term) Holder() string {
	if t.row.Released {
		return ""
	}
	return t.row.Holder
}

// Next returns the write that is due: the row's new content and the revision that it must still have.
func (t *Term) Next(now time.Duration) (Action, Tenancy, int64) {
	if !t.known || t.pending {
		return Stay, Tenancy{}, 0
	}
	if t.row.Holder == t.self && !t.row.Released && now < t.acting {
		if now-t.asked < t.settings.Renew {
			return Stay, Tenancy{}, 0
		}
		return t.begin(now, Renew, Tenancy{Holder: t.self, Number: t.row.Number, Renewal: t.row.Renewal + 1})
	}
	if t.revision > 0 && t.looked-t.changed < t.wait() {
		return Stay, Tenancy{}, 0
	}
	return t.begin(now, Acquire, Tenancy{Holder: t.self, Number: t.row.Number + 1})
}

// wait returns how long the row must have been unchanged before it is taken over.
func (t *Term) wait() time.Duration {
	if t.row.Released {
		return t.settings.Gap
	}
	return t.settings.Guard + t.settings.Gap
}

func (t *Term) begin(now time.Duration, action Action, row Tenancy) (Action, Tenancy, int64) {
	row.At = t.date(now)
	t.pending, t.asked, t.written = true, now, row
	return action, row, t.revision
}

// date returns a time on the table service's clock, in milliseconds, that is not before now; 0 when the last reading is
// too old to tell.
func (t *Term) date(now time.Duration) int64 {
	if now-t.read > clockLife {
		return 0
	}
	return (t.clock + now - t.read).Milliseconds() + 1
}

// Written takes the result of a write. One without a known result gives no right to act; the feed shows later
// whether it took effect.
func (t *Term) Written(row Tenancy, revision int64, committed bool) {
	t.pending = false
	if !committed || revision < t.revision {
		t.known = false // the row must be read before it is written again
		return
	}
	t.row, t.revision, t.changed = row, revision, t.asked
	if !row.Released {
		t.acting = t.asked + t.settings.Guard
	}
}

// Release returns the write that gives the lease up, and false when this process does not hold it.
func (t *Term) Release(now time.Duration) (Tenancy, int64, bool) {
	if !t.Acts(now) {
		return Tenancy{}, 0, false
	}
	t.acting, t.written = 0, Tenancy{}
	return Tenancy{Holder: t.self, Number: t.row.Number, Renewal: t.row.Renewal + 1, At: t.date(now), Released: true}, t.revision, true
}
