// Package entry runs an entry host on a platform whose endpoints register themselves: it owns the state, carries
// out its effects and runs the listeners.
package entry

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"magnoliahoist/catalog"
	"magnoliahoist/config"
	"magnoliahoist/connection"
	"magnoliahoist/directory"
	"magnoliahoist/dispatch"
	"magnoliahoist/platform"
)

const (
	// connectTimeout bounds a new connection to an endpoint; links between failure domains take milliseconds.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an unused connection is kept when the endpoint states no time.
	idleTimeout = 3 * time.Second
	// silenceTimeout is how long bytes to an endpoint may stay unacknowledged.
	silenceTimeout = 2 * time.Second
	// retryMargin is the part of the fleet's retry budget that is used, because hosts don't know each other's use.
	retryMargin = 0.6
)

// Host is one entry host.
type Host struct {
	settings    config.Entry
	start       time.Duration // since boot
	log         hclog.Logger
	store       *access
	connections *connection.Pool
	metrics     *metrics
	tomb        tomb.Tomb
	numbers     atomic.Uint64
	held        atomic.Int64 // bytes of answers that are not yet whole or not yet written

	mu        sync.Mutex
	state     *dispatch.State
	directory *directory.Directory
	registry  registry
	waiting   map[uint64]chan dispatch.Effect

	fleet     fleet
	holdings  map[string]*holding // by pool
	orderable map[string]bool     // whether adapters can be ordered, by pool
	armed     bool                // a tick is due
	tidied    time.Duration       // last time that has ended was cleared away
	kick      chan struct{}       // makes the holder look at its pools
	changed   chan struct{}       // there is a newer configuration to be read
	engines   *platform.Engines

	catalog atomic.Pointer[catalog.Catalog]
	ready   atomic.Bool
	stop    stopping

	callers   *server
	checks    *server
	others    *server // for other hosts
	operators *server
}

// tickPeriod is the resolution of waiting times in the reducer.
const tickPeriod = 20 * time.Millisecond

// inboxSize is more than the effects that a request can get before it takes one.
const inboxSize = 8

// New returns a host that does not run yet.
func New(settings config.Entry, log hclog.Logger) *Host {
	h := &Host{
		settings:  settings,
		start:     sinceBoot(),
		log:       log.Named("entry"),
		directory: directory.New(),
		waiting:   map[uint64]chan dispatch.Effect{},
		holdings:  map[string]*holding{},
		orderable: map[string]bool{},
		kick:      make(chan struct{}, 1),
		changed:   make(chan struct{}, 1),
		connections: connection.New(connection.Settings{
			Connect: connectTimeout,
			Idle:    idleTimeout,
			Silence: silenceTimeout,
		}),
		state: dispatch.New(dispatch.Settings{
			Host:        settings.Name,
			Domain:      settings.Domain,
			RetryShare:  settings.Retries.Share * retryMargin,
			RetryFloor:  settings.Retries.Floor * retryMargin,
			RetryWindow: settings.Retries.Window.Std(),
		}),
	}
	h.stop.began = make(chan struct{})
	h.registry.tableCopy = newTableCopy(partOf(settings.Drain, endpointLife))
	h.engines = platform.NewEngines(h.connections, settings.Name)
	h.fleet = newFleet(cmp.Or(settings.Reachable, settings.Peers), settings.Domain)
	h.store = &access{store: platform.NewStore(settings.Store), peers: h.targets, self: h.sender(), now: h.Now, trust: settings.Trust.Std()}
	h.metrics = newMetrics(h)
	h.store.count = func(way string, err error) { h.metrics.store.WithLabelValues(way, resultOf(err)).Inc() }
	return h
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// Now returns the time since the process started, including that in which the machine was suspended.
func (h *Host) Now() time.Duration { return sinceBoot() - h.start }

// Done is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.tomb.Dead() }

// open takes a request; its effects come over the channel. It returns the end of the request's time.
func (h *Host) open(arrive dispatch.Arrive) (<-chan dispatch.Effect, time.Duration) {
	inbox := make(chan dispatch.Effect, inboxSize)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting[arrive.Number] = inbox
	h.apply(arrive)
	return inbox, h.state.Deadline(arrive.Number)
}

// close forgets a request.
func (h *Host) close(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, number)
}

// Apply reports an event to the reducer and carries out what follows.
func (h *Host) Apply(event dispatch.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(event)
}

// apply is Apply for callers that hold the lock. Nothing in it blocks.
func (h *Host) apply(event dispatch.Event) {
	for _, effect := range h.state.Apply(h.Now(), event) {
		h.carry(effect)
	}
	h.ready.Store(h.state.Ready())
	if h.state.Waiting() > 0 && !h.armed {
		h.armed = true
		time.AfterFunc(tickPeriod, h.tick)
	}
}

// tick lets time pass in the reducer while requests wait.
func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed = false
	h.apply(dispatch.Tick{})
}

// carry starts an effect; what may block runs in its own goroutine.
func (h *Host) carry(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.Send:
		h.deliver(e.Number, e)
	case dispatch.Refuse:
		h.deliver(e.Number, e)
	case dispatch.Borrow:
		h.run(func(ctx context.Context) { h.borrow(ctx, e) })
	case dispatch.Repay:
		h.run(func(ctx context.Context) { h.repay(ctx, e) })
	case dispatch.Fetch:
		h.run(func(ctx context.Context) { h.fetch(ctx, e) })
	case dispatch.Lend:
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

// deliver hands an effect to the goroutine of its request.
func (h *Host) deliver(number uint64, effect dispatch.Effect) {
	inbox, known := h.waiting[number]
	if !known {
		return
	}
	select {
	case inbox <- effect:
	default:
		h.log.Error("entry: unable to deliver an effect", "number", number)
	}
}

// every does the work at each period until the host stops.
func (h *Host) every(period time.Duration, work func(ctx context.Context)) error {
	ctx := h.tomb.Context(context.Background())
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-ticker.C:
			work(ctx)
		}
	}
}
