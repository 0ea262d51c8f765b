package dispatch

import (
	"time"

	"magnoliahoist/intake"
)

const (
	// farCost is added to the estimate of an endpoint in another failure domain: bytes between domains are paid for.
	farCost = 25 * time.Millisecond
	// fetchCost is added where an adapter must be fetched first.
	fetchCost = 60 * time.Millisecond
	// homeGain is taken from the estimate of the endpoint that comes first in the rendezvous order of a prompt's
	// session, so that hosts agree on an endpoint without exchanging cache contents.
	homeGain = 20 * time.Millisecond
	// crowdCost is added for each request that runs, in proportion to the slots: streams slow each other down.
	crowdCost = 60 * time.Millisecond
	// overfill bounds the requests at an endpoint against its slots. The engine queues what exceeds the slots,
	// by urgency, and refuses beyond twice that.
	overfill = 1.25
	// firstOverhead is the time to the first token besides that of reading: links, and the step that is under way.
	firstOverhead = 20 * time.Millisecond
	// goalShare is the part of its goal within which a request must be expected to be answered to count as in time.
	goalShare = 0.9
	// patienceShare is the part of its caller's patience within which a late request must be expected to be answered.
	patienceShare = 0.7
	// lateCost puts endpoints where a request would be late behind all others.
	lateCost = time.Minute
	// serviceTime is the assumed time of a call, used to weigh load against distance.
	serviceTime = 30 * time.Millisecond
)

// choice is an endpoint for an attempt.
type choice struct {
	node   *node
	wait   time.Duration // estimate of the first answer
	level  int           // of urgency
	unread int64         // prompt tokens that the endpoint has to read
	fetch  bool          // the adapter must be fetched first
}

// choose returns the best endpoint for a request. The reason says why there is none.
func (s *State) choose(now time.Duration, p *pool, r *request) (choice, Reason) {
	switch w := r.arrive.Request.Work.(type) {
	case intake.Generation:
		return s.chooseEngine(now, p, r, w)
	default:
		return s.chooseService(now, p, r)
	}
}

func (s *State) chooseService(now time.Duration, p *pool, r *request) (choice, Reason) {
	best, reason := choice{}, NoEndpoint
	for _, n := range p.ordered {
		if n.Leaving || r.tried(n.ID) {
			continue
		}
		if now < n.until && !s.allEjected(now, p, r) {
			continue
		}
		busy := n.running + n.othersRunning(now)
		if busy >= 2*max(n.Slots, 1) {
			reason = Overloaded
			continue
		}
		wait := serviceTime + serviceTime*time.Duration(busy)/time.Duration(max(n.Slots, 1)) + s.distance(n)
		if best.node == nil || wait < best.wait {
			best = choice{node: n, wait: wait}
		}
	}
	return best, reason
}

// allEjected reports whether every endpoint that a request may go to is ejected. Then ejected ones are used.
func (s *State) allEjected(now time.Duration, p *pool, r *request) bool {
	for _, n := range p.ordered {
		if n.usable(now) && !r.tried(n.ID) {
			return false
		}
	}
	return true
}

func (s *State) distance(n *node) time.Duration {
	if n.Domain == s.settings.Domain {
		return 0
	}
	return farCost
}

func (s *State) chooseEngine(now time.Duration, p *pool, r *request, g intake.Generation) (choice, Reason) {
	if r.pieces == nil {
		r.pieces = chain(g)
	}
	best, reason := choice{}, NoModel
	key := Adapter{g.Model, g.Adapter}
	home := s.home(now, p, r, g)
	lowest := time.Duration(0)
	for _, n := range p.ordered {
		if n.Leaving || r.tried(n.ID) || !n.holds(now, g.Model) {
			continue
		}
		if now < n.until {
			reason = Overloaded
			continue
		}
		if float64(n.running+n.othersRunning(now)) >= overfill*float64(max(n.Slots, 1)) {
			reason = Overloaded
			continue
		}
		if !n.hasAdapter(key) && (!p.orderable || !n.takesAdapters(now)) {
			continue
		}
		c, inTime := s.estimate(now, n, r, g, key)
		if !inTime {
			reason = Overloaded
			continue
		}
		score := c.wait + s.distance(n) + crowdCost*time.Duration(n.running+n.othersRunning(now))/time.Duration(max(n.Slots, 1))
		if n == home {
			score -= homeGain
		}
		if c.level == lateLevel {
			score += lateCost
		}
		if best.node == nil || score < lowest {
			best, lowest = c, score
		}
	}
	return best, reason
}

// estimate returns the time to the first token at an endpoint, and whether it comes before the caller leaves. A
// request that can't be answered within its goal is read after all others that can.
func (s *State) estimate(now time.Duration, n *node, r *request, g intake.Generation, key Adapter) (choice, bool) {
	c := choice{node: n, level: levelOf(r.route.Priority), unread: max(g.Prompt-n.cache.kept(r.pieces), 1)}
	if !n.hasAdapter(key) {
		c.fetch = true
	}
	c.wait = s.firstToken(now, n, c)
	left := r.arrived - now
	if r.route.Goal <= 0 || c.wait <= left+time.Duration(goalShare*float64(r.route.Goal)) {
		return c, true
	}
	c.level = lateLevel
	c.wait = s.firstToken(now, n, c)
	return c, c.wait <= left+lateShare(r)
}

// firstToken estimates the time until an endpoint has read a prompt at the level of a choice.
func (s *State) firstToken(now time.Duration, n *node, c choice) time.Duration {
	tokens := n.backlogBefore(now, c.level) + n.othersBefore(now, c.level) + float64(c.unread)
	wait := firstOverhead + time.Duration(tokens/readRate*n.slow*float64(time.Second))
	if c.fetch {
		wait += fetchCost
	}
	return wait
}

// lateShare returns how long after its arrival a late request may get its first token. Callers leave a stream after a
// silence of two seconds, four times the goal or eight times the longest pause, whichever is longest.
func lateShare(r *request) time.Duration {
	stays := max(2*time.Second, 4*r.route.Goal, 8*r.route.Pause)
	return time.Duration(patienceShare * float64(min(stays, r.deadline-r.arrived)))
}

// home returns the endpoint that the rendezvous hash of the request's adapter or session names.
func (s *State) home(now time.Duration, p *pool, r *request, g intake.Generation) *node {
	key := hashText(g.Model + "/" + g.Adapter)
	if g.Adapter == "" && len(r.pieces) > 1 {
		key = r.pieces[len(r.pieces)-2].key
	}
	var home *node
	highest := uint64(0)
	for _, n := range p.ordered {
		if n.Leaving || !n.holds(now, g.Model) {
			continue
		}
		if weight := mix(key ^ n.hash); home == nil || weight > highest {
			home, highest = n, weight
		}
	}
	return home
}
