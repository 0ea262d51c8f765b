package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	goji "goji.io"
	"goji.io/pat"

	"magnoliahoist/listener"
	"magnoliahoist/table"
)

const (
	// headerTimeout and headerBytes bound the header of a request unless a configuration sets other bounds.
	headerTimeout = 3 * time.Second
	headerBytes   = 64 << 10
	// idleConnTimeout is how long a connection may stay unused unless a configuration sets another time.
	idleConnTimeout = 5 * time.Minute
	// maxHeaderTimeout and maxHeaderBytes are the bounds of the HTTP server itself. They are above those that trackedListener
	// applies, which may change while the server runs.
	maxHeaderTimeout = 5 * time.Minute
	maxHeaderBytes   = 4 << 20
	// unreadBodyTimeout bounds the reading of a body for which the handler sets no deadline. The HTTP server reads a part of a body
	// that the handler has left unread, and its connection would stay in use for as long as the client sends nothing.
	unreadBodyTimeout = 5 * time.Second
	// unreadResponseTimeout bounds the writing of a response for which the handler sets no deadline. The connection of a client that
	// reads no responses would otherwise stay in use without end, and connections in use are never closed to make room.
	unreadResponseTimeout = 10 * time.Second
)

// baseLimits are the limits of a connection that do not depend on the resources of the process.
var baseLimits = listener.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleConnTimeout}

// server is one listener and its HTTP server.
type server struct {
	name     string
	http     *http.Server
	listener *trackedListener
	limits   listener.Limits // in force unless a configuration sets others
}

// listen opens a listener; name says whom it serves.
func (h *Host) listen(name, address string, limits listener.Limits, handler http.Handler) (*server, error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "entry: unable to listen for %s", name)
	}
	tracked := &trackedListener{
		TCPListener: opened.(*net.TCPListener),
		name:        name,
		now:         h.Now,
		log:         h.log,
		closed:      h.metrics.closedConnections,
		table:       listener.New(limits),
		conns:       map[*listener.Conn]*trackedConn{},
		limited:     map[listener.Cause]int{},
	}
	return &server{name: name, listener: tracked, limits: limits, http: &http.Server{
		Handler:           withDeadlines(handler),
		ReadHeaderTimeout: maxHeaderTimeout,
		IdleTimeout:       -1, // none: trackedListener closes idle connections
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          h.log.StandardLogger(nil),
		ConnState:         tracked.noteState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			tcp := untrackedConn(conn)
			h.boundBuffers(tcp)
			return withConn(ctx, tcp)
		},
	}}, nil
}

// withDeadlines sets deadlines for the body of a request and for its response. The HTTP server clears them at the end of the body and
// of the response. Handlers that respond to a caller later or for longer set the deadline of the response anew.
func withDeadlines(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control, now := http.NewResponseController(w), time.Now()
		err := control.SetWriteDeadline(now.Add(unreadResponseTimeout))
		if err == nil && r.ContentLength != 0 {
			err = control.SetReadDeadline(now.Add(unreadBodyTimeout))
		}
		if err != nil {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		handler.ServeHTTP(w, r)
	})
}

// servers returns the servers of all listeners.
func (h *Host) servers() []*server {
	return []*server{h.callerServer, h.readyServer, h.peerServer, h.operatorServer}
}

// serveOn serves requests until the server is closed.
func (h *Host) serveOn(s *server) {
	h.tomb.Go(func() error {
		if err := s.http.Serve(s.listener); err != http.ErrServerClosed {
			return errors.Annotatef(err, "entry: unable to serve %s", s.name)
		}
		return nil
	})
}

// callerHandler serves callers. Its responses tell them how long they may reuse the connection.
func (h *Host) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.stopping() || h.callerServer.listener.crowded() {
			w.Header().Set("Connection", "close")
		} else if c := h.catalog.Load(); c != nil {
			if seconds := listener.KeepAliveSeconds(c.Limits().IdleTimeout); seconds > 0 {
				w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
			}
		}
		h.ServeHTTP(w, r)
	})
}

// readyHandler serves the load balancer's readiness check.
func (h *Host) readyHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/ready"), func(w http.ResponseWriter, r *http.Request) {
		if h.stopping() || !h.ready.Load() || h.callerServer.listener.full() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Start opens the listeners and starts the host's goroutines. On an error it leaves no listener open.
func (h *Host) Start() error {
	var err error
	resources := h.resources()
	if h.callerServer, err = h.listen("callers", h.settings.Callers, resources.ForCallers(baseLimits), h.callerHandler()); err != nil {
		return err
	}
	if h.readyServer, err = h.listen("balancer", h.settings.Ready, resources.ForOperators(baseLimits), h.readyHandler()); err != nil {
		h.callerServer.listener.Close()
		return err
	}
	if h.peerServer, err = h.listen("hosts", h.settings.Peers, resources.ForPeers(baseLimits), h.peerHandler()); err != nil {
		h.callerServer.listener.Close()
		h.readyServer.listener.Close()
		return err
	}
	if h.operatorServer, err = h.listen("operators", h.settings.Operators, resources.ForOperators(baseLimits), h.operatorHandler()); err != nil {
		h.callerServer.listener.Close()
		h.readyServer.listener.Close()
		h.peerServer.listener.Close()
		return err
	}
	h.collecting.merged = table.NewBatcher(h.store, maxCollected, collectDelay)
	h.serveOn(h.operatorServer)
	h.serveOn(h.callerServer)
	h.serveOn(h.readyServer)
	h.serveOn(h.peerServer)
	h.tomb.Go(h.followConfiguration)
	h.tomb.Go(h.followEndpoints)
	h.tomb.Go(h.followFleet)
	h.tomb.Go(h.registerSelf)
	h.tomb.Go(h.runHolder)
	h.tomb.Go(func() error { return h.runEvery(removalInterval, h.removeSilentMembers) })
	h.tomb.Go(func() error { return h.runEvery(planInterval, h.readLeases) })
	h.tomb.Go(h.runLoadExchange)
	h.tomb.Go(func() error {
		<-h.tomb.Dying()
		h.collecting.merged.Stop()
		return nil
	})
	h.tomb.Go(h.writeRecords)
	h.tomb.Go(func() error { return h.runEvery(planInterval, h.avoidRecords) })
	h.tomb.Go(func() error { return h.runEvery(planInterval, h.keepBases) })
	h.tomb.Go(func() error {
		return h.runEvery(sweepInterval, func(ctx context.Context) {
			h.sweep(ctx)
			h.sweepConnections()
		})
	})
	h.log.Info("entry: started", "name", h.settings.Name, "domain", h.settings.Domain, "callers", h.settings.Callers, "store", h.settings.Store)
	return nil
}

// sweepInterval is how often sweep runs.
const sweepInterval = 250 * time.Millisecond

// Wait returns when the host has stopped. The error is the cause, or nil after a graceful stop.
func (h *Host) Wait() error { return errors.Trace(h.tomb.Wait()) }

// shutdownTimeout bounds the shutdown of a server without running requests. It would otherwise wait for connections on which no request
// has arrived, and close them without a response if one does.
const shutdownTimeout = 100 * time.Millisecond

// shutdown closes a server. Requests that still run are cut off.
func (s *server) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
	}
}
