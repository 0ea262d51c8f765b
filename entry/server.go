package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	goji "goji.io"
	"goji.io/pat"
)

const (
	// headerTimeout bounds the reading of a request's header until a configuration states the bound.
	headerTimeout = 3 * time.Second
	// idleLimit is how long a connection may stay unused. It is above what configurations state, 15 s, because a
	// connection that is closed as its next request arrives loses that request; the stated bound is not enforced.
	idleLimit = 5 * time.Minute
	// maxHeader bounds a request's header in bytes; configurations state 16 KiB.
	maxHeader = 64 << 10
)

// server is one listener with its HTTP server.
type server struct {
	name string
	http *http.Server
	net  net.Listener
}

// listen opens a listener.
func (h *Host) listen(name, address string, handler http.Handler) (*server, error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "entry: unable to listen for %s", name)
	}
	return &server{name: name, net: opened, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          h.log.StandardLogger(nil),
	}}, nil
}

// serve runs a server until it is closed.
func (h *Host) serveOn(s *server) {
	h.tomb.Go(func() error {
		if err := s.http.Serve(s.net); err != http.ErrServerClosed {
			return errors.Annotatef(err, "entry: unable to serve %s", s.name)
		}
		return nil
	})
}

// checkHandler answers the balancer's check.
func (h *Host) checkHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/ready"), func(w http.ResponseWriter, r *http.Request) {
		if h.stopping() || !h.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Start opens the listeners and runs the host until Stop.
func (h *Host) Start() error {
	var err error
	if h.callers, err = h.listen("callers", h.settings.Callers, h); err != nil {
		return err
	}
	if h.checks, err = h.listen("the balancer", h.settings.Ready, h.checkHandler()); err != nil {
		h.callers.net.Close()
		return err
	}
	if h.others, err = h.listen("hosts", h.settings.Peers, h.peerHandler()); err != nil {
		h.callers.net.Close()
		h.checks.net.Close()
		return err
	}
	if h.operators, err = h.listen("operators", h.settings.Operators, h.operatorHandler()); err != nil {
		h.callers.net.Close()
		h.checks.net.Close()
		h.others.net.Close()
		return err
	}
	h.serveOn(h.operators)
	h.serveOn(h.callers)
	h.serveOn(h.checks)
	h.serveOn(h.others)
	h.tomb.Go(h.followOperator)
	h.tomb.Go(h.followEndpoints)
	h.tomb.Go(h.followFleet)
	h.tomb.Go(h.enrol)
	h.tomb.Go(h.hold)
	h.tomb.Go(func() error { return h.every(dismissPeriod, h.dismiss) })
	h.tomb.Go(func() error { return h.every(planPeriod, h.lookAtLeases) })
	h.tomb.Go(func() error { return h.every(summaryPeriod, h.summarize) })
	h.tomb.Go(func() error { return h.every(sweepPeriod, h.tidy) })
	h.log.Info("entry: started", "name", h.settings.Name, "domain", h.settings.Domain, "callers", h.settings.Callers, "store", h.settings.Store)
	return nil
}

// sweepPeriod is how often what has ended is cleared away and waiting requests are looked at again.
const sweepPeriod = 250 * time.Millisecond

// Wait returns when the host has stopped; the error says why, nil after a planned stop.
func (h *Host) Wait() error { return errors.Trace(h.tomb.Wait()) }

// shutdown closes a server after its requests have ended, or at the end of the context.
func (s *server) shutdown(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
	}
}
