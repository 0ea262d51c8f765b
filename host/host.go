// Package host runs an entry host: it owns the state, carries out its effects and runs the listeners.
package host

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"magnoliahoist/call"
	"magnoliahoist/caller"
	"magnoliahoist/config"
	"magnoliahoist/metric"
	"magnoliahoist/peer"
	"magnoliahoist/replica"
	"magnoliahoist/state"
	"magnoliahoist/table"
	"magnoliahoist/timeline"
)

// tickPeriod is the resolution of waiting times in the reducer.
const tickPeriod = 10 * time.Millisecond

// platformTimeout bounds one exchange with a service of the platform.
const platformTimeout = 2 * time.Second

// Host is one entry host.
type Host struct {
	settings config.Host
	reloaded atomic.Pointer[config.Host] // settings in force after a reload
	id       string
	start    time.Time
	log      hclog.Logger
	table    *table.Client
	batcher  *table.Batcher
	peers    *peer.Client
	calls    *call.Calls
	callers  *caller.Server
	ringMu   sync.Mutex // guards clock, ring and departed
	clock    *timeline.Clock
	ring     *timeline.Ring
	departed departed
	platform *http.Client
	metrics  *metric.Metrics
	tomb     tomb.Tomb

	mu      sync.Mutex
	state   *state.State
	waiting map[uint64]waiter
	meters  map[string]*meter // of demand, by pool

	view    atomic.Pointer[replica.View]
	fresh   atomic.Int64 // end of freshness, nanoseconds since start
	contact atomic.Int64 // last contact with the table service, nanoseconds since start
	left    atomic.Bool  // the member row is being removed: the host no longer answers as a member
	drain   drainState

	managers managers

	callerListener   *listener
	operatorListener *listener
	peerListener     *listener
}

// waiter is where the effects for one request go.
type waiter struct {
	inbox  chan state.Effect
	cancel context.CancelCauseFunc
}

// inboxSize is more than the effects that a request can get before it takes one up.
const inboxSize = 8

// Now returns the monotonic time since the process started.
func (h *Host) Now() time.Duration { return time.Since(h.start) }

// View returns the shared state as the host knows it.
func (h *Host) View() *replica.View { return h.view.Load() }

// Fresh reports whether the host may rely on the shared state.
func (h *Host) Fresh() bool { return int64(h.Now()) < h.fresh.Load() }

// ID returns the member id of the host.
func (h *Host) ID() string { return h.id }

// Done is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.tomb.Dead() }

// Open takes a request; its effects come over the channel.
func (h *Host) Open(arrive state.Arrive, cancel context.CancelCauseFunc) <-chan state.Effect {
	inbox := make(chan state.Effect, inboxSize)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting[arrive.Request] = waiter{inbox, cancel}
	h.apply(arrive)
	return inbox
}

// Close forgets a request.
func (h *Host) Close(request uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, request)
}

// Apply reports an event to the reducer and carries out what follows.
func (h *Host) Apply(event state.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(event)
}

// apply is Apply for callers that hold the lock. Nothing in it blocks.
func (h *Host) apply(event state.Event) {
	for _, effect := range h.state.Apply(h.Now(), event) {
		h.carry(effect)
	}
	h.view.Store(h.state.Replica().View())
	h.fresh.Store(int64(h.state.Replica().FreshUntil()))
}

// carry starts an effect; what may block runs in its own goroutine.
func (h *Host) carry(effect state.Effect) {
	switch e := effect.(type) {
	case state.Begin:
		h.deliver(e.Request, e)
	case state.Send:
		h.deliver(e.Request, e)
	case state.Refuse:
		h.recordRefusal(e)
		h.deliver(e.Request, e)
	case state.Cut:
		if w, known := h.waiting[e.Request]; known {
			w.cancel(caller.CauseOf(e.Reason))
		}
	case state.Borrow:
		h.run(func(ctx context.Context) { h.borrow(ctx, e) })
	case state.Repay:
		h.run(func(ctx context.Context) { h.repay(ctx, e) })
	case state.ReadTable:
		h.run(func(ctx context.Context) { _ = h.readTable(ctx, e) })
	case state.Announce:
		h.run(func(ctx context.Context) { h.announce(ctx, e) })
	case state.Commit:
		h.run(func(ctx context.Context) { h.commit(ctx, e) })
	case state.SyncMember:
		h.run(func(ctx context.Context) { h.syncMember(ctx, e) })
	case state.Lend:
		// The answer to Asks is taken from the effects by Borrow of the peer interface.
	}
}

// run starts a goroutine that ends with the host.
func (h *Host) run(work func(ctx context.Context)) {
	select {
	case <-h.tomb.Dying():
		return
	default:
	}
	h.tomb.Go(func() error {
		work(h.tomb.Context(context.Background()))
		return nil
	})
}

// deliver hands an effect to the goroutine of its request. The channel has room for every effect
// that a request can get.
func (h *Host) deliver(request uint64, effect state.Effect) {
	w, known := h.waiting[request]
	if !known {
		return
	}
	select {
	case w.inbox <- effect:
	default:
		h.log.Error("host: unable to deliver effect", "request", request)
	}
}

// tick lets time pass in the reducer until the host stops.
func (h *Host) tick() error {
	return h.every(tickPeriod, func() { h.Apply(state.Tick{}) })
}
