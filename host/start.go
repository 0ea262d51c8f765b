package host

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/operator"
	"magnoliahoist/peer"
)

// Start opens the listeners and starts the host's goroutines, which run until Drain or Kill. On an error it leaves no
// listener open.
func (h *Host) Start() error {
	if err := h.openListeners(); err != nil {
		h.closeListeners()
		return err
	}
	h.tomb.Go(h.runTicks)
	for _, l := range []*listener{h.callerListener, h.operatorListener, h.peerListener} {
		h.serve(l)
	}
	h.tomb.Go(h.join)
	h.tomb.Go(h.followHostList)
	h.tomb.Go(h.watchTransitions)
	h.tomb.Go(h.watchLeases)
	h.tomb.Go(h.watchSummaries)
	h.log.Info("host: started", "id", h.id, "domain", h.settings.Domain,
		"callers", h.callerListener.address(), "operators", h.operatorListener.address(), "peers", h.peerListener.address())
	return nil
}

// openListeners opens the three listeners without serving on them yet.
func (h *Host) openListeners() error {
	listen, files := h.settings.Listen, h.settings.TLS
	var err error
	if h.peerListener, err = h.listen("hosts", listen.Peers, files.Peers, peer.NewServer(&peerService{h}, h.id, peerSecret(h.settings))); err != nil {
		return err
	}
	operators := operator.New(h, string(h.settings.Credential), h.log).WithMetrics(h.metrics.Handler())
	if h.operatorListener, err = h.listen("operators", listen.Operators, files.Operators, operators.Handler()); err != nil {
		return err
	}
	if h.callerListener, err = h.listen("callers", listen.Callers, files.Callers, h.callerHandler()); err != nil {
		return err
	}
	h.callerListener.netListener = limitConnections(h.callerListener.netListener, h.settings.Limits.MaxConnections)
	return nil
}

// callerHandler returns the handler for callers. It bounds the time for reading a request's body by the setting limits.read,
// but not the time of the response, which may be a long stream. While the host drains, it closes the connection after each
// response.
func (h *Host) callerHandler() http.Handler {
	handler := h.callerServer.Handler()
	readTimeout := time.Duration(h.settings.Limits.ReadTimeout)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		if r.ContentLength != 0 {
			controller.SetReadDeadline(time.Now().Add(readTimeout))
			r.Body = &deadlineBody{ReadCloser: r.Body, controller: controller}
		}
		if h.isDraining() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// closeListeners closes the listeners that are open.
func (h *Host) closeListeners() {
	for _, l := range []*listener{h.callerListener, h.operatorListener, h.peerListener} {
		if l != nil {
			l.netListener.Close()
		}
	}
}

// Addresses returns the addresses of the listeners for callers, operators and other hosts.
func (h *Host) Addresses() (callers, operators, peers string) {
	return h.callerListener.address(), h.operatorListener.address(), h.peerListener.address()
}

// Wait returns when the host has stopped. The error is the cause, or nil after Drain or Kill.
func (h *Host) Wait() error {
	return errors.Trace(h.tomb.Wait())
}

// Kill stops the host at once, without waiting for requests.
func (h *Host) Kill() {
	h.tomb.Kill(nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, l := range []*listener{h.callerListener, h.operatorListener, h.peerListener} {
		l.shutdown(ctx)
		l.server.Close()
	}
}
