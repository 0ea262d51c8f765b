package host

import (
	"context"
	"time"

	"magnoliahoist/table"
)

// callTable is the table access of package call: it reads rows directly and commits transactions in batches.
type callTable struct {
	client  *table.Client
	batcher *table.Batcher
}

// Read returns the rows whose keys have a prefix and that changed after a revision.
func (t callTable) Read(ctx context.Context, prefix string, after int64) (table.Snapshot, error) {
	return t.client.Read(ctx, prefix, after)
}

// Commit commits a transaction, possibly in one write with those of other calls.
func (t callTable) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	return t.batcher.Commit(ctx, txn)
}

// timerClock is the clock of package call; it waits with timers of the runtime.
type timerClock struct{}

// Wait returns nil after a duration, or the context's error if the context ends first.
func (timerClock) Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
