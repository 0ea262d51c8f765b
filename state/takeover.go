package state

import (
	"sort"
	"time"

	"magnoliahoist/lease"
	"magnoliahoist/replica"
	"magnoliahoist/table"
)

const (
	// watchInterval is the time between two checks of the watched members and of what this host should take over.
	watchInterval = time.Second
	// watchedCount is how many members a host watches: the next ones after it in the order of ids. Watching
	// all of 400 hosts would take more messages than a host may spend on control.
	watchedCount = 8
	// announceInterval is the shortest time between two announcements to all members. It is small against the
	// 10 s within which a change must take effect on all hosts.
	announceInterval = 500 * time.Millisecond
	// holdingsInterval is the time between two checks whether pending takeovers have ended.
	holdingsInterval = 200 * time.Millisecond
)

// Commit asks the host to write a row of the shared state by a conditional transaction. CommitFinished reports the result.
type Commit struct {
	Key string
	Txn table.Txn
}

// CommitFinished reports the result of a Commit effect, whether or not the condition held. It is not sent when the result is unknown.
type CommitFinished struct {
	Key    string
	Result table.Result
}

// Announce asks the host to tell another member of a revision. The member applies the changes up to it and responds with the revision that it has applied.
type Announce struct {
	Member   string
	Address  string
	Revision int64
}

// HostsListed carries the platform's list of hosts.
type HostsListed struct {
	ReadAt    time.Duration   // negative: never read
	Addresses map[string]bool // all listed addresses, leaving or not
}

// MemberReplaced says that a process with another member id runs at a member's address.
type MemberReplaced struct{ Member string }

// HandOverStarted asks for the commits that give this host's parts and leases to other members.
type HandOverStarted struct{}

func (Commit) isEffect()   {}
func (Announce) isEffect() {}

func (CommitFinished) isEvent()  {}
func (HostsListed) isEvent()     {}
func (MemberReplaced) isEvent()  {}
func (HandOverStarted) isEvent() {}

// takeoverState tracks the parts and leases that the host holds, and plans takeovers of those of dead members.
type takeoverState struct {
	planner           *lease.Planner
	holdings          *lease.Holdings
	holdersPerAccount int
	watchedAt         time.Duration // last check of the watched members
	holdingsUpdatedAt time.Duration
	hostList          HostsListed
	replaced          map[string]bool          // by member id: another process runs at its address
	pendingCommits    map[string]time.Duration // by row key: when the commit without a known result began
	partsCurrent      bool                     // the host's parts match its copy of the shared state, and no takeover is pending
	// unannouncedRevision is the revision of this host's latest commit that it has not announced; 0 for none.
	unannouncedRevision int64
	announcedAt         time.Duration // last announcement to all members; 0 before the first
	nothingDue          bool          // the current rows need no takeover as long as every member responds
}

// commitTimeout is how long a commit without a known result blocks another commit of the same row. An earlier commit that arrives late
// cannot take effect after the new one, because both require the row's unchanged revision.
const commitTimeout = 5 * time.Second

func newTakeoverState(s Settings) takeoverState {
	return takeoverState{
		planner:           lease.NewPlanner(s.FreshnessWindow),
		holdings:          lease.NewHoldings(s.Host, s.FreshnessWindow),
		holdersPerAccount: s.HoldersPerAccount,
		hostList:          HostsListed{ReadAt: -1},
		replaced:          map[string]bool{},
		pendingCommits:    map[string]time.Duration{},
	}
}

// watchMembers sends an announcement to the watched members, to learn whether they respond and what they have applied, and commits the takeovers and removals that are due.
func (s *State) watchMembers(now time.Duration) {
	if now-s.takeover.watchedAt < watchInterval {
		return
	}
	s.takeover.watchedAt = now
	for _, member := range s.watchedMembers() {
		s.emit(Announce{Member: member.ID, Address: member.Address, Revision: s.replica.View().Revision()})
	}
	if s.draining || !s.replica.Fresh(now) {
		return
	}
	status := s.leaseStatus(now)
	if !s.takeover.nothingDue || !s.allMembersRespond() {
		// Skipped while nothing can be due: planning over all rows each second took 2.5 % of a core with 10,000 accounts.
		for _, plan := range s.takeover.planner.DuePlans(now, status) {
			s.commit(now, plan.Key, plan.Txn)
		}
		s.takeover.nothingDue = s.takeover.planner.Idle() && s.allMembersRespond()
	}
	for _, txn := range lease.RemovalTxns(now, status) {
		s.commit(now, txn.Writes[0].Key, txn)
	}
}

// allMembersRespond reports whether no member is silent or replaced. It first forgets the ids that are no longer members.
func (s *State) allMembersRespond() bool {
	view := s.replica.View()
	for id := range s.silentSince {
		if _, member := view.MemberByID(id); !member {
			delete(s.silentSince, id)
		}
	}
	for id := range s.takeover.replaced {
		if _, member := view.MemberByID(id); !member {
			delete(s.takeover.replaced, id)
		}
	}
	return len(s.silentSince) == 0 && len(s.takeover.replaced) == 0
}

// membersAfterSelf returns the other members in the order of ids, starting after this host's id and wrapping around.
func (s *State) membersAfterSelf() []replica.Member {
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

// watchedMembers returns the members that this host watches.
func (s *State) watchedMembers() []replica.Member {
	list := s.membersAfterSelf()
	return list[:min(watchedCount, len(list))]
}

// leaseStatus returns what the lease planner needs to know of the fleet.
func (s *State) leaseStatus(now time.Duration) lease.FleetStatus {
	hosts := s.takeover.hostList
	age := time.Duration(-1)
	if hosts.ReadAt >= 0 {
		age = now - hosts.ReadAt
	}
	return lease.FleetStatus{
		Self:              s.settings.Host,
		View:              s.replica.View(),
		HoldersPerAccount: s.takeover.holdersPerAccount,
		UnresponsiveSince: s.silentSince,
		Replaced:          s.takeover.replaced,
		Listed:            func(m replica.Member) bool { return hosts.Addresses[m.Address] },
		HostListAge:       age,
	}
}

// commit emits a Commit effect, unless an earlier commit of the same row has no known result yet.
func (s *State) commit(now time.Duration, key string, txn table.Txn) {
	if began, pending := s.takeover.pendingCommits[key]; pending && now-began < commitTimeout {
		return
	}
	s.takeover.pendingCommits[key] = now
	s.emit(Commit{Key: key, Txn: txn})
}

// handleCommitFinished marks a committed change for announcement at one of the next ticks, so that a majority applies it soon and it is accepted.
func (s *State) handleCommitFinished(e CommitFinished) {
	delete(s.takeover.pendingCommits, e.Key)
	if e.Result.Committed {
		s.takeover.unannouncedRevision = max(s.takeover.unannouncedRevision, e.Result.Revision)
	}
}

// announce tells all members of this host's latest commit. One announcement covers all commits up to its revision:
// taking over from one of 400 hosts needs more than a hundred.
func (s *State) announce(now time.Duration) {
	if s.takeover.unannouncedRevision == 0 || s.takeover.announcedAt > 0 && now-s.takeover.announcedAt < announceInterval {
		return
	}
	for _, member := range s.replica.View().Members() {
		if member.ID != s.settings.Host {
			s.emit(Announce{Member: member.ID, Address: member.Address, Revision: s.takeover.unannouncedRevision})
		}
	}
	s.takeover.unannouncedRevision, s.takeover.announcedAt = 0, now
}

// pollHoldings updates the host's holdings every holdingsInterval while its parts may change with time alone.
func (s *State) pollHoldings(now time.Duration) {
	if s.takeover.partsCurrent || now-s.takeover.holdingsUpdatedAt < holdingsInterval {
		return
	}
	s.updateHoldings(now)
}

// updateHoldings updates which parts and leases the host may use, and sets its parts if it is fresh.
func (s *State) updateHoldings(now time.Duration) {
	s.takeover.holdingsUpdatedAt = now
	s.takeover.holdings.Update(now, s.replica)
	// A host that is not fresh neither sends nor lends, so it can keep its buckets. Setting its parts to 0 would empty them.
	if s.replica.Fresh(now) {
		s.setParts(now)
		s.takeover.partsCurrent = !s.takeover.holdings.TakeoverPending()
	}
}

// LeaseFencingNumber returns the fencing number of a pool's lease; false when the host may not use the lease now.
func (s *State) LeaseFencingNumber(now time.Duration, pool string) (int64, bool) {
	return s.takeover.holdings.UsableLease(now, s.replica, pool)
}

// handOver commits the changes that give this host's parts and leases to other members.
func (s *State) handOver(now time.Duration) {
	for _, plan := range s.takeover.planner.HandOverPlans(now, s.leaseStatus(now)) {
		s.emit(Commit{Key: plan.Key, Txn: plan.Txn})
	}
}
