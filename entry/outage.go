package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"magnoliahoist/peer"
)

// outageReports collects the reports of other hosts that they have no contact with the store either. In a large fleet
// it takes several rounds to ask a majority, so each report keeps its time, and the majority counts from the oldest
// report that it needs. It is safe for concurrent use.
type outageReports struct {
	mu          sync.Mutex
	noContactAt map[string]time.Duration // by host id: start of the call in which the host reported no contact
	revision    int64                    // newest configuration revision known to a host without contact
}

// addRevision records the configuration revision known to a host without contact.
func (r *outageReports) addRevision(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = max(r.revision, revision)
}

// newestRevision returns the newest configuration revision known to any host that reported no contact.
func (r *outageReports) newestRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// record stores whether a host has contact with the store. A host that did not respond keeps its last report.
func (r *outageReports) record(id string, contact storeContact, startedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch contact {
	case noContact:
		if r.noContactAt == nil {
			r.noContactAt = map[string]time.Duration{}
		}
		r.noContactAt[id] = startedAt
	case hasContact:
		delete(r.noContactAt, id)
	case contactUnknown:
	}
}

// majorityTime returns the latest time such that a majority of all hosts, the given ones and this one, reported no
// contact at or after it; false without a majority. This host counts as without contact now. Reports of hosts that are
// not given are dropped.
func (r *outageReports) majorityTime(now time.Duration, others []peer.Target) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := make(map[string]time.Duration, len(others))
	times := []time.Duration{now}
	for _, o := range others {
		if at, reported := r.noContactAt[o.ID]; reported {
			current[o.ID] = at
			times = append(times, at)
		}
	}
	r.noContactAt = current
	majority := (len(others)+1)/2 + 1
	if len(times) < majority {
		return 0, false
	}
	slices.SortFunc(times, func(x, y time.Duration) int { return cmp.Compare(y, x) })
	return times[majority-1], true
}
