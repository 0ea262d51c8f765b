package table

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	tomb "gopkg.in/tomb.v2"
)

// batchTimeout bounds a merged commit; a caller's own context may end its wait earlier.
const batchTimeout = 5 * time.Second

// errStopped is the cause of the ErrNotSent of a batcher that has been stopped.
var errStopped = errors.ConstError("table: the batcher has stopped")

// Committer commits transactions.
type Committer interface {
	Commit(ctx context.Context, txn Txn) (Result, error)
}

// Batcher merges the independent transactions of many callers into one, since the table service
// accepts only several hundred writes a second.
type Batcher struct {
	target Committer
	most   int
	delay  time.Duration
	tomb   tomb.Tomb
	asked  chan *pending
}

// pending is one caller's transaction.
type pending struct {
	ctx    context.Context
	txn    Txn
	mutex  sync.Mutex
	taken  bool // being committed
	left   bool // the caller gave up before that
	result Result
	err    error
	ended  chan struct{}
}

// take claims the transaction for a commit unless its caller has left.
func (p *pending) take() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ctx.Err() != nil {
		p.left = true
	}
	p.taken = !p.left
	return p.taken
}

// leave withdraws the transaction; it reports false when it is being committed already.
func (p *pending) leave() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.left = !p.taken
	return p.left
}

func (p *pending) end(result Result, err error) {
	p.result, p.err = result, err
	close(p.ended)
}

// NewBatcher returns a running batcher that waits at most the delay for up to most transactions.
func NewBatcher(target Committer, most int, delay time.Duration) *Batcher {
	b := &Batcher{target: target, most: max(most, 1), delay: delay, asked: make(chan *pending)}
	b.tomb.Go(b.collect)
	return b
}

// Stop commits what has been collected and ends the batcher; later calls get ErrNotSent.
func (b *Batcher) Stop() {
	b.tomb.Kill(nil)
	_ = b.tomb.Wait()
}

// Done is closed when the batcher has stopped.
func (b *Batcher) Done() <-chan struct{} { return b.tomb.Dead() }

// Commit applies the transaction as Client.Commit does, possibly together with others. The
// revision of the result is that of the whole commit.
func (b *Batcher) Commit(ctx context.Context, txn Txn) (Result, error) {
	p := &pending{ctx: ctx, txn: txn, ended: make(chan struct{})}
	select {
	case b.asked <- p:
	case <-ctx.Done():
		return Result{}, outcome(ErrNotSent, ctx.Err())
	case <-b.tomb.Dying():
		return Result{}, outcome(ErrNotSent, errStopped)
	}
	select {
	case <-p.ended:
		return p.result, p.err
	case <-ctx.Done():
	}
	if p.leave() {
		return Result{}, outcome(ErrNotSent, ctx.Err())
	}
	select {
	case <-p.ended:
		return p.result, p.err
	default:
		return Result{}, outcome(ErrUnknown, ctx.Err())
	}
}

// collect gathers transactions into batches, each committed in a goroutine of its own.
func (b *Batcher) collect() error {
	var batch *merged
	var full <-chan time.Time
	send := func() {
		if batch != nil {
			items := batch.items
			b.tomb.Go(func() error {
				b.commit(items)
				return nil
			})
		}
		batch, full = nil, nil
	}
	defer send()
	for {
		select {
		case p := <-b.asked:
			if batch != nil && !batch.accepts(p.txn) {
				send()
			}
			if batch == nil {
				batch, full = newMerged(), time.After(b.delay)
			}
			batch.add(p)
			if len(batch.items) >= b.most {
				send()
			}
		case <-full:
			send()
		case <-b.tomb.Dying():
			return nil
		}
	}
}

// commit commits the transactions as one, and each alone when that certainly wrote nothing because
// of one of them.
func (b *Batcher) commit(items []*pending) {
	var live []*pending
	var whole Txn
	for _, p := range items {
		if !p.take() {
			p.end(Result{}, outcome(ErrNotSent, p.ctx.Err()))
			continue
		}
		live = append(live, p)
		whole.Compares = append(whole.Compares, p.txn.Compares...)
		whole.Writes = append(whole.Writes, p.txn.Writes...)
	}
	if len(live) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	result, err := b.target.Commit(ctx, whole)
	// One transaction that is invalid, or whose condition fails, must not fail the others.
	failed := err == nil && !result.Committed || errors.Is(err, errInvalid)
	if failed && len(live) > 1 {
		b.commitAlone(live)
		return
	}
	for _, p := range live {
		p.end(result, err)
	}
}

func (b *Batcher) commitAlone(items []*pending) {
	var group sync.WaitGroup
	for _, p := range items {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
			defer cancel()
			p.end(b.target.Commit(ctx, p.txn))
		})
	}
	group.Wait()
}
