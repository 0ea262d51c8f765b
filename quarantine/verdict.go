package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Verdict says whether a request may be sent.
type Verdict interface{ isVerdict() }

// Sound is the verdict on a request without a part under suspicion.
type Sound struct{}

// Suspected is the verdict on a request with parts that may crash engines. It may be sent as a trial, one at a time for each
// part, to an engine where little would be lost, and is not repeated.
type Suspected struct {
	Parts []Part
	// BlockEnded is since when a part may be tried again that was blocked; 0 if none was. Hosts start these trials one after the
	// other.
	BlockEnded time.Duration
}

// Blocked is the verdict on a request with a part that crashes engines. It must not be sent.
type Blocked struct {
	Part  Part
	Until time.Duration
}

func (Sound) isVerdict()     {}
func (Suspected) isVerdict() {}
func (Blocked) isVerdict()   {}

// Change says that a part is blocked from now on, or no longer.
type Change struct {
	Part      Part
	Blocked   bool
	Crashes   int // that count against the part
	Trials    int // of these, under a trial of the part
	Processes []string
	Until     time.Duration // end of the block
}

// Entry is a part under suspicion, for operators.
type Entry struct {
	Part      Part
	Blocked   bool
	Until     time.Duration // end of the block
	Crashes   int           // that count against the part
	Trials    int           // of these, under a trial of the part
	Processes []string
}

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

// Judge returns the verdict on a request of a pool with the parts of its prompt, in their order.
func (l *Ledger) Judge(now time.Duration, pool string, parts []uint64) Verdict {
	if len(l.byPart) == 0 {
		return Sound{}
	}
	var suspected Suspected
	for _, id := range candidateParts(parts) {
		part := Part{pool, id}
		if len(l.byPart[part]) == 0 {
			continue
		}
		found := l.assessFor(now, part, parts)
		switch found.level {
		case levelNone:
			continue
		case levelBlocked:
			return Blocked{Part: part, Until: found.until}
		case levelBlockEnded:
			suspected.BlockEnded = max(suspected.BlockEnded, found.until)
		case levelSuspected:
		}
		suspected.Parts = append(suspected.Parts, part)
	}
	if len(suspected.Parts) == 0 {
		return Sound{}
	}
	return suspected
}

// assessFor weighs the evidence against a part of a request. Parts that occur together cannot be told apart until one of them
// occurs alone. If a blocked part that the request does not have accounts for half of the part's crashes, the others may be a
// coincidence: the part may be tried, by one host after the other.
func (l *Ledger) assessFor(now time.Duration, part Part, requestParts []uint64) assessment {
	found := l.assess(now, part)
	if found.level == levelNone {
		return found
	}
	for other := range l.blocked {
		if other.Pool != part.Pool || other == part || slices.Contains(requestParts, other.ID) {
			continue
		}
		unaccounted := l.unaccountedCrashes(part, other)
		if unaccounted == 0 && l.assess(now, other).crashes > found.crashes {
			return assessment{}
		}
		if found.level == levelBlocked && 2*unaccounted <= found.crashes {
			found.level, found.until = levelBlockEnded, found.last
		}
	}
	return found
}

// unaccountedCrashes returns the number of a part's crashes of which the other part is no suspect.
func (l *Ledger) unaccountedCrashes(part, other Part) int {
	count := 0
	for _, c := range l.byPart[part] {
		if c.suspects[part.ID].Familiar {
			continue
		}
		if s, found := c.suspects[other.ID]; !found || s.Cleared || s.Familiar {
			count++
		}
	}
	return count
}

// Entries returns the parts under suspicion, in ascending order of pool and id.
func (l *Ledger) Entries(now time.Duration) []Entry {
	var entries []Entry
	parts := slices.SortedFunc(maps.Keys(l.byPart), func(a, b Part) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID)) })
	for _, part := range parts {
		found := l.assess(now, part)
		if found.level == levelNone {
			continue
		}
		entries = append(entries, Entry{
			Part: part, Blocked: found.level == levelBlocked, Until: found.until, Crashes: found.crashes, Trials: found.trials, Processes: processesOf(l.byPart[part]),
		})
	}
	return entries
}
