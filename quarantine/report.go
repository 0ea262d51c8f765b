package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Reports returns the crashes that were recorded or changed after a revision, oldest change first, and the revision up to which
// they are complete. It returns at most maxReports; a further call returns the next ones.
func (l *Ledger) Reports(now time.Duration, after int64) ([]Report, int64) {
	if after == l.revision {
		return nil, after
	}
	var changed []*crash
	for _, c := range l.crashes {
		if c.revision > after || after > l.revision {
			changed = append(changed, c)
		}
	}
	slices.SortFunc(changed, func(a, b *crash) int { return cmp.Compare(a.revision, b.revision) })
	revision := l.revision
	if len(changed) > maxReports {
		changed = changed[:maxReports]
		revision = changed[maxReports-1].revision
	}
	reports := make([]Report, 0, len(changed))
	for _, c := range changed {
		reports = append(reports, c.report(now))
	}
	return reports, revision
}

// BlockEvidence returns the newest crashes that count against blocked parts, at most maxKept, in ascending order of
// their processes. They have no other suspects than these parts.
func (l *Ledger) BlockEvidence(now time.Duration) []Report {
	var kept []*crash
	for part := range l.blocked {
		for _, c := range l.byPart[part] {
			if !slices.Contains(kept, c) {
				kept = append(kept, c)
			}
		}
	}
	slices.SortFunc(kept, func(a, b *crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.process, b.process)) })
	kept = kept[max(len(kept)-maxKept, 0):]
	slices.SortFunc(kept, func(a, b *crash) int { return cmp.Compare(a.process, b.process) })
	reports := make([]Report, 0, len(kept))
	for _, c := range kept {
		r := c.report(now)
		r.Suspects = slices.DeleteFunc(r.Suspects, func(s Suspect) bool { return s.Cleared || !l.blocked[Part{c.pool, s.Part}] })
		reports = append(reports, r)
	}
	return reports
}

// Revision returns the number of changes of the ledger.
func (l *Ledger) Revision() int64 { return l.revision }
