package state

import (
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/limit"
	"magnoliahoist/pool"
	"magnoliahoist/queue"
	"magnoliahoist/replica"
)

// Settings are the parameters of a host's State; they are fixed while the process runs.
type Settings struct {
	Host              string        // member id of this host
	Domain            string        // failure domain of this host
	Group             string        // group of members a majority of which keeps the host fresh
	FreshnessWindow   time.Duration // how long the host is fresh after an exchange
	TablePollInterval time.Duration // time between two reads of the table service
	MaxAttempts       int           // for one request, the first included
	HoldersPerAccount int           // hosts that share an account's allowance
	EndpointView      endpoint.Settings
	// FirstInFirstOut queues requests in order of arrival, without fairness between accounts. Only the benchmark sets it, as a baseline.
	FirstInFirstOut bool
}

// State is the state machine of a host: its copy of the shared state, its queues, its requests and its parts of the accounts' allowances.
// It is not safe for concurrent use.
type State struct {
	settings         Settings
	replica          *replica.Replica
	pools            map[string]*poolState
	poolsInOrder     []*poolState // in the order in which they were added
	accounts         map[string]*accountState
	requests         map[uint64]*request
	silentSince      map[string]time.Duration // by member id: since when it has not responded
	leavingAddresses map[string]bool          // addresses that the platform lists as leaving
	draining         bool
	sync             syncState
	takeover         takeoverState
	loanCount        uint64        // loans asked for; makes loan ids unique
	expiredRepaidAt  time.Duration // when expired loans were last repaid
	effects          []Effect
}

// poolState is the queue of one pool and the view of its endpoints.
type poolState struct {
	pool  pool.Pool
	queue *queue.Queue
	view  *endpoint.View

	reportedLeaving map[string]bool  // by endpoint name: whether its last report says that it is leaving
	usedTokens      map[string]int64 // by model: tokens used since the process started
}

// accountState is one client account's tokens on this host and the loans that it has asked for.
type accountState struct {
	ledger *limit.Ledger
	round  loanRound
}

// New returns the state of a host that has no copy of the shared state yet.
func New(settings Settings) *State {
	return &State{
		settings:         settings,
		replica:          replica.New(settings.Host, settings.Group, settings.FreshnessWindow),
		pools:            map[string]*poolState{},
		accounts:         map[string]*accountState{},
		requests:         map[uint64]*request{},
		silentSince:      map[string]time.Duration{},
		leavingAddresses: map[string]bool{},
		takeover:         newTakeoverState(settings),
	}
}

// Apply changes the state by one event, which happened at the time now, and returns the effects that the host must carry out.
// Now is monotonic since the start of the process. The result is valid until the next call.
func (s *State) Apply(now time.Duration, event Event) []Effect {
	s.effects = s.effects[:0]
	switch e := event.(type) {
	case RequestArrived:
		s.handleRequestArrived(now, e)
	case IntentRecorded:
		s.handleIntentRecorded(now, e)
	case AttemptFinished:
		s.handleAttemptFinished(now, e)
	case RequestAbandoned:
		s.handleRequestAbandoned(now, e)
	case Tick:
		s.tick(now)
	case RowsReceived:
		s.handleRowsReceived(now, e)
	case RevisionApplied:
		s.replica.RecordApplied(e.Member, e.Revision)
	case MemberSilent:
		s.handleMemberSilent(now, e.Member)
	case MemberResponded:
		delete(s.silentSince, e.Member)
	case LoanReceived:
		s.handleLoanReceived(now, e)
	case LoanRequested:
		s.handleLoanRequested(now, e)
	case LoanRepaid:
		s.handleLoanRepaid(now, e)
	case LeavingListed:
		s.handleLeavingListed(e)
	case LoadsReported:
		s.handleLoadsReported(now, e)
	case DrainStarted:
		s.draining = true
	case CommitFinished:
		s.handleCommitFinished(e)
	case HostsListed:
		s.takeover.hostList = e
	case MemberReplaced:
		s.takeover.replaced[e.Member] = true
	case HandOverStarted:
		s.handOver(now)
	}
	return s.effects
}

// Replica returns the copy of the shared state.
func (s *State) Replica() *replica.Replica { return s.replica }

// ActiveRequests returns the number of requests that have not ended, queued ones included.
func (s *State) ActiveRequests() int { return len(s.requests) }

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

func (s *State) handleMemberSilent(now time.Duration, member string) {
	if _, known := s.silentSince[member]; !known {
		s.silentSince[member] = now
	}
}
