package lease

import (
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// SilenceTimeout is how long a member must not have responded before its leases and parts may be taken over.
const SilenceTimeout = 10 * time.Second

// maxListAge is the greatest age of the platform's host list at which a member may be removed for its absence from it.
const maxListAge = 30 * time.Second

// FleetStatus is what a host knows about the fleet when it decides on takeovers and removals.
type FleetStatus struct {
	Self              string // id of the host
	View              *replica.View
	HoldersPerAccount int
	UnresponsiveSince map[string]time.Duration    // by member id: since when the member has not responded
	Replaced          map[string]bool             // by member id: whether a host with another id responds at its address
	Listed            func(m replica.Member) bool // whether the platform's host list contains the member; nil: list unknown
	HostListAge       time.Duration               // negative: never read
}

// isSilent reports whether another member hasn't responded for SilenceTimeout.
func (s FleetStatus) isSilent(now time.Duration, member string) bool {
	since, found := s.UnresponsiveSince[member]
	return found && member != s.Self && now-since >= SilenceTimeout
}

// isReplaceable reports whether the leases and parts of the holder may be taken over.
func (s FleetStatus) isReplaceable(now time.Duration, holder string) bool {
	_, live := s.View.MemberByID(holder)
	return !live || s.Replaced[holder] || s.isSilent(now, holder)
}

// responsiveMembers returns the members that may hold leases and parts, sorted by id.
func (s FleetStatus) responsiveMembers(now time.Duration) []replica.Member {
	var list []replica.Member
	for _, m := range s.View.Members() {
		if !s.isReplaceable(now, m.ID) {
			list = append(list, m)
		}
	}
	return list
}

// RemovalTxns returns the transactions that remove the rows of dead members. A member is dead when it is silent and
// missing from a current host list, or when a host with another id responds at its address.
func RemovalTxns(now time.Duration, s FleetStatus) []table.Txn {
	var txns []table.Txn
	for _, m := range s.View.Members() {
		listIsCurrent := s.Listed != nil && s.HostListAge >= 0 && s.HostListAge <= maxListAge
		dead := s.Replaced[m.ID] || listIsCurrent && !s.Listed(m) && s.isSilent(now, m.ID)
		if dead && m.ID != s.Self {
			txns = append(txns, removeMemberTxn(s.View, m.ID, replica.EncodeRemovedMember(m)))
		}
	}
	return txns
}

// LeaveTxn returns the transaction by which a member that has stopped serving removes itself from the fleet.
func LeaveTxn(view *replica.View, member string) table.Txn {
	return removeMemberTxn(view, member, replica.EncodeTombstone())
}

// removeMemberTxn replaces the member's row, if unchanged, by the tombstone.
func removeMemberTxn(view *replica.View, member string, tombstone []byte) table.Txn {
	key := replica.KeyForMember(member)
	return table.Txn{
		Compares: []table.Compare{{Key: key, Revision: view.RevisionOf(key)}},
		Writes:   []table.Write{{Key: key, Value: tombstone}},
	}
}
