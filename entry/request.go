package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/budget"
	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
	"magnoliahoist/platform"
)

// writeGrace is how long after a request's deadline a response may still be written to a slow caller.
const writeGrace = 200 * time.Millisecond

// Errors of a request that can't be answered in time.
const (
	errCallerLeft = errors.ConstError("caller has disconnected")
	errExpired    = errors.ConstError("request deadline has passed")
	errStopping   = errors.ConstError("host is stopping")
)

// task is the state of one caller's request from its arrival to its response.
type task struct {
	number          uint64
	request         *intake.Request
	writer          http.ResponseWriter
	effects         <-chan dispatch.Effect
	deadline        time.Duration
	headWritten     bool // status and header were sent to the caller
	lastEventID     string
	failure         *bufferedResponse // failure response of an endpoint, sent to the caller if no other attempt follows
	arrived         time.Duration
	lastSend        dispatch.SendAttempt
	sentAt          time.Duration // start of the last attempt
	sendingTime     time.Duration // from the choice of the endpoint until the request was written to it
	firstEventTime  time.Duration // from the start of the last attempt to the first event
	responseStarted bool          // the last attempt has received an event
	outdated        bool          // an attempt has waited in vain for a confirmation of the registrations
	record          int           // number of the newest record of the stream in the journal; 0 without one
	share           budget.Share  // of the host's memory
	dropResponse    func()        // gives up the response that is being received; guarded by the lock of the host's memory
	sending         bool          // a whole response is being sent; guarded by the lock of the host's memory
}

// ServeHTTP reads a caller's request and serves it.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.arrived.Inc()
	if h.stopping() {
		w.Header().Set("Connection", "close")
	}
	request, err := platform.DecodeRequest(r)
	if err != nil {
		h.log.Info("entry: refused a malformed request", "error", err)
		t := &task{request: &intake.Request{HTTPRequest: r}, writer: w}
		h.refuseUnread(t, func() { http.Error(w, err.Error(), http.StatusBadRequest) })
		return
	}
	t := &task{number: h.lastNumber.Add(1), request: request, writer: w, arrived: h.Now()}
	defer h.memory.close(t)
	if r.ContentLength != 0 && h.refuseByHeader(t) {
		return
	}
	if err := h.readBody(t); err != nil {
		h.refuseBody(t, err)
		return
	}
	h.serve(r.Context(), t)
}

// arrival returns the event of a task's arrival.
func (h *Host) arrival(t *task) dispatch.RequestArrived {
	return dispatch.RequestArrived{Number: t.number, Request: t.request, CutOff: h.store.Silence() > h.settings.MaxStoreSilence.Std()}
}

// serve processes a request from its arrival to its response.
func (h *Host) serve(parent context.Context, t *task) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	defer context.AfterFunc(h.stopSignal.ending, func() { cancel(errStopping) })()
	arrival := h.arrival(t)
	arrival.Origin = h.originOf(ctx, arrival)
	t.effects, t.deadline = h.openRequest(arrival)
	defer h.closeRequest(t.number)
	if t.deadline > 0 {
		timer := time.AfterFunc(t.deadline-h.Now(), func() { cancel(errExpired) })
		defer timer.Stop()
	}
	for {
		select {
		case effect := <-t.effects:
			if h.handleEffect(ctx, t, effect) {
				return
			}
		case <-ctx.Done():
			h.abort(ctx, t)
			return
		}
	}
}

// handleEffect carries out one effect and reports whether the request is finished.
func (h *Host) handleEffect(ctx context.Context, t *task, effect dispatch.Effect) bool {
	switch e := effect.(type) {
	case dispatch.SendAttempt:
		return h.attempt(ctx, t, e)
	case dispatch.RefuseRequest:
		h.refuse(t, e)
		return true
	default:
		return false
	}
}

// abort ends a request whose caller has disconnected, whose deadline has passed or which the host ends as it stops. After a suspension of
// the machine the deadline may have passed before the context has ended.
func (h *Host) abort(ctx context.Context, t *task) {
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, errExpired) && !errors.Is(cause, errStopping) {
		h.Apply(dispatch.RequestAbandoned{Number: t.number})
		h.log.Info("entry: caller left", "request", t.request.ID, "after", (h.Now() - t.arrived).String(), "endpoint", t.lastSend.Endpoint.ID, "work", t.request.Describe())
		h.breakOff(t) // a return without a response would send an empty success
	}
	reason := dispatch.TimedOut
	if errors.Is(cause, errStopping) {
		reason = dispatch.Stopping
		h.Apply(dispatch.RequestStopped{Number: t.number})
	} else {
		h.Apply(dispatch.RequestTimedOut{Number: t.number})
	}
	for {
		select {
		case effect := <-t.effects:
			if refuse, refused := effect.(dispatch.RefuseRequest); refused {
				h.refuse(t, refuse)
				return
			}
		default:
			h.refuse(t, dispatch.RefuseRequest{Number: t.number, Reason: reason, Ran: dispatch.RanUnknown})
			return
		}
	}
}

// refuse responds to a request with a failure. If a response has begun, it closes the connection instead, so that the
// response can't look complete.
func (h *Host) refuse(t *task, e dispatch.RefuseRequest) {
	status := 0
	switch {
	case t.headWritten:
	case t.failure != nil:
		status = h.sendWhole(t, t.failure)
	default:
		h.boundWrite(t, 0)
		status = platform.WriteRefusal(t.writer, e.Reason, e.Ran, e.RetryAfter)
	}
	h.metrics.countRefusal(e)
	h.log.Info("entry: refused", "request", t.request.ID, "reason", e.Reason.String(), "ran", e.Ran.String(), "status", status, "account", e.Account,
		"route", e.Route, "work", t.request.Describe(), "after", (h.Now() - t.arrived).String(), "retry", e.RetryAfter.String(), "waiting", e.QueueLength, "inputs", e.DecisionInputs, "endpoint", t.lastSend.Endpoint.ID, "begun", t.headWritten)
	if t.headWritten {
		h.breakOff(t)
	}
}

// breakOff closes the caller's connection without a response or in the middle of one. A caller of HTTP/1.0 takes the end of the connection for the
// end of the response, so that its connection is reset.
func (h *Host) breakOff(t *task) {
	conn, isTCP := t.request.HTTPRequest.Context().Value(connKey{}).(*net.TCPConn)
	if isTCP && !t.request.HTTPRequest.ProtoAtLeast(1, 1) {
		if err := conn.SetLinger(0); err != nil {
			h.log.Warn("entry: unable to reset a caller's connection", "request", t.request.ID, "error", err)
		}
	}
	panic(http.ErrAbortHandler)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
