package replica

import (
	"slices"
	"time"
)

// majority returns how many of n members are a majority. For n = 0 it is 1, so that an empty group has no majority.
func majority(n int) int { return n/2 + 1 }

// RecordApplied records that a member has applied all rows up to the revision. Former members are ignored.
func (r *Replica) RecordApplied(member string, revision int64) {
	if !r.isFormerMember(member) {
		r.appliedRevisions[member] = max(r.appliedRevisions[member], revision)
	}
}

// AppliedBy returns the highest revision that the member is known to have applied, 0 when none is known.
func (r *Replica) AppliedBy(member string) int64 {
	if member == r.id {
		return r.view.Revision()
	}
	return r.appliedRevisions[member]
}

// hasApplied reports whether the member is known to have applied the revision.
func (r *Replica) hasApplied(member string, revision int64) bool {
	if member == r.id {
		return r.view.Revision() >= revision
	}
	return r.appliedRevisions[member] >= revision
}

// Accepted reports whether the revision is accepted: every host that stays fresh by exchanges with a majority will
// receive it within the freshness window. Two conditions must hold. A majority of every group has applied the revision.
// And in every earlier member set by which a fresh host may still count its majority, the members that aren't known to
// have applied the revision are no majority. Without the second condition, hosts that join quickly could
// accept a change among themselves, while older members that don't know of the new hosts keep each other fresh.
func (r *Replica) Accepted(revision int64) bool {
	if revision > r.view.Revision() || len(r.view.groups) == 0 {
		return false
	}
	for group, members := range r.view.groups {
		if r.countMissing(members, revision) > len(members)-majority(len(members)) {
			return false
		}
		if !r.acceptedByEarlierSets(group, revision) {
			return false
		}
	}
	return true
}

// countMissing returns how many members are not known to have applied the revision.
func (r *Replica) countMissing(members []Member, revision int64) int {
	count := 0
	for _, m := range members {
		if !r.hasApplied(m.ID, revision) {
			count++
		}
	}
	return count
}

// acceptedByEarlierSets reports whether the members without the revision are no majority in any member set of the
// group by which a fresh host with an older view may count its majority. Members that removed themselves have stopped
// and aren't counted, which makes the condition stricter. Members that others removed may still run and count as
// members without the revision.
func (r *Replica) acceptedByEarlierSets(group string, revision int64) bool {
	if r.settledRevision >= revision {
		return true
	}
	possiblyRunning := r.possiblyRunning(group)
	for _, setRevision := range r.memberSetRevisions(group, possiblyRunning, revision) {
		size, missing := r.countEarlierSet(group, possiblyRunning, setRevision, revision)
		if size > 0 && missing >= majority(size) {
			return false
		}
	}
	return true
}

// memberSetRevisions returns the settled revision and, between it and the given revision, all revisions at which the
// group's set of members changed.
func (r *Replica) memberSetRevisions(group string, possiblyRunning []removedMember, revision int64) []int64 {
	revisions := []int64{r.settledRevision}
	add := func(setRevision int64) {
		if setRevision > r.settledRevision && setRevision < revision {
			revisions = append(revisions, setRevision)
		}
	}
	for _, m := range r.view.groups[group] {
		add(m.JoinRevision)
	}
	for _, m := range possiblyRunning {
		add(m.joinRevision)
		add(m.removalRevision)
	}
	return revisions
}

// countEarlierSet returns the size of the group's member set at setRevision, and how many of these members aren't known
// to have applied revision.
func (r *Replica) countEarlierSet(group string, possiblyRunning []removedMember, setRevision, revision int64) (size, missing int) {
	for _, m := range r.view.groups[group] {
		if m.JoinRevision > setRevision {
			continue
		}
		size++
		if !r.hasApplied(m.ID, revision) {
			missing++
		}
	}
	for _, m := range possiblyRunning {
		if m.joinRevision <= setRevision && m.removalRevision > setRevision {
			size++
			missing++
		}
	}
	return size, missing
}

// CountApplied returns how many members are known to have applied the revision, and the number of members.
func (r *Replica) CountApplied(revision int64) (applied, members int) {
	for _, list := range r.view.groups {
		for _, m := range list {
			members++
			if r.hasApplied(m.ID, revision) {
				applied++
			}
		}
	}
	return applied, members
}

// SettledRevision returns the settled revision: the view of every fresh host has at least this revision.
func (r *Replica) SettledRevision() int64 { return r.settledRevision }

// RaiseSettledRevision raises the settled revision to that of another host. A new host needs it, because it can't tell on its own
// which earlier member sets are still in use.
func (r *Replica) RaiseSettledRevision(revision int64) {
	r.settledRevision = max(r.settledRevision, revision)
}

// advanceSettled raises the settled revision once the settling revision was accepted long enough ago, and then
// chooses the highest accepted revision as the next settling revision.
func (r *Replica) advanceSettled(now time.Duration) {
	if r.settlingRevision > r.settledRevision {
		if now < r.settlingAcceptedAt+WaitAfterAcceptance(r.freshnessWindow) {
			return
		}
		r.settledRevision = r.settlingRevision
	}
	revisions := []int64{r.view.Revision()}
	for _, revision := range r.appliedRevisions {
		if revision < r.view.Revision() {
			revisions = append(revisions, revision)
		}
	}
	slices.Sort(revisions)
	for _, revision := range slices.Backward(revisions) {
		if revision > r.settledRevision && r.Accepted(revision) {
			r.settlingRevision, r.settlingAcceptedAt = revision, now
			return
		}
	}
}
