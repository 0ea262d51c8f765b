// Package replica keeps a host's copy of the fleet's rows, determines whether the copy is fresh, and determines which
// changes are accepted, that is, will be known to every fresh host within the freshness window.
package replica

import (
	"slices"
	"time"

	"magnoliahoist/table"
)

// never is the time of an exchange that hasn't taken place.
const never = time.Duration(-1 << 62)

// Replica is one host's copy of the rows. It is not safe for concurrent use.
type Replica struct {
	id, group          string
	freshnessWindow    time.Duration
	view               *View
	completeAsOf       time.Duration            // local time; every change accepted before it is in the view
	exchangeStarts     map[string]time.Duration // by member id: local time at which the last exchange began
	appliedRevisions   map[string]int64         // by member id: highest revision known to be applied
	tableContactAt     time.Duration            // local time of the last known contact of any host with the table service
	removalLearnedAt   map[string]time.Duration // by member id: local time at which this host learned that others removed the member
	lastExchangeAt     time.Duration            // local time at which the last exchange ended
	settledRevision    int64                    // the view of every fresh host has at least this revision
	settlingRevision   int64                    // accepted; becomes the settled revision WaitAfterAcceptance(freshnessWindow) after settlingAcceptedAt
	settlingAcceptedAt time.Duration
}

// New returns an empty replica of the host with the id in the group. The replica is fresh for the freshness window after
// the start of an exchange with the table service or with a majority of the group.
func New(id, group string, freshnessWindow time.Duration) *Replica {
	return &Replica{
		id: id, group: group, freshnessWindow: freshnessWindow, view: NewView(), completeAsOf: never, tableContactAt: never,
		exchangeStarts: map[string]time.Duration{}, appliedRevisions: map[string]int64{},
		removalLearnedAt: map[string]time.Duration{},
	}
}

// WaitAfterAcceptance returns how long after the acceptance of a change every fresh host has the change. It is the freshness window
// plus 1 % for clock drift.
func WaitAfterAcceptance(freshnessWindow time.Duration) time.Duration {
	return freshnessWindow + freshnessWindow/100
}

// View returns the current view of the rows.
func (r *Replica) View() *View { return r.view }

// ApplySnapshot applies a snapshot of the rows written after the revision after. The snapshot comes from an exchange that began at
// started and ended at now. The method returns false and changes nothing when the snapshot doesn't reach back to the view's
// revision, so that rows in between could be missing.
func (r *Replica) ApplySnapshot(now, started time.Duration, source Source, after int64, s table.Snapshot) bool {
	if after > r.view.Revision() {
		return false
	}
	if s.Revision > r.view.Revision() {
		r.view = r.view.WithRows(s.Rows, s.Revision)
		r.forgetFormerMembers()
		r.recordRemovals(now)
	}
	r.lastExchangeAt = max(r.lastExchangeAt, now)
	switch from := source.(type) {
	case FromTable:
		r.completeAsOf = max(r.completeAsOf, started)
		r.tableContactAt = max(r.tableContactAt, started)
	case FromMember:
		r.exchangeStarts[from.ID] = max(started, r.exchangeStart(from.ID))
		r.RecordApplied(from.ID, s.Revision)
		if from.TableContactAge >= 0 {
			r.tableContactAt = max(r.tableContactAt, started-from.TableContactAge)
		}
	}
	r.completeAsOf = max(r.completeAsOf, r.majorityStart(now))
	r.advanceSettled(now)
	return true
}

// exchangeStart returns when the last exchange with the member began, or never.
func (r *Replica) exchangeStart(member string) time.Duration {
	if start, found := r.exchangeStarts[member]; found {
		return start
	}
	return never
}

// majorityStart returns the latest time since which exchanges have begun with a majority of the group, or never. If the
// host itself is a member, it counts as a member with which an exchange begins now.
func (r *Replica) majorityStart(now time.Duration) time.Duration {
	members := r.view.groups[r.group]
	starts := make([]time.Duration, 0, len(members))
	for _, m := range members {
		if m.ID == r.id {
			starts = append(starts, now)
			continue
		}
		starts = append(starts, r.exchangeStart(m.ID))
	}
	needed := majority(len(members))
	if len(starts) < needed {
		return never
	}
	slices.Sort(starts)
	return starts[len(starts)-needed]
}

// forgetFormerMembers deletes the exchange starts and applied revisions of former members.
func (r *Replica) forgetFormerMembers() {
	for id := range r.exchangeStarts {
		if r.isFormerMember(id) {
			delete(r.exchangeStarts, id)
		}
	}
	for id := range r.appliedRevisions {
		if r.isFormerMember(id) {
			delete(r.appliedRevisions, id)
		}
	}
}

// isFormerMember reports whether the row of the member is a tombstone or fails to decode.
func (r *Replica) isFormerMember(id string) bool {
	_, live := r.view.MemberByID(id)
	return !live && r.view.RevisionOf(KeyForMember(id)) != 0
}

// FreshUntil returns the local time at which the host stops being fresh unless another exchange succeeds.
func (r *Replica) FreshUntil() time.Duration { return r.completeAsOf + r.freshnessWindow }

// Fresh reports whether the view contains every change that was accepted longer ago than the freshness window.
func (r *Replica) Fresh(now time.Duration) bool { return now < r.FreshUntil() }

// TableContactAge returns the age of the last known contact of any host with the table service; negative: never.
func (r *Replica) TableContactAge(now time.Duration) time.Duration {
	if r.tableContactAt == never {
		return -1
	}
	return max(now-r.tableContactAt, 0)
}
