package call

import (
	"context"
	"errors"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"magnoliahoist/table"
)

// maxBatch is the number of transactions joined into one. It is half of the 128
// operations that the service's protocol allows in a transaction by default.
const maxBatch = 64

// Batch is a Table that joins the transactions of many calls into one. It starts
// one joined transaction at a time, at least an interval after the last one ended.
// It may be used concurrently.
type Batch struct {
	table    Table
	clock    Clock
	interval time.Duration
	tomb     tomb.Tomb
	wake     chan struct{}

	mu      sync.Mutex
	queue   []*request
	stopped bool
}

// request is a transaction that waits to be joined.
type request struct {
	txn    table.Txn
	answer chan answer
}

// answer is what the table service said to a transaction.
type answer struct {
	result table.Result
	err    error
}

// NewBatch returns a running batch; it runs until Close.
func NewBatch(t Table, c Clock, interval time.Duration) *Batch {
	b := &Batch{table: t, clock: c, interval: interval, wake: make(chan struct{}, 1)}
	b.tomb.Go(b.loop)
	return b
}

// Close stops the batch. Transactions that wait fail with table.ErrNotSent.
func (b *Batch) Close() { b.tomb.Kill(nil) }

// Done is closed when the batch has stopped.
func (b *Batch) Done() <-chan struct{} { return b.tomb.Dead() }

// Read reads from the underlying table.
func (b *Batch) Read(ctx context.Context, prefix string, after int64) (table.Snapshot, error) {
	return b.table.Read(ctx, prefix, after)
}

// Commit carries out a transaction together with others. When ctx ends, the error is
// table.ErrNotSent while the transaction waits and table.ErrUnknown afterwards.
func (b *Batch) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	r := &request{txn, make(chan answer, 1)}
	if !b.add(r) {
		return table.Result{}, table.ErrNotSent
	}
	select {
	case a := <-r.answer:
		return a.result, a.err
	case <-ctx.Done():
	}
	if b.withdraw(r) {
		return table.Result{}, errors.Join(table.ErrNotSent, ctx.Err())
	}
	return table.Result{}, errors.Join(table.ErrUnknown, ctx.Err())
}

// add queues a request, and returns false when the batch has stopped.
func (b *Batch) add(r *request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.queue = append(b.queue, r)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// withdraw removes a request that still waits and reports whether it did.
func (b *Batch) withdraw(r *request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, waiting := range b.queue {
		if waiting == r {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (b *Batch) loop() error {
	ctx := b.tomb.Context(context.Background())
	defer b.stop()
	for {
		select {
		case <-b.tomb.Dying():
			return nil
		case <-b.wake:
		}
		for list := b.take(); len(list) > 0; list = b.take() {
			b.commit(ctx, list)
			if b.clock.Wait(ctx, b.interval) != nil {
				return nil // Close was called
			}
		}
	}
}

// stop refuses the requests that wait and all later ones.
func (b *Batch) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, r := range b.queue {
		r.answer <- answer{err: table.ErrNotSent}
	}
	b.queue = nil
}

// take removes the requests of the next transaction, oldest first. A request that
// writes the same row as an earlier one waits for a later transaction.
func (b *Batch) take() []*request {
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken, rest []*request
	rows := map[string]bool{}
	for _, r := range b.queue {
		free := len(taken) < maxBatch
		for _, w := range r.txn.Writes {
			free = free && !rows[w.Key]
			rows[w.Key] = true
		}
		if free {
			taken = append(taken, r)
		} else {
			rest = append(rest, r)
		}
	}
	b.queue = rest
	return taken
}

// commit carries out requests as one transaction. When a condition of any fails, the
// two halves are tried apart, because the answer does not tell which it was.
func (b *Batch) commit(ctx context.Context, list []*request) {
	var txn table.Txn
	for _, r := range list {
		txn.Compares = append(txn.Compares, r.txn.Compares...)
		txn.Writes = append(txn.Writes, r.txn.Writes...)
	}
	result, err := b.table.Commit(ctx, txn)
	if half := len(list) / 2; half > 0 && err == nil && !result.Committed {
		b.commit(ctx, list[:half])
		b.commit(ctx, list[half:])
		return
	}
	for _, r := range list {
		r.answer <- answer{result, err}
	}
}
