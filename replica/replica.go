// Package replica holds a host's copy of the fleet rows, its freshness, and the acceptance of changes.
package replica

import (
	"slices"
	"time"

	"magnoliahoist/table"
)

// never is the start of an exchange that did not take place.
const never = time.Duration(-1 << 62)

// Replica is one host's copy of the rows. It is not safe for concurrent use.
type Replica struct {
	id, group  string
	window     time.Duration
	view       *View
	freshFrom  time.Duration            // every change accepted before it is in the view
	starts     map[string]time.Duration // start of the last exchange with each member
	acked      map[string]int64         // revision that each member has applied
	tableAt    time.Duration            // last known contact of any host with the table service
	removedAt  map[string]time.Duration // when this host learned that a member was removed by others
	learnedAt  time.Duration            // of the last exchange
	settled    int64                    // no fresh host has a lower revision
	settling   int64                    // accepted, becomes settled a window after settlingAt
	settlingAt time.Duration
}

// New returns an empty replica of the host with the id, which is fresh for window after an exchange.
func New(id, group string, window time.Duration) *Replica {
	return &Replica{
		id: id, group: group, window: window, view: NewView(), freshFrom: never, tableAt: never,
		starts: map[string]time.Duration{}, acked: map[string]int64{},
		removedAt: map[string]time.Duration{},
	}
}

// Wait returns how long after acceptance no fresh host lacks a change; it allows for 1 % of clock drift.
func Wait(window time.Duration) time.Duration { return window + window/100 }

// View returns the current view.
func (r *Replica) View() *View { return r.view }

// Learn applies a snapshot of the rows written after the revision `after`, from an exchange that began
// at started. It returns false and changes nothing when rows may be missing between the view and the snapshot.
func (r *Replica) Learn(now, started time.Duration, source Source, after int64, s table.Snapshot) bool {
	if after > r.view.Revision() {
		return false
	}
	if s.Revision > r.view.Revision() {
		r.view = r.view.With(s.Rows, s.Revision)
		r.forgetGone()
		r.noteRemoved(now)
	}
	r.learnedAt = max(r.learnedAt, now)
	switch from := source.(type) {
	case FromTable:
		r.freshFrom = max(r.freshFrom, started)
		r.tableAt = max(r.tableAt, started)
	case FromMember:
		r.starts[from.ID] = max(started, r.startOf(from.ID))
		r.Acked(from.ID, s.Revision)
		if from.TableAge >= 0 {
			r.tableAt = max(r.tableAt, started-from.TableAge)
		}
	}
	r.freshFrom = max(r.freshFrom, r.majorityStart(now))
	r.settle(now)
	return true
}

func (r *Replica) startOf(member string) time.Duration {
	if start, found := r.starts[member]; found {
		return start
	}
	return never
}

// majorityStart returns the earliest start among the latest exchanges that make up a majority of the
// group. The host counts itself when it is a member, as of now.
func (r *Replica) majorityStart(now time.Duration) time.Duration {
	members := r.view.groups[r.group]
	starts := make([]time.Duration, 0, len(members))
	for _, m := range members {
		if m.ID == r.id {
			starts = append(starts, now)
			continue
		}
		starts = append(starts, r.startOf(m.ID))
	}
	need := majority(len(members))
	if len(starts) < need {
		return never
	}
	slices.Sort(starts)
	return starts[len(starts)-need]
}

// forgetGone drops what is held of members whose row is a tombstone.
func (r *Replica) forgetGone() {
	for id := range r.starts {
		if r.isGoneMember(id) {
			delete(r.starts, id)
		}
	}
	for id := range r.acked {
		if r.isGoneMember(id) {
			delete(r.acked, id)
		}
	}
}

func (r *Replica) isGoneMember(id string) bool {
	_, live := r.view.MemberByID(id)
	return !live && r.view.RevisionOf(KeyForMember(id)) != 0
}

// FreshUntil returns when the host stops being fresh unless another exchange succeeds.
func (r *Replica) FreshUntil() time.Duration { return r.freshFrom + r.window }

// Fresh reports whether the view holds every change that was accepted longer than the window ago.
func (r *Replica) Fresh(now time.Duration) bool { return now < r.FreshUntil() }

// TableAge returns the age of the last known contact of any host with the table service; negative: never.
func (r *Replica) TableAge(now time.Duration) time.Duration {
	if r.tableAt == never {
		return -1
	}
	return max(now-r.tableAt, 0)
}
