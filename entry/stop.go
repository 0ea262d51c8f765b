package entry

import (
	"context"
	"sync"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/lease"
	"magnoliahoist/listener"
)

const (
	// balancerLag is how long the load balancer may still send new connections after the readiness check fails: two
	// checks 1 s apart, and some time for the responses.
	balancerLag = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the process to exit.
	exitMargin = 300 * time.Millisecond
	// answerMargin is the part of the grace period before exitMargin in which requests that still run are answered.
	answerMargin = 300 * time.Millisecond
	// arrivedTime is how long a host without running requests waits for requests that are arriving.
	arrivedTime = 200 * time.Millisecond
	// drainInterval is how often a stopping host looks whether requests are running.
	drainInterval = 20 * time.Millisecond
)

// stopSignal signals the steps of the graceful stop.
type stopSignal struct {
	once   sync.Once
	began  chan struct{}
	ending context.Context // ends when the requests that still run must be answered
	end    context.CancelFunc
}

func newStopSignal() *stopSignal {
	s := &stopSignal{began: make(chan struct{})}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

func (h *Host) stopping() bool {
	select {
	case <-h.stopSignal.began:
		return true
	default:
		return false
	}
}

// Stop begins a graceful stop and returns at once. Wait returns when the stop has ended.
func (h *Host) Stop() {
	h.stopSignal.once.Do(func() {
		close(h.stopSignal.began)
		h.log.Info("entry: stopping", "running", h.countRunning())
		h.tomb.Go(h.drainAndStop)
	})
}

func (h *Host) countRunning() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.ActiveRequests()
}

// drainAndStop releases the leases, keeps serving until the load balancer has noticed the stop, then waits for the running requests and
// stops the host. While it waits, it takes only requests that end before the host does. Those that still run near the end of the grace
// period are ended with an answer.
func (h *Host) drainAndStop() error {
	began, grace := time.Now(), h.settings.ShutdownGrace.Std()-exitMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	h.releaseLeases(ctx)
	h.sleep(min(balancerLag, grace-answerMargin))
	remaining := max(grace-answerMargin-time.Since(began), 0)
	h.Apply(dispatch.HostStopping{EndsAt: h.Now() + remaining})
	timer := time.AfterFunc(remaining, h.stopSignal.end)
	defer timer.Stop()
	h.awaitRequests(began.Add(grace))
	h.callerServer.shutdown(ctx)
	h.log.Info("entry: stopped", "running", h.countRunning())
	h.unregisterSelf(ctx)
	h.tomb.Kill(nil)
	h.readyServer.http.Close()
	h.peerServer.http.Close()
	h.operatorServer.http.Close()
	return nil
}

// awaitRequests waits until no request of a caller is running or arriving, at most until a time. Further requests are answered meanwhile:
// the HTTP server would close their connections without a response once it shuts down. The idle connections are closed, because the HTTP
// server would also close those on which a request has begun to arrive.
func (h *Host) awaitRequests(end time.Time) {
	callers := h.callerServer.listener
	for lastRunning := time.Now(); ; time.Sleep(drainInterval) {
		now := time.Now()
		callers.closeIdle()
		if callers.count(listener.Running) > 0 {
			lastRunning = now
		}
		if callers.count(listener.Running) == 0 && (callers.count(listener.Reading) == 0 || now.Sub(lastRunning) > arrivedTime) || now.After(end) {
			return
		}
	}
}

// releaseLeases gives up the leases that this host holds, so that other hosts need not wait until they expire.
func (h *Host) releaseLeases(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for pool, poolLease := range h.fleet.leases {
		if row, revision, held := poolLease.Release(sinceBoot()); held {
			h.spawn(func(context.Context) { h.writeLease(ctx, pool, poolLease, lease.Renew, row, revision) })
		}
		h.dropHolding(pool)
	}
}
