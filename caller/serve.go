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

// task is one request on its way through the host.
type task struct {
	id     uint64
	name   string // of the request, unique over hosts
	arrive state.Arrive
	key    string      // idempotency key
	digest call.Digest // of what an at-most-once call asks for
	build  func(send state.Send) (outgoing, error)
	once   *onceCall
	track  track
	sent   bool // an attempt may have reached an endpoint
}

// answer is what came back for an attempt.
type answer struct {
	event   state.Finished
	started bool // something was handed to the caller
}

// serve drives a request from its arrival to its answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, t task) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timer := time.AfterFunc(s.limits.Load().Call, func() { cancel(reasonError(state.TimedOut)) })
	defer timer.Stop()
	w.Header().Set(idHeader, t.name)
	s.received(&t)
	defer s.ended(ctx, &t)
	inbox := s.backend.Open(t.arrive, cancel)
	defer s.backend.Close(t.id)
	if len(inbox) == 0 {
		s.event(&t, timeline.Queued, "")
	}
	for {
		select {
		case <-ctx.Done():
			s.backend.Apply(state.Left{Request: t.id})
			s.endOnce(&t, runOf(t.sent))
			refuseCut(ctx, w, runOf(t.sent))
			return
		case effect := <-inbox:
			if s.step(ctx, w, &t, effect) {
				return
			}
		}
	}
}

// step carries out one effect and reports whether the request has been answered.
func (s *Server) step(ctx context.Context, w http.ResponseWriter, t *task, effect state.Effect) bool {
	switch e := effect.(type) {
	case state.Begin:
		return s.beginOnce(ctx, w, t, e)
	case state.Send:
		done := s.attempt(ctx, w, t, e)
		s.sent(t, &e, done)
		t.sent = t.sent || done.event.Sent
		s.backend.Apply(done.event)
		if done.started {
			return true
		}
		if done.event.Outcome == endpoint.Cancelled {
			s.endOnce(t, runOf(t.sent))
			refuseCut(ctx, w, runOf(t.sent))
			return true
		}
		return false
	case state.Refuse:
		t.track.result = resultRefused
		s.endOnce(t, e.Run)
		refusalFor(e.Reason, e.Run, e.Retry).write(w)
		return true
	default:
		return false
	}
}

func runOf(sent bool) state.Run {
	if sent {
		return state.RunUnknown
	}
	return state.RunNo
}

// reasonError carries a reason as the cause of a cancelled context.
type reasonError state.Reason

// Error names the reason.
func (e reasonError) Error() string { return state.Reason(e).String() }

// CauseOf returns the cause with which the host cancels a request.
func CauseOf(reason state.Reason) error { return reasonError(reason) }

// refuseCut answers a request that the host ended; a caller that has gone gets nothing.
func refuseCut(ctx context.Context, w http.ResponseWriter, run state.Run) {
	if reason, cut := context.Cause(ctx).(reasonError); cut {
		refusalFor(state.Reason(reason), run, 0).write(w)
	}
}
