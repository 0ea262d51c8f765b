package endpoint

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	prefixNeighbours = 4  // endpoints next to a prefix's place on the ring; rendezvous hashing prefers one of them
	samplesPerRing   = 2  // endpoints drawn at random from a ring
	maxCandidates    = 10 // the prefix's neighbours and the samples of three rings
)

// candidates is a set of at most maxCandidates endpoints.
type candidates struct {
	count          int
	points         [maxCandidates]point
	preferred      [maxCandidates]bool // whether the endpoint is among the preferred holders
	neighbourCount int                 // how many of the first points are neighbours of the prefix
}

func (c *candidates) add(p point, preferred bool) {
	for n := range c.count {
		if c.points[n].index == p.index {
			return
		}
	}
	if c.count < maxCandidates {
		c.points[c.count], c.preferred[c.count] = p, preferred
		c.count++
	}
}

// Pick chooses an endpoint for an attempt and returns its index. It returns false when no endpoint
// holds the model, or when every candidate is excluded or at capacity.
func (v *View) Pick(now time.Duration, w Requirements) (int, bool) {
	g := v.holdersOf(&w)
	if g == nil {
		return 0, false
	}
	if i, ok := v.probe(now, g, &w); ok {
		return i, true
	}
	var c candidates
	v.collectCandidates(&c, g, &w)
	return v.pickLowestScore(now, &c, &w)
}

// probe returns an ejected endpoint whose ejection time is over and that has no probe in flight. It looks at only a
// few, starting at random, so that the cost does not grow with the number of ejected endpoints.
func (v *View) probe(now time.Duration, g *group, w *Requirements) (int, bool) {
	count := len(g.ejected)
	if count == 0 || len(g.healthy) == 0 {
		return 0, false
	}
	from := v.randomBelow(count)
	for n := range min(count, samplesPerRing) {
		i := g.ejected[(from+n)%count].index
		e := &v.entries[i]
		if now >= e.ejectedUntil && !e.probing && !slices.Contains(w.Exclude, int(i)) && !v.atCapacity(now, e) {
			return int(i), true
		}
	}
	return 0, false
}

// collectCandidates gathers the candidates: the neighbours of the prefix, and samples of the preferred holders,
// of the holders in the host's failure domain, and of all usable holders. Up to maxCandidates usable holders are all candidates.
func (v *View) collectCandidates(c *candidates, g *group, w *Requirements) {
	usable := g.usable()
	preferred := v.preferredHolders(w)
	if len(preferred) == 0 {
		preferred = usable
	}
	allPreferred := len(preferred) == len(usable)
	if w.Prefix != 0 && len(preferred) > 0 {
		at := preferred.search(mix64(w.Prefix), 0)
		for n := range min(prefixNeighbours, len(preferred)) {
			c.add(preferred[(at+n)%len(preferred)], true)
		}
		c.neighbourCount = c.count
	}
	if len(usable) <= maxCandidates {
		for _, p := range usable {
			c.add(p, allPreferred || preferred.contains(p))
		}
		return
	}
	v.addSamples(c, preferred, nil)
	if w.Model != "" && w.Domain != "" {
		if sameDomain := v.groups[groupKey{pool: w.Pool, model: w.Model, domain: w.Domain}]; sameDomain != nil {
			v.addSamples(c, sameDomain.healthy, preferred)
		}
	}
	v.addSamples(c, usable, preferred)
}

// addSamples adds random endpoints of a ring, marked as preferred if they are in the ring preferred or if that is nil.
func (v *View) addSamples(c *candidates, r, preferred ring) {
	for range min(samplesPerRing, len(r)) {
		p := r[v.randomBelow(len(r))]
		c.add(p, preferred == nil || preferred.contains(p))
	}
}

// pickLowestScore returns the index of the endpoint with the lowest score among the candidates that are neither excluded nor at capacity.
func (v *View) pickLowestScore(now time.Duration, c *candidates, w *Requirements) (int, bool) {
	var utilizations [maxCandidates]float64
	sum, eligible := 0.0, 0
	for n := range c.count {
		i := c.points[n].index
		e := &v.entries[i]
		utilizations[n] = math.Inf(1)
		if v.atCapacity(now, e) || slices.Contains(w.Exclude, int(i)) {
			continue
		}
		utilizations[n] = v.utilization(now, e, w.Tokens)
		sum += utilizations[n]
		eligible++
	}
	if eligible == 0 {
		return 0, false
	}
	affinityIndex := v.affinityChoice(c, &utilizations, sum/float64(eligible), w.Prefix)
	costs := v.domainCostsFrom(w.Domain)
	chosen, lowest := -1, math.Inf(1)
	for n := range c.count {
		if math.IsInf(utilizations[n], 1) {
			continue
		}
		score := utilizations[n] + costs[v.entries[c.points[n].index].domainIndex]
		if !c.preferred[n] {
			score += v.settings.MissCost
		}
		if n == affinityIndex {
			score -= v.settings.AffinityBonus
		}
		if chosen < 0 || score < lowest {
			chosen, lowest = n, score
		}
	}
	return int(c.points[chosen].index), true
}

// affinityChoice returns the position of the candidate that is first in the rendezvous order of the prefix
// among the neighbours whose utilization is within the bound; -1 for none.
func (v *View) affinityChoice(c *candidates, utilizations *[maxCandidates]float64, meanUtilization float64, prefix uint64) int {
	chosen, highest := -1, uint64(0)
	for n := range c.neighbourCount {
		if utilizations[n] > v.settings.AffinityMaxRatio*meanUtilization+v.settings.AffinitySlack {
			continue
		}
		if weight := mix64(prefix ^ c.points[n].hash); chosen < 0 || weight > highest {
			chosen, highest = n, weight
		}
	}
	return chosen
}

// utilization returns the load of the endpoint, as a fraction of its slots, if it gets another attempt with the tokens.
func (v *View) utilization(now time.Duration, e *entry, tokens int64) float64 {
	calls := float64(e.ownCalls) + e.otherCallsAt(now, v.settings.ReportMaxAge) + 1
	work := float64(e.ownTokens+tokens) / float64(v.settings.TokensPerSlot)
	return (calls + v.settings.TokenWeight*work) / float64(e.Slots)
}

// atCapacity reports whether another call would exceed the endpoint's slots times the overcommit factor.
func (v *View) atCapacity(now time.Duration, e *entry) bool {
	maxCalls := float64(e.Slots) * v.settings.Overcommit
	return float64(e.ownCalls)+e.otherCallsAt(now, v.settings.ReportMaxAge)+1 > maxCalls
}

// randomBelow returns a pseudo-random number from 0 to n-1; the sequence depends only on the seed (splitmix64).
func (v *View) randomBelow(n int) int {
	v.randomState += 0x9e3779b97f4a7c15
	high, _ := bits.Mul64(mix64(v.randomState), uint64(n))
	return int(high)
}
