// Package entry runs an entry host on a platform whose endpoints register themselves. It owns the state, carries out
// the state machine's effects and runs the listeners.
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
	"magnoliahoist/table"
)

const (
	// connectTimeout bounds connecting to an endpoint; round trips between failure domains take milliseconds.
	connectTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an unused connection to an endpoint is kept if the endpoint sets no timeout.
	defaultIdleTimeout = 3 * time.Second
	// unackedTimeout is how long bytes sent to an endpoint may stay unacknowledged.
	unackedTimeout = 2 * time.Second
	// retryBudgetFraction is the fraction of the fleet's retry budget that is used, because hosts don't know each
	// other's retries.
	retryBudgetFraction = 0.6
)

// Host is one entry host.
type Host struct {
	settings    config.Entry
	createdAt   time.Duration // time since boot at which the host was created
	log         hclog.Logger
	store       *storeAccess
	connections *connection.Pool
	metrics     *metrics
	tomb        tomb.Tomb
	lastNumber  atomic.Uint64 // number of the last request
	memory      *memory       // for bodies and responses

	mu        sync.Mutex
	state     *dispatch.State
	directory *directory.Directory
	registry  registry
	// operatorSource is who reported the last change of the operator table: the id of a lease holder, deputySource or storeSource.
	operatorSource string
	origins        origins
	bases          bases
	collecting     collecting
	configuration  table.Row                       // the configuration in force as it was read
	inboxes        map[uint64]chan dispatch.Effect // by request number

	fleet         fleet
	holdings      map[string]*holding // by pool
	orderable     map[string]bool     // by pool: whether adapters can be ordered
	tickPending   bool                // a tick of the state machine is scheduled
	lastSweep     time.Duration       // last run of sweep
	planWake      chan struct{}       // wakes runHolder before its next period
	configChanged chan struct{}       // wakes followConfiguration: a newer configuration was reported, or this host is a deputy
	endpointsWake chan struct{}       // wakes followEndpoints: this host is a deputy
	membersWake   chan struct{}       // wakes followFleet: this host is a deputy
	recordsWake   chan struct{}       // wakes writeRecords: the journal has a record to write
	engines       *platform.EngineClient

	catalog    atomic.Pointer[catalog.Catalog]
	ready      atomic.Bool
	stopSignal *stopSignal

	callerServer   *server
	readyServer    *server
	peerServer     *server // for other hosts
	operatorServer *server
}

// tickInterval is the resolution of the state machine's wait times.
const tickInterval = 20 * time.Millisecond

// inboxSize is larger than the number of effects that a request can get before it handles one.
const inboxSize = 8

// New returns a host that has not started.
func New(settings config.Entry, log hclog.Logger) *Host {
	h := &Host{
		settings:      settings,
		createdAt:     sinceBoot(),
		log:           log.Named("entry"),
		directory:     directory.New(),
		inboxes:       map[uint64]chan dispatch.Effect{},
		holdings:      map[string]*holding{},
		orderable:     map[string]bool{},
		planWake:      make(chan struct{}, 1),
		configChanged: make(chan struct{}, 1),
		endpointsWake: make(chan struct{}, 1),
		membersWake:   make(chan struct{}, 1),
		connections: connection.New(connection.Settings{
			ConnectTimeout: connectTimeout,
			IdleTimeout:    defaultIdleTimeout,
			AckTimeout:     unackedTimeout,
			BufferBytes:    endpointBufferBytes,
		}),
		state: dispatch.New(dispatch.Settings{
			MaxStoreSilence: settings.MaxStoreSilence.Std(),
			Host:            settings.Name,
			Domain:          settings.Domain,
			RetryShare:      settings.Retries.Ratio * retryBudgetFraction,
			RetryFloor:      settings.Retries.MinRetries * retryBudgetFraction,
			RetryWindow:     settings.Retries.Window.Std(),
		}),
	}
	h.operatorSource = storeSource
	h.origins = newOrigins()
	h.recordsWake = make(chan struct{}, 1)
	h.bases.known = map[string]knownBase{}
	h.stopSignal = newStopSignal()
	h.registry.tableCopy = newTableCopy(fractionOf(settings.DrainLimit, endpointValidityFraction))
	h.engines = platform.NewEngineClient(h.connections, settings.Name, h.heedNotice)
	h.fleet = newFleet(cmp.Or(settings.AdvertisedAddress, settings.Peers), settings.Domain, settings.ProcessorShare*settings.LinkMbps)
	h.memory = newMemory(int64(settings.Bodies*float64(settings.MemoryMB*megabyte)), h.log, func(cause shortage) {
		h.metrics.shortages.WithLabelValues(cause.String()).Inc()
	})
	h.store = &storeAccess{store: platform.NewStore(settings.Store), otherHosts: h.otherHosts, self: h.sender(), now: h.Now, onRestored: h.noteRestored, maxSilence: settings.MaxStoreSilence.Std()}
	h.metrics = newMetrics(h)
	h.store.countCall = func(c storeCall, err error) {
		h.metrics.store.WithLabelValues(c.way, c.kind, c.table, resultLabel(err)).Inc()
	}
	return h
}

func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// Now returns the time since the host was created, including time in which the machine was suspended.
func (h *Host) Now() time.Duration { return sinceBoot() - h.createdAt }

// Done is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.tomb.Dead() }

// openRequest passes a request to the state machine. It returns the channel of the request's effects and the request's
// deadline.
func (h *Host) openRequest(arrival dispatch.RequestArrived) (<-chan dispatch.Effect, time.Duration) {
	inbox := make(chan dispatch.Effect, inboxSize)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inboxes[arrival.Number] = inbox
	h.apply(arrival)
	return inbox, h.state.Deadline(arrival.Number)
}

// closeRequest stops the delivery of a request's effects.
func (h *Host) closeRequest(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inboxes, number)
}

// Apply passes an event to the state machine and starts the resulting effects.
func (h *Host) Apply(event dispatch.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(event)
}

// apply is Apply for callers that hold the lock. It never blocks.
func (h *Host) apply(event dispatch.Event) {
	for _, effect := range h.state.Apply(h.Now(), event) {
		h.startEffect(effect)
	}
	h.ready.Store(h.state.Ready())
	if h.state.NeedsTicks() && !h.tickPending {
		h.tickPending = true
		time.AfterFunc(tickInterval, h.tick)
	}
}

// tick advances the state machine's time while requests wait.
func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tickPending = false
	h.apply(dispatch.Tick{})
}

// startEffect starts an effect. An effect that may block runs in its own goroutine.
func (h *Host) startEffect(effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.SendAttempt:
		h.deliver(e.Number, e)
	case dispatch.RefuseRequest:
		h.deliver(e.Number, e)
	case dispatch.RequestLoan:
		h.spawn(func(ctx context.Context) { h.borrow(ctx, e) })
	case dispatch.RepayLoan:
		h.spawn(func(ctx context.Context) { h.repay(ctx, e) })
	case dispatch.OrderAdapter:
		h.spawn(func(ctx context.Context) { h.requestAdapter(ctx, e) })
	case dispatch.PartJudged:
		h.logJudgment(e)
	case dispatch.GrantLoan:
		// peerService.Borrow takes this effect from the state machine and responds to the borrower with it.
	}
}

// spawn runs work in a goroutine whose context ends with the host. It does nothing once the host stops.
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

// deliver sends an effect to the goroutine of its request. The caller holds the lock.
func (h *Host) deliver(number uint64, effect dispatch.Effect) {
	inbox, known := h.inboxes[number]
	if !known {
		return
	}
	select {
	case inbox <- effect:
	default:
		h.log.Error("entry: unable to deliver an effect: the inbox of the request is full", "number", number)
	}
}

// runEvery calls work once per period until the host stops.
func (h *Host) runEvery(interval time.Duration, work func(ctx context.Context)) error {
	ctx := h.tomb.Context(context.Background())
	ticker := time.NewTicker(interval)
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
