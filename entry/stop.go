package entry

import (
	"context"
	"sync"
	"time"

	"magnoliahoist/lease"
)

const (
	// balancerLag is how long after the check has failed the balancer may still send new connections: two checks
	// a second apart, and some time for the answers.
	balancerLag = 2500 * time.Millisecond
	// endMargin is left of the grace period for the end of the process.
	endMargin = 300 * time.Millisecond
)

// stopping says whether the planned stop has begun.
type stopping struct {
	once  sync.Once
	began chan struct{}
}

func (h *Host) stopping() bool {
	select {
	case <-h.stop.began:
		return true
	default:
		return false
	}
}

// Stop begins the planned stop and returns at once; Wait returns when it is over.
func (h *Host) Stop() {
	h.stop.once.Do(func() {
		close(h.stop.began)
		h.log.Info("entry: stopping", "running", h.running())
		h.tomb.Go(h.finishRequests)
	})
}

func (h *Host) running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Running()
}

// finishRequests goes on serving until the balancer has noticed, then finishes the running requests.
func (h *Host) finishRequests() error {
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Grace.Std()-endMargin)
	defer cancel()
	h.release(ctx)
	h.sleep(balancerLag)
	h.callers.shutdown(ctx)
	h.log.Info("entry: stopped", "running", h.running())
	h.leave(ctx)
	h.tomb.Kill(nil)
	h.checks.http.Close()
	h.others.http.Close()
	h.operators.http.Close()
	return nil
}

// release gives up the leases that this host holds, so that others need not wait until they lapse.
func (h *Host) release(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for pool, term := range h.fleet.terms {
		if row, revision, held := term.Release(sinceBoot()); held {
			h.run(func(context.Context) { h.writeLease(ctx, pool, term, lease.Renew, row, revision) })
		}
		h.abandon(pool)
	}
}
