package fault

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	tomb "gopkg.in/tomb.v2"
)

// headerTimeout bounds how long a connection may take to send its request header.
const headerTimeout = 10 * time.Second

// Part runs the goroutines and listeners of a stand-in.
type Part struct {
	mutex sync.Mutex
	tomb  tomb.Tomb
	ctx   context.Context
}

// NewPart returns a running part.
func NewPart() *Part {
	p := &Part{}
	p.ctx = p.tomb.Context(context.Background())
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		return nil
	})
	return p
}

// Context ends when the part is stopped.
func (p *Part) Context() context.Context { return p.ctx }

// Go runs the function in a goroutine of the part; it reports false when the part has stopped.
func (p *Part) Go(run func()) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// tomb panics when a goroutine is added after all others have ended.
	if !p.tomb.Alive() {
		return false
	}
	p.tomb.Go(func() error {
		run()
		return nil
	})
	return true
}

// After runs the function after the delay unless the part stops before.
func (p *Part) After(delay time.Duration, run func()) {
	p.Go(func() {
		if Sleep(p.ctx, delay) {
			run()
		}
	})
}

// Serve answers requests on the listener until the part is stopped; it then closes all connections.
func (p *Part) Serve(l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	if !p.Go(func() {
		<-p.ctx.Done()
		_ = server.Close()
	}) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotate(err, "fault: unable to serve")
}

// Stop ends the part and waits for its goroutines.
func (p *Part) Stop() {
	p.mutex.Lock()
	p.tomb.Kill(nil)
	p.mutex.Unlock()
	_ = p.tomb.Wait()
}

// Done is closed when the part has stopped.
func (p *Part) Done() <-chan struct{} { return p.tomb.Dead() }
