package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"magnoliahoist/intake"
	"magnoliahoist/lease"
	"magnoliahoist/quarantine"
)

const (
	// trialStageDelay is by how much later each stage of hosts tries a part again that was blocked. It is well above the time in
	// which an engine begins to answer and the other hosts learn of the result.
	trialStageDelay = 3 * time.Second
	// trialLoadCost, multiplied by the running requests, is added to the estimate of an engine for a trial, so that few
	// requests are lost if the engine crashes.
	trialLoadCost = 100 * time.Millisecond
	// crashEjection is how long a crashed engine is ejected. It registers again as another process when it is back.
	crashEjection = 4 * time.Second
)

// applyEvidence passes an event to the quarantine ledger and reports the parts that are blocked now or no longer. Requests that
// have not been sent are refused as soon as one of their parts is blocked.
func (s *State) applyEvidence(now time.Duration, event quarantine.Event) {
	blocked := false
	for _, change := range s.ledger.Apply(now, event) {
		s.emit(PartJudged{change})
		blocked = blocked || change.Blocked
	}
	if !blocked {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(s.requests)) {
		if r := s.requests[number]; r.phase != attemptRunning {
			s.refuseBlocked(now, r)
		}
	}
}

// judge returns the verdict on a request. Until this host's turn has come to try a part again that was blocked, the part counts
// as blocked.
func (s *State) judge(now time.Duration, r *request) quarantine.Verdict {
	verdict := s.ledger.Judge(now, r.pool.spec.Name, r.partIDs)
	v, suspected := verdict.(quarantine.Suspected)
	if !suspected || v.BlockEnded == 0 {
		return verdict
	}
	part := v.Parts[0]
	turn := v.BlockEnded + time.Duration(s.trialStage(part))*trialStageDelay
	if now < turn {
		return quarantine.Blocked{Part: part, Until: turn}
	}
	return verdict
}

// trialStage returns the stage at which this host may try a part again that was blocked.
func (s *State) trialStage(part quarantine.Part) int {
	candidates := make([]lease.Candidate, 0, len(s.members))
	for _, m := range s.members {
		candidates = append(candidates, lease.Candidate{Host: m.Name})
	}
	return lease.NewSuccession(fmt.Sprintf("%s/%x", part.Pool, part.ID), candidates).Stage(s.settings.Host)
}

// refuseBlocked refuses a request that has not been sent and has a blocked part, and reports whether it did.
func (s *State) refuseBlocked(now time.Duration, r *request) bool {
	if _, blocked := s.judge(now, r).(quarantine.Blocked); !blocked {
		return false
	}
	s.remove(now, r)
	s.emit(s.newRefusal(r, Quarantined, 0))
	return true
}

// awaitsTrial reports whether a request must wait because another request of this host tries one of its parts.
func (s *State) awaitsTrial(now time.Duration, r *request) bool {
	v, suspected := s.judge(now, r).(quarantine.Suspected)
	return suspected && slices.ContainsFunc(v.Parts, func(part quarantine.Part) bool {
		trier, tried := s.trials[part]
		return tried && trier != r.arrival.Number
	})
}

// trialClass returns the suffix of a request's class in the queue, so that one that awaits a trial holds up no other.
func (s *State) trialClass(now time.Duration, r *request) string {
	if v, suspected := s.judge(now, r).(quarantine.Suspected); suspected {
		return fmt.Sprintf("/trial of %x", v.Parts[0].ID)
	}
	return ""
}

// startTrial marks a request that is about to be sent as the trial of its suspected parts.
func (s *State) startTrial(now time.Duration, r *request) {
	v, suspected := s.judge(now, r).(quarantine.Suspected)
	if !suspected {
		return
	}
	r.trials = v.Parts
	r.choice.endpoint.trials++
	for _, part := range v.Parts {
		s.trials[part] = r.arrival.Number
	}
}

// endTrial ends the trial of a request's parts.
func (s *State) endTrial(r *request) {
	if len(r.trials) == 0 {
		return
	}
	for _, part := range r.trials {
		if s.trials[part] == r.arrival.Number {
			delete(s.trials, part)
		}
	}
	r.trials = nil
	r.choice.endpoint.trials--
}

// noteAnswer records that the endpoint has begun to answer the running attempt of a request.
func (s *State) noteAnswer(now time.Duration, r *request) {
	s.endTrial(r)
	process := r.choice.endpoint.Process()
	s.applyEvidence(now, quarantine.EngineAnswered{Process: process, SentAt: r.startedAt})
	s.applyEvidence(now, quarantine.AnswerStarted{Pool: r.pool.spec.Name, Parts: r.partIDs})
}

// noteCrash records that the endpoint of a request's running attempt has crashed, with all requests of this host that it had
// not begun to answer.
func (s *State) noteCrash(now time.Duration, crashed *request) {
	ep := crashed.choice.endpoint
	ep.ejectedUntil = now + crashEjection
	event := quarantine.EngineCrashed{Pool: crashed.pool.spec.Name, Process: ep.Process()}
	for _, number := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[number]
		if r.phase != attemptRunning || r.responseStarted || !r.choice.endpoint.SameProcess(ep.Endpoint) {
			continue
		}
		waiting := quarantine.Request{Parts: r.partIDs}
		for _, part := range r.trials {
			waiting.Trials = append(waiting.Trials, part.ID)
		}
		event.Requests = append(event.Requests, waiting)
	}
	s.applyEvidence(now, event)
}

// partIDsOf returns the ids of the parts of a generation's prompt; nil for a call.
func partIDsOf(work intake.Work) []uint64 {
	g, isGeneration := work.(intake.Generation)
	if !isGeneration {
		return nil
	}
	ids := make([]uint64, 0, len(g.PromptParts))
	for _, part := range g.PromptParts {
		ids = append(ids, part.ID)
	}
	return ids
}

// MaySend reports whether a request whose attempt was chosen may still be sent: its endpoint has not asked for rest since, and
// none of its parts has been blocked. If the endpoint has become cold since, the request takes this host's next turn at it.
func (s *State) MaySend(now time.Duration, number uint64) bool {
	r := s.requests[number]
	if r == nil || r.phase != attemptRunning || r.choice.endpoint.resting(now) {
		return false
	}
	_, blocked := s.judge(now, r).(quarantine.Blocked)
	return !blocked && s.maySendCold(now, r)
}

// CrashReports returns the reports of crashes that were recorded or changed after a revision of the ledger, for other hosts, and
// the revision up to which they are complete.
func (s *State) CrashReports(now time.Duration, after int64) ([]quarantine.Report, int64) {
	return s.ledger.Reports(now, after)
}

// BlockEvidence returns the crashes that count against blocked parts, to be kept for hosts that start.
func (s *State) BlockEvidence(now time.Duration) []quarantine.Report {
	return s.ledger.BlockEvidence(now)
}

// Quarantine returns the prompt parts under suspicion, in ascending order of pool and id.
func (s *State) Quarantine(now time.Duration) []quarantine.Entry { return s.ledger.Entries(now) }

// trialCost returns what is added to an endpoint's estimate: for a trial, what would be lost; for other requests, the risk of an
// endpoint with a trial.
func trialCost(ep *endpoint, isTrial bool, running int) time.Duration {
	switch {
	case isTrial:
		return trialLoadCost * time.Duration(running)
	case ep.trials > 0:
		return latePenalty
	default:
		return 0
	}
}
