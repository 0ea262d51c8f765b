package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"magnoliahoist/replica"
	"magnoliahoist/state"
	"magnoliahoist/table"
	"magnoliahoist/timeline"
)

// drainPollInterval is how often a draining host checks whether its requests have ended.
const drainPollInterval = 20 * time.Millisecond

// drainSignal signals once that the drain has begun.
type drainSignal struct {
	once  sync.Once
	began chan struct{}
}

// isDraining reports whether Drain was called.
func (h *Host) isDraining() bool {
	select {
	case <-h.drainSignal.began:
		return true
	default:
		return false
	}
}

// Drain begins a graceful stop and returns nil at once. Wait returns when the stop has ended.
func (h *Host) Drain(ctx context.Context) error {
	h.drainSignal.once.Do(func() {
		close(h.drainSignal.began)
		h.record(timeline.Event{Kind: timeline.Draining})
		h.log.Info("host: draining")
		h.tomb.Go(h.drainAndStop)
	})
	return nil
}

// drainAndStop keeps serving until the load balancer has noticed the drain, then refuses new requests, waits for the
// active ones, hands over the host's leases and parts, removes its member row and closes the listeners.
func (h *Host) drainAndStop() error {
	time.Sleep(replica.WaitAfterAcceptance(time.Duration(h.settings.BalancerLag)))
	h.Apply(state.DrainStarted{})
	h.awaitActiveRequests()
	h.callerServer.WaitForOutcomes()
	ctx, cancel := context.WithTimeout(context.Background(), 2*platformTimeout)
	defer cancel()
	h.handOverHoldings(ctx)
	h.leave(ctx)
	h.record(timeline.Event{Kind: timeline.Ended})
	h.tomb.Kill(nil)
	for _, l := range []*listener{h.callerListener, h.operatorListener, h.peerListener} {
		if err := l.shutdown(ctx); err != nil {
			h.log.Warn("host: unable to shut down a listener", "listener", l.name, "error", err)
			l.server.Close()
		}
	}
	h.log.Info("host: stopped")
	return nil
}

// awaitActiveRequests waits until every request has ended. The setting limits.call bounds the duration of each.
func (h *Host) awaitActiveRequests() {
	for {
		h.mu.Lock()
		remaining := max(h.state.ActiveRequests(), len(h.openRequests))
		h.mu.Unlock()
		if remaining == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// handOverHoldings transfers the host's leases and parts to other members, so that these need not wait for the silence
// timeout.
func (h *Host) handOverHoldings(ctx context.Context) {
	h.mu.Lock()
	effects := slices.Clone(h.state.Apply(h.Now(), state.HandOverStarted{}))
	h.mu.Unlock()
	for _, effect := range effects {
		if e, commit := effect.(state.Commit); commit {
			h.commit(ctx, e)
		}
	}
}

// leave removes the host's own member row and announces the change to the other members. If the table service does not
// respond, other hosts remove the row later.
func (h *Host) leave(ctx context.Context) {
	h.hasLeft.Store(true)
	key := replica.KeyForMember(h.id)
	_, err := h.table.Commit(ctx, table.Txn{Writes: []table.Write{{Key: key, Value: replica.EncodeTombstone()}}})
	if err != nil {
		h.log.Warn("host: unable to remove the host's own member row", "error", err)
		return
	}
	for _, member := range h.View().Members() {
		if member.ID != h.id {
			h.announce(ctx, state.Announce{Member: member.ID, Address: member.Address, Revision: h.View().Revision() + 1})
		}
	}
}
