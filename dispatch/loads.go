package dispatch

import (
	"maps"
	"slices"
	"time"
)

// loadLife is how long a host's load counts after it was told.
const loadLife = 2 * time.Second

// Loads is what all hosts have under way at the endpoints of a pool. It keeps the sum over the hosts, so that the
// answer to one of them is not computed from those of all others. It is not safe for concurrent use.
type Loads struct {
	hosts map[string]told
	sum   map[string]Load // by id of the endpoint
}

// told is what one host has told.
type told struct {
	at    time.Duration
	loads []Load
}

// NewLoads returns an empty sum.
func NewLoads() *Loads { return &Loads{hosts: map[string]told{}, sum: map[string]Load{}} }

// Take replaces what a host has told and returns the sum of the others, in ascending order of the endpoints.
func (l *Loads) Take(now time.Duration, host string, loads []Load) []Load {
	for id, t := range l.hosts {
		if id == host || now-t.at > loadLife {
			l.add(t.loads, -1)
			delete(l.hosts, id)
		}
	}
	others := make([]Load, 0, len(l.sum))
	for _, id := range slices.Sorted(maps.Keys(l.sum)) {
		others = append(others, l.sum[id])
	}
	l.add(loads, 1)
	l.hosts[host] = told{now, loads}
	return others
}

// add adds loads to the sum, or takes them out of it.
func (l *Loads) add(loads []Load, sign int) {
	for _, load := range loads {
		sum := l.sum[load.Endpoint]
		sum.Endpoint = load.Endpoint
		sum.Running += sign * load.Running
		for level, tokens := range load.Backlog {
			sum.Backlog[level] += int64(sign) * tokens
		}
		if sum.Running == 0 && sum.Backlog == (Backlog{}) {
			delete(l.sum, load.Endpoint)
			continue
		}
		l.sum[load.Endpoint] = sum
	}
}
