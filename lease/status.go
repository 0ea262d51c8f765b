package lease

import (
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/table"
)

// Silence is how long a member must not have answered before what it holds may be taken over.
const Silence = 10 * time.Second

// maxListAge is the age of the platform's host list beyond which no member is removed on its basis.
const maxListAge = 30 * time.Second

// Status is what a host knows when it decides about takeovers.
type Status struct {
	Self       string
	View       *replica.View
	K          int                         // holders of an account's allowance
	Unanswered map[string]time.Duration    // by member id: since when it has not answered
	Replaced   map[string]bool             // by member id: another id answers at its address
	Listed     func(m replica.Member) bool // whether the platform's host list has it
	ListAge    time.Duration               // age of the host list; negative: never read
}

func (s Status) silent(now time.Duration, member string) bool {
	since, found := s.Unanswered[member]
	return found && member != s.Self && now-since >= Silence
}

// replaceable reports whether what the holder holds may be taken over.
func (s Status) replaceable(now time.Duration, holder string) bool {
	_, live := s.View.MemberByID(holder)
	return !live || s.Replaced[holder] || s.silent(now, holder)
}

// answering returns the members that may hold something, sorted by id.
func (s Status) answering(now time.Duration) []replica.Member {
	var list []replica.Member
	for _, m := range s.View.Members() {
		if !s.replaceable(now, m.ID) {
			list = append(list, m)
		}
	}
	return list
}

// Removals returns the transactions that remove the rows of dead members: missing from the host list
// and silent, or replaced at their address.
func Removals(now time.Duration, s Status) []table.Txn {
	var list []table.Txn
	for _, m := range s.View.Members() {
		current := s.Listed != nil && s.ListAge >= 0 && s.ListAge <= maxListAge
		dead := s.Replaced[m.ID] || current && !s.Listed(m) && s.silent(now, m.ID)
		if dead && m.ID != s.Self {
			list = append(list, leave(s.View, m.ID, replica.EncodeRemoved(m)))
		}
	}
	return list
}

// Leave returns the transaction with which a member that has stopped serving removes itself.
func Leave(view *replica.View, member string) table.Txn {
	return leave(view, member, replica.EncodeGone())
}

func leave(view *replica.View, member string, tombstone []byte) table.Txn {
	key := replica.KeyForMember(member)
	return table.Txn{
		Compares: []table.Compare{{Key: key, Revision: view.RevisionOf(key)}},
		Writes:   []table.Write{{Key: key, Value: tombstone}},
	}
}
