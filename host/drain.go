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

// drainPoll is the time between two looks at the requests that still run.
const drainPoll = 20 * time.Millisecond

// drainState says whether the planned stop has begun.
type drainState struct {
	once  sync.Once
	began chan struct{}
}

func (h *Host) isDraining() bool {
	select {
	case <-h.drain.began:
		return true
	default:
		return false
	}
}

// Drain begins the planned stop and returns at once; Wait returns when it is over.
func (h *Host) Drain(ctx context.Context) error {
	h.drain.once.Do(func() {
		close(h.drain.began)
		h.record(timeline.Event{Kind: timeline.Draining})
		h.log.Info("host: draining")
		h.tomb.Go(h.stop)
	})
	return nil
}

// stop goes on serving until the balancer has noticed, refuses new requests, finishes the running ones,
// hands over what the host holds and leaves.
func (h *Host) stop() error {
	time.Sleep(replica.Wait(time.Duration(h.settings.Lag)))
	h.Apply(state.Drain{})
	h.awaitRequests()
	h.callers.Finish()
	ctx, cancel := context.WithTimeout(context.Background(), 2*platformTimeout)
	defer cancel()
	h.handOver(ctx)
	h.leave(ctx)
	h.record(timeline.Event{Kind: timeline.Ended})
	h.tomb.Kill(nil)
	for _, l := range []*listener{h.callerListener, h.operatorListener, h.peerListener} {
		if err := l.shutdown(ctx); err != nil {
			h.log.Warn("host: unable to close listener", "listener", l.name, "error", err)
			l.server.Close()
		}
	}
	h.log.Info("host: stopped")
	return nil
}

// awaitRequests waits until every request has ended; each is bounded by the longest time of a call.
func (h *Host) awaitRequests() {
	for {
		h.mu.Lock()
		left := max(h.state.Running(), len(h.waiting))
		h.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

// handOver gives what the host holds to other members, so that they need not wait for its silence.
func (h *Host) handOver(ctx context.Context) {
	h.mu.Lock()
	effects := slices.Clone(h.state.Apply(h.Now(), state.HandOver{}))
	h.mu.Unlock()
	for _, effect := range effects {
		if e, commit := effect.(state.Commit); commit {
			h.commit(ctx, e)
		}
	}
}

// leave removes the host's own member row. When the table service is down, other hosts remove it later.
func (h *Host) leave(ctx context.Context) {
	h.left.Store(true)
	key := replica.KeyForMember(h.id)
	_, err := h.table.Commit(ctx, table.Txn{Writes: []table.Write{{Key: key, Value: replica.EncodeGone()}}})
	if err != nil {
		h.log.Warn("host: unable to remove own member row", "error", err)
		return
	}
	for _, member := range h.View().Members() {
		if member.ID != h.id {
			h.announce(ctx, state.Announce{Member: member.ID, Address: member.Address, Revision: h.View().Revision() + 1})
		}
	}
}
