package table

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	tomb "gopkg.in/tomb.v2"
)

// batchTimeout bounds the commit of a merged transaction; a caller's own context may end its wait earlier.
const batchTimeout = 5 * time.Second

// errStopped is the cause in the ErrNotApplied that a stopped batcher returns.
var errStopped = errors.ConstError("the batcher has been stopped")

// Committer commits transactions. An error of Commit is ErrNotApplied or ErrOutcomeUnknown.
type Committer interface {
	Commit(ctx context.Context, txn Txn) (Result, error)
}

// Batcher merges independent transactions of concurrent callers into one, because the table service
// accepts only several hundred writes a second. It is safe for concurrent use.
type Batcher struct {
	target    Committer
	maxTxns   int
	delay     time.Duration
	tomb      tomb.Tomb
	submitted chan *pendingTxn
}

// pendingTxn is the transaction of one caller that waits in Batcher.Commit.
type pendingTxn struct {
	ctx        context.Context
	txn        Txn
	mutex      sync.Mutex
	committing bool // its commit has begun, so that it can no longer be withdrawn
	withdrawn  bool // its caller gave up before the commit began
	result     Result
	err        error
	done       chan struct{}
}

// claim marks the transaction as being committed; it reports false if its caller has given up.
func (p *pendingTxn) claim() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ctx.Err() != nil {
		p.withdrawn = true
	}
	p.committing = !p.withdrawn
	return p.committing
}

// withdraw removes the transaction from its batch; it reports false if the commit has already begun.
func (p *pendingTxn) withdraw() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.withdrawn = !p.committing
	return p.withdrawn
}

// finish sets the outcome and wakes the caller.
func (p *pendingTxn) finish(result Result, err error) {
	p.result, p.err = result, err
	close(p.done)
}

// NewBatcher returns a running batcher. It commits a batch when the batch holds maxTxns transactions (at
// least 1), when the next transaction cannot be merged with it, or when the delay has passed since its first
// transaction.
func NewBatcher(target Committer, maxTxns int, delay time.Duration) *Batcher {
	b := &Batcher{target: target, maxTxns: max(maxTxns, 1), delay: delay, submitted: make(chan *pendingTxn)}
	b.tomb.Go(b.collect)
	return b
}

// Stop commits the transactions that have been collected and stops the batcher; later calls of Commit
// return ErrNotApplied.
func (b *Batcher) Stop() {
	b.tomb.Kill(nil)
	_ = b.tomb.Wait()
}

// Done returns a channel that is closed when the batcher has stopped.
func (b *Batcher) Done() <-chan struct{} { return b.tomb.Dead() }

// Commit applies the transaction as Client.Commit does, possibly merged with others. The revision in
// the result is that of the merged commit. An error is ErrNotApplied or ErrOutcomeUnknown.
func (b *Batcher) Commit(ctx context.Context, txn Txn) (Result, error) {
	p := &pendingTxn{ctx: ctx, txn: txn, done: make(chan struct{})}
	select {
	case b.submitted <- p:
	case <-ctx.Done():
		return Result{}, commitError(ErrNotApplied, ctx.Err())
	case <-b.tomb.Dying():
		return Result{}, commitError(ErrNotApplied, errStopped)
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
	}
	if p.withdraw() {
		return Result{}, commitError(ErrNotApplied, ctx.Err())
	}
	select {
	case <-p.done:
		return p.result, p.err
	default:
		return Result{}, commitError(ErrOutcomeUnknown, ctx.Err())
	}
}

// collect gathers submitted transactions into batches and commits each batch in a goroutine of its own.
func (b *Batcher) collect() error {
	var batch *mergedTxn
	var timeout <-chan time.Time
	flush := func() {
		if batch != nil {
			txns := batch.txns
			b.tomb.Go(func() error {
				b.commit(txns)
				return nil
			})
		}
		batch, timeout = nil, nil
	}
	defer flush()
	for {
		select {
		case p := <-b.submitted:
			if batch != nil && !batch.canAdd(p.txn) {
				flush()
			}
			if batch == nil {
				batch, timeout = newMergedTxn(), time.After(b.delay)
			}
			batch.add(p)
			if len(batch.txns) >= b.maxTxns {
				flush()
			}
		case <-timeout:
			flush()
		case <-b.tomb.Dying():
			return nil
		}
	}
}

// commit commits the transactions as one. If one of them is invalid or its condition does not hold, the
// merged commit has written nothing, and each is committed separately.
func (b *Batcher) commit(txns []*pendingTxn) {
	var claimed []*pendingTxn
	var combined Txn
	for _, p := range txns {
		if !p.claim() {
			p.finish(Result{}, commitError(ErrNotApplied, p.ctx.Err()))
			continue
		}
		claimed = append(claimed, p)
		combined.Compares = append(combined.Compares, p.txn.Compares...)
		combined.Writes = append(combined.Writes, p.txn.Writes...)
	}
	if len(claimed) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	result, err := b.target.Commit(ctx, combined)
	// A transaction that is invalid, or whose condition does not hold, must not fail the others.
	separately := err == nil && !result.Committed || errors.Is(err, errInvalidRequest)
	if separately && len(claimed) > 1 {
		b.commitSeparately(claimed)
		return
	}
	for _, p := range claimed {
		p.finish(result, err)
	}
}

// commitSeparately commits each transaction by itself, all at the same time.
func (b *Batcher) commitSeparately(txns []*pendingTxn) {
	var group sync.WaitGroup
	for _, p := range txns {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
			defer cancel()
			p.finish(b.target.Commit(ctx, p.txn))
		})
	}
	group.Wait()
}
