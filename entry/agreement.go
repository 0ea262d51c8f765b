package entry

import (
	"slices"
	"time"

	"magnoliahoist/peer"
)

// agreement is what other hosts say of a store that does not answer this one. When a majority of all hosts has no
// contact either, nothing can have been changed as far as can be known. In a large fleet a majority takes several rounds
// to ask, so that each answer keeps its date and the majority has that of its oldest one.
type agreement struct {
	dates map[string]time.Duration // by id of the host, start of the call that it answered
}

// add takes the answer of a host without contact that knows no newer configuration.
func (a *agreement) add(id string, asked time.Duration) {
	if a.dates == nil {
		a.dates = map[string]time.Duration{}
	}
	a.dates[id] = asked
}

// remove drops the answer of a host that has contact or knows a newer configuration.
func (a *agreement) remove(id string) { delete(a.dates, id) }

// date returns the time at which a majority of the hosts given and this one had no contact; false when no majority said
// so. This host has none now.
func (a *agreement) date(now time.Duration, others []peer.Target) (time.Duration, bool) {
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
	slices.SortFunc(dates, func(x, y time.Duration) int { return int(y - x) })
	return dates[majority-1], true
}
