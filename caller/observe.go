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

// Results of requests that no attempt and no refusal names.
const (
	resultRefused   = "refused"
	resultCancelled = "cancelled" // the caller has gone
	resultRepeated  = "repeated"  // at-most-once call that was not sent again
)

// Observer receives what happens to requests, for the time line and the metrics.
type Observer interface {
	// Record adds an event to the time line; stamp and host are filled in.
	Record(event timeline.Event)
	// Count counts a request that has ended.
	Count(answer metric.Answer)
	// CountRefusal counts a refusal that is not an effect of the reducer.
	CountRefusal(account, reason string)
}

// track is what is observed of one request.
type track struct {
	arrived time.Duration
	attempt string // id of the last attempt
	account string
	route   string
	pool    string
	model   bool
	result  string
	tokens  int64 // used, prompt included
	whole   bool  // the answer came as a whole, not as a stream
	made    int64 // tokens generated
	pace    pace
}

// pace measures when tokens arrive.
type pace struct {
	first, last time.Duration // times of tokens; 0 before the first
	gap         time.Duration // longest between two tokens
}

// token notes the arrival of a token.
func (p *pace) token(now time.Duration) {
	if p.first == 0 {
		p.first = now
	} else {
		p.gap = max(p.gap, now-p.last)
	}
	p.last = now
}

// received records the arrival of a request. The account is that of its key; on open routes it
// stands in the later events.
func (s *Server) received(t *task) {
	t.track.arrived = s.backend.Now()
	if key, known := s.backend.View().KeyByDigest(t.arrive.Digest); known {
		t.track.account = key.Account
	}
	s.event(t, timeline.Received, t.arrive.Model)
}

// event records an event of a request and its last attempt.
func (s *Server) event(t *task, kind timeline.Kind, note string) {
	s.backend.Record(timeline.Event{Kind: kind, Request: t.name, Attempt: t.track.attempt, Account: t.track.account, Note: note})
}

// attemptEvent records an event of an attempt at an endpoint.
func (s *Server) attemptEvent(t *task, kind timeline.Kind, send *state.Send, note string) {
	s.backend.Record(timeline.Event{
		Kind:     kind,
		Request:  t.name,
		Attempt:  t.track.attempt,
		Endpoint: send.Endpoint.Name,
		Account:  send.Account,
		Note:     note,
	})
}

// sending records that an attempt starts.
func (s *Server) sending(t *task, send *state.Send, id string) {
	t.track.attempt = id
	t.track.account = send.Account
	t.track.route = send.Route.Name
	t.track.pool = send.Route.Pool
	t.track.model = send.Route.Kind == route.Model
	t.track.pace = pace{}
	if send.Attempt > 1 {
		s.attemptEvent(t, timeline.Retried, send, "attempt "+strconv.Itoa(send.Attempt))
	}
	s.attemptEvent(t, timeline.Sent, send, send.Route.Name)
}

// sent records how an attempt ended.
func (s *Server) sent(t *task, send *state.Send, done answer) {
	t.track.result = done.event.Outcome.String()
	t.track.tokens = max(done.event.Used, 0)
	kind := timeline.Failed
	if done.event.Outcome == endpoint.Done {
		kind = timeline.Finished
	}
	s.attemptEvent(t, kind, send, t.track.result)
}

// ended records, counts and logs the end of a request. The reducer records its refusals itself.
func (s *Server) ended(ctx context.Context, t *task) {
	k := &t.track
	switch k.result {
	case endpoint.Done.String():
		s.event(t, timeline.Answered, "")
	case resultRefused:
	case resultRepeated:
		s.event(t, timeline.Answered, "not sent again")
	default:
		if reason, cut := context.Cause(ctx).(reasonError); cut {
			k.result = state.Reason(reason).String()
		} else if ctx.Err() != nil {
			k.result = resultCancelled
		}
		s.event(t, timeline.Cut, k.result)
	}
	s.backend.Count(k.answer(s.backend.Now()))
	if s.log.IsDebug() {
		s.log.Debug("caller: request ended", "request", t.name, "attempt", k.attempt, "route", k.route, "account", k.account, "result", k.result)
	}
}

// answer returns the measures of a request that ended at a time.
func (k *track) answer(now time.Duration) metric.Answer {
	a := metric.Answer{
		Pool:      k.pool,
		Account:   k.account,
		Result:    k.result,
		Model:     k.model,
		Whole:     k.whole,
		Complete:  k.result == endpoint.Done.String(),
		Cancelled: k.result == resultCancelled,
		Tokens:    k.tokens,
		Generated: k.made,
		First:     now - k.arrived,
		Gap:       k.pace.gap,
	}
	if k.pace.first > 0 {
		a.First = k.pace.first - k.arrived
	}
	return a
}
