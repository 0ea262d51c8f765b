package dispatch

import (
	"maps"
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/directory"
	"magnoliahoist/queue"
)

// Settings are the fixed parameters of the reducer.
type Settings struct {
	Host   string // name of this host
	Domain string // failure domain
	// RetryShare and RetryFloor bound the attempts after the first, over all hosts: a share of the requests
	// and a number of them, in RetryWindow.
	RetryShare  float64
	RetryFloor  float64
	RetryWindow time.Duration
}

// State is what a host knows of requests and endpoints. It is not safe for concurrent use.
type State struct {
	settings Settings
	catalog  *catalog.Catalog
	pools    map[string]*pool
	accounts map[string]*account
	requests map[uint64]*request
	members  []Member
	fraction float64 // one part for each host; 0 while this host is not a member
	loans    uint64
	effects  []Effect
}

// pool is what the host keeps of one pool.
type pool struct {
	spec    catalog.Pool
	nodes   map[string]*node // by id of the endpoint
	ordered []*node          // in ascending order of their ids
	queue   *queue.Queue
	budget  budget
	// orderable says that adapters can be ordered.
	orderable bool
	demand    map[string]float64 // prompt tokens asked of each model since the last Demand
}

// New returns the state of a host that knows nothing yet.
func New(settings Settings) *State {
	return &State{
		settings: settings,
		pools:    map[string]*pool{},
		accounts: map[string]*account{},
		requests: map[uint64]*request{},
	}
}

// Apply takes one event at a monotonic time and returns what has to be done.
// The result is valid until the next call.
func (s *State) Apply(now time.Duration, event Event) []Effect {
	s.effects = s.effects[:0]
	switch e := event.(type) {
	case Arrive:
		s.arrive(now, e)
	case First:
		s.first(now, e.Number)
	case Finished:
		s.finished(now, e)
	case Left:
		s.left(now, e.Number)
	case Expired:
		s.expired(now, e.Number)
	case Tick:
		s.tick(now)
	case Configured:
		s.configured(now, e.Catalog)
	case Registered:
		s.registered(now, e.Endpoints)
	case Joined:
		s.joined(now, e)
	case Lent:
		s.lent(now, e)
	case Asks:
		s.asks(now, e)
	case Repaid:
		s.repaid(now, e)
	case Fetched:
		s.fetched(now, e)
	case Observed:
		s.observed(now, e)
	case Orderable:
		s.poolByName(e.Pool).orderable = e.Possible
		s.dispatchAll(now)
	}
	return s.effects
}

// Running returns the number of requests that have not ended.
func (s *State) Running() int { return len(s.requests) }

// Waiting returns the number of requests that wait for an endpoint.
func (s *State) Waiting() int {
	waiting := 0
	for _, p := range s.pools {
		waiting += p.queue.Len()
	}
	return waiting
}

// Ready reports whether the host can serve: it knows a configuration, its part of the allowances, and an endpoint if
// there is any pool.
func (s *State) Ready() bool {
	if s.catalog == nil || s.catalog.Keyed() && s.fraction <= 0 {
		return false
	}
	for _, p := range s.pools {
		if len(p.nodes) > 0 {
			return true
		}
	}
	return len(s.pools) == 0
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

// configured takes a version of the configuration; older ones than that in force are ignored.
func (s *State) configured(now time.Duration, c *catalog.Catalog) {
	if s.catalog != nil && c.Version() <= s.catalog.Version() {
		return
	}
	s.catalog = c
	for _, name := range c.Pools() {
		spec, _ := c.PoolByName(name)
		p := s.poolByName(name)
		p.spec = spec
	}
	s.shareOut(now)
	s.dispatchAll(now)
}

// poolByName returns the state of a pool. Endpoints may register before the configuration names their pool.
func (s *State) poolByName(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{spec: catalog.Pool{Name: name}, nodes: map[string]*node{}, queue: queue.New(), demand: map[string]float64{}}
		s.pools[name] = p
	}
	return p
}

// registered takes the list of endpoints and keeps what is known of processes that stay.
func (s *State) registered(now time.Duration, list []directory.Endpoint) {
	for _, p := range s.pools {
		p.ordered = p.ordered[:0]
	}
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		p := s.poolByName(e.Pool)
		n := p.nodes[e.ID]
		if n == nil || !n.Same(e) {
			n = newNode(now, e)
			p.nodes[e.ID] = n
		}
		n.register(now, e)
		p.ordered = append(p.ordered, n)
	}
	for _, p := range s.pools {
		for id, n := range p.nodes {
			if !present[id] || n.Pool != p.spec.Name {
				delete(p.nodes, id)
			}
		}
	}
	s.dispatchAll(now)
}

// observed takes the load of other hosts.
func (s *State) observed(now time.Duration, e Observed) {
	p := s.pools[e.Pool]
	if p == nil {
		return
	}
	for _, l := range e.Loads {
		if n := p.nodes[l.Endpoint]; n != nil {
			n.observe(now, l)
		}
	}
}

func (s *State) tick(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[name]
		s.repay(name, a.ledger.Sweep(now))
	}
	s.dispatchAll(now)
}

// Demand returns the prompt tokens asked of each model of a pool since the last call.
func (s *State) Demand(name string) map[string]float64 {
	p := s.pools[name]
	if p == nil {
		return nil
	}
	demand := p.demand
	p.demand = make(map[string]float64, len(demand))
	return demand
}

// Loads returns what this host has under way at the endpoints of a pool, and the adapters that its attempts have
// used since the last call.
func (s *State) Loads(now time.Duration, name string) []Load {
	p := s.pools[name]
	if p == nil {
		return nil
	}
	var loads []Load
	for _, n := range p.ordered {
		if n.running == 0 && len(n.used) == 0 {
			continue
		}
		l := Load{Endpoint: n.ID, Running: n.running}
		n.drain(now)
		for level, tokens := range n.backlog {
			l.Backlog[level] = int64(tokens)
		}
		for a := range n.used {
			l.Used = append(l.Used, a)
		}
		clear(n.used)
		loads = append(loads, l)
	}
	return loads
}

// Deadline returns the end of a request's time; 0 when the request has ended.
func (s *State) Deadline(number uint64) time.Duration {
	if r := s.requests[number]; r != nil {
		return r.deadline
	}
	return 0
}
