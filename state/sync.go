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

// memberPollInterval is the shortest time between two exchanges with other members, which replace the table service while it is unreachable.
const memberPollInterval = 500 * time.Millisecond

// Bounds of the exchanges that keep a host fresh while the table service is unreachable. A witness is a member of the host's
// own group that it asks for changes. Asking all of 133 members each time took five times the messages that a host may spend on control.
const (
	maxAskedAtOnce      = 8 // highest number of witnesses that are asked all at once
	witnessesPerSpare   = 8 // group members for each witness beyond a majority; the spare ones replace witnesses that fail between two turns
	lowFreshnessDivisor = 4 // all members of the group are asked when less than 1/4 of the freshness window is left
	witnessTurns        = 2 // turns in which every witness is asked once; together they fit into half of the freshness window
)

// syncState records when and whom the host last asked for changes.
type syncState struct {
	tableReadAt    time.Duration // start of the last read of the table service
	membersAskedAt time.Duration // start of the last exchange with other members
	nextWitness    int           // index among the witnesses at which the next turn begins
	started        bool          // the first read of the table service has been asked for
}

// tick does the periodic work: it asks for changes, announces commits, plans takeovers, repays expired loans, refuses requests
// that have waited too long and sends queued ones. A host that is not fresh stops all requests instead.
func (s *State) tick(now time.Duration) {
	s.requestChanges(now)
	s.announce(now)
	s.watchMembers(now)
	s.pollHoldings(now)
	s.repayExpiredLoans(now)
	if !s.replica.Fresh(now) {
		s.stopAll(now, HostStale)
		return
	}
	for _, p := range s.poolsInOrder {
		for _, item := range p.queue.Expire(now) {
			s.expire(now, item.ID)
		}
		if p.queue.Len() > 0 {
			s.dispatch(now, p)
		}
	}
}

// requestChanges asks the table service for changes at every poll, and other members too once half of the freshness window has passed without a successful exchange.
func (s *State) requestChanges(now time.Duration) {
	if !s.sync.started || now-s.sync.tableReadAt >= s.settings.TablePollInterval {
		s.sync.started = true
		s.sync.tableReadAt = now
		s.emit(ReadTable{After: s.replica.View().Revision()})
	}
	if s.replica.FreshUntil()-now > s.settings.FreshnessWindow/2 || now-s.sync.membersAskedAt < memberPollInterval {
		return
	}
	s.sync.membersAskedAt = now
	for _, member := range s.sync.nextTurn(s.witnesses(now)) {
		s.emit(SyncMember{Member: member.ID, Address: member.Address, After: s.replica.View().Revision()})
	}
}

// witnesses returns the other members of the group that the host asks to stay fresh: a majority of the group and some spare ones,
// in the order of ids after its own. Silent members come last, so they are asked only when too few others remain.
// When freshness is about to end, it returns all members of the group.
func (s *State) witnesses(now time.Duration) []replica.Member {
	var responsive, silent []replica.Member
	members := s.membersAfterSelf()
	size := 1
	for _, member := range members {
		if member.Group != s.settings.Group {
			continue
		}
		size++
		if _, isSilent := s.silentSince[member.ID]; isSilent {
			silent = append(silent, member)
			continue
		}
		responsive = append(responsive, member)
	}
	list := append(responsive, silent...)
	if s.replica.FreshUntil()-now < s.settings.FreshnessWindow/lowFreshnessDivisor {
		return list
	}
	need := max(size/2+1+size/witnessesPerSpare, maxAskedAtOnce)
	return list[:min(need, len(list))]
}

// nextTurn returns the witnesses to ask now: all of up to maxAskedAtOnce, or the next part of a longer list.
func (s *syncState) nextTurn(witnesses []replica.Member) []replica.Member {
	if len(witnesses) <= maxAskedAtOnce {
		return witnesses
	}
	n := (len(witnesses) + witnessTurns - 1) / witnessTurns
	list := make([]replica.Member, 0, n)
	for i := range n {
		list = append(list, witnesses[(s.nextWitness+i)%len(witnesses)])
	}
	s.nextWitness = (s.nextWitness + n) % len(witnesses)
	return list
}

// expire refuses a queued request that has reached its deadline: as rate limited if its account lacks tokens, else as overloaded.
func (s *State) expire(now time.Duration, id uint64) {
	r := s.requests[id]
	if r == nil {
		return
	}
	if shortfall := s.accounts[r.account.Name].ledger.Shortfall(now, r.maxCost); shortfall > 0 {
		s.refuse(r, RateLimited, s.borrowPause(r.account.Name, shortfall))
		return
	}
	s.refuse(r, Overloaded, minBorrowPause)
}

// sortedRequests returns the requests in the order of their ids, so that the same events always give the same effects.
func (s *State) sortedRequests() []*request {
	list := slices.Collect(maps.Values(s.requests))
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

// stopAll refuses every queued request and aborts every running one.
func (s *State) stopAll(now time.Duration, reason Reason) {
	for _, r := range s.sortedRequests() {
		s.stop(now, r.Request, r, reason)
	}
}

// stop aborts a running request, and refuses one that is not running yet.
func (s *State) stop(now time.Duration, id uint64, r *request, reason Reason) {
	switch r.phase {
	case running:
		s.emit(AbortRequest{Request: id, Reason: reason})
	case queued:
		s.pools[r.route.Pool].queue.Remove(id)
		s.refuse(r, reason, 0)
	case recordingIntent:
		s.refuse(r, reason, 0)
	}
}

// updatePendingHoldings updates the host's parts after an exchange that may have made it fresh again. Rows applied while it was not
// fresh may have lowered its parts, and it must not send or lend by the old ones.
func (s *State) updatePendingHoldings(now time.Duration) {
	if !s.takeover.partsCurrent {
		s.updateHoldings(now)
	}
}

// handleRowsReceived applies rows to the host's copy of the shared state, then updates pools and parts, stops requests that are no longer allowed, and dispatches.
func (s *State) handleRowsReceived(now time.Duration, e RowsReceived) {
	before := s.replica.View()
	s.replica.RaiseSettledRevision(e.Settled)
	if !s.replica.ApplySnapshot(now, e.StartedAt, e.Source, e.After, e.Rows) {
		return
	}
	// Without rows only the revision has risen: writes to rows outside the shared state raise it, too.
	if s.replica.View() == before || len(e.Rows.Rows) == 0 {
		s.updatePendingHoldings(now)
		return
	}
	s.takeover.partsCurrent, s.takeover.nothingDue = false, false
	s.setPools(now)
	s.updateHoldings(now)
	s.stopDisallowed(now)
	s.dispatchAll(now)
}

// stopDisallowed stops requests that the changed routes or keys no longer allow.
func (s *State) stopDisallowed(now time.Duration) {
	for _, r := range s.sortedRequests() {
		found, known := s.routeOf(r.RequestArrived)
		name, reason := s.accountOf(r.RequestArrived, found, known)
		if reason == NoReason && (!known || !found.Allows(name)) {
			reason = RouteNotAllowed
		}
		if reason != NoReason {
			s.stop(now, r.Request, r, reason)
		}
	}
}

// setPools adds new pools and updates the endpoints and models of the others. A pool that was removed from the table
// stays in State.pools with its last endpoints: stopDisallowed stops its requests if their route was removed too, and the others may fail.
func (s *State) setPools(now time.Duration) {
	for _, entry := range s.replica.View().Pools() {
		p := s.pools[entry.Name]
		if p == nil {
			p = &poolState{
				queue:           queue.New(),
				view:            endpoint.New(s.settings.EndpointView),
				reportedLeaving: map[string]bool{},
				usedTokens:      map[string]int64{},
			}
			s.pools[entry.Name] = p
			s.poolsInOrder = append(s.poolsInOrder, p)
		}
		p.pool = entry
		p.view.SetEndpoints(now, endpointsOf(entry))
		p.view.SetConfiguredModels(entry.Name, modelsOf(entry))
		s.updateLeaving(p)
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
			Fenced:  e.ChecksFencing,
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

func (s *State) handleLeavingListed(e LeavingListed) {
	s.leavingAddresses = e.Addresses
	for _, p := range s.poolsInOrder {
		s.updateLeaving(p)
	}
}

// updateLeaving marks the endpoints that are leaving according to the platform's list or their own last report.
func (s *State) updateLeaving(p *poolState) {
	for _, e := range p.pool.Endpoints {
		p.view.SetLeaving(e.Name, s.leavingAddresses[e.Address] || p.reportedLeaving[e.Name])
	}
}

func (s *State) handleLoadsReported(now time.Duration, e LoadsReported) {
	p := s.pools[e.Pool]
	if p == nil {
		return
	}
	for _, load := range e.Endpoints {
		p.view.SetReport(now, load.Endpoint, load.Report)
		p.view.SetResidentModels(load.Endpoint, load.ResidentModels)
		p.reportedLeaving[load.Endpoint] = load.Leaving
	}
	s.updateLeaving(p)
	s.dispatch(now, p)
}

func (s *State) dispatchAll(now time.Duration) {
	for _, p := range s.poolsInOrder {
		if p.queue.Len() > 0 {
			s.dispatch(now, p)
		}
	}
}
