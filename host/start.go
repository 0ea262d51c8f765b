package host

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/operator"
	"magnoliahoist/peer"
)

// Start opens the listeners and runs the host until Drain or Kill.
func (h *Host) Start() error {
	if err := h.open(); err != nil {
		h.closeListeners()
		return err
	}
	h.tomb.Go(h.tick)
	for _, l := range []*listener{h.callerListener, h.operatorListener, h.peerListener} {
		h.serve(l)
	}
	h.tomb.Go(h.join)
	h.tomb.Go(h.watchHosts)
	h.tomb.Go(h.watch)
	h.tomb.Go(h.watchLeases)
	h.tomb.Go(h.watchSummaries)
	h.log.Info("host: started", "id", h.id, "domain", h.settings.Domain,
		"callers", h.callerListener.address(), "operators", h.operatorListener.address(), "peers", h.peerListener.address())
	return nil
}

func (h *Host) open() error {
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
	h.callerListener.net = boundConnections(h.callerListener.net, h.settings.Limits.Connections)
	return nil
}

// callerHandler bounds the time for reading a request; a stream's answer may take longer.
func (h *Host) callerHandler() http.Handler {
	handler := h.callers.Handler()
	read := time.Duration(h.settings.Limits.Read)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.ContentLength != 0 {
			control.SetReadDeadline(time.Now().Add(read))
			r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
		}
		if h.isDraining() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (h *Host) closeListeners() {
	for _, l := range []*listener{h.callerListener, h.operatorListener, h.peerListener} {
		if l != nil {
			l.net.Close()
		}
	}
}

// Addresses returns the addresses for callers, operators and other hosts.
func (h *Host) Addresses() (callers, operators, peers string) {
	return h.callerListener.address(), h.operatorListener.address(), h.peerListener.address()
}

// Wait returns when the host has stopped; the error says why, nil after a planned stop.
func (h *Host) Wait() error {
	return errors.Trace(h.tomb.Wait())
}

// Kill stops the host at once, without finishing requests.
func (h *Host) Kill() {
	h.tomb.Kill(nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, l := range []*listener{h.callerListener, h.operatorListener, h.peerListener} {
		l.shutdown(ctx)
		l.server.Close()
	}
}
