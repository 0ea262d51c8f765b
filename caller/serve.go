package caller

import (
	"context"
	"net/http"
	"time"

	"magnoliahoist/call"
	"magnoliahoist/endpoint"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// task holds the state of one request while the host serves it.
type task struct {
	number         uint64 // unique on this host
	requestID      string // unique over all hosts
	arrival        state.RequestArrived
	idempotencyKey string
	digest         call.Digest // of the method, target and body, to detect an idempotency key that is reused for another request
	buildRequest   func(send state.SendAttempt) (endpointRequest, error)
	recordedCall   *recordedCall // nil if no intent is recorded, or its outcome is
	stats          requestStats
	maybeSent      bool // an attempt may have reached an endpoint
}

// attemptResult says how an attempt ended.
type attemptResult struct {
	event           state.AttemptFinished
	responseStarted bool // at least the status was sent to the caller, so no other response can follow
}

// serveRequest passes the arrival of a request to the state machine and executes the effects for it until the caller has a response.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, t task) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timer := time.AfterFunc(s.limits.Load().CallTimeout, func() { cancel(cancelReason(state.TimedOut)) })
	defer timer.Stop()
	w.Header().Set(requestIDHeader, t.requestID)
	s.recordArrival(&t)
	defer s.recordEnd(ctx, &t)
	effects := s.backend.OpenRequest(t.arrival, cancel)
	defer s.backend.CloseRequest(t.number)
	if len(effects) == 0 {
		s.recordEvent(&t, timeline.Queued, "")
	}
	for {
		select {
		case <-ctx.Done():
			s.backend.Apply(state.RequestAbandoned{Request: t.number})
			s.recordWithoutOutcome(&t, runOf(t.maybeSent))
			refuseCancelled(ctx, w, runOf(t.maybeSent))
			return
		case effect := <-effects:
			if s.executeEffect(ctx, w, &t, effect) {
				return
			}
		}
	}
}

// executeEffect executes one effect and reports whether the request is finished.
func (s *Server) executeEffect(ctx context.Context, w http.ResponseWriter, t *task, effect state.Effect) bool {
	switch e := effect.(type) {
	case state.RecordIntent:
		return s.beginAtMostOnce(ctx, w, t, e)
	case state.SendAttempt:
		result := s.sendAttempt(ctx, w, t, e)
		s.recordAttemptEnd(t, &e, result)
		t.maybeSent = t.maybeSent || result.event.Sent
		s.backend.Apply(result.event)
		if result.responseStarted {
			return true
		}
		if result.event.Outcome == endpoint.Cancelled {
			s.recordWithoutOutcome(t, runOf(t.maybeSent))
			refuseCancelled(ctx, w, runOf(t.maybeSent))
			return true
		}
		return false
	case state.RefuseRequest:
		t.stats.result = resultRefused
		s.recordWithoutOutcome(t, e.Run)
		refusalFor(e.Reason, e.Run, e.RetryAfter).write(w)
		return true
	default:
		return false
	}
}

// runOf returns whether the request was run: certainly not if nothing was sent, or else unknown.
func runOf(maybeSent bool) state.Run {
	if maybeSent {
		return state.RunUnknown
	}
	return state.RunNo
}

// cancelReason is the cause of a request context that the host cancels.
type cancelReason state.Reason

// Error returns the name of the reason.
func (e cancelReason) Error() string { return state.Reason(e).String() }

// CancelCause returns the error that the host passes as cause when it cancels a request's context.
func CancelCause(reason state.Reason) error { return cancelReason(reason) }

// refuseCancelled responds to a request that the host cancelled. It writes nothing if the caller closed the connection.
func refuseCancelled(ctx context.Context, w http.ResponseWriter, run state.Run) {
	if reason, byHost := context.Cause(ctx).(cancelReason); byHost {
		refusalFor(state.Reason(reason), run, 0).write(w)
	}
}
