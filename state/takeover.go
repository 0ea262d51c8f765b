package state

import (
	"sort"
	"time"

	"magnoliahoist/lease"
	"magnoliahoist/replica"
	"magnoliahoist/table"
)

const (
	// watchPeriod is the time between two looks at other members and at what may be taken over.
	watchPeriod = time.Second
	// watched is how many members a host watches: those that follow it in the order of ids. Watching
	// all of 400 hosts would take more messages than a host may spend on control.
	watched = 8
	// announcePeriod is the time between two announcements to all members; it is small against the
	// 10 s within which a change is in force.
	announcePeriod = 500 * time.Millisecond
	// holdPeriod is the time between two looks at takeovers that wait.
	holdPeriod = 200 * time.Millisecond
)

// Commit asks for a conditional change of a row of the shared state.
type Commit struct {
	Key string
	Txn table.Txn
}

// Committed answers a Commit effect; it is left out when the outcome is unknown.
type Committed struct {
	Key    string
	Result table.Result
}

// Announce asks a member to apply a revision and to say what it has applied.
type Announce struct {
	Member   string
	Address  string
	Revision int64
}

// Hosts is the platform's list of hosts, read at a time.
type Hosts struct {
	Read      time.Duration
	Addresses map[string]bool // all that are listed, leaving or not
}

// Replaced says that another member id answers at a member's address.
type Replaced struct{ Member string }

// HandOver asks for the changes that give what the host holds to other members.
type HandOver struct{}

func (Commit) isEffect()   {}
func (Announce) isEffect() {}

func (Committed) isEvent() {}
func (Hosts) isEvent()     {}
func (Replaced) isEvent()  {}
func (HandOver) isEvent()  {}

// takeoverState is what the host knows and plans about holding shares and leases.
type takeoverState struct {
	planner  *lease.Planner
	holdings *lease.Holdings
	holders  int
	watch    time.Duration
	hold     time.Duration
	hosts    Hosts
	replaced map[string]bool
	busy     map[string]time.Duration // keys whose commit is under way, since when
	current  bool                     // the shares are set for the rows as they are, and no takeover waits
	// unannounced is the latest change that members have not been told of, 0 for none.
	unannounced int64
	announced   time.Duration // last announcement to all members
	idle        bool          // the rows as they are need no takeover while all holders answer
}

// commitPatience is how long the outcome of a commit may be unknown before it is planned anew; the
// condition on the row's revision keeps the earlier one from taking effect besides the new one.
const commitPatience = 5 * time.Second

func newTakeoverState(s Settings) takeoverState {
	return takeoverState{
		planner:  lease.NewPlanner(s.Window),
		holdings: lease.NewHoldings(s.Host, s.Window),
		holders:  s.Holders,
		hosts:    Hosts{Read: -1},
		replaced: map[string]bool{},
		busy:     map[string]time.Duration{},
	}
}

// watchMembers asks the members that this host watches what they have applied, and plans takeovers.
func (s *State) watchMembers(now time.Duration) {
	if now-s.takeover.watch < watchPeriod {
		return
	}
	s.takeover.watch = now
	for _, member := range s.followers() {
		s.emit(Announce{Member: member.ID, Address: member.Address, Revision: s.replica.View().Revision()})
	}
	if s.draining || !s.replica.Fresh(now) {
		return
	}
	status := s.status(now)
	if !s.takeover.idle || !s.allAnswer() {
		// Looking at all rows each second took 2.5 % of a core with 10,000 accounts.
		for _, plan := range s.takeover.planner.Due(now, status) {
			s.commit(now, plan.Key, plan.Txn)
		}
		s.takeover.idle = s.takeover.planner.Idle() && s.allAnswer()
	}
	for _, txn := range lease.Removals(now, status) {
		s.commit(now, txn.Writes[0].Key, txn)
	}
}

// allAnswer reports whether no member is known to be silent or replaced. It forgets those that are gone.
func (s *State) allAnswer() bool {
	view := s.replica.View()
	for id := range s.silent {
		if _, member := view.MemberByID(id); !member {
			delete(s.silent, id)
		}
	}
	for id := range s.takeover.replaced {
		if _, member := view.MemberByID(id); !member {
			delete(s.takeover.replaced, id)
		}
	}
	return len(s.silent) == 0 && len(s.takeover.replaced) == 0
}

// following returns the other members in the order of ids after this host's, around the end.
func (s *State) following() []replica.Member {
	members := s.replica.View().Members()
	at := sort.Search(len(members), func(i int) bool { return members[i].ID > s.settings.Host })
	list := make([]replica.Member, 0, len(members))
	for i := range members {
		if member := members[(at+i)%len(members)]; member.ID != s.settings.Host {
			list = append(list, member)
		}
	}
	return list
}

// followers returns the members that this host watches.
func (s *State) followers() []replica.Member {
	list := s.following()
	return list[:min(watched, len(list))]
}

func (s *State) status(now time.Duration) lease.Status {
	hosts := s.takeover.hosts
	age := time.Duration(-1)
	if hosts.Read >= 0 {
		age = now - hosts.Read
	}
	return lease.Status{
		Self:       s.settings.Host,
		View:       s.replica.View(),
		K:          s.takeover.holders,
		Unanswered: s.silent,
		Replaced:   s.takeover.replaced,
		Listed:     func(m replica.Member) bool { return hosts.Addresses[m.Address] },
		ListAge:    age,
	}
}

func (s *State) commit(now time.Duration, key string, txn table.Txn) {
	if since, busy := s.takeover.busy[key]; busy && now-since < commitPatience {
		return
	}
	s.takeover.busy[key] = now
	s.emit(Commit{Key: key, Txn: txn})
}

// committed has a change announced at the next tick, so that it is accepted soon.
func (s *State) committed(e Committed) {
	delete(s.takeover.busy, e.Key)
	if e.Result.Committed {
		s.takeover.unannounced = max(s.takeover.unannounced, e.Result.Revision)
	}
}

// announce tells all members of the latest change of this host. One announcement stands for all
// changes up to its revision: the takeover from one of 400 hosts commits more than a hundred.
func (s *State) announce(now time.Duration) {
	if s.takeover.unannounced == 0 || s.takeover.announced > 0 && now-s.takeover.announced < announcePeriod {
		return
	}
	for _, member := range s.replica.View().Members() {
		if member.ID != s.settings.Host {
			s.emit(Announce{Member: member.ID, Address: member.Address, Revision: s.takeover.unannounced})
		}
	}
	s.takeover.unannounced, s.takeover.announced = 0, now
}

// followHoldings updates what the host may use now.
func (s *State) followHoldings(now time.Duration) {
	if s.takeover.current || now-s.takeover.hold < holdPeriod {
		return
	}
	s.updateHoldings(now)
}

func (s *State) updateHoldings(now time.Duration) {
	s.takeover.hold = now
	s.takeover.holdings.Update(now, s.replica)
	// Without freshness nothing is sent or lent; keeping the buckets avoids starting empty afterwards.
	if s.replica.Fresh(now) {
		s.setShares(now)
		s.takeover.current = !s.takeover.holdings.Pending()
	}
}

// Lease returns the number of a pool's lease when the host may use it now.
func (s *State) Lease(now time.Duration, pool string) (int64, bool) {
	return s.takeover.holdings.Lease(now, s.replica, pool)
}

// handOver gives what the host holds to other members.
func (s *State) handOver(now time.Duration) {
	for _, plan := range s.takeover.planner.HandOver(now, s.status(now)) {
		s.emit(Commit{Key: plan.Key, Txn: plan.Txn})
	}
}
