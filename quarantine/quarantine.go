// Package quarantine finds the prompt parts that crash engines and says which requests may be sent.
//
// An engine that crashes takes all its requests with it, and only one of them is the cause. The evidence is which parts were
// in the prompts of the requests that had no answer yet, on how many crashes, and which of them engines have answered since.
// Each host collects the crashes that it sees and exchanges them with the others, so that the fleet needs few crashes in all.
// The merge of two collections does not depend on order or repetition.
//
// The package performs no I/O, has no clock and no locks. Points in time are monotonic durations of this host.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// familiarTime is how long after an answer on a part a first crash with it counts as a coincidence.
	familiarTime = time.Minute
	// evidenceTime is how long after the last crash, or after the end of its block, a part stays under suspicion.
	evidenceTime = 10 * time.Minute
	// A part is blocked for a time that grows with the number of its crashes, because few crashes may be a coincidence: then a
	// request may try it again. From manyCrashes on, each further crash doubles the block, up to maxBlock.
	firstBlock  = 4 * time.Second
	secondBlock = 10 * time.Second
	manyCrashes = 4
	longBlock   = time.Minute
	maxBlock    = time.Hour
	// crashesToBlock is the number of crashes that block a part if one of them was a trial; untriedCrashesToBlock is the number
	// without a trial, if the part is on at least half of the pool's crashes from the first of them to the last.
	crashesToBlock        = 2
	untriedCrashesToBlock = 3
)

// Bounds of the memory of a Ledger.
const (
	maxCrashes    = 256
	maxSuspects   = 128 // of one crash
	maxParts      = 64  // of one request
	maxAnswered   = 8192
	maxReports    = 64 // in one answer of Reports
	maxKept       = 32 // in the answer of BlockEvidence
	maxProcessLen = 256
)

// Part is a part of the prompts of a pool's requests.
type Part struct {
	Pool string
	ID   uint64
}

// Ledger is one host's collection of crashes. It is not safe for concurrent use.
type Ledger struct {
	crashes  map[string]*crash // by process
	byPart   map[Part][]*crash // crashes of which the part is a suspect that is not cleared, by time
	blocked  map[Part]bool     // parts that were blocked after the last event about them; a block may have ended since
	answered *answeredParts
	revision int64
	changes  []Entry // result of Apply
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{crashes: map[string]*crash{}, byPart: map[Part][]*crash{}, blocked: map[Part]bool{}, answered: newAnsweredParts()}
}

// Apply handles one event and returns the parts that are blocked from now on or no longer. The result is valid until the next
// call.
func (l *Ledger) Apply(now time.Duration, event Event) []Entry {
	l.changes = l.changes[:0]
	switch e := event.(type) {
	case EngineCrashed:
		l.handleEngineCrashed(now, e)
	case AnswerStarted:
		l.handleAnswerStarted(now, e)
	case EngineAnswered:
		l.handleEngineAnswered(now, e)
	case CrashesReported:
		for _, report := range e.Reports {
			l.merge(now, report)
		}
	case PartLifted:
		l.clear(now, e.Part)
	}
	return l.changes
}

// handleEngineCrashed records a crash that this host has seen.
func (l *Ledger) handleEngineCrashed(now time.Duration, e EngineCrashed) {
	report := Report{Process: e.Process, Pool: e.Pool}
	for _, r := range e.Requests {
		for _, id := range candidateParts(r.Parts) {
			report = report.WithSuspect(Suspect{Part: id, Trial: slices.Contains(r.Trials, id)})
		}
	}
	l.merge(now, report)
}

// handleAnswerStarted clears the parts of a request on which an engine has begun to answer.
func (l *Ledger) handleAnswerStarted(now time.Duration, e AnswerStarted) {
	for _, id := range candidateParts(e.Parts) {
		part := Part{e.Pool, id}
		l.answered.add(now, part)
		if len(l.byPart) > 0 {
			l.clear(now, part)
		}
	}
}

// handleEngineAnswered refutes a crash: the process has answered a request that was sent after it.
func (l *Ledger) handleEngineAnswered(now time.Duration, e EngineAnswered) {
	c := l.crashes[e.Process]
	if c == nil || c.refuted || e.SentAt <= c.at {
		return
	}
	c.refuted = true
	l.touch(c)
	l.unlink(now, c)
}

// clear marks a part as cleared on all crashes that this host knows.
func (l *Ledger) clear(now time.Duration, part Part) {
	for _, c := range l.byPart[part] {
		s := c.suspects[part.ID]
		s.Cleared = true
		c.suspects[part.ID] = s
		l.touch(c)
	}
	delete(l.byPart, part)
	l.noteLevel(now, part)
}

// merge adds what a report says of a crash.
func (l *Ledger) merge(now time.Duration, report Report) {
	if report.Process == "" || len(report.Process) > maxProcessLen || report.Age > evidenceTime+maxBlock {
		return
	}
	c := l.crashes[report.Process]
	if c == nil {
		l.makeRoom(now)
		c = &crash{process: report.Process, pool: report.Pool, at: now - max(report.Age, 0), suspects: map[uint64]Suspect{}}
		l.crashes[c.process] = c
		l.touch(c)
	}
	if report.Refuted && !c.refuted {
		c.refuted = true
		l.touch(c)
	}
	for _, s := range report.Suspects {
		l.mergeSuspect(now, c, s)
	}
	if c.refuted {
		l.unlink(now, c)
	}
}

// mergeSuspect adds what a report says of one suspect of a crash.
func (l *Ledger) mergeSuspect(now time.Duration, c *crash, s Suspect) {
	part := Part{c.pool, s.Part}
	known, found := c.suspects[s.Part]
	if !found {
		if len(c.suspects) >= maxSuspects {
			return
		}
		s.Familiar = s.Familiar || len(l.byPart[part]) == 0 && l.answered.since(now, part, familiarTime)
	}
	merged := known.with(s)
	if found && merged == known {
		return
	}
	c.suspects[s.Part] = merged
	l.touch(c)
	if !merged.Cleared && !found {
		at, _ := slices.BinarySearchFunc(l.byPart[part], c, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
		l.byPart[part] = slices.Insert(l.byPart[part], at, c)
	}
	if merged.Cleared && found && !known.Cleared {
		l.unlinkPart(part, c)
	}
	l.noteLevel(now, part)
}

// touch gives a crash the next revision.
func (l *Ledger) touch(c *crash) {
	l.revision++
	c.revision = l.revision
}

// unlink removes a crash from the evidence against its suspects.
func (l *Ledger) unlink(now time.Duration, c *crash) {
	for id := range c.suspects {
		part := Part{c.pool, id}
		l.unlinkPart(part, c)
		l.noteLevel(now, part)
	}
}

// unlinkPart removes a crash from the evidence against one part.
func (l *Ledger) unlinkPart(part Part, c *crash) {
	list := slices.DeleteFunc(l.byPart[part], func(other *crash) bool { return other == c })
	if len(list) == 0 {
		delete(l.byPart, part)
		return
	}
	l.byPart[part] = list
}

// makeRoom drops the crashes that are too old to count, and the oldest one if the ledger is full.
func (l *Ledger) makeRoom(now time.Duration) {
	var oldest *crash
	for _, c := range l.crashes {
		if now-c.at > evidenceTime+maxBlock {
			l.drop(now, c)
			continue
		}
		if oldest == nil || c.at < oldest.at {
			oldest = c
		}
	}
	if len(l.crashes) >= maxCrashes {
		l.drop(now, oldest)
	}
}

// drop forgets a crash.
func (l *Ledger) drop(now time.Duration, c *crash) {
	delete(l.crashes, c.process)
	l.unlink(now, c)
}

// noteLevel adds a change to the result of Apply if a part is blocked now and was not, or the reverse.
func (l *Ledger) noteLevel(now time.Duration, part Part) {
	found := l.assess(now, part)
	isBlocked := found.level == levelBlocked || found.level == levelBlockEnded
	if isBlocked == l.blocked[part] {
		return
	}
	if isBlocked {
		l.blocked[part] = true
	} else {
		delete(l.blocked, part)
	}
	entry := l.entry(part, found)
	entry.Blocked = isBlocked
	l.changes = append(l.changes, entry)
}
