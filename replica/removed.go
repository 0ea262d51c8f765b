package replica

import (
	"encoding/json"
	"time"

	"magnoliahoist/table"
)

// RemovedGrace is how long a member that others removed is assumed to run still. It was missing from the platform's host
// list when it was removed, so that after this time it has neither new callers nor old ones.
const RemovedGrace = time.Minute

// removedMember is a member that other hosts removed.
type removedMember struct {
	id              string
	group           string
	joinRevision    int64
	removalRevision int64
}

// removedMembers returns the removed members among the member rows, by the tombstones that name them.
func removedMembers(rows map[string]table.Row) []removedMember {
	var list []removedMember
	for id, row := range rows {
		var value tombstone
		if json.Unmarshal(row.Value, &value) == nil && value.RemovedMember != nil {
			list = append(list, removedMember{id, value.RemovedMember.Group, value.RemovedMember.Joined, row.Revision})
		}
	}
	return list
}

// recordRemovals records now as the time at which this host learned of the removals that are new in the view.
func (r *Replica) recordRemovals(now time.Duration) {
	for _, m := range r.view.removedMembers {
		if _, known := r.removalLearnedAt[m.id]; !known {
			r.removalLearnedAt[m.id] = now
		}
	}
}

// possiblyRunning returns the removed members of a group that may still run and keep hosts with an older view fresh. Their
// removal is not settled, and this host learned of it less than RemovedGrace ago.
func (r *Replica) possiblyRunning(group string) []removedMember {
	var possiblyRunning []removedMember
	for _, m := range r.view.removedMembers {
		if m.group == group && m.removalRevision > r.settledRevision && r.lastExchangeAt-r.removalLearnedAt[m.id] < RemovedGrace {
			possiblyRunning = append(possiblyRunning, m)
		}
	}
	return possiblyRunning
}
