package endpoint

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	neighbours    = 4  // endpoints after a prefix's place on the ring that rendezvous hashing chooses from
	samples       = 2  // random endpoints of each ring
	maxCandidates = 10 // neighbours and the samples of three rings
)

// candidates is a bounded set of endpoints without repetitions.
type candidates struct {
	count    int
	points   [maxCandidates]point
	resident [maxCandidates]bool // holds the adapter and version
	nearest  int                 // the first ones are neighbours of the prefix
}

func (c *candidates) add(p point, resident bool) {
	for n := range c.count {
		if c.points[n].index == p.index {
			return
		}
	}
	if c.count < maxCandidates {
		c.points[c.count], c.resident[c.count] = p, resident
		c.count++
	}
}

// Pick chooses an endpoint for an attempt. It returns false when no endpoint
// holds the model or every candidate has as many calls as it takes.
func (v *View) Pick(now time.Duration, w Want) (int, bool) {
	g := v.groupOf(&w)
	if g == nil {
		return 0, false
	}
	if i, ok := v.probe(now, g, &w); ok {
		return i, true
	}
	var c candidates
	v.collect(&c, g, &w)
	return v.best(now, &c, &w)
}

// probe returns an ejected endpoint whose hold time is over. It looks at a
// few only, starting at random, so that the cost does not grow with the failures.
func (v *View) probe(now time.Duration, g *group, w *Want) (int, bool) {
	count := len(g.ejected)
	if count == 0 || len(g.live) == 0 {
		return 0, false
	}
	from := v.below(count)
	for n := range min(count, samples) {
		i := g.ejected[(from+n)%count].index
		e := &v.entries[i]
		if now >= e.until && !e.probing && !slices.Contains(w.Exclude, int(i)) && !v.full(now, e) {
			return int(i), true
		}
	}
	return 0, false
}

// collect gathers the candidates: neighbours of the prefix and samples of
// the holders of adapter and version, of the own failure domain, and of all holders.
func (v *View) collect(c *candidates, g *group, w *Want) {
	all := g.usable()
	first := v.preferred(w)
	if len(first) == 0 {
		first = all
	}
	whole := len(first) == len(all)
	if w.Prefix != 0 && len(first) > 0 {
		at := first.search(mix(w.Prefix), 0)
		for n := range min(neighbours, len(first)) {
			c.add(first[(at+n)%len(first)], true)
		}
		c.nearest = c.count
	}
	if len(all) <= maxCandidates {
		for _, p := range all {
			c.add(p, whole || first.contains(p))
		}
		return
	}
	v.draw(c, first, nil)
	if w.Model != "" && w.Domain != "" {
		if near := v.groups[key{pool: w.Pool, model: w.Model, domain: w.Domain}]; near != nil {
			v.draw(c, near.live, first)
		}
	}
	v.draw(c, all, first)
}

// draw adds samples of a ring; resident ones are those in the ring first, or all when it is nil.
func (v *View) draw(c *candidates, r, first ring) {
	for range min(samples, len(r)) {
		p := r[v.below(len(r))]
		c.add(p, first == nil || first.contains(p))
	}
}

// best returns the candidate with the lowest score among those that take another call.
func (v *View) best(now time.Duration, c *candidates, w *Want) (int, bool) {
	var loads [maxCandidates]float64
	sum, open := 0.0, 0
	for n := range c.count {
		i := c.points[n].index
		e := &v.entries[i]
		loads[n] = math.Inf(1)
		if v.full(now, e) || slices.Contains(w.Exclude, int(i)) {
			continue
		}
		loads[n] = v.load(now, e, w.Tokens)
		sum += loads[n]
		open++
	}
	if open == 0 {
		return 0, false
	}
	own := v.owner(c, &loads, sum/float64(open), w.Prefix)
	costs := v.costsFrom(w.Domain)
	chosen, lowest := -1, math.Inf(1)
	for n := range c.count {
		if math.IsInf(loads[n], 1) {
			continue
		}
		score := loads[n] + costs[v.entries[c.points[n].index].domain]
		if !c.resident[n] {
			score += v.settings.MissCost
		}
		if n == own {
			score -= v.settings.AffinityGain
		}
		if chosen < 0 || score < lowest {
			chosen, lowest = n, score
		}
	}
	return int(c.points[chosen].index), true
}

// owner returns the neighbour that comes first in the rendezvous order of
// the prefix among those whose load is within the bound, or -1.
func (v *View) owner(c *candidates, loads *[maxCandidates]float64, mean float64, prefix uint64) int {
	own, highest := -1, uint64(0)
	for n := range c.nearest {
		if loads[n] > v.settings.AffinityBound*mean+v.settings.AffinitySlack {
			continue
		}
		if weight := mix(prefix ^ c.points[n].hash); own < 0 || weight > highest {
			own, highest = n, weight
		}
	}
	return own
}

// load returns the part of the endpoint's slots that is in use after the attempt.
func (v *View) load(now time.Duration, e *entry, tokens int64) float64 {
	calls := float64(e.calls) + e.othersAt(now, v.settings.ReportLife) + 1
	work := float64(e.tokens+tokens) / float64(v.settings.SlotTokens)
	return (calls + v.settings.TokenWeight*work) / float64(e.Slots)
}

// full reports whether the endpoint takes no further call.
func (v *View) full(now time.Duration, e *entry) bool {
	limit := float64(e.Slots) * v.settings.Overcommit
	return float64(e.calls)+e.othersAt(now, v.settings.ReportLife)+1 > limit
}

// below returns a number from 0 to n-1 of the deterministic generator.
func (v *View) below(n int) int {
	v.random += 0x9e3779b97f4a7c15
	high, _ := bits.Mul64(mix(v.random), uint64(n))
	return int(high)
}
