package caller

import (
	"context"
	stderrors "errors"
	"net/http"
	"time"

	"magnoliahoist/call"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

const (
	// beginTimeout bounds how long a call waits for its durable intent.
	beginTimeout = 2 * time.Second
	// recordTimeout bounds how long an answer waits for its outcome to be recorded.
	recordTimeout = time.Second
	// recordLater bounds the tries to record an outcome after the caller was answered.
	recordLater = time.Minute
	// busyTimeout bounds how long a repeated call waits for the first one.
	busyTimeout = 10 * time.Second
)

// outcomePrefix is the prefix of the objects that hold large answers.
const outcomePrefix = "outcome/"

// onceCall is an at-most-once call whose intent is recorded.
type onceCall struct{ attempt call.Attempt }

// beginOnce records the intent of an at-most-once call, and answers calls that were made before.
func (s *Server) beginOnce(ctx context.Context, w http.ResponseWriter, t *task, e state.Begin) bool {
	begin, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	decision, err := s.calls.Begin(begin, e.Account, t.key, t.digest)
	if _, busy := decision.(call.Busy); busy && err == nil {
		wait, stop := context.WithTimeout(ctx, busyTimeout)
		defer stop()
		decision, err = s.calls.Await(wait, e.Account, t.key, t.digest)
	}
	if err != nil {
		s.log.Debug("caller: unable to begin call", "error", err)
	}
	if proceed, mayRun := decision.(call.Proceed); mayRun {
		t.once = &onceCall{proceed.Attempt}
		s.backend.Apply(state.Begun{Request: t.id})
		return false
	}
	s.backend.Apply(state.Left{Request: t.id})
	t.track.account, t.track.route = e.Account, e.Route.Name
	s.answerDecision(ctx, w, t, decision)
	return true
}

// answerDecision answers a call that is not sent.
func (s *Server) answerDecision(ctx context.Context, w http.ResponseWriter, t *task, decision call.Decision) {
	switch d := decision.(type) {
	case call.Replay:
		t.track.result = resultRepeated
		s.replay(ctx, w, d.Outcome)
	case call.Mismatch:
		s.refuseOnce(w, t, refusal{http.StatusUnprocessableEntity, "idempotency_key_reused", "the Idempotency-Key was used for another request", state.RunNo, 0})
	case call.Refused:
		s.refuseOnce(w, t, refusal{http.StatusServiceUnavailable, "intent_not_recorded", "the call could not be recorded, so this request was not sent", state.RunNo, time.Second})
	case call.Unrecorded:
		s.later(t.name, func(ctx context.Context) error { return s.calls.Settle(ctx, d.Attempt) })
		s.refuseOnce(w, t, refusal{http.StatusServiceUnavailable, "intent_not_recorded", "the call could not be recorded, so this request was not sent", state.RunNo, time.Second})
	default:
		s.refuseOnce(w, t, refusal{http.StatusConflict, "outcome_unknown", "a call with this Idempotency-Key was sent and its outcome is not known; it is not sent again", state.RunUnknown, 0})
	}
}

// refuseOnce answers a call that is not sent with a refusal.
func (s *Server) refuseOnce(w http.ResponseWriter, t *task, r refusal) {
	t.track.result = resultRefused
	s.event(t, timeline.Refused, r.kind+", run: "+r.run.String())
	s.backend.CountRefusal(t.track.account, r.kind)
	r.write(w)
}

// replay answers with the first outcome.
func (s *Server) replay(ctx context.Context, w http.ResponseWriter, outcome call.Outcome) {
	body := outcome.Body
	if outcome.Object != "" {
		object, err := s.objects.Get(ctx, outcome.Object)
		if err != nil {
			refusal{http.StatusServiceUnavailable, "outcome_not_readable", "the call was run; its answer cannot be read now", state.RunYes, time.Second}.write(w)
			return
		}
		body = object.Data
	}
	w.Header().Set("Idempotency-Replayed", "true")
	if outcome.Type != "" {
		w.Header().Set("Content-Type", outcome.Type)
	}
	w.WriteHeader(outcome.Status)
	w.Write(body)
}

// finishOnce records the outcome before the caller is answered. When that takes too long the caller
// is answered and the host goes on trying.
func (s *Server) finishOnce(t *task, response *http.Response, body []byte) {
	if t.once == nil {
		return
	}
	outcome := call.Outcome{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: body}
	attempt := t.once.attempt
	t.once = nil
	s.close(t.name, func(ctx context.Context) error {
		if len(outcome.Body) > call.MaxBody {
			if err := s.keepBody(ctx, attempt.ID, &outcome); err != nil {
				return err
			}
		}
		return s.calls.Finish(ctx, attempt, outcome)
	})
}

// keepBody puts a large body into the object store.
func (s *Server) keepBody(ctx context.Context, name string, outcome *call.Outcome) error {
	key := outcomePrefix + name
	if _, err := s.objects.Create(ctx, key, outcome.Body); err != nil {
		return err
	}
	outcome.Object, outcome.Body = key, nil
	return nil
}

// endOnce records that a call was certainly not sent, or that its outcome is not known.
func (s *Server) endOnce(t *task, run state.Run) {
	if t.once == nil {
		return
	}
	attempt := t.once.attempt
	t.once = nil
	s.close(t.name, func(ctx context.Context) error {
		if run == state.RunNo {
			return s.calls.Abandon(ctx, attempt)
		}
		return s.calls.Lose(ctx, attempt)
	})
}

// close records the end of an at-most-once call, for a short time before the caller is answered and
// for a longer one after it.
func (s *Server) close(name string, record func(context.Context) error) {
	done := s.later(name, record)
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// later records something in the background; the channel closes when that has ended.
func (s *Server) later(name string, record func(context.Context) error) <-chan struct{} {
	done := make(chan struct{})
	s.closing.Add(1)
	go func() {
		defer s.closing.Done()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), recordLater)
		defer cancel()
		if err := record(ctx); err != nil && !stderrors.Is(err, call.ErrClosed) {
			s.log.Warn("caller: unable to record outcome", "request", name, "error", err)
		}
	}()
	return done
}

// Finish waits until the outcomes of all calls are recorded, or given up.
func (s *Server) Finish() { s.closing.Wait() }
