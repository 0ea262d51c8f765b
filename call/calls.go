package call

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"magnoliahoist/table"
)

const (
	firstWait = 20 * time.Millisecond // after the first failure; it doubles
	lastWait  = time.Second
	pollWait  = 250 * time.Millisecond // between two looks at a busy call
)

// Table is the part of the table service that calls use.
type Table interface {
	Read(ctx context.Context, prefix string, after int64) (table.Snapshot, error)
	Commit(ctx context.Context, txn table.Txn) (table.Result, error)
}

// Clock waits for a duration, or returns the context's error when that ends first.
type Clock interface {
	Wait(ctx context.Context, d time.Duration) error
}

// Calls records calls in the table service. It may be used concurrently.
type Calls struct {
	table    Table
	host     string
	clock    Clock
	attempts atomic.Uint64
}

// New returns the calls of a host. The host's id must be new for each process, since
// it makes the ids of attempts unique.
func New(t Table, host string, c Clock) *Calls { return &Calls{table: t, host: host, clock: c} }

// Begin decides on a call. The error is ErrInvalid for a call without account or
// key, which is refused; all other conditions are decisions.
func (c *Calls) Begin(ctx context.Context, account, key string, request Digest) (Decision, error) {
	if account == "" || key == "" {
		return Refused{ErrInvalid}, ErrInvalid
	}
	b := c.beginning(account, key, request)
	return c.decide(ctx, b, b.start()), nil
}

// Await decides on a call for which Begin returned Busy. It waits until the other
// attempt has ended, and returns Unknown when ctx ends before. The error is that of
// Begin.
func (c *Calls) Await(ctx context.Context, account, key string, request Digest) (Decision, error) {
	if account == "" || key == "" {
		return Refused{ErrInvalid}, ErrInvalid
	}
	for {
		d := c.decide(ctx, c.beginning(account, key, request), read{})
		if _, busy := d.(Busy); !busy {
			return d, nil
		}
		if err := c.clock.Wait(ctx, pollWait); err != nil {
			return Unknown{err}, nil
		}
	}
}

// beginning returns the machine of a new attempt.
func (c *Calls) beginning(account, key string, request Digest) *beginning {
	id := c.host + "-" + strconv.FormatUint(c.attempts.Add(1), 10)
	return &beginning{attempt: Attempt{ID: id, row: rowKey(account, key), host: c.host, request: request.String()}}
}

func (c *Calls) decide(ctx context.Context, b *beginning, s step) Decision {
	switch end := c.run(ctx, b, b.attempt.row, s).(type) {
	case decided:
		return end.decision
	case closed:
		return b.unrecorded(end.err).decision
	}
	return Unknown{}
}

// Settle makes sure that the intent of an attempt that was never sent does not stay, so that its key may
// be used again. It tries until ctx ends; its errors are those of Finish.
func (c *Calls) Settle(ctx context.Context, a Attempt) error {
	return c.close(ctx, &settling{attempt: a, at: a.revision})
}

// Finish records the outcome, trying until ctx ends. It returns ErrTooLarge without
// trying, ErrClosed, or the last error of the table service. The caller is given the
// outcome in any case.
func (c *Calls) Finish(ctx context.Context, a Attempt, o Outcome) error {
	if len(o.Body) > MaxBody {
		return ErrTooLarge
	}
	return c.close(ctx, a.close(Done, &o))
}

// Abandon records that the call certainly was not sent, so that its key may be used
// again. It tries until ctx ends; its errors are those of Finish.
func (c *Calls) Abandon(ctx context.Context, a Attempt) error {
	return c.close(ctx, a.close(Void, nil))
}

// Lose records that the call was sent and its outcome is unknown. It tries until ctx
// ends; its errors are those of Finish.
func (c *Calls) Lose(ctx context.Context, a Attempt) error { return c.close(ctx, a.close(Lost, nil)) }

// ending is a machine that ends an attempt.
type ending interface {
	machine
	start() step
	row() string
}

func (c *Calls) close(ctx context.Context, m ending) error {
	if end, ok := c.run(ctx, m, m.row(), m.start()).(closed); ok {
		return end.err
	}
	return nil
}

// run carries out steps until the machine ends. It waits after each failure; when
// ctx ends while waiting, it returns closed with both errors.
func (c *Calls) run(ctx context.Context, m machine, row string, s step) step {
	for wait := firstWait; ; {
		var err error
		switch next := s.(type) {
		case commit:
			var r table.Result
			r, err = c.table.Commit(ctx, next.txn)
			s = m.committed(r, err)
		case read:
			var found table.Row
			found, err = c.find(ctx, row)
			s = m.seen(found, err)
		default:
			return s
		}
		switch s.(type) {
		case decided, closed:
			return s
		}
		if err == nil {
			continue
		}
		if stopped := c.clock.Wait(ctx, wait); stopped != nil {
			return closed{errors.Join(stopped, err)}
		}
		wait = min(2*wait, lastWait)
	}
}

// find returns the row, or a row of revision 0 when it is absent.
func (c *Calls) find(ctx context.Context, key string) (table.Row, error) {
	s, err := c.table.Read(ctx, key, 0)
	if err != nil {
		return table.Row{}, err
	}
	for _, row := range s.Rows {
		if row.Key == key {
			return row, nil
		}
	}
	return table.Row{Key: key}, nil
}
