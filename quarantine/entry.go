package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Entry is a part with the evidence against it.
type Entry struct {
	Part      Part
	Blocked   bool
	Until     time.Duration // end of the block
	Crashes   int           // that count against the part
	Trials    int           // of these, under a trial of the part
	Processes []string
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
		entries = append(entries, l.entry(part, found))
	}
	return entries
}

// entry returns a part with the evidence against it.
func (l *Ledger) entry(part Part, found assessment) Entry {
	return Entry{
		Part: part, Blocked: found.level == levelBlocked, Until: found.until, Crashes: found.crashes, Trials: found.trials, Processes: processesOf(l.byPart[part]),
	}
}
