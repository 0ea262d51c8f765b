package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"magnoliahoist/peer"
)

// This file decides when the store is called directly, which other hosts are asked, and in which order. It has no clock,
// no I/O and no locks; storeAccess carries the decisions out.

const (
	// probeInterval is the time between two calls to a store that does not respond. The platform charges for every call,
	// refused ones included.
	probeInterval = 700 * time.Millisecond
	// minRelayHosts is the minimum number of hosts asked in one round; relayFraction is the fraction of the other hosts
	// asked in a large fleet. With 1/16 a majority is asked within eight rounds, which are at most 0.8 s apart, before
	// its oldest response is older than maxSilence.
	minRelayHosts = 7
	relayFraction = 1.0 / 16
	// silentFraction is the part of a round that is kept for silent hosts, so that one that responds again is noticed.
	silentFraction = 0.25
	// relayPatience is how long a host may stay silent before the next one is asked as well. It equals the time after
	// which a relayed call is given up, so that a round sends no more calls a second than one that asks in sequence.
	relayPatience = 500 * time.Millisecond
	// relayHeadStart is how long a direct call that has just begun may take before other hosts are asked. The store
	// normally responds in 4 ms; without the head start, every call after an outage would be made through a host too.
	relayHeadStart = 100 * time.Millisecond
	// regainGrace is how long after a response of the store to a direct call of this host the other direct calls in
	// progress count as such. The response may be that to one of them, which is just being passed on.
	regainGrace = 20 * time.Millisecond
	// maxReadProbes bounds the direct calls of one read; probeInterval normally allows three within readLimit.
	maxReadProbes = 5
	// minOutage is how long the store must have been unreachable for calls that wait there since before the outage to be
	// made again once it responds. A shorter loss is a mere connection reset, which fails such calls at once.
	minOutage = 500 * time.Millisecond
)

// storeContact says whether another host has contact with the store.
type storeContact int

// Results of asking another host.
const (
	contactUnknown storeContact = iota // the host did not respond
	hasContact                         // the store responds to the host
	noContact                          // the store does not respond to the host either
)

// contactState says whether the store responds to direct calls of this host.
type contactState struct {
	unreachable bool          // the last direct call failed
	lastProbe   time.Duration // time of the last direct call while unreachable
	lostAt      time.Duration // start of the call whose failure made the store unreachable
	lastSuccess time.Duration // time of the last successful direct call
}

// mayCall reports whether the store may be called directly now: always after a successful call, and once per
// probeInterval after a failed one.
func (c *contactState) mayCall(now time.Duration) bool {
	return !c.unreachable || now >= c.nextProbe()
}

// nextProbe returns when an unreachable store may be called next.
func (c *contactState) nextProbe() time.Duration { return c.lastProbe + probeInterval }

// succeed records a successful call, and returns how long the store had been unreachable; 0 if it was not.
func (c *contactState) succeed(now time.Duration) time.Duration {
	regained := c.unreachable
	c.unreachable, c.lastSuccess = false, now
	if !regained {
		return 0
	}
	return max(now-c.lostAt, 1)
}

// fail records a failed call. One that began before the last success says nothing about the time since. The first call
// after a loss may follow after retryPause, because only the connection may have been reset.
func (c *contactState) fail(startedAt, now time.Duration) {
	if c.unreachable || startedAt < c.lastSuccess {
		return
	}
	c.unreachable, c.lostAt = true, startedAt
	c.lastProbe = now - probeInterval + retryPause
}

// relayHost is a host to be asked in a round.
type relayHost struct {
	peer.Target
	hasContact bool // the store responded to the host when it was last asked
}

// relayRecord is what is known of another host's contact with the store.
type relayRecord struct {
	contact storeContact // of the last call that ended
	silent  bool         // the host did not respond to that call
	askedAt time.Duration
}

// relayRecords are the records of other hosts, by host id.
type relayRecords map[string]relayRecord

// ask records that a host is asked.
func (r relayRecords) ask(id string, now time.Duration) {
	record := r[id]
	record.askedAt = now
	r[id] = record
}

// answer records the result of asking a host.
func (r relayRecords) answer(id string, contact storeContact) {
	record := r[id]
	record.contact, record.silent = contact, contact == contactUnknown
	r[id] = record
}

// round returns the hosts to ask, in order: first the one that had contact with the store last, then those that were
// asked longest ago, at the end the silent ones. It drops the records of hosts that are not given.
func (r relayRecords) round(others []peer.Target) []relayHost {
	ids := make(map[string]bool, len(others))
	for _, o := range others {
		ids[o.ID] = true
	}
	for id := range r {
		if !ids[id] {
			delete(r, id)
		}
	}
	var responding, silent []peer.Target
	for _, o := range others {
		if r[o.ID].silent {
			silent = append(silent, o)
		} else {
			responding = append(responding, o)
		}
	}
	longestAgo := func(a, b peer.Target) int { return cmp.Compare(r[a.ID].askedAt, r[b.ID].askedAt) }
	slices.SortStableFunc(silent, longestAgo)
	slices.SortStableFunc(responding, func(a, b peer.Target) int {
		return cmp.Or(cmp.Compare(r.rank(b.ID), r.rank(a.ID)), longestAgo(a, b))
	})
	count := min(len(others), max(minRelayHosts, int(relayFraction*float64(len(others)))))
	kept := min(len(silent), max(1, int(silentFraction*float64(count))))
	responding = responding[:min(len(responding), max(count-kept, 1))]
	silent = silent[:min(len(silent), count-len(responding))]
	hosts := make([]relayHost, 0, count)
	for _, target := range append(responding, silent...) {
		hosts = append(hosts, relayHost{target, r[target.ID].contact == hasContact})
	}
	return hosts
}

// rank orders hosts by their last known contact with the store: the latest contact first, all others alike.
func (r relayRecords) rank(id string) time.Duration {
	if record := r[id]; record.contact == hasContact {
		return max(record.askedAt, 1)
	}
	return 0
}

// readPlan decides the calls of one read of a table while the store does not respond directly: direct calls as often as
// contactState allows, and at the same time calls through other hosts. The first response of the store ends the read.
type readPlan struct {
	hosts    []relayHost
	wait     time.Duration // how long a call through a host with contact may wait at the store
	asked    int           // hosts asked
	relaying int           // relayed calls in progress
	nextAsk  time.Duration // when the next host is asked although the last one has not answered
	probes   int           // direct calls
	probing  int           // direct calls in progress
	probedAt time.Duration // start of the last direct call
}

// readStep says what to do next. If nothing is to be done, the plan is to be asked again at the time of wake or when a
// call has ended; wake is 0 if only the latter is awaited.
type readStep struct {
	probe bool // call the store directly
	ask   bool // ask the next host
	done  bool // no call is left
	wake  time.Duration
}

// next returns the next step. It changes nothing: the calls of probeStarted and askStarted do.
func (p *readPlan) next(now time.Duration, contact contactState) readStep {
	var wake time.Duration
	if p.probes < maxReadProbes {
		at := p.nextProbe(contact)
		if at <= now {
			return readStep{probe: true}
		}
		if at < never {
			wake = at
		}
	}
	if p.asked < len(p.hosts) {
		at := p.nextAsk
		if p.relaying == 0 {
			at = 0
		}
		if p.probing > 0 {
			at = max(at, p.probedAt+relayHeadStart)
		}
		if now >= at {
			return readStep{ask: true}
		}
		if wake == 0 || at < wake {
			wake = at
		}
	}
	if p.probing == 0 && p.relaying == 0 && p.asked == len(p.hosts) {
		return readStep{done: true}
	}
	return readStep{wake: wake}
}

// nextProbe returns when the store is to be called directly. Once it has responded to another call of this host, a
// direct call that began before does not count: it may hang on a connection that broke with the store.
func (p *readPlan) nextProbe(contact contactState) time.Duration {
	switch {
	case contact.unreachable:
		return contact.nextProbe()
	case p.probing == 0:
		return 0
	case p.probedAt < contact.lastSuccess:
		return contact.lastSuccess + regainGrace
	}
	return never
}

// never is later than any time.
const never = time.Duration(math.MaxInt64)

func (p *readPlan) probeStarted(now time.Duration) {
	p.probes++
	p.probing++
	p.probedAt = now
}

func (p *readPlan) probeEnded() { p.probing-- }

// askStarted returns the host to ask and how long the call may wait at the store. Only a host that is known to have
// contact waits, so that the others answer at once.
func (p *readPlan) askStarted(now time.Duration) (relayHost, time.Duration) {
	host := p.hosts[p.asked]
	wait := time.Duration(0)
	if host.hasContact {
		wait = p.wait
	}
	p.asked++
	p.relaying++
	p.nextAsk = now + relayPatience + wait
	return host, wait
}

func (p *readPlan) askEnded() { p.relaying-- }
