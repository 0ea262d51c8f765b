package entry

import (
	"context"
	"sync"
	"time"

	"magnoliahoist/lease"
)

const (
	// balancerLag is how long the load balancer may still send new connections after the readiness check fails: two
	// checks 1 s apart, and some time for the responses.
	balancerLag = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the process to exit.
	exitMargin = 300 * time.Millisecond
)

// stopSignal signals once that the graceful stop has begun.
type stopSignal struct {
	once  sync.Once
	began chan struct{}
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

// drainAndStop releases the leases, keeps serving until the load balancer has noticed the stop, then waits for the
// running requests and stops the host.
func (h *Host) drainAndStop() error {
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.ShutdownGrace.Std()-exitMargin)
	defer cancel()
	h.releaseLeases(ctx)
	h.sleep(balancerLag)
	h.callerServer.shutdown(ctx)
	h.log.Info("entry: stopped", "running", h.countRunning())
	h.unregisterSelf(ctx)
	h.tomb.Kill(nil)
	h.readyServer.http.Close()
	h.peerServer.http.Close()
	h.operatorServer.http.Close()
	return nil
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
