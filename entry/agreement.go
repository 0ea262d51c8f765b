package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"magnoliahoist/peer"
)

// agreement is what other hosts say of a store that does not answer this one. In a large fleet a majority takes several
// rounds to ask, so that each answer keeps its date and the majority has that of its oldest one. It is safe for
// concurrent use.
type agreement struct {
	mu     sync.Mutex
	dates  map[string]time.Duration // of hosts without contact, by id: start of the call that they answered
	newest int64                    // revision of the newest configuration that a host without contact knows
}

// know takes the revision of the configuration that a host without contact knows.
func (a *agreement) know(revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.newest = max(a.newest, revision)
}

// known returns the revision of the newest configuration that any host without contact knew.
func (a *agreement) known() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest
}

// take takes how a host stands to the store. A host that doesn't answer says nothing new.
func (a *agreement) take(id string, s standing, asked time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case away:
		if a.dates == nil {
			a.dates = map[string]time.Duration{}
		}
		a.dates[id] = asked
	case served:
		delete(a.dates, id)
	case unknown:
	}
}

// date returns the time at which a majority of all hosts, those given and this one, had no contact; false when no
// majority said so. This host has none now. Answers of hosts that are not given are forgotten.
func (a *agreement) date(now time.Duration, others []peer.Target) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	present := make(map[string]time.Duration, len(others))
	dates := []time.Duration{now}
	for _, o := range others {
		if at, said := a.dates[o.ID]; said {
			present[o.ID] = at
			dates = append(dates, at)
		}
	}
	a.dates = present
	majority := (len(others)+1)/2 + 1
	if len(dates) < majority {
		return 0, false
	}
	slices.SortFunc(dates, func(x, y time.Duration) int { return cmp.Compare(y, x) })
	return dates[majority-1], true
}
