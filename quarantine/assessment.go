package quarantine

import (
	"slices"
	"time"
)

// level is how strong the evidence against a part is.
type level int

const (
	levelNone level = iota
	levelSuspected
	levelBlocked
	levelBlockEnded // the block is over, or other parts may account for the crashes: the part is tried with care
)

// assessment is the evidence against a part.
type assessment struct {
	level   level
	crashes int // that count
	trials  int
	first   time.Duration // first crash that counts
	last    time.Duration // last crash that counts
	until   time.Duration // end of the block
}

// assess weighs the evidence against a part, apart from that against others.
func (l *Ledger) assess(now time.Duration, part Part) assessment {
	var found assessment
	for _, c := range l.byPart[part] {
		s := c.suspects[part.ID]
		if s.Familiar {
			continue
		}
		found.crashes++
		if s.Trial {
			found.trials++
		}
		if found.crashes == 1 || c.at < found.first {
			found.first = c.at
		}
		found.last = max(found.last, c.at)
	}
	suspectedUntil := found.last + evidenceTime
	switch {
	case found.crashes == 0:
	case found.crashes >= crashesToBlock && found.trials > 0, found.crashes >= untriedCrashesToBlock && 2*found.crashes >= l.crashesBetween(part.Pool, found.first, found.last):
		found.until = found.last + blockTime(found.crashes)
		found.level = levelBlocked
		if now >= found.until {
			found.level = levelBlockEnded
		}
		suspectedUntil = found.until + evidenceTime
	default:
		found.level = levelSuspected
	}
	if now > suspectedUntil {
		found.level = levelNone
	}
	return found
}

// blockTime returns for how long after its last crash a part is blocked.
func blockTime(crashes int) time.Duration {
	switch {
	case crashes <= crashesToBlock:
		return firstBlock
	case crashes < manyCrashes:
		return secondBlock
	default:
		return min(longBlock<<min(crashes-manyCrashes, 10), maxBlock)
	}
}

// crashesBetween returns the number of a pool's crashes from one time to another.
func (l *Ledger) crashesBetween(pool string, from, to time.Duration) int {
	count := 0
	for _, c := range l.crashes {
		if c.pool == pool && c.at >= from && c.at <= to && !c.refuted {
			count++
		}
	}
	return count
}

// assessFor weighs the evidence against a part of a request. Parts that occur together cannot be told apart until one of them
// occurs alone. If parts that the request does not have may account for half of the part's crashes, the others may be a
// coincidence: the part may be tried, by one host after the other. If a blocked one of them accounts for all and is on more, the
// part is sound. If most crashes have another suspect that is not in the request, the block ends as retryAt says.
func (l *Ledger) assessFor(now time.Duration, part Part, requestParts []uint64) assessment {
	found := l.assess(now, part)
	if found.level == levelNone {
		return found
	}
	rivals := l.rivals(now, part, requestParts)
	for _, rival := range rivals {
		if l.blocked[rival] && l.unaccountedCrashes(part, []Part{rival}) == 0 && l.assess(now, rival).crashes > found.crashes {
			return assessment{}
		}
	}
	if found.level != levelBlocked {
		return found
	}
	switch {
	case 2*l.unaccountedCrashes(part, rivals) <= found.crashes:
		found.until = found.last
	case 2*l.ambiguousCrashes(part, requestParts) > found.crashes:
		found.until = min(found.until, l.retryAt(part))
	}
	if now >= found.until {
		found.level = levelBlockEnded
	}
	return found
}

// ambiguousCrashes returns the number of a part's crashes that may be due to a part that a request does not have.
func (l *Ledger) ambiguousCrashes(part Part, requestParts []uint64) int {
	count := 0
	for _, c := range l.byPart[part] {
		if c.countsAgainst(part) && c.hasOtherSuspect(requestParts) {
			count++
		}
	}
	return count
}

// retryAt returns the end of a part's block if only a crash after the end of a block makes the next block longer. Other crashes may
// be a coincidence.
func (l *Ledger) retryAt(part Part) time.Duration {
	crashes, block, until := 0, longBlock, time.Duration(0)
	for _, c := range l.byPart[part] {
		if !c.countsAgainst(part) {
			continue
		}
		crashes++
		switch {
		case crashes <= manyCrashes:
			until = c.at + blockTime(crashes)
		case c.at >= until:
			block = min(2*block, maxBlock)
			until = c.at + block
		}
	}
	return until
}

// minRivalCrashes is the number of crashes from which another part may account for those of a part.
const minRivalCrashes = 2

// rivals returns the parts that may account for a part's crashes: those with several crashes themselves that a request does not
// have.
func (l *Ledger) rivals(now time.Duration, part Part, requestParts []uint64) []Part {
	var list []Part
	for _, c := range l.byPart[part] {
		for id := range c.suspects {
			other := Part{part.Pool, id}
			if other == part || !c.countsAgainst(other) || len(l.byPart[other]) < minRivalCrashes || slices.Contains(requestParts, id) || slices.Contains(list, other) {
				continue
			}
			if l.assess(now, other).crashes >= minRivalCrashes {
				list = append(list, other)
			}
		}
	}
	return list
}

// unaccountedCrashes returns the number of a part's crashes of which none of its rivals is a suspect.
func (l *Ledger) unaccountedCrashes(part Part, rivals []Part) int {
	count := 0
	for _, c := range l.byPart[part] {
		if !c.suspects[part.ID].Familiar && !slices.ContainsFunc(rivals, c.countsAgainst) {
			count++
		}
	}
	return count
}
