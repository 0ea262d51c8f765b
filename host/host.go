// Package host runs an entry host: it owns the state machine, executes its effects and runs the listeners.
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

// tickInterval is the time between two ticks of the state machine, and thus the resolution of its timeouts.
const tickInterval = 10 * time.Millisecond

// platformTimeout is the timeout of a call to a service of the platform.
const platformTimeout = 2 * time.Second

// Host is one entry host.
type Host struct {
	settings        config.Host                 // at the start
	reloaded        atomic.Pointer[config.Host] // current settings after a reload; nil before the first
	id              string                      // member id
	startedAt       time.Time
	log             hclog.Logger
	table           *table.Client
	batcher         *table.Batcher
	peers           *peer.Client
	calls           *call.Calls
	callerServer    *caller.Server
	timelineMu      sync.Mutex // guards clock, ring and departedMembers
	clock           *timeline.Clock
	ring            *timeline.Ring
	departedMembers departedMembers
	platformClient  *http.Client
	metrics         *metric.Metrics
	tomb            tomb.Tomb

	mu           sync.Mutex // guards state, openRequests and demandMeters
	state        *state.State
	openRequests map[uint64]openRequest // by request id
	demandMeters map[string]*rateMeter  // by pool

	view        atomic.Pointer[replica.View]
	freshUntil  atomic.Int64 // when the host stops being fresh, nanoseconds since startedAt
	lastContact atomic.Int64 // start of the last successful read of the table service, nanoseconds since startedAt, or noContact
	hasLeft     atomic.Bool  // the host has begun to remove its member row and no longer responds as a member
	drainSignal drainSignal

	poolManagers poolManagers

	callerListener   *listener
	operatorListener *listener
	peerListener     *listener
}

// openRequest connects the state machine with the goroutine that serves a request.
type openRequest struct {
	effects chan state.Effect
	cancel  context.CancelCauseFunc
}

// effectBufferSize is the capacity of openRequest.effects. It exceeds the number of effects that a request can get before
// its goroutine receives one.
const effectBufferSize = 8

// Now returns the monotonic time since the process started.
func (h *Host) Now() time.Duration { return time.Since(h.startedAt) }

// View returns the host's copy of the shared state.
func (h *Host) View() *replica.View { return h.view.Load() }

// Fresh reports whether the host's copy of the shared state contains every change accepted longer ago than the freshness
// window.
func (h *Host) Fresh() bool { return int64(h.Now()) < h.freshUntil.Load() }

// ID returns the member id of the host.
func (h *Host) ID() string { return h.id }

// Done returns a channel that is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.tomb.Dead() }

// OpenRequest passes a new request to the state machine. The request's effects arrive on the returned channel, except for
// AbortRequest, which calls cancel.
func (h *Host) OpenRequest(arrived state.RequestArrived, cancel context.CancelCauseFunc) <-chan state.Effect {
	effects := make(chan state.Effect, effectBufferSize)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openRequests[arrived.Request] = openRequest{effects, cancel}
	h.applyLocked(arrived)
	return effects
}

// CloseRequest removes a request that has ended. Effects that are still emitted for it are dropped.
func (h *Host) CloseRequest(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.openRequests, id)
}

// Apply passes an event to the state machine and executes the resulting effects.
func (h *Host) Apply(event state.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyLocked(event)
}

// applyLocked is Apply for callers that hold h.mu. It does not block.
func (h *Host) applyLocked(event state.Event) {
	for _, effect := range h.state.Apply(h.Now(), event) {
		h.execute(effect)
	}
	h.view.Store(h.state.Replica().View())
	h.freshUntil.Store(int64(h.state.Replica().FreshUntil()))
}

// execute starts the execution of an effect. Work that may block runs in a goroutine of its own. The caller must hold h.mu.
func (h *Host) execute(effect state.Effect) {
	switch e := effect.(type) {
	case state.RecordIntent:
		h.deliver(e.Request, e)
	case state.SendAttempt:
		h.deliver(e.Request, e)
	case state.RefuseRequest:
		h.recordRefusal(e)
		h.deliver(e.Request, e)
	case state.AbortRequest:
		if request, known := h.openRequests[e.Request]; known {
			request.cancel(caller.CancelCause(e.Reason))
		}
	case state.RequestLoan:
		h.spawn(func(ctx context.Context) { h.requestLoan(ctx, e) })
	case state.RepayLoan:
		h.spawn(func(ctx context.Context) { h.repayLoan(ctx, e) })
	case state.ReadTable:
		h.spawn(func(ctx context.Context) { _ = h.readTable(ctx, e) })
	case state.Announce:
		h.spawn(func(ctx context.Context) { h.announce(ctx, e) })
	case state.Commit:
		h.spawn(func(ctx context.Context) { h.commit(ctx, e) })
	case state.SyncMember:
		h.spawn(func(ctx context.Context) { h.syncMember(ctx, e) })
	case state.GrantLoan:
		// Emitted only to grantLoan, which passes the number of tokens to the borrower.
	}
}

// spawn calls work in a goroutine, with a context that ends when the host stops. It does nothing if the host is stopping
// already.
func (h *Host) spawn(work func(ctx context.Context)) {
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

// deliver sends an effect to the goroutine of its request. It drops the effect if the request is no longer open. The channel's
// buffer has room for every effect that a request can get.
func (h *Host) deliver(id uint64, effect state.Effect) {
	request, open := h.openRequests[id]
	if !open {
		return
	}
	select {
	case request.effects <- effect:
	default:
		h.log.Error("host: unable to deliver an effect: the request's buffer is full", "request", id)
	}
}

// runTicks sends ticks to the state machine until the host stops.
func (h *Host) runTicks() error {
	return h.runEvery(tickInterval, func() { h.Apply(state.Tick{}) })
}
