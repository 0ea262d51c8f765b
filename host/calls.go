package host

import (
	"context"
	"time"

	"magnoliahoist/table"
)

// callTable reads rows directly and commits in batches.
type callTable struct {
	client  *table.Client
	batcher *table.Batcher
}

// Read returns the rows with a prefix.
func (t callTable) Read(ctx context.Context, prefix string, after int64) (table.Snapshot, error) {
	return t.client.Read(ctx, prefix, after)
}

// Commit commits a transaction together with others.
func (t callTable) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	return t.batcher.Commit(ctx, txn)
}

// waitClock waits on the process's clock.
type waitClock struct{}

// Wait returns after a duration, or with the context's error.
func (waitClock) Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
