package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
	"magnoliahoist/platform"
)

const (
	// defaultBody bounds a request's body in bytes until a configuration states the bound.
	defaultBody = 4 << 20
	// bodyTimeout bounds the reading of a body whose caller states no time.
	bodyTimeout = 10 * time.Second
	// refusedReading and refusedBytes bound what is read of a body after it was refused.
	refusedReading = 500 * time.Millisecond
	refusedBytes   = 256 << 10
	// writeSlack is how long after a request's time an answer may still be written to a slow caller.
	writeSlack = 200 * time.Millisecond
)

// Errors of a request that can't be read.
const (
	errTooLarge = errors.ConstError("body is too large")
	errGone     = errors.ConstError("caller has gone")
	errExpired  = errors.ConstError("time is over")
)

// task is one request on its way through the host.
type task struct {
	number  uint64
	request *intake.Request
	writer  http.ResponseWriter
	inbox   <-chan dispatch.Effect
	until   time.Duration
	begun   bool // part of an answer was handed to the caller
	resume  string
	held    *wholeAnswer // failure of an endpoint, handed over when no other attempt follows
	arrived time.Duration
	last    dispatch.Send
	sent    time.Duration // start of the last attempt
	sending time.Duration // from the choice of its endpoint until it was written
	first   time.Duration // from its start to the first event
}

// ServeHTTP answers a caller.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.arrived.Inc()
	if h.stopping() {
		w.Header().Set("Connection", "close")
	}
	request, err := platform.DecodeRequest(r)
	if err != nil {
		h.log.Info("entry: refused a malformed request", "error", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.readBody(w, r, request); err != nil {
		h.log.Info("entry: unable to read a body", "request", request.ID, "error", err)
		if errors.Is(err, errTooLarge) {
			h.refuseBody(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	}
	t := &task{number: h.numbers.Add(1), request: request, writer: w, arrived: h.Now()}
	h.serve(r.Context(), t)
}

// refuseBody answers a request whose body is too large at once. It then reads on for a moment: a connection that is
// closed with bytes unread is reset, and the caller may lose the answer.
func (h *Host) refuseBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	http.Error(w, string(errTooLarge), http.StatusRequestEntityTooLarge)
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(refusedReading)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, refusedBytes); err != nil && err != io.EOF {
		h.log.Debug("entry: unable to read the rest of a refused body", "error", err)
	}
}

// readBody reads the whole body. Errors are errTooLarge and those of the connection.
func (h *Host) readBody(w http.ResponseWriter, r *http.Request, request *intake.Request) error {
	most := int64(defaultBody)
	if c := h.catalog.Load(); c != nil && c.Limits().Body > 0 {
		most = c.Limits().Body
	}
	if r.ContentLength > most {
		return errTooLarge
	}
	if r.ContentLength == 0 {
		return nil
	}
	limit := bodyTimeout
	if request.Patience > 0 {
		limit = request.Patience
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return errors.Annotate(err, "entry: unable to bound the reading of a body")
	}
	var err error
	if r.ContentLength > 0 {
		request.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, request.Body)
	} else {
		request.Body, err = io.ReadAll(io.LimitReader(r.Body, most+1))
	}
	if err != nil {
		return errors.Annotate(err, "entry: unable to read the body")
	}
	if int64(len(request.Body)) > most {
		return errTooLarge
	}
	return errors.Annotate(control.SetReadDeadline(time.Time{}), "entry: unable to lift the bound on reading")
}

// serve drives a request from its arrival to its answer.
func (h *Host) serve(parent context.Context, t *task) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	t.inbox, t.until = h.open(dispatch.Arrive{Number: t.number, Request: t.request, Cut: h.store.Silence() > h.settings.Trust.Std()})
	defer h.close(t.number)
	if t.until > 0 {
		timer := time.AfterFunc(t.until-h.Now(), func() { cancel(errExpired) })
		defer timer.Stop()
	}
	for {
		select {
		case effect := <-t.inbox:
			if h.step(ctx, t, effect) {
				return
			}
		case <-ctx.Done():
			h.end(ctx, t)
			return
		}
	}
}

// step carries out one effect and reports whether the request has been answered.
func (h *Host) step(ctx context.Context, t *task, effect dispatch.Effect) bool {
	switch e := effect.(type) {
	case dispatch.Send:
		return h.attempt(ctx, t, e)
	case dispatch.Refuse:
		h.refuse(t, e)
		return true
	default:
		return false
	}
}

// end ends a request whose caller has gone or whose time is over.
func (h *Host) end(ctx context.Context, t *task) {
	if !errors.Is(context.Cause(ctx), errExpired) {
		h.Apply(dispatch.Left{Number: t.number})
		h.log.Info("entry: caller left", "request", t.request.ID, "after", (h.Now() - t.arrived).String(), "endpoint", t.last.Endpoint.ID, "work", t.request.Describe())
		return
	}
	h.Apply(dispatch.Expired{Number: t.number})
	for {
		select {
		case effect := <-t.inbox:
			if refuse, is := effect.(dispatch.Refuse); is {
				h.refuse(t, refuse)
				return
			}
		default:
			h.refuse(t, dispatch.Refuse{Number: t.number, Reason: dispatch.TimedOut, Ran: dispatch.RanUnknown})
			return
		}
	}
}

// refuse answers a request with a failure, or breaks an answer off that has begun, so that it can't look complete.
func (h *Host) refuse(t *task, e dispatch.Refuse) {
	status := 0
	switch {
	case t.begun:
	case t.held != nil:
		status = t.held.write(t.writer)
	default:
		status = platform.WriteRefusal(t.writer, e.Reason, e.Ran, e.Retry)
	}
	h.metrics.countRefusal(e)
	h.log.Info("entry: refused", "request", t.request.ID, "reason", e.Reason.String(), "ran", e.Ran.String(), "status", status, "account", e.Account,
		"route", e.Route, "work", t.request.Describe(), "after", (h.Now() - t.arrived).String(), "retry", e.Retry.String(), "waiting", e.Waited, "inputs", e.Inputs, "endpoint", t.last.Endpoint.ID, "begun", t.begun)
	if t.begun {
		panic(http.ErrAbortHandler)
	}
}
