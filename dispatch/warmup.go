package dispatch

import (
	"cmp"
	"slices"
	"time"

	"magnoliahoist/directory"
	"magnoliahoist/warmup"
)

// goneProcessMemory is the minimum time for which a process whose registration has lapsed is not taken for a new one if it registers
// again.
const goneProcessMemory = time.Hour

// warmupState is what the host knows of cold engines apart from their processes.
type warmupState struct {
	senders   map[string]*warmup.Sender // by ID of the engine, so that a restart of the engine does not end the pause between two requests
	names     []string                  // of the hosts, in ascending order
	namesAt   time.Duration             // last change of names
	following bool                      // a list of endpoints has been received
	gone      map[string]goneProcess    // by process
	prunedAt  time.Duration             // last removal of old entries from gone
	heldBack  uint64                    // requests that were refused or not sent because of cold engines and evacuations
}

// goneProcess is a process whose registration was removed.
type goneProcess struct {
	id string // of the endpoint
	at time.Duration
}

func newWarmupState() warmupState {
	return warmupState{senders: map[string]*warmup.Sender{}, gone: map[string]goneProcess{}}
}

// EndpointCold says that a process of an endpoint has stated in a response how much longer it is cold.
type EndpointCold struct {
	Endpoint directory.Endpoint
	For      time.Duration
}

func (EndpointCold) isEvent() {}

func (s *State) handleEndpointCold(now time.Duration, e EndpointCold) {
	if ep := s.poolByName(e.Endpoint.Pool).byID[e.Endpoint.ID]; ep != nil && ep.SameProcess(e.Endpoint) {
		ep.warmup.Assume(now, e.For)
	}
}

// noteNewProcess assumes that a process is cold which has started since the host began to follow the registrations.
func (s *State) noteNewProcess(now time.Duration, ep *endpoint) {
	_, known := s.warmup.gone[ep.Process()]
	if s.warmup.following && !known {
		ep.warmup.Assume(now, s.poolByName(ep.Pool).spec.ColdTime)
	}
}

// noteReturn assumes that an endpoint is cold whose failure domain is returned to service: the end of the evacuation may be known
// here before the registration that says so.
func (s *State) noteReturn(now time.Duration, ep *endpoint, registration directory.Endpoint) {
	if ep.Evacuated && !registration.Evacuated {
		ep.warmup.Assume(now, s.poolByName(ep.Pool).spec.ColdTime)
	}
}

// noteGoneProcess records that a registration was removed.
func (s *State) noteGoneProcess(now time.Duration, ep *endpoint) {
	if now-s.warmup.prunedAt >= goneProcessMemory {
		s.warmup.prunedAt = now
		for process, gone := range s.warmup.gone {
			if now-gone.at > goneProcessMemory {
				delete(s.warmup.gone, process)
				delete(s.warmup.senders, gone.id)
			}
		}
	}
	s.warmup.gone[ep.Process()] = goneProcess{ep.ID, now}
}

// noteLostAttempt assumes that an engine is cold after an attempt that found no process or lost its connection: a new process may
// take requests before its registration is known here.
func (s *State) noteLostAttempt(now time.Duration, r *request, outcome Outcome) {
	if outcome == NotSent || outcome == ResponseLost {
		r.choice.endpoint.warmup.Assume(now, r.pool.spec.ColdTime)
	}
}

// isCold reports whether an endpoint is cold and its pool states how many requests it tolerates meanwhile.
func (s *State) isCold(now time.Duration, ep *endpoint) bool {
	return now < ep.warmup.ColdUntil() && s.poolByName(ep.Pool).spec.ColdRate > 0
}

// senderTo returns this host's sender to a cold engine.
func (s *State) senderTo(ep *endpoint) *warmup.Sender {
	sender := s.warmup.senders[ep.ID]
	if sender == nil {
		sender = &warmup.Sender{}
		sender.SetChosen(s.warmup.namesAt, s.countSenders(ep.ID))
		s.warmup.senders[ep.ID] = sender
	}
	return sender
}

// countSenders returns the number of senders to a cold engine if this host is one of them, and 0 otherwise. They are the hosts that
// rank first by rendezvous hashing, so that all hosts agree without a message, and a host that restarts under its name has the
// same engines.
func (s *State) countSenders(engine string) int {
	if !slices.Contains(s.warmup.names, s.settings.Host) {
		return 0
	}
	key := hashString("cold/" + engine)
	rank, own := 0, mixBits(key^hashString(s.settings.Host))
	for _, name := range s.warmup.names {
		if cmp.Or(cmp.Compare(mixBits(key^hashString(name)), own), cmp.Compare(s.settings.Host, name)) > 0 {
			rank++
		}
	}
	if rank >= warmup.Senders {
		return 0
	}
	return min(warmup.Senders, len(s.warmup.names))
}

// updateSenders applies a change of the members to the senders to cold engines.
func (s *State) updateSenders(now time.Duration) {
	names := make([]string, 0, len(s.members))
	for _, m := range s.members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	if slices.Equal(names, s.warmup.names) {
		return
	}
	s.warmup.names, s.warmup.namesAt = names, now
	for engine, sender := range s.warmup.senders {
		sender.SetChosen(now, s.countSenders(engine))
	}
}

// heldBack reports whether this host may send nothing to an endpoint now because it is cold.
func (s *State) heldBack(now time.Duration, ep *endpoint) bool {
	wait, _ := s.coldWait(now, ep)
	return wait > 0
}

// coldWait returns how long this host may send nothing to an endpoint because it is cold, and the retry-after of a request that
// needs the endpoint. Another host may serve the request earlier if this one is no sender.
func (s *State) coldWait(now time.Duration, ep *endpoint) (wait, retryAfter time.Duration) {
	if !s.isCold(now, ep) {
		return 0, 0
	}
	coldFor := ep.warmup.ColdUntil() - now
	next, chosen := s.senderTo(ep).NextAt(s.poolByName(ep.Pool).spec.ColdRate)
	if !chosen {
		return coldFor, min(coldFor, overloadedRetryAfter)
	}
	wait = min(max(next-now, 0), coldFor)
	return wait, wait
}

// takeColdShare counts a request to an endpoint and reports whether it may be sent now. Requests to an endpoint that is not cold
// are not counted.
func (s *State) takeColdShare(now time.Duration, r *request) bool {
	ep := r.choice.endpoint
	if r.coldCounted || !s.isCold(now, ep) {
		return true
	}
	r.coldCounted = s.senderTo(ep).Take(now, s.poolByName(ep.Pool).spec.ColdRate)
	return r.coldCounted
}

// maySendCold reports whether an attempt may still be sent: its endpoint may have become cold since it was chosen.
func (s *State) maySendCold(now time.Duration, r *request) bool {
	if s.takeColdShare(now, r) {
		return true
	}
	s.warmup.heldBack++
	return false
}

// evacuated reports whether all endpoints of the pool that are not leaving are in evacuated failure domains.
func (p *pool) evacuated() bool {
	evacuated := false
	for _, ep := range p.endpoints {
		if ep.TakesRequests() {
			return false
		}
		evacuated = evacuated || !ep.Leaving
	}
	return evacuated
}

// refuseEvacuated refuses a request whose pool is evacuated as a whole, and reports whether it did.
func (s *State) refuseEvacuated(now time.Duration, r *request) bool {
	if !r.pool.evacuated() {
		return false
	}
	s.refuse(now, r, Overloaded, overloadedRetryAfter)
	return true
}

// countHeldBack counts a refusal for lack of an endpoint while endpoints of the pool are cold or evacuated.
func (s *State) countHeldBack(now time.Duration, r *request, reason Reason) {
	if reason != Overloaded && reason != NoModel && reason != NoEndpoint {
		return
	}
	if slices.ContainsFunc(r.pool.endpoints, func(ep *endpoint) bool { return ep.Evacuated || s.heldBack(now, ep) }) {
		s.warmup.heldBack++
	}
}

// HeldBackRequests returns the number of requests that were refused or not sent while engines were cold or evacuated.
func (s *State) HeldBackRequests() uint64 { return s.warmup.heldBack }

// ColdEndpoints returns the number of endpoints that count as cold.
func (s *State) ColdEndpoints(now time.Duration) int {
	count := 0
	for _, p := range s.pools {
		for _, ep := range p.endpoints {
			if s.isCold(now, ep) {
				count++
			}
		}
	}
	return count
}
