package replica

import (
	"slices"
	"time"
)

// majority returns how many of n members are a majority; of none it is 1, so that it cannot be reached.
func majority(n int) int { return n/2 + 1 }

// Acked records that a member has applied all rows up to the revision.
func (r *Replica) Acked(member string, revision int64) {
	if !r.isGoneMember(member) {
		r.acked[member] = max(r.acked[member], revision)
	}
}

// AppliedBy returns the revision that a member is known to have applied.
func (r *Replica) AppliedBy(member string) int64 {
	if member == r.id {
		return r.view.Revision()
	}
	return r.acked[member]
}

// applied reports whether the member has applied the revision, as far as known.
func (r *Replica) applied(member string, revision int64) bool {
	if member == r.id {
		return r.view.Revision() >= revision
	}
	return r.acked[member] >= revision
}

// Accepted reports whether every host that is fresh from a majority will learn of the revision within
// the window: a majority of every group has applied it, and so many members of every earlier member set
// which a fresh host may still count by that no majority of that set is left without it. Without the
// second condition, hosts that join quickly could accept a change among themselves while older
// members, who have not heard of them, keep each other fresh.
func (r *Replica) Accepted(revision int64) bool {
	if revision > r.view.Revision() || len(r.view.groups) == 0 {
		return false
	}
	for group, members := range r.view.groups {
		if r.missing(members, revision) > len(members)-majority(len(members)) {
			return false
		}
		if !r.acceptedEarlier(group, revision) {
			return false
		}
	}
	return true
}

// missing returns how many members are not known to have applied the revision.
func (r *Replica) missing(members []Member, revision int64) int {
	missing := 0
	for _, m := range members {
		if !r.applied(m.ID, revision) {
			missing++
		}
	}
	return missing
}

// acceptedEarlier judges the member sets that a fresh host with an older view may count by. Members that
// left by themselves have stopped and are not counted, which is the stricter count; members that others
// removed may still run and count as missing.
func (r *Replica) acceptedEarlier(group string, revision int64) bool {
	if r.settled >= revision {
		return true
	}
	running := r.mayRun(group)
	for _, at := range r.setChanges(group, running, revision) {
		size, missing := r.earlierSet(group, running, at, revision)
		if size > 0 && missing >= majority(size) {
			return false
		}
	}
	return true
}

// setChanges returns the revisions, from the settled one to the one given, at which a set of members began.
func (r *Replica) setChanges(group string, running []removed, revision int64) []int64 {
	changes := []int64{r.settled}
	add := func(at int64) {
		if at > r.settled && at < revision {
			changes = append(changes, at)
		}
	}
	for _, m := range r.view.groups[group] {
		add(m.Revision)
	}
	for _, m := range running {
		add(m.joined)
		add(m.gone)
	}
	return changes
}

// earlierSet returns the size of the set of members at a revision, and how many of it miss the later one.
func (r *Replica) earlierSet(group string, running []removed, at, revision int64) (size, missing int) {
	for _, m := range r.view.groups[group] {
		if m.Revision > at {
			continue
		}
		size++
		if !r.applied(m.ID, revision) {
			missing++
		}
	}
	for _, m := range running {
		if m.joined <= at && m.gone > at {
			size++
			missing++
		}
	}
	return size, missing
}

// Progress returns how many members have applied the revision, and how many there are.
func (r *Replica) Progress(revision int64) (applied, members int) {
	for _, list := range r.view.groups {
		for _, m := range list {
			members++
			if r.applied(m.ID, revision) {
				applied++
			}
		}
	}
	return applied, members
}

// Settled returns a revision below which no fresh host is.
func (r *Replica) Settled() int64 { return r.settled }

// Settle records the settled revision that another host reports. A new host takes it over, because
// it cannot tell which of the earlier member sets are still in use.
func (r *Replica) Settle(revision int64) { r.settled = max(r.settled, revision) }

// settle advances the settled revision to one that was accepted long enough ago.
func (r *Replica) settle(now time.Duration) {
	if r.settling > r.settled {
		if now < r.settlingAt+Wait(r.window) {
			return
		}
		r.settled = r.settling
	}
	revisions := []int64{r.view.Revision()}
	for _, revision := range r.acked {
		if revision < r.view.Revision() {
			revisions = append(revisions, revision)
		}
	}
	slices.Sort(revisions)
	for _, revision := range slices.Backward(revisions) {
		if revision > r.settled && r.Accepted(revision) {
			r.settling, r.settlingAt = revision, now
			return
		}
	}
}
