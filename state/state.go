package state

import (
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/limit"
	"magnoliahoist/pool"
	"magnoliahoist/queue"
	"magnoliahoist/replica"
)

// Settings are the fixed parameters of the reducer.
type Settings struct {
	Host     string        // member id of this host
	Domain   string        // failure domain
	Group    string        // witness group
	Window   time.Duration // freshness after an exchange
	Poll     time.Duration // between two reads of the table service
	Attempts int           // of a request at most, the first included
	Holders  int           // of an account's allowance
	View     endpoint.Settings
	// FirstCome serves queues in order of arrival whatever the account; the benchmark compares with it.
	FirstCome bool
}

// State is everything that a host knows. It is not safe for concurrent use.
type State struct {
	settings Settings
	replica  *replica.Replica
	pools    map[string]*poolState
	ordered  []*poolState // in the order in which they became known
	accounts map[string]*accountState
	requests map[uint64]*request
	silent   map[string]time.Duration // members that do not answer, since when
	leaving  map[string]bool          // endpoint addresses
	draining bool
	sync     syncState
	takeover takeoverState
	loans    uint64
	swept    time.Duration // last return of ended loans
	effects  []Effect
}

// poolState is what the host keeps of one pool.
type poolState struct {
	pool  pool.Pool
	queue *queue.Queue
	view  *endpoint.View

	leaving map[string]bool  // endpoints that say so in their last report
	used    map[string]int64 // tokens used since the start, by model
}

// accountState is what the host keeps of one client account.
type accountState struct {
	ledger *limit.Ledger
	borrow borrowState
}

// New returns the state of a host that knows nothing yet.
func New(settings Settings) *State {
	return &State{
		settings: settings,
		replica:  replica.New(settings.Host, settings.Group, settings.Window),
		pools:    map[string]*poolState{},
		accounts: map[string]*accountState{},
		requests: map[uint64]*request{},
		silent:   map[string]time.Duration{},
		leaving:  map[string]bool{},
		takeover: newTakeoverState(settings),
	}
}

// Apply takes one event at a monotonic time and returns what has to be done.
// The result is valid until the next call.
func (s *State) Apply(now time.Duration, event Event) []Effect {
	s.effects = s.effects[:0]
	switch e := event.(type) {
	case Arrive:
		s.arrive(now, e)
	case Begun:
		s.begun(now, e)
	case Finished:
		s.finished(now, e)
	case Left:
		s.left(now, e)
	case Tick:
		s.tick(now)
	case Learned:
		s.learned(now, e)
	case Acked:
		s.replica.Acked(e.Member, e.Revision)
	case Missed:
		s.missed(now, e.Member)
	case Answered:
		delete(s.silent, e.Member)
	case Lent:
		s.lent(now, e)
	case Asks:
		s.asks(now, e)
	case Repaid:
		s.repaid(now, e)
	case Listed:
		s.listed(e)
	case Reported:
		s.reported(now, e)
	case Drain:
		s.draining = true
	case Committed:
		s.committed(e)
	case Hosts:
		s.takeover.hosts = e
	case Replaced:
		s.takeover.replaced[e.Member] = true
	case HandOver:
		s.handOver(now)
	}
	return s.effects
}

// Replica returns the copy of the shared state.
func (s *State) Replica() *replica.Replica { return s.replica }

// Running returns the number of requests that have not ended.
func (s *State) Running() int { return len(s.requests) }

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

func (s *State) missed(now time.Duration, member string) {
	if _, known := s.silent[member]; !known {
		s.silent[member] = now
	}
}
