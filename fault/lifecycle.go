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

// readHeaderTimeout bounds how long a client may take to send a request header.
const readHeaderTimeout = 10 * time.Second

// Lifecycle runs the goroutines and listeners of a stand-in until it is stopped.
type Lifecycle struct {
	mutex sync.Mutex
	tomb  tomb.Tomb
	ctx   context.Context
}

// NewLifecycle returns a running lifecycle.
func NewLifecycle() *Lifecycle {
	lc := &Lifecycle{}
	lc.ctx = lc.tomb.Context(context.Background())
	lc.tomb.Go(func() error {
		<-lc.tomb.Dying()
		return nil
	})
	return lc
}

// Context returns a context that ends when Stop is called.
func (lc *Lifecycle) Context() context.Context { return lc.ctx }

// Go runs the function in a goroutine that Stop waits for. It reports false, without running it, after Stop was called.
func (lc *Lifecycle) Go(run func()) bool {
	lc.mutex.Lock()
	defer lc.mutex.Unlock()
	// Tomb.Go panics after all other goroutines have ended.
	if !lc.tomb.Alive() {
		return false
	}
	lc.tomb.Go(func() error {
		run()
		return nil
	})
	return true
}

// After runs the function after the delay unless Stop is called before.
func (lc *Lifecycle) After(delay time.Duration, run func()) {
	lc.Go(func() {
		if Sleep(lc.ctx, delay) {
			run()
		}
	})
}

// Serve serves requests on the listener until Stop is called and then closes all connections. It returns
// http.ErrServerClosed if Stop was called before Serve.
func (lc *Lifecycle) Serve(l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	if !lc.Go(func() {
		<-lc.ctx.Done()
		_ = server.Close()
	}) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotate(err, "fault: unable to serve requests")
}

// Stop ends the context, closes the listeners and waits for the goroutines.
func (lc *Lifecycle) Stop() {
	lc.mutex.Lock()
	lc.tomb.Kill(nil)
	lc.mutex.Unlock()
	_ = lc.tomb.Wait()
}

// Done returns a channel that is closed when all goroutines have ended after Stop.
func (lc *Lifecycle) Done() <-chan struct{} { return lc.tomb.Dead() }
