package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Suspect is a prompt part of a request that had no answer yet when its engine crashed. Its flags are only ever set, so that
// hosts that exchange reports come to agree.
type Suspect struct {
	Part     uint64
	Trial    bool // the request was sent as a trial of the part
	Familiar bool // the part had been answered shortly before, with no crash in between
	Cleared  bool // the part was answered after the crash, or an operator has lifted it
}

// with returns the suspect with the flags of another report about it.
func (s Suspect) with(other Suspect) Suspect {
	return Suspect{Part: other.Part, Trial: s.Trial || other.Trial, Familiar: s.Familiar || other.Familiar, Cleared: s.Cleared || other.Cleared}
}

// Report is what a host has recorded of one crash.
type Report struct {
	Process  string
	Pool     string
	Age      time.Duration // since the crash
	Refuted  bool          // the process has answered requests that were sent after the crash
	Suspects []Suspect
}

// WithSuspect returns the report with a further suspect.
func (r Report) WithSuspect(s Suspect) Report {
	r.Suspects = append(slices.Clip(r.Suspects), s)
	return r
}

// crash is the state of one crash in a ledger.
type crash struct {
	process  string
	pool     string
	at       time.Duration
	refuted  bool
	suspects map[uint64]Suspect
	revision int64 // of the ledger, at the last change
}

// countsAgainst reports whether the crash counts against a part.
func (c *crash) countsAgainst(part Part) bool {
	s, found := c.suspects[part.ID]
	return found && part.Pool == c.pool && !s.Cleared && !s.Familiar
}

// hasOtherSuspect reports whether the crash counts against a part that is not among those of a request.
func (c *crash) hasOtherSuspect(requestParts []uint64) bool {
	for id := range c.suspects {
		if !slices.Contains(requestParts, id) && c.countsAgainst(Part{c.pool, id}) {
			return true
		}
	}
	return false
}

// report returns the crash in the form that other hosts receive.
func (c *crash) report(now time.Duration) Report {
	r := Report{Process: c.process, Pool: c.pool, Age: now - c.at, Refuted: c.refuted}
	r.Suspects = slices.SortedFunc(maps.Values(c.suspects), func(a, b Suspect) int { return cmp.Compare(a.Part, b.Part) })
	return r
}

// processesOf returns the processes of crashes.
func processesOf(crashes []*crash) []string {
	processes := make([]string, 0, len(crashes))
	for _, c := range crashes {
		processes = append(processes, c.process)
	}
	return processes
}
