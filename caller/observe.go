package caller

import (
	"context"
	"strconv"
	"time"

	"magnoliahoist/endpoint"
	"magnoliahoist/metric"
	"magnoliahoist/route"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// Results of requests that did not end with the outcome of an attempt. They are metric labels.
const (
	resultRefused   = "refused"
	resultCancelled = "cancelled" // the caller closed the connection
	resultReplayed  = "repeated"  // repeated at-most-once call that was answered with the recorded outcome
)

// Observer receives the events and results of requests for the timeline and the metrics.
type Observer interface {
	// Record adds an event to the timeline and sets its timestamp and host.
	Record(event timeline.Event)
	// CountRequest adds a request that has ended to the metrics.
	CountRequest(request metric.EndedRequest)
	// CountRefusal counts a refusal that this package decided on; the host counts those of the state machine itself.
	CountRefusal(account, reason string)
}

// requestStats holds what is recorded about one request for the timeline, the metrics and the log.
type requestStats struct {
	arrivedAt  time.Duration
	attemptID  string // of the latest attempt
	account    string
	route      string
	pool       string
	isModel    bool
	result     string
	usedTokens int64 // prompt included
	unstreamed bool  // the response was not an event stream
	generated  int64 // generated tokens
	timing     tokenTiming
}

// tokenTiming holds the arrival times of a stream's tokens.
type tokenTiming struct {
	firstAt, lastAt time.Duration // arrival of the first and of the latest token; 0 before the first token
	longestGap      time.Duration // longest time between two tokens
}

// recordToken records that a token arrived at time now.
func (p *tokenTiming) recordToken(now time.Duration) {
	if p.firstAt == 0 {
		p.firstAt = now
	} else {
		p.longestGap = max(p.longestGap, now-p.lastAt)
	}
	p.lastAt = now
}

// recordArrival records the arrival of a request with the client account of its key. Events of a request without a key
// carry an account only after the route is known.
func (s *Server) recordArrival(t *task) {
	t.stats.arrivedAt = s.backend.Now()
	if key, known := s.backend.View().KeyByDigest(t.arrival.KeyDigest); known {
		t.stats.account = key.Account
	}
	s.recordEvent(t, timeline.Received, t.arrival.Model)
}

// recordEvent records an event of a request; it names the latest attempt, if there is one.
func (s *Server) recordEvent(t *task, kind timeline.Kind, note string) {
	s.backend.Record(timeline.Event{Kind: kind, Request: t.requestID, Attempt: t.stats.attemptID, Account: t.stats.account, Note: note})
}

// recordAttemptEvent records an event of an attempt at an endpoint.
func (s *Server) recordAttemptEvent(t *task, kind timeline.Kind, send *state.SendAttempt, note string) {
	s.backend.Record(timeline.Event{
		Kind:     kind,
		Request:  t.requestID,
		Attempt:  t.stats.attemptID,
		Endpoint: send.Endpoint.Name,
		Account:  send.Account,
		Note:     note,
	})
}

// recordAttemptStart records that an attempt starts.
func (s *Server) recordAttemptStart(t *task, send *state.SendAttempt, id string) {
	t.stats.attemptID = id
	t.stats.account = send.Account
	t.stats.route = send.Route.Name
	t.stats.pool = send.Route.Pool
	t.stats.isModel = send.Route.Kind == route.Model
	t.stats.timing = tokenTiming{}
	if send.Attempt > 1 {
		s.recordAttemptEvent(t, timeline.Retried, send, "attempt "+strconv.Itoa(send.Attempt))
	}
	s.recordAttemptEvent(t, timeline.Sent, send, send.Route.Name)
}

// recordAttemptEnd records how an attempt ended.
func (s *Server) recordAttemptEnd(t *task, send *state.SendAttempt, result attemptResult) {
	t.stats.result = result.event.Outcome.String()
	t.stats.usedTokens = max(result.event.UsedTokens, 0)
	kind := timeline.Failed
	if result.event.Outcome == endpoint.Done {
		kind = timeline.Finished
	}
	s.recordAttemptEvent(t, kind, send, t.stats.result)
}

// recordEnd records, counts and logs the end of a request. Refusals are in the timeline already: the host records those of
// the state machine, refuseCall the others.
func (s *Server) recordEnd(ctx context.Context, t *task) {
	k := &t.stats
	switch k.result {
	case endpoint.Done.String():
		s.recordEvent(t, timeline.Answered, "")
	case resultRefused:
	case resultReplayed:
		s.recordEvent(t, timeline.Answered, "not sent again")
	default:
		if reason, byHost := context.Cause(ctx).(cancelReason); byHost {
			k.result = state.Reason(reason).String()
		} else if ctx.Err() != nil {
			k.result = resultCancelled
		}
		s.recordEvent(t, timeline.Cut, k.result)
	}
	s.backend.CountRequest(k.measurements(s.backend.Now()))
	if s.log.IsDebug() {
		s.log.Debug("caller: request ended", "request", t.requestID, "attempt", k.attemptID, "route", k.route, "account", k.account, "result", k.result)
	}
}

// measurements returns the metrics of a request that ended at time now.
func (k *requestStats) measurements(now time.Duration) metric.EndedRequest {
	ended := metric.EndedRequest{
		Pool:                 k.pool,
		Account:              k.account,
		Result:               k.result,
		ModelCall:            k.isModel,
		Unstreamed:           k.unstreamed,
		Complete:             k.result == endpoint.Done.String(),
		Cancelled:            k.result == resultCancelled,
		UsedTokens:           k.usedTokens,
		GeneratedTokens:      k.generated,
		TimeToFirstToken:     now - k.arrivedAt,
		MaxInterTokenLatency: k.timing.longestGap,
	}
	if k.timing.firstAt > 0 {
		ended.TimeToFirstToken = k.timing.firstAt - k.arrivedAt
	}
	return ended
}
