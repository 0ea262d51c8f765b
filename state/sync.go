package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/pool"
	"magnoliahoist/queue"
	"magnoliahoist/replica"
)

// memberPoll is the time between two exchanges with members while the table service is out of reach.
const memberPoll = 500 * time.Millisecond

// Bounds of the exchanges that keep a host fresh while the table service is out of reach. With all of
// 133 members asked each time, they took five times the messages that a host may spend on control.
const (
	smallGroup     = 8 // members that are asked all at once
	spareWitnesses = 8 // one more witness for so many members, for those that fail between two turns
	endingShare    = 4 // share of the window below which all members are asked
	witnessRounds  = 2 // turns after which every witness was asked; both fit into half of the window
)

// syncState says when the host last tried to learn of changes.
type syncState struct {
	read    time.Duration // last read of the table service
	members time.Duration // last exchange with the members
	turn    int           // place among the witnesses at which the next turn begins
	began   bool
}

// tick refuses what has waited too long, ends what may not go on, and keeps the copy of the shared state current.
func (s *State) tick(now time.Duration) {
	s.exchange(now)
	s.announce(now)
	s.watchMembers(now)
	s.followHoldings(now)
	s.sweepLoans(now)
	if !s.replica.Fresh(now) {
		s.stopAll(now, Stale)
		return
	}
	for _, p := range s.ordered {
		for _, item := range p.queue.Expire(now) {
			s.expire(now, item.ID)
		}
		if p.queue.Len() > 0 {
			s.dispatch(now, p)
		}
	}
}

// exchange asks for changes: the table service at every poll, the members when freshness is running out.
func (s *State) exchange(now time.Duration) {
	if !s.sync.began || now-s.sync.read >= s.settings.Poll {
		s.sync.began = true
		s.sync.read = now
		s.emit(ReadTable{After: s.replica.View().Revision()})
	}
	if s.replica.FreshUntil()-now > s.settings.Window/2 || now-s.sync.members < memberPoll {
		return
	}
	s.sync.members = now
	for _, member := range s.sync.next(s.witnesses(now)) {
		s.emit(SyncMember{Member: member.ID, Address: member.Address, After: s.replica.View().Revision()})
	}
}

// witnesses returns the other members of the group with which the host stays fresh: a majority of the
// group and some to spare, in the order of ids after its own, those that answer first. Those that do
// not answer are among them only when the others do not suffice, and all are when freshness is ending.
func (s *State) witnesses(now time.Duration) []replica.Member {
	var answering, silent []replica.Member
	members := s.following()
	size := 1
	for _, member := range members {
		if member.Group != s.settings.Group {
			continue
		}
		size++
		if _, missed := s.silent[member.ID]; missed {
			silent = append(silent, member)
			continue
		}
		answering = append(answering, member)
	}
	list := append(answering, silent...)
	if s.replica.FreshUntil()-now < s.settings.Window/endingShare {
		return list
	}
	need := max(size/2+1+size/spareWitnesses, smallGroup)
	return list[:min(need, len(list))]
}

// next returns the witnesses to ask now. Small groups are asked as a whole, larger ones in turns.
func (s *syncState) next(witnesses []replica.Member) []replica.Member {
	if len(witnesses) <= smallGroup {
		return witnesses
	}
	n := (len(witnesses) + witnessRounds - 1) / witnessRounds
	list := make([]replica.Member, 0, n)
	for i := range n {
		list = append(list, witnesses[(s.turn+i)%len(witnesses)])
	}
	s.turn = (s.turn + n) % len(witnesses)
	return list
}

// expire refuses a request that has waited for its longest time.
func (s *State) expire(now time.Duration, id uint64) {
	r := s.requests[id]
	if r == nil {
		return
	}
	if missing := s.accounts[r.account.Name].ledger.Missing(now, r.bound); missing > 0 {
		s.refuse(r, RateLimited, s.borrowPause(r.account.Name, missing))
		return
	}
	s.refuse(r, Overloaded, minBorrowPause)
}

// sortedRequests returns the requests by id, so that the same events give the same effects.
func (s *State) sortedRequests() []*request {
	list := slices.Collect(maps.Values(s.requests))
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

// stopAll refuses every waiting request and cuts every running one.
func (s *State) stopAll(now time.Duration, reason Reason) {
	for _, r := range s.sortedRequests() {
		s.stop(now, r.Request, r, reason)
	}
}

// stop ends a request that may not go on.
func (s *State) stop(now time.Duration, id uint64, r *request, reason Reason) {
	switch r.phase {
	case running:
		s.emit(Cut{Request: id, Reason: reason})
	case queued:
		s.pools[r.route.Pool].queue.Remove(id)
		s.refuse(r, reason, 0)
	case beginning:
		s.refuse(r, reason, 0)
	}
}

// catchUp sets the shares when the exchange has made the host fresh: rows that it learned before may have
// lowered its parts, and nothing may be sent or lent by the old ones.
func (s *State) catchUp(now time.Duration) {
	if !s.takeover.current {
		s.updateHoldings(now)
	}
}

// learned applies rows of the shared state.
func (s *State) learned(now time.Duration, e Learned) {
	before := s.replica.View()
	s.replica.Settle(e.Settled)
	if !s.replica.Learn(now, e.Started, e.Source, e.After, e.Rows) {
		return
	}
	// The table's revision rises with rows outside the shared state, too.
	if s.replica.View() == before || len(e.Rows.Rows) == 0 {
		s.catchUp(now)
		return
	}
	s.takeover.current, s.takeover.idle = false, false
	s.setPools(now)
	s.updateHoldings(now)
	s.recheck(now)
	s.dispatchAll(now)
}

// recheck stops requests that the changed tables or keys no longer allow.
func (s *State) recheck(now time.Duration) {
	for _, r := range s.sortedRequests() {
		found, known := s.routeOf(r.Arrive)
		name, reason := s.accountOf(r.Arrive, found, known)
		if reason == NoReason && (!known || !found.Allows(name)) {
			reason = NotAllowed
		}
		if reason != NoReason {
			s.stop(now, r.Request, r, reason)
		}
	}
}

// setPools applies the pools table; requests of a pool that is gone are stopped by recheck or fail.
func (s *State) setPools(now time.Duration) {
	for _, entry := range s.replica.View().Pools() {
		p := s.pools[entry.Name]
		if p == nil {
			p = &poolState{
				queue:   queue.New(),
				view:    endpoint.New(s.settings.View),
				leaving: map[string]bool{},
				used:    map[string]int64{},
			}
			s.pools[entry.Name] = p
			s.ordered = append(s.ordered, p)
		}
		p.pool = entry
		p.view.SetEndpoints(now, endpointsOf(entry))
		p.view.SetNamed(entry.Name, modelsOf(entry))
		s.setLeaving(p)
	}
}

func endpointsOf(entry pool.Pool) []endpoint.Endpoint {
	list := make([]endpoint.Endpoint, len(entry.Endpoints))
	for i, e := range entry.Endpoints {
		list[i] = endpoint.Endpoint{
			Name:    e.Name,
			Address: e.Address,
			Domain:  e.Domain,
			Pool:    entry.Name,
			Slots:   e.Slots,
			Fenced:  e.Fenced,
		}
	}
	return list
}

func modelsOf(entry pool.Pool) []string {
	names := make([]string, len(entry.Models))
	for i, model := range entry.Models {
		names[i] = model.Name
	}
	return names
}

func (s *State) listed(e Listed) {
	s.leaving = e.Leaving
	for _, p := range s.ordered {
		s.setLeaving(p)
	}
}

// setLeaving marks the endpoints that are leaving by the platform's list or by their own report.
func (s *State) setLeaving(p *poolState) {
	for _, e := range p.pool.Endpoints {
		p.view.SetLeaving(e.Name, s.leaving[e.Address] || p.leaving[e.Name])
	}
}

func (s *State) reported(now time.Duration, e Reported) {
	p := s.pools[e.Pool]
	if p == nil {
		return
	}
	for _, load := range e.Endpoints {
		p.view.SetReport(now, load.Endpoint, load.Report)
		p.view.SetHolding(load.Endpoint, load.Holding)
		p.leaving[load.Endpoint] = load.Leaving
	}
	s.setLeaving(p)
	s.dispatch(now, p)
}

func (s *State) dispatchAll(now time.Duration) {
	for _, p := range s.ordered {
		if p.queue.Len() > 0 {
			s.dispatch(now, p)
		}
	}
}
