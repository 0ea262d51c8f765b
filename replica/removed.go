package replica

import (
	"encoding/json"
	"time"

	"magnoliahoist/table"
)

// RemovedGrace is how long a member that others removed counts as one that may still run. The platform's
// list no longer had it when it was removed, so by then it has neither new callers nor old ones.
const RemovedGrace = time.Minute

// removed is a member that others removed.
type removed struct {
	id     string
	group  string
	joined int64 // revision
	gone   int64 // revision
}

func removedOf(rows map[string]table.Row) []removed {
	var list []removed
	for id, row := range rows {
		var mark tombstone
		if json.Unmarshal(row.Value, &mark) == nil && mark.Removed != nil {
			list = append(list, removed{id, mark.Removed.Group, mark.Removed.Joined, row.Revision})
		}
	}
	return list
}

// noteRemoved remembers when this host learned of removals.
func (r *Replica) noteRemoved(now time.Duration) {
	for _, m := range r.view.removed {
		if _, known := r.removedAt[m.id]; !known {
			r.removedAt[m.id] = now
		}
	}
}

// mayRun returns the removed members of a group that may still make older members fresh: those whose
// removal is not settled and was learned less than the grace ago.
func (r *Replica) mayRun(group string) []removed {
	var list []removed
	for _, m := range r.view.removed {
		if m.group == group && m.gone > r.settled && r.learnedAt-r.removedAt[m.id] < RemovedGrace {
			list = append(list, m)
		}
	}
	return list
}
