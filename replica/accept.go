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
	for _, members := range r.view.groups {
		if !r.acceptedBy(members, revision) {
			return false
		}
	}
	return true
}

// acceptedBy judges one group, whose members are in the order of joining. Members that are gone have
// stopped and make no host fresh, so earlier sets are counted without them, which is the stricter count.
func (r *Replica) acceptedBy(members []Member, revision int64) bool {
	missing := 0
	for i, m := range members {
		if !r.applied(m.ID, revision) {
			missing++
		}
		last := i == len(members)-1
		if last {
			return len(members)-missing >= majority(len(members))
		}
		if m.Revision > revision || members[i+1].Revision <= r.settled {
			continue
		}
		if missing >= majority(i+1) {
			return false
		}
	}
	return true
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
