package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/origin"
	"magnoliahoist/quarantine"
	"magnoliahoist/queue"
	"magnoliahoist/speed"
)

// Settings are the fixed parameters of the state machine.
type Settings struct {
	Host   string // name of this host
	Domain string // failure domain of this host
	// MaxStoreSilence is how long a host serves requests that need a key without contact with the store.
	MaxStoreSilence time.Duration
	// The retry budget of all hosts together, for each pool: in RetryWindow, at most RetryShare retries for each request plus
	// RetryFloor retries.
	RetryShare  float64
	RetryFloor  float64
	RetryWindow time.Duration
}

// State is the state machine of a host: its open requests, and what it knows of pools, endpoints, client accounts and other
// hosts. It is not safe for concurrent use.
type State struct {
	settings       Settings
	catalog        *catalog.Catalog
	pools          map[string]*pool
	accounts       map[string]*account
	requests       map[uint64]*request
	members        []Member
	joined         bool // this host has become a member, and other hosts may have held its parts before
	hasPredecessor bool // before this host became a member, the process before it under its name was one
	joinedAt       time.Duration
	now            time.Duration // of the last event
	hostFraction   float64       // 1 divided by the number of hosts; 0 while this host is not among the members
	borrowingCount int           // accounts whose borrowing is active
	earning        []uint64      // numbers of the requests that wait until their tokens are earned
	loanCount      uint64        // numbers the loans that this host asked for
	ledger         *quarantine.Ledger
	trials         map[quarantine.Part]uint64 // number of the running request that tries a suspected part
	restUntil      map[string]time.Duration   // by process: when an endpoint may get requests again that has asked for rest
	candidates     []candidate                // scratch space of chooseEngine
	hostHash       uint64
	warmup         warmupState
	versions       *origin.Service
	preferredBases map[string]string // software version by pool, while records of streams can't be written
	stopping       bool              // the host has begun to stop
	endsAt         time.Duration     // when the host ends its requests, if it is stopping
	effects        []Effect
}

// pool is the state of one pool of endpoints.
type pool struct {
	spec        catalog.Pool
	byID        map[string]*endpoint // by endpoint ID
	endpoints   []*endpoint          // in ascending order of their IDs
	queue       *queue.Queue
	retryBudget retryBudget
	// canOrderAdapters says whether an order to load an adapter can be placed now.
	canOrderAdapters bool
	promptDemand     map[string]float64 // by model: prompt tokens of the requests since the last TakeDemand
	unservedAdapters map[Adapter]bool   // adapters of requests that were refused since the last TakeUnserved because no endpoint could load them
}

// New returns the state machine of a host that has no configuration and knows no endpoint.
func New(settings Settings) *State {
	return &State{
		settings:  settings,
		hostHash:  hashString(settings.Host),
		pools:     map[string]*pool{},
		accounts:  map[string]*account{},
		requests:  map[uint64]*request{},
		ledger:    quarantine.New(),
		trials:    map[quarantine.Part]uint64{},
		restUntil: map[string]time.Duration{},
		warmup:    newWarmupState(),
		versions:  origin.NewService(),
	}
}

// Apply handles one event at a monotonic time and returns what the host has to do. The result is valid until the next call.
func (s *State) Apply(now time.Duration, event Event) []Effect {
	s.effects = s.effects[:0]
	s.now = now
	switch e := event.(type) {
	case RequestArrived:
		s.handleRequestArrived(now, e)
	case ResponseStarted:
		s.handleResponseStarted(now, e.Number)
	case AttemptFinished:
		s.handleAttemptFinished(now, e)
	case RequestAbandoned:
		s.handleRequestAbandoned(now, e.Number)
	case RequestTimedOut:
		s.endRequest(now, e.Number, TimedOut)
	case HostStopping:
		s.handleHostStopping(now, e)
	case RequestStopped:
		s.endRequest(now, e.Number, Stopping)
	case Tick:
		s.handleTick(now)
	case ConfigurationChanged:
		s.handleConfigurationChanged(now, e.Catalog)
	case EndpointsChanged:
		s.handleEndpointsChanged(now, e.Endpoints)
	case MembersChanged:
		s.handleMembersChanged(now, e)
	case LoanReceived:
		s.handleLoanReceived(now, e)
	case LoanRequested:
		s.handleLoanRequested(now, e)
	case LoanRepaid:
		s.handleLoanRepaid(now, e)
	case AdapterOrderFinished:
		s.handleAdapterOrderFinished(now, e)
	case LoadsReported:
		s.handleLoadsReported(now, e)
	case EvidenceChanged:
		s.applyEvidence(now, e.Evidence)
	case BasesPreferred:
		s.preferredBases = e.Software
	case VersionsRecalled:
		s.versions.Recall(now, e.Sightings)
	case EndpointResting:
		s.handleEndpointResting(now, e)
	case EndpointCold:
		s.handleEndpointCold(now, e)
	case AdapterOrdersChanged:
		s.poolByName(e.Pool).canOrderAdapters = e.Possible
		s.dispatchAllQueued(now)
	}
	return s.effects
}

// ActiveRequests returns the number of requests that have not ended, queued ones included.
func (s *State) ActiveRequests() int { return len(s.requests) }

// QueuedRequests returns the number of requests that are queued for an endpoint.
func (s *State) QueuedRequests() int {
	waiting := 0
	for _, p := range s.pools {
		waiting += p.queue.Len()
	}
	return waiting
}

// NeedsTicks reports whether requests wait for something that a Tick brings: room at an endpoint, or tokens.
func (s *State) NeedsTicks() bool {
	return s.QueuedRequests() > 0 || len(s.earning) > 0 || s.borrowingCount > 0
}

// Ready reports whether the host can serve requests: it has a configuration, it is among the members if the configuration
// has keys and may use its parts of the accounts' rates (but does not wait for these for long), and it knows an endpoint if there are any pools.
func (s *State) Ready() bool {
	if s.catalog == nil || s.catalog.RequiresKeys() && s.hostFraction <= 0 || s.awaitsParts() {
		return false
	}
	for _, p := range s.pools {
		if len(p.byID) > 0 {
			return true
		}
	}
	return len(s.pools) == 0
}

// emit adds an effect to the result of Apply.
func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

// handleConfigurationChanged puts a version of the configuration into force. It ignores versions that are not newer than the one in
// force.
func (s *State) handleConfigurationChanged(now time.Duration, c *catalog.Catalog) {
	if s.catalog != nil && c.Version() <= s.catalog.Version() {
		return
	}
	s.catalog = c
	for _, name := range c.Pools() {
		spec, _ := c.PoolByName(name)
		p := s.poolByName(name)
		p.spec = spec
	}
	s.setAccountParts(now)
	s.dispatchAllQueued(now)
}

// poolByName returns the state of a pool and creates it if needed: endpoints may register before the configuration names
// their pool.
func (s *State) poolByName(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{spec: catalog.Pool{Name: name}, byID: map[string]*endpoint{}, queue: queue.New(), promptDemand: map[string]float64{}, unservedAdapters: map[Adapter]bool{}}
		s.pools[name] = p
	}
	return p
}

// handleEndpointsChanged replaces the list of endpoints. It keeps the state of the processes that are still in the list.
func (s *State) handleEndpointsChanged(now time.Duration, list []directory.Endpoint) {
	for _, p := range s.pools {
		p.endpoints = p.endpoints[:0]
	}
	registered, versions := make(map[string]bool, len(list)), map[origin.Version]bool{}
	for _, e := range list {
		versions[origin.Version{Pool: e.Pool, Software: e.Software}] = true
		registered[e.ID] = true
		p := s.poolByName(e.Pool)
		ep := p.byID[e.ID]
		if ep == nil || !ep.SameProcess(e) {
			ep = newEndpoint(now, e)
			ep.restUntil = s.restUntil[e.Process()]
			s.noteNewProcess(now, ep)
			p.byID[e.ID] = ep
		}
		s.noteReturn(now, ep, e)
		ep.update(now, e)
		p.endpoints = append(p.endpoints, ep)
	}
	for _, p := range s.pools {
		for id, ep := range p.byID {
			if !registered[id] || ep.Pool != p.spec.Name {
				s.noteGoneProcess(now, ep)
				delete(p.byID, id)
			}
		}
	}
	s.versions.Observe(now, versions)
	s.warmup.following = true
	s.dispatchAllQueued(now)
}

// handleLoadsReported stores the load that other hosts put on endpoints.
func (s *State) handleLoadsReported(now time.Duration, e LoadsReported) {
	p := s.pools[e.Pool]
	if p == nil {
		return
	}
	for _, load := range e.Loads {
		if ep := p.byID[load.Endpoint]; ep != nil {
			ep.setOthersLoad(now, load)
		}
	}
}

// handleTick repays the loans that have ended, asks the next lender in place of silent ones, and dispatches the queued requests.
func (s *State) handleTick(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[name]
		s.repay(name, a.ledger.RepayExpired(now))
		s.repay(name, a.ledger.RepayIdle(now, borrowAhead))
		s.passSilentLender(now, name, a)
		s.advanceGain(now, name, a)
	}
	s.enqueueEarned(now)
	maps.DeleteFunc(s.restUntil, func(_ string, until time.Duration) bool { return now >= until })
	s.dispatchAllQueued(now)
}

// TakeDemand returns, by model, the prompt tokens of the requests that arrived for a pool since the last call. It returns nil
// for an unknown pool.
func (s *State) TakeDemand(name string) map[string]float64 {
	p := s.pools[name]
	if p == nil {
		return nil
	}
	demand := p.promptDemand
	p.promptDemand = make(map[string]float64, len(demand))
	return demand
}

// TakeUnserved returns the adapters of the requests that were refused since the last call because no endpoint of the pool
// could load them.
func (s *State) TakeUnserved(name string) []Adapter {
	p := s.pools[name]
	if p == nil || len(p.unservedAdapters) == 0 {
		return nil
	}
	list := slices.SortedFunc(maps.Keys(p.unservedAdapters), func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(p.unservedAdapters)
	return list
}

// TakeLoads returns the load that this host puts on the endpoints of a pool, and the adapters that its attempts have used since
// the last call. It returns nil for an unknown pool and leaves out endpoints without any.
func (s *State) TakeLoads(now time.Duration, name string) []Load {
	p := s.pools[name]
	if p == nil {
		return nil
	}
	var loads []Load
	for _, ep := range p.endpoints {
		if ep.running == 0 && len(ep.usedAdapters) == 0 && ep.prefill.IsZero() {
			continue
		}
		load := Load{Endpoint: ep.ID, Running: ep.running, Prefill: ep.prefill}
		ep.prefill = speed.Sample{}
		ep.advancePending(now)
		for level, tokens := range ep.pending {
			load.Backlog[level] = int64(tokens)
		}
		for adapter := range ep.usedAdapters {
			load.UsedAdapters = append(load.UsedAdapters, adapter)
		}
		clear(ep.usedAdapters)
		loads = append(loads, load)
	}
	return loads
}

// Deadline returns the time at which a request times out; 0 when the request has ended.
func (s *State) Deadline(number uint64) time.Duration {
	if r := s.requests[number]; r != nil {
		return r.deadline
	}
	return 0
}
