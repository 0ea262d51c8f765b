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
	// intentTimeout bounds how long a call waits until its intent is durable.
	intentTimeout = 2 * time.Second
	// outcomeWait bounds how long the response to the caller waits until the outcome is recorded.
	outcomeWait = time.Second
	// outcomeRecordTimeout bounds how long the host tries to record an outcome, before and after it has responded to the caller.
	outcomeRecordTimeout = time.Minute
	// duplicateWait bounds how long a call waits for the outcome of an earlier call with the same key that is still in progress.
	duplicateWait = 10 * time.Second
)

// outcomeObjectPrefix is the name prefix of the objects that hold response bodies above call.MaxBodyBytes.
const outcomeObjectPrefix = "outcome/"

// recordedCall is an at-most-once call whose intent is recorded and whose outcome is not.
type recordedCall struct{ attempt call.Attempt }

// beginAtMostOnce records the intent of an at-most-once call. If the call must not be sent, because of an earlier call with its
// key or because the intent could not be recorded, it responds to the caller and returns true.
func (s *Server) beginAtMostOnce(ctx context.Context, w http.ResponseWriter, t *task, e state.RecordIntent) bool {
	intentCtx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	decision, err := s.calls.Begin(intentCtx, e.Account, t.idempotencyKey, t.digest)
	if _, busy := decision.(call.Busy); busy && err == nil {
		duplicateCtx, cancelWait := context.WithTimeout(ctx, duplicateWait)
		defer cancelWait()
		decision, err = s.calls.Await(duplicateCtx, e.Account, t.idempotencyKey, t.digest)
	}
	if err != nil {
		s.log.Debug("caller: unable to begin an at-most-once call", "error", err)
	}
	if proceed, mayRun := decision.(call.Proceed); mayRun {
		t.recordedCall = &recordedCall{proceed.Attempt}
		s.backend.Apply(state.IntentRecorded{Request: t.number})
		return false
	}
	s.backend.Apply(state.RequestAbandoned{Request: t.number})
	t.stats.account, t.stats.route = e.Account, e.Route.Name
	s.writeDecision(ctx, w, t, decision)
	return true
}

// writeDecision responds to a call that is not sent, according to the decision.
func (s *Server) writeDecision(ctx context.Context, w http.ResponseWriter, t *task, decision call.Decision) {
	switch d := decision.(type) {
	case call.Replay:
		t.stats.result = resultReplayed
		s.replay(ctx, w, d.Outcome)
	case call.Mismatch:
		s.refuseCall(w, t, refusal{http.StatusUnprocessableEntity, "idempotency_key_reused", "the Idempotency-Key was used for another request", state.RunNo, 0})
	case call.Refused:
		s.refuseCall(w, t, refusal{http.StatusServiceUnavailable, "intent_not_recorded", "the call could not be recorded, so this request was not sent", state.RunNo, time.Second})
	case call.Unrecorded:
		s.recordInBackground(t.requestID, func(ctx context.Context) error { return s.calls.ClearIntent(ctx, d.Attempt) })
		s.refuseCall(w, t, refusal{http.StatusServiceUnavailable, "intent_not_recorded", "the call could not be recorded, so this request was not sent", state.RunNo, time.Second})
	default:
		s.refuseCall(w, t, refusal{http.StatusConflict, "outcome_unknown", "a call with this Idempotency-Key was sent and its outcome is not known; it is not sent again", state.RunUnknown, 0})
	}
}

// refuseCall responds with a refusal to a call that is not sent, and records and counts the refusal.
func (s *Server) refuseCall(w http.ResponseWriter, t *task, r refusal) {
	t.stats.result = resultRefused
	s.recordEvent(t, timeline.Refused, r.errorType+", run: "+r.run.String())
	s.backend.CountRefusal(t.stats.account, r.errorType)
	r.write(w)
}

// replay responds with the recorded outcome of the first call.
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

// recordOutcome records the outcome of an at-most-once call before the response is sent to the caller. It returns after
// outcomeWait at the latest; the host then goes on recording while it responds.
func (s *Server) recordOutcome(t *task, response *http.Response, body []byte) {
	if t.recordedCall == nil {
		return
	}
	outcome := call.Outcome{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: body}
	attempt := t.recordedCall.attempt
	t.recordedCall = nil
	s.recordAndWait(t.requestID, func(ctx context.Context) error {
		if len(outcome.Body) > call.MaxBodyBytes {
			if err := s.storeBody(ctx, attempt.ID, &outcome); err != nil {
				return err
			}
		}
		return s.calls.Finish(ctx, attempt, outcome)
	})
}

// storeBody moves the body of an outcome to the object store and puts the object's name in its place.
func (s *Server) storeBody(ctx context.Context, name string, outcome *call.Outcome) error {
	key := outcomeObjectPrefix + name
	if _, err := s.objects.Create(ctx, key, outcome.Body); err != nil {
		return err
	}
	outcome.Object, outcome.Body = key, nil
	return nil
}

// recordWithoutOutcome records that a call was certainly not run, or else that its outcome is unknown.
func (s *Server) recordWithoutOutcome(t *task, run state.Run) {
	if t.recordedCall == nil {
		return
	}
	attempt := t.recordedCall.attempt
	t.recordedCall = nil
	s.recordAndWait(t.requestID, func(ctx context.Context) error {
		if run == state.RunNo {
			return s.calls.Abandon(ctx, attempt)
		}
		return s.calls.FinishUnknown(ctx, attempt)
	})
}

// recordAndWait records the end of an at-most-once call in the background and waits for it, but not longer than outcomeWait.
func (s *Server) recordAndWait(requestID string, record func(context.Context) error) {
	done := s.recordInBackground(requestID, record)
	timer := time.NewTimer(outcomeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// recordInBackground runs record in the background, for at most outcomeRecordTimeout. The channel is closed when record has returned.
func (s *Server) recordInBackground(requestID string, record func(context.Context) error) <-chan struct{} {
	done := make(chan struct{})
	s.recording.Add(1)
	go func() {
		defer s.recording.Done()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), outcomeRecordTimeout)
		defer cancel()
		if err := record(ctx); err != nil && !stderrors.Is(err, call.ErrResultConflict) {
			s.log.Warn("caller: unable to record the outcome of an at-most-once call", "request", requestID, "error", err)
		}
	}()
	return done
}

// WaitForOutcomes waits until the outcome of every at-most-once call is recorded or recording it has failed.
func (s *Server) WaitForOutcomes() { s.recording.Wait() }
